package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// electEvery is how often the state of the election is looked at.
	electEvery = 50 * time.Millisecond
	// silentAfter is how long the coordinator may be silent before the lease's row is read;
	// it sends a message every 350 ms.
	silentAfter = 900 * time.Millisecond
	// readEvery is how often the row is read while the coordinator is silent.
	readEvery = 250 * time.Millisecond
	// takeMargin is added to the lease's time for the age of a read.
	takeMargin = 100 * time.Millisecond
	// takeSpread keeps entry VMs from taking a free lease at the same moment.
	takeSpread = 80 * time.Millisecond
	// leaseCallTimeout bounds a read or a take, with a store that is slow by a factor of 60.
	leaseCallTimeout = 1500 * time.Millisecond
	// registerRetry is the pause after a failed registration.
	registerRetry = 300 * time.Millisecond
)

// observed is the lease's row as this node sees it.
type observed struct {
	row     platform.Row
	lease   lease.Row
	known   bool
	changed time.Duration
	// next is when the row is read again.
	next time.Duration
}

// elect registers the node and takes the lease when it is free.
func (n *Node) elect() {
	if !n.register() {
		return
	}
	n.readMembers()
	var seen observed
	for n.sleep(electEvery) {
		if t := n.term.Load(); t != nil {
			select {
			case <-t.Done():
				n.endTerm(t)
				seen = observed{}
			default:
				n.yield(t)
			}
			continue
		}
		now := n.d.Now()
		named, next := n.named(), n.next()
		if n.leaving.Load() || !named && (!next && !n.silent(now) || now < seen.next) {
			continue
		}
		n.observe(&seen, named || next)
	}
	if t := n.term.Load(); t != nil {
		t.End(coordinator.ErrNotCoordinating)
		n.endTerm(t)
	}
}

// yield gives the lease to a larger entry VM if there is one.
func (n *Node) yield(t *coordinator.Term) {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	if !t.ShouldYield(ctx) {
		return
	}
	n.log.Info().Float64("cores", n.d.Cores).Msg("Entry: a larger entry VM is to coordinate.")
	if err := t.Release(ctx); err != nil {
		n.log.Warn().Err(err).Msg("Entry: lease not given up; it will lapse.")
	}
}

// deference is how long a small entry VM leaves a free lease to larger ones: they may have heard
// the coordinator a beat (0.35 s) later, and read its row a cycle later.
const deference = 800 * time.Millisecond

// smaller reports whether a larger entry VM is known.
func (n *Node) smaller() bool {
	known := n.members.Load()
	if known == nil {
		return false
	}
	for _, m := range *known {
		if m.Cores > n.d.Cores {
			return true
		}
	}
	return false
}

// coordinatingGC is the heap's growth between two collections while this entry VM
// coordinates, in percent, and servingGC otherwise. With 350 minions the processor binds a
// coordinator (docs/measurements-platform.md); an entry VM that only serves has a small
// heap, and memory has a price.
const (
	coordinatingGC = 400
	servingGC      = 100
)

func (n *Node) endTerm(t *coordinator.Term) {
	err := t.Wait()
	n.term.Store(nil)
	debug.SetGCPercent(servingGC)
	n.log.Warn().Uint64("epoch", t.Epoch()).AnErr("cause", err).Msg("Entry: term ended.")
}

// register writes this node's row, so that the coordinator finds it.
func (n *Node) register() bool {
	value, err := json.Marshal(coordinator.MemberRow{Addr: n.d.PeerAddr, DC: n.d.Self.DC, Incarnation: n.d.Self.Incarnation, Cores: n.d.Cores})
	if err != nil {
		n.log.Error().Err(err).Msg("Entry: not registered.")
		return false
	}
	key := coordinator.MemberTable + "/" + string(n.d.Self.Entry)
	for {
		ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
		_, err := n.d.Table.Commit(ctx, platform.PriorityLease, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
		cancel()
		if err == nil {
			return true
		}
		n.log.Info().Err(err).Msg("Entry: not registered yet.")
		if !n.sleep(registerRetry/2 + rand.N(registerRetry)) {
			return false
		}
	}
}

// readMembers learns of the other entry VMs from the store: an entry VM that just started
// and has not heard the coordinator would take the lease though larger ones are there.
func (n *Node) readMembers() {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	rows, err := n.d.Table.Scan(ctx, platform.PriorityLease, coordinator.MemberTable+"/", 0)
	if err != nil {
		n.log.Info().Err(err).Msg("Entry: other entry VMs not read; the coordinator will name them.")
		return
	}
	known := map[model.EntryVM]peer.Member{}
	for _, r := range rows {
		name, row, err := coordinator.DecodeMember(r)
		if err != nil {
			n.log.Error().Err(err).Str("row", r.Key).Msg("Entry: unreadable entry VM passed over.")
			continue
		}
		known[name] = peer.Member{Addr: row.Addr, Cores: row.Cores}
	}
	n.members.CompareAndSwap(nil, &known)
}

// silent reports whether the coordinator was not heard of lately.
func (n *Node) silent(now time.Duration) bool {
	l := n.leader.Load()
	return l == nil || now-l.heard > silentAfter
}

// named reports whether a coordinator that gave the lease up has named this node.
func (n *Node) named() bool {
	l := n.leader.Load()
	return l != nil && l.released && l.successor
}

// next reports whether this node is to follow a coordinator that is lost. It reads the lease's
// row all the time, and so knows within readEvery when it was written last: while a loaded
// coordinator writes many times a second, the others know that only from their first read
// after it fell silent.
func (n *Node) next() bool {
	l := n.leader.Load()
	return l != nil && !l.released && l.successor
}

// observe reads the lease's row and takes the lease if it is free or has not changed for
// its time. A named successor does not leave time for others.
func (n *Node) observe(s *observed, named bool) {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	asked := n.d.Now()
	s.next = asked + readEvery
	row, err := n.d.Table.Get(ctx, platform.PriorityLease, lease.Key)
	if err != nil {
		// Without the row nothing is known of the time since the last read.
		return
	}
	if !s.known || row.Version != s.row.Version {
		held, err := lease.Decode(row)
		if err != nil {
			n.log.Error().Err(err).Msg("Entry: unreadable lease.")
			return
		}
		s.known, s.row, s.lease, s.changed = true, row, held, asked
		if l := n.leader.Load(); l != nil && l.epoch == held.Epoch && l.lease == row.Version {
			// The coordinator itself told of this version when it was heard last.
			s.changed = min(asked, l.heard)
		}
		n.noteHolder(held)
	}
	if n.free(s) {
		n.take(s, named)
		return
	}
	if end := s.changed + lease.TTL + takeMargin; end > asked {
		s.next = min(s.next, end+time.Millisecond) // no later than the lease's end
	}
}

// noteHolder remembers where the coordinator is, before it is heard of.
func (n *Node) noteHolder(r lease.Row) {
	old := n.leader.Load()
	if r.Holder == "" || old != nil && old.epoch >= r.Epoch {
		return
	}
	n.leader.CompareAndSwap(old, &leaderView{name: r.Holder, addr: r.Addr, epoch: r.Epoch, heard: n.d.Now() - silentAfter - time.Millisecond})
}

func (n *Node) free(s *observed) bool {
	now := n.d.Now()
	if s.lease.Holder == "" {
		return true
	}
	if s.lease.Holder == n.d.Self.Entry && s.lease.Incarnation != n.d.Self.Incarnation {
		return true // an earlier process of this entry VM, which is over
	}
	l := n.leader.Load()
	heard := l != nil && l.epoch >= s.lease.Epoch && now-l.heard < lease.TTL
	return !heard && now-s.changed > lease.TTL+takeMargin
}

func (n *Node) take(s *observed, named bool) {
	wait := rand.N(takeSpread)
	if n.smaller() {
		wait += deference
	}
	// The lease of this entry VM's earlier process is nobody else's to take before its time.
	own := s.lease.Holder == n.d.Self.Entry
	if !named && !own && !n.sleep(wait) {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	held, err := lease.Acquire(ctx, n.d.Table, n.d.Now, s.row, lease.Row{Holder: n.d.Self.Entry, Addr: n.d.PeerAddr, Incarnation: n.d.Self.Incarnation})
	switch {
	case errors.Is(err, lease.ErrLost):
		s.next = 0
		return
	case err != nil:
		n.log.Info().Err(err).Msg("Entry: lease not taken.")
		return
	}
	if own && n.smaller() {
		n.log.Info().Uint64("epoch", held.Row.Epoch).Float64("cores", n.d.Cores).Msg("Entry: lease of the earlier process is left to a larger entry VM.")
		if err := held.Release(ctx, nil); err != nil {
			n.log.Warn().Err(err).Msg("Entry: lease not given up; it will lapse.")
		}
		return
	}
	counters.Add("leases_taken", 1)
	n.log.Info().Uint64("epoch", held.Row.Epoch).Str("from", string(s.lease.Holder)).Dur("unchanged", n.d.Now()-s.changed).Msg("Entry: lease taken.")
	deps := n.termDeps(s.lease)
	n.leader.Store(&leaderView{name: n.d.Self.Entry, addr: n.d.PeerAddr, epoch: held.Row.Epoch, heard: n.d.Now()})
	debug.SetGCPercent(coordinatingGC)
	n.term.Store(coordinator.Start(deps, held))
}
