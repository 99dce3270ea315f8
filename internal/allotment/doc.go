// Package allotment splits an upper limit among data centres. The split of one limit is
// one row {limit, held}, which coordinators change by compare-and-set; the functions
// here compute the changes and what a data centre may use meanwhile.
//
// Safety rests on one rule: a data centre's usable part never exceeds its held part in
// any row that may be the newest. A coordinator therefore subtracts in memory before it
// writes, and adds only after it has read or written the row. A message, write or answer
// that is lost can only lose capacity, until the row is read again.
//
// The package does no I/O and reads no clock.
package allotment
