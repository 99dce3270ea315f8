package admission

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
)

// serviceSet is a set of services for which a grant may have become possible. Services
// without waiting requests are not added.
type serviceSet map[model.Service]*service

func (d serviceSet) add(s *service) {
	if s != nil && s.waiting > 0 {
		d[s.name] = s
	}
}

// addTeam adds the services for which the team has waiting requests.
func (d serviceSet) addTeam(t *team) {
	if t.waiting == 0 {
		return
	}
	for _, b := range t.backlogs {
		if b.waiting > 0 {
			d.add(b.service)
		}
	}
}

func (a *Admission) waitingServices() serviceSet {
	d := make(serviceSet)
	for _, s := range a.services {
		d.add(s)
	}
	return d
}

// candidate is the request that a service would start next; request is nil if there is none.
type candidate struct {
	service *service
	backlog *backlog
	request *request
	aged    bool
	starved bool
}

// grantEligible grants permits for the given services until no waiting request is eligible.
// The candidates of all services are compared, so that a team at its allotment does not
// spend it on a single service.
func (a *Admission) grantEligible(now time.Time, d serviceSet) []Effect {
	if len(d) == 0 {
		return nil
	}
	blocked := a.blockedSlots()
	cands := make([]candidate, 0, len(d))
	for _, s := range d {
		if c := a.nextCandidate(now, s, blocked); c.request != nil {
			cands = append(cands, c)
		}
	}
	slices.SortFunc(cands, func(x, y candidate) int { return cmp.Compare(x.service.name, y.service.name) })
	var out []Effect
	for len(cands) > 0 {
		best := 0
		for i := 1; i < len(cands); i++ {
			if cands[i].before(&cands[best]) {
				best = i
			}
		}
		c := cands[best]
		out = append(out, a.grantCandidate(now, c, blocked))
		kept := cands[:0]
		for _, o := range cands {
			if o.service == c.service || o.backlog.team == c.backlog.team {
				o = a.nextCandidate(now, o.service, blocked)
			}
			if o.request != nil {
				kept = append(kept, o)
			}
		}
		cands = kept
	}
	return out
}

// blockedSlots returns the number of slots that count against every team's limit: those of
// jobs without a known permit and of minions that have not replied since the takeover.
func (a *Admission) blockedSlots() int {
	n := a.unattributed
	if a.unanswered == 0 {
		return n
	}
	for _, m := range a.minions {
		n += m.unknownSlots()
	}
	return n
}

// headroom returns how many more requests the team may start here. It is negative while the
// team runs more than a limit that was lowered.
func (t *team) headroom(blocked int) int {
	if !t.limited {
		return 1
	}
	return min(t.allotment, t.limit) - t.permits - t.tasks - blocked
}

// nextCandidate chooses the request that s would start now. Among the teams below their
// allotment, the one with the lowest fleet-wide usage ratio goes first; ties are broken by
// class, deadline and arrival.
func (a *Admission) nextCandidate(now time.Time, s *service, blocked int) candidate {
	none := candidate{service: s}
	s.scanMinions(now)
	if len(s.available) == 0 || s.waiting == 0 {
		return none
	}
	best := none
	for _, b := range s.backlogs {
		if b.team.headroom(blocked) <= 0 {
			continue
		}
		c := candidate{service: s, backlog: b, starved: a.starved(now, b)}
		// The request only decides ties between teams, so it is not computed for most teams.
		if best.request != nil && c.compareTeams(&best) > 0 {
			continue
		}
		c.request, c.aged = a.nextRequest(now, b)
		if c.request != nil && (best.request == nil || c.before(&best)) {
			best = c
		}
	}
	return best
}

// compareTeams orders candidates by team: starved teams first, then by usage ratio.
func (c *candidate) compareTeams(o *candidate) int {
	if c.starved != o.starved {
		if c.starved {
			return -1
		}
		return 1
	}
	if c.starved {
		if d := c.backlog.lastGrant.Compare(o.backlog.lastGrant); d != 0 {
			return d
		}
	}
	return c.backlog.team.compareRatio(o.backlog.team)
}

func (c *candidate) before(o *candidate) bool {
	if d := c.compareTeams(o); d != 0 {
		return d < 0
	}
	return c.request.before(o.request)
}

// starved reports whether the team has waited for this service for more than twice the
// interval that its share accounts for. Without this check, a team that loses every tie by
// priority would never be served.
func (a *Admission) starved(now time.Time, b *backlog) bool {
	since := now.Sub(b.lastGrant)
	if since <= a.params.AgingThreshold {
		return false
	}
	shares, slots := 0, b.service.servingSlots
	for _, o := range b.service.backlogs {
		shares += o.team.share
	}
	// By its share, the team gets a slot once per expected interval.
	expected := time.Duration(float64(b.service.mean) * float64(shares) / float64(max(1, slots*b.team.share)))
	return since > 2*expected
}

// nextRequest chooses the team's next eligible request by class, deadline and arrival, except
// that one in Params.AgedEvery grants goes to the oldest aged request.
func (a *Admission) nextRequest(now time.Time, b *backlog) (r *request, aged bool) {
	var oldest *request
	for _, l := range b.groups {
		first := l.heap[0]
		if !b.service.hasMinion(l.key.holder, first.avoid) {
			continue
		}
		if r == nil || first.before(r) {
			r = first
		}
		if oldest == nil || l.oldest.seq < oldest.seq {
			oldest = l.oldest
		}
	}
	if r != nil && b.sinceAged >= a.params.AgedEvery-1 && now.Sub(oldest.arrival) > a.params.AgingThreshold {
		return oldest, true
	}
	return r, false
}

// grantCandidate dequeues the candidate's request and grants it a permit.
func (a *Admission) grantCandidate(now time.Time, c candidate, blocked int) Effect {
	b, r := c.backlog, c.request
	c.service.scanMinions(now)
	m := c.service.pickMinion(r)
	waited := now.Sub(r.arrival)
	a.dequeue(r)
	b.lastGrant = now
	b.sinceAged++
	if c.aged {
		b.sinceAged = 0
	}
	return a.grant(now, r, m, blocked, fmt.Sprintf("started after %d ms in the queue", waited.Milliseconds()))
}

// grant creates a permit for r on m.
func (a *Admission) grant(now time.Time, r *request, m *minion, blocked int, detail string) Effect {
	t, s := a.team(r.team), m.service
	invariant.Check(m.state == model.VMServing, invariant.NoWorkWhenOutOfService,
		"permit for minion %s in state %q", m.vm, m.state)
	invariant.Check(m.used() < m.slots, invariant.NoWorkWhenOutOfService,
		"permit for minion %s with %d of %d slots used", m.vm, m.used(), m.slots)
	invariant.Check(t.headroom(blocked) > 0, invariant.TeamLimit,
		"permit for team %s above its allotment %d", t.name, t.allotment)
	invariant.Check(a.authorize(r.queue, r.keyID, r.team) == model.ReasonNone, invariant.KeyAuthorizes,
		"permit for job %s without a valid key", r.key.Job)
	p := &permit{
		Permit: model.Permit{
			Job: r.key.Job, Attempt: r.key.Attempt, Team: r.team, Queue: r.queue, Service: s.name,
			Minion: m.vm, Addr: m.addr, Holder: r.holder, Token: a.token,
			StartWithin: min(a.params.StartWithin, r.deadline.Sub(now)),
		},
		key: r.key, minion: m, granted: now, maxRun: s.maxRun, probe: m.ejected,
	}
	if p.probe {
		m.probing = true
	}
	a.addPermit(p)
	return a.grantEffect(p, detail)
}

func (a *Admission) grantEffect(p *permit, detail string) Effect {
	c := p.Permit
	return Effect{Kind: EffectGrant, Holder: p.Holder, Job: p.Job, Attempt: p.Attempt, Queue: p.Queue,
		Team: p.Team, Permit: &c, Reason: model.ReasonGranted, Detail: detail}
}

// expire refuses waiting requests past their deadline and drops expired usage reports of
// other data centres. Every event handler calls it first.
func (a *Admission) expire(now time.Time) []Effect {
	a.expireRemotes(now)
	if len(a.deadlines) == 0 || now.Before(a.deadlines[0].deadline) {
		return nil
	}
	var out []Effect
	blocked := a.blockedSlots()
	for len(a.deadlines) > 0 && !now.Before(a.deadlines[0].deadline) {
		r := a.deadlines[0]
		t := a.team(r.team)
		reason, detail := model.ReasonDeadlineQueued, fmt.Sprintf("waited %d ms", now.Sub(r.arrival).Milliseconds())
		if t.headroom(blocked) <= 0 {
			reason = model.ReasonTeamLimit
			detail = fmt.Sprintf("%s; team %q runs %d of %d, %d slots may run jobs of unknown teams", detail,
				t.name, t.permits+t.tasks, min(t.allotment, t.limit), blocked)
		}
		a.dequeue(r)
		out = append(out, refuseEffect(r, reason, detail))
	}
	return out
}
