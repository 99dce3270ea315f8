package admission

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// MinionStatus processes the running jobs that a minion reported in reply to a status poll.
// The poll was sent at asked and the reply arrived at now, both by the coordinator's clock:
// the reply proves nothing about changes after asked.
//
// A lost or orphaned attempt is considered ended, and an unattributed job is dropped, once
// two polls at least Params.PollGap apart do not list it.
func (a *Admission) MinionStatus(now, asked time.Time, vm model.VM, jobs []Attempt) []Effect {
	out := a.expire(now)
	m := a.minions[vm]
	if m == nil || asked.Before(m.lastAsked) {
		return out
	}
	blocked := a.blockedSlots()
	if !m.answered {
		m.answered = true
		a.unanswered--
	}
	m.lastAsked = asked
	listed := make(map[Attempt]bool, len(jobs))
	for _, k := range jobs {
		listed[k] = true
	}
	d := make(serviceSet)
	for _, p := range m.sortedPermits() {
		if a.attemptOver(now, asked, p, listed[p.key]) {
			a.freePermit(p)
			a.recordFinished(now, p.key, model.ReasonDuplicateID, true)
			d.addTeam(a.team(p.Team))
		}
	}
	for k, since := range m.unattributed {
		if confirmMissing(&since, asked, listed[k], a.params.PollGap) {
			delete(m.unattributed, k)
			a.unattributed--
		} else {
			m.unattributed[k] = since
		}
	}
	for k := range listed {
		a.recordUnattributed(m, k, asked)
	}
	if a.blockedSlots() < blocked {
		d = a.waitingServices()
	}
	d.add(m.service)
	return append(out, a.grantEligible(now, d)...)
}

func (m *minion) sortedPermits() []*permit {
	out := make([]*permit, 0, len(m.permits))
	for _, p := range m.permits {
		out = append(out, p)
	}
	slices.SortFunc(out, func(x, y *permit) int {
		return cmp.Or(cmp.Compare(x.key.Job, y.key.Job), cmp.Compare(x.key.Attempt, y.key.Attempt))
	})
	return out
}

// attemptOver reports whether the status proves that the attempt of p has ended.
func (a *Admission) attemptOver(now, asked time.Time, p *permit, listed bool) bool {
	if p.state == permitOutstanding {
		if now.Sub(p.granted) <= p.StartWithin+p.maxRun+a.params.OverdueMargin {
			return false
		}
		// The release message was lost: minions abort requests at the service's maximum run time.
		p.awaitStatus(permitLost, asked, asked)
	}
	return !asked.Before(p.notBefore) && confirmMissing(&p.missingSince, asked, listed, a.params.PollGap)
}

// confirmMissing updates since, the time of the first poll that did not list an attempt, and
// reports whether this poll confirms that the attempt has ended.
func confirmMissing(since *time.Time, asked time.Time, listed bool, gap time.Duration) bool {
	if listed {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = asked
		return false
	}
	return asked.Sub(*since) >= gap
}

// recordUnattributed adds a listed job to the minion's unattributed jobs, unless a permit or
// a recent release accounts for it.
func (a *Admission) recordUnattributed(m *minion, k Attempt, asked time.Time) {
	if p := a.permits[k]; p != nil && p.minion == m {
		return
	}
	if _, ok := m.unattributed[k]; ok {
		return
	}
	if f := a.finished[k]; f != nil && !asked.After(f.at.Add(a.params.PollGap)) {
		return // released while the status reply was in transit
	}
	m.unattributed[k] = time.Time{}
	a.unattributed++
}

// RemoveHolder handles the failure of an entry VM: its waiting requests are refused, and its
// permits keep their slots and count for their teams until the minions' status shows that
// the attempts have ended.
func (a *Admission) RemoveHolder(now time.Time, holder model.EntryVM) []Effect {
	out := a.expire(now)
	var waiting []*request
	for _, r := range a.byHolder[holder] {
		waiting = append(waiting, r)
	}
	slices.SortFunc(waiting, func(x, y *request) int { return cmp.Compare(x.seq, y.seq) })
	for _, r := range waiting {
		a.dequeue(r)
		out = append(out, refuseEffect(r, model.ReasonEntryLost, "the entry VM that sent the request is no longer available"))
	}
	for _, p := range a.permits {
		if p.Holder == holder && p.state == permitOutstanding {
			p.awaitStatus(permitOrphaned, now, now)
		}
	}
	return out
}

// Adopt adds the permits that an entry VM reported when it registered.
func (a *Admission) Adopt(now time.Time, permits []model.Permit) []Effect {
	out := a.expire(now)
	for _, c := range permits {
		k := Attempt{Job: c.Job, Attempt: c.Attempt}
		if p := a.permits[k]; p != nil {
			if p.Holder == c.Holder && p.Minion == c.Minion && p.state == permitOrphaned {
				p.state = permitOutstanding
			}
			continue
		}
		m := a.minion(c.Minion)
		if _, ok := m.unattributed[k]; ok {
			delete(m.unattributed, k)
			a.unattributed--
		}
		p := &permit{Permit: c, key: k, minion: m, granted: now}
		if s := a.services[c.Service]; s != nil {
			p.maxRun = s.maxRun
		}
		a.addPermit(p)
		if r := a.waiting[k]; r != nil && r.holder == c.Holder {
			a.dequeue(r)
			out = append(out, a.grantEffect(p, "permit granted by an earlier coordinator"))
		}
	}
	return append(out, a.grantEligible(now, a.waitingServices())...)
}
