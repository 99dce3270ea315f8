package control

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	// maxTaskRowsPerTxn bounds the rows of one transaction.
	maxTaskRowsPerTxn = 100
	// minTaskWriteInterval is the minimum time between two transactions. It limits them to
	// 10 per second, out of the 37 writes per second of an entry VM, or 10 at the target
	// size.
	minTaskWriteInterval = 100 * time.Millisecond
	// taskWriteRetryDelay is the mean delay after a failed transaction.
	taskWriteRetryDelay = 300 * time.Millisecond
)

// taskSeq is the value of the table row "task-seq/<data centre>". Every transaction on task
// rows also writes this row, under the condition that its version is the known one. This
// makes the transactions take effect in order, and after a lost answer the row shows whether
// the transaction took effect.
type taskSeq struct {
	Incarnation model.Incarnation `json:"inc"`
	N           uint64            `json:"n"`
}

func (c *Control) taskSeqKey() string { return "task-seq/" + string(c.self.DC) }

// taskWrite is one row to be written.
type taskWrite struct {
	put      platform.Put
	onStored func()
}

// taskWriter writes rows in batches: while one transaction is in flight, rows are collected
// for the next one.
type taskWriter struct {
	queue       []taskWrite
	txnInFlight bool
	seqVersion  uint64
	nextWrite   time.Time
}

// writeTask queues a write of the present row of a task, or its removal. onStored runs on
// the control goroutine once the row is stored. Rows are stored in the order of the calls.
func (c *Control) writeTask(t *task, remove bool, onStored func()) {
	put := platform.Put{Key: model.TaskKey(c.self.DC, t.job)}
	if !remove {
		v, err := json.Marshal(&t.row)
		if err != nil {
			c.log.Error().Err(err).Str("job", string(t.job)).Msg("task row not encoded")
			return
		}
		put.Value = v
	}
	w := &c.coord.tasks.writer
	w.queue = append(w.queue, taskWrite{put, onStored})
	c.flushTasks()
}

// flushTasks sends the next transaction if none is in flight.
func (c *Control) flushTasks() {
	coord := c.coord
	w := &coord.tasks.writer
	if w.txnInFlight || len(w.queue) == 0 || coord.local || c.lease.termVersion == 0 || time.Now().Before(w.nextWrite) {
		return
	}
	w.txnInFlight = true
	c.taskTxnSeq++
	c.commitTasks(coord, w.nextBatch(), taskSeq{c.self.Incarnation, c.taskTxnSeq})
}

// nextBatch removes the next batch from the queue. A batch contains each row at most once.
func (w *taskWriter) nextBatch() []taskWrite {
	seen := map[string]bool{}
	n := 0
	for n < len(w.queue) && n < maxTaskRowsPerTxn && !seen[w.queue[n].put.Key] {
		seen[w.queue[n].put.Key] = true
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// commitTasks commits a batch, and repeats it until it is known to have taken effect or this
// entry VM is no longer the coordinator.
func (c *Control) commitTasks(coord *coordinator, batch []taskWrite, seq taskSeq) {
	if c.coord != coord {
		return
	}
	w := &coord.tasks.writer
	val, err := json.Marshal(seq)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	key := c.taskSeqKey()
	txn := platform.Txn{
		Conditions: []platform.Condition{c.fencingCondition(), {Key: key, Version: w.seqVersion}},
		Puts:       []platform.Put{{Key: key, Value: val}},
	}
	for _, b := range batch {
		txn.Puts = append(txn.Puts, b.put)
	}
	w.nextWrite = time.Now().Add(minTaskWriteInterval)
	if coord.local || c.lease.termVersion == 0 {
		c.retryCommit(coord, batch, seq)
		return
	}
	c.runAsync(2*storeTimeout, func(ctx context.Context) func() {
		version, ok, err := c.commitTxn(ctx, txn, key, seq)
		return func() {
			if version > w.seqVersion {
				w.seqVersion = version
			}
			if c.coord != coord {
				return
			}
			if !ok {
				taskOps.Add("write_retry", 1)
				c.log.Debug().Err(err).Msg("task rows not written")
				c.retryCommit(coord, batch, seq)
				return
			}
			w.txnInFlight = false
			for _, b := range batch {
				b.onStored()
			}
			c.flushTasks()
		}
	})
}

// commitTxn commits a transaction once. ok is set if it took effect; version is the last
// known version of the sequence row.
func (c *Control) commitTxn(ctx context.Context, txn platform.Txn, key string, seq taskSeq) (version uint64, ok bool, err error) {
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	versions, err := c.deps.Table.Commit(wctx, platform.PriorityAllotment, txn)
	cancel()
	if err == nil {
		return versions[key], true, nil
	}
	if stderrors.Is(err, platform.ErrUnavailable) || stderrors.Is(err, platform.ErrRateLimited) {
		return 0, false, err
	}
	row, rerr := c.deps.Table.Get(ctx, platform.PriorityAllotment, key)
	if rerr != nil {
		return 0, false, err
	}
	var got taskSeq
	if row.Version > 0 && json.Unmarshal(row.Value, &got) != nil {
		got = taskSeq{}
	}
	return row.Version, got == seq, err
}

func (c *Control) retryCommit(coord *coordinator, batch []taskWrite, seq taskSeq) {
	d := c.jitter(taskWriteRetryDelay)
	c.runAsync(2*taskWriteRetryDelay, func(ctx context.Context) func() {
		sleep(ctx, d)
		return func() { c.commitTasks(coord, batch, seq) }
	})
}
