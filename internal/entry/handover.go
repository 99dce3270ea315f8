package entry

import (
	"context"
	"sync"
	"time"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/lease"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// probeInterval is the least time between two direct reads for the coordinator.
	probeInterval = 300 * time.Millisecond
	// probeReadTimeout bounds such a read. A path on which it takes 0.1 s is not good enough.
	probeReadTimeout = 400 * time.Millisecond
	// handoverHoldOff is how long an entry VM that handed over because of its path to the store leaves the
	// free lease to others. A named successor takes it at once; others notice the silence after 0.9 s, read
	// the row, and small ones wait another 0.8 s. Afterwards a bad coordinator is better than none.
	handoverHoldOff = 3 * time.Second
)

// handOver hands the role over to an entry VM with a better path to the store.
func (n *Node) handOver(t *coordinator.Term, seen *observedLease) {
	handedOver, err := t.HandOver(n.ctx)
	if err != nil {
		n.log.Warn().Err(err).Msg("Entry: role not handed over.")
	}
	if handedOver {
		seen.notBefore = n.deps.Now() + handoverHoldOff
	}
}

// recordHandover records the last handover that a coordinator reports.
func (n *Node) recordHandover(m *peer.CoordinatorHeartbeat) {
	if m.HandoverAgeMS > 0 {
		n.recordHandoverAt(n.deps.Now() - time.Duration(m.HandoverAgeMS)*time.Millisecond)
	}
}

// recordHandoverAt records a handover at a time, unless a later one is known.
func (n *Node) recordHandoverAt(at time.Duration) {
	for {
		old := n.lastHandover.Load()
		if int64(at) <= old || n.lastHandover.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// storeProbe is the result of the direct reads of the store.
type storeProbe struct {
	mu        sync.Mutex
	reading   bool          // guarded by mu
	startedAt time.Duration // guarded by mu; when the last read began
	reads     uint64        // guarded by mu; number of reads begun
	// read is set once a read has succeeded; lastRead, endedAt and took are the number, end and duration of
	// the last that did, and ok is set if none has failed since. Guarded by mu.
	read, ok      bool
	lastRead      uint64
	endedAt, took time.Duration
}

// reportStorePath puts the last direct read of the store into a reply and starts the next one in the
// background if it is due.
func (n *Node) reportStorePath(r *peer.CoordinatorHeartbeatReply) {
	p, now := &n.probe, n.deps.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.read {
		r.StoreMS, r.StoreAgeMS, r.StoreOK, r.StoreRead = p.took.Milliseconds(), max(1, (now-p.endedAt).Milliseconds()), p.ok, p.lastRead
	}
	if !p.reading && (p.startedAt == 0 || now >= p.startedAt+probeInterval) {
		p.reading, p.startedAt = true, now
		p.reads++
		n.runOnce("reading the store for the coordinator", n.readStoreDirectly)
	}
}

// readStoreDirectly reads the row of the lease without a relay.
func (n *Node) readStoreDirectly() {
	ctx, cancel := context.WithTimeout(n.ctx, probeReadTimeout)
	defer cancel()
	began, err := n.deps.Now(), error(nil)
	defer func() {
		p, now := &n.probe, n.deps.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading, p.ok = false, err == nil
		if err == nil {
			p.read, p.endedAt, p.took, p.lastRead = true, now, now-began, p.reads
		}
	}()
	counters.Add("store_probes", 1)
	_, err = n.store.Table.Get(ctx, platform.PriorityLease, lease.Key)
}
