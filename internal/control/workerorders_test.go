package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/worker"
)

// orderCounter counts the orders that are sent to workers. Each lasts until its context ends if
// silent is set.
type orderCounter struct {
	Workers
	sent   int
	silent bool
}

func (w *orderCounter) order(ctx context.Context) (worker.Task, error) {
	w.sent++
	if w.silent {
		<-ctx.Done()
		return worker.Task{}, worker.ErrAnswerLost
	}
	return worker.Task{}, nil
}

func (w *orderCounter) Start(ctx context.Context, _ string, _ worker.Start) (worker.Task, error) {
	return w.order(ctx)
}
func (w *orderCounter) Renew(ctx context.Context, _ string, _ model.JobID, _ int, _ time.Duration) (worker.Task, error) {
	return w.order(ctx)
}
func (w *orderCounter) Checkpoint(ctx context.Context, _ string, _ model.JobID, _ int, _ bool) (worker.Task, error) {
	return w.order(ctx)
}
func (w *orderCounter) Throttle(ctx context.Context, _ string, _ model.JobID, _, _ int) (worker.Task, error) {
	return w.order(ctx)
}

// Guards against orders of a coordinator that was suspended until its authority ended or another one
// took over. A renewal would extend the lease of an attempt that the new coordinator takes as over,
// so that the task runs twice.
func TestWorkerOrdersEndWithTheAuthority(t *testing.T) {
	orders := map[string]func(o workerOrders, token model.Token) error{
		"start": func(o workerOrders, token model.Token) error {
			_, err := o.start(context.Background(), token, "a", worker.Start{})
			return err
		},
		"renew": func(o workerOrders, token model.Token) error {
			_, err := o.renew(context.Background(), token, "a", "j", 1)
			return err
		},
		"checkpoint": func(o workerOrders, token model.Token) error {
			_, err := o.checkpoint(context.Background(), token, "a", "j", 1)
			return err
		},
		"throttle": func(o workerOrders, token model.Token) error {
			_, err := o.throttle(context.Background(), token, "a", "j", 1, 50)
			return err
		},
	}
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				token := model.Token{Epoch: 1}
				w, g := &orderCounter{}, &permitGate{}
				g.init()
				o := workerOrders{w, g}
				g.follow(token, "e1", true)
				g.authorize(token, time.Now().Add(LeaseTTL))
				require.NoError(t, order(o, token))

				w.silent = true
				began := time.Now()
				require.ErrorIs(t, order(o, token), worker.ErrAnswerLost)
				require.Equal(t, LeaseTTL, time.Since(began), "the call ends with the authority")

				time.Sleep(time.Second)
				require.ErrorIs(t, order(o, token), worker.ErrNotReached)
				g.follow(model.Token{Epoch: 2}, "e1", true)
				g.authorize(model.Token{Epoch: 2}, time.Now().Add(LeaseTTL))
				require.ErrorIs(t, order(o, token), worker.ErrNotReached, "an order of the earlier term")
				require.Equal(t, 2, w.sent)
			})
		})
	}
}
