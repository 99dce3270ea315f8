package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
)

const (
	// retentionMargin is how much longer than asked for a job's state is kept.
	retentionMargin = 30 * time.Second
	// forgetEvery is how often jobs that ended long ago are looked for.
	forgetEvery = 10 * time.Second
	// endedEvery is how often rows of ended jobs are written, a transaction a shard. A
	// successor reads what is not written yet as a whole: 400 jobs of 3 KB on a grown site.
	endedEvery = 4 * time.Second
	// endedBatch bounds the jobs of a transaction: each has up to two rows.
	endedBatch = 45
	// endedTimeout bounds a transaction, with a store that is slow by a factor of 60.
	endedTimeout = 1500 * time.Millisecond
)

// endedRows shrinks and removes the rows of jobs in a final state, so that memory, store and
// the time of a takeover do not grow with all jobs that ever were. Jobs are spread over
// shards, so these transactions do not have the lease as their condition. They need none: a
// job is put here once its final state is stored under the lease, and that never changes.
// Its progress, which has the state, goes after its row has it as well.
type endedRows struct {
	// due are the jobs whose rows have to be written, by shard.
	due     map[int]map[jobs.ID]*jobs.Job
	writing map[int]bool
	// next is when rows are written again, nextOld when old jobs are looked for.
	next, nextOld time.Duration
}

func (e *endedRows) init() {
	e.due, e.writing = map[int]map[jobs.ID]*jobs.Job{}, map[int]bool{}
}

// endedRow has the row of a job written whose final state is stored.
func (t *Term) endedRow(j *jobs.Job) {
	shard := platform.Shard(JobKey(j.ID))
	if t.rows.due[shard] == nil {
		t.rows.due[shard] = map[jobs.ID]*jobs.Job{}
	}
	t.rows.due[shard][j.ID] = j
}

// old reports whether nobody may ask for a job's state any more.
func (t *Term) old(j *jobs.Job) bool {
	return j.State().Final() && !j.Unsaved() && t.now > j.EndedAt+t.d.Limits.Retention+retentionMargin && len(j.Active()) == 0
}

// writeEnded sends what is due.
func (t *Term) writeEnded() {
	e := &t.rows
	if t.now >= e.nextOld {
		e.nextOld = t.now + forgetEvery
		for _, j := range t.book.All() {
			if t.old(j) {
				t.endedRow(j)
			}
		}
	}
	if t.now < e.next {
		return
	}
	e.next = t.now + endedEvery
	for shard, due := range e.due {
		if len(due) > 0 && !e.writing[shard] {
			t.writeShard(shard)
		}
	}
}

func (t *Term) writeShard(shard int) {
	var puts []platform.Put
	var done []func()
	n := 0
	for id, j := range t.rows.due[shard] {
		if n++; n > endedBatch {
			break
		}
		var value []byte
		forget := t.old(j)
		if !forget {
			var err error
			if value, err = json.Marshal(j.Tombstone(j.State())); err != nil {
				t.log.Error().Err(err).Str("job", string(id)).Msg("Coordinator: row of an ended job not written.")
				continue
			}
		}
		puts = append(puts, platform.Put{Key: JobKey(id), Value: value})
		cancel := j.HasCancel
		if cancel {
			puts = append(puts, platform.Put{Key: CancelKey(id)})
		}
		done = append(done, func() { t.endedWritten(shard, j, forget, cancel) })
	}
	t.rows.writing[shard] = true
	t.async(endedTimeout, func(ctx context.Context) func() {
		_, err := t.d.Table.Commit(ctx, platform.PriorityBackground, platform.Txn{Puts: puts})
		return func() {
			t.rows.writing[shard] = false
			if err != nil {
				t.log.Info().Err(err).Int("shard", shard).Int("jobs", len(done)).Msg("Coordinator: rows of ended jobs not written yet.")
				return
			}
			for _, f := range done {
				f()
			}
		}
	})
}

func (t *Term) endedWritten(shard int, j *jobs.Job, forgotten, cancel bool) {
	delete(t.rows.due[shard], j.ID)
	if cancel {
		j.HasCancel = false
	}
	if j.HasProgress {
		j.HasProgress = false
		t.journal.spent[j.ID] = true
	}
	if forgotten {
		t.book.Remove(j.ID)
	}
}
