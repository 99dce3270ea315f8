// Package jobs holds jobs of several steps: what callers ask for, how far each task has
// come, and the table rows that keep both. A Book is the state of all jobs; it performs
// no I/O and is owned by one goroutine.
//
// Invariants of a Book:
//   - A task that has ended as done never waits or runs again.
//   - A task has at most one run that may still be going on; a new run gets a higher number.
//   - A task waits only after all tasks of the steps before it have ended as done.
//   - A job in a final state has no waiting task.
package jobs
