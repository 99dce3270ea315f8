// Package schedule decides which waiting task starts on which minion. It is pure: a
// Snapshot goes in, a Plan comes out, and nothing is kept between two calls.
//
// The steps of a decision are a file each: order.go says which step comes first when a
// queue asks for more than its pool holds, fit.go which minion takes a task, plan.go
// goes through both. overload.go says what holds while a queue asks for more than its pool can
// serve in time.
//
// Invariants of a Plan:
//   - No minion gets more than its room, no team more than its limit.
//   - No minion of another service, without the label, or closed to new work gets a task.
//   - The tasks of a gang start all together or not at all.
package schedule
