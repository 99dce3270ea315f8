package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/guard"
	"boragepulley/internal/lease"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/relay"
	"boragepulley/internal/site"
)

// Deps are the parts that a node works with.
type Deps struct {
	Self     peer.Sender
	PeerAddr string
	// Cores is the processor time that this entry VM may use, in cores.
	Cores    float64
	Table    platform.Table
	Feed     platform.Feed
	Minions  site.Minions
	Machines site.Machines
	Codec    coordinator.Codec
	// DecodeConfig reads the operators' configuration.
	DecodeConfig func(value []byte) (*site.Config, error)
	Limits       coordinator.Limits
	// Dial returns the connection to another entry VM; it does not block.
	Dial func(name model.EntryVM, addr string) peer.SiteHandler
	// Now is the clock that counts suspended time.
	Now func() time.Duration
	Log zerolog.Logger
}

// Node is one entry VM.
type Node struct {
	d   Deps
	log zerolog.Logger

	config atomic.Pointer[stored]
	waves  atomic.Pointer[map[int64]site.Wave]
	term   atomic.Pointer[coordinator.Term]
	leader atomic.Pointer[leaderView]
	// members are all entry VMs.
	members atomic.Pointer[map[model.EntryVM]peer.Member]
	store   *relay.Store
	// reached is set once the store has answered, leaving when a shutdown has begun.
	reached, leaving atomic.Bool
	// away is since when the store does not answer, on the node's clock; 0 while it does.
	away atomic.Int64

	mu    sync.Mutex
	peers map[string]peer.SiteHandler // guarded by mu; by address

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// stored is a configuration with its stored form.
type stored struct {
	*site.Config
	value []byte
}

// leaderView is what this node knows of the site's coordinator.
type leaderView struct {
	name  model.EntryVM
	addr  string
	epoch uint64
	heard time.Duration
	// lease is the version of the lease's row that the coordinator wrote last.
	lease uint64
	// released is set once the coordinator has given the lease up, successor if this node is
	// to take it, then or when the coordinator is lost.
	released, successor bool
	// promised is set once the coordinator was answered: it then needed this node's promise
	// not to take the lease.
	promised bool
	// counted is when pending and load were told last, 0 if they were not.
	counted time.Duration
	pending map[model.Queue]int
	load    map[model.Queue]peer.QueueLoad
}

// New returns a node that does nothing until Start.
func New(d Deps) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{d: d, log: logging.Part(d.Log, "entry"), ctx: ctx, stop: stop, peers: map[string]peer.SiteHandler{}}
	n.store = &relay.Store{Self: d.Self, Table: d.Table, Feed: d.Feed, Peers: n.relays}
	n.d.Table, n.d.Feed = n.store, n.store
	return n
}

// relays returns the other entry VMs as far as they are known.
func (n *Node) relays() []relay.Peer {
	known := n.members.Load()
	if known == nil {
		return nil
	}
	out := make([]relay.Peer, 0, len(*known))
	for name, m := range *known {
		if name != n.d.Self.Entry {
			out = append(out, n.dial(name, m.Addr))
		}
	}
	return out
}

// Start begins to follow the configuration and to take part in the election.
func (n *Node) Start() {
	n.keep("following operators", n.watchOperators)
	n.keep("election", n.elect)
}

// restartAfter is the pause after an unexpected error in work that goes on all the time.
const restartAfter = time.Second

// keep runs f in a goroutine of its own, and again after an unexpected error.
func (n *Node) keep(what string, f func()) {
	n.wg.Go(func() {
		for guard.Recover(n.log, what, f) != nil && n.sleep(restartAfter) {
			n.log.Info().Str("doing", what).Msg("Entry: begun again.")
		}
	})
}

// once runs f in a goroutine of its own.
func (n *Node) once(what string, f func()) {
	n.wg.Go(func() { _ = guard.Recover(n.log, what, f) })
}

// BeginShutdown releases the coordinator role and makes Ready report false.
func (n *Node) BeginShutdown(ctx context.Context) {
	n.leaving.Store(true)
	if t := n.term.Load(); t != nil {
		if err := t.Release(ctx); err != nil {
			n.log.Warn().Err(err).Msg("Entry: lease not given up; it will lapse.")
		}
	}
}

// Stop ends all work of the node.
func (n *Node) Stop() {
	n.stop()
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
		c = n.d.Dial(name, addr)
		n.peers[addr] = c
	}
	return c
}

// termDeps returns what a term works with.
func (n *Node) termDeps(before lease.Row) coordinator.Deps {
	released := before.Holder == ""
	l := n.leader.Load()
	promised := l != nil && l.epoch == before.Epoch && l.promised
	return coordinator.Deps{
		PredecessorStopped: released || promised || before.Holder == n.d.Self.Entry,
		Self:               n.d.Self, Addr: n.d.PeerAddr, Cores: n.d.Cores, Table: n.d.Table, Feed: n.d.Feed, Minions: n.d.Minions, Machines: n.d.Machines,
		Codec: n.d.Codec, Limits: n.d.Limits, Config: n.Config,
		Waves: func() map[int64]site.Wave {
			if w := n.waves.Load(); w != nil {
				return *w
			}
			return nil
		},
		SetMembers: func(m map[model.EntryVM]peer.Member) { n.members.Store(&m) },
		Dial:       func(name model.EntryVM, addr string) coordinator.PeerClient { return n.dial(name, addr) },
		Now:        n.d.Now, Log: logging.Part(n.d.Log, "coordinator"), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// sleep pauses; it reports false when the node stops.
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
