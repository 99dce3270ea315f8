package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/worker"
)

// fakeWorkers simulates workers with 16 cores each.
type fakeWorkers struct {
	mu sync.Mutex
	// tasks holds the last attempt of each task by worker address. starts counts the starts
	// by task.
	tasks  map[string]map[model.JobID]*fakeAttempt
	starts map[model.JobID]int
	// startedAt is when a task first started.
	startedAt map[model.JobID]time.Time
	// runTime is how long a task runs.
	runTime time.Duration
	// failing lists the workers on which every task fails, down those that are not
	// reachable.
	failing, down map[string]bool
	// loseStartAnswers is the number of next starts that take effect without an answer.
	loseStartAnswers int
	// overcommitted is set if the tasks on a worker have ever needed more cores than it has.
	overcommitted bool
}

type fakeAttempt struct {
	start   worker.Start
	state   worker.State
	percent int
	done    time.Duration
	since   time.Time
	lease   time.Time
}

func newFakeWorkers(run time.Duration) *fakeWorkers {
	return &fakeWorkers{tasks: map[string]map[model.JobID]*fakeAttempt{}, starts: map[model.JobID]int{},
		startedAt: map[model.JobID]time.Time{}, runTime: run, failing: map[string]bool{}, down: map[string]bool{}}
}

// advance updates the attempts of a worker to the present time. f.mu must be held.
func (f *fakeWorkers) advance(addr string) {
	now := time.Now()
	for _, a := range f.tasks[addr] {
		if a.state != worker.StateRunning {
			continue
		}
		a.done += now.Sub(a.since) * time.Duration(a.percent) / 100
		a.since = now
		switch {
		case a.done >= f.runTime && f.failing[addr]:
			a.state = worker.StateFailed
		case a.done >= f.runTime:
			a.state = worker.StateDone
		case now.After(a.lease):
			a.state = worker.StateExpired
		}
	}
}

func (a *fakeAttempt) report() worker.Task {
	return worker.Task{ID: a.start.ID, Attempt: a.start.Attempt, State: a.state, Percent: a.percent, DoneMS: a.done.Milliseconds(),
		Usage: worker.Usage{Cores: 1, MemoryMB: 100}}
}

func (f *fakeWorkers) call(addr string) error {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	if f.down[addr] {
		f.mu.Unlock()
		return worker.ErrNotReached
	}
	f.advance(addr)
	return nil
}

func (f *fakeWorkers) Start(_ context.Context, addr string, s worker.Start) (worker.Task, error) {
	if err := f.call(addr); err != nil {
		return worker.Task{}, err
	}
	defer f.mu.Unlock()
	if f.tasks[addr] == nil {
		f.tasks[addr] = map[model.JobID]*fakeAttempt{}
	}
	if a := f.tasks[addr][s.ID]; a != nil && a.start.Attempt == s.Attempt {
		return a.report(), nil
	}
	cores := s.Cores
	for _, a := range f.tasks[addr] {
		if a.state == worker.StateRunning {
			cores += a.start.Cores - a.start.Cores*(100-a.percent)/100
		}
	}
	f.overcommitted = f.overcommitted || cores > 16
	now := time.Now()
	a := &fakeAttempt{start: s, state: worker.StateRunning, percent: 100, since: now, lease: now.Add(time.Duration(s.LeaseMS) * time.Millisecond)}
	f.tasks[addr][s.ID] = a
	f.starts[s.ID]++
	if f.starts[s.ID] == 1 {
		f.startedAt[s.ID] = now
	}
	if f.loseStartAnswers > 0 {
		f.loseStartAnswers--
		return worker.Task{}, worker.ErrAnswerLost
	}
	return a.report(), nil
}

func (f *fakeWorkers) command(addr string, id model.JobID, attempt int, do func(a *fakeAttempt)) (worker.Task, error) {
	if err := f.call(addr); err != nil {
		return worker.Task{}, err
	}
	defer f.mu.Unlock()
	a := f.tasks[addr][id]
	if a == nil {
		return worker.Task{}, worker.ErrTaskNotFound
	}
	if a.start.Attempt != attempt || a.state != worker.StateRunning {
		return a.report(), worker.ErrAttemptEnded
	}
	do(a)
	return a.report(), nil
}

func (f *fakeWorkers) Renew(_ context.Context, addr string, id model.JobID, attempt int, lease time.Duration) (worker.Task, error) {
	return f.command(addr, id, attempt, func(a *fakeAttempt) { a.lease = time.Now().Add(lease) })
}

func (f *fakeWorkers) Checkpoint(_ context.Context, addr string, id model.JobID, attempt int, _ bool) (worker.Task, error) {
	v, err := f.command(addr, id, attempt, func(a *fakeAttempt) { a.state = worker.StateStopped })
	v.Checkpoint = json.RawMessage(`{"done_ms":1}`)
	return v, err
}

func (f *fakeWorkers) Throttle(_ context.Context, addr string, id model.JobID, attempt, percent int) (worker.Task, error) {
	return f.command(addr, id, attempt, func(a *fakeAttempt) { a.percent = percent })
}

func (f *fakeWorkers) List(_ context.Context, addr string) ([]worker.Task, error) {
	if err := f.call(addr); err != nil {
		return nil, err
	}
	defer f.mu.Unlock()
	var out []worker.Task
	for _, a := range f.tasks[addr] {
		out = append(out, a.report())
	}
	return out, nil
}

// forget removes all tasks from a worker, as a reboot does.
func (f *fakeWorkers) forget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.tasks, addr)
}

func (f *fakeWorkers) startCount(id model.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[id]
}

// workerOf returns the address of the worker that runs a task.
func (f *fakeWorkers) workerOf(id model.JobID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, ts := range f.tasks {
		f.advance(addr)
		if a := ts[id]; a != nil && a.state == worker.StateRunning {
			return addr
		}
	}
	return ""
}

// withTasks runs f on a cluster of three entry VMs and three workers with a configuration in
// force.
func withTasks(t *testing.T, run time.Duration, f func(cl *cluster, w *fakeWorkers)) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		w := newFakeWorkers(run)
		cl.workers = w
		cl.addSite("one", 100, map[model.Team]int{"t": 100})
		s := cl.sites["one"]
		s.Queues = append(s.Queues, config.Queue{Name: "cuts", Kind: config.QueueTasks, MaxWaiting: 5000, MaxBody: 1000,
			Deadline: time.Minute, MaxDeadline: time.Minute, MaxAttempts: 3})
		for i := range 3 {
			name := fmt.Sprintf("w%d", i+1)
			s.Workers = append(s.Workers, config.Worker{Name: model.Worker(name), DC: "a", Rack: "r", Addr: name, Cores: 16, MemoryMB: 32768})
		}
		withoutKeys := *s
		withoutKeys.Keys, withoutKeys.Name = nil, "no-keys"
		cl.sites["no-keys"] = &withoutKeys
		cl.startAll()
		entry := cl.awaitCoordinator("a", 3*time.Second)
		_, err := cl.apply(entry, "one", 0)
		require.NoError(t, err)
		cl.awaitConfig(1, 5*time.Second, entry)
		f(cl, w)
		require.False(t, w.overcommitted, "a worker got more cores than it has")
	})
}

// submitTask stores a task as an entry VM does, and offers it to the coordinator.
func (cl *cluster) submitTask(change func(*model.TaskRow)) model.JobID {
	cl.t.Helper()
	entry := cl.awaitCoordinator("a", 5*time.Second)
	row := model.TaskRow{Declared: model.TaskSize{Cores: 4, MemoryMB: 512}, State: model.TaskWaiting, Digest: "d",
		Request: model.Request{Job: model.NewJobID(time.Now(), entry), Queue: "cuts", Team: "t", KeyID: "key-t",
			Priority: model.PriorityNormal, Idempotent: true, Accepted: time.Now(), Deadline: time.Now().Add(time.Minute)}}
	if change != nil {
		change(&row)
	}
	id := row.Request.Job
	v := nodeStore{cl.store, cl.nodes[entry]}
	require.NoError(cl.t, nodeObjects{v}.Put(cl.t.Context(), 0, model.TaskBodyName(id), []byte("{}")))
	val, err := json.Marshal(row)
	require.NoError(cl.t, err)
	key := model.TaskKey("a", id)
	_, err = v.Commit(cl.t.Context(), 0, platform.Txn{Conditions: []platform.Condition{{Key: key}}, Puts: []platform.Put{{Key: key, Value: val}}})
	require.NoError(cl.t, err)
	cl.nodes[entry].control.OfferTask(1, row)
	return id
}

func nonIdempotent(r *model.TaskRow) { r.Request.Idempotent = false }

func (cl *cluster) storedTaskRow(id model.JobID) model.TaskRow {
	var row model.TaskRow
	require.NoError(cl.t, json.Unmarshal(cl.store.row(model.TaskKey("a", id)).Value, &row))
	return row
}

// awaitTaskEnd waits for the end of a task and returns its result.
func (cl *cluster) awaitTaskEnd(id model.JobID, within time.Duration) model.Result {
	cl.t.Helper()
	cl.eventually(within, func() bool { return cl.storedTaskRow(id).State == model.TaskEnded }, "task "+string(id)+" did not end")
	return *cl.storedTaskRow(id).Result
}

// Guards against a stored task that never runs, runs twice or ends without an answer, and
// against records that miss a step.
func TestTaskRunsExactlyOnce(t *testing.T) {
	withTasks(t, 3*time.Second, func(cl *cluster, w *fakeWorkers) {
		id := cl.submitTask(nonIdempotent)
		res := cl.awaitTaskEnd(id, 5*time.Second)
		require.Equal(t, model.StateRan, res.State)
		require.Equal(t, 1, w.startCount(id))
		var a model.TaskAnswer
		cl.store.mu.Lock()
		require.NoError(t, json.Unmarshal(cl.store.objects[model.TaskAnswerName(id)], &a))
		cl.store.mu.Unlock()
		require.Contains(t, string(a.Result.Body), `"request_digest":"d"`)
		cl.advance(100 * time.Millisecond)
		var steps []string
		cl.mu.Lock()
		for _, r := range cl.records {
			if r.Job == id {
				steps = append(steps, string(r.State)+" "+string(r.Reason))
			}
		}
		cl.mu.Unlock()
		require.Equal(t, []string{"queued task_stored", "queued placed", "dispatched started", "ran "}, steps)
		cl.advance(endedTaskRetention + 2*time.Second)
		require.Empty(t, cl.store.row(model.TaskKey("a", id)).Value, "the row of an ended task was not removed")
	})
}

// Guards against a second run of a non-idempotent task whose attempt was lost, and against
// an idempotent task that is not run again.
func TestLostAttempts(t *testing.T) {
	withTasks(t, 30*time.Second, func(cl *cluster, w *fakeWorkers) {
		once, again := cl.submitTask(nonIdempotent), cl.submitTask(nil)
		cl.eventually(3*time.Second, func() bool { return w.workerOf(once) != "" && w.workerOf(again) != "" }, "tasks not started")
		for i := range 3 {
			w.forget(fmt.Sprintf("w%d", i+1))
		}
		require.Equal(t, model.StateUnknown, cl.awaitTaskEnd(once, 5*time.Second).State)
		require.Equal(t, model.StateRan, cl.awaitTaskEnd(again, 60*time.Second).State)
		require.Equal(t, 1, w.startCount(once))
		require.Equal(t, 2, w.startCount(again))
	})
}

// Guards against a new attempt while the earlier one may still run on an unreachable worker.
func TestAttemptOnUnreachableWorker(t *testing.T) {
	withTasks(t, 5*time.Minute, func(cl *cluster, w *fakeWorkers) {
		id := cl.submitTask(nil)
		cl.eventually(3*time.Second, func() bool { return w.workerOf(id) != "" }, "task not started")
		addr := w.workerOf(id)
		w.mu.Lock()
		lease := w.tasks[addr][id].lease
		w.down[addr] = true
		w.mu.Unlock()
		cl.eventually(40*time.Second, func() bool { return w.startCount(id) == 2 }, "no second attempt was started")
		require.True(t, time.Now().After(lease.Add(taskLeaseMargin/2)), "the second attempt was started before the lease of the first one expired")
		require.NotEqual(t, addr, w.workerOf(id))
	})
}

// Guards against a takeover after which running tasks are started again or lost.
func TestTakeoverKeepsTasks(t *testing.T) {
	withTasks(t, 20*time.Second, func(cl *cluster, w *fakeWorkers) {
		ids := []model.JobID{cl.submitTask(nonIdempotent), cl.submitTask(nil)}
		cl.eventually(3*time.Second, func() bool { return w.workerOf(ids[0]) != "" && w.workerOf(ids[1]) != "" }, "tasks not started")
		old := cl.awaitCoordinator("a", time.Second)
		cl.nodes[old].kill()
		require.NotEqual(t, old, cl.awaitCoordinator("a", 5*time.Second))
		for _, id := range ids {
			require.Equal(t, model.StateRan, cl.awaitTaskEnd(id, 30*time.Second).State)
			require.Equal(t, 1, w.startCount(id))
		}
	})
}

// Guards against a start with a lost answer that is treated as if it had no effect.
func TestLostStartAnswer(t *testing.T) {
	withTasks(t, time.Second, func(cl *cluster, w *fakeWorkers) {
		w.loseStartAnswers = 1
		id := cl.submitTask(nonIdempotent)
		require.Equal(t, model.StateRan, cl.awaitTaskEnd(id, 5*time.Second).State)
		require.Equal(t, 1, w.startCount(id))
	})
}

// Guards against an urgent task that waits for other tasks when all workers are full.
func TestUrgentTaskOnFullFleet(t *testing.T) {
	withTasks(t, 10*time.Minute, func(cl *cluster, w *fakeWorkers) {
		for range 12 {
			cl.submitTask(nil)
		}
		cl.eventually(5*time.Second, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(w.starts) == 12
		}, "the fleet is not full")
		id := cl.submitTask(func(r *model.TaskRow) { r.Request.Priority = model.PriorityUrgent })
		cl.eventually(2200*time.Millisecond, func() bool { return w.startCount(id) == 1 }, "urgent task not started")
	})
}

// Guards against failing tasks that are retried for ever or more than once on the same
// worker.
func TestTaskThatAlwaysFails(t *testing.T) {
	withTasks(t, 100*time.Millisecond, func(cl *cluster, w *fakeWorkers) {
		w.failing = map[string]bool{"w1": true, "w2": true, "w3": true}
		id, once := cl.submitTask(nil), cl.submitTask(nonIdempotent)
		res := cl.awaitTaskEnd(id, 20*time.Second)
		require.Equal(t, model.ReasonFailsOnEveryWorker, res.Reason)
		require.Equal(t, 500, res.Status)
		require.Len(t, slices.Compact(slices.Sorted(slices.Values(cl.storedTaskRow(id).Avoid))), 3)
		require.Equal(t, 3, w.startCount(id))
		require.Equal(t, model.ReasonTaskFailed, cl.awaitTaskEnd(once, time.Second).Reason)
		require.Equal(t, 1, w.startCount(once))
		large := cl.submitTask(func(r *model.TaskRow) { r.Declared.Cores = 17 })
		require.Equal(t, model.StateRefused, cl.awaitTaskEnd(large, 2*time.Second).State)
	})
}

// Guards against a waiting task that runs although its key was withdrawn, and against a
// running task that is refused because of it.
func TestWithdrawnKeyEndsWaitingTasks(t *testing.T) {
	withTasks(t, 30*time.Second, func(cl *cluster, w *fakeWorkers) {
		runs := cl.submitTask(func(r *model.TaskRow) { r.Declared.Cores = 16 })
		for range 2 {
			cl.submitTask(func(r *model.TaskRow) { r.Declared.Cores = 16 })
		}
		waits := cl.submitTask(func(r *model.TaskRow) { r.Declared.Cores = 16 })
		cl.eventually(3*time.Second, func() bool { return w.workerOf(runs) != "" }, "task not started")
		_, err := cl.apply(cl.awaitCoordinator("a", time.Second), "no-keys", 1)
		require.NoError(t, err)
		res := cl.awaitTaskEnd(waits, 5*time.Second)
		require.Equal(t, model.StateRefused, res.State)
		require.Equal(t, model.ReasonKeyWithdrawn, res.Reason)
		require.Zero(t, w.startCount(waits))
		require.Equal(t, model.StateRan, cl.awaitTaskEnd(runs, 40*time.Second).State)
	})
}

// Guards against running tasks that are lost in an outage of the store, and against attempts
// that start before their row is stored.
func TestTasksInStoreOutage(t *testing.T) {
	withTasks(t, 15*time.Second, func(cl *cluster, w *fakeWorkers) {
		id := cl.submitTask(nonIdempotent)
		cl.eventually(3*time.Second, func() bool { return w.workerOf(id) != "" }, "task not started")
		var waits []model.JobID
		for range 13 {
			waits = append(waits, cl.submitTask(nonIdempotent))
		}
		cl.advance(500 * time.Millisecond)
		cl.store.setDown(true)
		cl.advance(25 * time.Second)
		w.mu.Lock()
		starts := len(w.starts)
		w.mu.Unlock()
		cl.advance(5 * time.Second)
		require.Len(t, w.starts, starts, "a task started during the outage")
		cl.store.setDown(false)
		for _, x := range append(waits, id) {
			require.Equal(t, model.StateRan, cl.awaitTaskEnd(x, time.Minute).State)
			require.Equal(t, 1, w.startCount(x))
		}
	})
}

// Guards against rows that are written twice, lost or out of order when answers of the store
// are lost, and against cancellations that use one transaction each.
func TestManyCancellationsWithLostAnswers(t *testing.T) {
	withTasks(t, time.Hour, func(cl *cluster, w *fakeWorkers) {
		for range 3 {
			cl.submitTask(func(r *model.TaskRow) { r.Declared.Cores = 16 })
		}
		var ids []model.JobID
		for range 300 {
			ids = append(ids, cl.submitTask(func(r *model.TaskRow) { r.Declared.Cores = 16 }))
		}
		cl.advance(time.Second)
		n := 0
		cl.store.mu.Lock()
		cl.store.loseAnswer = func(x platform.Txn) bool { n++; return n%3 == 0 && strings.HasPrefix(x.Puts[0].Key, "task-seq/") }
		before := cl.store.commits["task-seq/a"]
		cl.store.mu.Unlock()
		at := cl.nodes[cl.awaitCoordinator("a", time.Second)].control
		var wg sync.WaitGroup
		for _, id := range ids {
			wg.Go(func() {
				r, err := at.CancelTask(cl.t.Context(), id, "t")
				require.NoError(t, err)
				require.Equal(t, model.StateCancelled, r.Result.State)
			})
		}
		wg.Wait()
		for _, id := range ids {
			require.Equal(t, model.StateCancelled, cl.awaitTaskEnd(id, time.Second).State)
			require.Zero(t, w.startCount(id))
		}
		cl.store.mu.Lock()
		defer cl.store.mu.Unlock()
		require.LessOrEqual(t, cl.store.commits["task-seq/a"]-before, 6)
	})
}
