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
	// taskBatch bounds the rows of one transaction.
	taskBatch = 100
	// taskWriteGap is the least time between two transactions: at most 10 of the 37 or,
	// at the target, of the 10 writes per second of an entry VM.
	taskWriteGap = 100 * time.Millisecond
	// taskWriteRetry is the mean wait after a transaction without effect.
	taskWriteRetry = 300 * time.Millisecond
)

// taskSeq is the value of the row "task-seq/<data centre>". Every transaction on task
// rows puts it under the condition of its version, so that transactions take effect in
// order, and one row tells whether a transaction with a lost answer took effect.
type taskSeq struct {
	Incarnation model.Incarnation `json:"inc"`
	N           uint64            `json:"n"`
}

func (c *Control) taskSeqKey() string { return "task-seq/" + string(c.self.DC) }

// taskWrite is one row on its way to the table.
type taskWrite struct {
	put  platform.Put
	then func()
}

// taskWriter batches rows into transactions: while one is on its way, the next collects.
type taskWriter struct {
	queue   []taskWrite
	flying  bool
	version uint64
	next    time.Time
}

// writeTask queues the present row of a task, or its removal. then runs on the control
// goroutine once the row is stored; rows are stored in the order of the calls.
func (c *Control) writeTask(t *task, remove bool, then func()) {
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
	w.queue = append(w.queue, taskWrite{put, then})
	c.flushTasks()
}

// flushTasks sends the next transaction if none is on its way.
func (c *Control) flushTasks() {
	k := c.coord
	w := &k.tasks.writer
	if w.flying || len(w.queue) == 0 || k.local || c.lease.term == 0 || time.Now().Before(w.next) {
		return
	}
	w.flying = true
	c.taskTxn++
	c.commitTasks(k, w.cut(), taskSeq{c.self.Incarnation, c.taskTxn})
}

// cut takes the next batch from the queue. A transaction puts a row once.
func (w *taskWriter) cut() []taskWrite {
	seen := map[string]bool{}
	n := 0
	for n < len(w.queue) && n < taskBatch && !seen[w.queue[n].put.Key] {
		seen[w.queue[n].put.Key] = true
		n++
	}
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	return batch
}

// commitTasks commits a batch until it is known to have taken effect, or another
// coordinator has the term.
func (c *Control) commitTasks(k *coordinator, batch []taskWrite, seq taskSeq) {
	if c.coord != k {
		return
	}
	w := &k.tasks.writer
	val, err := json.Marshal(seq)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	key := c.taskSeqKey()
	txn := platform.Txn{
		Conditions: []platform.Condition{c.fence(), {Key: key, Version: w.version}},
		Puts:       []platform.Put{{Key: key, Value: val}},
	}
	for _, b := range batch {
		txn.Puts = append(txn.Puts, b.put)
	}
	w.next = time.Now().Add(taskWriteGap)
	if k.local || c.lease.term == 0 {
		c.retryCommit(k, batch, seq)
		return
	}
	c.async(2*storeTimeout, func(ctx context.Context) func() {
		version, ok, err := c.commitTxn(ctx, txn, key, seq)
		return func() {
			if version > w.version {
				w.version = version
			}
			if c.coord != k {
				return
			}
			if !ok {
				taskOps.Add("write_retry", 1)
				c.log.Debug().Err(err).Msg("task rows not written")
				c.retryCommit(k, batch, seq)
				return
			}
			w.flying = false
			for _, b := range batch {
				b.then()
			}
			c.flushTasks()
		}
	})
}

// commitTxn commits once. ok says that the transaction took effect; version is the last
// known one of the sequence row.
func (c *Control) commitTxn(ctx context.Context, txn platform.Txn, key string, seq taskSeq) (version uint64, ok bool, err error) {
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	versions, err := c.d.Table.Commit(wctx, platform.PriorityAllotment, txn)
	cancel()
	if err == nil {
		return versions[key], true, nil
	}
	if stderrors.Is(err, platform.ErrUnavailable) || stderrors.Is(err, platform.ErrBudget) {
		return 0, false, err
	}
	row, rerr := c.d.Table.Get(ctx, platform.PriorityAllotment, key)
	if rerr != nil {
		return 0, false, err
	}
	var got taskSeq
	if row.Version > 0 && json.Unmarshal(row.Value, &got) != nil {
		got = taskSeq{}
	}
	return row.Version, got == seq, err
}

func (c *Control) retryCommit(k *coordinator, batch []taskWrite, seq taskSeq) {
	d := c.jitter(taskWriteRetry)
	c.async(2*taskWriteRetry, func(ctx context.Context) func() {
		sleep(ctx, d)
		return func() { c.commitTasks(k, batch, seq) }
	})
}
