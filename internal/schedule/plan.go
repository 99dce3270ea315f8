package schedule

import (
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

type planner struct {
	snap      *Snapshot
	byService map[model.Service][]*Minion
	under     map[model.Service]*pressure
	// full is, by service, what a step asked for that found no room on any minion: room only
	// shrinks during a plan, so one that asks for as much finds none either.
	full map[model.Service]jobs.Resources
	// again is the minion of the task before, if it is the best one for the next task of the
	// step as well: the fullest one is fuller still.
	again *Minion
	plan  Plan
}

// Make returns the plan for a snapshot. It changes the snapshot's minions and teams.
func Make(s *Snapshot) Plan {
	p := planner{snap: s, byService: map[model.Service][]*Minion{}, full: map[model.Service]jobs.Resources{}}
	for i := range s.Minions {
		m := &s.Minions[i]
		if m.PerStep == nil {
			m.PerStep = map[*jobs.StepRun]int{}
		}
		p.byService[m.Service] = append(p.byService[m.Service], m)
	}
	p.under = pressures(s)
	var beyond []*Step
	for _, st := range order(s.Now, s.Steps, p.under) {
		if u := p.under[st.Service]; u != nil && u.beyondShare(st.Team) && !st.Run.Spec.Lasting {
			beyond = append(beyond, st) // teams below their share come first
			continue
		}
		p.start(st)
	}
	for _, st := range beyond {
		p.start(st)
	}
	return p.plan
}

// start places the waiting tasks of a step as far as there is room.
func (p *planner) start(s *Step) {
	minions := p.byService[s.Service]
	if len(minions) == 0 {
		p.keep(s, len(s.Waiting), ReasonNoMinion)
		return
	}
	team := p.snap.Teams[s.Team]
	// A team's limit counts what a task asks for, whether it is reserved or not.
	need := s.Run.Spec.Need
	var placed []*Minion
	p.again = nil
	for i, t := range s.Waiting {
		reason := ReasonNoRoom
		var m *Minion
		if team.allows(need) {
			m = p.choose(minions, s, t)
		} else {
			reason = ReasonTeamLimit
		}
		if m == nil {
			if s.Run.Spec.Gang {
				p.undo(s, team, placed)
				i = 0
			}
			p.keep(s, len(s.Waiting)-i, reason)
			return
		}
		m.put(s)
		if team != nil {
			team.Used = team.Used.Add(need)
		}
		p.under[s.Service].inUse[s.Team] += need.CPU
		placed = append(placed, m)
		p.plan.Start = append(p.plan.Start, Assignment{Task: t, Minion: m.ID})
	}
}

// choose returns the best minion for a task, or nil.
func (p *planner) choose(minions []*Minion, s *Step, t *jobs.Task) *Minion {
	spec := s.Run.Spec
	// Tasks that fill and serve disturb each other.
	plain := !spec.Lasting && len(t.FailedOn) == 0 && !(spec.Fills && spec.TailTarget > 0)
	if plain && p.again != nil && p.again.accepts(s) {
		return p.again
	}
	need := spec.Reserved()
	if least, ok := p.full[s.Service]; ok && least.Fits(need) {
		return nil
	}
	m := choose(minions, s, t)
	if m == nil && s.anyMinion() {
		p.full[s.Service] = need
	}
	p.again = nil
	if plain {
		p.again = m
	}
	return m
}

// undo takes back what was placed of a gang that does not fit as a whole.
func (p *planner) undo(s *Step, team *Team, placed []*Minion) {
	for _, m := range placed {
		m.takeBack(s)
		if team != nil {
			team.Used = team.Used.Sub(s.Run.Spec.Need)
		}
		p.under[s.Service].inUse[s.Team] -= s.Run.Spec.Need.CPU
	}
	p.plan.Start = p.plan.Start[:len(p.plan.Start)-len(placed)]
	delete(p.full, s.Service) // there is room again
}

func (p *planner) keep(s *Step, n int, r Reason) {
	p.plan.Kept = append(p.plan.Kept, Kept{Run: s.Run, Tasks: n, Reason: r})
}
