package placement

import "boragepulley/internal/model"

// TaskKind identifies tasks that are expected to have similar sizes.
type TaskKind struct {
	Team  model.Team
	Queue model.Queue
}

// learned holds the statistics from the usage reports of a kind.
type learned struct {
	samples int
	// cores is the exponentially weighted mean of the peak use, and deviation the weighted
	// mean absolute deviation. A task with too few cores is only slower.
	cores, deviation float64
	// memoryMB is the largest peak, which decays with every task. A task with too little
	// memory fails.
	memoryMB float64
}

const (
	// minSamples is the number of finished tasks from which learned sizes replace declared
	// ones.
	minSamples = 5
	// sizeWeight is the weight of the newest sample in the means.
	sizeWeight = 0.2
	// memoryDecay is the factor per task by which an earlier memory peak decays.
	memoryDecay = 0.98
	// memoryMargin allows for peaks between two usage reports.
	memoryMargin = 1.1
)

// SizeEstimator estimates the sizes of tasks from their usage, because declared sizes are
// inaccurate.
type SizeEstimator struct{ kinds map[TaskKind]*learned }

// NewSizeEstimator returns an estimator without samples.
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
	l.memoryMB = max(float64(memoryMB), l.memoryMB*memoryDecay)
}

// Estimate returns the size for placing a task: the learned cores and memory, or the declared
// ones until minSamples tasks of the kind have finished. The number of accelerators is always
// the declared one, because they are not shared. Learned sizes are limited to largest, so that
// a task that fits on a worker as declared is never refused for its learned size.
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
