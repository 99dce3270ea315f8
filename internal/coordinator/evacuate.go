package coordinator

import (
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// atWork is the progress that a lasting task reports while it serves, in percent.
const atWork = 100

// stopSettle is how long a coordinator that took over ends no lasting tasks: a run that its
// predecessor had stopped is listed as running until its stop is done, which takes up to
// 0.9 s (the users' stop_ms), and a stop is on its way for up to orderTimeout.
const stopSettle = 1500 * time.Millisecond

// away reports whether a lasting task does not serve, as far as is known.
func (t *Term) away(x *jobs.Task) bool {
	m := t.minions[x.Minion]
	return x.Phase != jobs.Running || x.Percent < atWork || m == nil || m.FailedPolls > 0
}

// mayEnd reports whether a lasting task may be ended by our own doing: so many others of
// its step must not be away already.
func (t *Term) mayEnd(x *jobs.Task) bool {
	spec := x.Step.Spec
	if !spec.LongRunning || spec.MaxUnavailable == 0 {
		return true
	}
	if t.epoch > 1 && t.now < t.began+stopSettle {
		return false
	}
	// A task may have begun to serve since it was last reported, and one whose minion is
	// silent may serve: it counts as at work here, and as away for the others.
	if x.Phase != jobs.Running {
		return true
	}
	away := 0
	for _, o := range x.Step.Tasks {
		if o != x && t.away(o) {
			away++
		}
	}
	return away < spec.MaxUnavailable
}

// evacuate ends the lasting tasks of a minion that gets no new work, as far as their
// availability budgets allow, and reports whether the minion is empty. Other tasks run to
// their end.
func (t *Term) evacuate(m *holding.Minion, why model.Reason) (empty bool) {
	for x := range m.Tasks {
		if x.Step.Spec.LongRunning && x.Phase == jobs.Running && t.mayEnd(x) {
			t.stopRun(x, why)
		}
	}
	return len(m.Tasks) == 0
}
