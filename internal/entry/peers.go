package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/jobs"
	"boragepulley/internal/peer"
)

// handler implements peer.SiteHandler, which answers the messages of other entry VMs.
type handler struct{ n *Node }

// Handler returns the handler for the messages of other entry VMs.
func (n *Node) Handler() peer.SiteHandler { return handler{n} }

// CoordinatorHeartbeat implements peer.SiteHandler. It records the state of the coordinator; a
// heartbeat from a replaced coordinator is ignored.
func (h handler) CoordinatorHeartbeat(_ context.Context, m *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error) {
	n := h.n
	n.learnEvacuations(evacuation.FromPeer(m.OperatorVersion, m.Evacuated), string(m.From.Entry))
	known := n.evacuations.state.Load()
	reply := &peer.CoordinatorHeartbeatReply{From: n.deps.Self, ShuttingDown: n.stopping.Load(), Evacuated: known.Names(), OperatorVersion: evacuation.VersionOf(known)}
	for {
		old := n.coordinator.Load()
		if old != nil && old.epoch > m.Epoch {
			reply.Epoch = old.epoch
			break
		}
		next := &coordinatorView{name: m.From.Entry, addr: m.Addr, epoch: m.Epoch, lastHeartbeat: n.deps.Now(), promised: true, leaseVersion: m.Lease, released: m.Released, successor: m.Successor == n.deps.Self.Entry}
		switch {
		case m.HasCounts:
			next.countedAt, next.pending, next.load, next.full = next.lastHeartbeat, m.Pending, m.Load, m.Full
			next.jobBytes, next.jobLimit = m.JobBytes, m.JobLimit
		case old != nil:
			next.countedAt, next.pending, next.load, next.full = old.countedAt, old.pending, old.load, old.full
			next.jobBytes, next.jobLimit = old.jobBytes, old.jobLimit
		}
		if n.coordinator.CompareAndSwap(old, next) {
			reply.Epoch = m.Epoch
			if len(m.Members) > 0 {
				n.members.Store(&m.Members)
			}
			if n.acquiring.mayFollow(m.Lease) {
				// The answer would be a promise not to acquire the lease.
				return nil, errors.Wrap(peer.ErrBusy, "acquiring the lease")
			}
			if old == nil || old.epoch != m.Epoch {
				n.log.Info().Str("coordinator", string(m.From.Entry)).Uint64("epoch", m.Epoch).Msg("Entry: following new coordinator.")
			}
			break
		}
	}
	reply.HandoverAgeMS = n.exchangeHandover(m)
	if m.Probe {
		n.reportStorePath(reply)
	}
	ownVersion := uint64(0)
	if c := n.config.Load(); c != nil {
		ownVersion = c.Version
	}
	reply.Config = ownVersion
	// The coordinator may not have the newest version yet, in which a key may have been withdrawn that this
	// process would accept again after a restart. Without the store its version is the best there is.
	firstRead := !n.synced.Load() && !n.readFailed.Load()
	if m.Config > ownVersion && !firstRead {
		n.runOnce("fetching a configuration", func() { n.fetchConfig(m) })
	}
	return reply, nil
}

// configFetchTimeout bounds the transfer of a configuration from the coordinator.
const configFetchTimeout = time.Second

// fetchConfig fetches the configuration from the coordinator.
func (n *Node) fetchConfig(m *peer.CoordinatorHeartbeat) {
	ctx, cancel := context.WithTimeout(n.ctx, configFetchTimeout)
	defer cancel()
	c, err := n.dial(m.From.Entry, m.Addr).SiteConfig(ctx, &peer.SiteConfigGet{From: n.deps.Self})
	if err != nil {
		n.log.Info().Err(err).Uint64("version", m.Config).Msg("Entry: configuration could not be fetched from the coordinator.")
		return
	}
	n.applyConfig(c.Value, "coordinator")
}

// SiteConfig implements peer.SiteHandler.
func (h handler) SiteConfig(context.Context, *peer.SiteConfigGet) (*peer.SiteConfig, error) {
	c := h.n.config.Load()
	if c == nil {
		return nil, peer.ErrBusy
	}
	return &peer.SiteConfig{Version: c.Version, Value: c.value}, nil
}

// Store implements peer.SiteHandler.
func (h handler) Store(ctx context.Context, m *peer.StoreCall) (*peer.StoreReply, error) {
	return h.n.store.Serve(ctx, m), nil
}

// JobOffer implements peer.SiteHandler.
func (h handler) JobOffer(_ context.Context, m *peer.JobOffer) (*peer.Empty, error) {
	if t := h.n.term.Load(); t != nil {
		t.JobStored(jobs.ID(m.Job), m.Row)
	}
	return &peer.Empty{}, nil
}

// JobUncertain implements peer.SiteHandler.
func (h handler) JobUncertain(_ context.Context, m *peer.JobRequest) (*peer.Empty, error) {
	h.n.attempts.record(jobs.ID(m.Job), false, h.n.deps.Now())
	if suppressed, ok := h.n.attempts.lines.Allow(); ok {
		h.n.log.Info().Str("job", m.Job).Str("from", string(m.From.Entry)).Int64("suppressed", suppressed).Msg("Entry: told of an attempt with an unknown outcome.")
	}
	return &peer.Empty{}, nil
}

// JobState implements peer.SiteHandler.
func (h handler) JobState(ctx context.Context, m *peer.JobRequest) (*peer.JobReply, error) {
	t := h.n.term.Load()
	if t == nil {
		return &peer.JobReply{}, nil
	}
	ids := []jobs.ID{jobs.ID(m.Job)}
	for _, id := range m.More {
		ids = append(ids, jobs.ID(id))
	}
	states, err := t.States(ctx, ids)
	if err != nil {
		return &peer.JobReply{}, nil
	}
	r := &peer.JobReply{Coordinates: states[0].Current, Known: states[0].State != "", State: string(states[0].State)}
	for i, s := range states[1:] {
		r.More = append(r.More, string(s.State))
		if !s.Current {
			r.MoreNotCurrent = append(r.MoreNotCurrent, i)
		}
	}
	return r, nil
}

// JobStop implements peer.SiteHandler.
func (h handler) JobStop(ctx context.Context, m *peer.JobRequest) (*peer.JobReply, error) {
	t := h.n.term.Load()
	if t == nil {
		return &peer.JobReply{}, nil
	}
	ok, err := t.Cancel(ctx, jobs.ID(m.Job))
	switch {
	case mayBeCancelled(ok, err):
		return nil, err // an answer would say that nothing was done
	case err != nil:
		return &peer.JobReply{}, nil
	}
	return &peer.JobReply{Coordinates: true, Known: ok}, nil
}
