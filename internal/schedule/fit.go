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

// unconstrained reports whether a step asks for nothing but room.
func (s *Step) unconstrained() bool { return s.Run.Spec.Label == "" && s.Run.Spec.PerMinion == 0 }

// choose returns the best minion for a task, or nil.
func choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	var best *Minion
	var bestScore score
	for _, m := range minions {
		if !m.accepts(s) {
			continue
		}
		if f := m.score(s, t); best == nil || f.betterThan(bestScore) {
			best, bestScore = m, f
		}
	}
	return best
}

// score says how well a minion suits a task; the lower in each field, in order, the better.
type score struct {
	penalties int
	// freeShare is the free freeShare of the minion, negative where an emptier one is better.
	freeShare float64
}

func (f score) betterThan(o score) bool {
	if f.penalties != o.penalties {
		return f.penalties < o.penalties
	}
	return f.freeShare < o.freeShare
}

// The drawbacks of a minion for a task: each weighs more than all that follow.
const (
	penaltyFailedBefore = 1 << (5 - iota)
	penaltySuspect
	penaltyInterference
	penaltyRemoteData
	penaltyMaintenanceDue
	penaltyNotPacked
)

func (m *Minion) score(s *Step, t *jobs.Task) score {
	spec := s.Run.Spec
	var f score
	if slices.Contains(t.FailedOn, m.ID) {
		f.penalties |= penaltyFailedBefore
	}
	if m.Suspect {
		f.penalties |= penaltySuspect
	}
	// Tasks that fill disturb tasks that serve.
	if spec.Fills && m.Serves > 0 || spec.TailTarget > 0 && m.Fills > 0 {
		f.penalties |= penaltyInterference
	}
	if spec.DataRack != "" && spec.DataRack != string(m.Rack) {
		f.penalties |= penaltyRemoteData
	}
	// Full minions first: the others become empty and can be given away.
	f.freeShare = m.freeShare()
	if spec.Lasting {
		if m.Departs {
			f.penalties |= penaltyMaintenanceDue
		}
		// Few minions hold the tasks that last, so that the others can be given away; but a
		// minion that is lost must not take a whole step with it.
		if !m.packsLongRunning() {
			f.penalties |= penaltyNotPacked
		}
		f.freeShare = -f.freeShare
	}
	return f
}

// maxLongRunningPacked is how many tasks that last are gathered on one minion.
const maxLongRunningPacked = 4

// packsLongRunning reports whether a minion has some tasks that last and takes one more.
func (m *Minion) packsLongRunning() bool { return m.Lasting > 0 && m.Lasting < maxLongRunningPacked }

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

// reserve takes a task's room.
func (m *Minion) reserve(s *Step) {
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

// release undoes put.
func (m *Minion) release(s *Step) {
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

// withinLimit reports whether a team may run so much more.
func (t *Team) withinLimit(need jobs.Resources) bool {
	if t == nil {
		return true
	}
	ok := func(used, need, limit int64) bool { return limit == 0 || used+need <= limit }
	return ok(t.Used.CPU, need.CPU, t.Limit.CPU) && ok(t.Used.MemoryMB, need.MemoryMB, t.Limit.MemoryMB) &&
		ok(t.Used.Accelerators, need.Accelerators, t.Limit.Accelerators)
}
