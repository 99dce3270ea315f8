package schedule

import (
	"cmp"
	"slices"
	"time"
)

// rank groups steps before their deadlines are compared.
type rank int

const (
	// rankLasting: tasks that last earn while they run, and little room holds them.
	rankLasting rank = iota
	// rankInTime: the job can still end in time.
	rankInTime
	// rankLate: the job is late already; what can be in time goes first, because a queue
	// that asks for five times its mean would otherwise make every job late.
	rankLate
)

// lateSlack is how far a job may be behind its estimate and still count as in time:
// estimates are off by half and more.
const lateSlack = 400 * time.Millisecond

func (s *Step) rank(now time.Duration) rank {
	switch {
	case s.Run.Spec.Lasting:
		return rankLasting
	case now+s.Left <= s.Due+lateSlack:
		return rankInTime
	}
	return rankLate
}

// order puts the steps in the order of starting: by rank, priority, and least time left
// until the job must start to be in time.
func order(now time.Duration, steps []Step) []*Step {
	out := make([]*Step, len(steps))
	ranks := make(map[*Step]rank, len(steps))
	for i := range steps {
		out[i] = &steps[i]
		ranks[out[i]] = steps[i].rank(now)
	}
	slices.SortStableFunc(out, func(a, b *Step) int {
		return cmp.Or(
			cmp.Compare(ranks[a], ranks[b]),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Due-a.Left, b.Due-b.Left),
			cmp.Compare(a.Run.Job.ID, b.Run.Job.ID),
			cmp.Compare(a.Run.Index, b.Run.Index),
		)
	})
	return out
}
