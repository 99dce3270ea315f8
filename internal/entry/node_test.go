package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// grid is some entry VMs under a fake clock, with one store and minions.
type grid struct {
	t       *testing.T
	store   *fleet.Store
	minions *fleet.Minions
	began   time.Time

	mu    sync.Mutex
	nodes map[string]*Node // guarded by mu
	// cut entry VMs neither reach others nor are reached.
	cut map[string]bool // guarded by mu
	// fault decides over the store calls of an entry VM.
	fault map[string]func(op string) fleet.Fault // guarded by mu
	// cores are the sizes of entry VMs; 0 for all others.
	cores map[string]float64
	// dcs are the data centres of entry VMs; "dc" for all others.
	dcs map[string]model.DataCentre
}

// disturb sets the fault of an entry VM's store calls, and whether it is cut off.
func (g *grid) disturb(name string, cut bool, fault func(op string) fleet.Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[name], g.fault[name] = cut, fault
}

// reach returns an entry VM that is reached from another one, or nil.
func (g *grid) reach(from, to string) *Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut[from] || g.cut[to] {
		return nil
	}
	return g.nodes[to]
}

func (g *grid) faultOf(name string) func(op string) fleet.Fault {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault[name]
}

func refuse(string) fleet.Fault { return fleet.Refuse }

func newGrid(t *testing.T, n int) *grid {
	g := &grid{t: t, store: fleet.NewStore(), minions: fleet.NewMinions(), nodes: map[string]*Node{}, cut: map[string]bool{},
		fault: map[string]func(string) fleet.Fault{}, cores: map[string]float64{}, dcs: map[string]model.DataCentre{}, began: time.Now()}
	g.minions.Add(site.MinionEntry{ID: "m", Service: "s", Addr: "m", Capacity: jobs.Resources{CPU: 9000}})
	g.store.Put("servers/m", g.minions.EntryRow("m"))
	g.configure(1, "s")
	for i := range n {
		g.start(fmt.Sprint("e", i))
	}
	return g
}

// poisonVersion is a configuration on which the decoder of these tests panics.
const poisonVersion = 666

// configure writes a configuration with one queue, open to all, on a service.
func (g *grid) configure(version uint64, svc model.Service) {
	c := site.Config{Version: version, Services: map[model.Service]site.Service{svc: {}},
		Queues: []site.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: svc, MaxAttempts: 2, Stretch: 2, OpenToAll: true}}}
	value, err := json.Marshal(c)
	require.NoError(g.t, err)
	g.store.Put("op/config", value)
}

func (g *grid) start(name string) *Node {
	view := &fleet.View{Store: g.store, Fault: func(op string) fleet.Fault {
		if f := g.faultOf(name); f != nil {
			return f(op)
		}
		return fleet.None
	}}
	n := New(Deps{
		Self: peer.Sender{Entry: model.EntryVM(name), DC: cmp.Or(g.dcs[name], "dc"), Incarnation: model.NewIncarnation()}, PeerAddr: name, Cores: g.cores[name], Table: view, Feed: view,
		Minions: g.minions, Machines: &fleet.Machines{},
		Codec: coordinator.Codec{Minion: func(_ string, v []byte) (e site.MinionEntry, err error) { return e, json.Unmarshal(v, &e) }},
		DecodeConfig: func(v []byte) (*site.Config, error) {
			var c site.Config
			if err := json.Unmarshal(v, &c); err != nil {
				return nil, err
			}
			if c.Version == poisonVersion {
				panic("a decoder meets what nobody thought of")
			}
			c.Index()
			return &c, nil
		},
		Limits: coordinator.Limits{MaxMinionLease: 6 * time.Second, MachineOrderGap: 3 * time.Second},
		Dial:   func(to model.EntryVM, _ string) peer.SiteHandler { return link{g, name, string(to)} },
		Now:    func() time.Duration { return time.Hour + time.Since(g.began) },
		Log:    zerolog.Nop(),
	})
	g.mu.Lock()
	g.nodes[name] = n
	g.mu.Unlock()
	n.Start()
	return n
}

func (g *grid) stop() {
	for _, n := range g.nodes {
		n.Stop()
	}
}

// coordinator returns the entry VM that coordinates.
func (g *grid) coordinator() string {
	for name, n := range g.nodes {
		if n.term.Load() != nil {
			return name
		}
	}
	return ""
}

func (g *grid) other(than string) *Node {
	for name, n := range g.nodes {
		if name != than {
			return n
		}
	}
	return nil
}

// link passes messages between entry VMs that are not cut.
type link struct {
	g        *grid
	from, to string
}

func via[M, R any](l link, ctx context.Context, m M, f func(peer.SiteHandler, context.Context, M) (R, error)) (R, error) {
	var none R
	n := l.g.reach(l.from, l.to)
	if n == nil {
		<-ctx.Done()
		return none, errors.Wrap(peer.ErrNoAnswer, "cut")
	}
	time.Sleep(time.Millisecond)
	return f(n.Handler(), ctx, m)
}

func (l link) CoordinatorHeartbeat(ctx context.Context, m *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error) {
	return via(l, ctx, m, peer.SiteHandler.CoordinatorHeartbeat)
}
func (l link) JobOffer(ctx context.Context, m *peer.JobOffer) (*peer.Empty, error) {
	return via(l, ctx, m, peer.SiteHandler.JobOffer)
}
func (l link) JobStop(ctx context.Context, m *peer.JobAsk) (*peer.JobAnswer, error) {
	return via(l, ctx, m, peer.SiteHandler.JobStop)
}
func (l link) JobState(ctx context.Context, m *peer.JobAsk) (*peer.JobAnswer, error) {
	return via(l, ctx, m, peer.SiteHandler.JobState)
}
func (l link) SiteConfig(ctx context.Context, m *peer.SiteConfigAsk) (*peer.SiteConfig, error) {
	return via(l, ctx, m, peer.SiteHandler.SiteConfig)
}
func (l link) Store(ctx context.Context, m *peer.StoreCall) (*peer.StoreAnswer, error) {
	return via(l, ctx, m, peer.SiteHandler.Store)
}

func job(id jobs.ID) jobs.Accepted {
	return jobs.Accepted{ID: id, Queue: "q", Service: "s", AcceptedAt: time.Now(), Spec: jobs.Spec{Steps: []jobs.Step{{Count: 2, Need: jobs.Resources{CPU: 1000}}}}}
}

const (
	id1 jobs.ID = "0000000000000001"
	id2 jobs.ID = "0000000000000002"
)

// Guards against a job that is lost or refused because the answer of the write that
// accepts it is lost.
func TestAcceptWithALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 2)
		defer g.stop()
		time.Sleep(2 * time.Second)
		n := g.other(g.coordinator())
		var lost atomic.Bool
		g.disturb(string(n.d.Self.Entry), false, func(op string) fleet.Fault {
			if op == "commit" && lost.CompareAndSwap(false, true) {
				return fleet.Lose
			}
			return fleet.None
		})
		require.NoError(t, n.Submit(context.Background(), job(id1)).Err)
		require.True(t, lost.Load())
		time.Sleep(2 * time.Second)
		require.Equal(t, jobs.StateCompleted, n.State(context.Background(), id1).State)
		require.Equal(t, 1, g.minions.Starts(string(id1)+".0.0.0"))
	})
}

// Guards against a refusal that may be untrue: without the store's word the caller has to
// ask again.
func TestUnknownOutcomeIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 2)
		defer g.stop()
		time.Sleep(2 * time.Second)
		n := g.other(g.coordinator())
		// No peer can look either.
		g.disturb(string(n.d.Self.Entry), true, func(string) fleet.Fault { return fleet.Lose })
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		require.ErrorIs(t, n.Submit(ctx, job(id1)).Err, site.ErrOutcomeUnknown)
		g.disturb(string(n.d.Self.Entry), false, nil)
		require.NoError(t, n.Submit(context.Background(), job(id1)).Err)
	})
}

// Guards against two jobs under one id that is handed in at two entry VMs at once, and
// again later.
func TestOneIDAtTwoEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 3)
		defer g.stop()
		time.Sleep(2 * time.Second)
		for _, n := range g.nodes {
			go func() { require.NoError(t, n.Submit(context.Background(), job(id1)).Err) }()
		}
		time.Sleep(3 * time.Second)
		for _, n := range g.nodes {
			require.NoError(t, n.Submit(context.Background(), job(id1)).Err)
			require.Equal(t, jobs.StateCompleted, n.State(context.Background(), id1).State)
		}
		require.Equal(t, 1, g.minions.Starts(string(id1)+".0.0.0"))
		require.ErrorIs(t, g.nodes["e0"].State(context.Background(), id2).Err, site.ErrJobNotFound)
	})
}

// Guards against a site without a coordinator after one is lost, and against two.
func TestLostCoordinatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 3)
		defer g.stop()
		time.Sleep(2 * time.Second)
		first := g.coordinator()
		g.disturb(first, true, refuse)
		// The latest that a take may come: the row may have been written just before the cut.
		time.Sleep(silentAfter + lease.TTL + takeMargin + readEvery + takeSpread + electEvery)
		leading := 0
		for name, n := range g.nodes {
			if n.term.Load() != nil && name != first {
				leading++
			}
		}
		require.Equal(t, 1, leading)
		g.disturb(first, false, nil)
		time.Sleep(2 * time.Second)
		require.Nil(t, g.nodes[first].term.Load())
	})
}

// Guards against seconds without a coordinator while entry VMs are restarted in turn.
func TestLeavingCoordinatorNamesItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 3)
		defer g.stop()
		time.Sleep(3 * time.Second)
		first := g.coordinator()
		g.nodes[first].BeginShutdown(context.Background())
		time.Sleep(150 * time.Millisecond)
		require.NotEmpty(t, g.coordinator())
		require.NotEqual(t, first, g.coordinator())
		require.False(t, g.nodes[first].Ready())
	})
}

// Guards against an entry VM that the store turns away and that rejects callers, misses
// configurations, or loses the lease, while its peers reach the store.
func TestStoreTurnsOneAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 3)
		defer g.stop()
		time.Sleep(3 * time.Second)
		first := g.coordinator()
		g.disturb(first, false, refuse)
		n := g.nodes[first]
		require.NoError(t, n.Submit(context.Background(), job(id1)).Err)
		g.configure(2, "s")
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), n.Config().Version)
		require.Equal(t, jobs.StateCompleted, n.State(context.Background(), id1).State)
		time.Sleep(5 * time.Second)
		require.Equal(t, first, g.coordinator())
	})
}

// Guards against a small entry VM that coordinates after all have restarted, because its
// earlier process held the lease and it has not heard of larger ones yet.
func TestSmallEntryVMLeavesTheLeaseToLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 0)
		defer func() { g.stop() }()
		g.cores["e0"], g.cores["e1"] = 0.2, 0.8
		g.start("e0")
		time.Sleep(2 * time.Second)
		require.Equal(t, "e0", g.coordinator())
		g.start("e1")
		time.Sleep(300 * time.Millisecond)
		g.stop()
		g.start("e0")
		g.start("e1")
		time.Sleep(lease.TTL / 2)
		require.Equal(t, "e1", g.coordinator())
	})
}

// Guards against a count of waiting jobs that is none at all: a coordinator that has not
// read its tables yet was understood to say that no job waits.
func TestPendingIsNotAnsweredFromACoordinatorThatHasNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 0)
		n := g.start("e0")
		defer g.stop()
		g.disturb("e0", false, refuse)
		lead := func(m peer.CoordinatorHeartbeat) {
			m.From, m.Addr = peer.Sender{Entry: "e1", DC: "dc"}, "e1"
			_, err := n.Handler().CoordinatorHeartbeat(context.Background(), &m)
			require.NoError(t, err)
		}
		lead(peer.CoordinatorHeartbeat{Epoch: 1})
		_, ok := n.Pending(context.Background(), "q")
		require.False(t, ok)
		lead(peer.CoordinatorHeartbeat{Epoch: 1, HasCounts: true, Pending: map[model.Queue]int{"q": 7}})
		lead(peer.CoordinatorHeartbeat{Epoch: 2})
		waiting, ok := n.Pending(context.Background(), "q")
		require.True(t, ok)
		require.Equal(t, 7, waiting)
		time.Sleep(pendingAge + time.Millisecond)
		lead(peer.CoordinatorHeartbeat{Epoch: 2})
		_, ok = n.Pending(context.Background(), "q")
		require.False(t, ok)
	})
}

// Guards against a configuration that an entry VM goes back from.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 1)
		defer g.stop()
		time.Sleep(time.Second)
		g.configure(5, "s")
		time.Sleep(time.Second)
		g.configure(4, "s")
		g.store.Compact()
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(5), g.nodes["e0"].Config().Version)
		g.store.Put("op/config", []byte("not a configuration"))
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(5), g.nodes["e0"].Config().Version)
	})
}

// Guards against a cancelling that waits for a coordinator, or that its successor misses.
func TestCancelWithoutACoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 3)
		defer g.stop()
		g.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone })
		time.Sleep(3 * time.Second)
		first := g.coordinator()
		n := g.other(first)
		require.NoError(t, n.Submit(context.Background(), job(id1)).Err)
		time.Sleep(300 * time.Millisecond)
		g.disturb(first, true, refuse)
		time.Sleep(time.Second)
		require.NoError(t, n.Cancel(context.Background(), id1).Err)
		time.Sleep(5 * time.Second)
		require.Equal(t, jobs.StateCancelled, n.State(context.Background(), id1).State)
		require.Empty(t, g.minions.Running(string(id1)+".0.0.0"))
	})
}

// Guards against a row that ends the process, or the following of all later rows.
func TestPoisonRowIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 2)
		defer g.stop()
		time.Sleep(4 * time.Second)
		g.configure(poisonVersion, "s")
		time.Sleep(2 * time.Second)
		g.configure(poisonVersion+1, "s")
		time.Sleep(3 * time.Second)
		for name, n := range g.nodes {
			require.EqualValues(t, poisonVersion+1, n.Config().Version, name)
		}
	})
}

// Guards against callers that use up their tries while the store is away: they are asked to
// come back after about as long as the outage has lasted.
func TestComeBackGrowsWithAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 2)
		defer g.stop()
		time.Sleep(4 * time.Second)
		n := g.nodes["e0"]
		require.Equal(t, leastComeBack, n.comeBack())
		var away atomic.Bool
		away.Store(true)
		for name := range g.nodes {
			g.disturb(name, false, func(string) fleet.Fault {
				if away.Load() {
					return fleet.Refuse
				}
				return fleet.None
			})
		}
		began := time.Now()
		tries := 0
		for {
			tries++
			a := n.Submit(t.Context(), jobs.Accepted{ID: "0000000000000001", Queue: "q", Service: "s", AcceptedAt: began, Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1}}}})
			if a.Err == nil {
				break
			}
			require.ErrorIs(t, a.Err, site.ErrUnavailable)
			require.GreaterOrEqual(t, a.RetryAfter, leastComeBack)
			require.LessOrEqual(t, a.RetryAfter, mostComeBack)
			time.Sleep(a.RetryAfter.Truncate(time.Second) + time.Second)
			if time.Since(began) > 8*time.Second {
				away.Store(false)
			}
		}
		require.LessOrEqual(t, tries, 5)
		time.Sleep(time.Second)
		require.Equal(t, leastComeBack, n.comeBack())
	})
}

// Guards against seconds without a coordinator when the one of a busy site is lost with its
// machine: it wrote many times a second, so the row that the others read last is not the one
// that they were told of, and they waited for the lease's time from their first read.
func TestLostCoordinatorIsFollowedSoon(t *testing.T) {
	for seed := range 5 {
		synctest.Test(t, func(t *testing.T) {
			g := newGrid(t, 6)
			defer g.stop()
			time.Sleep(5*time.Second + time.Duration(seed)*70*time.Millisecond)
			first := g.coordinator()
			for i := range 60 {
				a := g.other(first).Submit(t.Context(), jobs.Accepted{ID: jobs.ID(fmt.Sprintf("%016x", i)), Queue: "q", Service: "s", AcceptedAt: time.Now(),
					Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, Need: jobs.Resources{CPU: 100}}}}})
				require.NoError(t, a.Err)
				time.Sleep(20 * time.Millisecond)
			}
			g.disturb(first, true, refuse)
			lost := time.Now()
			for {
				time.Sleep(10 * time.Millisecond)
				if name := g.coordinatorBut(first); name != "" {
					break
				}
				require.Less(t, time.Since(lost), 10*time.Second)
			}
			// The lease's time, the age of a read, and a read and a take of the row.
			require.Less(t, time.Since(lost), lease.TTL+takeMargin+readEvery+2*electEvery+50*time.Millisecond)
		})
	}
}

// coordinatorBut returns an entry VM other than one that coordinates.
func (g *grid) coordinatorBut(not string) string {
	for name, n := range g.nodes {
		if name != not && n.term.Load() != nil {
			return name
		}
	}
	return ""
}

// Guards against a successor that is cut off together with the coordinator: their data centre
// is lost, and a small entry VM takes over late.
func TestSuccessorIsInAnotherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 0)
		defer g.stop()
		names := []string{"a1", "a2", "b1", "b2", "c-small"}
		for _, name := range names {
			g.dcs[name], g.cores[name] = model.DataCentre(name[:1]), 0.8
		}
		g.cores["c-small"] = 0.2
		for _, name := range names {
			g.start(name)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		first := g.coordinator()
		require.NotEmpty(t, first)
		var next []string
		for name, n := range g.nodes {
			if name != first && n.next() {
				next = append(next, name)
			}
		}
		require.Len(t, next, 1)
		require.NotEqual(t, first[:1], next[0][:1])
		require.NotEqual(t, "c-small", next[0])
	})
}

// Guards against a successor that is about to end: nobody follows the lease's row then, and the
// coordinator is lost for longer.
func TestSuccessorDoesNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGrid(t, 4)
		defer g.stop()
		time.Sleep(6 * time.Second)
		first := g.coordinator()
		named := func() string {
			for name, n := range g.nodes {
				if name != first && n.next() {
					return name
				}
			}
			return ""
		}
		before := named()
		require.NotEmpty(t, before)
		g.nodes[before].BeginShutdown(t.Context())
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, named())
		require.NotEqual(t, before, named())
	})
}
