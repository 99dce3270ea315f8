package admission

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Attempt identifies one attempt of one job.
type Attempt struct {
	Job     model.JobID
	Attempt int
}

// class is the scheduling class of a request within its team, the highest first. Requests
// on deferrable queues are in the lowest class unless they are urgent.
type class uint8

const (
	classUrgent class = iota
	classNormal
	classDeferrable
	numClasses
)

// request is an attempt that waits for a permit.
type request struct {
	key        Attempt
	holder     model.EntryVM
	keyID      string
	team       model.Team
	queue      model.Queue
	class      class
	idempotent bool
	hops       int
	avoid      []model.VM
	// avoidKey is the sorted avoid list as one string; it is part of the groupKey.
	avoidKey string
	arrival  time.Time
	deadline time.Time
	// seq increases with each arrival and breaks all ties.
	seq uint64

	group         *requestGroup
	heapIndex     int
	deadlineIndex int
	// older and newer link the requests of a group in order of arrival.
	older, newer *request
}

func newRequest(now time.Time, a *peer.Acquire, c class, seq uint64) *request {
	avoid := slices.Clone(a.Avoid)
	slices.Sort(avoid)
	avoid = slices.Compact(avoid)
	names := make([]string, len(avoid))
	for i, v := range avoid {
		names[i] = string(v)
	}
	return &request{
		key:    Attempt{Job: a.Request.Job, Attempt: a.Attempt},
		holder: a.From.Entry, keyID: a.Request.KeyID, team: a.Request.Team, queue: a.Request.Queue,
		class: c, idempotent: a.Request.Idempotent, hops: a.Hops,
		avoid: avoid, avoidKey: strings.Join(names, "\x00"),
		arrival: now, deadline: now.Add(a.Wait), seq: seq,
	}
}

// before orders requests by class, deadline and arrival.
func (r *request) before(o *request) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	if !r.deadline.Equal(o.deadline) {
		return r.deadline.Before(o.deadline)
	}
	return r.seq < o.seq
}

// requestHeap is a heap of the requests of a group, ordered by before.
type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}
func (h *requestHeap) Pop() any {
	old := *h
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*h = old[:n]
	return r
}

// deadlineHeap is a heap of all waiting requests, ordered by deadline.
type deadlineHeap []*request

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].seq < h[j].seq
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.deadlineIndex = len(*h)
	*h = append(*h, r)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*h = old[:n]
	return r
}

// groupKey identifies a group within a backlog.
type groupKey struct {
	queue  model.Queue
	holder model.EntryVM
	avoid  string
}

// requestGroup holds the waiting requests of a team and queue that can use the same minions:
// they have the same holder, and so the same connection limit, and the same minions to avoid.
type requestGroup struct {
	key            groupKey
	backlog        *backlog
	index          int // in backlog.lines
	heap           requestHeap
	oldest, newest *request
}

func (l *requestGroup) push(r *request) {
	r.group = l
	heap.Push(&l.heap, r)
	r.older, r.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = r
	} else {
		l.oldest = r
	}
	l.newest = r
}

func (l *requestGroup) remove(r *request) {
	heap.Remove(&l.heap, r.heapIndex)
	if r.older != nil {
		r.older.newer = r.newer
	} else {
		l.oldest = r.newer
	}
	if r.newer != nil {
		r.newer.older = r.older
	} else {
		l.newest = r.older
	}
	r.older, r.newer, r.group = nil, nil, nil
}

// backlog holds the waiting requests of one team for one service.
type backlog struct {
	team    *team
	service *service
	index   int // in service.backlogs
	groups  []*requestGroup
	byKey   map[groupKey]*requestGroup
	waiting int
	// perClass and bySecond count waiting requests by class and by the second of their
	// deadline, so that estimates need not scan the heaps.
	perClass [numClasses]int
	bySecond [numClasses]map[int64]int
	// sinceAged counts the grants since the last one to an aged request.
	sinceAged int
	// lastGrant is the time of the last grant, or of the first request of the backlog.
	lastGrant time.Time
}

func (b *backlog) add(r *request) {
	k := groupKey{queue: r.queue, holder: r.holder, avoid: r.avoidKey}
	l := b.byKey[k]
	if l == nil {
		l = &requestGroup{key: k, backlog: b, index: len(b.groups)}
		b.byKey[k] = l
		b.groups = append(b.groups, l)
	}
	l.push(r)
	b.waiting++
	b.perClass[r.class]++
	if b.bySecond[r.class] == nil {
		b.bySecond[r.class] = make(map[int64]int)
	}
	b.bySecond[r.class][r.deadline.Unix()]++
}

func (b *backlog) remove(r *request) {
	l := r.group
	l.remove(r)
	b.waiting--
	b.perClass[r.class]--
	s := r.deadline.Unix()
	if b.bySecond[r.class][s]--; b.bySecond[r.class][s] == 0 {
		delete(b.bySecond[r.class], s)
	}
	if len(l.heap) == 0 {
		last := len(b.groups) - 1
		b.groups[l.index] = b.groups[last]
		b.groups[l.index].index = l.index
		b.groups[last] = nil
		b.groups = b.groups[:last]
		delete(b.byKey, l.key)
	}
}
