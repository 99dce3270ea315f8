package schedule

import (
	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// planner computes one plan.
type planner struct {
	snap      *Snapshot
	byService map[model.Service][]*Minion
	loads     map[model.Service]*serviceLoad
	// unplaceable holds, by service, resources that no minion had free. Free capacity only
	// shrinks during a plan, so a later task that needs as much is not tried.
	unplaceable map[model.Service]jobs.Resources
	// lastBest is the minion chosen for the previous task of the step, or nil. It stays the best
	// choice while it accepts tasks, because the fullest minion is now fuller still. lastInsteadOf is
	// Avoided.InsteadOf of the previous task, or empty.
	lastBest      *Minion
	lastInsteadOf jobs.Minion
	queue         *stepQueue
	// failures counts, by service, the steps of which a task found no place.
	failures map[model.Service]int
	// starts counts the tasks in plan.Start that are not long-running.
	starts int
	plan   Plan
}

// NewPlan computes the plan for a snapshot. It modifies the snapshot's minions and teams.
func NewPlan(s *Snapshot) Plan {
	p := planner{snap: s, byService: map[model.Service][]*Minion{}, unplaceable: map[model.Service]jobs.Resources{}, failures: map[model.Service]int{}}
	for i := range s.Minions {
		m := &s.Minions[i]
		if m.TasksPerStep == nil {
			m.TasksPerStep = map[*jobs.StepRun]int{}
		}
		m.interference = s.Interference
		p.byService[m.Service] = append(p.byService[m.Service], m)
	}
	p.loads = serviceLoads(s)
	p.queue = newStepQueue(s.Now, s.Steps, p.loads)
	// All steps of long-running tasks come before the others in this order. Their tasks without a
	// run get a place before those that only change theirs.
	var longRunning []*Step
	for first := p.queue.peek(); first != nil && first.StepRun.Spec.LongRunning; first = p.queue.peek() {
		st := p.queue.pop().Step
		longRunning = append(longRunning, st)
		p.placeStep(st)
	}
	for _, st := range longRunning {
		p.reservePlaces(st, st.Stopping)
	}
	for _, st := range longRunning {
		p.relocateStep(st)
	}
	var deferred []*Step
	for p.queue.peek() != nil && !p.reachedBound() {
		st := p.queue.pop()
		if st.load != nil && st.load.exceedsFairShare(st.Team) {
			deferred = append(deferred, st.Step) // teams within their fair share come first
			continue
		}
		p.placeOthers(st.Step)
	}
	for _, st := range deferred {
		if p.reachedBound() {
			break
		}
		p.placeStep(st)
	}
	p.plan.Compared = p.queue.compared
	return p.plan
}

// reachedBound reports whether no more tasks may start, other than long-running ones.
func (p *planner) reachedBound() bool {
	most := p.snap.MaxStarts
	if most != 0 && p.starts >= most {
		p.plan.Bounded = true
	}
	return p.plan.Bounded
}

// placeOthers places the waiting tasks of a step that are not long-running. When one finds no place,
// the steps of its service that need more than any minion has free are no longer tried: capacity only
// shrinks during a plan. That is looked at after the first, second, fourth, ... failure.
func (p *planner) placeOthers(s *Step) {
	unplaced := len(p.plan.Unplaced)
	p.placeStep(s)
	if len(p.plan.Unplaced) == unplaced || p.plan.Unplaced[unplaced].Reason == ReasonTeamLimit {
		return
	}
	p.failures[s.Service]++
	if n := p.failures[s.Service]; n&(n-1) != 0 {
		return
	}
	var free jobs.Resources
	reason := ReasonNoMinion
	for _, m := range p.byService[s.Service] {
		free, reason = free.Max(m.Free), ReasonNoCapacity
	}
	p.queue.remove(func(other *Step) bool {
		if other.Service != s.Service || other.StepRun.Spec.Reserved().Fits(free) {
			return false
		}
		p.leaveWaiting(other, len(other.Waiting), reason)
		return true
	})
}

// placeStep places the waiting tasks of a step until one does not fit. A gang that does not fit
// as a whole is not placed at all.
func (p *planner) placeStep(s *Step) {
	minions := p.byService[s.Service]
	if len(s.Waiting) == 0 {
		return
	}
	p.plan.Tried++
	team := p.snap.Teams[s.Team]
	if len(minions) == 0 {
		p.waitForPlace(s, team, len(s.Waiting), minions)
		return
	}
	// A team's limit counts what a task needs, also the CPU that a scavenger task does not reserve.
	need := s.StepRun.Spec.Need
	var placed []placement
	p.lastBest, p.lastInsteadOf = nil, ""
	p.findAvoided(s)
	for i, t := range s.Waiting {
		reason := ReasonNoCapacity
		var m *Minion
		if !s.StepRun.Spec.LongRunning && !s.StepRun.Spec.Gang && p.reachedBound() {
			return
		}
		if team.withinLimit(need) {
			m = p.choose(minions, s, t)
			if m == nil && s.StepRun.Spec.LongRunning {
				// What is held is of no use yet to the tasks for which it is.
				m = chooseAmong(minions, s, t, (*Minion).acceptsInHeld)
			}
		} else {
			reason = ReasonTeamLimit
		}
		if m == nil {
			if s.StepRun.Spec.Gang {
				p.undoGang(s, team, placed)
				i = 0
			}
			if reason == ReasonNoCapacity && s.StepRun.Spec.LongRunning {
				p.waitForPlace(s, team, len(s.Waiting)-i, minions)
				return
			}
			p.leaveWaiting(s, len(s.Waiting)-i, reason)
			return
		}
		if s.StepRun.Spec.Gang {
			placed = append(placed, placement{m, m.Images})
		}
		m.Reserve(s.StepRun)
		if team != nil {
			team.Used = team.Used.Add(need)
		}
		p.loads[s.Service].inUse[s.Team] += need.CPU
		p.plan.Start = append(p.plan.Start, Assignment{Task: t, Minion: m.ID})
		if p.lastInsteadOf != "" {
			p.plan.Avoided = append(p.plan.Avoided, Avoided{Assignment{Task: t, Minion: m.ID}, p.lastInsteadOf})
		}
		if !s.StepRun.Spec.LongRunning {
			p.starts++
		}
	}
}

// choose returns the best minion for a task, or nil. It chooses as the function choose does, but
// skips the search where lastBest or unplaceable already tell the result.
func (p *planner) choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	spec := s.StepRun.Spec
	// lastBest is not reused for long-running tasks, which prefer the emptiest minion, for tasks
	// with minions to avoid, and for tasks that interfere with one another: those that are both
	// scavengers and latency-sensitive, and those whose image slows itself down.
	reusable := !spec.LongRunning && len(t.FailedOn) == 0 && !(spec.Scavenger && spec.TailTarget > 0) && !s.avoidsItself(p.snap)
	if reusable && p.lastBest != nil && p.lastBest.accepts(s) {
		return p.lastBest
	}
	p.lastInsteadOf = ""
	need := spec.Reserved()
	if smallest, ok := p.unplaceable[s.Service]; ok && smallest.Fits(need) {
		return nil
	}
	m := choose(minions, s, t)
	if m != nil && s.avoid != 0 {
		if other := chooseIgnoring(minions, s, t); other != m {
			p.lastInsteadOf = other.ID
		}
	}
	if m == nil && s.fitsAny() {
		p.unplaceable[s.Service] = need
	}
	p.lastBest = nil
	if reusable {
		p.lastBest = m
	}
	return m
}

// placement is the minion of a placed task of a gang, and Minion.Images before that.
type placement struct {
	minion *Minion
	images uint64
}

// findAvoided sets the images beside which a step's tasks should not be started.
func (p *planner) findAvoided(s *Step) {
	if p.snap.Interference != nil {
		s.avoid = p.snap.Interference.Avoid(interference.Image(s.StepRun.Spec.Image))
	}
}

// avoidsItself reports whether the step's tasks should not be started beside one another.
func (s *Step) avoidsItself(snap *Snapshot) bool {
	return s.avoid != 0 && s.avoid&snap.Interference.Bit(interference.Image(s.StepRun.Spec.Image)) != 0
}

// undoGang takes back the placed tasks of a gang that does not fit as a whole.
func (p *planner) undoGang(s *Step, team *Team, placed []placement) {
	for i := len(placed) - 1; i >= 0; i-- { // the first task on a minion has its images from before
		m := placed[i].minion
		m.release(s)
		m.Images = placed[i].images
		if team != nil {
			team.Used = team.Used.Sub(s.StepRun.Spec.Need)
		}
		p.loads[s.Service].inUse[s.Team] -= s.StepRun.Spec.Need.CPU
	}
	p.plan.Start = p.plan.Start[:len(p.plan.Start)-len(placed)]
	for n := len(p.plan.Avoided); n > 0 && p.plan.Avoided[n-1].Task.Step == s.StepRun; n-- {
		p.plan.Avoided = p.plan.Avoided[:n-1]
	}
	if !s.StepRun.Spec.LongRunning {
		p.starts -= len(placed)
	}
	delete(p.unplaceable, s.Service) // capacity was freed
}

// leaveWaiting records that n tasks of a step were not placed.
func (p *planner) leaveWaiting(s *Step, n int, r Reason) {
	p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{StepRun: s.StepRun, Tasks: n, Reason: r})
}
