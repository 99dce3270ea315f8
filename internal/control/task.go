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
	// taskLease is the duration of an attempt's lease at its worker. It is longer than a
	// takeover (docs/design.md, D12).
	taskLease = 10 * time.Second
	// taskLeaseMargin covers the network delay of the last renewal and the drift between
	// two clocks.
	taskLeaseMargin = 2 * time.Second
	// maxTaskRenewInterval is the longest time between two renewals. Right after the start
	// of an attempt the interval is shorter, so that the end of a short attempt is detected
	// soon.
	maxTaskRenewInterval = 3 * time.Second
	minTaskRenewInterval = 200 * time.Millisecond
	// minTaskPlanInterval is the minimum time between two planning rounds. While tasks wait,
	// planning is repeated every taskReplanInterval, because some changes come without an
	// event: the passing of time, and the end of requests of the same team.
	minTaskPlanInterval = 200 * time.Millisecond
	taskReplanInterval  = 500 * time.Millisecond
	// taskScanInterval is the interval of the scans that find stored tasks whose offer was
	// lost.
	taskScanInterval = 30 * time.Second
	// taskScanRetryDelay is the delay after a failed scan.
	taskScanRetryDelay = 500 * time.Millisecond
	// endedTaskRetention is how long the rows of ended tasks are kept. Entry VMs repeat an
	// insert whose answer was lost only for a fraction of this time, so that a row is never
	// inserted again after its removal.
	endedTaskRetention = 10 * time.Minute
	// maxTaskLosses bounds the lost attempts of one task, that is, attempts whose result is
	// not known.
	maxTaskLosses = 5
	// defaultTaskAttempts applies to queues that are no longer in the configuration.
	defaultTaskAttempts = 3
	// minWorkerDown and maxWorkerDown bound the time for which a worker that did not answer
	// or refused a start gets no new tasks.
	minWorkerDown = 500 * time.Millisecond
	maxWorkerDown = 30 * time.Second
	// maxTaskCalls bounds the number of renewals in flight.
	maxTaskCalls = 64
	// throttlePercent is the speed of a throttled task. Placement assumes that a throttled
	// task uses half of its cores.
	throttlePercent = 50
)

// taskPhase is the phase of a task on the coordinator.
//
// State machine:
//
//	waiting -> placing -> running -> ending -> ended
//	   ^          |          |
//	   '----------+----------'
//	waiting -> ending
//
// placing: the row with the worker and the attempt is being written; running: the attempt
// may be running; ending: the answer and the final row are being written.
type taskPhase int

const (
	phaseWaiting taskPhase = iota
	phasePlacing
	phaseRunning
	phaseEnding
	phaseEnded
)

// task is the coordinator's state of one task of its data centre.
type task struct {
	job   model.JobID
	row   model.TaskRow
	phase taskPhase

	// confirmed is set once the worker has confirmed the attempt.
	confirmed bool
	// lastConfirmed is the send time of the latest call in whose answer the worker confirmed
	// the running attempt. leaseMaybeExtended is the latest time at which a call may have
	// extended the lease of the attempt.
	lastConfirmed, leaseMaybeExtended time.Time
	placedAt                          time.Time
	nextRenew                         time.Time
	renewInFlight                     bool
	throttled                         bool
	wasThrottled                      bool
	// throttledAt is when the last throttle call ended. Reports of the speed from calls that
	// were sent earlier are out of date.
	throttledAt time.Time
	// checkpointing is set while the task is being checkpointed to free capacity.
	checkpointing bool
	peakUsage     worker.Usage
	waitReason    placement.Reason
	cancelReplies []chan<- taskReply
	endedAt       time.Time
}

type taskReply struct {
	reply *peer.JobGetReply
	err   error
}

// taskWorker is the coordinator's state of one worker.
type taskWorker struct {
	failures  int
	downUntil time.Time
	// throttleCalls counts the throttle calls in flight. deferredStarts are started when
	// there are none left.
	throttleCalls    int
	deferredStarts   []func()
	renewingUnknown  bool
	unknownRenewedAt time.Time
}

// tasks is the coordinator's state of all tasks of its data centre.
type tasks struct {
	// loaded is set once the rows were read. No task is placed before that.
	loaded   bool
	scanning bool
	nextScan time.Time

	all     map[model.JobID]*task
	waiting map[model.JobID]*task
	// active holds the tasks in the phases placing and running.
	active map[model.JobID]*task
	// ended holds the tasks whose rows are to be removed later, in the order of their end.
	ended []*task

	// queued is the number of waiting tasks by queue.
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

// setPhase changes the phase of a task and updates the indexes and counts.
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

// checkTasks runs the time-dependent work for tasks.
func (c *Control) checkTasks(now time.Time) {
	coord := c.coord
	if coord == nil || c.workers.workers == nil || c.cfg.index == nil {
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

// reportTaskCounts passes the number of running and waiting tasks per team to admission.
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
	c.coord.admission.SetTaskDemand(waiting)
	c.deliverEffects(c.coord.admission.SetTasks(time.Now(), running))
}

// keepReportedTaskCounts keeps the counts that the coordinator reported, for a succession
// without the table.
func (c *Control) keepReportedTaskCounts(n map[model.Team]int) { c.taskCounts = maps.Clone(n) }

// recordTaskStep logs a decision about a task and adds it to the task's records.
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
