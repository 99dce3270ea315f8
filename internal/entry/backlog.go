package entry

import (
	"sync"
	"time"
)

const (
	// jobShare is the part of Limits.JobMemory that one job may take, as a divisor: a job of 20,000 steps
	// takes 11.7 MB, and is accepted from 149 MB of memory_mb on.
	jobShare = 2
	// smallJob is the size up to which a job may use all of JobMemory, about 800 tasks of a few steps.
	// Larger ones leave a quarter of it, as otherwise two jobs of 12,000 steps shut out all others.
	smallJob = 128 << 10
)

// backlog counts the memory of the jobs that this entry VM has accepted or is storing and that the
// coordinator's last count may not contain. The zero value is empty.
type backlog struct {
	mu sync.Mutex
	// storing is for jobs whose outcome is not known, current for those accepted since the last count,
	// previous for those accepted between the last two: their announcements may have arrived after it.
	storing, current, previous int64       // guarded by mu
	count                      countOfJobs // guarded by mu; the last count
}

// countOfJobs identifies a count of the coordinator.
type countOfJobs struct {
	epoch uint64
	at    time.Duration
}

// reserve counts a job of the given size, unless the open jobs of the count and those counted here take more
// than limit, or a large job would make them take more than three quarters of it. It reports whether it did;
// settle must then be called. limit 0 means no limit.
func (b *backlog) reserve(size int64, c countOfJobs, open, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c != b.count {
		b.count, b.previous, b.current = c, b.current, 0
	}
	open += b.storing + b.current + b.previous
	if limit > 0 && (open > limit || size > smallJob && open+size > limit/4*3) {
		return false
	}
	b.storing += size
	return true
}

// settle ends a reservation. stored is set if the job is or may be stored.
func (b *backlog) settle(size int64, stored bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storing -= size
	if stored {
		b.current += size
	}
}

// reserveBacklog reserves memory for a job, by a recent count of the coordinator and what this entry VM has
// accepted since. It reports false if no further job is to be accepted. Without a recent count only the
// latter counts, against this entry VM's own limit.
func (n *Node) reserveBacklog(size int64) bool {
	var c countOfJobs
	open, limit := int64(0), n.deps.Limits.JobMemory
	if t := n.term.Load(); t != nil {
		if v := t.View(); v != nil {
			c, open = countOfJobs{at: v.CountedAt}, v.JobBytes
		}
		return n.backlog.reserve(size, c, open, limit)
	}
	if view := n.coordinator.Load(); view != nil {
		c = countOfJobs{view.epoch, view.countedAt}
		if n.deps.Now()-view.countedAt <= maxPendingAge {
			if view.full {
				return false
			}
			open, limit = view.jobBytes, view.jobLimit
		}
	}
	return n.backlog.reserve(size, c, open, limit)
}
