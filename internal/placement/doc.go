// Package placement decides on which workers of a data centre tasks start, and which running
// tasks are preempted (throttled or checkpointed) so that urgent tasks start without delay.
//
// A plan is a pure function of a snapshot. SizeEstimator keeps statistics from usage reports
// and HealthTracker from task results. Only the control goroutine uses them, and the time is
// passed in.
package placement
