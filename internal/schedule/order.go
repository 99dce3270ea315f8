package schedule

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// rank groups steps before their deadlines are compared.
type rank int

const (
	// rankLongRunning: tasks that last earn while they run, and little room holds them.
	rankLongRunning rank = iota
	// rankInTime: the job can still end in time.
	rankInTime
	// rankLate: the job is late already; what can be in time goes first, because a queue
	// that asks for five times its mean would otherwise make every job late.
	rankLate
	// rankExpired: the job ends too late to be of use whatever happens. After an outage the oldest
	// such jobs would otherwise go first, and those behind them would become useless in turn.
	rankExpired
)

// expiryFactor times its objective after its arrival a job's end is of no more use to its caller
// (the users' rules).
const expiryFactor = 3

// estimateTolerance is how far a job may be behind its estimate and still count as in time:
// estimates are off by half and more.
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

// sortSteps puts the steps in the sortSteps of starting: by rank and priority, and then by least
// time left until the job must start to be in time. That sortSteps serves all jobs if all can
// be served; on an overloaded service it would begin each job when it is nearly too late,
// and most would be late. There, the least work for what a job is worth comes first.
func sortSteps(now time.Duration, steps []Step, loads map[model.Service]*serviceLoad) []*Step {
	out := make([]*Step, len(steps))
	ranks := make(map[*Step]rank, len(steps))
	earliestStart := map[model.Service]time.Duration{} // the first time at which a job of a service must start
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

// compareOverloaded compares two steps of one service, if it is overloaded, by the work that each asks for
// what it is worth.
func compareOverloaded(loads map[model.Service]*serviceLoad, a, b *Step) int {
	p := loads[a.Service]
	if p == nil || !p.overloaded() || a.Value <= 0 || b.Value <= 0 {
		return 0
	}
	return cmp.Compare(a.RemainingWork/a.Value, b.RemainingWork/b.Value)
}
