package schedule

import (
	"slices"

	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
)

// accepts reports whether a minion meets a step's constraints and has free capacity for one more
// of its tasks.
func (m *Minion) accepts(s *Step) bool {
	return s.StepRun.Spec.Reserved().Fits(m.Free) && m.allows(s)
}

// allows reports whether a minion meets a step's constraints, regardless of its capacity.
func (m *Minion) allows(s *Step) bool {
	spec := s.StepRun.Spec
	if m.Service != s.Service {
		return false
	}
	if spec.Label != "" && spec.Label != m.Kind && spec.Label != string(m.Rack) {
		return false
	}
	return spec.MaxPerMinion == 0 || m.TasksPerStep[s.StepRun] < spec.MaxPerMinion
}

// fitsAny reports whether a step has no constraint but the resources that its tasks need.
func (s *Step) fitsAny() bool { return s.StepRun.Spec.Label == "" && s.StepRun.Spec.MaxPerMinion == 0 }

// acceptsInHeld is accepts for a task that may also use what is held for others.
func (m *Minion) acceptsInHeld(s *Step) bool {
	return s.StepRun.Spec.Reserved().Fits(m.Free.Add(m.held)) && m.allows(s)
}

// choose returns the minion with the best score for a task, or nil if none accepts it.
func choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	return chooseAmong(minions, s, t, (*Minion).accepts)
}

func chooseAmong(minions []*Minion, s *Step, t *jobs.Task, accepts func(*Minion, *Step) bool) *Minion {
	var best *Minion
	var bestScore score
	for _, m := range minions {
		if !accepts(m, s) {
			continue
		}
		if sc := m.score(s, t); best == nil || sc.betterThan(bestScore) {
			best, bestScore = m, sc
		}
	}
	return best
}

// chooseIgnoring returns the minion that would be chosen for a task if none had a neighbour to avoid.
func chooseIgnoring(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	avoid := s.avoid
	s.avoid = 0
	m := choose(minions, s, t)
	s.avoid = avoid
	return m
}

// score rates a minion for a task. Lower is better; penalties are compared before freeShare.
type score struct {
	// penalties is a bit set of the penalty constants.
	penalties int
	// freeShare is the minion's free share, negated if an emptier minion is better.
	freeShare float64
}

func (sc score) betterThan(o score) bool {
	if sc.penalties != o.penalties {
		return sc.penalties < o.penalties
	}
	return sc.freeShare < o.freeShare
}

// Penalties of a minion for a task, as bits: each outweighs all that follow.
const (
	penaltyRejecting = 1 << (8 - iota)
	penaltyDraining
	penaltyFailedBefore
	penaltySuspect
	penaltyInterference
	penaltyRemoteData
	penaltyCold
	penaltyMaintenanceDue
	penaltyNotPacked
)

func (m *Minion) score(s *Step, t *jobs.Task) score {
	spec := s.StepRun.Spec
	var sc score
	if m.Rejecting {
		sc.penalties |= penaltyRejecting
	}
	if slices.Contains(t.FailedOn, m.ID) {
		sc.penalties |= penaltyFailedBefore
	}
	if m.Suspect {
		sc.penalties |= penaltySuspect
	}
	// Scavenger tasks slow down latency-sensitive ones; which others slow each other down is learned.
	if spec.Scavenger && m.Serving > 0 || spec.TailTarget > 0 && m.Scavengers > 0 || s.avoid&m.Images != 0 {
		sc.penalties |= penaltyInterference
	}
	if spec.DataRack != "" && spec.DataRack != string(m.Rack) {
		sc.penalties |= penaltyRemoteData
	}
	// The first seconds of a long-running task matter little.
	if m.Cold && !spec.LongRunning {
		sc.penalties |= penaltyCold
	}
	// The fullest minion comes first, so that others become empty and their machines can move to
	// other pools.
	sc.freeShare = m.freeShare()
	if spec.LongRunning {
		// A draining minion comes last: the task would be stopped as soon as another one has a place,
		// however unsuitable, and start here again.
		if m.Draining {
			sc.penalties |= penaltyDraining
		}
		if m.MaintenanceDue {
			sc.penalties |= penaltyMaintenanceDue
		}
		// Long-running tasks are packed on few minions, so that the other machines can move to
		// other pools. maxPacked bounds this: the loss of one minion must not stop a whole step.
		if !m.packsLongRunning() {
			sc.penalties |= penaltyNotPacked
		}
		sc.freeShare = -sc.freeShare
	}
	return sc
}

// maxPacked is the number of long-running tasks up to which a minion is preferred for more.
const maxPacked = 4

// packsLongRunning reports whether a minion has long-running tasks, but fewer than maxPacked.
func (m *Minion) packsLongRunning() bool { return m.LongRunning > 0 && m.LongRunning < maxPacked }

// freeShare returns the free share of the minion's capacity: the smaller of CPU and memory.
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

// Reserve counts one task of a step on the minion.
func (m *Minion) Reserve(s *jobs.StepRun) {
	spec := s.Spec
	m.Free = m.Free.Sub(spec.Reserved())
	if spec.MaxPerMinion > 0 {
		if m.TasksPerStep == nil {
			m.TasksPerStep = map[*jobs.StepRun]int{}
		}
		m.TasksPerStep[s]++
	}
	if spec.TailTarget > 0 {
		m.Serving++
	}
	if spec.Scavenger {
		m.Scavengers++
	}
	if spec.LongRunning {
		m.LongRunning++
		m.LongRunningUse = m.LongRunningUse.Add(spec.Reserved())
	}
	if m.interference != nil {
		m.Images |= m.interference.Bit(interference.Image(spec.Image))
	}
}

// release undoes Reserve, except for Images.
func (m *Minion) release(s *Step) {
	spec := s.StepRun.Spec
	m.Free = m.Free.Add(spec.Reserved())
	if spec.MaxPerMinion > 0 {
		m.TasksPerStep[s.StepRun]--
	}
	if spec.TailTarget > 0 {
		m.Serving--
	}
	if spec.Scavenger {
		m.Scavengers--
	}
	if spec.LongRunning {
		m.LongRunning--
		m.LongRunningUse = m.LongRunningUse.Sub(spec.Reserved())
	}
}

// withinLimit reports whether the team stays within its limit if it uses need in addition. A nil
// team has no limit.
func (t *Team) withinLimit(need jobs.Resources) bool {
	if t == nil {
		return true
	}
	return t.fits(t.Used.Add(need))
}

// hold counts a task that waits for a place against the team's limit, and reports whether it is
// within it. It does not keep other tasks of the team from starting.
func (t *Team) hold(need jobs.Resources) bool {
	if t == nil {
		return true
	}
	if !t.fits(t.Used.Add(t.held).Add(need)) {
		return false
	}
	t.held = t.held.Add(need)
	return true
}

// fits reports whether a use is within the team's limit.
func (t *Team) fits(use jobs.Resources) bool {
	ok := func(use, limit int64) bool { return limit == 0 || use <= limit }
	return ok(use.CPU, t.Limit.CPU) && ok(use.MemoryMB, t.Limit.MemoryMB) && ok(use.Accelerators, t.Limit.Accelerators)
}
