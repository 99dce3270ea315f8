package control

import (
	"context"
	"time"

	"boragepulley/internal/admission"
	"boragepulley/internal/model"
)

// minionPoll holds the state of the status polls of one minion.
type minionPoll struct {
	inFlight bool
	lastSent time.Time
	// failures counts consecutive polls without an answer. The poll interval grows
	// exponentially with it.
	failures int
}

// pollMinions asks minions for their running jobs: after a takeover all minions, later
// those with jobs whose state is not known and, less often, those with outstanding
// permits. At most maxMinionPolls polls are in flight.
func (c *Control) pollMinions(now time.Time) {
	coord := c.coord
	if coord == nil {
		return
	}
	for _, i := range coord.admission.Minions() {
		if coord.pollsInFlight >= maxMinionPolls {
			return
		}
		if i.Addr == "" || i.State == model.VMRebooting {
			continue
		}
		p := coord.minionPolls[i.VM]
		if p == nil {
			p = &minionPoll{}
			coord.minionPolls[i.VM] = p
		}
		doubt := !i.Answered || i.Orphaned+i.Lost+i.Unattributed > 0
		gap := minionPollIdleInterval
		if doubt {
			gap = minionPollInterval << min(p.failures, 4)
		}
		if p.inFlight || (!doubt && i.Outstanding == 0) || now.Sub(p.lastSent) < gap {
			continue
		}
		c.pollMinion(coord, p, i, now)
	}
}

func (c *Control) pollMinion(coord *coordinator, p *minionPoll, i admission.MinionInfo, now time.Time) {
	p.inFlight, p.lastSent = true, now
	coord.pollsInFlight++
	c.runAsync(minionPollTimeout, func(ctx context.Context) func() {
		s, err := c.deps.Minions.Status(ctx, i.Addr)
		return func() {
			p.inFlight = false
			coord.pollsInFlight--
			if c.coord != coord {
				return
			}
			if err != nil {
				p.failures++
				return
			}
			p.failures = 0
			jobs := make([]admission.Attempt, 0, len(s.Jobs))
			for _, j := range s.Jobs {
				jobs = append(jobs, admission.Attempt{Job: j.ID, Attempt: j.Attempt})
			}
			c.deliverEffects(coord.admission.MinionStatus(time.Now(), now, i.VM, jobs))
			c.pollMinions(time.Now())
		}
	})
}
