package admission

import (
	"container/heap"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// permitState is the state of a permit from the coordinator's view.
//
// State machine:
//
//	outstanding -> (released)
//	outstanding -> orphaned (holder failed) -> (ended on the minion) | outstanding (holder registers again)
//	outstanding -> lost (connection lost, cancelled in flight, overdue) -> (ended on the minion) | (released)
//
// A permit occupies its slot and counts for its team in every state.
type permitState uint8

const (
	permitOutstanding permitState = iota
	permitOrphaned
	permitLost
)

type permit struct {
	model.Permit
	key     Attempt
	minion  *minion
	granted time.Time
	// maxRun is the service's maximum run time when the permit was granted.
	maxRun time.Duration
	state  permitState
	// probe is set if the attempt probes an ejected minion.
	probe bool
	// notBefore is the earliest send time of a status poll that may free the permit.
	notBefore time.Time
	// missingSince is the send time of the first poll that did not list the attempt; zero if
	// the last one listed it.
	missingSince time.Time
}

// team holds a team's limit and its usage in this data centre.
type team struct {
	name  model.Team
	share int
	// limited is false only for the empty team, which stands for requests without a key on
	// open queues.
	limited bool
	// allotment is the part of the limit that this data centre may use.
	allotment int
	// limit is the team's configured fleet-wide limit.
	limit int
	// permits counts permits in any state.
	permits int
	// tasks counts running tasks that are charged to this data centre's allotment.
	tasks int
	// tasksWaiting counts tasks that wait for a worker.
	tasksWaiting int
	// remoteRunning counts running requests and tasks in other data centres, according to
	// reports that have not expired.
	remoteRunning int
	waiting       int
	backlogs      map[model.Service]*backlog
}

// fleetRunning returns the team's running requests and tasks in the whole fleet, the
// numerator of its usage ratio.
func (t *team) fleetRunning() int { return t.permits + t.tasks + t.remoteRunning }

// compareRatio compares the ratios of fleet-wide usage to share: the result is negative if
// that of t is lower than that of o.
func (t *team) compareRatio(o *team) int { return t.fleetRunning()*o.share - o.fleetRunning()*t.share }

// service is an upstream service in this data centre.
type service struct {
	name    model.Service
	maxRun  time.Duration
	minions []*minion // by name
	// racks is the number of racks; minion.rackIndex is below it.
	racks int
	// rackLoad, available and servingSlots are results of the last scanMinions.
	rackLoad     []int
	available    []*minion
	servingSlots int
	backlogs     []*backlog
	waiting      int
	// mean is the exponentially weighted mean service time over the given number of samples.
	mean    time.Duration
	samples int
}

type remoteUsage struct {
	at      time.Time
	running map[model.Team]int
	free    map[model.Service]int
}

// finishedAttempt is an attempt that has ended or was cancelled.
type finishedAttempt struct {
	key    Attempt
	at     time.Time
	reason model.Reason
	// rejectRepeat is set if a repeated Acquire of the attempt must be refused.
	rejectRepeat bool
}

// Admission is the admission state of one data centre. Only the coordinator's control
// goroutine may use it.
type Admission struct {
	params Params
	dc     model.DataCentre
	token  model.Token
	config *config.Index
	seq    uint64

	minions   map[model.VM]*minion
	services  map[model.Service]*service
	teams     map[model.Team]*team
	queued    map[model.Queue]int // waiting requests per queue
	waiting   map[Attempt]*request
	byHolder  map[model.EntryVM]map[Attempt]*request
	deadlines deadlineHeap
	permits   map[Attempt]*permit
	remotes   map[model.DataCentre]*remoteUsage
	// nextRemoteExpiry is when the oldest report of another data centre expires.
	nextRemoteExpiry time.Time
	// unattributed counts the running jobs without a known permit on all minions.
	unattributed int
	// unanswered counts the minions that have not replied since the takeover.
	unanswered    int
	finished      map[Attempt]*finishedAttempt
	finishedOrder []*finishedAttempt
}

// New returns the admission state of a coordinator of dc that has just taken over with the
// given token. It knows no permits, and every minion counts as fully occupied until its
// first status reply.
func New(dc model.DataCentre, token model.Token, p Params) *Admission {
	return &Admission{
		params: p, dc: dc, token: token,
		minions:  make(map[model.VM]*minion),
		services: make(map[model.Service]*service),
		teams:    make(map[model.Team]*team),
		queued:   make(map[model.Queue]int),
		waiting:  make(map[Attempt]*request),
		byHolder: make(map[model.EntryVM]map[Attempt]*request),
		permits:  make(map[Attempt]*permit),
		remotes:  make(map[model.DataCentre]*remoteUsage),
		finished: make(map[Attempt]*finishedAttempt),
	}
}

// SetToken sets the token of later permits, for a coordinator that continues with a newer
// token.
func (a *Admission) SetToken(t model.Token) { a.token = t }

func (a *Admission) team(n model.Team) *team {
	t := a.teams[n]
	if t == nil {
		t = &team{name: n, share: 1, limited: n != "", backlogs: make(map[model.Service]*backlog)}
		a.teams[n] = t
	}
	return t
}

func (a *Admission) service(n model.Service) *service {
	s := a.services[n]
	if s == nil {
		s = &service{name: n}
		a.services[n] = s
	}
	return s
}

func (a *Admission) minion(vm model.VM) *minion {
	m := a.minions[vm]
	if m == nil {
		m = &minion{vm: vm, permits: make(map[Attempt]*permit), conns: make(map[model.EntryVM]int),
			unattributed: make(map[Attempt]time.Time)}
		a.unanswered++
		a.minions[vm] = m
	}
	return m
}

// enqueue adds r to the waiting requests of its team and service.
func (a *Admission) enqueue(r *request, s *service) {
	t := a.team(r.team)
	b := t.backlogs[s.name]
	if b == nil {
		b = &backlog{team: t, service: s, byKey: make(map[groupKey]*requestGroup)}
		t.backlogs[s.name] = b
	}
	if b.waiting == 0 {
		b.index = len(s.backlogs)
		s.backlogs = append(s.backlogs, b)
		b.lastGrant = r.arrival
	}
	b.add(r)
	t.waiting++
	s.waiting++
	a.queued[r.queue]++
	a.waiting[r.key] = r
	if a.byHolder[r.holder] == nil {
		a.byHolder[r.holder] = make(map[Attempt]*request)
	}
	a.byHolder[r.holder][r.key] = r
	heap.Push(&a.deadlines, r)
}

// dequeue removes r from the waiting requests.
func (a *Admission) dequeue(r *request) {
	b := r.group.backlog
	b.remove(r)
	s := b.service
	if b.waiting == 0 {
		last := len(s.backlogs) - 1
		s.backlogs[b.index] = s.backlogs[last]
		s.backlogs[b.index].index = b.index
		s.backlogs[last] = nil
		s.backlogs = s.backlogs[:last]
	}
	b.team.waiting--
	s.waiting--
	if a.queued[r.queue]--; a.queued[r.queue] == 0 {
		delete(a.queued, r.queue)
	}
	delete(a.waiting, r.key)
	if h := a.byHolder[r.holder]; len(h) == 1 {
		delete(a.byHolder, r.holder)
	} else {
		delete(h, r.key)
	}
	heap.Remove(&a.deadlines, r.deadlineIndex)
}

// addPermit charges p to its minion and team.
func (a *Admission) addPermit(p *permit) {
	a.permits[p.key] = p
	p.minion.permits[p.key] = p
	p.minion.conns[p.Holder]++
	a.team(p.Team).permits++
}

// freePermit frees the slot of p and stops counting it for its team.
func (a *Admission) freePermit(p *permit) {
	delete(a.permits, p.key)
	delete(p.minion.permits, p.key)
	if p.minion.conns[p.Holder]--; p.minion.conns[p.Holder] == 0 {
		delete(p.minion.conns, p.Holder)
	}
	a.team(p.Team).permits--
	if p.probe {
		p.minion.probing = false
	}
}

// recordFinished keeps a finished or cancelled attempt for Params.AttemptRetention.
func (a *Admission) recordFinished(now time.Time, k Attempt, reason model.Reason, rejects bool) {
	f := &finishedAttempt{key: k, at: now, reason: reason, rejectRepeat: rejects}
	a.finished[k] = f
	a.finishedOrder = append(a.finishedOrder, f)
	for len(a.finishedOrder) > 0 && now.Sub(a.finishedOrder[0].at) > a.params.AttemptRetention {
		old := a.finishedOrder[0]
		a.finishedOrder[0] = nil
		a.finishedOrder = a.finishedOrder[1:]
		if a.finished[old.key] == old {
			delete(a.finished, old.key)
		}
	}
}
