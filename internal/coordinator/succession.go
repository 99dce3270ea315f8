package coordinator

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/lease"
	"boragepulley/internal/logging"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/succession"
)

const (
	// pathCheckInterval is how often the path to the store is judged.
	pathCheckInterval = 50 * time.Millisecond
	// handoverTimeout bounds the time between the end of orders and the release of the lease. Writes through
	// a peer took up to 1.45 s. The lease of a coordinator that is lost is free after 2 s and more, so that a
	// failed release leaves the site without a coordinator for no longer.
	handoverTimeout = 1500 * time.Millisecond
	// writePause is for how long no write is begun after each check for the end of the one in progress.
	writePause = 50 * time.Millisecond
	// handoverRetryDelay is the pause after a handover that failed. Each one ends the calls to the minions.
	handoverRetryDelay = 3 * time.Second
)

// storePathMS is the gauge "store_path_ms": the usual duration of the coordinator's writes.
var storePathMS = new(expvar.Int)

func init() { counters.Set("store_path_ms", storePathMS) }

// storePath is the coordinator's own path to the store, as its writes show it.
type storePath struct {
	writes []succession.Write // newest first
	// trying is since when a write has been tried; 0 if none is. A write that had no effect and those that
	// follow it count as one.
	trying    time.Duration
	badSince  time.Duration
	reason    succession.Reason
	probe     bool
	nextCheck time.Duration
	// pausedUntil is until when no write is begun, because a handover waits for the one in progress.
	pausedUntil time.Duration
	// stopped is set while the role is being handed over. No heartbeats are sent then: if the handover fails,
	// the others notice the silence as early as that of a lost coordinator.
	stopped bool
	// finalBatch is the last write of a handover.
	finalBatch *batch
	// notBefore is the earliest time of the next handover.
	notBefore time.Duration
	// handedOverAt is the result of Term.HandedOverAt.
	handedOverAt atomic.Int64
	// handingOver is set while a handover makes its last write and announces the successor. releaseWanted is
	// set once a release gave up waiting for it: the term must not go on then.
	handingOver, releaseWanted atomic.Bool
	// due is set while a handover is due.
	due atomic.Bool
	log *logging.Limiter
}

func (p *storePath) init(d *Deps) {
	if d.LastHandover == nil {
		d.LastHandover = new(atomic.Int64)
	}
	p.reason, p.log = succession.Healthy, logging.NewLimiter(0.5, 10)
}

func (p *storePath) writeSent(now time.Duration) {
	if p.trying == 0 {
		p.trying = now
	}
}

// observeWrite records the end of a write.
func (t *Term) observeWrite(err error, relayed bool) {
	p := &t.path
	if noEffect(err) {
		return // it will be repeated
	}
	p.writes = succession.AddWrite(p.writes, succession.Write{At: t.now, Took: t.now - p.trying, Relayed: relayed})
	p.trying = 0
}

// noEffect reports whether a write failed because the store could not be reached, and certainly had no
// effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// memberPath is the path of a member to the store, as it reports it.
type memberPath struct {
	// reads are the last reads in a row that succeeded, newest first.
	reads []succession.Read
	// failed is set if the last reported read failed.
	failed bool
}

// observeRead records the read in the answer to a heartbeat. It is counted as older than it is by the time
// that the heartbeat took to arrive. One whose times cannot be right is ignored.
func (m *memberPath) observeRead(r *peer.CoordinatorHeartbeatReply, sent time.Duration) {
	age, ageOK := succession.Reported(r.StoreAgeMS)
	took, tookOK := succession.Reported(r.StoreMS)
	switch {
	case r.StoreRead == 0 || !ageOK || !tookOK:
	case !r.StoreOK:
		m.reads, m.failed = nil, true
	default:
		m.failed = false
		m.reads = succession.AddRead(m.reads, succession.Read{Number: r.StoreRead, At: sent - age, Took: took})
	}
}

// observeHandover records the last handover that a member knows of.
func (t *Term) observeHandover(r *peer.CoordinatorHeartbeatReply, sent time.Duration) {
	succession.RecordReported(t.deps.LastHandover, r.HandoverAgeMS, sent, t.now)
}

// pathRank returns 1 for a member whose path to the store is known to be good, -1 for one whose last reported
// read failed and 0 for others.
func (t *Term) pathRank(m *memberState) int {
	switch {
	case succession.GoodPath(m.reads, t.now):
		return 1
	case m.failed:
		return -1
	}
	return 0
}

func (t *Term) lastHandover() time.Duration { return time.Duration(t.deps.LastHandover.Load()) }

// handoverAge returns the age of the last handover for a heartbeat.
func (t *Term) handoverAge() int64 { return succession.HandoverAge(t.deps.LastHandover, t.now) }

// probes reports whether a member is to read the store.
func (t *Term) probes(m *memberState) bool {
	return t.path.probe || m.row.Cores > t.deps.Cores && succession.ProbeForYield(t.now, t.lastHandover())
}

// checkPath judges the path to the store if that is due.
func (t *Term) checkPath() {
	p := &t.path
	if t.releasing || t.now < p.nextCheck {
		return
	}
	p.nextCheck = t.now + pathCheckInterval
	d := t.decideHandover()
	p.badSince, p.probe = d.BadSince, d.Probe
	p.due.Store(d.To != "")
	storePathMS.Set(d.OwnWrite.Milliseconds())
	if d.Reason == p.reason {
		return
	}
	p.reason = d.Reason
	if suppressed, ok := p.log.Allow(); ok {
		t.log.Info().Str("reason", string(d.Reason)).Dur("write", d.OwnWrite).Float64("relay_share", d.RelayShare).Str("candidate", string(d.To)).
			Dur("candidate_read", d.CandidateRead).Int("members", len(t.members.byName)).Int64("suppressed", suppressed).Msg("Coordinator: path to the store judged.")
	}
}

func (t *Term) decideHandover() succession.Decision {
	p := &t.path
	s := succession.State{Now: t.now, StartedAt: t.startedAt, LastHandover: t.lastHandover(), Loaded: t.loaded, Cores: t.deps.Cores,
		Writes: p.writes, WriteInProgress: p.trying, BadSince: p.badSince, NotBefore: p.notBefore}
	if p.badSince != 0 {
		for name, m := range t.members.byName {
			s.Candidates = append(s.Candidates, succession.Candidate{Name: name, OtherDC: m.row.DC != t.deps.Self.DC, Cores: m.row.Cores,
				AnsweredAt: m.promisedAt, ShuttingDown: m.shuttingDown, Reads: slices.Clone(m.reads)})
		}
	}
	return succession.Decide(s)
}

// MayOrder reports whether orders may be sent.
func (t *Term) MayOrder() bool { return t.orders.Remaining() > 0 }

// HandoverDue reports whether HandOver should be called.
func (t *Term) HandoverDue() bool { return t.path.due.Load() }

// HandedOverAt returns when orders stopped for a handover that released the lease, or that may have done so; 0
// if there was none.
func (t *Term) HandedOverAt() time.Duration { return time.Duration(t.path.handedOverAt.Load()) }

// HandOver hands the role over to an entry VM with a better path to the store, if that is still due. Orders
// are sent until the write in progress has ended. Then they stop, and one last write stores what fits into
// it and releases the lease; ends of runs that it does not contain are not acknowledged, so that minions
// report them to the successor. If the last write certainly had no effect, the term goes on. If its outcome
// is not known after handoverTimeout, the term ends, and the lease is free or expires.
func (t *Term) HandOver(ctx context.Context) error {
	if err := t.takeReleaseSlot(ctx); err != nil {
		return err
	}
	defer func() { <-t.releaseSlot }()
	h, err := t.beginHandover(ctx)
	if err != nil || h.decision.To == "" {
		return err
	}
	goesOn := false
	t.path.handingOver.Store(true)
	defer func() {
		t.path.handingOver.Store(false)
		if !goesOn || t.path.releaseWanted.Load() { // also after a panic, because nothing is written any more
			t.End(ErrNotCoordinating)
		}
	}()
	written, err := t.releaseUnhealthy(ctx, h)
	refused := noEffect(err) || errors.Is(err, platform.ErrRejected)
	mayBeReleased := written && !refused && !errors.Is(err, lease.ErrLost)
	if !mayBeReleased {
		t.path.handedOverAt.Store(0)
	}
	if refused {
		counters.Add("handovers_failed", 1)
		goesOn = t.resume(ctx, err) == nil
		return errors.Wrap(err, "coordinator: handover")
	}
	if mayBeReleased {
		now := t.deps.Now()
		succession.RecordHandover(t.deps.LastHandover, now, now)
	}
	if err != nil {
		counters.Add("handovers_failed", 1)
		t.End(err) // with its cause
		return errors.Wrap(err, "coordinator: handover")
	}
	counters.Add("handovers_health", 1)
	t.announceSuccessor(ctx, h.decision.To)
	return nil
}

// takeReleaseSlot waits for the end of another release or handover.
func (t *Term) takeReleaseSlot(ctx context.Context) error {
	select {
	case t.releaseSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.ctx.Done():
		return ErrNotCoordinating
	}
}

// handover is one that has begun.
type handover struct {
	decision succession.Decision
	renewals *sync.WaitGroup
	waiting  bool
}

// beginHandover waits for the end of the write in progress, during which orders are still sent, and ends
// scheduling and writing. The result names no successor if the handover is not due any more, as after some
// seconds in which the candidates have not been probed.
func (t *Term) beginHandover(ctx context.Context) (handover, error) {
	for {
		h, err := ask(ctx, t, t.tryBeginHandover)
		if err != nil || !h.waiting {
			return h, err
		}
		time.Sleep(writePollInterval)
	}
}

func (t *Term) tryBeginHandover() handover {
	p := &t.path
	switch {
	case t.releasing || !p.due.Load():
		return handover{}
	case t.writer.writing:
		p.pausedUntil = t.now + writePause
		return handover{waiting: true}
	}
	p.pausedUntil = 0
	d := t.decideHandover()
	if d.To == "" {
		p.due.Store(false)
		return handover{}
	}
	t.log.Warn().Dur("write", d.OwnWrite).Float64("relay_share", d.RelayShare).Dur("bad_for", t.now-d.BadSince).Str("candidate", string(d.To)).
		Dur("candidate_read", d.CandidateRead).Dur("lease_left", t.leaseUntil-t.now).Msg("Coordinator: handing over, its path to the store is bad.")
	p.stopped = true
	return handover{decision: d, renewals: t.beginRelease()}
}

// releaseUnhealthy ends the orders in progress and makes the last write. written is false if it was not begun.
func (t *Term) releaseUnhealthy(ctx context.Context, h handover) (written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	h.renewals.Wait()
	t.orders.Close()
	t.path.handedOverAt.Store(int64(t.deps.Now()))
	puts, err := ask(ctx, t, func() []platform.Put {
		t.path.finalBatch = t.collectBatch()
		return t.path.finalBatch.puts
	})
	if err != nil {
		return false, err
	}
	err = t.held.ReleaseUnhealthy(ctx, puts)
	if errors.Is(err, platform.ErrRejected) && len(puts) > 0 {
		t.log.Warn().Err(err).Int("rows", len(puts)).Msg("Coordinator: the store refused the final write; releasing without it.")
		err = t.held.ReleaseUnhealthy(ctx, nil)
	}
	return true, err
}

// resume continues the term after a last write without effect.
func (t *Term) resume(ctx context.Context, cause error) error {
	return t.do(ctx, func() {
		t.log.Warn().Err(cause).Dur("lease_left", t.leaseUntil-t.now).Msg("Coordinator: the last write had no effect; the term goes on.")
		p := &t.path
		p.finalBatch.failed()
		p.stopped, p.notBefore = false, t.now+handoverRetryDelay
		p.due.Store(false)
		t.releasing = false
		t.orders.Reopen()
		for _, m := range t.minions {
			m.NextPoll = t.now // run leases were not renewed meanwhile
		}
		t.writer.urgent, t.needsPlan, t.ordersChanged = true, true, true
	})
}
