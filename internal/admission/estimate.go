package admission

import (
	"time"

	"boragepulley/internal/model"
)

// estimate is the expected wait of a request.
type estimate struct {
	// capacity is the wait until the service's slots have finished the work ahead.
	capacity time.Duration
	// limit is the wait caused by the team's allotment.
	limit time.Duration
	// measured is set if the service time comes from enough finished attempts.
	measured bool
}

// scaledWait is a wait that is almost certain.
func (e estimate) scaledWait(factor float64) time.Duration {
	return time.Duration(factor * float64(max(e.capacity, e.limit)))
}

// estimate computes the wait of r from the mean service time and the work ahead: the
// team's own requests that go first, and the requests of other teams that their shares
// let start meanwhile.
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

// ahead is a lower bound on the waiting requests of the team that go before r: those of
// a higher class, and those of its class with a deadline in an earlier second.
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

// observe adds the duration of a finished attempt to the mean service time.
func (s *service) observe(d time.Duration) {
	if s.samples == 0 {
		s.mean = d
	} else {
		s.mean += time.Duration(serviceTimeWeight * float64(d-s.mean))
	}
	s.samples++
}
