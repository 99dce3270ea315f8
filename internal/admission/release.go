package admission

import (
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Cancel cancels a waiting attempt. If a permit was granted meanwhile, the holder releases it
// when the grant arrives. The grant may be lost, so the minion's status also frees the
// permit once its start window has passed.
func (a *Admission) Cancel(now time.Time, job model.JobID, attempt int, holder model.EntryVM) []Effect {
	out := a.expire(now)
	k := Attempt{Job: job, Attempt: attempt}
	if r := a.waiting[k]; r != nil && r.holder == holder {
		a.dequeue(r)
		a.recordFinished(now, k, model.ReasonCancelled, true)
		return append(out, refuseEffect(r, model.ReasonCancelled, "cancelled while waiting"))
	}
	if p := a.permits[k]; p != nil && p.Holder == holder && p.state == permitOutstanding {
		p.awaitStatus(permitLost, now, p.granted.Add(p.StartWithin))
	} else if p == nil {
		// A delayed duplicate of the Acquire may still arrive and must be refused.
		a.recordFinished(now, k, model.ReasonCancelled, true)
	}
	return out
}

// awaitStatus marks p as lost or orphaned: only the minion's status can free it, with polls
// sent at notBefore or later.
func (p *permit) awaitStatus(st permitState, now, notBefore time.Time) {
	p.state = st
	p.notBefore = now
	if notBefore.After(now) {
		p.notBefore = notBefore
	}
	p.missingSince = time.Time{}
}

// Release processes the release of a permit by its holder. A lost attempt keeps its slot
// until the minion's status shows that it has ended.
func (a *Admission) Release(now time.Time, rel peer.Release) []Effect {
	out := a.expire(now)
	k := Attempt{Job: rel.Job, Attempt: rel.Attempt}
	p := a.permits[k]
	if p == nil {
		return append(out, a.releaseUnknown(now, k, rel)...)
	}
	if p.Holder != rel.From.Entry || rel.Token.Less(p.Token) || (rel.Minion != "" && rel.Minion != p.Minion) {
		return out // belongs to an earlier permit of the same attempt
	}
	a.recordResult(now, p, rel.Result)
	if rel.Result == peer.AttemptLost {
		p.awaitStatus(permitLost, now, now)
		return out
	}
	blocked := a.blockedSlots()
	a.freePermit(p)
	a.recordFinished(now, k, model.ReasonDuplicateID, rel.Result != peer.AttemptUnused)
	d := a.servicesAffectedBy(p.minion, blocked)
	d.addTeam(a.team(p.Team))
	return append(out, a.grantEligible(now, d)...)
}

// releaseUnknown handles the release of a permit that this coordinator does not know. The
// attempt may be one of the minion's unattributed jobs.
func (a *Admission) releaseUnknown(now time.Time, k Attempt, rel peer.Release) []Effect {
	if rel.Result == peer.AttemptLost {
		return nil
	}
	a.recordFinished(now, k, model.ReasonDuplicateID, rel.Result != peer.AttemptUnused)
	m := a.minions[rel.Minion]
	if m == nil {
		return nil
	}
	if _, ok := m.unattributed[k]; !ok {
		return nil
	}
	delete(m.unattributed, k)
	a.unattributed--
	return a.grantEligible(now, a.waitingServices())
}

// recordResult updates the mean service time and the minion's health with an attempt's result.
func (a *Admission) recordResult(now time.Time, p *permit, result peer.AttemptResult) {
	m := p.minion
	switch result {
	case peer.AttemptOK:
		if s := a.services[p.Service]; s != nil && !p.granted.IsZero() {
			s.observe(now.Sub(p.granted))
		}
		m.recordSuccess()
	case peer.AttemptNotStarted, peer.AttemptFailed, peer.AttemptLost:
		if p.state == permitOutstanding || result != peer.AttemptLost {
			m.recordFailure(now, p.probe, a.params)
		}
	}
}
