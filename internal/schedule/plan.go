package schedule

import (
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
	// choice while it accepts tasks, because the fullest minion is now fuller still.
	lastBest *Minion
	plan     Plan
}

// NewPlan computes the plan for a snapshot. It modifies the snapshot's minions and teams.
func NewPlan(s *Snapshot) Plan {
	p := planner{snap: s, byService: map[model.Service][]*Minion{}, unplaceable: map[model.Service]jobs.Resources{}}
	for i := range s.Minions {
		m := &s.Minions[i]
		if m.TasksPerStep == nil {
			m.TasksPerStep = map[*jobs.StepRun]int{}
		}
		p.byService[m.Service] = append(p.byService[m.Service], m)
	}
	p.loads = serviceLoads(s)
	sorted := sortSteps(s.Now, s.Steps, p.loads)
	// All steps of long-running tasks come before the others in this order. Their tasks without a
	// run get a place before those that only change theirs.
	longRunning := 0
	for longRunning < len(sorted) && sorted[longRunning].StepRun.Spec.LongRunning {
		p.placeStep(sorted[longRunning])
		longRunning++
	}
	for _, st := range sorted[:longRunning] {
		p.reservePlaces(st, st.Stopping)
	}
	for _, st := range sorted[:longRunning] {
		p.relocateStep(st)
	}
	var deferred []*Step
	for _, st := range sorted[longRunning:] {
		if l := p.loads[st.Service]; l != nil && l.exceedsFairShare(st.Team) {
			deferred = append(deferred, st) // teams within their fair share come first
			continue
		}
		p.placeStep(st)
	}
	for _, st := range deferred {
		p.placeStep(st)
	}
	return p.plan
}

// placeStep places the waiting tasks of a step until one does not fit. A gang that does not fit
// as a whole is not placed at all.
func (p *planner) placeStep(s *Step) {
	minions := p.byService[s.Service]
	if len(s.Waiting) == 0 {
		return
	}
	team := p.snap.Teams[s.Team]
	if len(minions) == 0 {
		p.waitForPlace(s, team, len(s.Waiting), minions)
		return
	}
	// A team's limit counts what a task needs, also the CPU that a scavenger task does not reserve.
	need := s.StepRun.Spec.Need
	var placed []*Minion
	p.lastBest = nil
	for i, t := range s.Waiting {
		reason := ReasonNoCapacity
		var m *Minion
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
		m.Reserve(s.StepRun)
		if team != nil {
			team.Used = team.Used.Add(need)
		}
		p.loads[s.Service].inUse[s.Team] += need.CPU
		placed = append(placed, m)
		p.plan.Start = append(p.plan.Start, Assignment{Task: t, Minion: m.ID})
	}
}

// choose returns the best minion for a task, or nil. It chooses as the function choose does, but
// skips the search where lastBest or unplaceable already tell the result.
func (p *planner) choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	spec := s.StepRun.Spec
	// lastBest is not reused for long-running tasks, which prefer the emptiest minion, for tasks
	// with minions to avoid, and for tasks that are both scavengers and latency-sensitive, which
	// interfere with one another.
	reusable := !spec.LongRunning && len(t.FailedOn) == 0 && !(spec.Scavenger && spec.TailTarget > 0)
	if reusable && p.lastBest != nil && p.lastBest.accepts(s) {
		return p.lastBest
	}
	need := spec.Reserved()
	if smallest, ok := p.unplaceable[s.Service]; ok && smallest.Fits(need) {
		return nil
	}
	m := choose(minions, s, t)
	if m == nil && s.fitsAny() {
		p.unplaceable[s.Service] = need
	}
	p.lastBest = nil
	if reusable {
		p.lastBest = m
	}
	return m
}

// undoGang takes back the placed tasks of a gang that does not fit as a whole.
func (p *planner) undoGang(s *Step, team *Team, placed []*Minion) {
	for _, m := range placed {
		m.release(s)
		if team != nil {
			team.Used = team.Used.Sub(s.StepRun.Spec.Need)
		}
		p.loads[s.Service].inUse[s.Team] -= s.StepRun.Spec.Need.CPU
	}
	p.plan.Start = p.plan.Start[:len(p.plan.Start)-len(placed)]
	delete(p.unplaceable, s.Service) // capacity was freed
}

// leaveWaiting records that n tasks of a step were not placed.
func (p *planner) leaveWaiting(s *Step, n int, r Reason) {
	p.plan.Unplaced = append(p.plan.Unplaced, Unplaced{StepRun: s.StepRun, Tasks: n, Reason: r})
}
