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
}

func (w *storeWriter) init() {
	w.newMinions, w.goneMinions = map[*holding.Minion]bool{}, map[jobs.Minion]bool{}
	w.obsoleteProgress, w.heldStarts = map[jobs.ID]bool{}, map[*jobs.Job]bool{}
	w.waiters, w.waveRows = map[jobs.ID][]func(){}, map[string][]byte{}
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
	if w.writing || t.now < w.notBefore || t.releasing {
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

// collectBatch collects the rows of the next write. The caller calls onStored once they are stored,
// or onFailed if the write had no effect.
func (t *Term) collectBatch() (puts []platform.Put, onStored, onFailed func()) {
	w := &t.writer
	w.urgent = false
	var done []func()
	keys := map[string]bool{}
	add := func(key string, value []byte, f func()) bool {
		if len(puts) >= maxBatchRows {
			w.urgent = true
			return false
		}
		if keys[key] {
			return true // the store rejects a transaction with two writes of one row; the next write has it
		}
		keys[key] = true
		puts = append(puts, platform.Put{Key: key, Value: value})
		done = append(done, f)
		return true
	}
	for m := range w.newMinions {
		row := t.minionRowOf(m)
		value, err := json.Marshal(row)
		if err != nil {
			t.log.Error().Err(err).Str("minion", string(m.ID)).Msg("Coordinator: row of minion could not be encoded.")
			continue
		}
		if !add(minionKey(m.ID), value, func() { t.minionStored(m, row) }) {
			break
		}
	}
	t.addRecentOrders(add)
	for key, value := range w.waveRows {
		stored := func() {
			if bytes.Equal(w.waveRows[key], value) { // it may have changed during the write
				delete(w.waveRows, key)
			}
		}
		if !add(key, value, stored) {
			break
		}
	}
	writing := t.addProgress(add)
	for id := range w.goneMinions {
		if !add(minionKey(id), nil, func() { delete(w.goneMinions, id) }) {
			break
		}
	}
	for id := range w.obsoleteProgress {
		if !add(ProgressKey(id), nil, func() { delete(w.obsoleteProgress, id) }) {
			break
		}
	}
	return puts, func() {
			for _, f := range done {
				f()
			}
		}, func() {
			for _, j := range writing {
				t.registry.WriteFailed(j)
				j.FinalStateSent = false // no other write is in progress
			}
		}
}

// minionStored records that a row of a minion is stored.
func (t *Term) minionStored(m *holding.Minion, row minionRow) {
	m.Recorded, t.needsPlan = true, true
	if t.minionRowOf(m).Ordered == row.Ordered { // it may have changed during the write
		delete(t.writer.newMinions, m)
	}
}

// addProgress adds the progress of jobs to a write and returns the added jobs. Progress that a start
// waits for comes first, then what a caller waits for, then all other in the order in which it
// changed. Not more than maxBatchRows-oldestRows rows are added before the oldest.
func (t *Term) addProgress(add func(string, []byte, func()) bool) (writing []*jobs.Job) {
	lazy := t.releasing || t.now >= t.writer.nextLazy
	if lazy {
		t.writer.nextLazy = t.now + lazyInterval
	}
	b := progressBatch{term: t, add: add, seen: map[*jobs.Job]bool{}}
	unsaved := t.registry.Unsaved()
	isStart := func(j *jobs.Job) bool { return !j.State().Final() && t.writer.heldStarts[j] }
	isFinal := func(j *jobs.Job) bool { return j.State().Final() }
	full := !b.addAll(unsaved, isStart, maxBatchRows-oldestRows) || !b.addAll(unsaved, isFinal, maxBatchRows-oldestRows) ||
		!b.addAll(unsaved, func(j *jobs.Job) bool { return lazy || isStart(j) || isFinal(j) }, maxBatchRows)
	if full {
		t.writer.nextLazy = t.now
	}
	return b.writing
}

// progressBatch collects the progress of jobs for one write.
type progressBatch struct {
	term *Term
	add  func(key string, value []byte, stored func()) bool
	// seen are the jobs that were added or need no row, rows counts those added.
	seen map[*jobs.Job]bool
	rows int
	// writing are the added jobs.
	writing []*jobs.Job
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
	s := progressVersion{j, j.LastChange(), j.State()}
	j.HasProgress = true
	value, err := jobs.EncodeProgress(j)
	if err != nil {
		t.log.Error().Err(err).Str("job", string(j.ID)).Msg("Coordinator: progress could not be encoded.")
		return true
	}
	if !b.add(ProgressKey(j.ID), value, func() { t.progressStored(s) }) {
		return false
	}
	b.rows++
	b.writing = append(b.writing, j)
	if s.state.Final() {
		j.FinalStateSent = true
	} else {
		t.registry.WriteStarted(j, j.MayRunOn())
	}
	return true
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

func (t *Term) sendWrite(puts []platform.Put, onStored, onFailed func()) {
	w := &t.writer
	w.writing, w.lastSent = true, t.now
	t.load.writes++
	t.load.rows += len(puts)
	t.run("write", func() {
		// The write has no timeout of its own: the next write is conditional on the row version
		// that this one leaves, so its outcome must be known unless the term ends.
		err := t.held.Commit(t.ctx, puts)
		until, version := t.held.ExpiresAt, t.held.Version
		t.post(func() {
			t.leaseVersion = version
			t.writeFinished(err, until, onStored, onFailed)
		})
	})
}

// writeFinished handles the outcome of a write. until is the new end of the lease.
func (t *Term) writeFinished(err error, until time.Duration, onStored, onFailed func()) {
	w := &t.writer
	w.writing = false
	t.load.writing += t.now - w.lastSent
	if took := t.now - w.lastSent; took > slowWriteThreshold {
		t.log.Info().Err(err).Dur("took", took).Int("waiting", len(w.heldStarts)).Msg("Coordinator: slow write; starts on new minions were delayed.")
	}
	switch {
	case err == nil:
		t.leaseUntil = until
		onStored()
		t.ordersChanged = true // starts were held until now
	case errors.Is(err, lease.ErrLost):
		t.log.Warn().Err(err).Msg("Coordinator: lease lost.")
		t.End(err)
	case errors.Is(err, context.Canceled):
	default:
		onFailed()
		counters.Add("writes_without_effect", 1)
		w.notBefore, w.urgent = t.now+writeRetryDelay, true
		t.log.Warn().Err(err).Dur("lease_left", t.leaseUntil-t.now).Msg("Coordinator: write had no effect.")
	}
}
