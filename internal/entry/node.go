package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/fencing"
	"boragepulley/internal/guard"
	"boragepulley/internal/lease"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/relay"
	"boragepulley/internal/site"
)

// Deps are the dependencies of a node.
type Deps struct {
	Self     peer.Sender
	PeerAddr string
	// Cores is the CPU limit of this entry VM, in cores.
	Cores float64
	Table platform.Table
	Feed  platform.Feed
	Fleet fencing.Fleet
	Codec coordinator.Codec
	// DecodeConfig decodes the operators' configuration.
	DecodeConfig func(value []byte) (*site.Config, error)
	Limits       coordinator.Limits
	// Dial returns the connection to another entry VM. It does not block.
	Dial func(name model.EntryVM, addr string) peer.SiteHandler
	// Now reads a monotonic clock that includes the time during which the machine was suspended.
	Now func() time.Duration
	Log zerolog.Logger
}

// Node is the part of an entry VM that takes part in its site.
type Node struct {
	deps Deps
	log  zerolog.Logger

	config      atomic.Pointer[storedConfig]
	waves       atomic.Pointer[map[int64]site.Wave]
	term        atomic.Pointer[coordinator.Term]
	coordinator atomic.Pointer[coordinatorView]
	// members are all entry VMs.
	members     atomic.Pointer[map[model.EntryVM]peer.Member]
	evacuations evacuations
	store       *relay.Store
	// acquiring is the acquisition of the lease that may still take effect.
	acquiring acquisition
	// attempts are recent attempts to store jobs.
	attempts attempts
	// backlog counts the jobs that the coordinator's count may not contain.
	backlog backlog
	// queries are callers' queries about jobs for the coordinator.
	queries stateQueries
	// synced is set once the operators' rows have been read from the store, stopping once a shutdown
	// has begun.
	synced, stopping atomic.Bool
	// readFailed is set once a read of the operators' rows has failed.
	readFailed atomic.Bool
	// readiness decides whether connections are asked for.
	readiness readinessWatch
	// outageSince is since when the store does not answer, on the node's clock; 0 while it does.
	outageSince atomic.Int64
	// lastHandover is when a coordinator last handed over because of its path to the store, as known to
	// this process, on the node's clock; 0 if never.
	lastHandover atomic.Int64
	// probe reads the store directly while the coordinator asks for it.
	probe storeProbe

	mu    sync.Mutex
	peers map[string]peer.SiteHandler // guarded by mu; by address

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// storedConfig is a configuration and its stored form.
type storedConfig struct {
	*site.Config
	value []byte
}

// coordinatorView is this node's knowledge of the site's coordinator.
type coordinatorView struct {
	name          model.EntryVM
	addr          string
	epoch         uint64
	lastHeartbeat time.Duration
	// leaseVersion is the version of the lease's row as last written by the coordinator.
	leaseVersion uint64
	// released is set once the coordinator has released the lease. successor is set if this node is
	// to acquire it, then or when the coordinator is lost.
	released, successor bool
	// promised is set once this node has answered a heartbeat: the coordinator then depends on this
	// node's promise not to acquire the lease.
	promised bool
	// countedAt is when pending and load were last received, 0 if never.
	countedAt time.Duration
	pending   map[model.Queue]int
	load      map[model.Queue]peer.QueueLoad
	// full is set while no further job is to be accepted.
	full bool
	// jobBytes and jobLimit are those of peer.CoordinatorHeartbeat.
	jobBytes, jobLimit int64
}

// New returns a node. It does nothing until Start.
func New(d Deps) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{deps: d, log: logging.Part(d.Log, "entry"), ctx: ctx, stop: stop, peers: map[string]peer.SiteHandler{}}
	n.attempts.lines = logging.NewLimiter(attemptLinesPerSecond, attemptLineBurst)
	n.evacuations.lines = logging.NewLimiter(evacuationLinesPerSecond, evacuationLineBurst)
	n.readiness.wake = make(chan struct{}, 1)
	n.store = &relay.Store{Self: d.Self, Table: d.Table, Feed: d.Feed, Peers: n.relayPeers, RemotePeers: n.remotePeers, OnFailure: n.wakeStoreWatch, OnPeersAsked: func() { n.updateReadiness() },
		Background: n.runInBackground}
	n.deps.Table, n.deps.Feed = n.store, n.store
	return n
}

// relayPeers returns the known other entry VMs, through which the store can be called.
func (n *Node) relayPeers() []relay.PeerClient {
	return n.peersWhere(func(peer.Member) bool { return true })
}

// remotePeers returns those of relayPeers that are known to be in another data centre.
func (n *Node) remotePeers() []relay.PeerClient { return n.peersWhere(n.elsewhere) }

// elsewhere reports whether a member is known to be in another data centre.
func (n *Node) elsewhere(m peer.Member) bool { return m.DC != "" && m.DC != n.deps.Self.DC }

func (n *Node) peersWhere(wanted func(peer.Member) bool) []relay.PeerClient {
	members := n.members.Load()
	if members == nil {
		return nil
	}
	out := make([]relay.PeerClient, 0, len(*members))
	for name, m := range *members {
		if name != n.deps.Self.Entry && wanted(m) {
			out = append(out, n.dial(name, m.Addr))
		}
	}
	return out
}

// Start starts following the operators' configuration and taking part in the election.
func (n *Node) Start() {
	n.initReadiness()
	n.runForever("following operators", n.followOperators)
	n.runForever("election", n.elect)
	n.runForever("watching the store", n.watchStore)
}

// restartDelay is the pause before a background task is restarted after a panic.
const restartDelay = time.Second

// runForever runs f in its own goroutine, and restarts it after a panic.
func (n *Node) runForever(what string, f func()) {
	n.wg.Go(func() {
		for guard.Recover(n.log, what, f) != nil && n.sleep(restartDelay) {
			n.log.Info().Str("doing", what).Msg("Entry: restarted after an unexpected error.")
		}
	})
}

// runOnce runs f in its own goroutine. It reports false, and does nothing, once the node is stopped: messages
// of other entry VMs may arrive until then and later.
func (n *Node) runOnce(what string, f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.wg.Go(func() { _ = guard.Recover(n.log, what, f) })
	return true
}

// runInBackground runs f in its own goroutine, or before it returns, with a context that has ended, once the
// node is stopped.
func (n *Node) runInBackground(f func(ctx context.Context)) {
	if !n.runOnce("a read of the store", func() { f(n.ctx) }) {
		f(n.ctx)
	}
}

// BeginShutdown makes Ready report false and releases the coordinator role.
func (n *Node) BeginShutdown(ctx context.Context) {
	n.stopping.Store(true)
	n.updateReadiness()
	if t := n.term.Load(); t != nil {
		if err := t.Release(ctx); err != nil {
			n.log.Warn().Err(err).Msg("Entry: lease not released; it will expire.")
		}
	}
}

// Stop stops the node and waits for its goroutines.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stop() // under the lock, so that runOnce starts nothing while wg.Wait waits
	n.mu.Unlock()
	n.probe.stop()
	if t := n.term.Load(); t != nil {
		t.End(coordinator.ErrNotCoordinating)
	}
	n.wg.Wait()
}

// dial returns the connection to a peer's address.
func (n *Node) dial(name model.EntryVM, addr string) peer.SiteHandler {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.peers[addr]
	if c == nil {
		c = n.deps.Dial(name, addr)
		n.peers[addr] = c
	}
	return c
}

// termDeps returns the dependencies of a term. before is the lease as it was before the
// acquisition.
func (n *Node) termDeps(before lease.Row) coordinator.Deps {
	released := before.Holder == ""
	view := n.coordinator.Load()
	promised := view != nil && view.epoch == before.Epoch && view.promised
	return coordinator.Deps{
		PredecessorStopped: released || promised || before.Holder == n.deps.Self.Entry,
		Self:               n.deps.Self, Addr: n.deps.PeerAddr, Cores: n.deps.Cores, Table: n.deps.Table, Feed: n.deps.Feed, Fleet: n.deps.Fleet,
		Codec: n.deps.Codec, Limits: n.deps.Limits, Config: n.Config,
		Waves: func() map[int64]site.Wave {
			if w := n.waves.Load(); w != nil {
				return *w
			}
			return nil
		},
		Evacuations: n.evacuations.state.Load, LearnEvacuations: n.learnEvacuations,
		SetMembers:   func(m map[model.EntryVM]peer.Member) { n.members.Store(&m) },
		Dial:         func(name model.EntryVM, addr string) coordinator.PeerClient { return n.dial(name, addr) },
		LastHandover: &n.lastHandover,
		Now:          n.deps.Now, Log: logging.Part(n.deps.Log, "coordinator"), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// sleep waits for d. It reports false when the node stops.
func (n *Node) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}
