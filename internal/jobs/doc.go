// Package jobs holds jobs of several steps: their specification, the progress of each task, and
// the table rows in which both are stored. A Registry holds all jobs of the coordinator; it
// performs no I/O and is owned by one goroutine.
//
// Invariants of a Registry:
//   - A task that is done never waits or runs again.
//   - A task has at most one run that may be in progress; each new run gets a higher number.
//   - A task can start only after all tasks of the steps that its step depends on are done.
//   - No task of a job in a final state is started.
package jobs
