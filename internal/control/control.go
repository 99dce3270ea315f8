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
	"boragepulley/internal/guard"
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
	// ErrUnexpected means that the operation panicked; it may have had a part of its effect.
	ErrUnexpected = errors.New("control: unexpected error")
)

// PeerClient sends messages to one other entry VM. peer.Client implements it.
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

// Deps holds the dependencies of the control loop.
type Deps struct {
	Settings    *settings.Settings
	Incarnation model.Incarnation
	Table       platform.Table
	Objects     platform.Objects
	Minions     MinionStatus
	// VMPools reboots VMs.
	VMPools platform.VMPools
	// Workers runs tasks; if it is nil, no tasks are run.
	Workers  Workers
	Recorder account.Recorder
	// Dial returns the client of a peer without blocking.
	Dial func(settings.Peer) PeerClient
	// Parse validates a set of configuration files and returns their content.
	Parse func([]config.File) (*config.Site, error)
	// Digest returns the digest of a set of configuration files.
	Digest func([]config.File) string
	Log    zerolog.Logger
	// Rand is used only by the control goroutine.
	Rand *rand.Rand
}

// Control runs the control loop of one daemon. Its exported methods are safe for
// concurrent use.
type Control struct {
	deps Deps
	log  zerolog.Logger
	self peer.Sender

	snap atomic.Pointer[Snapshot]
	// restarts counts the times that the control state was discarded; see restart.
	restarts atomic.Uint64
	gate     permitGate
	// workers replaces deps.Workers, which is nil after New.
	workers workerOrders
	events  chan func()
	// peerClients is read-only after New.
	peerClients map[model.EntryVM]PeerClient
	releases    releaseQueue

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// The fields below are accessed only by the control goroutine.
	started       time.Time
	members       []*member // by name, without this entry VM
	byName        map[model.EntryVM]*member
	timers        []*timer
	snapshotStale bool
	shuttingDown  bool
	shutdownCalls map[chan struct{}]struct{} // calls of BeginShutdown that have not returned
	following     following
	lease         leaseState
	takeover      *takeover
	coord         *coordinator
	cfg           configState
	vms           map[model.VM]model.VMState
	// vmStatesKnown is set once a coordinator has reported vms. poolOverrides are the VMs
	// that it reported in another pool than the configuration assigns them to.
	vmStatesKnown bool
	poolOverrides map[model.VM]model.Pool
	fleet         fleetState
	remoteDCs     map[model.DataCentre]*remoteDCState
	allot         allotmentState
	usageSeq      uint64
	// taskCounts holds the number of running tasks by team, as last reported by the
	// coordinator.
	taskCounts map[model.Team]int
	// taskTxnSeq is the number of the last transaction on task rows by this process.
	taskTxnSeq uint64
}

var _ API = (*Control)(nil)

// handler handles the messages of peers. It is a separate type because API has methods
// of the same names.
type handler struct{ c *Control }

// Handler returns the handler of the peers' control messages.
func (c *Control) Handler() peer.ControlHandler { return handler{c} }

// New returns a control loop that is not running yet; see Start.
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

		shutdownCalls: map[chan struct{}]struct{}{},
	}
	c.gate.init()
	c.workers = workerOrders{deps.Workers, &c.gate}
	c.deps.Workers = nil
	c.releases.init()
	c.addMembers()
	c.allot.init()
	c.fleet.init()
	c.snap.Store(&Snapshot{Peers: c.peerStates()})
	return c
}

// timer runs a function on the control goroutine at a regular interval.
type timer struct {
	due      time.Time
	interval time.Duration
	run      func(now time.Time)
}

// addTimer adds a timer. Each interval is randomised by up to 10%, so that daemons that
// started at the same time do not stay in step.
func (c *Control) addTimer(d time.Duration, run func(now time.Time)) *timer {
	t := &timer{due: c.started.Add(time.Duration(c.deps.Rand.Int64N(int64(d)))), interval: d, run: run}
	c.timers = append(c.timers, t)
	return t
}

func (c *Control) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(c.deps.Rand.Int64N(int64(d)/5+1))
}

// Start starts the control loop and the goroutines that send releases.
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

// runLoop runs events and timers until the context ends. Events must not block; I/O runs
// in the goroutines started by runAsync.
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
			c.guarded("event", ev)
		case <-wake.C:
		}
		c.guarded("end of event", c.finishEvent)
		now := time.Now()
		next := now.Add(time.Second)
		for _, t := range c.timers {
			if !now.Before(t.due) {
				t.due = now.Add(c.jitter(t.interval))
				c.guarded("timer", func() { t.run(now) })
			}
			if t.due.Before(next) {
				next = t.due
			}
		}
		c.guarded("end of timers", c.finishEvent)
		wake.Reset(time.Until(next))
	}
}

// finishEvent does what may be necessary after any event: it steps down if the authority
// has ended, and publishes a changed snapshot.
func (c *Control) finishEvent() {
	c.checkAuthority(time.Now())
	if c.snapshotStale {
		c.publishSnapshot()
	}
}

// post queues an event for the control goroutine and reports whether the loop still runs.
// It must not be called on the control goroutine, because it can block.
func (c *Control) post(ev func()) bool {
	select {
	case c.events <- ev:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// callOnLoop runs f on the control goroutine and waits for its result. It must not be
// called on the control goroutine.
func callOnLoop[R any](ctx context.Context, c *Control, f func() (R, error)) (R, error) {
	type result struct {
		r   R
		err error
	}
	ch := make(chan result, 1)
	var zero R
	select {
	case c.events <- func() {
		x := result{err: ErrUnexpected}
		defer func() { ch <- x }()
		r, err := f()
		x = result{r, err}
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

// runAsync runs io in a new goroutine with a timeout. If io returns a function, that
// function is then run on the control goroutine, unless the control state that it is about
// has been discarded.
func (c *Control) runAsync(timeout time.Duration, io func(ctx context.Context) func()) {
	restarts := c.restarts.Load()
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		var ev func()
		if err := guard.Recover(c.log, "call", func() { ev = io(ctx) }); err != nil {
			c.post(func() { c.restart(restarts, err) })
		} else if ev != nil {
			c.post(func() {
				if c.restarts.Load() == restarts {
					ev()
				}
			})
		}
	}()
}

// runChecks runs all checks that depend only on the passing of time.
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

// publishSnapshot publishes a snapshot of the present state.
func (c *Control) publishSnapshot() {
	c.snapshotStale = false
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
	// next coordinator, and otherwise all entry VMs of the data centre would become
	// unready at once.
	// A starting daemon is not ready before the first evidence that its configuration is
	// current, because until then it refuses requests with a key. If none arrives within
	// the isolation time, it becomes ready and serves what the isolation policy allows.
	c.cfg.everCurrent = c.cfg.everCurrent || s.Current
	isolationPassed := s.Site != nil && time.Since(c.cfg.inForceSince) > s.Site.Isolation.After
	s.Ready = s.Site != nil && !s.Leaving && s.Token != (model.Token{}) && (c.cfg.everCurrent || isolationPassed)
	c.snap.Store(s)
}

func (c *Control) recordEvent(kind, object, from, to, reason string) {
	c.deps.Recorder.Event(model.FleetEvent{Time: time.Now(), Entry: c.self.Entry, DC: c.self.DC,
		Kind: kind, Object: object, From: from, To: to, Reason: reason})
}
