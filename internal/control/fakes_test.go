package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/settings"
	"boragepulley/internal/upstream"
)

// fakeStore is an in-memory table and object store.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	down    bool
	// dropWrites makes every transaction fail with an unknown outcome, without effect.
	dropWrites bool
	// writeDelay returns the delay before a transaction takes effect; may be nil.
	writeDelay func(platform.Txn) time.Duration
	// loseAnswer reports whether the answer of a transaction is lost after it took effect;
	// may be nil.
	loseAnswer func(platform.Txn) bool
	// commits counts the transactions that took effect by the key of their first put.
	commits map[string]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]platform.Row{}, objects: map[string][]byte{}, commits: map[string]int{}}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) row(key string) platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// nodeStore is the connection of one entry VM to the store.
type nodeStore struct {
	*fakeStore
	node *node
}

// roundTrip simulates the network to the store. It does not return while the node is
// paused.
func (v nodeStore) roundTrip(ctx context.Context) error {
	v.node.waitResumed()
	time.Sleep(time.Millisecond)
	v.mu.Lock()
	down := v.down
	v.mu.Unlock()
	if down || v.node.cutFromStore.Load() {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}

func (v nodeStore) Get(ctx context.Context, _ platform.Priority, key string) (platform.Row, error) {
	if err := v.roundTrip(ctx); err != nil {
		return platform.Row{}, platform.ErrUnavailable
	}
	defer v.node.waitResumed()
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.rows[key]
	r.Key = key
	return r, nil
}

func (v nodeStore) Scan(ctx context.Context, _ platform.Priority, prefix string, _ int) ([]platform.Row, error) {
	if err := v.roundTrip(ctx); err != nil {
		return nil, platform.ErrUnavailable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []platform.Row
	for k, r := range v.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func (v nodeStore) Commit(ctx context.Context, _ platform.Priority, t platform.Txn) (map[string]uint64, error) {
	if err := v.roundTrip(ctx); err != nil {
		return nil, platform.ErrUnavailable
	}
	v.mu.Lock()
	slow := v.writeDelay
	v.mu.Unlock()
	if slow != nil {
		time.Sleep(slow(t))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.dropWrites {
		return nil, platform.ErrUnknownOutcome
	}
	for _, c := range t.Conditions {
		if v.rows[c.Key].Version != c.Version {
			return nil, platform.ErrConflict
		}
	}
	out := map[string]uint64{}
	for _, p := range t.Puts {
		n := v.rows[p.Key].Version + 1
		v.rows[p.Key] = platform.Row{Key: p.Key, Version: n, Value: p.Value}
		out[p.Key] = n
	}
	v.commits[t.Puts[0].Key]++
	if v.loseAnswer != nil && v.loseAnswer(t) {
		return nil, platform.ErrUnknownOutcome
	}
	return out, nil
}

// nodeObjects is the connection of one entry VM to the object store.
type nodeObjects struct{ nodeStore }

func (v nodeObjects) Put(ctx context.Context, _ platform.Priority, name string, data []byte) error {
	if err := v.roundTrip(ctx); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if old, ok := v.objects[name]; ok && string(old) != string(data) {
		return errors.New("object changed")
	}
	v.objects[name] = data
	return nil
}

func (v nodeObjects) Get(ctx context.Context, _ platform.Priority, name string) ([]byte, error) {
	if err := v.roundTrip(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if b, ok := v.objects[name]; ok {
		return b, nil
	}
	return nil, platform.ErrNotFound
}

func (v nodeObjects) List(context.Context, platform.Priority, string) ([]string, error) {
	return nil, nil
}

// cluster is a set of control loops with an in-memory network and in-memory minions.
type cluster struct {
	t     *testing.T
	store *fakeStore
	nodes map[model.EntryVM]*node
	peers []settings.Peer
	sites map[string]*config.Site

	// dial replaces the in-memory network; may be nil.
	dial func(self peer.Sender, to settings.Peer) PeerClient

	mu sync.Mutex
	// running holds the jobs that run on each minion, by its address.
	running map[string][]upstream.RunningJob
	events  []model.FleetEvent
	// downMinions holds the addresses of the minions that do not answer.
	downMinions map[string]bool
	// reboots holds the end of each reboot by its id, and rebootCalls counts the calls. The
	// name of a VM is also its address.
	reboots     map[string]time.Time
	rebootCalls int
	records     []model.Record
	// workers runs tasks; may be nil.
	workers Workers
	// dropMessages reports whether messages between two entry VMs are lost; may be nil.
	dropMessages func(from, to model.EntryVM) bool
	// replyDelay returns the delay of the reply to a message; may be nil.
	replyDelay func(from, to model.EntryVM, method string) time.Duration
}

type node struct {
	cluster *cluster
	name    model.EntryVM
	control *Control

	mu      sync.Mutex
	dead    bool
	resumed chan struct{} // not nil while paused

	cutFromStore atomicBool
}

type atomicBool struct {
	mu sync.Mutex
	v  bool
}

func (b *atomicBool) Load() bool   { b.mu.Lock(); defer b.mu.Unlock(); return b.v }
func (b *atomicBool) Store(v bool) { b.mu.Lock(); defer b.mu.Unlock(); b.v = v }

// newCluster returns a cluster with the entry VMs "<dc>-<n>". None of them is started.
func newCluster(t *testing.T, counts map[model.DataCentre]int) *cluster {
	cl := &cluster{t: t, store: newFakeStore(), nodes: map[model.EntryVM]*node{},
		sites: map[string]*config.Site{}, running: map[string][]upstream.RunningJob{},
		downMinions: map[string]bool{}, reboots: map[string]time.Time{}}
	for dc, n := range counts {
		for i := range n {
			name := model.EntryVM(string(dc) + "-" + string(rune('1'+i)))
			cl.peers = append(cl.peers, settings.Peer{Name: name, DC: dc, Addr: string(name)})
		}
	}
	sort.Slice(cl.peers, func(i, j int) bool { return cl.peers[i].Name < cl.peers[j].Name })
	for _, p := range cl.peers {
		cl.nodes[p.Name] = &node{cluster: cl, name: p.Name, dead: true}
	}
	return cl
}

// start starts a new process on each of the entry VMs.
func (cl *cluster) start(names ...model.EntryVM) {
	for _, name := range names {
		n := cl.nodes[name]
		var self settings.Peer
		for _, p := range cl.peers {
			if p.Name == name {
				self = p
			}
		}
		inc := model.NewIncarnation()
		dial := func(p settings.Peer) PeerClient { return &link{n, cl.nodes[p.Name]} }
		if cl.dial != nil {
			dial = func(p settings.Peer) PeerClient {
				return cl.dial(peer.Sender{Entry: name, DC: self.DC, Incarnation: inc}, p)
			}
		}
		n.control = New(Deps{
			Settings:    &settings.Settings{Name: name, DC: self.DC, Peers: cl.peers},
			Incarnation: inc,
			Table:       nodeStore{cl.store, n},
			Objects:     nodeObjects{nodeStore{cl.store, n}},
			Minions:     cl,
			VMPools:     nodeVMPools{nodeStore{cl.store, n}},
			Workers:     cl.workers,
			Recorder:    cl,
			Dial:        dial,
			Parse:       cl.parse,
			Digest:      func(f []config.File) string { return "digest-" + f[0].Text },
			Log:         zerolog.New(zerolog.NewTestWriter(cl.t)).With().Str("entry", string(name)).Logger(),
			Rand:        rand.New(rand.NewPCG(1, uint64(len(name))+uint64(name[len(name)-1]))),
		})
		n.setDead(false)
		n.control.Start()
	}
}

func (cl *cluster) startAll() {
	for _, p := range cl.peers {
		cl.start(p.Name)
	}
}

// stopAll ends all processes.
func (cl *cluster) stopAll() {
	for _, n := range cl.nodes {
		n.resume()
		if n.control != nil {
			n.control.Stop()
		}
	}
}

// kill ends a process immediately. Connections to it are refused from then on.
func (n *node) kill() {
	n.setDead(true)
	n.control.Stop()
}

func (n *node) setDead(d bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = d
}

// pause blocks the control goroutine and all messages of the node until resume.
func (n *node) pause() {
	n.mu.Lock()
	n.resumed = make(chan struct{})
	n.mu.Unlock()
	n.control.post(n.waitResumed)
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

func (n *node) waitResumed() {
	n.mu.Lock()
	ch := n.resumed
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed != nil
}

// Status implements MinionStatus.
func (cl *cluster) Status(_ context.Context, addr string) (upstream.Status, error) {
	time.Sleep(time.Millisecond)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.downMinions[addr] {
		return upstream.Status{}, upstream.ErrNotReached
	}
	return upstream.Status{Slots: 8, Busy: len(cl.running[addr]), Jobs: append([]upstream.RunningJob(nil), cl.running[addr]...)}, nil
}

func (cl *cluster) Begin() func() { return func() {} }

func (cl *cluster) Record(r model.Record) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.records = append(cl.records, r)
}

func (cl *cluster) Event(e model.FleetEvent) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.events = append(cl.events, e)
}

func (cl *cluster) parse(files []config.File) (*config.Site, error) {
	if s := cl.sites[files[0].Text]; s != nil {
		return s, nil
	}
	return nil, errors.Errorf("unknown site %q", files[0].Text)
}

// addSite defines a configuration with one service, two VMs per data centre, and a key and
// a limit per team.
func (cl *cluster) addSite(text string, slots int, limits map[model.Team]int) {
	s := &config.Site{Name: text, Isolation: config.Isolation{Keys: config.KeysRefuse, After: 5 * time.Second},
		Services: []config.Service{{Name: "quotes", MaxRun: 10 * time.Second}},
		Pools:    []config.Pool{{Name: "quotes", Service: "quotes"}},
		Queues: []config.Queue{{Name: "quotes", Kind: config.QueueRequests, Service: "quotes", MaxWaiting: 1000,
			MaxBody: 1000, Deadline: time.Minute, MaxDeadline: time.Minute, MaxAttempts: 3}},
	}
	dcs := map[model.DataCentre][]model.EntryVM{}
	for _, p := range cl.peers {
		dcs[p.DC] = append(dcs[p.DC], p.Name)
	}
	for dc, e := range dcs {
		s.DataCentres = append(s.DataCentres, config.DataCentre{Name: dc, EntryVMs: e})
		for _, n := range []string{"1", "2"} {
			vm := string(dc) + "-vm-" + n
			s.VMs = append(s.VMs, config.VM{Name: model.VM(vm), Pool: "quotes", DC: dc, Rack: "r",
				Addr: vm, Slots: slots, Connections: 64})
		}
	}
	for team, limit := range limits {
		s.Teams = append(s.Teams, config.Team{Name: team, Share: 1, Limit: limit})
		s.Keys = append(s.Keys, config.Key{ID: "key-" + string(team), Team: team})
	}
	cl.sites[text] = s
}

// apply applies a configuration through a node.
func (cl *cluster) apply(entry model.EntryVM, text string, base uint64) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(cl.t.Context(), 10*time.Second)
	defer cancel()
	return cl.nodes[entry].control.Apply(ctx, ApplyRequest{ApplyID: "apply-" + text + "-" + string(entry), Operator: "op-" + string(entry),
		BaseVersion: base, Files: []config.File{{Name: "site.toml", Text: text}}})
}

// acquire requests a permit through a node, with a deadline after wait.
func (cl *cluster) acquire(entry model.EntryVM, team model.Team, wait time.Duration) (*model.Permit, model.Reason) {
	now := time.Now()
	r, err := cl.nodes[entry].control.Acquire(cl.t.Context(), Attempt{Number: 1, Request: model.Request{
		Job: model.NewJobID(now, entry), Queue: "quotes", Team: team, KeyID: "key-" + string(team),
		Priority: model.PriorityNormal, Deadline: now.Add(wait), Accepted: now}})
	require.NoError(cl.t, err)
	return r.Permit, r.Refused
}

// startJob marks the job of a permit as running on its minion.
func (cl *cluster) startJob(p *model.Permit) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.running[p.Addr] = append(cl.running[p.Addr], upstream.RunningJob{ID: p.Job, Attempt: p.Attempt})
}

// advance advances the simulated time by d.
func (cl *cluster) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// eventually waits for up to d until ok returns true.
func (cl *cluster) eventually(d time.Duration, ok func() bool, msg string) {
	cl.t.Helper()
	end := time.Now().Add(d)
	for !ok() {
		if time.Now().After(end) {
			require.FailNow(cl.t, msg)
		}
		cl.advance(10 * time.Millisecond)
	}
}

// coordinators returns the running nodes that grant permits in a data centre.
func (cl *cluster) coordinators(dc model.DataCentre) []model.EntryVM {
	var out []model.EntryVM
	for _, p := range cl.peers {
		n := cl.nodes[p.Name]
		if p.DC == dc && !n.isDead() && !n.isPaused() {
			if _, err := n.control.CoordinatorStatus(cl.t.Context()); err == nil {
				out = append(out, p.Name)
			}
		}
	}
	return out
}

// awaitCoordinator waits until a data centre has a coordinator, and fails if there are two.
func (cl *cluster) awaitCoordinator(dc model.DataCentre, within time.Duration) model.EntryVM {
	cl.t.Helper()
	var got []model.EntryVM
	cl.eventually(within, func() bool {
		got = cl.coordinators(dc)
		require.LessOrEqual(cl.t, len(got), 1, "two coordinators grant permits")
		return len(got) == 1
	}, "no coordinator of "+string(dc))
	return got[0]
}

// awaitConfig waits until a configuration version is in force at the named nodes.
func (cl *cluster) awaitConfig(v uint64, within time.Duration, names ...model.EntryVM) {
	cl.t.Helper()
	cl.eventually(within, func() bool {
		for _, n := range names {
			if d := cl.nodes[n].control.Snapshot().Document; d == nil || d.Version < v {
				return false
			}
		}
		return true
	}, "configuration not in force")
}

// link is the connection from one node to another.
type link struct{ from, to *node }

func send[Q, R any](ctx context.Context, l *link, method string, m *Q, f func(peer.ControlHandler, context.Context, *Q) (*R, error)) (*R, error) {
	l.from.waitResumed()
	var delay time.Duration
	l.from.cluster.mu.Lock()
	cut := l.from.cluster.dropMessages != nil && l.from.cluster.dropMessages(l.from.name, l.to.name)
	if l.from.cluster.replyDelay != nil {
		delay = l.from.cluster.replyDelay(l.from.name, l.to.name, method)
	}
	l.from.cluster.mu.Unlock()
	time.Sleep(time.Millisecond)
	if l.to.isDead() {
		return nil, peer.ErrRefused
	}
	if cut || l.to.isPaused() {
		// A silent connection is detected within 1.5 s in reality.
		tctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		<-tctx.Done()
		return nil, peer.ErrNoAnswer
	}
	r, err := f(l.to.control.Handler(), ctx, jsonCopy(m))
	time.Sleep(delay)
	l.to.waitResumed()
	l.from.waitResumed()
	if l.to.isDead() || ctx.Err() != nil {
		return nil, peer.ErrNoAnswer
	}
	if err != nil {
		return nil, err
	}
	return jsonCopy(r), nil
}

// jsonCopy copies a message by encoding and decoding it, as the peer protocol does.
func jsonCopy[T any](m *T) *T {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	out := new(T)
	if err := json.Unmarshal(b, out); err != nil {
		panic(err)
	}
	return out
}

func (l *link) Close() {}
func (l *link) TaskOffer(ctx context.Context, m *peer.TaskOffer) (*peer.Empty, error) {
	return send(ctx, l, peer.MethodTaskOffer, m, peer.ControlHandler.TaskOffer)
}
func (l *link) TaskCancel(ctx context.Context, m *peer.TaskCancel) (*peer.JobGetReply, error) {
	return send(ctx, l, peer.MethodTaskCancel, m, peer.ControlHandler.TaskCancel)
}
func (l *link) Probe(ctx context.Context, m *peer.Heartbeat) (*peer.HeartbeatReply, error) {
	return l.Heartbeat(ctx, m)
}
func (l *link) Heartbeat(ctx context.Context, m *peer.Heartbeat) (*peer.HeartbeatReply, error) {
	return send(ctx, l, peer.MethodHeartbeat, m, peer.ControlHandler.Heartbeat)
}
func (l *link) Register(ctx context.Context, m *peer.Register) (*peer.RegisterReply, error) {
	return send(ctx, l, peer.MethodRegister, m, peer.ControlHandler.Register)
}
func (l *link) Acquire(ctx context.Context, m *peer.Acquire) (*peer.AcquireReply, error) {
	return send(ctx, l, peer.MethodAcquire, m, peer.ControlHandler.Acquire)
}
func (l *link) CancelAcquire(ctx context.Context, m *peer.CancelAcquire) (*peer.Empty, error) {
	return send(ctx, l, peer.MethodCancelAcquire, m, peer.ControlHandler.CancelAcquire)
}
func (l *link) Release(ctx context.Context, m *peer.Release) (*peer.Empty, error) {
	return send(ctx, l, peer.MethodRelease, m, peer.ControlHandler.Release)
}
func (l *link) ConfigOffer(ctx context.Context, m *peer.ConfigOffer) (*peer.Empty, error) {
	return send(ctx, l, peer.MethodConfigOffer, m, peer.ControlHandler.ConfigOffer)
}
func (l *link) ConfigGet(ctx context.Context, m *peer.ConfigGet) (*peer.ConfigGetReply, error) {
	return send(ctx, l, peer.MethodConfigGet, m, peer.ControlHandler.ConfigGet)
}
func (l *link) Usage(ctx context.Context, m *peer.Usage) (*peer.Empty, error) {
	return send(ctx, l, peer.MethodUsage, m, peer.ControlHandler.Usage)
}
func (l *link) AllotmentAsk(ctx context.Context, m *peer.AllotmentAsk) (*peer.AllotmentAskReply, error) {
	return send(ctx, l, peer.MethodAllotmentAsk, m, peer.ControlHandler.AllotmentAsk)
}

func (cl *cluster) setDropMessages(cut func(from, to model.EntryVM) bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.dropMessages = cut
}

// startServing starts all nodes, puts a configuration in force and returns the coordinator
// of data centre "a".
func (cl *cluster) startServing(slots, limit int) model.EntryVM {
	cl.t.Helper()
	cl.addSite("v1", slots, map[model.Team]int{"t": limit})
	cl.startAll()
	var names []model.EntryVM
	for _, p := range cl.peers {
		names = append(names, p.Name)
	}
	entry := cl.awaitCoordinator("a", 3*time.Second)
	_, err := cl.apply(entry, "v1", 0)
	require.NoError(cl.t, err)
	cl.awaitConfig(1, 3*time.Second, names...)
	cl.advance(time.Second)
	return entry
}

// otherNodes returns the nodes of data centre "a" except the named ones.
func (cl *cluster) otherNodes(not ...model.EntryVM) []model.EntryVM {
	var out []model.EntryVM
next:
	for _, p := range cl.peers {
		for _, n := range not {
			if p.Name == n || p.DC != "a" {
				continue next
			}
		}
		out = append(out, p.Name)
	}
	return out
}

// finishJob ends the job of a permit on its minion.
func (cl *cluster) finishJob(p *model.Permit) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	jobs := cl.running[p.Addr]
	for i, j := range jobs {
		if j.ID == p.Job && j.Attempt == p.Attempt {
			cl.running[p.Addr] = append(jobs[:i:i], jobs[i+1:]...)
			return
		}
	}
}

// runningJobs counts the jobs on all minions.
func (cl *cluster) runningJobs() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for _, jobs := range cl.running {
		n += len(jobs)
	}
	return n
}

// rebootDuration is how long a VM is down during a reboot.
const rebootDuration = 2 * time.Second

// nodeVMPools is the connection of one entry VM to the platform's reboot calls.
type nodeVMPools struct{ nodeStore }

func (p nodeVMPools) Reboot(ctx context.Context, vm, id string) error {
	if err := p.roundTrip(ctx); err != nil {
		return err
	}
	cl := p.node.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.rebootCalls++
	if _, ok := cl.reboots[id]; ok {
		return nil
	}
	cl.reboots[id] = time.Now().Add(rebootDuration)
	cl.downMinions[vm], cl.running[vm] = true, nil
	time.AfterFunc(rebootDuration, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.downMinions[vm] = false
	})
	if cl.rebootCalls%2 == 1 {
		return platform.ErrUnknownOutcome // every second call takes effect but its answer is lost
	}
	return nil
}

func (p nodeVMPools) RebootStatus(ctx context.Context, _, id string) (platform.RebootState, error) {
	if err := p.roundTrip(ctx); err != nil {
		return "", err
	}
	cl := p.node.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch end, ok := cl.reboots[id]; {
	case !ok:
		return platform.RebootUnknown, nil
	case time.Now().Before(end):
		return platform.RebootRunning, nil
	}
	return platform.RebootDone, nil
}
