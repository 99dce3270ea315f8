package placement

import "boragepulley/internal/model"

// TaskKind groups tasks that are expected to have similar sizes.
type TaskKind struct {
	Team  model.Team
	Queue model.Queue
}

// learned is what usage reports showed for a kind.
type learned struct {
	samples int
	// cores is the exponentially weighted mean of the peak use, and deviation the weighted
	// mean distance from it. A task that gets too few cores is slow.
	cores, deviation float64
	// memoryMB is the largest peak of recent tasks, slowly forgotten. A task that gets too
	// little memory fails.
	memoryMB float64
}

const (
	// minSamples is the number of finished tasks from which learned sizes replace declared ones.
	minSamples = 5
	// sizeWeight is the weight of the newest task.
	sizeWeight = 0.2
	// memoryForget is the factor per task by which an old memory peak fades.
	memoryForget = 0.98
	// memoryMargin covers peaks between two usage reports, which lag.
	memoryMargin = 1.1
)

// SizeEstimator learns the sizes of tasks from their usage, because declared sizes are far off.
type SizeEstimator struct{ kinds map[TaskKind]*learned }

// NewSizeEstimator returns an empty tracker.
func NewSizeEstimator() *SizeEstimator { return &SizeEstimator{kinds: make(map[TaskKind]*learned)} }

// Observe adds the peak use of a finished task.
func (s *SizeEstimator) Observe(k TaskKind, cores float64, memoryMB int) {
	l := s.kinds[k]
	if l == nil {
		l = &learned{cores: cores}
		s.kinds[k] = l
	}
	l.samples++
	d := cores - l.cores
	l.cores += sizeWeight * d
	l.deviation += sizeWeight * (max(d, -d) - l.deviation)
	l.memoryMB = max(float64(memoryMB), l.memoryMB*memoryForget)
}

// Estimate returns the size to place a task with: the learned cores and memory, or the
// declared ones before enough tasks of the kind have finished. Accelerators are never
// shared, so the declared number holds. The result is within largest, so that a learned
// size never makes a task impossible that a worker could run as declared.
func (s *SizeEstimator) Estimate(k TaskKind, declared, largest Size) Size {
	l := s.kinds[k]
	if l == nil || l.samples < minSamples {
		return declared
	}
	return Size{
		Cores:        max(1, min(max(largest.Cores, declared.Cores), int(l.cores+2*l.deviation+0.999))),
		MemoryMB:     max(1, min(max(largest.MemoryMB, declared.MemoryMB), int(l.memoryMB*memoryMargin+0.999))),
		Accelerators: declared.Accelerators,
	}
}
