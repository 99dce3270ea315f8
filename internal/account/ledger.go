package account

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/guard"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	// replicateInterval is how often facts are replicated to a peer. It limits the period
	// whose facts are lost when an entry VM is killed.
	replicateInterval = time.Second
	// storeInterval is how often batches are stored when fewer than storeFactCount facts are
	// unstored. With one object per entry VM every 5 s, eight entry VMs cause 1.6 store
	// writes per second.
	storeInterval  = 5 * time.Second
	storeFactCount = 500
	// storeCheckInterval is how often Run checks whether batches are due to be stored.
	storeCheckInterval = time.Second
	// maxObjectFacts is the maximum number of facts in an object that joins the batches of
	// an outage.
	maxObjectFacts = 5000
	// rowInterval is how often the incarnation row is updated.
	rowInterval = 10 * time.Second
	// storeTimeout is the timeout of one write to the object store or the table.
	storeTimeout = 3 * time.Second
)

// IncarnationRow is the value of the row "incarnation/<entry>/<incarnation>".
type IncarnationRow struct {
	Owner
	Started time.Time `json:"started"`
	// StoredUntil is the time up to which the stored batches contain every fact.
	StoredUntil time.Time `json:"stored_until"`
	// LastSequence is the last stored sequence number.
	LastSequence uint64 `json:"last_sequence"`
	// Closed is set by a graceful shutdown, after every batch has been stored.
	Closed bool `json:"closed"`
}

func (o Owner) rowKey() string {
	return incarnationRowPrefix + string(o.Entry) + "/" + string(o.Incarnation)
}

// Replicator keeps replicas of unstored batches at another entry VM. A ledger has one for each
// failure domain in which replicas are kept.
type Replicator interface {
	// Target returns the peer that currently receives the replicas; empty if there is none.
	Target() model.EntryVM
	// Hold sends an encoded batch to the peer and returns the process that holds it. Sequence 0
	// only extends the covered time.
	Hold(ctx context.Context, sequence uint64, payload []byte) (model.Incarnation, error)
	// Drop tells the peer to remove the replicas up to and including sequence.
	Drop(ctx context.Context, sequence uint64)
}

// replica is what a replicator's current peer has. It is owned by the goroutine that replicates.
type replica struct {
	Replicator
	target model.EntryVM
	// holder is the process at target that confirmed the last replica.
	holder model.Incarnation
	// through is the last sequence number that holder has.
	through uint64
}

// Ledger collects the facts of one process, replicates them to peers and stores them.
// Record and Event never block on the network. It is safe for concurrent use.
type Ledger struct {
	owner    Owner
	services platform.Services
	replicas []*replica
	log      zerolog.Logger
	now      func() time.Time

	mu        sync.Mutex // guards the fields below
	openBatch Batch
	pending   []Batch              // closed but not yet stored, in sequence order
	begun     map[uint64]time.Time // when the facts that are announced and not added were begun
	lastBegun uint64

	storeMu      sync.Mutex // serializes storing; guards the fields below
	row          IncarnationRow
	rowWrittenAt time.Time
	// rowWritten is set once the row is known to exist.
	rowWritten bool
}

// Metrics of the account, published once per process.
var (
	metricFacts         = expvar.NewInt("account_facts")
	metricStored        = expvar.NewInt("account_batches_stored")
	metricPending       = expvar.NewInt("account_batches_pending")
	metricStoreFailures = expvar.NewInt("account_store_failures")
	metricCopyFailures  = expvar.NewInt("account_copy_failures")
)

// NewLedger returns the ledger of this process. now is the source of time.
func NewLedger(owner Owner, s platform.Services, replicators []Replicator, log zerolog.Logger, now func() time.Time) *Ledger {
	l := &Ledger{owner: owner, services: s, log: log, now: now, begun: map[uint64]time.Time{}}
	for _, r := range replicators {
		l.replicas = append(l.replicas, &replica{Replicator: r})
	}
	l.openBatch = Batch{Owner: owner, First: 1, Last: 1}
	l.row = IncarnationRow{Owner: owner, Started: now()}
	return l
}

// Begin implements Recorder.
func (l *Ledger) Begin() (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastBegun++
	n := l.lastBegun
	l.begun[n] = l.now()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.begun, n)
	}
}

// coveredLocked returns the time up to which the batches contain every fact.
func (l *Ledger) coveredLocked() time.Time {
	until := l.now()
	for _, t := range l.begun {
		if t.Before(until) {
			until = t
		}
	}
	return until
}

// Record adds one fact about a job.
func (l *Ledger) Record(r model.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openBatch.Records = append(l.openBatch.Records, r)
	metricFacts.Add(1)
}

// Event adds one fact about the fleet.
func (l *Ledger) Event(e model.FleetEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openBatch.Events = append(l.openBatch.Events, e)
	metricFacts.Add(1)
}

// Run replicates and stores batches until ctx ends. It returns after the attempts in
// progress. Replication to each peer has its own goroutine, because each attempt to write to an
// unresponsive store takes longer than the replication interval, and so does a call to a peer that
// cannot be reached.
func (l *Ledger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, r := range l.replicas {
		wg.Go(func() { l.every(ctx, replicateInterval, "replicating records", func() { l.replicate(ctx, r) }) })
	}
	lastStore := l.now()
	_ = guard.Recover(l.log, "writing the incarnation row", func() {
		if err := l.writeInitialRow(ctx); err != nil {
			l.log.Warn().Err(err).Msg("Incarnation row not written; retrying.")
		}
	})
	l.every(ctx, storeCheckInterval, "storing records", func() {
		if l.pendingFacts() < storeFactCount && l.now().Sub(lastStore) < storeInterval {
			return
		}
		l.closeBatch()
		if err := l.storePending(ctx); err != nil {
			// Retry at the next check: the store may be available only for a short time.
			l.log.Warn().Err(err).Msg("Batch not stored; retrying.")
			return
		}
		lastStore = l.now()
	})
}

// every calls f once per interval until ctx ends. A call that panics fails; the next one is on time.
func (l *Ledger) every(ctx context.Context, interval time.Duration, what string, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = guard.Recover(l.log, what, f) // logged there
		}
	}
}

// Flush stores every fact recorded so far. It returns the errors of platform.Objects and
// platform.Table; unstored facts are kept.
func (l *Ledger) Flush(ctx context.Context) error {
	l.closeBatch()
	return l.storePending(ctx)
}

// Close stores every fact and marks the incarnation as closed. After an error the
// incarnation remains open, and the report shows a gap unless a peer stores the replicas.
func (l *Ledger) Close(ctx context.Context) error {
	if err := l.Flush(ctx); err != nil {
		return err
	}
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	l.row.Closed = true
	if err := l.writeRow(ctx); err != nil {
		l.row.Closed = false // a fact that is added after may be stored with the row
		return err
	}
	return nil
}

// CoversUntil returns the time up to which the stored batches contain every fact of this
// process.
func (l *Ledger) CoversUntil() time.Time {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	return l.row.StoredUntil
}

// Unstored returns the facts that are not stored yet, the open batch last.
func (l *Ledger) Unstored() []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]Batch(nil), l.pending...)
	open := l.openBatch
	open.CoversUntil = l.coveredLocked()
	open.Records = append([]model.Record(nil), open.Records...)
	open.Events = append([]model.FleetEvent(nil), open.Events...)
	return append(out, open)
}

// closeBatch closes the open batch, begins a new one and returns the closed one. An empty
// batch stays open; it is returned for the time that it covers.
func (l *Ledger) closeBatch() (b Batch, hasFacts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openBatch.CoversUntil = l.coveredLocked()
	if l.openBatch.FactCount() == 0 {
		return l.openBatch, false
	}
	b = l.openBatch
	l.pending = append(l.pending, b)
	metricPending.Set(int64(len(l.pending)))
	next := b.Last + 1
	l.openBatch = Batch{Owner: l.owner, First: next, Last: next}
	return b, true
}

func (l *Ledger) pendingFacts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.openBatch.FactCount()
	for _, b := range l.pending {
		n += b.FactCount()
	}
	return n
}

// replicate sends every batch that the replicator's peer does not have yet, or only the covered
// time if there is none.
func (l *Ledger) replicate(ctx context.Context, r *replica) {
	open, _ := l.closeBatch()
	target := r.Target()
	if target == "" {
		return
	}
	if target != r.target {
		r.target, r.holder, r.through = target, "", 0
	}
	ctx, cancel := context.WithTimeout(ctx, replicateInterval)
	defer cancel()
	if replaced := l.replicatePending(ctx, r, open); replaced {
		l.replicatePending(ctx, r, open)
	}
}

// replicatePending sends the batches that the holder does not have. It reports whether another
// process answered at the target, which has none of the batches before.
func (l *Ledger) replicatePending(ctx context.Context, r *replica, open Batch) (replaced bool) {
	batches := l.pendingAfter(r.through)
	sequences := make([]uint64, len(batches))
	for i := range batches {
		sequences[i] = batches[i].Last
	}
	if len(batches) == 0 {
		batches, sequences = []Batch{open}, []uint64{0}
	}
	for i, b := range batches {
		holder, err := l.replicateBatch(ctx, r, sequences[i], b)
		if err != nil {
			return false
		}
		if holder != r.holder {
			replaced = r.holder != ""
			r.holder = holder
			if replaced {
				r.through = 0
				return true
			}
		}
		r.through = max(r.through, sequences[i])
	}
	return false
}

// pendingAfter returns the closed batches that are not stored and end after a sequence number.
func (l *Ledger) pendingAfter(sequence uint64) []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := 0
	for i < len(l.pending) && l.pending[i].Last <= sequence {
		i++
	}
	return append([]Batch(nil), l.pending[i:]...)
}

func (l *Ledger) replicateBatch(ctx context.Context, r *replica, sequence uint64, b Batch) (holder model.Incarnation, err error) {
	payload, err := b.Encode()
	if err != nil {
		l.log.Error().Err(err).Msg("Batch could not be encoded.")
		return "", err
	}
	if holder, err = r.Hold(ctx, sequence, payload); err != nil {
		metricCopyFailures.Add(1)
		l.log.Debug().Err(err).Msg("Batch not replicated to a peer.")
	}
	return holder, err
}

// writeInitialRow writes the incarnation row before the first fact is stored.
func (l *Ledger) writeInitialRow(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	return l.writeRow(ctx)
}

// storePending stores the pending batches in order. It joins them into objects of at most
// maxObjectFacts facts; otherwise an outage would be followed by one write for each of its
// seconds.
func (l *Ledger) storePending(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	for {
		b, ok := l.nextObject()
		if !ok {
			break
		}
		if err := l.storeBatch(ctx, b); err != nil {
			metricStoreFailures.Add(1)
			return err
		}
		l.removeStored(b.Last)
		l.row.LastSequence, l.row.StoredUntil = b.Last, b.CoversUntil
		metricStored.Add(1)
		l.dropReplicas(ctx, b.Last)
	}
	if until, ok := l.allStored(); ok {
		l.row.StoredUntil = until
	}
	if l.rowWritten && l.now().Sub(l.rowWrittenAt) < rowInterval {
		return nil
	}
	return l.writeRow(ctx)
}

// dropReplicas tells all peers which batches are stored. A peer that cannot be reached does not hold
// up the next write for longer than a replication interval.
func (l *Ledger) dropReplicas(ctx context.Context, through uint64) {
	ctx, cancel := context.WithTimeout(ctx, replicateInterval)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range l.replicas {
		wg.Go(func() {
			_ = guard.Recover(l.log, "dropping replicas", func() { r.Drop(ctx, through) }) // logged there
		})
	}
	wg.Wait()
}

// allStored reports whether no fact is unstored, and the time up to which that holds.
func (l *Ledger) allStored() (until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coveredLocked(), l.openBatch.FactCount() == 0 && len(l.pending) == 0
}

func (l *Ledger) storeBatch(ctx context.Context, b Batch) error {
	data, err := b.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err = l.services.Objects.Put(ctx, platform.PriorityAccount, b.ObjectName(), data)
	return errors.Wrapf(err, "account: store %s", b.ObjectName())
}

// nextObject joins the first pending batches up to maxObjectFacts facts. If a write has an
// unknown outcome, the retry may include newer batches and thus store an overlapping
// object; the report merges these.
func (l *Ledger) nextObject() (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return Batch{}, false
	}
	b := l.pending[0]
	for _, n := range l.pending[1:] {
		if b.FactCount()+n.FactCount() > maxObjectFacts {
			break
		}
		b = b.join(n)
	}
	return b, true
}

func (l *Ledger) removeStored(last uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := 0
	for i < len(l.pending) && l.pending[i].Last <= last {
		i++
	}
	l.pending = append([]Batch(nil), l.pending[i:]...)
	metricPending.Set(int64(len(l.pending)))
}

// writeRow writes the incarnation row, without a condition because no other process
// writes it.
func (l *Ledger) writeRow(ctx context.Context) error {
	value, err := json.Marshal(l.row)
	if err != nil {
		return errors.Wrap(err, "account: encode incarnation")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	t := platform.Txn{Puts: []platform.Put{{Key: l.owner.rowKey(), Value: value}}}
	if _, err := l.services.Table.Commit(ctx, platform.PriorityAccount, t); err != nil {
		return errors.Wrap(err, "account: write incarnation row")
	}
	l.rowWrittenAt, l.rowWritten = l.now(), true
	return nil
}
