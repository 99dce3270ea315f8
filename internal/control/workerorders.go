package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/internal/worker"
)

// workerOrders is the only way of the control loop to its workers. An order is sent only while this
// entry VM has the authority of a coordinator with the given token, checked when it is sent: the
// process may have been suspended since the order was decided, and a lease that a replaced
// coordinator renews lasts longer than its successor assumes. An order that must not be sent fails
// with worker.ErrNotReached. It is safe for concurrent use.
type workerOrders struct {
	workers Workers
	gate    *permitGate
}

// order sends an order with the authority of a token, and ends the call with that authority.
func (o workerOrders) order(ctx context.Context, t model.Token, send func(ctx context.Context) (worker.Task, error)) (worker.Task, error) {
	until, ok := o.gate.leaderUntil(t, time.Now())
	if !ok {
		return worker.Task{}, errors.Wrap(worker.ErrNotReached, errNoAuthority.Error())
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return send(ctx)
}

func (o workerOrders) start(ctx context.Context, t model.Token, addr string, s worker.Start) (worker.Task, error) {
	return o.order(ctx, t, func(ctx context.Context) (worker.Task, error) { return o.workers.Start(ctx, addr, s) })
}

func (o workerOrders) renew(ctx context.Context, t model.Token, addr string, id model.JobID, attempt int) (worker.Task, error) {
	return o.order(ctx, t, func(ctx context.Context) (worker.Task, error) {
		return o.workers.Renew(ctx, addr, id, attempt, taskLease)
	})
}

// checkpoint stops an attempt at a checkpoint.
func (o workerOrders) checkpoint(ctx context.Context, t model.Token, addr string, id model.JobID, attempt int) (worker.Task, error) {
	return o.order(ctx, t, func(ctx context.Context) (worker.Task, error) {
		return o.workers.Checkpoint(ctx, addr, id, attempt, true)
	})
}

func (o workerOrders) throttle(ctx context.Context, t model.Token, addr string, id model.JobID, attempt, percent int) (worker.Task, error) {
	return o.order(ctx, t, func(ctx context.Context) (worker.Task, error) {
		return o.workers.Throttle(ctx, addr, id, attempt, percent)
	})
}

// list lists the tasks of a worker. It is not an order and needs no authority.
func (o workerOrders) list(ctx context.Context, addr string) ([]worker.Task, error) {
	return o.workers.List(ctx, addr)
}
