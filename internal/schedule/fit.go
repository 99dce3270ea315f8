package schedule

import (
	"slices"

	"boragepulley/internal/jobs"
)

// accepts reports whether a minion can take one task of a step.
func (m *Minion) accepts(s *Step) bool {
	spec := s.Run.Spec
	if m.Service != s.Service || !spec.Reserved().Fits(m.Room) {
		return false
	}
	if spec.Label != "" && spec.Label != m.Kind && spec.Label != string(m.Rack) {
		return false
	}
	return spec.PerMinion == 0 || m.PerStep[s.Run] < spec.PerMinion
}

// choose returns the best minion for a task, or nil.
func choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	var best *Minion
	for _, m := range minions {
		if m.accepts(s) && (best == nil || better(m, best, s, t)) {
			best = m
		}
	}
	return best
}

// better reports whether a task should rather go to a than to b.
func better(a, b *Minion, s *Step, t *jobs.Task) bool {
	spec := s.Run.Spec
	for _, worse := range []func(m *Minion) bool{
		func(m *Minion) bool { return slices.Contains(t.FailedOn, m.ID) },
		func(m *Minion) bool { return m.Suspect },
		// Tasks that fill disturb tasks that serve.
		func(m *Minion) bool { return spec.Fills && m.Serves > 0 || spec.TailTarget > 0 && m.Fills > 0 },
		func(m *Minion) bool { return spec.DataRack != "" && spec.DataRack != string(m.Rack) },
	} {
		if x, y := worse(a), worse(b); x != y {
			return y
		}
	}
	if spec.Lasting {
		// Few minions hold the tasks that last, so that the others can be given away; but a
		// minion that is lost must not take a whole step with it.
		if x, y := a.joins(), b.joins(); x != y {
			return x
		}
		return a.freeShare() > b.freeShare()
	}
	// Full minions first: the others become empty and can be given away.
	return a.freeShare() < b.freeShare()
}

// maxLasting is how many tasks that last are gathered on one minion.
const maxLasting = 4

// joins reports whether a minion has some tasks that last and takes one more.
func (m *Minion) joins() bool { return m.Lasting > 0 && m.Lasting < maxLasting }

// freeShare is the scarcer of free processor time and memory, as a share of the capacity.
func (m *Minion) freeShare() float64 {
	share := 1.0
	if m.Capacity.CPU > 0 {
		share = float64(m.Room.CPU) / float64(m.Capacity.CPU)
	}
	if m.Capacity.MemoryMB > 0 {
		share = min(share, float64(m.Room.MemoryMB)/float64(m.Capacity.MemoryMB))
	}
	return share
}

// put takes a task's room.
func (m *Minion) put(s *Step) {
	spec := s.Run.Spec
	m.Room = m.Room.Sub(spec.Reserved())
	if spec.PerMinion > 0 {
		m.PerStep[s.Run]++
	}
	if spec.TailTarget > 0 {
		m.Serves++
	}
	if spec.Fills {
		m.Fills++
	}
	if spec.Lasting {
		m.Lasting++
	}
}

// takeBack undoes put.
func (m *Minion) takeBack(s *Step) {
	spec := s.Run.Spec
	m.Room = m.Room.Add(spec.Reserved())
	if spec.PerMinion > 0 {
		m.PerStep[s.Run]--
	}
	if spec.TailTarget > 0 {
		m.Serves--
	}
	if spec.Fills {
		m.Fills--
	}
	if spec.Lasting {
		m.Lasting--
	}
}

// allows reports whether a team may run so much more.
func (t *Team) allows(need jobs.Resources) bool {
	if t == nil {
		return true
	}
	ok := func(used, need, limit int64) bool { return limit == 0 || used+need <= limit }
	return ok(t.Used.CPU, need.CPU, t.Limit.CPU) && ok(t.Used.MemoryMB, need.MemoryMB, t.Limit.MemoryMB) &&
		ok(t.Used.Accelerators, need.Accelerators, t.Limit.Accelerators)
}
