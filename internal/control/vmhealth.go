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
	// healthPollInterval is the mean time between two health polls of a minion that may be
	// out of service. While planned steps are possible it applies to all minions, because
	// failures take precedence in the budgets. Otherwise a minion is polled every
	// healthPollIdleInterval: at the target size a coordinator has 50 minions, and polling
	// them every second costs 2.5% of a core.
	healthPollInterval     = time.Second
	healthPollIdleInterval = 4 * time.Second
	// preWavePolling is how long before the start of a wave the frequent polls of all
	// minions begin. It is also the minimum time between their begin and a planned step.
	preWavePolling = 1500 * time.Millisecond
	// healthCheckInterval is the interval at which due polls are sent.
	healthCheckInterval = 100 * time.Millisecond
	// maxHealthPolls bounds the number of health polls in flight.
	maxHealthPolls = 16
	// suspectAfterPolls is the number of consecutive unanswered polls that make a VM
	// suspect. A VM that stays suspect for failSuspectAfter counts as failed
	// (docs/design.md, D11).
	suspectAfterPolls = 3
	failSuspectAfter  = 10 * time.Second
	// healthKeptFor is how recent the last missed poll of a suspect VM must be for a new term of
	// the same process to go on counting from it.
	healthKeptFor = suspectAfterPolls * healthPollInterval
	// suspectKeptFor is how long after a VM became suspect a successor goes on counting from that
	// time. It covers failSuspectAfter and several takeovers; the row of a VM that became suspect
	// earlier is out of date.
	suspectKeptFor = time.Minute
)

// health holds the results of the periodic polls of a VM's minion.
type health struct {
	nextPoll time.Time
	inFlight bool
	// missed counts consecutive polls without an answer.
	missed int
	// suspectSince is when the VM became suspect; zero if it is not suspect. lastMissed is when the
	// last poll without an answer ended.
	suspectSince, lastMissed time.Time
	// lastAnswered is the send time of the latest answered poll.
	lastAnswered time.Time
	// idle is set once a poll of the draining VM found no busy slot and was sent while
	// no permits for the VM were outstanding.
	idle bool
}

// pollHealth sends the health polls that are due.
func (c *Control) pollHealth(now time.Time) {
	coord := c.coord
	if coord == nil || c.cfg.index == nil {
		return
	}
	c.startFrequentPolls(now)
	var used map[model.VM]admission.MinionInfo
	for i := range c.cfg.index.VMs {
		v := &c.cfg.index.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		if r.nextPoll.IsZero() {
			r.nextPoll = now.Add(time.Duration(c.deps.Rand.Int64N(int64(healthPollInterval))))
		}
		if r.inFlight || now.Before(r.nextPoll) {
			continue
		}
		if c.fleet.healthPollsInFlight >= maxHealthPolls {
			return // the remaining polls are sent at the next check
		}
		if used == nil {
			used = minionsByName(coord.admission)
		}
		r.nextPoll = now.Add(c.jitter(c.healthInterval(r)))
		c.sendHealthPoll(coord, r, v, used[v.Name].Used == 0, now)
	}
}

// startFrequentPolls starts the frequent polls of all minions if planned steps may become
// possible within preWavePolling, and ends them if not.
func (c *Control) startFrequentPolls(now time.Time) {
	if !c.plannedStepsPossible(now.Add(preWavePolling)) {
		c.fleet.frequentPollsSince = time.Time{}
		return
	}
	if !c.fleet.frequentPollsSince.IsZero() {
		return
	}
	c.fleet.frequentPollsSince = now
	for _, r := range c.fleet.vms {
		if soon := now.Add(time.Duration(c.deps.Rand.Int64N(int64(healthPollInterval)))); r.nextPoll.After(soon) {
			r.nextPoll = soon
		}
	}
}

// plannedStepsPossible reports whether planned steps are possible at the given time: a wave
// has started and not ended, or a VM is to be drained, rebooted or moved.
func (c *Control) plannedStepsPossible(at time.Time) bool {
	for i := range c.cfg.index.VMs {
		v := &c.cfg.index.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		if r.current.State != model.VMServing || r.current.Pool != v.Pool || v.Drain {
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

// waveEnded reports whether a wave is done with all its VMs according to the newest plan.
func (c *Control) waveEnded(name string) bool {
	for _, w := range c.fleet.plan.Waves {
		if w.Name == name {
			return w.Done >= w.Total
		}
	}
	return false
}

// polledOftenEnough reports whether the health of all minions is recent enough for planned
// steps.
func (c *Control) polledOftenEnough(now time.Time) bool {
	return !c.fleet.frequentPollsSince.IsZero() && now.Sub(c.fleet.frequentPollsSince) >= preWavePolling
}

// healthKnown reports whether each serving VM has answered a poll of this term or is suspect. A
// coordinator that has just taken over does not know which VMs do not answer.
func (c *Control) healthKnown() bool {
	for i := range c.cfg.index.VMs {
		v := &c.cfg.index.VMs[i]
		if v.DC != c.self.DC {
			continue
		}
		r := c.vmRecord(v.Name)
		if r.current.State == model.VMServing && r.lastAnswered.IsZero() && r.suspectSince.IsZero() {
			return false
		}
	}
	return true
}

// adoptSuspect goes on counting from the time since when, according to the row, a VM does not answer
// polls, unless this term knows better. The VM fails only if it leaves polls of this term unanswered
// as well, as many as make a VM suspect.
func (c *Control) adoptSuspect(vm model.VM, r *vmRecord, since time.Time) {
	now := time.Now()
	if since.IsZero() || !r.suspectSince.IsZero() || !r.lastAnswered.IsZero() || now.Sub(since) > suspectKeptFor ||
		r.current.State == model.VMFailed || r.current.State == model.VMRebooting {
		return
	}
	if since.After(now) {
		since = now // by the clock of the earlier coordinator
	}
	r.suspectSince = since
	c.log.Warn().Str("vm", string(vm)).Time("since", since).Msg("vm is suspect: it did not answer polls of the earlier coordinator")
}

func (c *Control) healthInterval(r *vmRecord) time.Duration {
	if r.missed > 0 || r.lastAnswered.IsZero() || !c.fleet.frequentPollsSince.IsZero() {
		return healthPollInterval
	}
	return healthPollIdleInterval
}

func minionsByName(a *admission.Admission) map[model.VM]admission.MinionInfo {
	out := map[model.VM]admission.MinionInfo{}
	for _, m := range a.Minions() {
		out[m.VM] = m
	}
	return out
}

// sendHealthPoll asks a minion for its status. noSlotUsed is whether the coordinator counted
// no slot of it as used when the poll was sent.
func (c *Control) sendHealthPoll(coord *coordinator, r *vmRecord, v *config.VM, noSlotUsed bool, sent time.Time) {
	r.inFlight = true
	c.fleet.healthPollsInFlight++
	stateBefore := r.current.State
	sinceBefore := r.current.Since
	fleetOps.Add("health_polls", 1)
	c.runAsync(minionPollTimeout, func(ctx context.Context) func() {
		s, err := c.deps.Minions.Status(ctx, v.Addr)
		return func() {
			r.inFlight = false
			c.fleet.healthPollsInFlight--
			if c.coord != coord {
				return
			}
			unchanged := r.current.State == stateBefore && r.current.Since.Equal(sinceBefore)
			if err != nil {
				fleetOps.Add("health_polls_unanswered", 1)
				c.onPollFailed(r, v, err)
				return
			}
			c.onPollAnswered(coord, r, v, s, sent, unchanged, noSlotUsed)
		}
	})
}

func (c *Control) onPollFailed(r *vmRecord, v *config.VM, err error) {
	r.missed++
	now := time.Now()
	r.lastMissed = now
	if r.missed < suspectAfterPolls || r.current.State == model.VMRebooting || r.current.State == model.VMFailed {
		return
	}
	if r.suspectSince.IsZero() {
		r.suspectSince = now
		c.log.Warn().Str("vm", string(v.Name)).Err(err).Msg("vm is suspect: it does not answer polls")
		c.recordEvent("failure", "vm/"+string(v.Name), string(r.current.State), "suspect", "no answer to polls")
		return
	}
	if now.Sub(r.suspectSince) >= failSuspectAfter {
		c.markFailed(v.Name, "no answer for "+now.Sub(r.suspectSince).Round(time.Second).String())
	}
}

// markFailed marks a VM as failed. A failure is not a planned change, so it takes effect
// without waiting for the table.
func (c *Control) markFailed(vm model.VM, reason string) {
	r := c.vmRecord(vm)
	c.setVMState(vm, model.VMFailed, reason)
	r.current.Failed, r.current.Request = r.current.Since, ""
	c.recordEvent("failure", "vm/"+string(vm), "", "failed", reason)
}

func (c *Control) onPollAnswered(coord *coordinator, r *vmRecord, v *config.VM, s upstream.Status, sent time.Time, unchanged, noSlotUsed bool) {
	r.missed, r.lastAnswered = 0, sent
	if !r.suspectSince.IsZero() {
		r.suspectSince = time.Time{}
		if r.current.State != model.VMFailed {
			c.log.Info().Str("vm", string(v.Name)).Msg("vm answers polls again")
			c.recordEvent("failure", "vm/"+string(v.Name), "suspect", string(r.current.State), "answers polls again")
		}
	}
	jobs := make([]admission.Attempt, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs = append(jobs, admission.Attempt{Job: j.ID, Attempt: j.Attempt})
	}
	if unchanged && r.current.State == model.VMEmpty {
		invariant.Check(len(jobs) == 0, invariant.NoWorkWhenOutOfService, "VM %s is empty and runs %v", v.Name, jobs)
	}
	if unchanged && r.current.State != model.VMServing && r.current.State != model.VMRebooting {
		r.idle = noSlotUsed && s.Busy == 0 && len(jobs) == 0
		c.deliverEffects(coord.admission.MinionStatus(time.Now(), sent, v.Name, jobs))
	}
}
