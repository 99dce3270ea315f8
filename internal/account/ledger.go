package account

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	// copyInterval is how often facts are copied to a peer; it bounds the time that a
	// killed entry VM can lose.
	copyInterval = time.Second
	// storeInterval is how often batches are stored when fewer than storeFacts wait. One
	// object per entry VM every 5 s keeps eight entry VMs at 1.6 store writes a second.
	storeInterval = 5 * time.Second
	storeFacts    = 500
	// storeCheck is how often it is looked whether storing is due.
	storeCheck = time.Second
	// maxObjectFacts bounds one object when batches are joined after an outage.
	maxObjectFacts = 5000
	// rowInterval is how often the incarnation row is updated.
	rowInterval = 10 * time.Second
	// storeTimeout bounds one attempt to store.
	storeTimeout = 3 * time.Second
)

// IncarnationRow is the value of the row "incarnation/<entry>/<incarnation>".
type IncarnationRow struct {
	Owner
	Started time.Time `json:"started"`
	// StoredUntil is the time that the stored batches cover.
	StoredUntil time.Time `json:"stored_until"`
	// LastSequence is the last stored sequence.
	LastSequence uint64 `json:"last_sequence"`
	// Closed is set by a clean stop, after every batch was stored.
	Closed bool `json:"closed"`
}

func (o Owner) rowKey() string {
	return incarnationRowPrefix + string(o.Entry) + "/" + string(o.Incarnation)
}

// Replicator keeps copies of unstored batches with another entry VM.
type Replicator interface {
	// Target names the peer that copies go to now; empty if there is none.
	Target() model.EntryVM
	// Hold copies an encoded batch to a peer. Sequence 0 only extends the covered time.
	Hold(ctx context.Context, sequence uint64, payload []byte) error
	// Drop releases the copies up to and including sequence.
	Drop(ctx context.Context, sequence uint64)
}

// Ledger collects the facts of one process, copies them to a peer and stores them.
// Record and Event never block on the network.
type Ledger struct {
	owner    Owner
	services platform.Services
	copier   Replicator
	log      zerolog.Logger
	now      func() time.Time

	mu      sync.Mutex // guards the fields below
	open    Batch
	pending []Batch // cut, not yet stored, in sequence order

	// Used by the goroutine that copies only: the last sequence copied to copyTarget.
	copied     uint64
	copyTarget model.EntryVM

	storeMu sync.Mutex // serializes storing; guards the fields below
	row     IncarnationRow
	rowAt   time.Time
	// rowWritten is set once the row is known to exist.
	rowWritten bool
}

// Metrics of the account, published once per process.
var (
	metricFacts   = expvar.NewInt("account_facts")
	metricStored  = expvar.NewInt("account_batches_stored")
	metricPending = expvar.NewInt("account_batches_pending")
	metricFailed  = expvar.NewInt("account_store_failures")
	metricCopies  = expvar.NewInt("account_copy_failures")
)

// NewLedger returns the ledger of this process. now is the source of time.
func NewLedger(owner Owner, s platform.Services, c Replicator, log zerolog.Logger, now func() time.Time) *Ledger {
	l := &Ledger{owner: owner, services: s, copier: c, log: log, now: now}
	l.open = Batch{Owner: owner, First: 1, Last: 1}
	l.row = IncarnationRow{Owner: owner, Started: now()}
	return l
}

// Record adds one fact about a job.
func (l *Ledger) Record(r model.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open.Records = append(l.open.Records, r)
	metricFacts.Add(1)
}

// Event adds one fact about the fleet.
func (l *Ledger) Event(e model.FleetEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open.Events = append(l.open.Events, e)
	metricFacts.Add(1)
}

// Run copies and stores until ctx ends. It returns after the current attempts. Copies have
// a goroutine of their own, because a store that does not answer holds each attempt up for
// longer than the copy interval.
func (l *Ledger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { every(ctx, copyInterval, func() { l.copyOpen(ctx) }) })
	lastStore := l.now()
	if err := l.announce(ctx); err != nil {
		l.log.Warn().Err(err).Msg("Incarnation row not written; it will be retried.")
	}
	every(ctx, storeCheck, func() {
		if l.pendingFacts() < storeFacts && l.now().Sub(lastStore) < storeInterval {
			return
		}
		l.cut()
		if err := l.storePending(ctx); err != nil {
			// The next check tries again: the store may be back only for a moment.
			l.log.Warn().Err(err).Msg("Batch not stored; it will be retried.")
			return
		}
		lastStore = l.now()
	})
}

// every calls f at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// Flush stores every fact recorded so far.
// Errors: those of platform.Objects and platform.Table; unstored facts are kept.
func (l *Ledger) Flush(ctx context.Context) error {
	l.cut()
	return l.storePending(ctx)
}

// Close stores every fact and marks the incarnation as closed.
// Errors: as Flush; the incarnation then stays open and the report shows a gap unless
// a peer stores the copies.
func (l *Ledger) Close(ctx context.Context) error {
	if err := l.Flush(ctx); err != nil {
		return err
	}
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	l.row.Closed = true
	return l.writeRow(ctx)
}

// CoversUntil returns the time up to which the stored batches cover this process.
func (l *Ledger) CoversUntil() time.Time {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	return l.row.StoredUntil
}

// Unstored returns the facts that are not stored yet.
func (l *Ledger) Unstored() []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := append([]Batch(nil), l.pending...)
	open := l.open
	open.CoversUntil = l.now()
	open.Records = append([]model.Record(nil), open.Records...)
	open.Events = append([]model.FleetEvent(nil), open.Events...)
	return append(out, open)
}

// cut closes the open batch and returns it, or a coverage-only batch if it is empty.
func (l *Ledger) cut() (b Batch, facts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open.CoversUntil = l.now()
	if l.open.FactCount() == 0 {
		return l.open, false
	}
	b = l.open
	l.pending = append(l.pending, b)
	metricPending.Set(int64(len(l.pending)))
	next := b.Last + 1
	l.open = Batch{Owner: l.owner, First: next, Last: next}
	return b, true
}

func (l *Ledger) pendingFacts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.open.FactCount()
	for _, b := range l.pending {
		n += b.FactCount()
	}
	return n
}

// copyOpen copies every batch that the current peer does not hold yet, or only the
// covered time if there is none.
func (l *Ledger) copyOpen(ctx context.Context) {
	open, _ := l.cut()
	target := l.copier.Target()
	if target == "" {
		return
	}
	if target != l.copyTarget {
		l.copyTarget, l.copied = target, 0
	}
	ctx, cancel := context.WithTimeout(ctx, copyInterval)
	defer cancel()
	batches := l.uncopied()
	if len(batches) == 0 {
		l.copyOne(ctx, 0, open)
		return
	}
	for _, b := range batches {
		if !l.copyOne(ctx, b.Last, b) {
			return
		}
		l.copied = b.Last
	}
}

func (l *Ledger) uncopied() []Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := 0
	for i < len(l.pending) && l.pending[i].Last <= l.copied {
		i++
	}
	return append([]Batch(nil), l.pending[i:]...)
}

func (l *Ledger) copyOne(ctx context.Context, sequence uint64, b Batch) bool {
	payload, err := b.Encode()
	if err != nil {
		l.log.Error().Err(err).Msg("Batch could not be encoded.")
		return false
	}
	if err := l.copier.Hold(ctx, sequence, payload); err != nil {
		metricCopies.Add(1)
		l.log.Debug().Err(err).Msg("Batch not copied to a peer.")
		return false
	}
	return true
}

// announce writes the incarnation row before the first fact is stored.
func (l *Ledger) announce(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	return l.writeRow(ctx)
}

// storePending stores the pending batches in order, joined into objects of at most
// maxObjectFacts, so that an outage is not followed by one write per second of it.
func (l *Ledger) storePending(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	for {
		b, ok := l.nextObject()
		if !ok {
			break
		}
		if err := l.storeOne(ctx, b); err != nil {
			metricFailed.Add(1)
			return err
		}
		l.dropStored(b.Last)
		l.row.LastSequence, l.row.StoredUntil = b.Last, b.CoversUntil
		metricStored.Add(1)
		l.copier.Drop(ctx, b.Last)
	}
	if now := l.now(); l.nothingOpen() {
		l.row.StoredUntil = now
	}
	if l.rowWritten && l.now().Sub(l.rowAt) < rowInterval {
		return nil
	}
	return l.writeRow(ctx)
}

func (l *Ledger) nothingOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open.FactCount() == 0 && len(l.pending) == 0
}

func (l *Ledger) storeOne(ctx context.Context, b Batch) error {
	data, err := b.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err = l.services.Objects.Put(ctx, platform.PriorityAccount, b.ObjectName(), data)
	return errors.Wrapf(err, "account: store %s", b.ObjectName())
}

// nextObject joins the first pending batches up to maxObjectFacts. The result is
// stable while the batches stay pending only if the same batches are joined again;
// a different join after a lost answer stores overlapping objects, which the report
// merges.
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

func (l *Ledger) dropStored(last uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := 0
	for i < len(l.pending) && l.pending[i].Last <= last {
		i++
	}
	l.pending = append([]Batch(nil), l.pending[i:]...)
	metricPending.Set(int64(len(l.pending)))
}

// writeRow writes the incarnation row. Only this process writes it, so it needs no condition.
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
	l.rowAt, l.rowWritten = l.now(), true
	return nil
}
