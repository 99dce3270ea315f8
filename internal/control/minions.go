package control

import (
	"context"
	"time"

	"boragepulley/internal/admission"
	"boragepulley/internal/model"
)

// minionPoll is the state of the status polls of one minion.
type minionPoll struct {
	running bool
	last    time.Time
	// failures counts polls in a row without an answer; they space out the next ones.
	failures int
}

// pollMinions asks minions for their running jobs: all of them after a takeover, then
// those with jobs in doubt. Polls in progress are bounded.
func (c *Control) pollMinions(now time.Time) {
	k := c.coord
	if k == nil {
		return
	}
	for _, i := range k.adm.Minions() {
		if k.polling >= minionPolls {
			return
		}
		if i.Addr == "" || i.State == model.VMRebooting {
			continue
		}
		p := k.polls[i.VM]
		if p == nil {
			p = &minionPoll{}
			k.polls[i.VM] = p
		}
		doubt := !i.Answered || i.Orphaned+i.Lost+i.Unattributed > 0
		gap := minionPollIdle
		if doubt {
			gap = minionPollGap << min(p.failures, 4)
		}
		if p.running || (!doubt && i.Outstanding == 0) || now.Sub(p.last) < gap {
			continue
		}
		c.pollMinion(k, p, i, now)
	}
}

func (c *Control) pollMinion(k *coordinator, p *minionPoll, i admission.MinionInfo, now time.Time) {
	p.running, p.last = true, now
	k.polling++
	c.async(minionPollTimeout, func(ctx context.Context) func() {
		s, err := c.d.Minions.Status(ctx, i.Addr)
		return func() {
			p.running = false
			k.polling--
			if c.coord != k {
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
			c.deliver(k.adm.MinionStatus(time.Now(), now, i.VM, jobs))
			c.pollMinions(time.Now())
		}
	})
}
