// Package allotment splits an upper limit among data centres. The split of one limit is
// stored in one table row, which coordinators change by compare-and-set. The functions of
// this package compute these changes and what a data centre may use in the meantime.
//
// The sum of the parts in use never exceeds the limit because of two rules. First, each part
// is a fraction held/base of the limit, and the fractions of a row add up to at most 1. This
// holds even while disconnected data centres apply limits of different configuration
// versions. Second, only a data centre's own coordinator reduces its part: it subtracts in
// memory before it writes the row, and adds only after it has read or written the row. A lost
// message, write or reply can therefore only make capacity unusable until the row is read
// again.
//
// The package does no I/O and reads no clock.
package allotment
