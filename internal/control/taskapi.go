package control

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// offerTimeout bounds the retries of an offer. After that, the coordinator finds the
	// task with a scan.
	offerTimeout       = 20 * time.Second
	offerRetryDelay    = 50 * time.Millisecond
	maxOfferRetryDelay = time.Second
)

func isConflict(err error) bool { return stderrors.Is(err, platform.ErrConflict) }

// leaderUntil returns until when this entry VM may act as coordinator with token t. ok is false if
// it may not at now.
func (g *permitGate) leaderUntil(t model.Token, now time.Time) (until time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.authorityUntil, t == g.token && g.isCoordinator && !now.After(g.authorityUntil)
}

// OfferTask informs the coordinator about a stored task, in the background.
func (c *Control) OfferTask(version uint64, row model.TaskRow) {
	msg := &peer.TaskOffer{From: c.self, Version: version, Row: row}
	c.runAsync(offerTimeout, func(ctx context.Context) func() {
		_ = c.callCoordinator(ctx, func(ctx context.Context, h peer.ControlHandler) error {
			_, err := h.TaskOffer(ctx, msg)
			return err
		})
		return nil
	})
}

// CancelTask asks the coordinator of this data centre to cancel a task. It retries until ctx
// ends. If the coordinator does not know the task, Found is false in the reply.
func (c *Control) CancelTask(ctx context.Context, job model.JobID, team model.Team) (peer.JobGetReply, error) {
	var out peer.JobGetReply
	err := c.callCoordinator(ctx, func(ctx context.Context, h peer.ControlHandler) error {
		r, err := h.TaskCancel(ctx, &peer.TaskCancel{From: c.self, Job: job, Team: team})
		if err == nil {
			out = *r
		}
		return err
	})
	return out, err
}

// callCoordinator repeats a call to the present coordinator until it succeeds or ctx ends.
func (c *Control) callCoordinator(ctx context.Context, f func(context.Context, peer.ControlHandler) error) error {
	gap := offerRetryDelay
	for {
		target := c.gate.target()
		err := peer.ErrNotCoordinator
		if target.coordinator == c.self.Entry {
			err = f(ctx, c.Handler())
		} else if r := c.peerClients[target.coordinator]; r != nil {
			err = f(ctx, r)
		}
		if err == nil {
			return nil
		}
		select {
		case <-target.changed:
		case <-time.After(gap/2 + rand.N(gap)):
			gap = min(2*gap, maxOfferRetryDelay)
		case <-ctx.Done():
			return err
		case <-c.ctx.Done():
			return ErrStopped
		}
	}
}

// TaskOffer implements peer.ControlHandler.
func (h handler) TaskOffer(ctx context.Context, m *peer.TaskOffer) (*peer.Empty, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.Empty, error) {
		if c.coord == nil || !c.coord.tasks.loaded || c.cfg.index == nil {
			return nil, peer.ErrNotCoordinator
		}
		if m.From.Entry != c.self.Entry && !c.acceptSender(m.From) {
			return nil, peer.ErrStaleToken
		}
		c.adoptOffer(m.Row)
		return &peer.Empty{}, nil
	})
}

// adoptOffer adds an offered task. It ignores an old offer, because the row may have been
// removed in the meantime; if the row still exists, the next scan finds it.
func (c *Control) adoptOffer(row model.TaskRow) {
	if row.State != model.TaskWaiting || row.Attempt != 0 || time.Since(row.Request.Accepted) > endedTaskRetention/2 {
		return
	}
	if !keyValid(c.cfg.index, row.Request) {
		c.adoptTask(row, model.ReasonTaskStored)
		c.endWithdrawnTasks()
		return
	}
	ts := &c.coord.tasks
	known := ts.all[row.Request.Job] != nil
	c.adoptTask(row, model.ReasonTaskStored)
	q := c.cfg.index.Queue(row.Request.Queue)
	if t := ts.all[row.Request.Job]; !known && q != nil && ts.queued[q.Name] > q.MaxWaiting {
		c.endTask(t, c.resultWithoutRun(t, model.ReasonQueueFull, "the queue has reached its maximum of waiting tasks"), nil)
		return
	}
	c.planTasks(time.Now())
}

// TaskCancel implements peer.ControlHandler. It answers once the cancellation is stored.
func (h handler) TaskCancel(ctx context.Context, m *peer.TaskCancel) (*peer.JobGetReply, error) {
	c := h.c
	ch := make(chan taskReply, 1)
	target := c.gate.target()
	if !c.post(func() { c.cancelTask(m, ch) }) {
		return nil, ErrStopped
	}
	select {
	case r := <-ch:
		return r.reply, r.err
	case <-target.changed:
		return nil, peer.ErrNotCoordinator
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.ctx.Done():
		return nil, peer.ErrNotCoordinator
	}
}

// cancelTask cancels a task if it has certainly never started. Otherwise it answers with
// the state of the task.
func (c *Control) cancelTask(m *peer.TaskCancel, ch chan<- taskReply) {
	if c.coord == nil || !c.coord.tasks.loaded {
		ch <- taskReply{err: peer.ErrNotCoordinator}
		return
	}
	t := c.coord.tasks.all[m.Job]
	switch {
	case t == nil:
		c.cancelStoredTask(m, ch)
	case t.row.Request.Team != "" && t.row.Request.Team != m.Team:
		ch <- taskReply{reply: &peer.JobGetReply{Found: true, Denied: true}}
	case t.phase == phaseWaiting && !t.row.Started:
		t.cancelReplies = append(t.cancelReplies, ch)
		c.endTask(t, model.Result{State: model.StateCancelled, Reason: model.ReasonCancelled}, nil)
	case t.phase == phaseEnding && t.row.State == model.TaskEnded:
		t.cancelReplies = append(t.cancelReplies, ch)
	default:
		ch <- taskReply{reply: c.taskReplyOf(t)}
	}
}

// cancelStoredTask reads the row of a task whose offer has not arrived, and cancels it.
func (c *Control) cancelStoredTask(m *peer.TaskCancel, ch chan<- taskReply) {
	coord := c.coord
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		row, err := c.deps.Table.Get(ctx, platform.PriorityAllotment, model.TaskKey(c.self.DC, m.Job))
		return func() {
			switch {
			case err != nil || c.coord != coord:
				ch <- taskReply{err: peer.ErrNotCoordinator}
			case row.Version == 0 || len(row.Value) == 0:
				ch <- taskReply{reply: &peer.JobGetReply{}}
			default:
				c.adoptRow(row, model.ReasonTaskStored)
				if coord.tasks.all[m.Job] == nil {
					ch <- taskReply{reply: &peer.JobGetReply{}}
					return
				}
				c.cancelTask(m, ch)
			}
		}
	})
}
