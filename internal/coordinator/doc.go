// Package coordinator runs the jobs of a site while this entry VM holds the site's lease.
//
// A Term lasts from a take of the lease to its loss. One goroutine owns all its state: the
// book of jobs, the belief about each minion, and the orders under way. Calls to minions
// and to the store run in goroutines of their own and come back as events. Decisions are
// made by the pure package schedule.
//
// What is written before what:
//   - A job is stored by the entry VM that accepts it, before the caller is told.
//   - A minion is recorded before the first order to it, so that a successor asks it.
//   - A start is sent once the stored progress of its job names the minion, see package jobs.
//   - An end that changes a job's progress is stored before the minion may forget it.
//   - A final state is stored before callers are told of it, and a cancelling before it is
//     acknowledged.
//
// A job that was taken over goes on when every minion that its row names has answered, or its
// leases are certainly over; a job without progress goes on at once.
package coordinator
