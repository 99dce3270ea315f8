package schedule

import (
	"slices"

	"boragepulley/internal/jobs"
)

// accepts reports whether a minion can take one task of a step.
func (m *Minion) accepts(s *Step) bool {
	spec := s.StepRun.Spec
	if m.Service != s.Service || !spec.Reserved().Fits(m.Free) {
		return false
	}
	if spec.Label != "" && spec.Label != m.Kind && spec.Label != string(m.Rack) {
		return false
	}
	return spec.MaxPerMinion == 0 || m.TasksPerStep[s.StepRun] < spec.MaxPerMinion
}

// unconstrained reports whether a step asks for nothing but room.
func (s *Step) unconstrained() bool {
	return s.StepRun.Spec.Label == "" && s.StepRun.Spec.MaxPerMinion == 0
}

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
	spec := s.StepRun.Spec
	var f score
	if slices.Contains(t.FailedOn, m.ID) {
		f.penalties |= penaltyFailedBefore
	}
	if m.Suspect {
		f.penalties |= penaltySuspect
	}
	// Tasks that fill disturb tasks that serve.
	if spec.Scavenger && m.LatencySensitive > 0 || spec.LatencyTarget > 0 && m.Scavengers > 0 {
		f.penalties |= penaltyInterference
	}
	if spec.DataRack != "" && spec.DataRack != string(m.Rack) {
		f.penalties |= penaltyRemoteData
	}
	// Full minions first: the others become empty and can be given away.
	f.freeShare = m.freeShare()
	if spec.LongRunning {
		if m.MaintenanceDue {
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
func (m *Minion) packsLongRunning() bool {
	return m.LongRunning > 0 && m.LongRunning < maxLongRunningPacked
}

// freeShare is the scarcer of free processor time and memory, as a share of the capacity.
func (m *Minion) freeShare() float64 {
	share := 1.0
	if m.Capacity.CPU > 0 {
		share = float64(m.Free.CPU) / float64(m.Capacity.CPU)
	}
	if m.Capacity.MemoryMB > 0 {
		share = min(share, float64(m.Free.MemoryMB)/float64(m.Capacity.MemoryMB))
	}
	return share
}

// reserve takes a task's room.
func (m *Minion) reserve(s *Step) {
	spec := s.StepRun.Spec
	m.Free = m.Free.Sub(spec.Reserved())
	if spec.MaxPerMinion > 0 {
		m.TasksPerStep[s.StepRun]++
	}
	if spec.LatencyTarget > 0 {
		m.LatencySensitive++
	}
	if spec.Scavenger {
		m.Scavengers++
	}
	if spec.LongRunning {
		m.LongRunning++
	}
}

// release undoes put.
func (m *Minion) release(s *Step) {
	spec := s.StepRun.Spec
	m.Free = m.Free.Add(spec.Reserved())
	if spec.MaxPerMinion > 0 {
		m.TasksPerStep[s.StepRun]--
	}
	if spec.LatencyTarget > 0 {
		m.LatencySensitive--
	}
	if spec.Scavenger {
		m.Scavengers--
	}
	if spec.LongRunning {
		m.LongRunning--
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
