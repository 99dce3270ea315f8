package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/lease"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/succession"
)

const (
	// probeInterval is the least time between two direct reads for the coordinator.
	probeInterval = 300 * time.Millisecond
	// probeReadTimeout bounds such a read. A path on which it takes 0.1 s is not good enough.
	probeReadTimeout = 400 * time.Millisecond
	// handoverHoldOff is how long an entry VM that handed over because of its path to the store leaves the
	// free lease to others. A named successor takes it at once; others notice the silence after 0.9 s, read
	// the row, and small ones wait another 0.8 s. Afterwards a bad coordinator is better than none. It counts
	// from the end of orders, and does not apply if only the successor is known: nobody else could take over.
	handoverHoldOff = 3 * time.Second
)

// handOver hands the role over to an entry VM with a better path to the store.
func (n *Node) handOver(t *coordinator.Term, seen *observedLease) {
	if err := t.HandOver(n.ctx); err != nil {
		n.log.Warn().Err(err).Msg("Entry: role not handed over.")
	}
	if at := t.HandedOverAt(); at != 0 && n.othersKnown() > 1 {
		seen.notBefore = at + handoverHoldOff
	}
}

// othersKnown returns the number of other entry VMs that this node knows.
func (n *Node) othersKnown() int {
	members := n.members.Load()
	if members == nil {
		return 0
	}
	out := len(*members)
	if _, ok := (*members)[n.deps.Self.Entry]; ok {
		out--
	}
	return out
}

// exchangeHandover records the last handover that a coordinator reports and returns the age of the last one
// known.
func (n *Node) exchangeHandover(m *peer.CoordinatorHeartbeat) (ageMS int64) {
	now := n.deps.Now()
	succession.RecordReported(&n.lastHandover, m.HandoverAgeMS, now, now)
	return succession.HandoverAge(&n.lastHandover, now)
}

// storeProbe is the result of the direct reads of the store.
type storeProbe struct {
	mu        sync.Mutex
	stopped   bool          // guarded by mu; no read is begun any more
	reading   bool          // guarded by mu
	startedAt time.Duration // guarded by mu; when the last read began
	// begun counts the reads, ended is the number of the last one that has ended, and ok tells whether that
	// one succeeded. Guarded by mu.
	begun, ended uint64
	ok           bool
	// succeededAt and took are the end and the duration of the last read that succeeded, 0 if none has.
	// Guarded by mu.
	succeededAt, took time.Duration
}

// stop prevents further reads, so that none is begun after the node has waited for its goroutines.
func (p *storeProbe) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// reportStorePath puts the last direct read of the store into a reply and starts the next one in the
// background if it is due.
func (n *Node) reportStorePath(r *peer.CoordinatorHeartbeatReply) {
	p, now := &n.probe, n.deps.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	r.StoreRead, r.StoreOK = p.ended, p.ok
	if p.succeededAt != 0 {
		r.StoreMS, r.StoreAgeMS = p.took.Milliseconds(), max(1, (now-p.succeededAt).Milliseconds())
	}
	if !p.stopped && !p.reading && (p.startedAt == 0 || now >= p.startedAt+probeInterval) {
		p.reading, p.startedAt = true, now
		p.begun++
		n.runOnce("reading the store for the coordinator", n.readStoreDirectly)
	}
}

// errNotRead is the outcome of a read that has not ended.
var errNotRead = errors.New("entry: store not read")

// readStoreDirectly reads the row of the lease without a relay.
func (n *Node) readStoreDirectly() {
	ctx, cancel := context.WithTimeout(n.ctx, probeReadTimeout)
	defer cancel()
	began, err := n.deps.Now(), errNotRead // stays so if the read panics
	defer func() {
		p, now := &n.probe, n.deps.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading, p.ended, p.ok = false, p.begun, err == nil
		if err == nil {
			p.succeededAt, p.took = now, now-began
		}
	}()
	counters.Add("store_probes", 1)
	_, err = n.store.Table.Get(ctx, platform.PriorityLease, lease.Key)
}
