package coordinator

import (
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
	// renewEvery is how long the lease goes without a write; three fit into its time.
	renewEvery = 600 * time.Millisecond
	// lazyEvery is how long progress that nobody waits for may stay unstored. Minions keep
	// ends for as long; the bound for noting them is 4 s.
	lazyEvery = 400 * time.Millisecond
	// urgentGap is the least time between two writes that somebody waits for.
	urgentGap = 25 * time.Millisecond
	// writeBatch leaves room for the lease's row in a transaction of 100 entries.
	writeBatch = 95
	// slowWrite is how long a write may take without a line in the log; it takes 10 ms.
	slowWrite = 250 * time.Millisecond
	// retryPause is the pause after a write that had no effect.
	retryPause = 100 * time.Millisecond
)

// journal writes the progress of jobs behind their state in memory, one write at a time.
type journal struct {
	writing bool
	// last is when the last write was sent, notBefore when the next may be.
	last, notBefore time.Duration
	urgent          bool
	// newMinions are to be recorded, goneMinions to be forgotten.
	newMinions  map[*holding.Minion]bool
	goneMinions map[jobs.Minion]bool
	// waiters are run when a job's state is stored.
	waiters map[jobs.ID][]func()
	// starting are jobs with starts that wait until their progress names the minion.
	starting map[*jobs.Job]bool
	// lazyDue is when progress is written that nobody waits for.
	lazyDue time.Duration
	// spent are jobs whose progress says nothing more than their row.
	spent map[jobs.ID]bool
	// waveRows are rows of maintenance waves to write.
	waveRows map[string][]byte
}

func (w *journal) init() {
	w.newMinions, w.goneMinions = map[*holding.Minion]bool{}, map[jobs.Minion]bool{}
	w.spent, w.starting = map[jobs.ID]bool{}, map[*jobs.Job]bool{}
	w.waiters, w.waveRows = map[jobs.ID][]func(){}, map[string][]byte{}
}

// writeClass says who waits for a job's progress.
type writeClass int

const (
	writeStarts writeClass = iota
	writeFinal
	writeLazy
)

func (t *Term) writeClass(j *jobs.Job) writeClass {
	switch {
	case j.State().Final():
		return writeFinal
	case t.journal.starting[j]:
		return writeStarts
	}
	return writeLazy
}

// saved is one job's progress in a write.
type saved struct {
	job    *jobs.Job
	change uint64
	state  jobs.State
}

// writeJournal sends the next write if one is due.
func (t *Term) writeJournal() {
	w := &t.journal
	if w.writing || t.now < w.notBefore || t.leaving {
		return
	}
	due := w.last + renewEvery
	if len(t.book.Unsaved()) > 0 || len(w.spent) > 0 || len(w.waveRows) > 0 || len(w.goneMinions) > 0 {
		due = w.last + lazyEvery
	}
	if w.urgent || len(w.newMinions) > 0 {
		due = w.last + urgentGap
	}
	if t.now < due {
		return
	}
	t.sendWrite(t.batch())
}

// batch collects the rows of the next write.
// after notes that they are stored, failed that they are not.
func (t *Term) batch() (puts []platform.Put, after, failed func()) {
	w := &t.journal
	w.urgent = false
	var done []func()
	taken := map[string]bool{}
	add := func(key string, value []byte, f func()) bool {
		if len(puts) >= writeBatch {
			w.urgent = true
			return false
		}
		if taken[key] {
			return true // the store refuses a transaction with a row twice; it goes with the next
		}
		taken[key] = true
		puts = append(puts, platform.Put{Key: key, Value: value})
		done = append(done, f)
		return true
	}
	for m := range w.newMinions {
		value, err := json.Marshal(minionRow{Addr: m.Addr, Service: m.Service})
		if err != nil {
			t.log.Error().Err(err).Str("minion", string(m.ID)).Msg("Coordinator: minion not recorded.")
			continue
		}
		if !add(minionKey(m.ID), value, func() { m.Recorded, t.dirty = true, true; delete(w.newMinions, m) }) {
			break
		}
	}
	t.addDuties(add)
	for key, value := range w.waveRows {
		if !add(key, value, func() { delete(w.waveRows, key) }) {
			break
		}
	}
	writing := t.batchJobs(add)
	for id := range w.goneMinions {
		if !add(minionKey(id), nil, func() { delete(w.goneMinions, id) }) {
			break
		}
	}
	for id := range w.spent {
		if !add(ProgressKey(id), nil, func() { delete(w.spent, id) }) {
			break
		}
	}
	return puts, func() {
			for _, f := range done {
				f()
			}
		}, func() {
			for _, j := range writing {
				t.book.WriteFailed(j)
			}
		}
}

// batchJobs adds the progress of jobs and returns them: first what a start waits for, then
// what a caller waits for, then what only a successor would read. In a burst there are more
// of the last than a write holds.
func (t *Term) batchJobs(add func(string, []byte, func()) bool) (writing []*jobs.Job) {
	lazy := t.leaving || t.now >= t.journal.lazyDue
	if lazy {
		t.journal.lazyDue = t.now + lazyEvery
	}
	for _, class := range []writeClass{writeStarts, writeFinal, writeLazy} {
		for _, j := range t.book.Unsaved() {
			if t.writeClass(j) != class || class == writeLazy && !lazy {
				continue
			}
			if j.FinalStateStored() {
				// Ends of runs that were still going on add nothing to a final state.
				t.book.Saved(j, j.LastChange(), j.State())
				continue
			}
			s := saved{j, j.LastChange(), j.State()}
			j.HasProgress = true
			value, err := jobs.EncodeProgress(j)
			if err != nil {
				t.log.Error().Err(err).Str("job", string(j.ID)).Msg("Coordinator: progress not stored.")
				continue
			}
			if !add(ProgressKey(j.ID), value, func() { t.stored(s) }) {
				t.journal.lazyDue = t.now
				return writing
			}
			if !s.state.Final() {
				t.book.WriteStarted(j, j.MayRunOn())
				writing = append(writing, j)
			}
		}
	}
	return writing
}

// stored notes that a job's progress is in the store.
func (t *Term) stored(s saved) {
	t.book.Saved(s.job, s.change, s.state)
	if !s.job.Unsaved() {
		delete(t.journal.starting, s.job)
	}
	if s.state.Final() {
		for _, f := range t.journal.waiters[s.job.ID] {
			f()
		}
		delete(t.journal.waiters, s.job.ID)
		t.endedRow(s.job)
	}
}

func (t *Term) sendWrite(puts []platform.Put, after, failed func()) {
	w := &t.journal
	w.writing, w.last = true, t.now
	t.run("write", func() {
		// The write goes on until its outcome is known or the term is over: the next one
		// depends on the version that it leaves.
		err := t.held.Commit(t.ctx, puts)
		until, version := t.held.ExpiresAt, t.held.Version
		t.post(func() {
			t.version = version
			t.wrote(err, until, after, failed)
		})
	})
}

func (t *Term) wrote(err error, until time.Duration, after, failed func()) {
	w := &t.journal
	w.writing = false
	if took := t.now - w.last; took > slowWrite {
		t.log.Info().Err(err).Dur("took", took).Int("waiting", len(w.starting)).Msg("Coordinator: slow write; starts on new minions waited for it.")
	}
	switch {
	case err == nil:
		t.valid = until
		after()
	case errors.Is(err, lease.ErrLost):
		t.log.Warn().Err(err).Msg("Coordinator: lease lost.")
		t.End(err)
	case errors.Is(err, context.Canceled):
	default:
		failed()
		counters.Add("writes_without_effect", 1)
		w.notBefore, w.urgent = t.now+retryPause, true
		t.log.Warn().Err(err).Dur("lease_left", t.valid-t.now).Msg("Coordinator: write had no effect.")
	}
}
