// Package coordinator schedules and runs the jobs of a site while this entry VM holds the site's
// lease.
//
// A Term lasts from the acquisition of the lease to its loss. One goroutine owns all of the
// term's state: the job registry, the known state of each minion, and the pending orders. Calls
// to minions and to the store run in their own goroutines and report back as events. Scheduling
// decisions are made by package schedule, which performs no I/O.
//
// Order of writes:
//   - A job is stored by the entry VM that accepts it, before the caller is answered.
//   - A minion is recorded before the first order to it, so that a successor polls it.
//   - A start order is sent once the stored progress of its job names the minion; see package
//     jobs.
//   - The end of a run that changes a job's progress is stored before it is acknowledged to the
//     minion, which may then forget it.
//   - A final state is stored before callers can see it, and a cancellation before it is
//     acknowledged.
//
// After a takeover, a job continues once every minion that its row names has responded or the
// leases of the runs there have certainly expired. A job without progress continues at once.
package coordinator
