package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
)

const (
	// retentionMargin is added to the retention time of a job's state.
	retentionMargin = 30 * time.Second
	// expiryInterval is how often jobs past their retention time are searched for.
	expiryInterval = 10 * time.Second
	// compactInterval is how often rows of ended jobs are compacted, in one transaction per shard.
	// A successor has to read rows that are not compacted yet in full: 400 jobs of 3 KB on a large
	// site.
	compactInterval = 4 * time.Second
	// compactBatch limits the jobs per transaction. Each job has up to two rows.
	compactBatch = 45
	// compactTimeout bounds a transaction. It allows for a store that is 60 times slower than
	// usual.
	compactTimeout = 1500 * time.Millisecond
)

// rowCompactor shrinks, and after the retention time removes, the rows of jobs in a final state,
// so that memory, the store and the duration of a takeover do not grow with every job that ever
// ran. Jobs are spread over shards, so these transactions cannot be conditional on the lease. They
// need no condition: a job is queued here only after its final state, which never changes, was
// stored under the lease. A withdrawal is an exception: once it is removed a job can be stored under its
// id, so it is removed only as it was read. The progress row, which holds that state, is removed after the job's row
// holds it as well.
type rowCompactor struct {
	// due contains the jobs whose rows have to be compacted, by shard.
	due     map[int]map[jobs.ID]*jobs.Job
	writing map[int]bool
	// oneByOne are the shards of which the store refused a transaction: each job is then written alone.
	oneByOne map[int]bool
	// nextRun is the time of the next compaction, nextExpiry that of the next search for expired
	// jobs.
	nextRun, nextExpiry time.Duration
}

func (c *rowCompactor) init() {
	c.due, c.writing, c.oneByOne = map[int]map[jobs.ID]*jobs.Job{}, map[int]bool{}, map[int]bool{}
}

// queueCompaction schedules the compaction of a job whose final state is stored.
func (t *Term) queueCompaction(j *jobs.Job) {
	shard := platform.Shard(JobKey(j.ID))
	if t.compactor.due[shard] == nil {
		t.compactor.due[shard] = map[jobs.ID]*jobs.Job{}
	}
	t.compactor.due[shard][j.ID] = j
}

// maxWriteDelay is how late a write may be performed that had no answer. The users' documentation speaks of
// seconds.
const maxWriteDelay = time.Minute

// WithdrawalTime is how long the withdrawal of a job is kept: no attempt to store the job that began before
// it can be performed later.
func (l Limits) WithdrawalTime() time.Duration {
	return max(l.Retention, maxWriteDelay) + retentionMargin
}

// expired reports whether the retention time of a job's state has passed.
func (t *Term) expired(j *jobs.Job) bool {
	kept := t.deps.Limits.Retention + retentionMargin
	if j.Withdrawn {
		kept = t.deps.Limits.WithdrawalTime()
	}
	return j.State().Final() && !j.Unsaved() && t.now > j.EndedAt+kept && len(j.Active()) == 0
}

// compactRows writes the compactions that are due.
func (t *Term) compactRows() {
	c := &t.compactor
	if t.now >= c.nextExpiry {
		c.nextExpiry = t.now + expiryInterval
		for _, j := range t.registry.All() {
			if t.expired(j) {
				t.queueCompaction(j)
			}
		}
	}
	if t.now < c.nextRun {
		return
	}
	c.nextRun = t.now + compactInterval
	for shard, due := range c.due {
		if len(due) > 0 && !c.writing[shard] {
			t.compactShard(shard)
		}
	}
}

func (t *Term) compactShard(shard int) {
	var x platform.Txn
	var done []func()
	most, n := compactBatch, 0
	if t.compactor.oneByOne[shard] {
		most = 1
	}
	var last *jobs.Job
	for id, j := range t.compactor.due[shard] {
		if n++; n > most {
			break
		}
		last = j
		var value []byte
		remove := t.expired(j)
		if !remove {
			var err error
			if value, err = json.Marshal(j.Tombstone(j.State())); err != nil {
				t.log.Error().Err(err).Str("job", string(id)).Msg("Coordinator: row of ended job could not be encoded.")
				continue
			}
		}
		x.Puts = append(x.Puts, platform.Put{Key: JobKey(id), Value: value})
		if j.Withdrawn {
			x.Conditions = append(x.Conditions, platform.Condition{Key: JobKey(id), Version: j.RowVersion})
		}
		hasCancel := j.HasCancel
		if hasCancel {
			x.Puts = append(x.Puts, platform.Put{Key: CancelKey(id)})
		}
		done = append(done, func() { t.rowsCompacted(shard, j, remove, hasCancel) })
	}
	t.compactor.writing[shard] = true
	t.async(compactTimeout, func(ctx context.Context) func() {
		_, err := t.deps.Table.Commit(ctx, platform.PriorityBackground, x)
		return func() {
			t.compactor.writing[shard] = false
			switch {
			case errors.Is(err, platform.ErrRejected):
				t.compactionRefused(shard, last, len(done), err)
				return
			case errors.Is(err, platform.ErrConflict) && len(done) > 1:
				t.compactor.oneByOne[shard] = true // one of the withdrawals has been removed already
				return
			case errors.Is(err, platform.ErrConflict):
				err = nil // this one: an earlier removal took effect without an answer
			}
			if err != nil {
				t.log.Info().Err(err).Int("shard", shard).Int("jobs", len(done)).Msg("Coordinator: rows of ended jobs could not be compacted; will retry.")
				return
			}
			for _, f := range done {
				f()
			}
			if len(t.compactor.due[shard]) == 0 {
				delete(t.compactor.oneByOne, shard)
			}
		}
	})
}

// compactionRefused handles a transaction that the store refuses for good. The jobs are then written one by
// one, and one whose rows it does not take is left as it is: a successor reads its final state in its
// progress.
func (t *Term) compactionRefused(shard int, j *jobs.Job, n int, err error) {
	t.compactor.oneByOne[shard] = true
	counters.Add("writes_refused", 1)
	if n == 1 {
		delete(t.compactor.due[shard], j.ID)
	}
	t.log.Error().Err(err).Int("shard", shard).Int("jobs", n).Str("job", string(j.ID)).Msg("Coordinator: the store refused rows of ended jobs.")
}

func (t *Term) rowsCompacted(shard int, j *jobs.Job, removed, hasCancel bool) {
	if t.compactor.due[shard][j.ID] == j {
		delete(t.compactor.due[shard], j.ID)
	}
	if hasCancel {
		j.HasCancel = false
	}
	if j.HasProgress {
		j.HasProgress = false
		t.writer.obsoleteProgress[j.ID] = true
	}
	if removed && t.registry.Get(j.ID) == j {
		t.registry.Remove(j.ID)
	}
}
