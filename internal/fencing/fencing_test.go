package fencing

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// fakeFleet counts orders. Each takes delay and then returns err.
type fakeFleet struct {
	sent  atomic.Int64
	delay time.Duration
	err   error
}

func (f *fakeFleet) order(ctx context.Context) error {
	f.sent.Add(1)
	select {
	case <-time.After(f.delay):
		return f.err
	case <-ctx.Done():
		return errors.WithStack(site.ErrNoAnswer)
	}
}

func (f *fakeFleet) Start(ctx context.Context, _ site.Receiver, _ site.StartOrder) (int64, error) {
	return 0, f.order(ctx)
}
func (f *fakeFleet) Stop(ctx context.Context, _ site.Receiver, _ site.StopOrder) error {
	return f.order(ctx)
}
func (f *fakeFleet) Poll(ctx context.Context, _ site.Receiver, _ site.PollRequest) (site.PollReport, error) {
	return site.PollReport{}, f.order(ctx)
}
func (f *fakeFleet) Throttle(ctx context.Context, _ site.Receiver, _ site.ThrottleOrder) error {
	return f.order(ctx)
}
func (f *fakeFleet) List(context.Context) ([]site.Machine, error) { return nil, nil }
func (f *fakeFleet) Move(ctx context.Context, _ site.MachineFence, _ model.VM, _ model.Service) error {
	return f.order(ctx)
}
func (f *fakeFleet) Maintain(ctx context.Context, _ site.MachineFence, _ model.VM, _ int64) error {
	return f.order(ctx)
}

func newTestSender(f *fakeFleet) *Sender {
	began := time.Now()
	return NewSender(NewFleet(f, f), "e", 1, func() time.Duration { return time.Since(began) })
}

// orders are all kinds of orders.
var orders = map[string]func(*Sender) error{
	"start": func(s *Sender) error {
		_, err := s.Start(context.Background(), site.MinionAddress{}, site.StartOrder{})
		return err
	},
	"stop": func(s *Sender) error {
		return s.Stop(context.Background(), site.MinionAddress{}, site.StopOrder{})
	},
	"poll": func(s *Sender) error {
		_, err := s.Poll(context.Background(), site.MinionAddress{}, site.PollRequest{})
		return err
	},
	"move":     func(s *Sender) error { return s.Move(context.Background(), "vm", "svc") },
	"maintain": func(s *Sender) error { return s.Maintain(context.Background(), "vm", 1) },
}

// Guards against orders of a lease holder whose lease has ended, or that has handed it over, and
// against a call that is still in progress when the next holder begins.
func TestNoOrderOutlivesTheLease(t *testing.T) {
	for name, order := range orders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{}
				s := newTestSender(f)
				require.ErrorIs(t, order(s), site.ErrLeaseEnded, "before the first deadline")
				s.SetDeadline(time.Second)
				require.NoError(t, order(s))
				f.delay = time.Hour
				require.ErrorIs(t, order(s), site.ErrNoAnswer)
				require.Equal(t, time.Second, s.now(), "the call ends with the lease")
				err := order(s)
				require.ErrorIs(t, err, site.ErrLeaseEnded)
				require.ErrorIs(t, err, site.ErrNotSent)
				require.EqualValues(t, 2, f.sent.Load())

				s.SetDeadline(time.Minute)
				time.AfterFunc(time.Second, s.Close)
				require.ErrorIs(t, order(s), site.ErrNoAnswer)
				require.Equal(t, 2*time.Second, s.now(), "the call ends with the handover")
				s.SetDeadline(time.Hour)
				require.ErrorIs(t, order(s), site.ErrLeaseEnded, "after the handover")
				require.EqualValues(t, 3, f.sent.Load())
			})
		})
	}
}

// Guards against an unnoticed overlap of two lease holders.
func TestFencedOrderWithinTheLeaseIsAViolation(t *testing.T) {
	f := &fakeFleet{err: &site.RefusedError{Reason: site.RefusedFenced}}
	s := newTestSender(f)
	s.SetDeadline(time.Hour)
	before := invariant.Count(invariant.FencingToken)
	require.Panics(t, func() { _ = s.Stop(context.Background(), site.MinionAddress{}, site.StopOrder{}) })
	require.Equal(t, before+1, invariant.Count(invariant.FencingToken))
}

// Guards against a start that is sent although its condition no longer holds, be it before it is passed on
// or while the client connects.
func TestStartIsSentOnlyWhileItIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{}
		s := newTestSender(f)
		s.SetDeadline(time.Second)
		var allowed atomic.Bool
		_, err := s.StartIf(context.Background(), site.MinionAddress{}, site.StartOrder{}, allowed.Load)
		require.ErrorIs(t, err, site.ErrLeaseEnded)
		require.Zero(t, f.sent.Load())
		allowed.Store(true)
		_, err = s.StartIf(context.Background(), site.MinionAddress{}, site.StartOrder{}, allowed.Load)
		require.NoError(t, err)
		l := conditionalLease{s, allowed.Load}
		require.Equal(t, time.Second, l.Remaining())
		allowed.Store(false)
		require.Zero(t, l.Remaining())
		require.Equal(t, time.Second, s.Remaining(), "other orders are sent")
	})
}

// Guards against orders that a closed sender still delivers after it was opened again: they belong to the time
// before, and their senders were told that they have ended.
func TestReopenedSenderDoesNotReviveCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{delay: time.Second}
		s := newTestSender(f)
		s.SetDeadline(time.Hour)
		ended := make(chan error, 1)
		go func() { ended <- s.Stop(context.Background(), site.MinionAddress{}, site.StopOrder{}) }()
		synctest.Wait()
		s.Close()
		require.ErrorIs(t, s.Stop(context.Background(), site.MinionAddress{}, site.StopOrder{}), site.ErrLeaseEnded)
		s.Reopen()
		require.ErrorIs(t, <-ended, site.ErrNoAnswer)
		require.NoError(t, s.Stop(context.Background(), site.MinionAddress{}, site.StopOrder{}))
		require.Equal(t, int64(2), f.sent.Load())
	})
}

// Guards against a coordinator that counts as replaced because a minion rejects its own order from before it
// raised the token, and against an overlap of two holders that passes for that.
func TestRejectionByOwnRaisedTokenIsNoReplacement(t *testing.T) {
	f := &fakeFleet{err: &site.RefusedError{Reason: site.RefusedFenced}}
	s := newTestSender(f)
	s.SetDeadline(time.Hour)
	token := s.token + 3
	s.RaiseToken("m", token)
	for _, order := range []func(to site.MinionAddress) error{
		func(to site.MinionAddress) error { _, err := s.Start(t.Context(), to, site.StartOrder{}); return err },
		func(to site.MinionAddress) error { return s.Stop(t.Context(), to, site.StopOrder{}) },
		func(to site.MinionAddress) error { _, err := s.Poll(t.Context(), to, site.PollRequest{}); return err },
	} {
		err := order(site.MinionAddress{ID: "m"})
		require.ErrorIs(t, err, ErrOutdated)
		require.Empty(t, site.RefusalOf(err))
		require.Panics(t, func() { _ = order(site.MinionAddress{ID: "m", RaisedToken: token}) }, "rejected with the raised token")
		require.Panics(t, func() { _ = order(site.MinionAddress{ID: "other"}) })
	}
}
