package prove

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/account"
	"boragepulley/internal/model"
	"boragepulley/standins/platform"
	"boragepulley/standins/worker"
)

// taskPatience is how long callers ask for the end of a task. It covers several leases
// one after the other.
const taskPatience = 2 * time.Minute

func taskScenarios() []Scenario {
	return []Scenario{
		{Name: "tasks", Shows: "I4 I6 I7: tasks of false sizes, failing tasks and workers, urgent ones on a full fleet", Site: taskSite, Run: tasksMixed},
		{Name: "tasks-faults", Shows: "I4 I6 I7: tasks while coordinators, store and workers fail", Site: taskSite, Run: tasksFaults},
		{Name: "tasks-cancelled", Shows: "I6: a wave of cancellations of waiting tasks", Site: taskSite, Run: tasksCancelled},
	}
}

// taskSite has two data centres, each with four workers of 16 cores in one rack.
func taskSite() sites.Options {
	return sites.Options{
		Name: "prove-tasks", DataCentres: sites.DataCentres(2, 3), Services: 1, MinionsPerService: 12,
		MaxRun: 5 * time.Second, Deadline: 8 * time.Second, Workers: 8,
	}
}

// urgentTeam sends urgent tasks only, so that its own limit never delays them.
const urgentTeam = 1

// randomTask returns a task whose declared size and run time are far off.
func (e *Env) randomTask(r *rand.Rand, longest time.Duration) load.Request {
	team := r.IntN(teams - 1)
	if team >= urgentTeam {
		team++
	}
	cores := 1 + r.IntN(8)
	run := time.Duration(1 + r.Int64N(int64(longest)))
	t := &load.Task{
		Cores: cores, MemoryMB: 256 << r.IntN(5), Declared: time.Duration(1 + r.Int64N(int64(10*longest))),
		UseCores: 0.2 + float64(cores)*2*r.Float64(), UseMemoryMB: 64 << r.IntN(7),
		Fail: r.IntN(12) == 0, Checkpoint: r.IntN(2) == 0, Async: r.IntN(5) != 0, Patience: taskPatience,
	}
	q := sites.TaskQueue
	if r.IntN(3) == 0 {
		q = sites.ArchiveQueue
	}
	return load.Request{Queue: string(q), Team: string(sites.TeamName(team)), Key: sites.KeyText(team),
		Idempotent: r.IntN(2) == 0, Run: run, Task: t}
}

// sendTasks sends n tasks at a mean distance and returns a function that waits until
// their callers have learnt their ends.
func (e *Env) sendTasks(ctx context.Context, n int, gap, longest time.Duration) (wait func()) {
	r := rand.New(rand.NewPCG(e.Seed, 11))
	var wg sync.WaitGroup
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range n {
			req := e.randomTask(r, longest)
			wg.Go(func() { e.Callers.Do(context.WithoutCancel(ctx), req) })
			e.Wait(ctx, time.Duration(r.Int64N(2*int64(gap))))
		}
	}()
	return func() {
		<-done
		wg.Wait()
	}
}

// judgeUrgent requires in the final report that each urgent task started in time, from
// its acceptance to the start that its worker confirmed.
func (e *Env) judgeUrgent(urgent []load.Seen) func(*account.Report) {
	return func(r *account.Report) {
		late, worst := 0, time.Duration(0)
		for _, s := range urgent {
			j := r.Job(s.Job)
			if j == nil {
				e.Fail(FaultUrgentLate, "task %s is not in the report: %s %s", s.Job, s.Verdict, s.Detail)
				continue
			}
			var accepted, started time.Time
			for _, st := range j.Steps {
				if accepted.IsZero() && st.State == model.StateAccepted {
					accepted = st.Time
				}
				if started.IsZero() && st.State == model.StateDispatched {
					started = st.Time
				}
			}
			took := started.Sub(accepted)
			worst = max(worst, took)
			if accepted.IsZero() || started.IsZero() || took > startWithin {
				late++
				e.Fail(FaultUrgentLate, "task %s of %s: accepted %v, started %v, %s %s", s.Job, s.Team, accepted, started, s.Verdict, s.Reason)
			}
		}
		e.Say("%d urgent tasks, %d late, the slowest started after %d ms.", len(urgent), late, worst.Milliseconds())
	}
}

func tasksMixed(ctx context.Context, e *Env) error {
	bad := sites.WorkerName(e.Rand.IntN(e.Site.Workers))
	e.Say("%s fails every task.", bad)
	if err := e.WorkerFaults(bad, worker.Faults{FailEverything: true, FailAfterMS: 50}); err != nil {
		return err
	}
	wait := e.sendTasks(ctx, 150, 60*time.Millisecond, 8*time.Second)
	large := e.Callers.Do(ctx, load.Request{Queue: string(sites.TaskQueue), Team: string(sites.TeamName(0)), Key: sites.KeyText(0),
		Idempotent: true, Run: time.Second, Task: &load.Task{Cores: 64, MemoryMB: 512, Async: true, Patience: taskPatience}})
	if large.Verdict != load.SawNotRun || large.Reason != model.ReasonTooLarge {
		e.Fail(load.FaultTaskOpen, "a task larger than every worker: %s %s", large.Verdict, large.Reason)
	}
	e.Wait(ctx, 8*time.Second)
	var mu sync.Mutex
	var urgent []load.Seen
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			s := e.Callers.Do(context.WithoutCancel(ctx), load.Request{Queue: string(sites.TaskQueue), Team: string(sites.TeamName(urgentTeam)),
				Key: sites.KeyText(urgentTeam), Idempotent: true, Urgent: true, Run: 200 * time.Millisecond,
				Task: &load.Task{Cores: 4, MemoryMB: 256, Async: true, Patience: taskPatience}})
			mu.Lock()
			defer mu.Unlock()
			urgent = append(urgent, s)
		})
		e.Wait(ctx, 400*time.Millisecond)
	}
	wg.Wait()
	wait()
	e.judge = e.judgeUrgent(urgent)
	return nil
}

func tasksFaults(ctx context.Context, e *Env) error {
	wait := e.sendTasks(ctx, 200, 250*time.Millisecond, 6*time.Second)
	e.Wait(ctx, 4*time.Second)
	for _, step := range []func(context.Context) error{e.killTaskCoordinator, e.pauseTaskCoordinator, e.tasksWithoutStore, e.tasksLostAnswers} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := e.Heal(ctx); err != nil {
		return err
	}
	wait()
	return nil
}

func (e *Env) killTaskCoordinator(ctx context.Context) error {
	dc := e.target()
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	start := time.Now()
	e.KillEntry(old)
	if _, err := e.awaitCoordinator(ctx, dc, old, start); err != nil {
		return err
	}
	e.Wait(ctx, 3*time.Second)
	return e.StartEntry(old)
}

// pauseTaskCoordinator freezes a coordinator past the leases of its attempts.
func (e *Env) pauseTaskCoordinator(ctx context.Context) error {
	dc := e.target()
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	e.Say("Pausing %s for 15 s.", old)
	e.killed[old] = true
	start := time.Now()
	if err := e.Pause(old); err != nil {
		return err
	}
	if _, err := e.awaitCoordinator(ctx, dc, old, start); err != nil {
		return err
	}
	e.Wait(ctx, 15*time.Second-time.Since(start))
	e.Say("Resuming %s.", old)
	return e.Resume(old)
}

func (e *Env) tasksWithoutStore(ctx context.Context) error {
	mode := []platform.OutageMode{platform.OutageRefuse, platform.OutageHang, platform.OutageDrop}[e.Rand.IntN(3)]
	e.Say("The store is down (%s), a coordinator is killed meanwhile.", mode)
	if err := e.PlatformFaults(platform.Faults{Outage: mode}); err != nil {
		return err
	}
	e.Wait(ctx, 3*time.Second)
	dc := e.target()
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	start := time.Now()
	e.KillEntry(old)
	if _, err := e.awaitCoordinator(ctx, dc, old, start); err != nil {
		return err
	}
	e.Wait(ctx, 10*time.Second)
	e.Say("The store is back.")
	if err := e.PlatformFaults(platform.Faults{}); err != nil {
		return err
	}
	e.Wait(ctx, 2*time.Second)
	return e.StartEntry(old)
}

func (e *Env) tasksLostAnswers(ctx context.Context) error {
	e.Say("A third of the store's answers and some of the workers' are lost, workers hang and reboot.")
	if err := e.PlatformFaults(platform.Faults{LostAnswers: []platform.LostAnswer{{Probability: 0.33}}}); err != nil {
		return err
	}
	for i := range 4 {
		w := sites.WorkerName(e.Rand.IntN(e.Site.Workers))
		var err error
		switch i % 4 {
		case 0, 1:
			err = e.WorkerFaults(w, worker.Faults{LoseAnswers: 5})
		case 2:
			err = e.WorkerFaults(w, worker.Faults{Hang: true})
		case 3:
			err = e.RebootWorker(w, 500*time.Millisecond)
		}
		if err != nil {
			return err
		}
		e.Wait(ctx, 2500*time.Millisecond)
	}
	return nil
}

// FaultCancelCost is a wave of cancellations that costs more than its size explains.
const FaultCancelCost load.FaultKind = "the cost of a wave of cancellations grows faster than its size"

// tasksCancelled fills the workers and cancels waves of waiting tasks of two sizes.
func tasksCancelled(ctx context.Context, e *Env) error {
	fill := e.submitWave(ctx, 16, 16, 20*time.Second)
	e.Wait(ctx, 3*time.Second)
	var took [2]time.Duration
	for i, n := range []int{60, 240} {
		wave := e.submitWave(ctx, n, 16, 30*time.Second)
		took[i] = e.cancelTasks(ctx, wave)
		e.Say("%d waiting tasks cancelled in %d ms.", n, took[i].Milliseconds())
		e.awaitTasksEnd(ctx, wave)
	}
	// Proportional with half as much again, and a second for what does not depend on the size.
	if took[1] > 6*took[0]+time.Second {
		e.Fail(FaultCancelCost, "60 took %v, 240 took %v", took[0], took[1])
	}
	e.awaitTasksEnd(ctx, fill)
	return nil
}

func (e *Env) submitWave(ctx context.Context, n, cores int, run time.Duration) []load.Seen {
	out := make([]load.Seen, n)
	var wg sync.WaitGroup
	for i := range out {
		team := i % 2 * 2 // the first and the third team
		wg.Go(func() {
			out[i] = e.Callers.Submit(ctx, load.Request{Queue: string(sites.TaskQueue), Team: string(sites.TeamName(team)), Key: sites.KeyText(team),
				Idempotent: i%3 == 0, Run: run, Task: &load.Task{Cores: cores, MemoryMB: 256, Async: true, Patience: 2 * taskPatience}})
		})
		e.Wait(ctx, 10*time.Millisecond)
	}
	wg.Wait()
	return out
}

// cancelTasks cancels all tasks of a wave at once. A task may have started meanwhile.
func (e *Env) cancelTasks(ctx context.Context, wave []load.Seen) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	var cancelled, started atomic.Int64
	for _, s := range wave {
		if s.Verdict != load.SawUnknown {
			continue
		}
		wg.Go(func() {
			for ctx.Err() == nil {
				code, err := e.Callers.Cancel(ctx, s.Key, s.Job)
				if err == nil && code == http.StatusOK {
					cancelled.Add(1)
					return
				}
				if err == nil && code == http.StatusConflict {
					started.Add(1)
					return
				}
				e.Wait(ctx, 100*time.Millisecond)
			}
		})
	}
	wg.Wait()
	e.Say("%d cancelled, %d had started or ended.", cancelled.Load(), started.Load())
	return time.Since(start)
}

func (e *Env) awaitTasksEnd(ctx context.Context, wave []load.Seen) {
	var wg sync.WaitGroup
	for _, s := range wave {
		wg.Go(func() { e.Callers.Await(ctx, s) })
	}
	wg.Wait()
}
