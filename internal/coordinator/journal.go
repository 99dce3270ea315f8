package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/platform"
	"boragepulley/internal/relay"
)

const (
	// renewInterval is the longest time without a write, each of which renews the lease. Three
	// intervals fit into the lease's TTL.
	renewInterval = 600 * time.Millisecond
	// lazyInterval is how long progress that nobody waits for may stay unstored. Minions keep ended
	// runs until their progress is stored; ends must be acknowledged within 4 s.
	lazyInterval = 400 * time.Millisecond
	// urgentInterval is the least time between two writes that a caller or a start waits for.
	urgentInterval = 25 * time.Millisecond
	// maxBatchRows leaves space for the lease's row in a transaction of at most 100 rows.
	maxBatchRows = 95
	// oldestRows of them are for the progress that has been unsaved for longest, whoever waits for it:
	// minions list ended runs in each report until their progress is stored, and a minion's ends are
	// acknowledged in their order.
	oldestRows = 24
	// maxBatchBytes bounds the values of a write; a single row may be larger. The store takes 1 MB, and
	// the link of a small entry VM carries 10 Mbit/s: a write must not delay the renewal of the lease.
	maxBatchBytes = 256 << 10
	// refusedRetry is when a row that the store refuses is tried again, unless its value is smaller by then.
	refusedRetry = 30 * time.Second
	// refusalsToLeaveOut is how often the store must have refused a row alone and taken a write without it.
	refusalsToLeaveOut = 2
	// slowWriteThreshold is the duration from which a write is logged as slow. A write usually
	// takes 10 ms.
	slowWriteThreshold = 250 * time.Millisecond
	// writeRetryDelay is the pause after a write that had no effect.
	writeRetryDelay = 100 * time.Millisecond
)

// storeWriter writes the rows of the term under its lease, one transaction at a time. The stored
// progress of jobs lags behind their state in memory.
type storeWriter struct {
	writing bool
	// lastSent is when the last write was sent, notBefore the earliest time of the next one.
	lastSent, notBefore time.Duration
	urgent              bool
	// newMinions are minions to be recorded, goneMinions those whose rows are to be removed.
	newMinions  map[*holding.Minion]bool
	goneMinions map[jobs.Minion]bool
	// waiters are called when a job's final state is stored.
	waiters map[jobs.ID][]func()
	// heldStarts are jobs with starts that are held back until the stored progress names the
	// minion.
	heldStarts map[*jobs.Job]bool
	// nextLazy is the next time at which progress is written that nobody waits for.
	nextLazy time.Duration
	// obsoleteProgress are jobs whose progress row holds nothing that their job row does not.
	obsoleteProgress map[jobs.ID]bool
	// waveRows are the rows of maintenance waves to be written, by key.
	waveRows map[string][]byte
	// maxRows bounds the rows of the next write. It is lower than maxBatchRows while a row is searched
	// for because of which the store refused a write.
	maxRows int
	// suspect is a row that the store has refused alone, with the reason; nil if there is none. The next write
	// has no rows: if it is refused as well, the row is not the cause. refusedAlone counts, by key, how often it
	// was not: the store may have begun to take writes again in between.
	suspect      *suspectRow
	refusedAlone map[string]int
	// refused are the rows that the store does not take.
	refused map[string]refusedRow
}

type suspectRow struct {
	put    platform.Put
	reason error
}

// refusedRow is a row that the store does not take, other than because it is away.
type refusedRow struct {
	size  int
	until time.Duration
}

func (w *storeWriter) init() {
	w.newMinions, w.goneMinions = map[*holding.Minion]bool{}, map[jobs.Minion]bool{}
	w.obsoleteProgress, w.heldStarts = map[jobs.ID]bool{}, map[*jobs.Job]bool{}
	w.waiters, w.waveRows = map[jobs.ID][]func(){}, map[string][]byte{}
	w.maxRows, w.refused, w.refusedAlone = maxBatchRows, map[string]refusedRow{}, map[string]int{}
}

// progressVersion is the version of a job's progress that a write contains.
type progressVersion struct {
	job    *jobs.Job
	change uint64
	state  jobs.State
}

// writeIfDue sends the next write if one is due.
func (t *Term) writeIfDue() {
	w := &t.writer
	if w.writing || t.now < w.notBefore || t.releasing || t.now < t.path.pausedUntil {
		return
	}
	due := w.lastSent + renewInterval
	if t.registry.UnsavedCount() > 0 || len(w.obsoleteProgress) > 0 || len(w.waveRows) > 0 || len(w.goneMinions) > 0 {
		due = w.lastSent + lazyInterval
	}
	if w.urgent || len(w.newMinions) > 0 {
		due = w.lastSent + urgentInterval
	}
	if t.now < due {
		return
	}
	t.sendWrite(t.collectBatch())
}

// batch collects the rows of a write.
type batch struct {
	term  *Term
	puts  []platform.Put
	done  []func()
	keys  map[string]bool
	bytes int
	// full is set if a row had no space.
	full bool
	// writing are the jobs whose progress is in the batch.
	writing []*jobs.Job
}

// addResult tells what became of a row that was to be added to a write.
type addResult int

const (
	// rowAdded: the row is in the write, or the next one has it.
	rowAdded addResult = iota
	// rowRefused: the store does not take the row.
	rowRefused
	// batchFull: the write has no space left.
	batchFull
)

// add adds a row; done is called once it is stored.
func (b *batch) add(key string, value []byte, done func()) addResult {
	w := &b.term.writer
	if b.term.isRefused(key, len(value)) {
		return rowRefused
	}
	if len(b.puts) >= w.maxRows || len(b.puts) > 0 && b.bytes+len(key)+len(value) > maxBatchBytes {
		w.urgent, b.full = true, true
		return batchFull
	}
	if b.keys[key] {
		return rowAdded // the store rejects a transaction with two writes of one row; the next write has it
	}
	b.keys[key] = true
	b.puts, b.done, b.bytes = append(b.puts, platform.Put{Key: key, Value: value}), append(b.done, done), b.bytes+len(key)+len(value)
	return rowAdded
}

// isRefused reports whether the store does not take a row of the given size.
func (t *Term) isRefused(key string, size int) bool {
	w := &t.writer
	if r, ok := w.refused[key]; ok {
		if t.now < r.until && size >= r.size {
			return true
		}
		delete(w.refused, key)
	}
	if size > t.deps.Limits.MaxRowBytes() {
		t.refuseRow(key, size, nil)
		return true
	}
	return false
}

// refuseRow records that the store does not take a row, because of its size or for the reason in err.
func (t *Term) refuseRow(key string, size int, err error) {
	t.writer.refused[key] = refusedRow{size, t.now + refusedRetry}
	counters.Add("rows_refused", 1)
	t.log.Error().Err(err).Str("row", key).Int("bytes", size).Int("limit", t.deps.Limits.MaxRowBytes()).Msg("Coordinator: the store does not take a row; it is left out of writes.")
}

// writeRefused handles a write that the store refuses for good, because of one of its rows or because
// of all together. The next write has half of the rows, until the row is found. It is left out once a
// write without it has taken effect.
func (t *Term) writeRefused(b *batch, err error) {
	w := &t.writer
	w.urgent, w.notBefore = true, t.now
	t.log.Warn().Err(err).Int("rows", len(b.puts)).Int("bytes", b.bytes).Msg("Coordinator: the store refused a write.")
	switch {
	case len(b.puts) == 0: // the row of the lease alone: no row of the term is the cause
		w.suspect, w.notBefore = nil, t.now+writeRetryDelay
	case len(b.puts) == 1:
		w.suspect = &suspectRow{b.puts[0], err}
	default:
		w.maxRows = len(b.puts) / 2
	}
}

// collectBatch collects the rows of the next write.
func (t *Term) collectBatch() *batch {
	w := &t.writer
	w.urgent = false
	b := &batch{term: t, keys: map[string]bool{}}
	if w.suspect != nil {
		return b
	}
	var token uint64
	for m := range w.newMinions {
		row, stored := t.minionRowOf(m), func() {}
		if m.Unfenced && m.Token == 0 {
			if token == 0 {
				token = t.held.ReserveToken()
			}
			restarts, reserved := m.Restarts, token
			stored = func() { t.raiseToken(m, restarts, reserved) }
		}
		value, err := json.Marshal(row)
		if err != nil {
			t.log.Error().Err(err).Str("minion", string(m.ID)).Msg("Coordinator: row of minion could not be encoded.")
			continue
		}
		if b.add(minionKey(m.ID), value, func() { stored(); t.minionStored(m, row) }) == batchFull {
			break
		}
	}
	t.addRecentOrders(b)
	for key, value := range w.waveRows {
		stored := func() {
			if bytes.Equal(w.waveRows[key], value) { // it may have changed during the write
				delete(w.waveRows, key)
			}
		}
		if b.add(key, value, stored) == batchFull {
			break
		}
	}
	t.addProgress(b)
	for id := range w.goneMinions {
		if b.add(minionKey(id), nil, func() { delete(w.goneMinions, id) }) == batchFull {
			break
		}
	}
	for id := range w.obsoleteProgress {
		if b.add(ProgressKey(id), nil, func() { delete(w.obsoleteProgress, id) }) == batchFull {
			break
		}
	}
	return b
}

// stored is called once the rows are stored.
func (b *batch) stored() {
	for _, f := range b.done {
		f()
	}
	w := &b.term.writer
	w.maxRows = min(maxBatchRows, 2*w.maxRows)
	if len(w.refusedAlone) > 0 {
		for _, p := range b.puts {
			delete(w.refusedAlone, p.Key)
		}
	}
	if s := w.suspect; s != nil {
		w.suspect, w.urgent = nil, true
		if w.refusedAlone[s.put.Key]++; w.refusedAlone[s.put.Key] == refusalsToLeaveOut {
			delete(w.refusedAlone, s.put.Key)
			b.term.refuseRow(s.put.Key, len(s.put.Value), s.reason)
		}
	}
}

// failed is called if the write had no effect.
func (b *batch) failed() {
	for _, j := range b.writing {
		b.term.registry.WriteFailed(j)
		j.FinalStateSent = false // no other write is in progress
	}
}

// minionStored records that a row of a minion is stored.
func (t *Term) minionStored(m *holding.Minion, row minionRow) {
	m.Recorded, t.needsPlan = true, true
	m.LongLeasesRecorded, m.InDoubtRecorded = row.LongLeases, row.InDoubt
	now := t.minionRowOf(m)
	now.LeasesLeft, now.Epoch = row.LeasesLeft, row.Epoch // the time left changes with each call
	if tokenDue := m.Unfenced && m.Token == 0; now.equal(row) && !tokenDue {
		delete(t.writer.newMinions, m) // unless it has changed during the write
	}
}

// raiseToken raises the fencing token for a minion, once the token is reserved in the stored lease. restarts
// is the number of the minion's restarts for which it was reserved.
func (t *Term) raiseToken(m *holding.Minion, restarts int, token uint64) {
	if m.Restarts != restarts {
		return
	}
	t.orders.RaiseToken(m.ID, token)
	m.Token = token
	m.NextPoll = t.now
	t.log.Info().Str("minion", string(m.ID)).Int64("born", m.Incarnation).Uint64("token", token).Msg("Coordinator: fencing token raised after a restart.")
}

// addProgress adds the progress of jobs to a write and returns the added jobs. Progress that a start
// waits for comes first, then what a caller waits for, then all other in the order in which it
// changed. Not more than maxBatchRows-oldestRows rows are added before the oldest.
func (t *Term) addProgress(to *batch) {
	lazy := t.releasing || t.now >= t.writer.nextLazy
	if lazy {
		t.writer.nextLazy = t.now + lazyInterval
	}
	b := progressBatch{batch: to, seen: map[*jobs.Job]bool{}}
	unsaved := t.registry.Unsaved()
	isStart := func(j *jobs.Job) bool { return !j.State().Final() && t.writer.heldStarts[j] }
	isFinal := func(j *jobs.Job) bool { return j.State().Final() }
	full := !b.addAll(unsaved, isStart, maxBatchRows-oldestRows) || !b.addAll(unsaved, isFinal, maxBatchRows-oldestRows) ||
		!b.addAll(unsaved, func(j *jobs.Job) bool { return lazy || isStart(j) || isFinal(j) }, maxBatchRows)
	if full {
		t.writer.nextLazy = t.now
	}
}

// progressBatch adds the progress of jobs to a write.
type progressBatch struct {
	*batch
	// seen are the jobs that were added or need no row, rows counts those added.
	seen map[*jobs.Job]bool
	rows int
}

// addAll adds the progress of jobs for which f returns true, as long as the batch has fewer than the
// given number of rows. It returns false if the write is full.
func (b *progressBatch) addAll(unsaved []*jobs.Job, f func(*jobs.Job) bool, rows int) bool {
	for _, j := range unsaved {
		if b.rows >= rows && rows < maxBatchRows {
			return true
		}
		if b.seen[j] || !f(j) {
			continue
		}
		if !b.addJob(j) {
			return false
		}
	}
	return true
}

// addJob adds the progress of a job. It returns false if the write is full.
func (b *progressBatch) addJob(j *jobs.Job) bool {
	t := b.term
	b.seen[j] = true
	if j.FinalStateStored() {
		// The ends of runs that outlived the job add nothing to its final state.
		t.registry.Saved(j, j.LastChange(), j.State())
		return true
	}
	if !j.State().Final() && t.startsRefused(j) {
		return true // not encoded again before the next try
	}
	s := progressVersion{j, j.LastChange(), j.State()}
	var value []byte
	var err error
	if !t.isolated(j, "encoding the progress of a job", func() { value, err = jobs.EncodeProgress(j) }) {
		return true
	}
	if err != nil {
		t.log.Error().Err(err).Str("job", string(j.ID)).Msg("Coordinator: progress could not be encoded.")
		return true
	}
	switch b.add(ProgressKey(j.ID), value, func() { t.progressStored(s) }) {
	case batchFull:
		return false
	case rowRefused:
		t.dropHeldStarts(j)
		return true
	}
	j.HasProgress = true
	b.rows++
	b.writing = append(b.writing, j)
	if s.state.Final() {
		j.FinalStateSent = true
	} else {
		t.registry.WriteStarted(j, j.MayRunOn())
	}
	return true
}

// dropHeldStarts takes back the starts of a job that wait for a row which the store does not take. Its
// tasks wait until that is tried again; the minions are free for those of other jobs.
func (t *Term) dropHeldStarts(j *jobs.Job) {
	delete(t.writer.heldStarts, j)
	for _, task := range j.Active() {
		if start := t.pendingStarts[task]; start != nil && start.tries == 0 {
			t.requeueBecause(task, "start_not_sent_progress_refused")
		}
	}
}

// startsRefused reports whether no task of a job may start, because the store does not take its progress.
func (t *Term) startsRefused(j *jobs.Job) bool {
	r, ok := t.writer.refused[ProgressKey(j.ID)]
	return ok && t.now < r.until
}

// progressStored marks a version of a job's progress as stored.
func (t *Term) progressStored(s progressVersion) {
	t.registry.Saved(s.job, s.change, s.state)
	if !s.job.Unsaved() {
		delete(t.writer.heldStarts, s.job)
	}
	if s.state.Final() {
		for _, f := range t.writer.waiters[s.job.ID] {
			f()
		}
		delete(t.writer.waiters, s.job.ID)
		t.queueCompaction(s.job)
	}
}

func (t *Term) sendWrite(b *batch) {
	w := &t.writer
	w.writing, w.lastSent = true, t.now
	t.reserveRuns()
	t.path.writeSent(t.now)
	t.load.writes++
	t.load.rows += len(b.puts)
	t.run("write", func() {
		// The write has no timeout of its own: the next write is conditional on the row version
		// that this one leaves, so its outcome must be known unless the term ends.
		ctx, route := relay.WithRoute(t.ctx)
		err := t.held.Commit(ctx, b.puts)
		until, version, token := t.held.ExpiresAt, t.held.Version, t.held.LastToken()
		t.post(func() {
			t.leaseVersion = version
			if err == nil {
				t.ownRuns.stored(token)
			}
			t.observeWrite(err, route.Relayed())
			t.writeFinished(b, err, until)
		})
	})
}

// writeFinished handles the outcome of a write. until is the new end of the lease.
func (t *Term) writeFinished(b *batch, err error, until time.Duration) {
	w := &t.writer
	w.writing = false
	t.load.writing += t.now - w.lastSent
	if took := t.now - w.lastSent; took > slowWriteThreshold {
		t.log.Info().Err(err).Dur("took", took).Int("waiting", len(w.heldStarts)).Msg("Coordinator: slow write; starts on new minions were delayed.")
	}
	switch {
	case err == nil:
		t.leaseUntil = until
		b.stored()
		t.ordersChanged = true // starts were held until now
	case errors.Is(err, lease.ErrLost):
		t.log.Warn().Err(err).Msg("Coordinator: lease lost.")
		t.End(err)
	case errors.Is(err, context.Canceled):
	case errors.Is(err, platform.ErrRejected):
		b.failed()
		counters.Add("writes_refused", 1)
		t.writeRefused(b, err)
	default:
		b.failed()
		counters.Add("writes_without_effect", 1)
		w.notBefore, w.urgent = t.now+writeRetryDelay, true
		t.log.Warn().Err(err).Dur("lease_left", t.leaseUntil-t.now).Msg("Coordinator: write had no effect.")
	}
}
