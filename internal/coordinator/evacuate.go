package coordinator

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/schedule"
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
	unavailable := task.Step.Unseen()
	for _, other := range task.Step.Tasks {
		if other != task && t.unavailable(other) {
			unavailable++
		}
	}
	return unavailable < spec.MaxUnavailable
}

// evictionMargin is how long before a leaving minion is gone its long-running tasks are evicted
// without a place for their next run: a stop takes up to 0.9 s (the platform's stop_ms).
const evictionMargin = 1200 * time.Millisecond

// evict evicts the long-running tasks of a minion, as far as their availability budgets allow,
// whether or not there is a place for their next run.
func (t *Term) evict(m *holding.Minion, reason model.Reason) {
	for task := range m.Tasks {
		if task.Step.Spec.LongRunning && task.Phase == jobs.Running && t.mayEvict(task) {
			t.stopRun(task, reason)
		}
	}
}

// mayEvictAll reports whether all long-running tasks of a minion may be evicted at once.
func (t *Term) mayEvictAll(m *holding.Minion) bool {
	perStep := map[*jobs.StepRun]int{}
	for task := range m.Tasks {
		if !task.Step.Spec.LongRunning {
			continue
		}
		perStep[task.Step]++
		if !t.mayEvict(task) || task.Step.Spec.MaxUnavailable > 0 && perStep[task.Step] > 1 {
			return false
		}
	}
	return true
}

// relocating returns, by step, the long-running tasks that are to run elsewhere because their minion
// is draining or leaving, and that may be evicted now. The plan finds places for them.
func (t *Term) relocating() map[*jobs.StepRun][]*jobs.Task {
	out := map[*jobs.StepRun][]*jobs.Task{}
	if !t.leading() {
		return out
	}
	for _, m := range t.minions {
		if !m.Draining && !m.Leaving || m.FailedPolls > 0 {
			continue
		}
		for task := range m.Tasks {
			if task.Step.Spec.LongRunning && task.Phase == jobs.Running && t.mayEvict(task) {
				out[task.Step] = append(out[task.Step], task)
			}
		}
	}
	for _, tasks := range out {
		slices.SortFunc(tasks, func(a, b *jobs.Task) int { return cmp.Compare(a.Index, b.Index) })
	}
	return out
}

// relocate evicts a task whose next run has a place on a minion. The place is reserved until the
// task has stopped.
func (t *Term) relocate(task *jobs.Task, to jobs.Minion) {
	m := t.minions[task.Minion]
	if m == nil || !t.mayEvict(task) {
		return
	}
	reason := reasonWave
	if m.Leaving {
		reason = reasonLeaving
	}
	counters.Add("relocations", 1)
	t.stopRun(task, reason)
	t.reservedPlaces[task] = to
}

// stoppingWithoutPlace returns the long-running tasks of a step that are being stopped for
// maintenance or because their minion leaves, and for whose next run no place is reserved.
func (t *Term) stoppingWithoutPlace(s *jobs.StepRun) []*jobs.Task {
	if !s.Spec.LongRunning || !s.Open {
		return nil
	}
	var out []*jobs.Task
	for _, task := range s.Tasks {
		planned := task.StopReason == reasonWave || task.StopReason == reasonLeaving
		if _, reserved := t.reservedPlaces[task]; task.Phase == jobs.Stopping && planned && !reserved {
			out = append(out, task)
		}
	}
	return out
}

// reservePlaces subtracts the places of tasks that are being relocated from the minions of a
// snapshot. Once a task has stopped it is placed like any other waiting task.
func (t *Term) reservePlaces(minions []schedule.Minion) {
	byMinion := map[jobs.Minion][]*jobs.Task{}
	for task, to := range t.reservedPlaces {
		if m := t.minions[to]; task.Phase != jobs.Stopping || m != nil && t.evacuated(m.DC) {
			delete(t.reservedPlaces, task)
			continue
		}
		byMinion[to] = append(byMinion[to], task)
	}
	for i := range minions {
		for _, task := range byMinion[minions[i].ID] {
			minions[i].Reserve(task.Step)
		}
	}
}

// hasReservedPlace reports whether a minion is to run a task that is being relocated. The place stays
// reserved until the plan that follows the end of the task's run.
func (t *Term) hasReservedPlace(id jobs.Minion) bool {
	for task, to := range t.reservedPlaces {
		if to == id && (task.Phase == jobs.Stopping || task.Phase == jobs.Waiting) {
			return true
		}
	}
	return false
}
