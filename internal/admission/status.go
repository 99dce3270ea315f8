package admission

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// MinionStatus takes the list of running jobs from a minion's status answer. The poll
// was sent at asked and answered at now, both by the coordinator's clock: an answer says
// nothing about what changed after it was asked for.
//
// A lost or orphaned attempt is over, and an unattributed job is forgotten, once two
// polls at least Params.PollGap apart do not list it.
func (a *Admission) MinionStatus(now, asked time.Time, vm model.VM, jobs []Attempt) []Effect {
	out := a.begin(now)
	m := a.minions[vm]
	if m == nil || asked.Before(m.lastAsked) {
		return out
	}
	blocked := a.blockedSlots()
	if !m.answered {
		m.answered = true
		a.silent--
	}
	m.lastAsked = asked
	listed := make(map[Attempt]bool, len(jobs))
	for _, k := range jobs {
		listed[k] = true
	}
	d := make(touched)
	for _, p := range m.sortedPermits() {
		if a.over(now, asked, p, listed[p.key]) {
			a.freePermit(p)
			a.remember(now, p.key, model.ReasonDuplicateID, true)
			d.addTeam(a.team(p.Team))
		}
	}
	for k, since := range m.unattributed {
		if gone(&since, asked, listed[k], a.params.PollGap) {
			delete(m.unattributed, k)
			a.unattributed--
		} else {
			m.unattributed[k] = since
		}
	}
	for k := range listed {
		a.attribute(m, k, asked)
	}
	if a.blockedSlots() < blocked {
		d = a.allTouched()
	}
	d.add(m.service)
	return append(out, a.pump(now, d)...)
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

// over reports whether the status proves that the attempt of p is over.
func (a *Admission) over(now, asked time.Time, p *permit, listed bool) bool {
	if p.state == permitOutstanding {
		if now.Sub(p.granted) <= p.StartWithin+p.maxRun+a.params.OverdueMargin {
			return false
		}
		// The release was lost: a minion ends a request at the service's largest run time.
		p.lose(permitLost, asked, asked)
	}
	return !asked.Before(p.notBefore) && gone(&p.missingSince, asked, listed, a.params.PollGap)
}

// gone updates the first poll that missed an attempt and reports whether this poll
// confirms it.
func gone(since *time.Time, asked time.Time, listed bool, gap time.Duration) bool {
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

// attribute adds a listed job to the unattributed ones unless something explains it.
func (a *Admission) attribute(m *minion, k Attempt, asked time.Time) {
	if p := a.permits[k]; p != nil && p.minion == m {
		return
	}
	if _, ok := m.unattributed[k]; ok {
		return
	}
	if f := a.past[k]; f != nil && !asked.After(f.at.Add(a.params.PollGap)) {
		return // released while the status was on its way
	}
	m.unattributed[k] = time.Time{}
	a.unattributed++
}

// HolderGone handles the death of an entry VM: its waiting requests end, and its permits
// keep slot and team usage until the minions' status shows that they are over.
func (a *Admission) HolderGone(now time.Time, holder model.EntryVM) []Effect {
	out := a.begin(now)
	var waiting []*request
	for _, r := range a.byHolder[holder] {
		waiting = append(waiting, r)
	}
	slices.SortFunc(waiting, func(x, y *request) int { return cmp.Compare(x.seq, y.seq) })
	for _, r := range waiting {
		a.dequeue(r)
		out = append(out, refusal(r, model.ReasonCallerGone, "the entry VM is gone"))
	}
	for _, p := range a.permits {
		if p.Holder == holder && p.state == permitOutstanding {
			p.lose(permitOrphaned, now, now)
		}
	}
	return out
}

// Adopt takes over permits that an entry VM reported when it registered.
func (a *Admission) Adopt(now time.Time, permits []model.Permit) []Effect {
	out := a.begin(now)
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
			out = append(out, a.granted(p, "permit of an earlier coordinator"))
		}
	}
	return append(out, a.pump(now, a.allTouched())...)
}
