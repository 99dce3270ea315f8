package coordinator

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/fencing"
	"boragepulley/internal/guard"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/logging"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/runspan"
	"boragepulley/internal/schedule"
	"boragepulley/internal/site"
)

// ErrNotCoordinating means that this entry VM does not coordinate the site, or has not loaded its
// state yet.
var ErrNotCoordinating = errors.New("coordinator: not coordinating")

// Codec decodes and encodes the platform's documents.
type Codec struct {
	Minion     func(id string, value []byte) (site.MinionEntry, error)
	Wave       func(value []byte) (site.Wave, error)
	WaveStatus func(site.WaveState) ([]byte, error)
}

// Limits are the platform's limits.
type Limits struct {
	// MaxMinionLease is the longest lease that a minion grants to its runs.
	MaxMinionLease time.Duration
	// MachineOrderGap is the least time between the machine orders of two successive coordinators.
	MachineOrderGap time.Duration
	// Retention is how long a job's state can be queried after its end.
	Retention time.Duration
	// JobMemory is how many bytes of memory accepted jobs may take that have not ended; while they take more,
	// no further job is accepted. 0 means no limit.
	JobMemory int64
	// RowBytes is the largest value of a row that the store takes; 0 selects jobs.DefaultRowBytes.
	RowBytes int
}

// MaxRowBytes returns RowBytes or its default.
func (l Limits) MaxRowBytes() int { return cmp.Or(l.RowBytes, jobs.DefaultRowBytes) }

// Deps are the dependencies of a term.
type Deps struct {
	Self peer.Sender
	Addr string
	// Cores is the CPU limit of this entry VM, in cores.
	Cores  float64
	Table  platform.Table
	Feed   platform.Feed
	Fleet  fencing.Fleet
	Codec  Codec
	Limits Limits
	// Config returns the active configuration, or nil.
	Config func() *site.Config
	// Waves returns the operators' maintenance waves.
	Waves func() map[int64]site.Wave
	// Evacuations returns the operators' evacuations, nil while they are unknown: no start is sent
	// then. LearnEvacuations passes on a state that was read from the store or received from another
	// entry VM. If Evacuations is nil, no data centre is ever evacuated.
	Evacuations      func() *evacuation.State
	LearnEvacuations func(s *evacuation.State, source string)
	// SetMembers is called with the peer addresses and sizes of all entry VMs.
	SetMembers func(map[model.EntryVM]peer.Member)
	// Dial returns the connection to a peer. It does not block.
	Dial func(name model.EntryVM, addr string) PeerClient
	// PredecessorStopped is set if the previous lease holder can give no more orders: it released
	// the lease, its process has ended, or it depended on the promise of this entry VM not to
	// acquire the lease, which has expired.
	PredecessorStopped bool
	// LastHandover is when a coordinator last handed over because of its path to the store, as known to this
	// process, in nanoseconds on the clock of Now; 0 if never. Nil means that the term keeps it itself.
	LastHandover *atomic.Int64
	// Now reads a monotonic clock that includes the time during which the machine was suspended.
	Now  func() time.Duration
	Log  zerolog.Logger
	Rand *rand.Rand

	// runSpans replaces runspan.Size in tests; 0 means that.
	runSpans runspan.Spans
}

// PeerClient is the connection to one other entry VM.
type PeerClient interface {
	CoordinatorHeartbeat(ctx context.Context, m *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error)
}

// Term is one period during which this entry VM holds the site's lease. Its exported methods are
// safe for concurrent use; they return ErrNotCoordinating when the term is over.
type Term struct {
	deps   Deps
	log    zerolog.Logger
	held   *lease.Held
	epoch  uint64
	events chan func()
	ctx    context.Context
	stop   context.CancelCauseFunc
	wg     sync.WaitGroup
	view   atomic.Pointer[View]
	// orders sends orders to minions and machines until the lease and all promises have ended.
	orders *fencing.Sender

	// inheritedLog bounds the lines about inherited jobs: a site may have thousands.
	inheritedLog *logging.Limiter

	// The fields below are owned by the term's goroutine.
	now time.Duration
	// startedAt is when the lease was acquired.
	startedAt time.Duration
	// leaseUntil is when the lease expires, as confirmed by the store. leaseVersion is the version
	// of its row.
	leaseUntil   time.Duration
	leaseVersion uint64
	loaded       bool
	registry     *jobs.Registry
	minions      map[jobs.Minion]*holding.Minion
	// droppedMinions tells when minions were dropped, see droppedLately.
	droppedMinions map[jobs.Minion]time.Duration
	// queues are the queues as last configured, queuesFrom is the configuration that they were last
	// read from.
	queues        map[model.Queue]site.Queue
	queuesFrom    *site.Config
	pendingStarts map[*jobs.Task]*pendingStart
	pendingStops  map[*jobs.Task]*pendingStop
	needsPlan     bool
	// startsBounded is set if the last plan was kept from starting more tasks by those in progress.
	startsBounded bool
	// ordersChanged is set if a pending order may be due, nextOrderCheck is when all are looked at in
	// any case.
	ordersChanged  bool
	nextOrderCheck time.Duration
	// lastView is when the published counts were last updated.
	lastView time.Duration
	// nextPlan is the earliest time of the next scheduling run, nextRegularPlan when one is due without
	// an event that asks for it.
	nextPlan, nextRegularPlan time.Duration
	// nextMinionCheck, nextWaves and nextWaitReport are the earliest times of the next check of all
	// minions, processing of maintenance waves and report of waits.
	nextMinionCheck, nextWaves, nextWaitReport time.Duration

	// load counts the work of the term for its log line.
	load      loadCounts
	writer    storeWriter
	compactor rowCompactor
	members   members
	path      storePath
	ownRuns   ownRuns
	feeds     feeds
	waves     waves
	machines  machines
	// lastLoop is when the term's loop last ran, rereading is set while the operators' table is read again
	// after the process was suspended.
	lastLoop  time.Duration
	rereading atomic.Bool
	// evacuations is the state that the term has last acted on.
	evacuations *evacuation.State
	// interference is what is known of tasks that slow each other down.
	interference interferenceState
	releasing    bool
	// releaseSlot has room for the one call that releases the lease or hands it over.
	releaseSlot chan struct{}
	// pollGap is the pause between two polls of a minion, see pollGapFor.
	pollGap time.Duration
	// runLease is the duration of the leases that minions are granted for their runs.
	runLease time.Duration
	// planSteps is the memory of the last plan's steps, for the next one.
	planSteps []schedule.Step
	// asideJobs are the jobs that were set aside, see isolated.
	asideJobs map[jobs.ID]bool
	// incompleteGangs are the gangs that the scheduling run in progress has to stop.
	incompleteGangs []*jobs.StepRun
	// unplaced are the long-running steps with tasks for which the last plan found no place.
	unplaced map[*jobs.StepRun]unplacedStep
	// teamLimited counts their tasks that the limit of their team did not let start in the last plan.
	teamLimited map[*jobs.StepRun]int
	// reservedPlaces holds, by task that is being relocated, the minion that is to run it next.
	reservedPlaces map[*jobs.Task]jobs.Minion
}

// View is a snapshot of a term's counts for other goroutines. It is immutable.
type View struct {
	Pending map[model.Queue]int
	Load    map[model.Queue]peer.QueueLoad
	// CountedAt is when Pending and Load were counted, on the term's clock.
	CountedAt time.Duration
	// JobBytes is the memory of the open jobs, JobLimit is Limits.JobMemory.
	JobBytes, JobLimit int64
	// Full is set while no further job is to be accepted, see Limits.JobMemory.
	Full bool
}

const (
	// tick is the longest pause between two checks of the timers.
	tick = 40 * time.Millisecond
	// minPlanInterval is the least time between two scheduling runs, because ends of runs arrive in
	// batches. With many jobs the interval is planTimeFactor times what the last run took to decide, so
	// that deciding takes a tenth of the processor. The time in which it orders the starts does not
	// count: each of them uses capacity that was idle. maxPlanInterval bounds the interval, because the
	// duration contains the time for which the process was suspended or waited for a processor, and
	// capacity that becomes free meanwhile is idle: a task takes about a second.
	minPlanInterval = 8 * time.Millisecond
	maxPlanInterval = 100 * time.Millisecond
	planTimeFactor  = 10
	// boundedPlanInterval is maxPlanInterval after a run that was kept from starting more tasks: until
	// the next one, capacity is idle beside tasks that could use it.
	boundedPlanInterval = 40 * time.Millisecond
	// regularPlanInterval is the longest time between two scheduling runs. Most follow an event; this
	// one is for what only time changes, such as the due time of a repeated job.
	regularPlanInterval = 50 * time.Millisecond
	// slowPlanThreshold is the duration from which a scheduling run is logged as slow.
	slowPlanThreshold = 100 * time.Millisecond
	// minionCheckInterval is the least time between two checks of all minions.
	minionCheckInterval = 4 * time.Millisecond
	// waveInterval is how often maintenance waves are advanced; a machine's maintenance takes 2 s.
	waveInterval = 100 * time.Millisecond
	// viewInterval is how often the published counts are updated; they may be up to 2 s old.
	viewInterval = 300 * time.Millisecond
)

// Start begins a term with a lease that was just acquired.
func Start(d Deps, held *lease.Held) *Term {
	ctx, stop := context.WithCancelCause(context.Background())
	t := &Term{
		deps: d, held: held, epoch: held.Row.Epoch, events: make(chan func(), 4096), releaseSlot: make(chan struct{}, 1), ctx: ctx, stop: stop,
		log:      d.Log.With().Uint64("epoch", held.Row.Epoch).Logger(),
		registry: jobs.NewRegistry(), minions: map[jobs.Minion]*holding.Minion{}, droppedMinions: map[jobs.Minion]time.Duration{}, queues: map[model.Queue]site.Queue{},
		pendingStarts: map[*jobs.Task]*pendingStart{}, pendingStops: map[*jobs.Task]*pendingStop{}, reservedPlaces: map[*jobs.Task]jobs.Minion{}, asideJobs: map[jobs.ID]bool{}, runLease: min(runLeaseTTL, d.Limits.MaxMinionLease), pollGap: minPollGap,
	}
	t.registry.OnPhase = t.settleOrders
	t.inheritedLog = logging.NewLimiter(200, 500)
	t.now = d.Now()
	t.lastLoop = t.now
	t.startedAt, t.leaseUntil, t.leaseVersion = t.now, held.ExpiresAt, held.Version
	t.orders = fencing.NewSender(d.Fleet, d.Self.Entry, t.epoch, d.Now)
	t.ownRuns.init(d.runSpans, t.epoch)
	t.writer.init()
	t.path.init(&t.deps)
	t.compactor.init()
	t.members.init()
	t.waves.init()
	t.machines.init()
	counters.Add("terms", 1)
	t.log.Info().Msg("Coordinator: term began.")
	t.run("term", t.loop)
	t.run("loading tables", t.loadTables)
	return t
}

// Epoch is the term's fencing token.
func (t *Term) Epoch() uint64 { return t.epoch }

// Done is closed when the term is over.
func (t *Term) Done() <-chan struct{} { return t.ctx.Done() }

// End ends the term.
func (t *Term) End(cause error) { t.stop(cause) }

// Wait blocks until the term is over and all its goroutines have returned. It returns the cause
// of the end.
func (t *Term) Wait() error {
	<-t.ctx.Done()
	t.wg.Wait()
	return context.Cause(t.ctx)
}

// View returns the latest counts, or nil before the jobs are loaded.
func (t *Term) View() *View { return t.view.Load() }

// post queues an event for the term's goroutine.
func (t *Term) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

// do runs f on the term's goroutine and waits for it. If it returns an error, f may still be running
// or run later, so the caller must not use what f assigns; see ask.
func (t *Term) do(ctx context.Context, f func()) error {
	_, err := ask(ctx, t, func() struct{} { f(); return struct{}{} })
	return err
}

// ask runs f on the term's goroutine and returns its result. Errors: that of ctx, and then f may
// still run later; ErrNotCoordinating if the term is over.
func ask[R any](ctx context.Context, t *Term, f func() R) (R, error) {
	var none R
	done := make(chan R, 1)
	t.post(func() { done <- f() })
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-t.ctx.Done():
		return none, ErrNotCoordinating
	}
}

// async runs a call in its own goroutine. The function that the call returns, if any, runs on the
// term's goroutine.
func (t *Term) async(timeout time.Duration, call func(ctx context.Context) func()) {
	t.run("call", func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		if f := call(ctx); f != nil {
			t.post(f)
		}
	})
}

// run runs f in its own goroutine. A panic ends the term, because its state may be inconsistent;
// a successor starts from the stored state.
func (t *Term) run(what string, f func()) {
	t.wg.Go(func() {
		if err := guard.Recover(t.log, what, f); err != nil {
			t.End(err)
		}
	})
}

func (t *Term) loop() {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case f := <-t.events:
			t.now = t.deps.Now()
			t.load.events++
			f()
			t.drainEvents()
		case <-timer.C:
			t.now = t.deps.Now()
		}
		began := t.now
		pause := t.runDueWork()
		t.load.iterations++
		t.load.busy += t.deps.Now() - began
		t.reportLoad()
		timer.Reset(pause)
	}
}

// drainEvents runs all queued events, so that one scheduling run covers them all.
func (t *Term) drainEvents() {
	queued := len(t.events)
	t.load.events += queued
	for i := range queued {
		if i%eventsPerClockRead == 0 {
			t.now = t.deps.Now()
		}
		(<-t.events)()
	}
}

// eventsPerClockRead is the number of events that share one reading of the clock.
const eventsPerClockRead = 16

// runDueWork does all work that is due and returns how long to wait for the next event.
func (t *Term) runDueWork() time.Duration {
	t.now = t.deps.Now()
	t.noticeSuspension()
	t.updateOrderDeadline()
	if t.endIfStale() {
		return tick
	}
	t.updateMembers()
	t.writeIfDue()
	t.checkPath()
	if !t.loaded {
		return tick
	}
	t.updateEvacuations()
	t.pollFeeds()
	if t.now >= t.nextMinionCheck {
		t.nextMinionCheck = t.now + minionCheckInterval
		t.checkMinions()
	}
	if t.leading() {
		t.resendOrders()
		t.listMachines()
		if t.now >= t.nextWaves {
			t.nextWaves = t.now + waveInterval
			t.advanceWaves()
		}
		t.rebalanceMachines()
		if (t.needsPlan || t.now >= t.nextRegularPlan) && t.now >= t.nextPlan {
			t.runPlan()
		}
	}
	t.reportWaits()
	t.publishView()
	if t.leading() {
		t.compactRows()
	}
	if t.needsPlan {
		return min(max(t.nextPlan-t.now, time.Millisecond), tick)
	}
	return tick
}

// runPlan does a scheduling run and sets the earliest time of the next one.
func (t *Term) runPlan() {
	r := t.plan()
	ended := t.deps.Now()
	t.load.plans++
	t.load.planning += ended - t.now
	if took := ended - t.now; took > slowPlanThreshold {
		counters.Add("plans_slow", 1)
		t.log.Info().Dur("took", took).Dur("decided_after", r.decidedAt-t.now).Int("steps", r.steps).Int("tried", r.tried).Int("starts", r.starts).Msg("Coordinator: slow scheduling run.")
	}
	t.nextRegularPlan = t.now + regularPlanInterval
	longest := maxPlanInterval
	if t.startsBounded {
		longest = boundedPlanInterval
	}
	t.nextPlan = min(t.now+max(minPlanInterval, planTimeFactor*(r.decidedAt-t.now)), ended+longest)
}

// exclusiveUntil returns until when no other entry VM can hold the lease.
func (t *Term) exclusiveUntil() time.Duration {
	return max(t.leaseUntil, t.members.promisedUntil())
}

// updateOrderDeadline sets until when orders may be sent.
func (t *Term) updateOrderDeadline() { t.orders.SetDeadline(t.exclusiveUntil()) }

// staleTermTimeout is how long a term may last after its lease and the other entry VMs' promises
// have ended. By then all run leases that it granted have expired as well, so its state is of no
// more use than the stored one. Until then the same entry VM continues if the store returns before
// another one has acquired the lease.
const staleTermTimeout = runLeaseTTL + runLeaseTTL/20

// endIfStale ends a term whose lease ended staleTermTimeout ago, and reports whether it did.
func (t *Term) endIfStale() bool {
	if t.releasing || t.now <= t.exclusiveUntil()+staleTermTimeout {
		return false
	}
	t.log.Warn().Dur("expired", t.now-t.exclusiveUntil()).Msg("Coordinator: ending the term, its lease expired long ago.")
	t.End(errors.Wrap(lease.ErrLost, "not renewed in time"))
	return true
}

// sendOrder sends an order in its own goroutine.
func (t *Term) sendOrder(timeout time.Duration, send func(ctx context.Context) error, answered func(err error)) {
	t.async(timeout, func(ctx context.Context) func() {
		err := send(ctx)
		return func() { answered(err) }
	})
}

// leading reports whether this term may give orders, because no other entry VM can hold the lease.
func (t *Term) leading() bool { return !t.releasing && t.now < t.exclusiveUntil() }

func addressOf(m *holding.Minion) site.MinionAddress {
	return site.MinionAddress{ID: m.ID, Addr: m.Addr, RaisedToken: m.Token}
}
