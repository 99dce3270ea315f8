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
	"boragepulley/internal/succession"
)

const (
	// electionInterval is how often the state of the election is checked.
	electionInterval = 50 * time.Millisecond
	// coordinatorTimeout is how long no heartbeat may arrive before the lease's row is read. The
	// coordinator sends one every 350 ms.
	coordinatorTimeout = 900 * time.Millisecond
	// leaseReadInterval is how often the row is read while no heartbeats arrive.
	leaseReadInterval = 250 * time.Millisecond
	// acquireMargin is added to the lease's TTL to allow for the age of a read.
	acquireMargin = 100 * time.Millisecond
	// acquireJitter is the range of a random delay that keeps entry VMs from trying to acquire a
	// free lease at the same time.
	acquireJitter = 80 * time.Millisecond
	// leaseCallTimeout bounds a read or an acquisition of the lease. It allows for a store that is
	// 60 times slower than usual.
	leaseCallTimeout = 1500 * time.Millisecond
	// registerRetryDelay is the pause after a failed registration.
	registerRetryDelay = 300 * time.Millisecond
)

// observedLease is the lease's row as last read by this node.
type observedLease struct {
	row       platform.Row
	lease     lease.Row
	valid     bool
	changedAt time.Duration
	// nextRead is when the row is read again.
	nextRead time.Duration
	// notBefore is until when this node leaves the lease to others, see handoverHoldOff.
	notBefore time.Duration
}

// elect registers the node, acquires the lease when it is free, and runs the resulting terms.
func (n *Node) elect() {
	if !n.register() {
		return
	}
	n.readMembers()
	var seen observedLease
	for n.sleep(electionInterval) {
		if t := n.term.Load(); t != nil {
			select {
			case <-t.Done():
				n.endTerm(t)
				seen = observedLease{notBefore: seen.notBefore}
			default:
				if t.HandoverDue() {
					n.handOver(t, &seen)
				} else {
					n.yield(t)
				}
			}
			continue
		}
		now := n.deps.Now()
		if now < seen.notBefore && !n.namedOnRelease() {
			continue
		}
		named, designated := n.namedOnRelease(), n.designatedSuccessor()
		if n.stopping.Load() || !named && (!designated && !n.coordinatorSilent(now) || now < seen.nextRead) {
			continue
		}
		n.observe(&seen, named || designated)
	}
	if t := n.term.Load(); t != nil {
		t.End(coordinator.ErrNotCoordinating)
		n.endTerm(t)
	}
}

// yield releases the lease to a larger entry VM if there is one.
func (n *Node) yield(t *coordinator.Term) {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	if !t.ShouldYield(ctx) {
		return
	}
	n.log.Info().Float64("cores", n.deps.Cores).Msg("Entry: releasing the lease to a larger entry VM.")
	if err := t.Release(ctx); err != nil {
		n.log.Warn().Err(err).Msg("Entry: lease not released; it will expire.")
	}
}

// smallEntryDelay is how long a small entry VM leaves a free lease to larger ones. They may have
// received the last heartbeat up to 0.35 s later, and read the lease's row one cycle later.
const smallEntryDelay = 800 * time.Millisecond

// largerEntryKnown reports whether an entry VM with more cores than this one is known.
func (n *Node) largerEntryKnown() bool {
	members := n.members.Load()
	if members == nil {
		return false
	}
	for _, m := range *members {
		if m.Cores > n.deps.Cores {
			return true
		}
	}
	return false
}

// coordinatorGCPercent is the garbage collector's target percentage while this entry VM
// coordinates, and defaultGCPercent otherwise. With 350 minions the processor is the bottleneck of
// a coordinator (docs/measurements-platform.md). An entry VM that does not coordinate has a small
// heap, and memory has a price.
const (
	coordinatorGCPercent = 400
	defaultGCPercent     = 100
)

// endTerm waits for the end of a term and resets the node to an entry VM that does not coordinate.
func (n *Node) endTerm(t *coordinator.Term) {
	err := t.Wait()
	n.term.Store(nil)
	debug.SetGCPercent(defaultGCPercent)
	n.log.Warn().Uint64("epoch", t.Epoch()).AnErr("cause", err).Msg("Entry: term ended.")
}

// register writes this node's row to the table of entry VMs, so that the coordinator finds it. It
// reports false when the node stops.
func (n *Node) register() bool {
	value, err := json.Marshal(coordinator.MemberRow{Addr: n.deps.PeerAddr, DC: n.deps.Self.DC, Incarnation: n.deps.Self.Incarnation, Cores: n.deps.Cores})
	if err != nil {
		n.log.Error().Err(err).Msg("Entry: registration could not be encoded.")
		return false
	}
	key := coordinator.MemberTable + "/" + string(n.deps.Self.Entry)
	for {
		ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
		_, err := n.deps.Table.Commit(ctx, platform.PriorityLease, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
		cancel()
		if err == nil {
			return true
		}
		n.log.Info().Err(err).Msg("Entry: not registered yet.")
		if !n.sleep(registerRetryDelay/2 + rand.N(registerRetryDelay)) {
			return false
		}
	}
}

// readMembers reads the other entry VMs from the store. Without it, an entry VM that has just
// started and received no heartbeat yet would acquire the lease although there are larger ones.
func (n *Node) readMembers() {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	rows, err := n.deps.Table.Scan(ctx, platform.PriorityLease, coordinator.MemberTable+"/", 0)
	if err != nil {
		n.log.Info().Err(err).Msg("Entry: table of entry VMs could not be read; waiting for the coordinator's list.")
		return
	}
	members := map[model.EntryVM]peer.Member{}
	for _, r := range rows {
		name, row, err := coordinator.DecodeMember(r)
		if err != nil {
			n.log.Error().Err(err).Str("row", r.Key).Msg("Entry: ignoring unreadable entry VM row.")
			continue
		}
		members[name] = peer.Member{Addr: row.Addr, Cores: row.Cores, DC: row.DC}
	}
	n.members.CompareAndSwap(nil, &members)
}

// coordinatorSilent reports whether no heartbeat has arrived for coordinatorTimeout.
func (n *Node) coordinatorSilent(now time.Duration) bool {
	view := n.coordinator.Load()
	return view == nil || now-view.lastHeartbeat > coordinatorTimeout
}

// namedOnRelease reports whether a coordinator has released the lease and named this node as its
// successor.
func (n *Node) namedOnRelease() bool {
	view := n.coordinator.Load()
	return view != nil && view.released && view.successor
}

// designatedSuccessor reports whether this node is to replace the coordinator if that is lost. Such
// a node reads the lease's row all the time, so it knows the time of the last write to within
// leaseReadInterval. The other nodes see the last write of a busy coordinator, which writes many
// times a second, only with their first read after its heartbeats have stopped.
func (n *Node) designatedSuccessor() bool {
	view := n.coordinator.Load()
	return view != nil && !view.released && view.successor
}

// observe reads the lease's row and acquires the lease if it is free or has not been renewed for
// its TTL. A named successor does so without delay.
func (n *Node) observe(seen *observedLease, named bool) {
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	requestedAt := n.deps.Now()
	seen.nextRead = requestedAt + leaseReadInterval
	row, err := n.deps.Table.Get(ctx, platform.PriorityLease, lease.Key)
	if err != nil {
		// Without the row it is unknown whether the lease was renewed since the last read.
		return
	}
	if !seen.valid || row.Version != seen.row.Version {
		held, err := lease.Decode(row)
		if err != nil {
			n.log.Error().Err(err).Msg("Entry: ignoring unreadable lease row.")
			return
		}
		seen.valid, seen.row, seen.lease, seen.changedAt = true, row, held, requestedAt
		if view := n.coordinator.Load(); view != nil && view.epoch == held.Epoch && view.leaseVersion == row.Version {
			// The last heartbeat carried this version, so the row has not changed since then.
			seen.changedAt = min(requestedAt, view.lastHeartbeat)
		}
		n.recordHolder(held)
		if held.Unhealthy && held.Holder == "" {
			succession.RecordHandover(&n.lastHandover, requestedAt, n.deps.Now())
		}
	}
	n.acquiring.rowSeen(row.Version)
	if n.leaseFree(seen) {
		n.acquireLease(seen, named)
		return
	}
	if end := seen.changedAt + lease.TTL + acquireMargin; end > requestedAt {
		seen.nextRead = min(seen.nextRead, end+time.Millisecond) // no later than the lease expires
	}
}

// recordHolder records the address of the lease's holder before its first heartbeat arrives.
func (n *Node) recordHolder(r lease.Row) {
	old := n.coordinator.Load()
	if r.Holder == "" || old != nil && old.epoch >= r.Epoch {
		return
	}
	n.coordinator.CompareAndSwap(old, &coordinatorView{name: r.Holder, addr: r.Addr, epoch: r.Epoch, lastHeartbeat: n.deps.Now() - coordinatorTimeout - time.Millisecond})
}

// leaseFree reports whether the lease can be acquired.
func (n *Node) leaseFree(seen *observedLease) bool {
	now := n.deps.Now()
	if seen.lease.Holder == "" {
		return true
	}
	if seen.lease.Holder == n.deps.Self.Entry {
		return true // of an earlier process of this entry VM or an earlier term, which has ended
	}
	view := n.coordinator.Load()
	heardRecently := view != nil && view.epoch >= seen.lease.Epoch && now-view.lastHeartbeat < lease.TTL
	return !heardRecently && now-seen.changedAt > lease.TTL+acquireMargin
}

// acquireLease acquires the lease and starts a term, after a delay that leaves precedence to larger
// entry VMs.
func (n *Node) acquireLease(seen *observedLease, named bool) {
	wait := rand.N(acquireJitter)
	if n.largerEntryKnown() {
		wait += smallEntryDelay
	}
	// No other entry VM can acquire the lease of this entry VM's earlier process before it expires.
	ownLease := seen.lease.Holder == n.deps.Self.Entry
	if !named && !ownLease && !n.sleep(wait) {
		return
	}
	earlier := n.acquiring.begin(seen.row.Version)
	if !n.leaseFree(seen) { // its holder has been heard of meanwhile
		if !earlier {
			n.acquiring.end()
		}
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, leaseCallTimeout)
	defer cancel()
	held, err := lease.Acquire(ctx, n.deps.Table, n.deps.Now, seen.row, lease.Row{Holder: n.deps.Self.Entry, Addr: n.deps.PeerAddr, Incarnation: n.deps.Self.Incarnation})
	switch {
	case errors.Is(err, lease.ErrLost):
		n.acquiring.end()
		seen.nextRead = 0
		return
	case err != nil:
		if !earlier && !errors.Is(err, platform.ErrUnknownOutcome) {
			n.acquiring.end()
		}
		n.log.Info().Err(err).Msg("Entry: lease could not be acquired.")
		return
	}
	defer n.acquiring.end() // once this entry VM is recorded as the coordinator
	if ownLease && n.largerEntryKnown() {
		n.log.Info().Uint64("epoch", held.Row.Epoch).Float64("cores", n.deps.Cores).Msg("Entry: releasing the lease of the earlier process to a larger entry VM.")
		if err := held.Release(ctx, nil); err != nil {
			n.log.Warn().Err(err).Msg("Entry: lease not released; it will expire.")
		}
		return
	}
	counters.Add("leases_taken", 1)
	n.log.Info().Uint64("epoch", held.Row.Epoch).Str("from", string(seen.lease.Holder)).Dur("unchanged", n.deps.Now()-seen.changedAt).Msg("Entry: lease taken.")
	deps := n.termDeps(seen.lease)
	n.coordinator.Store(&coordinatorView{name: n.deps.Self.Entry, addr: n.deps.PeerAddr, epoch: held.Row.Epoch, lastHeartbeat: n.deps.Now()})
	debug.SetGCPercent(coordinatorGCPercent)
	n.term.Store(coordinator.Start(deps, held))
}
