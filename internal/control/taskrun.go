package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/internal/placement"
	"boragepulley/internal/platform"
	"boragepulley/internal/worker"
)

// errNoAuthority means that this entry VM may no longer start tasks.
var errNoAuthority = errors.New("control: coordinator authority ended")

const (
	// maxStartTries bounds the start calls for one attempt of an idempotent task if the
	// answer is lost. The worker recognises a repeated start of the same attempt.
	maxStartTries   = 3
	startRetryDelay = 100 * time.Millisecond
)

// placeTask writes the worker and the attempt to the row, and then starts the attempt.
func (c *Control) placeTask(t *task, s placement.Step) {
	ts := &c.coord.tasks
	size := ts.sizes.Estimate(taskKindOf(t), placementSizeOf(t.row.Declared), c.workerSize(s.Worker))
	t.row.State, t.row.Worker, t.row.Attempt = model.TaskPlaced, s.Worker, t.row.Attempt+1
	t.row.Reserved = model.TaskSize{Cores: size.Cores, MemoryMB: size.MemoryMB, Accelerators: size.Accelerators}
	t.confirmed, t.throttled, t.wasThrottled, t.checkpointing, t.waitReason, t.peakUsage = false, false, false, false, "", worker.Usage{}
	ts.setPhase(t, phasePlacing)
	c.recordTaskStep(t, model.StateQueued, model.ReasonPlaced, "on worker "+string(s.Worker)+": "+string(s.Reason))
	c.writeTask(t, false, func() {
		w := ts.worker(s.Worker)
		if w.throttleCalls > 0 {
			w.deferredStarts = append(w.deferredStarts, func() { c.startTask(t) })
			return
		}
		c.startTask(t)
	})
}

func (c *Control) workerSize(n model.Worker) placement.Size {
	w := c.cfg.index.Worker(n)
	if w == nil {
		return placement.Size{}
	}
	return placement.Size{Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators}
}

// startTask starts the attempt that the row names.
func (c *Control) startTask(t *task) {
	coord := c.coord
	if coord == nil || t.phase != phasePlacing {
		return
	}
	w := c.cfg.index.Worker(t.row.Worker)
	switch {
	case !keyValid(c.cfg.index, t.row.Request):
		c.endTask(t, c.resultWithoutRun(t, model.ReasonKeyWithdrawn, "the key was withdrawn before the task started"), nil)
		return
	case w == nil:
		c.requeue(t, model.ReasonWorkerNotStarted, "the worker is no longer in the configuration")
		return
	}
	now := time.Now()
	t.lastConfirmed, t.leaseMaybeExtended, t.placedAt, t.renewInFlight = now, now, now, true
	coord.tasks.setPhase(t, phaseRunning)
	job, row, addr, token := t.job, t.row, w.Addr, c.following.token
	c.runAsync(taskLease, func(ctx context.Context) func() {
		v, sent, err := c.startAttempt(ctx, job, row, addr, token)
		return func() {
			t.renewInFlight = false
			if c.coord == coord && t.phase == phaseRunning && t.row.Attempt == row.Attempt {
				c.onStarted(t, v, sent, err)
			}
		}
	})
}

// startAttempt fetches the body and starts the attempt. It runs outside the control
// goroutine.
func (c *Control) startAttempt(ctx context.Context, job model.JobID, row model.TaskRow, addr string, token model.Token) (v worker.Task, sent time.Time, err error) {
	body, err := c.deps.Objects.Get(ctx, platform.PriorityAllotment, model.TaskBodyName(job))
	if err != nil {
		return v, sent, errors.Wrap(worker.ErrNotReached, "read task body: "+err.Error())
	}
	payload := json.RawMessage(body)
	if !json.Valid(body) {
		// The worker API carries JSON; a body that is not JSON is sent as a string.
		if payload, err = json.Marshal(string(body)); err != nil {
			return v, sent, errors.Wrap(worker.ErrRejected, err.Error())
		}
	}
	s := worker.Start{ID: job, Attempt: row.Attempt, Cores: row.Reserved.Cores, MemoryMB: row.Reserved.MemoryMB,
		Accelerators: row.Reserved.Accelerators, RunMS: row.RunMS, LeaseMS: taskLease.Milliseconds(),
		Payload: payload, Checkpoint: row.Checkpoint}
	for try := 1; ; try++ {
		sent = time.Now()
		var again error
		v, again = c.workers.start(ctx, token, addr, s)
		if err != nil && worker.CertainlyNotStarted(again) {
			// An earlier try may have started the attempt, so its error is returned.
			return v, sent, err
		}
		err = again
		if !errors.Is(err, worker.ErrAnswerLost) || !row.Request.Idempotent || try == maxStartTries || ctx.Err() != nil {
			return v, sent, err
		}
		sleep(ctx, startRetryDelay/2+rand.N(startRetryDelay))
	}
}

func (c *Control) onStarted(t *task, v worker.Task, sent time.Time, err error) {
	now := time.Now()
	tw := c.coord.tasks.worker(t.row.Worker)
	switch {
	case err == nil:
		tw.failures = 0
		t.row.Started = true
		c.confirmAttempt(t, sent, now)
		c.recordTaskStep(t, model.StateDispatched, model.ReasonStarted, "on worker "+string(t.row.Worker))
		c.onWorkerReport(t, v)
	case errors.Is(err, worker.ErrRejected):
		c.onAttemptFailed(t, model.ReasonWorkerNotStarted, err.Error(), worker.Task{})
	case worker.CertainlyNotStarted(err):
		c.markWorkerDown(tw, now)
		c.requeue(t, model.ReasonWorkerNotStarted, err.Error())
	default:
		t.row.Started = true
		t.leaseMaybeExtended, t.nextRenew = now, now
		c.recordTaskStep(t, model.StateDispatched, model.ReasonAnswerLost, "worker "+string(t.row.Worker)+" may have started it: "+err.Error())
	}
}

// confirmAttempt records that the worker has confirmed the running attempt.
func (c *Control) confirmAttempt(t *task, sent, now time.Time) {
	t.confirmed, t.lastConfirmed, t.leaseMaybeExtended = true, sent, now
	t.nextRenew = now.Add(min(maxTaskRenewInterval, max(minTaskRenewInterval, now.Sub(t.placedAt)/4)))
}

func (c *Control) markWorkerDown(w *taskWorker, now time.Time) {
	d := min(maxWorkerDown, minWorkerDown<<min(w.failures, 8))
	w.failures++
	w.downUntil = now.Add(d)
	c.coord.tasks.planNeeded = true
}

// checkAttempt renews the lease of an attempt, or decides that the attempt was lost.
func (c *Control) checkAttempt(t *task, now time.Time) {
	ts := &c.coord.tasks
	if t.phase != phaseRunning || t.renewInFlight {
		return
	}
	if now.Sub(t.leaseMaybeExtended) > taskLease+taskLeaseMargin {
		c.onAttemptLost(t, "the worker did not confirm the lease in time")
		return
	}
	if now.Before(t.nextRenew) || ts.renewalsInFlight >= maxTaskCalls {
		return
	}
	w := c.cfg.index.Worker(t.row.Worker)
	if w == nil {
		return // its lease is not renewed any more, so the attempt is lost when it expires
	}
	coord, job, attempt, addr, token := c.coord, t.job, t.row.Attempt, w.Addr, c.following.token
	// Once the lease may have expired without an answer, no further call must extend it.
	// Otherwise it would never be certain that the attempt has ended.
	listOnly := now.Sub(t.lastConfirmed) > taskLease
	t.renewInFlight = true
	ts.renewalsInFlight++
	c.runAsync(taskLease/2, func(ctx context.Context) func() {
		var v worker.Task
		var err error
		if listOnly {
			v, err = c.findAttempt(ctx, addr, job, attempt)
		} else {
			v, err = c.workers.renew(ctx, token, addr, job, attempt)
		}
		return func() {
			t.renewInFlight = false
			ts.renewalsInFlight--
			if c.coord == coord && t.phase == phaseRunning && t.row.Attempt == attempt {
				c.onRenewed(t, v, err, now, listOnly)
			}
		}
	})
}

// findAttempt asks a worker for the state of an attempt without renewing its lease.
func (c *Control) findAttempt(ctx context.Context, addr string, job model.JobID, attempt int) (worker.Task, error) {
	list, err := c.workers.list(ctx, addr)
	if err != nil {
		return worker.Task{}, err
	}
	for _, t := range list {
		if t.ID != job || t.Attempt != attempt {
			continue
		}
		if t.State.Final() {
			return t, worker.ErrAttemptEnded
		}
		return t, nil
	}
	return worker.Task{}, worker.ErrTaskNotFound
}

func (c *Control) onRenewed(t *task, v worker.Task, err error, sent time.Time, listOnly bool) {
	now := time.Now()
	tw := c.coord.tasks.worker(t.row.Worker)
	t.nextRenew = now.Add(minTaskRenewInterval)
	if err == nil || errors.Is(err, worker.ErrAttemptEnded) || errors.Is(err, worker.ErrTaskNotFound) {
		tw.failures = 0
	}
	switch {
	case err == nil:
		if !t.confirmed {
			c.recordTaskStep(t, model.StateDispatched, model.ReasonStarted, "worker "+string(t.row.Worker)+" is running it")
		}
		if sent.After(t.throttledAt) && tw.throttleCalls == 0 {
			t.throttled = v.Percent > 0 && v.Percent < 100
		}
		c.confirmAttempt(t, sent, now)
		if listOnly {
			t.nextRenew = now
		}
		c.onWorkerReport(t, v)
	case errors.Is(err, worker.ErrAttemptEnded) && v.Attempt == t.row.Attempt:
		c.onWorkerReport(t, v)
	case errors.Is(err, worker.ErrAttemptEnded):
		c.onAttemptLost(t, "the worker has another attempt of the task")
	case errors.Is(err, worker.ErrTaskNotFound) && t.confirmed:
		c.onAttemptLost(t, "the worker does not know the task any more")
	case errors.Is(err, worker.ErrTaskNotFound):
		// The start call may still be in flight.
	case errors.Is(err, worker.ErrNotReached):
		c.markWorkerDown(tw, now)
	default:
		c.markWorkerDown(tw, now)
		if !listOnly {
			t.leaseMaybeExtended = now
		}
	}
}

// onWorkerReport handles the state that a worker reports for the running attempt.
func (c *Control) onWorkerReport(t *task, v worker.Task) {
	ts := &c.coord.tasks
	t.peakUsage.Cores, t.peakUsage.MemoryMB = max(t.peakUsage.Cores, v.Usage.Cores), max(t.peakUsage.MemoryMB, v.Usage.MemoryMB)
	now := time.Now()
	switch v.State {
	case worker.StateDone:
		ts.health.Observe(now, t.row.Worker, t.job, true)
		if t.peakUsage.MemoryMB > 0 && !t.wasThrottled {
			ts.sizes.Observe(taskKindOf(t), t.peakUsage.Cores, t.peakUsage.MemoryMB)
		}
		c.endTask(t, model.Result{State: model.StateRan, Status: 200}, c.taskOutput(t, v))
	case worker.StateFailed:
		ts.health.Observe(now, t.row.Worker, t.job, false)
		c.onAttemptFailed(t, model.ReasonTaskFailed, "it failed on worker "+string(t.row.Worker), v)
	case worker.StateStopped:
		if !t.checkpointing {
			c.onAttemptLost(t, "the worker stopped it")
		}
	case worker.StateExpired:
		c.onAttemptLost(t, "its lease expired at the worker")
	}
}

func (c *Control) taskOutput(t *task, v worker.Task) *model.TaskOutput {
	return &model.TaskOutput{Job: t.job, Worker: t.row.Worker, Attempt: t.row.Attempt, State: string(v.State),
		RunMS: v.DoneMS, RequestDigest: t.row.Digest}
}

// onAttemptFailed handles an attempt that certainly ended without success. A task that is
// idempotent or did not run is tried on other workers, a limited number of times.
func (c *Control) onAttemptFailed(t *task, r model.Reason, detail string, v worker.Task) {
	t.row.Failures++
	if !slices.Contains(t.row.Avoid, t.row.Worker) {
		t.row.Avoid = append(slices.Clone(t.row.Avoid), t.row.Worker)
	}
	ran := v.State == worker.StateFailed
	again := t.row.Request.Idempotent || !ran
	if again && t.row.Failures < c.maxAttempts(t) && c.hasOtherWorker(t) {
		c.requeue(t, r, detail)
		return
	}
	if !ran {
		c.endTask(t, c.resultWithoutRun(t, r, detail), nil)
		return
	}
	if again {
		r = model.ReasonFailsOnEveryWorker
	}
	c.endTask(t, model.Result{State: model.StateRan, Reason: r, Status: 500, Detail: detail}, c.taskOutput(t, v))
}

func (c *Control) maxAttempts(t *task) int {
	if q := c.cfg.index.Queue(t.row.Request.Queue); q != nil {
		return q.MaxAttempts
	}
	return defaultTaskAttempts
}

// hasOtherWorker reports whether there is a worker that is large enough for the task and on
// which it has not failed yet.
func (c *Control) hasOtherWorker(t *task) bool {
	for _, w := range c.cfg.index.Workers {
		d := t.row.Declared
		if w.DC == c.self.DC && !slices.Contains(t.row.Avoid, w.Name) && d.Cores <= w.Cores && d.MemoryMB <= w.MemoryMB && d.Accelerators <= w.Accelerators {
			return true
		}
	}
	return false
}

// onAttemptLost handles an attempt that has certainly ended with an unknown result.
func (c *Control) onAttemptLost(t *task, detail string) {
	t.row.Losses++
	t.row.Started = true
	again := t.row.Request.Idempotent || len(t.row.Checkpoint) > 0
	if again && t.row.Losses <= maxTaskLosses {
		c.requeue(t, model.ReasonWorkerLost, detail)
		return
	}
	c.endTask(t, model.Result{State: model.StateUnknown, Reason: model.ReasonWorkerLost, Detail: detail}, nil)
}

// requeue puts a task back to the waiting tasks for another attempt.
func (c *Control) requeue(t *task, r model.Reason, detail string) {
	t.row.State = model.TaskWaiting
	t.checkpointing, t.throttled = false, false
	c.coord.tasks.setPhase(t, phaseWaiting)
	c.recordTaskStep(t, model.StateQueued, r, detail)
	c.writeTask(t, false, func() {})
}

// throttleTask reduces a running task to throttlePercent of its speed, or restores the full
// speed.
func (c *Control) throttleTask(t *task, slow bool) {
	w := c.cfg.index.Worker(t.row.Worker)
	if w == nil || t.phase != phaseRunning {
		return
	}
	coord, tw, attempt, addr, job, token := c.coord, c.coord.tasks.worker(t.row.Worker), t.row.Attempt, w.Addr, t.job, c.following.token
	percent := 100
	if slow {
		percent = throttlePercent
	}
	t.throttled, t.wasThrottled = slow, true
	tw.throttleCalls++
	c.runAsync(taskLease/2, func(ctx context.Context) func() {
		_, err := c.workers.throttle(ctx, token, addr, job, attempt, percent)
		return func() {
			if c.coord != coord {
				return
			}
			t.throttledAt = time.Now()
			if err != nil && t.phase == phaseRunning && t.row.Attempt == attempt {
				c.log.Warn().Err(err).Str("job", string(job)).Str("worker", string(t.row.Worker)).Int("percent", percent).Msg("task not throttled")
				// Until a renewal reports its speed, all its cores count as used.
				t.throttled = false
				t.nextRenew = time.Now()
			}
			tw.throttleCalls--
			if tw.throttleCalls == 0 {
				starts := tw.deferredStarts
				tw.deferredStarts = nil
				for _, f := range starts {
					f()
				}
			}
		}
	})
}

// checkpointTask stops a running task at a checkpoint from which it can continue later.
func (c *Control) checkpointTask(t *task) {
	w := c.cfg.index.Worker(t.row.Worker)
	if w == nil || t.phase != phaseRunning || t.checkpointing {
		return
	}
	coord, attempt, addr, job, token := c.coord, t.row.Attempt, w.Addr, t.job, c.following.token
	t.checkpointing = true
	c.runAsync(taskLease/2, func(ctx context.Context) func() {
		v, err := c.workers.checkpoint(ctx, token, addr, job, attempt)
		return func() {
			if c.coord != coord || t.phase != phaseRunning || t.row.Attempt != attempt {
				return
			}
			t.checkpointing = false
			coord.tasks.planNeeded = true
			if err != nil {
				// The next renewal shows whether the attempt still runs.
				t.nextRenew = time.Now()
				return
			}
			t.row.Checkpoint, t.row.Started = v.Checkpoint, true
			t.row.Checkpoints++
			c.requeue(t, model.ReasonCheckpointed, "checkpointed to free capacity on worker "+string(t.row.Worker))
		}
	})
}
