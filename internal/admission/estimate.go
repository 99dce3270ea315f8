package admission

import (
	"time"

	"boragepulley/internal/model"
)

// estimate is the estimated wait of a request.
type estimate struct {
	// capacity is the wait until the service's slots have finished the work ahead.
	capacity time.Duration
	// limit is the wait caused by the team's allotment.
	limit time.Duration
	// measured is set if the mean service time is based on at least Params.MinSamples attempts.
	measured bool
}

// scaledWait returns the longer of the two waits times factor; a factor below 1 gives a wait
// that is almost certainly reached.
func (e estimate) scaledWait(factor float64) time.Duration {
	return time.Duration(factor * float64(max(e.capacity, e.limit)))
}

// estimate computes the wait of r from the mean service time and the work ahead of it: the
// requests of its own team that go first, and the requests of other teams that start in the
// same time according to their shares.
func (a *Admission) estimate(r *request, s *service, blocked int) estimate {
	e := estimate{measured: s.samples >= a.params.MinSamples}
	mean := s.mean
	if !e.measured {
		mean = defaultServiceTime
	}
	slots := 0
	for _, m := range s.minions {
		if m.state == model.VMServing {
			slots += m.slots - len(m.unattributed)
		}
	}
	if slots <= 0 {
		return estimate{}
	}
	t := a.team(r.team)
	own := t.backlogs[s.name].ahead(r)
	work := own
	for _, b := range s.backlogs {
		if b.team != t {
			work += min(b.waiting, (own+1)*b.team.share/t.share)
		}
	}
	e.capacity = time.Duration(float64(mean) * float64(work) / float64(slots))
	if teamSlots := min(t.allotment, t.limit) - t.tasks - blocked; t.limited && teamSlots > 0 && teamSlots < slots {
		e.limit = time.Duration(float64(mean) * float64(own) / float64(teamSlots))
	}
	return e
}

// ahead returns a lower bound on the number of the team's waiting requests that go before r:
// those of a higher class, and those of its class with a deadline in an earlier second.
func (b *backlog) ahead(r *request) int {
	if b == nil || b.waiting == 0 {
		return 0
	}
	n := 0
	for c := range r.class {
		n += b.perClass[c]
	}
	own := r.deadline.Unix()
	for second, k := range b.bySecond[r.class] {
		if second < own {
			n += k
		}
	}
	return n
}

// observe updates the mean service time with the duration of a finished attempt.
func (s *service) observe(d time.Duration) {
	if s.samples == 0 {
		s.mean = d
	} else {
		s.mean += time.Duration(serviceTimeWeight * float64(d-s.mean))
	}
	s.samples++
}
