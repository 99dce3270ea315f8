// Package allotment splits an upper limit among data centres. The split of one limit is
// one row, which coordinators change by compare-and-set; the functions here compute the
// changes and what a data centre may use meanwhile.
//
// Safety rests on two rules. Each part is a fraction held/base of the limit, and the
// fractions of a row never add up to more than 1; so the parts in use add up to at most
// the limit, also while data centres that are cut off go on with limits of different
// configuration versions. And only a data centre's own coordinator lowers its part: it
// subtracts in memory before it writes, and adds only after it has read or written the
// row. A message, write or answer that is lost can only lose capacity, until the row is
// read again.
//
// The package does no I/O and reads no clock.
package allotment
