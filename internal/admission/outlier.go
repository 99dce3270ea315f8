package admission

import (
	"time"

	"boragepulley/internal/model"
)

// Outlier detection. The states of a minion:
//
//	healthy -> (EjectAfter consecutive failures) -> ejected -> (back-off) -> probing
//	probing -> healthy (probe succeeds) | ejected with twice the back-off (probe fails)
//
// At most half of a service's serving minions are ejected: when more of them fail, the
// requests are the likely cause, not the minions.

func (m *minion) recordSuccess() {
	m.failures, m.ejected, m.backoff, m.probeAt = 0, false, 0, time.Time{}
}

func (m *minion) recordFailure(now time.Time, probe bool, p Params) {
	m.failures++
	switch {
	case m.ejected && probe:
		m.backoff = min(2*m.backoff, p.ProbeMax)
		m.probeAt = now.Add(m.backoff)
	case !m.ejected && m.failures >= p.EjectAfter && m.service != nil && m.service.mayEject():
		m.ejected, m.backoff = true, p.ProbeMin
		m.probeAt = now.Add(m.backoff)
	}
}

// countEjected returns the number of serving minions and how many of them are ejected.
func (s *service) countEjected() (serving, ejected int) {
	for _, m := range s.minions {
		if m.state == model.VMServing {
			serving++
			if m.ejected {
				ejected++
			}
		}
	}
	return serving, ejected
}

func (s *service) mayEject() bool {
	serving, ejected := s.countEjected()
	return 2*(ejected+1) <= serving
}

// limitEjections reinstates ejected minions, the earliest probe time first, until at most
// half of the serving minions are ejected. The limit can be exceeded when other minions stop
// serving.
func (s *service) limitEjections() {
	for {
		serving, ejected := s.countEjected()
		if 2*ejected <= serving {
			return
		}
		var first *minion
		for _, m := range s.minions {
			if m.state == model.VMServing && m.ejected && (first == nil || m.probeAt.Before(first.probeAt)) {
				first = m
			}
		}
		first.recordSuccess()
	}
}
