// Package placement decides on which workers of a data centre tasks start, and which
// running tasks are throttled or checkpointed so that urgent work starts at once.
//
// A plan is a pure function of a snapshot. Two trackers, Sizes and Health, keep what
// usage reports and results have taught; they are owned by the control goroutine and take
// the time as an argument.
package placement
