package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/peer"
)

const (
	// stateQueryGap is the least time between two calls that ask the coordinator for states of jobs.
	// Queries that come meanwhile share the next call. In a backlog callers ask 3,500 times a second.
	stateQueryGap = 40 * time.Millisecond
	// stateQueryStuck is how long a call may take until the next one is sent beside it.
	stateQueryStuck = 250 * time.Millisecond
	// maxStateQueries is the number of jobs in a call.
	maxStateQueries = 200
)

// stateQueries are queries for the coordinator that wait for a call. It is safe for concurrent use.
type stateQueries struct {
	mu      sync.Mutex
	waiting []stateQuery // guarded by mu
	sending bool         // guarded by mu; a goroutine sends what waits
}

type stateQuery struct {
	id jobs.ID
	// answer receives the coordinator's reply about the job, nil if there is none. It has room for it.
	answer chan *peer.JobReply
}

// askCoordinator returns the coordinator's reply about a job, or nil if there is none until ctx ends.
// Jobs that are asked for at the same time share one call.
func (n *Node) askCoordinator(ctx context.Context, id jobs.ID) *peer.JobReply {
	q := stateQuery{id, make(chan *peer.JobReply, 1)}
	s := &n.queries
	s.mu.Lock()
	s.waiting = append(s.waiting, q)
	begin := !s.sending
	s.sending = true
	s.mu.Unlock()
	if begin {
		n.runOnce("querying states of jobs", n.sendStateQueries)
	}
	select {
	case r := <-q.answer:
		return r
	case <-ctx.Done():
		return nil
	}
}

// sendStateQueries sends queries until none waits.
func (n *Node) sendStateQueries() {
	s := &n.queries
	for {
		s.mu.Lock()
		batch := s.waiting[:min(len(s.waiting), maxStateQueries)]
		s.waiting = s.waiting[len(batch):]
		s.sending = len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		gap := time.NewTimer(stateQueryGap)
		stuck := time.NewTimer(stateQueryStuck)
		answered := make(chan struct{})
		n.runOnce("querying states of jobs", func() {
			defer close(answered)
			n.queryStates(batch)
		})
		select {
		case <-answered:
		case <-stuck.C:
		}
		stuck.Stop()
		<-gap.C
	}
}

// queryStates asks the coordinator about jobs in one call.
func (n *Node) queryStates(batch []stateQuery) {
	var r *peer.JobReply
	defer func() {
		for i, q := range batch {
			q.answer <- replyFor(r, i)
		}
	}()
	view := n.coordinator.Load()
	if view == nil {
		return
	}
	m := &peer.JobRequest{From: n.deps.Self, Job: string(batch[0].id)}
	for _, q := range batch[1:] {
		m.More = append(m.More, string(q.id))
	}
	ctx, cancel := context.WithTimeout(n.ctx, coordinatorCallTimeout)
	defer cancel()
	reply, err := n.dial(view.name, view.addr).JobState(ctx, m)
	if err != nil {
		n.log.Debug().Err(err).Int("jobs", len(batch)).Msg("Entry: no answer of the coordinator about jobs.")
		return
	}
	r = reply
}

// replyFor returns the part of a reply about the job with the given position in the request, or nil.
func replyFor(r *peer.JobReply, i int) *peer.JobReply {
	switch {
	case r == nil || i > len(r.More):
		return nil
	case i == 0:
		return r
	}
	state := r.More[i-1]
	return &peer.JobReply{Coordinates: !slices.Contains(r.MoreNotCurrent, i-1), Known: state != "", State: state}
}
