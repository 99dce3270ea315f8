package coordinator

import (
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// servingPercent is the progress, in percent, that a long-running task reports while it is
// available.
const servingPercent = 100

// takeoverGrace is how long after a takeover no long-running task is evicted. A run that the
// predecessor stopped is listed as running until it has stopped, which takes up to 0.9 s (the
// platform's stop_ms), and the stop order itself can take up to orderTimeout.
const takeoverGrace = 1500 * time.Millisecond

// unavailable reports whether a long-running task is not known to be available.
func (t *Term) unavailable(task *jobs.Task) bool {
	m := t.minions[task.Minion]
	return task.Phase != jobs.Running || task.Percent < servingPercent || m == nil || m.FailedPolls > 0
}

// mayEvict reports whether a long-running task may be evicted: fewer than its step's allowed
// number of other tasks must be unavailable.
func (t *Term) mayEvict(task *jobs.Task) bool {
	spec := task.Step.Spec
	if !spec.LongRunning || spec.MaxUnavailable == 0 {
		return true
	}
	if t.epoch > 1 && t.now < t.startedAt+takeoverGrace {
		return false
	}
	// Any task in phase running may be available: it may have become so since it was last
	// reported, and a task on an unresponsive minion may still be. To be safe, such a task counts
	// as available when it would be evicted, and as unavailable when others would be.
	if task.Phase != jobs.Running {
		return true
	}
	unavailable := 0
	for _, other := range task.Step.Tasks {
		if other != task && t.unavailable(other) {
			unavailable++
		}
	}
	return unavailable < spec.MaxUnavailable
}

// evacuate evicts the long-running tasks of a minion that gets no new work, as far as their
// availability budgets allow, and reports whether the minion is empty. Other tasks run to
// completion.
func (t *Term) evacuate(m *holding.Minion, reason model.Reason) (empty bool) {
	for task := range m.Tasks {
		if task.Step.Spec.LongRunning && task.Phase == jobs.Running && t.mayEvict(task) {
			t.stopRun(task, reason)
		}
	}
	return len(m.Tasks) == 0
}
