package admission

import (
	"slices"
	"time"

	"boragepulley/internal/model"
)

// scanMinions recomputes the available minions of s, the load of each rack and the number
// of slots on serving minions.
func (s *service) scanMinions(now time.Time) {
	clear(s.rackLoad)
	s.available, s.servingSlots = s.available[:0], 0
	for _, m := range s.minions {
		s.rackLoad[m.rackIndex] += m.used()
		if m.state == model.VMServing {
			s.servingSlots += m.slots
		}
		if m.ready(now) {
			s.available = append(s.available, m)
		}
	}
}

// usable reports whether m, which must be ready, may run a request of the holder.
func (m *minion) usable(holder model.EntryVM, avoid []model.VM) bool {
	return m.conns[holder] < m.connShare && !slices.Contains(avoid, m.vm)
}

// hasMinion reports whether one of the available minions may run a request of the holder.
func (s *service) hasMinion(holder model.EntryVM, avoid []model.VM) bool {
	for _, m := range s.available {
		if m.usable(holder, avoid) {
			return true
		}
	}
	return false
}

// pickMinion chooses one of the available minions for r, or returns nil. An ejected minion
// whose probe is due comes first for an idempotent request, which can be retried elsewhere
// if the probe fails, and last for any other. Next, the least loaded minion is preferred,
// and among equals the one on the least loaded rack.
func (s *service) pickMinion(r *request) *minion {
	var best *minion
	for _, m := range s.available {
		if m.usable(r.holder, r.avoid) && (best == nil || s.preferred(m, best, r.idempotent)) {
			best = m
		}
	}
	return best
}

func (s *service) preferred(m, o *minion, idempotent bool) bool {
	if m.ejected != o.ejected {
		return m.ejected == idempotent
	}
	if l, k := m.used()*o.slots, o.used()*m.slots; l != k {
		return l < k
	}
	return s.rackLoad[m.rackIndex] < s.rackLoad[o.rackIndex]
}
