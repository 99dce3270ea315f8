package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/account"
	"boragepulley/internal/config"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/settings"
	"boragepulley/internal/upstream"
)

// Errors of this package. Callers match them with errors.Is.
var (
	// ErrStopped means that the control loop has ended.
	ErrStopped = errors.New("control: stopped")
	// ErrNoConfig means that no configuration is known yet.
	ErrNoConfig = errors.New("control: no configuration")
)

// PeerClient is the connection to one other entry VM. peer.Client implements it.
type PeerClient interface {
	peer.ControlHandler
	// Probe sends a heartbeat over a new connection.
	Probe(ctx context.Context, m *peer.Heartbeat) (*peer.HeartbeatReply, error)
	Close()
}

// MinionStatus asks a minion for its running jobs. upstream.Minions implements it.
type MinionStatus interface {
	Status(ctx context.Context, addr string) (upstream.Status, error)
}

// Deps are the parts that the control loop works with.
type Deps struct {
	Settings    *settings.Settings
	Incarnation model.Incarnation
	Table       platform.Table
	Objects     platform.Objects
	Minions     MinionStatus
	// VMPools reboots VMs.
	VMPools platform.VMPools
	// Workers runs tasks; nil means that none are run.
	Workers  Workers
	Recorder account.Recorder
	// Dial returns the connection to a peer; it does not block.
	Dial func(settings.Peer) PeerClient
	// Parse checks a set of files and returns its content.
	Parse func([]config.File) (*config.Site, error)
	// Digest returns the digest of a set of files.
	Digest func([]config.File) string
	Log    zerolog.Logger
	// Rand is used by the control goroutine only.
	Rand *rand.Rand
}

// Control is the control side of one daemon. Its methods are safe for concurrent use.
type Control struct {
	deps Deps
	log  zerolog.Logger
	self peer.Sender

	snap   atomic.Pointer[Snapshot]
	gate   permitGate
	events chan func()
	// remotes is read-only after New.
	peerClients map[model.EntryVM]PeerClient
	releases    releaseQueue

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// The fields below are owned by the control goroutine.
	started      time.Time
	members      []*member // by name, without this entry VM
	byName       map[model.EntryVM]*member
	timers       []*timer
	dirty        bool
	shuttingDown bool
	following    following
	lease        leaseState
	takeover     *takeover
	coord        *coordinator
	cfg          configState
	vms          map[model.VM]model.VMState
	// vmStatesKnown is set once a coordinator reported vms; poolOverrides are the pools that it
	// reported as different from the configuration's.
	vmStatesKnown bool
	poolOverrides map[model.VM]model.Pool
	fleet         fleetState
	remoteDCs     map[model.DataCentre]*remoteDCState
	allot         allotmentState
	usageSeq      uint64
	// taskCounts are the running tasks by team as the coordinator last reported them.
	taskCounts map[model.Team]int
	// taskTxnSeq numbers the transactions on task rows of this process.
	taskTxnSeq uint64
}

var _ API = (*Control)(nil)

// handler answers the messages of peers. It is a type of its own because API has
// methods of the same names.
type handler struct{ c *Control }

// Handler returns the handler of the control messages of peers.
func (c *Control) Handler() peer.ControlHandler { return handler{c} }

// New returns a control side that does nothing until Start.
func New(deps Deps) *Control {
	ctx, stop := context.WithCancel(context.Background())
	c := &Control{
		deps:        deps,
		log:         logging.Part(deps.Log, "control"),
		self:        peer.Sender{Entry: deps.Settings.Name, DC: deps.Settings.DC, Incarnation: deps.Incarnation},
		events:      make(chan func(), 1024),
		peerClients: map[model.EntryVM]PeerClient{},
		ctx:         ctx,
		stop:        stop,
		byName:      map[model.EntryVM]*member{},
		vms:         map[model.VM]model.VMState{},
		remoteDCs:   map[model.DataCentre]*remoteDCState{},
	}
	c.gate.init()
	c.releases.init()
	c.addMembers()
	c.allot.init()
	c.fleet.init()
	c.snap.Store(&Snapshot{Peers: c.peerStates()})
	return c
}

// timer runs a function on the control goroutine at intervals.
type timer struct {
	due      time.Time
	interval time.Duration
	run      func(now time.Time)
}

// addTimer adds a timer with an interval that varies by a tenth, so that daemons that
// started together do not act together.
func (c *Control) addTimer(d time.Duration, run func(now time.Time)) *timer {
	t := &timer{due: c.started.Add(time.Duration(c.deps.Rand.Int64N(int64(d)))), interval: d, run: run}
	c.timers = append(c.timers, t)
	return t
}

func (c *Control) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(c.deps.Rand.Int64N(int64(d)/5+1))
}

// Start begins membership, lease and configuration work.
func (c *Control) Start() {
	c.started = time.Now()
	c.addTimer(checkInterval, c.runChecks)
	c.addTimer(heartbeatInterval, c.sendHeartbeats).due = c.started
	c.addTimer(remoteHeartbeatInterval, c.sendRemoteHeartbeats)
	c.addTimer(leaseRenewInterval, c.renewLease)
	c.addTimer(leaseReadIntervalFast, c.readLease).due = c.started
	c.addTimer(configPollInterval, c.pollHead).due = c.started
	c.addTimer(usageInterval, c.sendUsage)
	c.addTimer(allotmentReadInterval, c.readAllotments)
	c.addTimer(healthCheckInterval, c.pollHealth)
	c.addTimer(planInterval, c.runFleetPlan)
	c.fetchConfigFromPeers()
	c.wg.Add(1)
	go c.runLoop()
	for range releaseWorkers {
		c.wg.Add(1)
		go c.releaseLoop()
	}
}

// runLoop owns all control state. Events never block; I/O runs in goroutines of async.
func (c *Control) runLoop() {
	defer c.wg.Done()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.failWaiters()
			return
		case ev := <-c.events:
			ev()
		case <-wake.C:
		}
		c.finishEvent()
		now := time.Now()
		next := now.Add(time.Second)
		for _, t := range c.timers {
			if !now.Before(t.due) {
				t.due = now.Add(c.jitter(t.interval))
				t.run(now)
			}
			if t.due.Before(next) {
				next = t.due
			}
		}
		c.finishEvent()
		wake.Reset(time.Until(next))
	}
}

// finishEvent applies what every event may have caused.
func (c *Control) finishEvent() {
	c.checkAuthority(time.Now())
	if c.dirty {
		c.publishSnapshot()
	}
}

// post hands an event to the control goroutine. It must not be called on it.
func (c *Control) post(ev func()) bool {
	select {
	case c.events <- ev:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// callOnLoop runs f on the control goroutine and returns its result.
func callOnLoop[R any](ctx context.Context, c *Control, f func() (R, error)) (R, error) {
	type result struct {
		r   R
		err error
	}
	ch := make(chan result, 1)
	var zero R
	select {
	case c.events <- func() {
		r, err := f()
		ch <- result{r, err}
	}:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.ctx.Done():
		return zero, ErrStopped
	}
	select {
	case x := <-ch:
		return x.r, x.err
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.ctx.Done():
		return zero, ErrStopped
	}
}

// runAsync runs io in a goroutine and hands the function that it returns to the control
// goroutine.
func (c *Control) runAsync(timeout time.Duration, io func(ctx context.Context) func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		if ev := io(ctx); ev != nil {
			c.post(ev)
		}
	}()
}

// runChecks runs the time-dependent checks of all parts.
func (c *Control) runChecks(now time.Time) {
	c.checkMembers(now)
	c.checkTakeover(now)
	c.checkLocalSuccession(now)
	c.checkConfig(now)
	c.checkWaiters(now)
	c.updateAllotments()
	c.requestAllotments(now)
	c.pollMinions(now)
	c.checkTasks(now)
}

// Snapshot implements API.
func (c *Control) Snapshot() *Snapshot { return c.snap.Load() }

// publishSnapshot replaces the snapshot.
func (c *Control) publishSnapshot() {
	c.dirty = false
	s := &Snapshot{
		Site:        c.cfg.index,
		Document:    c.cfg.doc,
		Coordinator: c.following.coordinator,
		Token:       c.following.token,
		Leaving:     c.shuttingDown,
		EvidenceAt:  c.cfg.evidenceAt,
		Peers:       c.peerStates(),
	}
	now := time.Now()
	s.Current = c.isCurrent(now)
	if c.cfg.index != nil {
		setGauge("evidence_age_ms", c.evidenceAge(now).Milliseconds())
	}
	setGauge("releases_pending", int64(c.releases.size()))
	// A change of coordinator does not make an entry VM unready: requests wait for the
	// next one, and all entry VMs of the data centre would be unready together.
	// A starting daemon waits for its first evidence, because until then it refuses keyed
	// work; if there is none to be had, it serves what the isolation policy allows.
	c.cfg.everCurrent = c.cfg.everCurrent || s.Current
	waited := s.Site != nil && time.Since(c.cfg.inForceSince) > s.Site.Isolation.After
	s.Ready = s.Site != nil && !s.Leaving && s.Token != (model.Token{}) && (c.cfg.everCurrent || waited)
	c.snap.Store(s)
}

func (c *Control) recordEvent(kind, object, from, to, reason string) {
	c.deps.Recorder.Event(model.FleetEvent{Time: time.Now(), Entry: c.self.Entry, DC: c.self.DC,
		Kind: kind, Object: object, From: from, To: to, Reason: reason})
}
