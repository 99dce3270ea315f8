package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/guard"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

// ErrNotCoordinating means that this entry VM does not coordinate the site, or not yet.
var ErrNotCoordinating = errors.New("coordinator: not coordinating")

// Codec reads and writes the documents of the platform.
type Codec struct {
	Minion     func(id string, value []byte) (site.MinionEntry, error)
	Wave       func(value []byte) (site.Wave, error)
	WaveStatus func(site.WaveState) ([]byte, error)
}

// Limits are the bounds that the platform sets.
type Limits struct {
	// MaxMinionLease is the longest lease that a minion grants to its runs.
	MaxMinionLease time.Duration
	// MachineOrderGap is the least time between the machine orders of two successive coordinators.
	MachineOrderGap time.Duration
	// Retention is how long a job's state can be asked for after its end.
	Retention time.Duration
}

// Deps are the parts that a term works with.
type Deps struct {
	Self peer.Sender
	Addr string
	// Cores is the processor time that this entry VM may use, in cores.
	Cores    float64
	Table    platform.Table
	Feed     platform.Feed
	Minions  site.Minions
	Machines site.Machines
	Codec    Codec
	Limits   Limits
	// Config returns the configuration in force.
	Config func() *site.Config
	// Waves returns the operators' maintenance waves.
	Waves func() map[int64]site.Wave
	// SetMembers is called with the peer addresses and sizes of all entry VMs.
	SetMembers func(map[model.EntryVM]peer.Member)
	// Dial returns the connection to a peer; it does not block.
	Dial func(name model.EntryVM, addr string) PeerClient
	// PredecessorStopped is set if the previous lease holder can give no more orders: it released
	// the lease, its process has ended, or it needed this entry VM's promise not to take the lease.
	PredecessorStopped bool
	// Now is the clock that counts suspended time.
	Now  func() time.Duration
	Log  zerolog.Logger
	Rand *rand.Rand
}

// PeerClient is the connection to one other entry VM.
type PeerClient interface {
	CoordinatorHeartbeat(ctx context.Context, m *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error)
}

// Term is one holding of the site's lease. Its exported methods are safe for concurrent
// use; they end with ErrNotCoordinating when the term is over.
type Term struct {
	d      Deps
	log    zerolog.Logger
	held   *lease.Held
	epoch  uint64
	events chan func()
	ctx    context.Context
	stop   context.CancelCauseFunc
	wg     sync.WaitGroup
	view   atomic.Pointer[View]
	// until is when the permission to give orders ends, on the clock of Deps.Now.
	until atomic.Int64

	// The fields below are owned by the term's goroutine.
	now time.Duration
	// began is when the lease was taken.
	began time.Duration
	// valid is when the lease ends as the store has confirmed it, version that of its row.
	valid   time.Duration
	version uint64
	loaded  bool
	book    *jobs.Registry
	minions map[jobs.Minion]*holding.Minion
	queues  map[model.Queue]site.Queue
	orders  map[*jobs.Task]*order
	stops   map[*jobs.Task]*stopping
	dirty   bool
	// viewed is when the counts for callers were made last.
	viewed time.Duration
	// nextPlan is when the next plan may be made, nextWatch and nextWaves when minions and
	// waves are looked at.
	nextPlan, nextWatch, nextWaves time.Duration
	journal                        journal
	rows                           endedRows
	members                        members
	feeds                          feeds
	waves                          waves
	machines                       machines
	leaving                        bool
	// gap is the pause between two looks at a minion, see lookGap.
	gap time.Duration
	// span is how long a lease on a minion lasts.
	span time.Duration
	// noRoom are the steps for which the last plan found no room.
	noRoom map[*jobs.StepRun]bool
}

// View is what other goroutines may know of a term. It is immutable.
type View struct {
	Pending map[model.Queue]int
	Load    map[model.Queue]peer.QueueLoad
}

const (
	// tick is the longest pause between two looks at timers.
	tick = 40 * time.Millisecond
	// planGap is the least time between two plans: ends come in batches. With many jobs it is
	// planShare times what the last plan took, so that plans take a tenth of the processor.
	planGap   = 8 * time.Millisecond
	planShare = 10
	// watchGap is the least time between two looks at all minions.
	watchGap = 4 * time.Millisecond
	// wavesEvery is how often maintenance waves are gone on with; a machine takes 2 s.
	wavesEvery = 100 * time.Millisecond
	// viewEvery is how often the counts for callers are made anew; they may be 2 s old.
	viewEvery = 300 * time.Millisecond
)

// Start begins a term on a lease that was just taken.
func Start(d Deps, held *lease.Held) *Term {
	ctx, stop := context.WithCancelCause(context.Background())
	t := &Term{
		d: d, held: held, epoch: held.Row.Epoch, events: make(chan func(), 4096), ctx: ctx, stop: stop,
		log:  d.Log.With().Uint64("epoch", held.Row.Epoch).Logger(),
		book: jobs.NewRegistry(), minions: map[jobs.Minion]*holding.Minion{}, queues: map[model.Queue]site.Queue{},
		orders: map[*jobs.Task]*order{}, stops: map[*jobs.Task]*stopping{}, span: min(leaseSpan, d.Limits.MaxMinionLease), gap: holdGap,
	}
	t.now = d.Now()
	t.began, t.valid, t.version = t.now, held.ExpiresAt, held.Version
	t.journal.init()
	t.rows.init()
	t.members.init()
	t.waves.init()
	t.machines.init()
	counters.Add("terms", 1)
	t.log.Info().Msg("Coordinator: term began.")
	t.run("term", t.loop)
	t.run("reading tables", t.load)
	return t
}

// Epoch is the term's fencing token.
func (t *Term) Epoch() uint64 { return t.epoch }

// Done is closed when the term is over.
func (t *Term) Done() <-chan struct{} { return t.ctx.Done() }

// End ends the term.
func (t *Term) End(cause error) { t.stop(cause) }

// Wait returns after the end of the term, when its last goroutine is done, with the cause.
func (t *Term) Wait() error {
	<-t.ctx.Done()
	t.wg.Wait()
	return context.Cause(t.ctx)
}

// View returns the latest counts, or nil before the jobs are loaded.
func (t *Term) View() *View { return t.view.Load() }

// post hands an event to the term's goroutine.
func (t *Term) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

// do runs f on the term's goroutine and waits for it.
func (t *Term) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	t.post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.ctx.Done():
		return ErrNotCoordinating
	}
}

// async runs a call outside the term's goroutine; the function that it returns, if any,
// runs on it.
func (t *Term) async(timeout time.Duration, call func(ctx context.Context) func()) {
	t.run("call", func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		if f := call(ctx); f != nil {
			t.post(f)
		}
	})
}

// run runs f in a goroutine of its own. An unexpected error ends the term: what it believes
// may be wrong, and a successor reads what is stored.
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
			t.now = t.d.Now()
			f()
			t.drain()
		case <-timer.C:
			t.now = t.d.Now()
		}
		timer.Reset(t.step())
	}
}

// drain runs the events that are at hand, so that one plan covers them all.
func (t *Term) drain() {
	for i := range len(t.events) {
		if i%clockEvents == 0 {
			t.now = t.d.Now()
		}
		(<-t.events)()
	}
}

// clockEvents is how many events share a reading of the clock.
const clockEvents = 16

// step does what is due and returns how long to wait for the next event.
func (t *Term) step() time.Duration {
	t.now = t.d.Now()
	t.permit()
	t.followMembers()
	t.writeJournal()
	if !t.loaded {
		return tick
	}
	t.followFeeds()
	if t.now >= t.nextWatch {
		t.nextWatch = t.now + watchGap
		t.watchMinions()
	}
	if t.leading() {
		t.resendOrders()
		t.listMachines()
		if t.now >= t.nextWaves {
			t.nextWaves = t.now + wavesEvery
			t.runWaves()
		}
		t.fitMachines()
		if t.dirty && t.now >= t.nextPlan {
			t.plan()
			took := t.d.Now() - t.now
			t.nextPlan = t.now + max(planGap, planShare*took)
		}
	}
	t.publish()
	if t.leading() {
		t.writeEnded()
	}
	if t.dirty {
		return min(max(t.nextPlan-t.now, time.Millisecond), tick)
	}
	return tick
}

// permit lets other goroutines know until when orders may be given.
func (t *Term) permit() {
	until := max(t.valid, t.members.promised())
	if t.leaving {
		until = 0
	}
	t.until.Store(int64(until))
}

// permitted reports whether orders may be given at this moment. It is safe for concurrent use,
// and is asked just before an order is sent: the process may have been paused since the term's
// goroutine decided on it, and another entry VM may hold the lease.
func (t *Term) permitted() bool { return int64(t.d.Now()) < t.until.Load() }

// order sends an order outside the term's goroutine, unless the permission for it has ended.
func (t *Term) order(timeout time.Duration, send func(ctx context.Context) error, answered func(err error)) {
	t.async(timeout, func(ctx context.Context) func() {
		err := errors.Wrap(site.ErrNotSent, "lease over")
		if t.permitted() {
			err = send(ctx)
		} else {
			counters.Add("orders_held_back", 1)
		}
		return func() { answered(err) }
	})
}

// leading reports whether orders may be given: no other entry VM can hold the lease.
func (t *Term) leading() bool {
	return !t.leaving && t.now < max(t.valid, t.members.promised())
}

func (t *Term) receiver(m *holding.Minion) site.Receiver {
	return site.Receiver{ID: m.ID, Addr: m.Addr, Token: t.epoch}
}
