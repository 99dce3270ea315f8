package placement

import (
	"time"

	"boragepulley/internal/model"
)

// Quarantine of a worker:
//
//	healthy -> (quarantineAfter different tasks failed without a success) -> quarantined
//	quarantined -> (back-off) -> probing, one task at a time
//	probing -> healthy (task succeeds) | quarantined with twice the back-off (task fails)
const (
	quarantineAfter = 3
	quarantineMin   = 30 * time.Second
	quarantineMax   = 10 * time.Minute
)

// state holds the recent failures and the quarantine of one worker.
type state struct {
	failed      map[model.JobID]bool // different tasks failed since the last success
	quarantined bool
	until       time.Time
	backoff     time.Duration
}

// HealthTracker detects workers on which every task fails.
type HealthTracker struct {
	byName map[model.Worker]*state
}

// NewHealthTracker returns an empty tracker.
func NewHealthTracker() *HealthTracker { return &HealthTracker{byName: make(map[model.Worker]*state)} }

// Observe adds the result of a task on a worker. A task that fails several times counts once,
// because the task may be the cause.
func (h *HealthTracker) Observe(now time.Time, w model.Worker, task model.JobID, ok bool) {
	if ok {
		delete(h.byName, w)
		return
	}
	s := h.byName[w]
	if s == nil {
		s = &state{failed: make(map[model.JobID]bool)}
		h.byName[w] = s
	}
	s.failed[task] = true
	switch {
	case s.quarantined && !now.Before(s.until):
		s.backoff = min(2*s.backoff, quarantineMax)
		s.until = now.Add(s.backoff)
	case !s.quarantined && len(s.failed) >= quarantineAfter:
		s.quarantined, s.backoff = true, quarantineMin
		s.until = now.Add(s.backoff)
	}
}

// Apply sets Accepts and Probe of the quarantined workers. At most half of the workers are
// treated as quarantined: when more of them fail, the tasks are the likely cause.
func (h *HealthTracker) Apply(now time.Time, workers []Worker) {
	left := len(workers) / 2
	for i := range workers {
		s := h.byName[workers[i].Name]
		if s == nil || !s.quarantined || left == 0 {
			continue
		}
		left--
		workers[i].Probe = workers[i].Accepts && !now.Before(s.until)
		workers[i].Accepts = false
	}
}
