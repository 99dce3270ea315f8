package control

import (
	"context"
	"time"

	"boragepulley/internal/admission"
	"boragepulley/internal/config"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/upstream"
)

const (
	// healthEvery is the mean time between two health polls of one minion that may be out
	// of service, or of all while planned steps may be taken, because failures count
	// against the budgets first. Otherwise a minion is polled every healthIdle: at the
	// target a coordinator has 50 minions, and polls every second cost 2.5% of a core.
	healthEvery = time.Second
	healthIdle  = 4 * time.Second
	// waveLead is how long before the start of a wave all minions are polled often, and
	// how long planned steps wait after that began.
	waveLead = 1500 * time.Millisecond
	// healthCheck is the resolution at which due polls are sent.
	healthCheck = 100 * time.Millisecond
	// healthPolls bounds the health polls in flight.
	healthPolls = 16
	// suspectPolls in a row without an answer make a VM suspect, failedAfter of that failed (D11).
	suspectPolls = 3
	failedAfter  = 10 * time.Second
)

// health is what the periodic polls of a VM's minion found.
type health struct {
	next    time.Time
	running bool
	// missed counts polls in a row without an answer.
	missed int
	// suspect is since when the VM is suspect, zero if it is not.
	suspect time.Time
	// answered is when the last answered poll was sent.
	answered time.Time
	// idle is set once a poll that was sent while nothing was granted on the draining VM
	// found no busy slot.
	idle bool
}

// pollHealth sends the health polls that are due.
func (c *Control) pollHealth(now time.Time) {
	k := c.coord
	if k == nil || c.cfg.index == nil {
		return
	}
	c.watchPlans(now)
	var used map[model.VM]admission.MinionInfo
	for i := range c.cfg.index.VMs {
		v := &c.cfg.index.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		if r.next.IsZero() {
			r.next = now.Add(time.Duration(c.d.Rand.Int64N(int64(healthEvery))))
		}
		if r.running || now.Before(r.next) {
			continue
		}
		if c.fleet.polling >= healthPolls {
			return // the rest is due at the next check
		}
		if used == nil {
			used = minionsByName(k.adm)
		}
		r.next = now.Add(c.jitter(c.healthInterval(r)))
		c.healthPoll(k, r, v, used[v.Name].Used == 0, now)
	}
}

// watchPlans polls all minions often from waveLead before planned steps may be taken.
func (c *Control) watchPlans(now time.Time) {
	if !c.stepsPossible(now.Add(waveLead)) {
		c.fleet.watchSince = time.Time{}
		return
	}
	if !c.fleet.watchSince.IsZero() {
		return
	}
	c.fleet.watchSince = now
	for _, r := range c.fleet.vms {
		if soon := now.Add(time.Duration(c.d.Rand.Int64N(int64(healthEvery)))); r.next.After(soon) {
			r.next = soon
		}
	}
}

// stepsPossible reports whether a wave that has not ended runs at a time, or a VM is to
// be drained, rebooted or moved.
func (c *Control) stepsPossible(at time.Time) bool {
	for i := range c.cfg.index.VMs {
		v := &c.cfg.index.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		if r.cur.State != model.VMServing || r.cur.Pool != v.Pool || v.Drain {
			return true
		}
	}
	for i := range c.cfg.index.Waves {
		w := &c.cfg.index.Waves[i]
		if !w.Start.After(at) && !c.waveEnded(w.Name) {
			return true
		}
	}
	return false
}

// waveEnded reports whether the newest plan found nothing left to do for a wave.
func (c *Control) waveEnded(name string) bool {
	for _, w := range c.fleet.plan.Waves {
		if w.Name == name {
			return w.Done >= w.Total
		}
	}
	return false
}

// watched reports whether every minion has been polled often enough for planned steps.
func (c *Control) watched(now time.Time) bool {
	return !c.fleet.watchSince.IsZero() && now.Sub(c.fleet.watchSince) >= waveLead
}

func (c *Control) healthInterval(r *vmRecord) time.Duration {
	if r.missed > 0 || r.answered.IsZero() || !c.fleet.watchSince.IsZero() {
		return healthEvery
	}
	return healthIdle
}

func minionsByName(a *admission.Admission) map[model.VM]admission.MinionInfo {
	out := map[model.VM]admission.MinionInfo{}
	for _, m := range a.Minions() {
		out[m.VM] = m
	}
	return out
}

// healthPoll asks one minion for its status. free is whether no slot was in use here when
// the poll was sent.
func (c *Control) healthPoll(k *coordinator, r *vmRecord, v *config.VM, free bool, sent time.Time) {
	r.running = true
	c.fleet.polling++
	before := r.cur.State
	since := r.cur.Since
	fleetOps.Add("health_polls", 1)
	c.async(minionPollTimeout, func(ctx context.Context) func() {
		s, err := c.d.Minions.Status(ctx, v.Addr)
		return func() {
			r.running = false
			c.fleet.polling--
			if c.coord != k {
				return
			}
			same := r.cur.State == before && r.cur.Since.Equal(since)
			if err != nil {
				fleetOps.Add("health_polls_unanswered", 1)
				c.missedPoll(r, v, err)
				return
			}
			c.answeredPoll(k, r, v, s, sent, same, free)
		}
	})
}

func (c *Control) missedPoll(r *vmRecord, v *config.VM, err error) {
	r.missed++
	now := time.Now()
	if r.missed < suspectPolls || r.cur.State == model.VMRebooting || r.cur.State == model.VMFailed {
		return
	}
	if r.suspect.IsZero() {
		r.suspect = now
		c.log.Warn().Str("vm", string(v.Name)).Err(err).Msg("vm is suspect: it answers no polls")
		c.event("failure", "vm/"+string(v.Name), string(r.cur.State), "suspect", "no answer to polls")
		return
	}
	if now.Sub(r.suspect) >= failedAfter {
		c.fail(v.Name, "no answer for "+now.Sub(r.suspect).Round(time.Second).String())
	}
}

// fail marks a VM as failed. That is not planned, so it does not wait for the table.
func (c *Control) fail(vm model.VM, reason string) {
	r := c.vmRecord(vm)
	c.setVMState(vm, model.VMFailed, reason)
	r.cur.Failed, r.cur.Request = r.cur.Since, ""
	c.event("failure", "vm/"+string(vm), "", "failed", reason)
}

func (c *Control) answeredPoll(k *coordinator, r *vmRecord, v *config.VM, s upstream.Status, sent time.Time, same, free bool) {
	r.missed, r.answered = 0, sent
	if !r.suspect.IsZero() {
		r.suspect = time.Time{}
		if r.cur.State != model.VMFailed {
			c.log.Info().Str("vm", string(v.Name)).Msg("vm answers polls again")
			c.event("failure", "vm/"+string(v.Name), "suspect", string(r.cur.State), "answers polls again")
		}
	}
	jobs := make([]admission.Attempt, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs = append(jobs, admission.Attempt{Job: j.ID, Attempt: j.Attempt})
	}
	if same && r.cur.State == model.VMEmpty {
		invariant.Check(len(jobs) == 0, invariant.NoWorkWhenLeaving, "VM %s is empty and runs %v", v.Name, jobs)
	}
	if same && r.cur.State != model.VMServing && r.cur.State != model.VMRebooting {
		r.idle = free && s.Busy == 0 && len(jobs) == 0
		c.deliver(k.adm.MinionStatus(time.Now(), sent, v.Name, jobs))
	}
}
