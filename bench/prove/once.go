package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/standins/platform"
)

func onceScenarios() []Scenario {
	return []Scenario{
		{Name: "once-faults", Shows: "I6 I7: repeats through entry VMs of different data centres under kills, pauses, outages and lost answers of claims", Run: onceFaults},
		{Name: "once-killed", Shows: "I6 I7: the entry VM is killed right after the dispatch and the request is repeated elsewhere", Run: onceKilled},
	}
}

// repeats sends non-idempotent requests with ids several times.
type repeats struct {
	e *Env

	mu  sync.Mutex // guards ids
	ids []string
	wg  sync.WaitGroup
}

// onceTag is the tag of all requests with an id.
func onceTag(id string) string { return "once/" + id }

func (r *repeats) request(rnd *rand.Rand, run time.Duration) load.Request {
	team := rnd.IntN(teams)
	id := fmt.Sprintf("once-%d-%d", r.e.Seed, rnd.Uint64())
	r.mu.Lock()
	r.ids = append(r.ids, id)
	r.mu.Unlock()
	return load.Request{
		Queue: string(sites.QueueName(rnd.IntN(r.e.Site.Services))), Team: string(sites.TeamName(team)), Key: sites.KeyText(team),
		RequestID: id, Run: run, Deadline: 5 * time.Second, Tag: onceTag(id), Content: 1 + rnd.Int64N(1<<52),
	}
}

// send sends one request copies times at once through entry VMs of different data
// centres, and once more later.
func (r *repeats) send(ctx context.Context, rnd *rand.Rand) {
	req := r.request(rnd, time.Duration(20+rnd.IntN(200))*time.Millisecond)
	dcs := rnd.Perm(len(r.e.Site.DataCentres))
	copies := 2 + rnd.IntN(3)
	at := func(i int) string {
		list := r.e.Site.DataCentres[dcs[i%len(dcs)]].EntryVMs
		return string(list[rnd.IntN(len(list))])
	}
	for i := range copies {
		r.later(ctx, req, at(i), time.Duration(rnd.IntN(30))*time.Millisecond)
	}
	r.later(ctx, req, at(copies), time.Duration(500+rnd.IntN(4000))*time.Millisecond)
}

func (r *repeats) later(ctx context.Context, req load.Request, entry string, after time.Duration) {
	req.Entry = entry
	r.wg.Go(func() {
		r.e.Wait(ctx, after)
		r.e.Callers.Do(context.WithoutCancel(ctx), req)
	})
}

// run sends groups until ctx ends and waits for the answers.
func (r *repeats) run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.e.Seed, 11))
	for ctx.Err() == nil {
		r.send(ctx, rnd)
		r.e.Wait(ctx, 60*time.Millisecond)
	}
	r.wg.Wait()
}

// judge requires that the requests with one id ran at most once, whatever their jobs,
// and not at all if every answer says so.
func (r *repeats) judge() error {
	tags, err := r.e.tagsByName()
	if err != nil {
		return err
	}
	answers := make(map[string][]load.Seen)
	for _, s := range r.e.Callers.Seen() {
		if s.RequestID != "" {
			answers[s.RequestID] = append(answers[s.RequestID], s)
		}
	}
	ran := 0
	for _, id := range r.ids {
		n := tags[onceTag(id)].Starts
		if n > 0 {
			ran++
		}
		if n > 1 {
			r.e.Fail(load.FaultRanTwice, "request id %s was started %d times: %s", id, n, describeAll(answers[id]))
		}
		if n > 0 && allRefused(answers[id]) {
			r.e.Fail(load.FaultFalseRefusal, "request id %s was started; all answers are refusals: %s", id, describeAll(answers[id]))
		}
	}
	r.e.Measure(float64(len(r.ids)), "request ids", "sent 3 to 5 times each")
	r.e.Measure(float64(ran), "request ids", "ran")
	return nil
}

func allRefused(seen []load.Seen) bool {
	for _, s := range seen {
		if s.Verdict != load.SawNotRun {
			return false
		}
	}
	return len(seen) > 0
}

func describeAll(seen []load.Seen) string {
	out := ""
	for _, s := range seen {
		out += fmt.Sprintf("[%s %s %s %s] ", s.Entry, s.Verdict, s.Reason, s.Job)
	}
	return out
}

func onceFaults(ctx context.Context, e *Env) error {
	r := &repeats{e: e}
	lctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(lctx)
	}()
	err := e.onceFaultSteps(ctx)
	cancel()
	<-done
	if err != nil {
		return err
	}
	return r.judge()
}

func (e *Env) onceFaultSteps(ctx context.Context) error {
	lost := platform.Faults{LostAnswers: []platform.LostAnswer{{KeyPrefix: "claim/", Probability: 0.4}}}
	e.Wait(ctx, time.Second)
	e.Say("Answers of claim writes are lost.")
	if err := e.PlatformFaults(lost); err != nil {
		return err
	}
	e.Wait(ctx, 2*time.Second)
	for range 2 {
		if err := e.killAndRestart(ctx, e.pickEntries(1)[0], time.Second); err != nil {
			return err
		}
		e.Wait(ctx, 500*time.Millisecond)
	}
	if err := e.outageFor(ctx, 2500*time.Millisecond, nil); err != nil {
		return err
	}
	if err := e.PlatformFaults(lost); err != nil {
		return err
	}
	if err := e.pauseFor(ctx, e.pickEntries(1)[0], 3*time.Second); err != nil {
		return err
	}
	e.Wait(ctx, time.Second)
	return e.PlatformFaults(platform.Faults{})
}

// killedRounds is how often an entry VM is killed right after a dispatch.
const killedRounds = 5

func onceKilled(ctx context.Context, e *Env) error {
	r := &repeats{e: e}
	for range killedRounds {
		if err := r.killAfterDispatch(ctx); err != nil {
			return err
		}
	}
	r.wg.Wait()
	return r.judge()
}

// killAfterDispatch kills the entry VM of a request as soon as a minion has started it,
// and repeats the request through the others.
func (r *repeats) killAfterDispatch(ctx context.Context) error {
	req := r.request(r.e.Rand, 600*time.Millisecond)
	entries := r.e.pickEntries(4)
	r.later(ctx, req, string(entries[0]), 0)
	start := time.Now()
	for time.Since(start) < startWithin {
		t, err := r.e.tag(req.Tag)
		if err != nil {
			return err
		}
		if t.Starts > 0 {
			break
		}
		r.e.Wait(ctx, 2*time.Millisecond)
	}
	r.e.KillEntry(entries[0])
	for i, n := range entries[1:] {
		r.later(ctx, req, string(n), time.Duration(i)*700*time.Millisecond)
	}
	r.e.Wait(ctx, 1500*time.Millisecond)
	if err := r.e.StartEntry(entries[0]); err != nil {
		return err
	}
	r.later(ctx, req, string(entries[0]), 1500*time.Millisecond)
	r.e.Wait(ctx, 500*time.Millisecond)
	return nil
}
