package worker

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Errors of the task table.
var (
	errNoRoom     = errors.New("cores, memory or accelerators are not free")
	errNoTask     = errors.New("no such task")
	errOldAttempt = errors.New("another attempt of the task is known")
	errEnded      = errors.New("the task has ended")
	errBadCommand = errors.New("malformed command")
	errDown       = errors.New("the worker went down")
)

// maxEnded bounds the ended tasks that are kept for repeated starts and listings.
const maxEnded = 1000

// sample is the usage of a task from a time on.
type sample struct {
	at  time.Time
	use Usage
}

// task is one task. The mutex of its table guards it.
type task struct {
	Start
	state     State
	payload   Payload
	percent   int
	done      time.Duration // completed run time at since
	since     time.Time
	leaseEnd  time.Time
	finish    *time.Timer
	lease     *time.Timer
	fails     bool
	samples   []sample
	checkedAt json.RawMessage
}

// progress returns the completed run time at now.
func (t *task) progress(now time.Time) time.Duration {
	if t.state != StateRunning {
		return t.done
	}
	return t.done + now.Sub(t.since)*time.Duration(t.percent)/100
}

func (t *task) realRun() time.Duration {
	ms := t.RunMS
	if t.payload.RealRunMS > 0 {
		ms = t.payload.RealRunMS
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *task) use() Usage {
	u := Usage{Cores: float64(t.Cores), MemoryMB: t.MemoryMB}
	if t.payload.UseCores > 0 {
		u.Cores = t.payload.UseCores
	}
	if t.payload.UseMemoryMB > 0 {
		u.MemoryMB = t.payload.UseMemoryMB
	}
	u.Cores = u.Cores * float64(t.percent) / 100
	return u
}

// heldCores is what a running task keeps at a speed: a throttled task gives cores back.
func (t *task) heldCores(percent int) int { return t.Cores - t.Cores*(100-percent)/100 }

// usageAt returns the latest sample at or before a time.
func (t *task) usageAt(at time.Time) Usage {
	for _, s := range slices.Backward(t.samples) {
		if !s.at.After(at) {
			return s.use
		}
	}
	return Usage{}
}

// tasks is the task table of a worker between two reboots.
type tasks struct {
	opt       Options
	onStart   func(id string, attempt int)
	onExpired func()

	mu    sync.Mutex
	byID  map[string]*task // guarded by mu
	ended []string         // guarded by mu, ids in the order of their end
	down  bool             // guarded by mu
}

func newTasks(o Options, onStart func(string, int), onExpired func()) *tasks {
	return &tasks{opt: o, onStart: onStart, onExpired: onExpired, byID: map[string]*task{}}
}

// start starts a task. Repeating a start of the same attempt returns its state; a later
// attempt replaces one that has ended.
func (ts *tasks) start(s Start, failAfter time.Duration, fails bool) (Task, error) {
	if s.ID == "" || s.Cores < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.RunMS < 0 || s.LeaseMS <= 0 {
		return Task{}, fmt.Errorf("%w: id, sizes, run time and lease are required", errBadCommand)
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.down {
		return Task{}, errDown
	}
	now := time.Now()
	if old, ok := ts.byID[s.ID]; ok {
		if old.Attempt == s.Attempt {
			return ts.view(old, now), nil
		}
		if old.Attempt > s.Attempt || old.state == StateRunning {
			return ts.view(old, now), errOldAttempt
		}
	}
	if !ts.fits(s) {
		return Task{}, errNoRoom
	}
	t := &task{Start: s, state: StateRunning, percent: 100, since: now}
	if json.Unmarshal(s.Payload, &t.payload) != nil {
		t.payload = Payload{}
	}
	var cp Checkpoint
	if json.Unmarshal(s.Checkpoint, &cp) == nil {
		t.done = time.Duration(cp.DoneMS) * time.Millisecond
	}
	t.fails = t.payload.Fail || fails
	if fails {
		t.payload.RealRunMS = max(1, (t.done + failAfter).Milliseconds())
	}
	ts.byID[s.ID] = t
	ts.onStart(s.ID, s.Attempt)
	t.samples = append(t.samples, sample{at: now, use: t.use()})
	ts.arm(t)
	ts.setLease(t, now, s.LeaseMS)
	return ts.view(t, now), nil
}

// fits requires mu.
func (ts *tasks) fits(s Start) bool {
	cores, mem, acc := s.Cores, s.MemoryMB, s.Accelerators
	for _, t := range ts.byID {
		if t.state == StateRunning {
			cores, mem, acc = cores+t.heldCores(t.percent), mem+t.MemoryMB, acc+t.Accelerators
		}
	}
	return cores <= ts.opt.Cores && mem <= ts.opt.MemoryMB && acc <= ts.opt.Accelerators
}

// arm sets the timer of the task's end. It requires mu.
func (ts *tasks) arm(t *task) {
	if t.finish != nil {
		t.finish.Stop()
	}
	left := max(0, t.realRun()-t.done) * 100 / time.Duration(t.percent)
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		if t.finish != timer {
			return // replaced by a throttle
		}
		if t.fails {
			ts.end(t, StateFailed)
		} else {
			ts.end(t, StateDone)
		}
	})
	t.finish = timer
}

// setLease requires mu.
func (ts *tasks) setLease(t *task, now time.Time, ms int64) {
	if t.lease != nil {
		t.lease.Stop()
	}
	d := time.Duration(ms) * time.Millisecond
	t.leaseEnd = now.Add(d)
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		if t.lease == timer && t.state == StateRunning && !ts.down {
			ts.onExpired()
			ts.end(t, StateExpired)
		}
	})
	t.lease = timer
}

// end requires mu.
func (ts *tasks) end(t *task, s State) {
	if t.state != StateRunning || ts.down {
		return
	}
	now := time.Now()
	t.done = t.progress(now)
	t.state = s
	t.finish.Stop()
	t.lease.Stop()
	t.samples = append(t.samples, sample{at: now})
	ts.ended = append(ts.ended, t.ID)
	if len(ts.ended) > maxEnded {
		if old := ts.byID[ts.ended[0]]; old != nil && old.state != StateRunning {
			delete(ts.byID, old.ID)
		}
		ts.ended = ts.ended[1:]
	}
}

// command runs f on a running task of exactly the attempt.
func (ts *tasks) command(id string, attempt int, f func(t *task, now time.Time) error) (Task, error) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t, ok := ts.byID[id]
	if !ok {
		return Task{}, errNoTask
	}
	now := time.Now()
	if t.Attempt != attempt {
		return ts.view(t, now), errOldAttempt
	}
	if t.state != StateRunning {
		return ts.view(t, now), errEnded
	}
	if err := f(t, now); err != nil {
		return ts.view(t, now), err
	}
	v := ts.view(t, now)
	v.Checkpoint = t.checkedAt
	return v, nil
}

func (ts *tasks) renew(id string, c Command) (Task, error) {
	return ts.command(id, c.Attempt, func(t *task, now time.Time) error {
		if c.LeaseMS <= 0 {
			return fmt.Errorf("%w: lease_ms", errBadCommand)
		}
		ts.setLease(t, now, c.LeaseMS)
		return nil
	})
}

func (ts *tasks) checkpoint(id string, c Command) (Task, error) {
	return ts.command(id, c.Attempt, func(t *task, now time.Time) error {
		data, err := json.Marshal(Checkpoint{DoneMS: t.progress(now).Milliseconds()})
		if err != nil {
			return err
		}
		t.checkedAt = data
		if c.Stop {
			ts.end(t, StateStopped)
		}
		return nil
	})
}

func (ts *tasks) throttle(id string, c Command) (Task, error) {
	return ts.command(id, c.Attempt, func(t *task, now time.Time) error {
		if c.Percent < 1 || c.Percent > 100 {
			return fmt.Errorf("%w: percent must be from 1 to 100", errBadCommand)
		}
		if more := t.heldCores(c.Percent) - t.heldCores(t.percent); more > 0 && !ts.fits(Start{Cores: more}) {
			return errNoRoom
		}
		t.done, t.since, t.percent = t.progress(now), now, c.Percent
		t.samples = append(t.samples, sample{at: now, use: t.use()})
		ts.arm(t)
		return nil
	})
}

func (ts *tasks) stop(id string, c Command) (Task, error) {
	return ts.command(id, c.Attempt, func(t *task, _ time.Time) error {
		ts.end(t, StateStopped)
		return nil
	})
}

func (ts *tasks) list() Tasks {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := time.Now()
	out := Tasks{
		Worker: ts.opt.Name, Cores: ts.opt.Cores, MemoryMB: ts.opt.MemoryMB,
		Accelerators: ts.opt.Accelerators, Tasks: []Task{},
	}
	for _, t := range ts.byID {
		out.Tasks = append(out.Tasks, ts.view(t, now))
	}
	slices.SortFunc(out.Tasks, func(a, b Task) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// view requires mu.
func (ts *tasks) view(t *task, now time.Time) Task {
	v := Task{
		ID: t.ID, Attempt: t.Attempt, State: t.state, Cores: t.Cores, MemoryMB: t.MemoryMB,
		Accelerators: t.Accelerators, Percent: t.percent, DoneMS: t.progress(now).Milliseconds(),
		Usage: t.usageAt(now.Add(-ts.opt.UsageLag)),
	}
	if t.state == StateRunning {
		v.LeaseLeftMS = t.leaseEnd.Sub(now).Milliseconds()
	}
	return v
}

// close loses all tasks without a trace, as a reboot does.
func (ts *tasks) close() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.down = true
	for _, t := range ts.byID {
		t.finish.Stop()
		t.lease.Stop()
	}
}
