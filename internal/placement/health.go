package placement

import (
	"time"

	"boragepulley/internal/model"
)

// Quarantine of a worker:
//
//	healthy -> (failed quarantineAfter different tasks in a row) -> quarantined
//	quarantined -> (back-off) -> probing, one task at a time
//	probing -> healthy (it succeeds) | quarantined with twice the back-off
const (
	quarantineAfter = 3
	quarantineMin   = 30 * time.Second
	quarantineMax   = 10 * time.Minute
)

type workerHealth struct {
	failed      map[model.JobID]bool // different tasks failed since the last success
	quarantined bool
	until       time.Time
	backoff     time.Duration
}

// HealthTracker tracks which workers fail every task.
type HealthTracker struct {
	workers map[model.Worker]*workerHealth
}

// NewHealthTracker returns an empty tracker.
func NewHealthTracker() *HealthTracker {
	return &HealthTracker{workers: make(map[model.Worker]*workerHealth)}
}

// Observe adds the result of a task on a worker. A task that fails several times counts
// once, because the fault may be the task's.
func (h *HealthTracker) Observe(now time.Time, w model.Worker, task model.JobID, ok bool) {
	if ok {
		delete(h.workers, w)
		return
	}
	s := h.workers[w]
	if s == nil {
		s = &workerHealth{failed: make(map[model.JobID]bool)}
		h.workers[w] = s
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

// Apply sets Accepts and Probe of the workers that are in quarantine. At most half of
// the workers are kept out: failures on more of them point at the tasks.
func (h *HealthTracker) Apply(now time.Time, workers []Worker) {
	left := len(workers) / 2
	for i := range workers {
		s := h.workers[workers[i].Name]
		if s == nil || !s.quarantined || left == 0 {
			continue
		}
		left--
		workers[i].Probe = workers[i].Accepts && !now.Before(s.until)
		workers[i].Accepts = false
	}
}
