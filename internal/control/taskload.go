package control

import (
	"context"
	"encoding/json"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// loadTasks reads the task rows for a takeover through the table, because the tasks that
// run count against the limits from the first permit on.
func (c *Control) loadTasks(tk *takeover) {
	c.async(storeTimeout, func(ctx context.Context) func() {
		rows, seq, err := c.readTasks(ctx)
		return func() {
			if c.takeover != tk {
				return
			}
			tk.tasksKnown = true
			if err != nil {
				c.log.Warn().Err(err).Msg("task rows not read; no task starts until they are")
			} else {
				tk.taskRows, tk.taskSeq, tk.tasksRead = rows, seq, true
			}
			c.checkTakeover(time.Now())
		}
	})
}

func (c *Control) readTasks(ctx context.Context) ([]platform.Row, platform.Row, error) {
	// The sequence row is read first: a write of an earlier term that is not in the
	// scan fails on the term.
	seq, err := c.d.Table.Get(ctx, platform.PriorityAllotment, c.taskSeqKey())
	if err != nil {
		return nil, seq, err
	}
	rows, err := c.d.Table.Scan(ctx, platform.PriorityAllotment, model.TaskPrefix(c.self.DC), 0)
	return rows, seq, err
}

// startTasks sets up the tasks of a new coordinator.
func (c *Control) startTasks(tk *takeover) {
	k := c.coord
	if tk.tasksRead {
		c.adoptRows(tk.taskRows, tk.taskSeq)
		c.countTasks()
		return
	}
	k.adm.SetTasks(time.Now(), c.taskCounts)
}

// scanTasks reads the rows when they are not known yet, and at times to find tasks
// whose offer was lost.
func (c *Control) scanTasks(now time.Time) {
	k := c.coord
	ts := &k.tasks
	if k.local || ts.scanning || now.Before(ts.nextScan) {
		return
	}
	ts.scanning = true
	ts.nextScan = now.Add(c.jitter(taskScanEvery))
	if !ts.loaded {
		ts.nextScan = now.Add(c.jitter(taskScanRetry))
	}
	c.async(storeTimeout, func(ctx context.Context) func() {
		rows, seq, err := c.readTasks(ctx)
		return func() {
			ts.scanning = false
			if c.coord != k || err != nil || k.local {
				return
			}
			c.adoptRows(rows, seq)
		}
	})
}

// adoptRows takes over rows that are not known yet. What this coordinator knows already
// is newer than any row.
func (c *Control) adoptRows(rows []platform.Row, seq platform.Row) {
	ts := &c.coord.tasks
	if !ts.loaded {
		ts.loaded = true
		ts.nextScan = time.Now().Add(c.jitter(taskScanEvery))
		ts.writer.version = seq.Version
		c.log.Info().Int("rows", len(rows)).Msg("task rows read")
	}
	for _, r := range rows {
		c.adoptRow(r, model.ReasonTaskRead)
	}
}

func (c *Control) adoptRow(r platform.Row, why model.Reason) {
	var v model.TaskRow
	if err := json.Unmarshal(r.Value, &v); err != nil || v.Request.Job == "" {
		c.log.Error().Err(err).Str("key", r.Key).Msg("task row malformed; the task is not run")
		return
	}
	c.adoptTask(v, why)
}

// adoptTask takes a task over. A placed one may run: its lease may have been renewed up
// to this moment.
func (c *Control) adoptTask(v model.TaskRow, why model.Reason) {
	ts := &c.coord.tasks
	if ts.all[v.Request.Job] != nil {
		return
	}
	now := time.Now()
	t := &task{job: v.Request.Job, row: v}
	ts.all[t.job] = t
	switch v.State {
	case model.TaskWaiting:
		ts.enter(t, phaseWaiting)
		c.logTask(t, model.StateQueued, why, "")
	case model.TaskPlaced:
		t.row.Started = true
		t.lastAck, t.lastMaybe, t.placedAt = now, now, now
		ts.enter(t, phaseRunning)
		c.logTask(t, model.StateDispatched, why, "placed by an earlier coordinator; it may run")
	case model.TaskEnded:
		t.endedAt = now
		ts.enter(t, phaseEnded)
		ts.ended = append(ts.ended, t)
		// The earlier coordinator may have ended before it recorded the end.
		if v.Result != nil {
			c.logTask(t, v.Result.State, v.Result.Reason, v.Result.Detail)
		}
	}
}

// removeEnded removes the rows of tasks that ended taskKeep ago: their answers are in
// the object store, and their records were stored long ago unless the store is down.
func (c *Control) removeEnded(now time.Time) {
	ts := &c.coord.tasks
	for len(ts.ended) > 0 && now.Sub(ts.ended[0].endedAt) > taskKeep {
		t := ts.ended[0]
		ts.ended[0] = nil
		ts.ended = ts.ended[1:]
		c.writeTask(t, true, func() { delete(ts.all, t.job) })
	}
}

// keepUnknownTasks renews the leases of all tasks on the workers while their rows cannot
// be read, so that a coordinator that took over without the table loses none.
func (c *Control) keepUnknownTasks(now time.Time) {
	k := c.coord
	for _, w := range c.cfg.index.Workers {
		tw := k.tasks.worker(w.Name)
		if w.DC != c.self.DC || tw.adopting || now.Sub(tw.adoptedAt) < taskRenewMax {
			continue
		}
		tw.adopting, tw.adoptedAt = true, now
		addr := w.Addr
		c.async(taskLease/2, func(ctx context.Context) func() {
			list, err := c.d.Workers.List(ctx, addr)
			for _, t := range list {
				if err == nil && !t.State.Final() {
					_, _ = c.d.Workers.Renew(ctx, addr, t.ID, t.Attempt, taskLease)
				}
			}
			return func() { tw.adopting = false }
		})
	}
}
