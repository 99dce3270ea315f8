package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"boragepulley/internal/guard"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Acquire implements API.
func (c *Control) Acquire(ctx context.Context, a Attempt) (peer.AcquireReply, error) {
	deadline := a.Request.Deadline
	wctx, cancel := context.WithDeadline(ctx, deadline.Add(acquireTimeoutMargin))
	defer cancel()
	asked, gap := false, retryDelay
	for {
		target := c.gate.target()
		// A pending release of the same attempt would release the new permit.
		free := !c.releases.isPending(permitKey{a.Request.Job, a.Number})
		if target.coordinator != "" && free && time.Now().Before(deadline) {
			asked = true
			reply, err := c.acquireFrom(wctx, target, a)
			if err == nil {
				if r, ok := c.acceptReply(reply, target); ok {
					return r, nil
				}
				continue
			}
		}
		if wctx.Err() != nil || c.ctx.Err() != nil || !time.Now().Before(deadline) {
			break
		}
		select {
		case <-target.changed:
		case <-time.After(gap/2 + rand.N(gap)):
			gap = min(2*gap, maxRetryDelay)
		case <-wctx.Done():
		case <-c.ctx.Done():
		}
	}
	if asked {
		c.releases.add(release{cancel: &peer.CancelAcquire{From: c.self, Job: a.Request.Job, Attempt: a.Number}})
	}
	if err := ctx.Err(); err != nil && time.Now().Before(deadline) {
		return peer.AcquireReply{}, err
	}
	reason := model.ReasonDeadlineQueued
	if !asked {
		reason = model.ReasonNoCoordinator
	}
	permitOps.Add("gave_up_"+string(reason), 1)
	return peer.AcquireReply{Refused: reason, Detail: "no coordinator answered before the deadline"}, nil
}

// acquireFrom sends an Acquire to one coordinator. It ends early if the coordinator changes.
func (c *Control) acquireFrom(ctx context.Context, target acquireTarget, a Attempt) (*peer.AcquireReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-target.changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	msg := &peer.Acquire{From: c.self, Request: a.Request, Attempt: a.Number,
		Wait: time.Until(a.Request.Deadline), Avoid: a.Avoid, Hops: a.Hops}
	if target.coordinator == c.self.Entry {
		return c.Handler().Acquire(ctx, msg)
	}
	return c.peerClients[target.coordinator].Acquire(ctx, msg)
}

// acceptReply stores the permit of a reply, if there is one. It returns false if the permit
// is already invalid because the coordinator has changed or was unreachable in the meantime;
// then another permit is needed.
func (c *Control) acceptReply(r *peer.AcquireReply, target acquireTarget) (peer.AcquireReply, bool) {
	if r.Permit == nil {
		return *r, true
	}
	p := r.Permit
	p.NotAfter = time.Now().Add(p.StartWithin)
	if !c.gate.add(p, target.session) {
		permitOps.Add("void", 1)
		// The permit is not released: if the coordinator still has it, the repeated Acquire
		// gets the same permit again.
		return peer.AcquireReply{}, false
	}
	return *r, true
}

func (c *Control) newRelease(p *model.Permit, result peer.AttemptResult) *peer.Release {
	return &peer.Release{From: c.self, Job: p.Job, Attempt: p.Attempt, Minion: p.Minion, Token: p.Token, Result: result}
}

// Release implements API.
func (c *Control) Release(p *model.Permit, result peer.AttemptResult) {
	if c.gate.remove(p) {
		c.releases.add(release{release: c.newRelease(p, result)})
	}
}

// release is a message to the coordinator that returns a permit or cancels an Acquire.
// Exactly one of release and cancel is set.
type release struct {
	release *peer.Release
	cancel  *peer.CancelAcquire
	since   time.Time
}

// releaseQueue holds the release messages that the coordinator has not confirmed yet.
type releaseQueue struct {
	mu   sync.Mutex
	list []release
	// unconfirmed counts the unconfirmed messages by attempt.
	unconfirmed map[permitKey]int
	// wake receives a value when list is not empty.
	wake chan struct{}
}

func (q *releaseQueue) init() {
	q.wake = make(chan struct{}, 1)
	q.unconfirmed = map[permitKey]int{}
}

func (r *release) key() permitKey {
	if r.cancel != nil {
		return permitKey{r.cancel.Job, r.cancel.Attempt}
	}
	return permitKey{r.release.Job, r.release.Attempt}
}

// isPending reports whether a message for the attempt is not confirmed yet.
func (q *releaseQueue) isPending(k permitKey) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unconfirmed[k] > 0
}

// finish removes r from the unconfirmed messages.
func (q *releaseQueue) finish(r release) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unconfirmed[r.key()]--; q.unconfirmed[r.key()] <= 0 {
		delete(q.unconfirmed, r.key())
	}
}

func (q *releaseQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *releaseQueue) add(r release) {
	r.since = time.Now()
	q.mu.Lock()
	q.list = append(q.list, r)
	q.unconfirmed[r.key()]++
	q.mu.Unlock()
	q.notify()
}

func (q *releaseQueue) next() (release, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return release{}, false
	}
	r := q.list[0]
	q.list[0] = release{}
	q.list = q.list[1:]
	if len(q.list) > 0 {
		q.notify()
	}
	return r, true
}

// size returns the number of attempts with unconfirmed messages.
func (q *releaseQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.unconfirmed)
}

// releaseLoop sends the queued messages to the current coordinator.
func (c *Control) releaseLoop() {
	defer c.wg.Done()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.releases.wake:
		}
		for {
			r, ok := c.releases.next()
			if !ok {
				break
			}
			_ = guard.Recover(c.log, "release", func() { c.sendRelease(r) })
			c.releases.finish(r)
		}
	}
}

func (c *Control) sendRelease(r release) {
	for time.Since(r.since) < releaseTimeout && c.ctx.Err() == nil {
		if c.sendReleaseOnce(r) == nil {
			return
		}
		permitOps.Add("release_retry", 1)
		select {
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		case <-c.ctx.Done():
		}
	}
	permitOps.Add("release_dropped", 1)
	c.log.Warn().Msg("release not confirmed; the coordinator will find it through status polls of the minion")
}

func (c *Control) sendReleaseOnce(r release) error {
	target := c.gate.target()
	h := c.Handler()
	if target.coordinator == "" {
		return peer.ErrNotCoordinator
	}
	if target.coordinator != c.self.Entry {
		h = c.peerClients[target.coordinator]
	}
	ctx, cancel := context.WithTimeout(c.ctx, heartbeatTimeout)
	defer cancel()
	var err error
	if r.cancel != nil {
		_, err = h.CancelAcquire(ctx, r.cancel)
	} else {
		_, err = h.Release(ctx, r.release)
	}
	return err
}
