package control

import (
	"context"
	"maps"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/placement"
	"boragepulley/internal/worker"
)

// Workers starts and controls tasks on workers. worker.Client implements it.
type Workers interface {
	Start(ctx context.Context, addr string, s worker.Start) (worker.Task, error)
	Renew(ctx context.Context, addr string, id model.JobID, attempt int, lease time.Duration) (worker.Task, error)
	Checkpoint(ctx context.Context, addr string, id model.JobID, attempt int, stop bool) (worker.Task, error)
	Throttle(ctx context.Context, addr string, id model.JobID, attempt, percent int) (worker.Task, error)
	List(ctx context.Context, addr string) ([]worker.Task, error)
}

const (
	// taskLease is the lease of an attempt at its worker: a takeover fits into it (D12).
	taskLease = 10 * time.Second
	// taskLeaseMargin covers the way of the last renewal and the drift of two clocks.
	taskLeaseMargin = 2 * time.Second
	// maxTaskRenewInterval is the longest time between two renewals. Right after its start an
	// attempt is asked about more often, so that the end of a short one is seen soon.
	maxTaskRenewInterval = 3 * time.Second
	minTaskRenewInterval = 200 * time.Millisecond
	// minTaskPlanInterval bounds the planning rounds; taskReplanInterval repeats them while tasks wait, for
	// what no event tells: time that passes, and requests of the team that end.
	minTaskPlanInterval = 200 * time.Millisecond
	taskReplanInterval  = 500 * time.Millisecond
	// taskScanInterval finds stored tasks whose offer was lost.
	taskScanInterval = 30 * time.Second
	// taskScanRetryDelay is the wait after a scan that failed.
	taskScanRetryDelay = 500 * time.Millisecond
	// endedTaskRetention is how long the rows of ended tasks stay. An entry VM repeats an insert
	// with a lost answer for a fraction of it only, so that none inserts a row again
	// after its removal.
	endedTaskRetention = 10 * time.Minute
	// maxTaskLosses bounds the attempts of one task whose end is not known.
	maxTaskLosses = 5
	// defaultTaskAttempts holds for queues that left the configuration.
	defaultTaskAttempts = 3
	// minWorkerDown and maxWorkerDown bound how long a worker that did not answer or
	// refused a start gets no new tasks.
	minWorkerDown = 500 * time.Millisecond
	maxWorkerDown = 30 * time.Second
	// maxTaskCalls bounds the renewals in flight.
	maxTaskCalls = 64
	// throttlePercent is the speed of a throttled task; placement counts with half.
	throttlePercent = 50
)

// taskPhase is where a task is on the coordinator.
//
// State machine:
//
//	waiting -> placing -> running -> ending -> ended
//	   ^          |          |
//	   '----------+----------'
//	waiting -> ending
//
// placing: the row with worker and attempt is being written; running: the attempt may run;
// ending: the answer and the last row are being written.
type taskPhase int

const (
	phaseWaiting taskPhase = iota
	phasePlacing
	phaseRunning
	phaseEnding
	phaseEnded
)

// task is one task of this data centre on the coordinator.
type task struct {
	job   model.JobID
	row   model.TaskRow
	phase taskPhase

	// acked is set once the worker confirmed the attempt.
	confirmed bool
	// lastConfirmed is when the latest call was sent that the worker answered about the running
	// attempt, leaseMaybeExtended until when a call may have extended the attempt's lease.
	lastConfirmed, leaseMaybeExtended time.Time
	placedAt                          time.Time
	nextRenew                         time.Time
	renewInFlight                     bool
	throttled                         bool
	wasThrottled                      bool
	// throttledAt is when the last throttle call ended; earlier reports of the speed are old.
	throttledAt time.Time
	// leaving is set while the task is being checkpointed to make room.
	checkpointing bool
	peakUsage     worker.Usage
	waitsFor      placement.Reason
	cancelReplies []chan<- taskReply
	endedAt       time.Time
}

type taskReply struct {
	reply *peer.JobGetReply
	err   error
}

// taskWorker is what the coordinator knows about one worker.
type taskWorker struct {
	failures  int
	downUntil time.Time
	// throttling counts throttle calls under way; deferred starts wait for them.
	throttleCalls    int
	deferredStarts   []func()
	renewingUnknown  bool
	unknownRenewedAt time.Time
}

// tasks are the tasks of the data centre, on its coordinator.
type tasks struct {
	// loaded is set once the rows were read; nothing is placed before.
	loaded   bool
	scanning bool
	nextScan time.Time

	all     map[model.JobID]*task
	waiting map[model.JobID]*task
	// active are the tasks in phases placing and running.
	active map[model.JobID]*task
	// ended are the tasks whose rows are to be removed, in the order of their end.
	ended []*task

	// queued counts the waiting tasks by queue.
	queued           map[model.Queue]int
	workers          map[model.Worker]*taskWorker
	sizes            *placement.SizeEstimator
	health           *placement.HealthTracker
	renewalsInFlight int
	planNeeded       bool
	countsReported   bool
	lastPlan         time.Time
	writer           taskWriter
}

func newTasks() tasks {
	return tasks{
		all: map[model.JobID]*task{}, waiting: map[model.JobID]*task{}, active: map[model.JobID]*task{},
		queued: map[model.Queue]int{}, workers: map[model.Worker]*taskWorker{}, sizes: placement.NewSizeEstimator(), health: placement.NewHealthTracker(),
	}
}

func (ts *tasks) worker(n model.Worker) *taskWorker {
	w := ts.workers[n]
	if w == nil {
		w = &taskWorker{}
		ts.workers[n] = w
	}
	return w
}

// setPhase moves a task to a phase.
func (ts *tasks) setPhase(t *task, p taskPhase) {
	t.phase = p
	if ts.waiting[t.job] != nil {
		ts.queued[t.row.Request.Queue]--
	}
	delete(ts.waiting, t.job)
	delete(ts.active, t.job)
	switch p {
	case phaseWaiting:
		ts.waiting[t.job] = t
		ts.queued[t.row.Request.Queue]++
	case phasePlacing, phaseRunning:
		ts.active[t.job] = t
	}
	ts.planNeeded, ts.countsReported = true, false
}

// checkTasks runs the time-dependent work on tasks.
func (c *Control) checkTasks(now time.Time) {
	coord := c.coord
	if coord == nil || c.deps.Workers == nil || c.cfg.index == nil {
		return
	}
	ts := &coord.tasks
	c.scanTasks(now)
	if !ts.loaded {
		c.renewUnknownTasks(now)
		return
	}
	for _, t := range ts.active {
		c.checkAttempt(t, now)
	}
	c.removeEnded(now)
	c.flushTasks()
	if len(ts.waiting) > 0 && now.Sub(ts.lastPlan) > taskReplanInterval {
		ts.planNeeded = true
	}
	c.planTasks(now)
	c.reportTaskCounts()
}

// reportTaskCounts tells admission how many tasks run and wait per team.
func (c *Control) reportTaskCounts() {
	ts := &c.coord.tasks
	if ts.countsReported {
		return
	}
	ts.countsReported = true
	running, waiting := map[model.Team]int{}, map[model.Team]int{}
	for _, t := range ts.active {
		running[t.row.Request.Team]++
	}
	for _, t := range ts.waiting {
		waiting[t.row.Request.Team]++
	}
	delete(running, "")
	delete(waiting, "")
	c.taskCounts = running
	setGauge("tasks_running", int64(len(ts.active)))
	setGauge("tasks_waiting", int64(len(ts.waiting)))
	c.coord.adm.SetTaskDemand(waiting)
	c.deliverEffects(c.coord.adm.SetTasks(time.Now(), running))
}

// keepReportedTaskCounts keeps the coordinator's counts for a succession without the table.
func (c *Control) keepReportedTaskCounts(n map[model.Team]int) { c.taskCounts = maps.Clone(n) }

// recordTaskStep writes the log line of a decision about a task and records the step.
func (c *Control) recordTaskStep(t *task, st model.State, r model.Reason, detail string) {
	taskOps.Add(string(st)+"_"+string(r), 1)
	w := t.row.Worker
	if st == model.StateQueued || st == model.StateRefused || st == model.StateCancelled {
		w = ""
	}
	q := t.row.Request
	c.log.Info().Str("job", string(t.job)).Str("team", string(q.Team)).Str("queue", string(q.Queue)).
		Str("worker", string(w)).Int("attempt", t.row.Attempt).Str("reason", string(r)).Str("detail", detail).
		Msg("task " + string(st))
	rec := model.Record{Job: t.job, Time: time.Now(), Entry: c.self.Entry, State: st, Reason: r, Queue: q.Queue, Team: q.Team,
		RequestID: q.RequestID, Minion: model.VM(w), Config: c.cfg.version(), Detail: detail}
	if w != "" {
		rec.Attempt = t.row.Attempt
	}
	c.deps.Recorder.Record(rec)
}
