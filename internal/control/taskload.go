package control

import (
	"context"
	"encoding/json"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// loadTasks reads the task rows for a takeover that is not local. They are needed before the
// first permit is granted, because running tasks count against the limits.
func (c *Control) loadTasks(tk *takeover) {
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		rows, seq, err := c.readTasks(ctx)
		return func() {
			if c.takeover != tk {
				return
			}
			tk.tasksSettled = true
			if err != nil {
				c.log.Warn().Err(err).Msg("task rows not read; no task is started until they are")
			} else {
				tk.taskRows, tk.taskSeq, tk.tasksRead = rows, seq, true
			}
			c.checkTakeover(time.Now())
		}
	})
}

func (c *Control) readTasks(ctx context.Context) ([]platform.Row, platform.Row, error) {
	// The sequence row is read before the scan. A write of an earlier term that takes effect
	// too late for the scan fails, because the term has changed.
	seq, err := c.deps.Table.Get(ctx, platform.PriorityAllotment, c.taskSeqKey())
	if err != nil {
		return nil, seq, err
	}
	rows, err := c.deps.Table.Scan(ctx, platform.PriorityAllotment, model.TaskPrefix(c.self.DC), 0)
	return rows, seq, err
}

// adoptTasksAtTakeover initialises the tasks of a new coordinator: from the rows if they were
// read, otherwise from the last reported counts.
func (c *Control) adoptTasksAtTakeover(tk *takeover) {
	coord := c.coord
	if tk.tasksRead {
		c.adoptRows(tk.taskRows, tk.taskSeq)
		c.reportTaskCounts()
		return
	}
	coord.admission.SetTasks(time.Now(), c.taskCounts)
}

// scanTasks reads the rows if they are not known yet, and otherwise every taskScanInterval to
// find tasks whose offer was lost.
func (c *Control) scanTasks(now time.Time) {
	coord := c.coord
	ts := &coord.tasks
	if coord.local || ts.scanning || now.Before(ts.nextScan) {
		return
	}
	ts.scanning = true
	ts.nextScan = now.Add(c.jitter(taskScanInterval))
	if !ts.loaded {
		ts.nextScan = now.Add(c.jitter(taskScanRetryDelay))
	}
	c.runAsync(storeTimeout, func(ctx context.Context) func() {
		rows, seq, err := c.readTasks(ctx)
		return func() {
			ts.scanning = false
			if c.coord != coord || err != nil || coord.local {
				return
			}
			c.adoptRows(rows, seq)
		}
	})
}

// adoptRows adds the tasks in the rows that are not known yet. The state of a known task is
// newer than its row.
func (c *Control) adoptRows(rows []platform.Row, seq platform.Row) {
	ts := &c.coord.tasks
	if !ts.loaded {
		ts.loaded = true
		ts.nextScan = time.Now().Add(c.jitter(taskScanInterval))
		ts.writer.seqVersion = seq.Version
		c.log.Info().Int("rows", len(rows)).Msg("task rows read")
	}
	for _, r := range rows {
		c.adoptRow(r, model.ReasonTaskRestored)
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

// adoptTask adds a task unless it is known. A placed task may be running, and its lease may
// have been renewed until now.
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
		ts.setPhase(t, phaseWaiting)
		c.recordTaskStep(t, model.StateQueued, why, "")
	case model.TaskPlaced:
		t.row.Started = true
		t.lastConfirmed, t.leaseMaybeExtended, t.placedAt = now, now, now
		ts.setPhase(t, phaseRunning)
		c.recordTaskStep(t, model.StateDispatched, why, "placed by an earlier coordinator; it may be running")
	case model.TaskEnded:
		t.endedAt = now
		ts.setPhase(t, phaseEnded)
		ts.ended = append(ts.ended, t)
		// The earlier coordinator may have died before it recorded the end.
		if v.Result != nil {
			c.recordTaskStep(t, v.Result.State, v.Result.Reason, v.Result.Detail)
		}
	}
}

// removeEnded removes the rows of tasks that ended more than endedTaskRetention ago. Their
// answers stay in the object store, and their records were stored long ago unless the store
// is down.
func (c *Control) removeEnded(now time.Time) {
	ts := &c.coord.tasks
	for len(ts.ended) > 0 && now.Sub(ts.ended[0].endedAt) > endedTaskRetention {
		t := ts.ended[0]
		ts.ended[0] = nil
		ts.ended = ts.ended[1:]
		c.writeTask(t, true, func() { delete(ts.all, t.job) })
	}
}

// renewUnknownTasks renews the leases of all tasks on the workers while the task rows cannot
// be read, so that no task is lost after a takeover without the table.
func (c *Control) renewUnknownTasks(now time.Time) {
	coord := c.coord
	for _, w := range c.cfg.index.Workers {
		tw := coord.tasks.worker(w.Name)
		if w.DC != c.self.DC || tw.renewingUnknown || now.Sub(tw.unknownRenewedAt) < maxTaskRenewInterval {
			continue
		}
		tw.renewingUnknown, tw.unknownRenewedAt = true, now
		addr, token := w.Addr, c.following.token
		c.runAsync(taskLease/2, func(ctx context.Context) func() {
			list, err := c.workers.list(ctx, addr)
			for _, t := range list {
				if err == nil && !t.State.Final() {
					_, _ = c.workers.renew(ctx, token, addr, t.ID, t.Attempt)
				}
			}
			return func() { tw.renewingUnknown = false }
		})
	}
}
