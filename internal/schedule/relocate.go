package schedule

import (
	"cmp"

	"boragepulley/internal/jobs"
)

// relocateStep finds a place for each long-running task of a step that is to be stopped. There is none if
// the team uses more than its limit, because that was lowered: the tasks could not start again.
func (p *planner) relocateStep(s *Step) {
	if team := p.snap.Teams[s.Team]; team != nil && !team.fits(team.Used) {
		return
	}
	p.plan.Relocate = append(p.plan.Relocate, p.reservePlaces(s, s.Relocating)...)
}

// reservePlaces reserves a place for the next run of each of the tasks as far as there is one, and
// holds capacity for the others. The places are on minions that are not being drained themselves and
// do not reject starts.
func (p *planner) reservePlaces(s *Step, tasks []*jobs.Task) []Assignment {
	var out []Assignment
	var targets []*Minion
	p.findAvoided(s)
	for _, m := range p.byService[s.Service] {
		if !m.Draining && !m.Rejecting {
			targets = append(targets, m)
		}
	}
	for i, t := range tasks {
		m := choose(targets, s, t)
		if m == nil {
			p.holdCapacity(s, len(tasks)-i, targets)
			break
		}
		m.Reserve(s.StepRun)
		out = append(out, Assignment{Task: t, Minion: m.ID})
	}
	return out
}

// waitForPlace leaves n tasks of a step waiting, and holds capacity for long-running ones as far as
// their team's limit lets them run.
func (p *planner) waitForPlace(s *Step, team *Team, n int, minions []*Minion) {
	if !s.StepRun.Spec.LongRunning {
		p.leaveWaiting(s, n, ReasonNoMinion)
		return
	}
	within := 0
	for need := s.StepRun.Spec.Need; within < n && team.hold(need); {
		within++
	}
	p.holdCapacity(s, within, minions)
	if within < n {
		p.leaveWaiting(s, n-within, ReasonTeamLimit)
	}
}

// holdCapacity reserves capacity for n long-running tasks that fit nowhere yet, on minions that can
// take them once other tasks have ended. Without it, a task larger than the gaps that others leave
// would wait for as long as smaller ones fill each gap. It records the tasks as not placed.
func (p *planner) holdCapacity(s *Step, n int, minions []*Minion) {
	for ; n > 0; n-- {
		m := minionToHold(s, minions)
		if m == nil {
			p.leaveWaiting(s, n, ReasonNoMinion)
			return
		}
		m.Reserve(s.StepRun)
		m.held = m.held.Add(s.StepRun.Spec.Reserved())
		p.leaveWaiting(s, 1, ReasonNoCapacity)
	}
}

// minionToHold returns the minion that can take a task of a step soonest: the one with the most free
// capacity among those that long-running tasks leave enough of. Draining ones are the last choice.
func minionToHold(s *Step, minions []*Minion) *Minion {
	var best *Minion
	for _, m := range minions {
		if !m.allows(s) || !s.StepRun.Spec.Reserved().Fits(m.Capacity.Sub(m.LongRunningUse)) {
			continue
		}
		if best == nil || m.freesUpBefore(best) {
			best = m
		}
	}
	return best
}

func (m *Minion) freesUpBefore(o *Minion) bool {
	if m.Draining != o.Draining {
		return o.Draining
	}
	return cmp.Or(cmp.Compare(o.freeShare(), m.freeShare()), cmp.Compare(m.ID, o.ID)) < 0
}
