// Package schedule decides which waiting task starts on which minion. NewPlan computes a Plan
// from a Snapshot and keeps no state between calls.
//
// order.go sorts the steps, fit.go chooses the minion for a task, and plan.go combines both.
// relocate.go finds places for running long-running tasks that are to be stopped, and holds capacity
// for those that fit nowhere yet.
// overload.go detects services whose waiting work exceeds what their minions can do in time, and
// computes the fair shares of the teams on them.
//
// Invariants of a Plan:
//   - The tasks on a minion never exceed its capacity, nor those of a team its limit.
//   - A task starts only on a minion of its service that has the required label and accepts new
//     work.
//   - The tasks of a gang start all together or not at all.
package schedule
