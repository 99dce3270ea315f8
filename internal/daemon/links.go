package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"boragepulley/internal/control"
	"boragepulley/internal/dispatch"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// errNoPeer means that the settings do not name an entry VM.
var errNoPeer = errors.New("daemon: unknown entry VM")

// links are the connections to all other entry VMs. It is immutable.
type links struct {
	self    peer.Sender
	clients map[model.EntryVM]*peer.Client
}

func (l *links) client(to model.EntryVM) (*peer.Client, error) {
	c := l.clients[to]
	if c == nil {
		return nil, errors.Wrap(errNoPeer, string(to))
	}
	return c, nil
}

// Forward implements dispatch.Forwarder.
func (l *links) Forward(ctx context.Context, to model.EntryVM, f peer.Forward) (peer.ForwardReply, error) {
	c, err := l.client(to)
	if err != nil {
		return peer.ForwardReply{}, notSent(err)
	}
	f.From = l.self
	r, err := c.Forward(ctx, &f)
	if err != nil {
		if certainlyNotSent(err) {
			return peer.ForwardReply{}, notSent(err)
		}
		return peer.ForwardReply{}, errors.Wrapf(err, "daemon: forward to %s", to)
	}
	return *r, nil
}

func notSent(err error) error {
	return errors.WithMessage(dispatch.ErrForwardNotSent, err.Error())
}

func certainlyNotSent(err error) bool {
	for _, e := range []error{peer.ErrRefused, peer.ErrNotConnected, peer.ErrTooLarge, peer.ErrBusy} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// JobGet implements dispatch.JobLookup.
func (l *links) JobGet(ctx context.Context, to model.EntryVM, id model.JobID, answer bool) (peer.JobGetReply, error) {
	c, err := l.client(to)
	if err != nil {
		return peer.JobGetReply{}, err
	}
	r, err := c.JobGet(ctx, &peer.JobGet{From: l.self, Job: id, Answer: answer})
	if err != nil {
		return peer.JobGetReply{}, errors.Wrapf(err, "daemon: job at %s", to)
	}
	return *r, nil
}

// JobCancel implements caller.JobLookup.
func (l *links) JobCancel(ctx context.Context, to model.EntryVM, id model.JobID, team model.Team) (model.Result, error) {
	c, err := l.client(to)
	if err != nil {
		return model.Result{Job: id}, err
	}
	r, err := c.JobCancel(ctx, &peer.JobCancel{From: l.self, Job: id, Team: team})
	if err != nil {
		return model.Result{Job: id}, errors.Wrapf(err, "daemon: cancel at %s", to)
	}
	return r.Result, cancelError(r)
}

// cancelError converts the outcome of a cancellation at another entry VM.
func cancelError(r *peer.JobGetReply) error {
	switch {
	case r.Denied:
		return dispatch.ErrNotOwner
	case !r.Found:
		return dispatch.ErrNoSuchJob
	case r.Result.State != model.StateCancelled:
		return dispatch.ErrNotCancellable
	}
	return nil
}

// copier copies account batches to another entry VM. It keeps the target while that is alive.
// Copies in the own data centre are stored as soon as this process ends, because its entry VMs see
// that at once; copies in another one outlive the loss of the whole data centre.
type copier struct {
	links    *links
	snapshot func() *control.Snapshot
	// far selects an entry VM of another data centre.
	far bool

	mu     sync.Mutex
	target model.EntryVM // guarded by mu
}

// Target implements account.Replicator.
func (c *copier) Target() model.EntryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []model.EntryVM
	own := []model.EntryVM{c.links.self.Entry} // of the own data centre
	for name, p := range c.snapshot().Peers {
		if p.DC == c.links.self.DC {
			own = append(own, name)
		}
		if p.Status == control.MemberAlive && (p.DC != c.links.self.DC) == c.far {
			candidates = append(candidates, name)
		}
	}
	if slices.Contains(candidates, c.target) {
		return c.target
	}
	c.target = ""
	if len(candidates) > 0 {
		slices.Sort(candidates)
		slices.Sort(own)
		c.target = candidates[slices.Index(own, c.links.self.Entry)%len(candidates)]
	}
	return c.target
}

func (c *copier) current() model.EntryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target
}

// Hold implements account.Replicator.
func (c *copier) Hold(ctx context.Context, sequence uint64, payload []byte) (model.Incarnation, error) {
	target := c.current()
	to, err := c.links.client(target)
	if err != nil {
		return "", err
	}
	reply, err := to.HoldRecords(ctx, &peer.HoldRecords{From: c.links.self, Batch: sequence, Payload: payload})
	if err != nil {
		return "", errors.Wrapf(err, "daemon: copy records to %s", target)
	}
	return reply.From.Incarnation, nil
}

// Drop implements account.Replicator. A lost message only leaves a copy behind, which the
// report merges.
func (c *copier) Drop(ctx context.Context, sequence uint64) {
	if to, err := c.links.client(c.current()); err == nil {
		_, _ = to.DropRecords(ctx, &peer.DropRecords{From: c.links.self, Batch: sequence})
	}
}
