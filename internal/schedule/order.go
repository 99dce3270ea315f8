package schedule

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// rank is the first sort key of steps; lower ranks come first.
type rank int

const (
	// rankLongRunning: long-running tasks have value for as long as they run, and need little
	// capacity.
	rankLongRunning rank = iota
	// rankInTime: the job can still meet its deadline.
	rankInTime
	// rankLate: the job will miss its deadline. It comes after jobs that can meet theirs;
	// otherwise a burst of five times a queue's mean load would make every job late.
	rankLate
	// rankExpired: the job will end too late to be of use. After an outage, these would
	// otherwise start first, being the oldest, and delay the next jobs until they expire too.
	rankExpired
)

// expiryFactor bounds a job's usefulness: a job that ends later than this multiple of its time
// objective after its arrival is of no use to its caller (requirement of the users).
const expiryFactor = 3

// estimateTolerance is how far after its deadline a job may be expected to end and still rank as
// in time: estimates are wrong by half and more.
const estimateTolerance = 400 * time.Millisecond

func (s *Step) rank(now time.Duration) rank {
	switch {
	case s.StepRun.Spec.LongRunning:
		return rankLongRunning
	case now+s.RemainingTime <= s.Deadline+estimateTolerance:
		return rankInTime
	case now+s.RemainingTime <= s.Arrived+expiryFactor*(s.Deadline-s.Arrived):
		return rankLate
	}
	return rankExpired
}

// sortSteps returns the steps in the order in which to place them: by rank, priority and least
// slack, that is, by the latest start with which the job meets its deadline. Least slack first
// serves all jobs in time if that is possible. On an overloaded service it would start each job
// at the last moment and make most of them late; there, steps are sorted by remaining work per
// value instead.
func sortSteps(now time.Duration, steps []Step, loads map[model.Service]*serviceLoad) []*Step {
	out := make([]*Step, len(steps))
	ranks := make(map[*Step]rank, len(steps))
	earliestStart := map[model.Service]time.Duration{} // by service: the least of its steps' latest starts
	for i := range steps {
		s := &steps[i]
		out[i], ranks[s] = s, s.rank(now)
		if t, ok := earliestStart[s.Service]; !ok || s.Deadline-s.RemainingTime < t {
			earliestStart[s.Service] = s.Deadline - s.RemainingTime
		}
	}
	slices.SortStableFunc(out, func(a, b *Step) int {
		return cmp.Or(
			cmp.Compare(ranks[a], ranks[b]),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(earliestStart[a.Service], earliestStart[b.Service]),
			cmp.Compare(a.Service, b.Service),
			compareOverloaded(loads, a, b),
			cmp.Compare(a.Deadline-a.RemainingTime, b.Deadline-b.RemainingTime),
			cmp.Compare(a.StepRun.Job.ID, b.StepRun.Job.ID),
			cmp.Compare(a.StepRun.Index, b.StepRun.Index),
		)
	})
	return out
}

// compareOverloaded compares two steps of one service by remaining work per value if the service
// is overloaded, and returns 0 otherwise.
func compareOverloaded(loads map[model.Service]*serviceLoad, a, b *Step) int {
	l := loads[a.Service]
	if l == nil || !l.overloaded() || a.Value <= 0 || b.Value <= 0 {
		return 0
	}
	return cmp.Compare(a.RemainingWork/a.Value, b.RemainingWork/b.Value)
}
