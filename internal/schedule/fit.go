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

// anyMinion reports whether a step asks for nothing but room.
func (s *Step) anyMinion() bool { return s.Run.Spec.Label == "" && s.Run.Spec.PerMinion == 0 }

// choose returns the best minion for a task, or nil.
func choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	var best *Minion
	var least fit
	for _, m := range minions {
		if !m.accepts(s) {
			continue
		}
		if f := m.fit(s, t); best == nil || f.before(least) {
			best, least = m, f
		}
	}
	return best
}

// fit says how well a minion suits a task; the lower in each field, in order, the better.
type fit struct {
	drawbacks int
	// share is the free share of the minion, negative where an emptier one is better.
	share float64
}

func (f fit) before(o fit) bool {
	if f.drawbacks != o.drawbacks {
		return f.drawbacks < o.drawbacks
	}
	return f.share < o.share
}

// The drawbacks of a minion for a task: each weighs more than all that follow.
const (
	drawbackFailed = 1 << (5 - iota)
	drawbackSuspect
	drawbackDisturbs
	drawbackFar
	drawbackDeparts
	drawbackNotGathered
)

func (m *Minion) fit(s *Step, t *jobs.Task) fit {
	spec := s.Run.Spec
	var f fit
	if slices.Contains(t.FailedOn, m.ID) {
		f.drawbacks |= drawbackFailed
	}
	if m.Suspect {
		f.drawbacks |= drawbackSuspect
	}
	// Tasks that fill disturb tasks that serve.
	if spec.Fills && m.Serves > 0 || spec.TailTarget > 0 && m.Fills > 0 {
		f.drawbacks |= drawbackDisturbs
	}
	if spec.DataRack != "" && spec.DataRack != string(m.Rack) {
		f.drawbacks |= drawbackFar
	}
	// Full minions first: the others become empty and can be given away.
	f.share = m.freeShare()
	if spec.Lasting {
		if m.Departs {
			f.drawbacks |= drawbackDeparts
		}
		// Few minions hold the tasks that last, so that the others can be given away; but a
		// minion that is lost must not take a whole step with it.
		if !m.joins() {
			f.drawbacks |= drawbackNotGathered
		}
		f.share = -f.share
	}
	return f
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
