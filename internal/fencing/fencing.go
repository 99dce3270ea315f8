// Package fencing sends the orders of a lease holder to minions and machines. It is the only way
// from a lease holder to their clients.
//
// Invariants:
//   - No order is sent after the deadline. It is checked when an order is passed on and once more by
//     the client immediately before it writes, because the process may be suspended in between.
//   - No call lasts beyond the deadline as it was when the call was sent. The client discards what
//     it has not delivered by then.
//   - Once a minion has answered an order with a raised token, it carries out none of the orders that
//     were sent to it with a lower one, so that none of an earlier incarnation has an effect later.
package fencing

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/invariant"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Fleet holds the clients of minions and machines. Orders can be sent only through a Sender.
type Fleet struct {
	minions  site.Minions
	machines site.Machines
}

// NewFleet returns a fleet of the given clients.
func NewFleet(minions site.Minions, machines site.Machines) Fleet { return Fleet{minions, machines} }

// Sender sends the orders of one lease holder under its fencing token. It is safe for concurrent
// use. Its methods return the errors of site.Minions and site.Machines.
type Sender struct {
	fleet  Fleet
	holder model.EntryVM
	token  uint64
	// now reads a monotonic clock that includes the time during which the machine was suspended.
	now      func() time.Duration
	deadline atomic.Int64 // on the clock of now
	gate     atomic.Pointer[gate]

	mu sync.Mutex
	// raised are the tokens of minions that are higher than token.
	raised map[jobs.Minion]uint64 // guarded by mu
}

// ErrOutdated means that a minion rejected an order because it has seen a token that this sender raised
// after the order was made. The order had no effect and will have none.
var ErrOutdated = errors.New("fencing: order from before the sender raised the token")

// ErrClosed is also the error of a call that Close ended, which says nothing about the receiver.
var ErrClosed = errors.New("fencing: call ended by the sender")

// closedError is an error of a call that Close ended. It is ErrClosed beside what it was.
type closedError struct{ error }

func (e closedError) Unwrap() error        { return e.error }
func (e closedError) Is(target error) bool { return target == ErrClosed }

// gate ends the calls that were made while it was in force.
type gate struct {
	ctx  context.Context
	stop context.CancelFunc
}

var _ site.OrderLease = (*Sender)(nil)

// NewSender returns a sender whose deadline has passed.
func NewSender(f Fleet, holder model.EntryVM, token uint64, now func() time.Duration) *Sender {
	s := &Sender{fleet: f, holder: holder, token: token, now: now, raised: map[jobs.Minion]uint64{}}
	s.Reopen()
	return s
}

// RaiseToken records that orders for a minion carry a higher token from now on, in their MinionAddress. The
// token must be reserved for this sender, see lease.Held.ReserveToken.
func (s *Sender) RaiseToken(id jobs.Minion, token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raised[id] = max(s.raised[id], token)
}

// RaisedToken returns the token that was last raised for a minion, or 0.
func (s *Sender) RaisedToken(id jobs.Minion) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raised[id]
}

// checkOutdated returns ErrOutdated in place of the rejection of an order whose token has been raised since.
func (s *Sender) checkOutdated(to site.Receiver, err error) error {
	if site.RefusalOf(err) != site.RefusedFenced {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.Token < s.raised[to.ID] {
		return errors.WithStack(ErrOutdated)
	}
	return err
}

// SetDeadline sets until when orders may be sent.
func (s *Sender) SetDeadline(until time.Duration) { s.deadline.Store(int64(until)) }

// Close ends the calls in progress and rejects all further orders until Reopen.
func (s *Sender) Close() { s.gate.Load().stop() }

// Reopen accepts orders again after Close. Calls that Close ended stay ended.
func (s *Sender) Reopen() {
	ctx, stop := context.WithCancel(context.Background())
	s.gate.Store(&gate{ctx, stop})
}

// Remaining implements site.OrderLease.
func (s *Sender) Remaining() time.Duration {
	if s.gate.Load().ctx.Err() != nil {
		return 0
	}
	return max(0, time.Duration(s.deadline.Load())-s.now())
}

// send passes an order on if the deadline allows it, and bounds the call by the deadline.
func (s *Sender) send(ctx context.Context, call func(ctx context.Context) error) error {
	return s.sendUnder(ctx, s, call)
}

// sendUnder is send with a permission that may be narrower than the sender's lease.
func (s *Sender) sendUnder(ctx context.Context, l site.OrderLease, call func(ctx context.Context) error) error {
	gate, remaining := s.gate.Load(), l.Remaining()
	if remaining == 0 {
		counters.Add("held_back", 1)
		return errors.WithStack(site.ErrLeaseEnded)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	defer context.AfterFunc(gate.ctx, cancel)()
	err := call(ctx)
	switch {
	case errors.Is(err, site.ErrLeaseEnded):
		counters.Add("held_back", 1)
	case errors.Is(err, site.ErrNoAnswer) && s.Remaining() == 0:
		counters.Add("cut_short", 1)
	}
	if gate.ctx.Err() != nil && (errors.Is(err, site.ErrNoAnswer) || errors.Is(err, site.ErrNotSent)) {
		err = closedError{err}
	}
	invariant.Check(site.RefusalOf(err) != site.RefusedFenced || s.Remaining() == 0, invariant.FencingToken,
		"order with token %d reached a receiver that had seen a higher one, %s before the end of the lease", s.token, s.Remaining())
	return err
}

func (s *Sender) receiver(to site.MinionAddress) site.Receiver {
	return site.Receiver{MinionAddress: to, Token: max(s.token, to.RaisedToken), Epoch: s.token, Lease: s}
}

func (s *Sender) fence() site.MachineFence {
	return site.MachineFence{Holder: s.holder, Token: s.token, Lease: s}
}

// Start starts a run of a task and returns the minion's clock in milliseconds, 0 if unknown.
func (s *Sender) Start(ctx context.Context, to site.MinionAddress, o site.StartOrder) (clock int64, err error) {
	return s.StartIf(ctx, to, o, func() bool { return true })
}

// StartIf is Start for an order that may be sent only while allowed returns true. Like the lease it
// is checked immediately before the client writes the order; if it is false by then, the error is
// site.ErrLeaseEnded. allowed must be safe for concurrent use.
func (s *Sender) StartIf(ctx context.Context, to site.MinionAddress, o site.StartOrder, allowed func() bool) (clock int64, err error) {
	l := conditionalLease{s, allowed}
	err = s.sendUnder(ctx, l, func(ctx context.Context) (err error) {
		r := s.receiver(to)
		r.Lease = l
		clock, err = s.fleet.minions.Start(ctx, r, o)
		return s.checkOutdated(r, err)
	})
	return clock, err
}

// conditionalLease is a sender's lease that counts as ended while a condition does not hold.
type conditionalLease struct {
	*Sender
	allowed func() bool
}

// Remaining implements site.OrderLease.
func (l conditionalLease) Remaining() time.Duration {
	if !l.allowed() {
		return 0
	}
	return l.Sender.Remaining()
}

// Stop stops a run of a task.
func (s *Sender) Stop(ctx context.Context, to site.MinionAddress, o site.StopOrder) error {
	return s.send(ctx, func(ctx context.Context) error {
		r := s.receiver(to)
		return s.checkOutdated(r, s.fleet.minions.Stop(ctx, r, o))
	})
}

// Poll renews the leases of the runs on a minion and returns its running and ended runs.
func (s *Sender) Poll(ctx context.Context, to site.MinionAddress, o site.PollRequest) (r site.PollReport, err error) {
	err = s.send(ctx, func(ctx context.Context) (err error) {
		receiver := s.receiver(to)
		r, err = s.fleet.minions.Poll(ctx, receiver, o)
		return s.checkOutdated(receiver, err)
	})
	return r, err
}

// Move moves a machine to another pool.
func (s *Sender) Move(ctx context.Context, vm model.VM, to model.Service) error {
	return s.send(ctx, func(ctx context.Context) error { return s.fleet.machines.Move(ctx, s.fence(), vm, to) })
}

// Maintain orders the maintenance of a machine for a wave.
func (s *Sender) Maintain(ctx context.Context, vm model.VM, wave int64) error {
	return s.send(ctx, func(ctx context.Context) error { return s.fleet.machines.Maintain(ctx, s.fence(), vm, wave) })
}

// ListMachines lists all machines. It is not an order and needs no lease.
func (s *Sender) ListMachines(ctx context.Context) ([]site.Machine, error) {
	return s.fleet.machines.List(ctx)
}
