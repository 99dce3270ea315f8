package prove

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/standins/minion"
)

func minionScenarios() []Scenario {
	return []Scenario{
		{Name: "minion-faults", Shows: "I5 I6 I7, slots: one or two bad minions per service, and reboots", Run: minionFaults},
		{Name: "minion-ejected", Shows: "a minion that fails everything is ejected and later used again", Run: minionEjected},
		{Name: "minion-all-bad", Shows: "jobs that fail on every minion end with a reason after a bounded number of attempts", Run: minionAllBad},
	}
}

// Faults of minions.
const (
	FaultNotEjected load.FaultKind = "a failing minion was not ejected"
	FaultNotReused  load.FaultKind = "a minion that works again was not used again"
	FaultAttempts   load.FaultKind = "a job that cannot run did not end with a reason after a bounded number of attempts"
)

// maxAttempts of a job in the generated sites.
const maxAttempts = 3

var minionFaultKinds = []minion.Fault{
	{Kind: minion.FaultTruncate, Probability: 0.5},
	{Kind: minion.FaultCorrupt, Probability: 0.5},
	{Kind: minion.FaultWrongJob, Probability: 0.5},
	{Kind: minion.FaultLate, DelayMS: 700, Probability: 0.5},
	{Kind: minion.FaultFail, Probability: 0.7},
	{Kind: minion.FaultHang, Probability: 0.2},
	{Kind: minion.FaultRefuse, Probability: 0.7},
	{Kind: minion.FaultSlow, DelayMS: 1500, Probability: 0.5},
}

func minionFaults(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	e.Wait(ctx, time.Second)
	kinds := append([]minion.Fault(nil), minionFaultKinds...)
	for range 2 {
		e.Rand.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		bad, err := e.spoilMinions(kinds)
		if err != nil {
			return err
		}
		e.Wait(ctx, 4*time.Second)
		for range 2 {
			vm := sites.MinionName(e.Rand.IntN(e.Site.Minions()))
			e.Say("Rebooting %s.", vm)
			if err := e.Reboot(vm, time.Second); err != nil {
				return err
			}
			e.Wait(ctx, 1500*time.Millisecond)
		}
		for _, vm := range bad {
			if err := e.MinionFaults(vm); err != nil {
				return err
			}
		}
	}
	e.Wait(ctx, time.Second)
	return nil
}

// spoilMinions gives one or two minions of each service a fault each.
func (e *Env) spoilMinions(kinds []minion.Fault) ([]model.VM, error) {
	var out []model.VM
	for s := range e.Site.Services {
		for _, i := range e.Rand.Perm(e.Site.MinionsPerService)[:1+e.Rand.IntN(2)] {
			vm, f := sites.MinionName(s*e.Site.MinionsPerService+i), kinds[len(out)%len(kinds)]
			e.Say("%s of %s: %s.", vm, sites.ServiceName(s), f.Kind)
			if err := e.MinionFaults(vm, f); err != nil {
				return nil, err
			}
			out = append(out, vm)
		}
	}
	return out, nil
}

func minionEjected(ctx context.Context, e *Env) error {
	m := Mix{Rate: 60, Run: 20 * time.Millisecond, Steady: true}
	stop := e.Load(ctx, m)
	defer stop()
	e.Wait(ctx, time.Second)
	vm := sites.MinionName(e.Rand.IntN(e.Site.Minions()))
	kind := []minion.FaultKind{minion.FaultFail, minion.FaultRefuse, minion.FaultCorrupt, minion.FaultTruncate}[e.Rand.IntN(4)]
	e.Say("%s answers every request with fault %s.", vm, kind)
	start := time.Now()
	if err := e.MinionFaults(vm, minion.Fault{Kind: kind}); err != nil {
		return err
	}
	if !e.awaitEjected(ctx, vm, true) {
		e.Fail(FaultNotEjected, "%s with fault %s is not ejected after %v", vm, kind, time.Since(start))
		return nil
	}
	e.measureTime(time.Since(start), "until the minion was ejected (%s)", kind)
	e.Wait(ctx, 2*time.Second)
	start = time.Now()
	if err := e.MinionFaults(vm); err != nil {
		return err
	}
	before, err := e.startedAt(vm)
	if err != nil {
		return err
	}
	ok := e.awaitEjected(ctx, vm, false)
	e.measureTime(time.Since(start), "until the minion was used again")
	e.Wait(ctx, 2*time.Second)
	after, err := e.startedAt(vm)
	if err != nil {
		return err
	}
	if !ok || after == before {
		e.Fail(FaultNotReused, "%s works again since %v and is not used (%d starts before, %d now)", vm, time.Since(start), before, after)
	}
	return nil
}

// awaitEjected waits until the status shows a minion as ejected, or not.
func (e *Env) awaitEjected(ctx context.Context, vm model.VM, want bool) bool {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	op, err := e.Operator()
	if err != nil {
		return false
	}
	for ctx.Err() == nil {
		if st, err := op.Status(ctx); err == nil {
			for _, v := range st.VMs {
				if v.Name == vm && v.Ejected == want {
					return true
				}
			}
		}
		e.Wait(ctx, 50*time.Millisecond)
	}
	return false
}

func (e *Env) startedAt(vm model.VM) (int64, error) {
	stats, err := e.MinionStats()
	if err != nil {
		return 0, err
	}
	for _, s := range stats {
		if s.Name == string(vm) {
			return s.Started, nil
		}
	}
	return 0, errors.Errorf("prove: no minion %s", vm)
}

func minionAllBad(ctx context.Context, e *Env) error {
	worst := 0
	for _, kind := range []minion.FaultKind{minion.FaultRefuse, minion.FaultCorrupt, minion.FaultTruncate, minion.FaultWrongJob, minion.FaultFail} {
		e.Say("All minions of %s: %s.", sites.ServiceName(0), kind)
		if err := e.allMinions(0, minion.Fault{Kind: kind}); err != nil {
			return err
		}
		seen := e.sendBad(ctx, 12)
		runs, err := e.Runs()
		if err != nil {
			return err
		}
		for _, s := range seen {
			e.judgeBad(kind, s, runs[s.Job])
			worst = max(worst, runs[s.Job])
		}
		if err := e.allMinions(0); err != nil {
			return err
		}
		e.Wait(ctx, 1500*time.Millisecond)
	}
	e.Measure(float64(worst), "starts", "most starts of one job that fails everywhere")
	return nil
}

func (e *Env) allMinions(service int, f ...minion.Fault) error {
	for i := range e.Site.MinionsPerService {
		if err := e.MinionFaults(sites.MinionName(service*e.Site.MinionsPerService+i), f...); err != nil {
			return err
		}
	}
	return nil
}

// sendBad sends n requests to the first service, every second one idempotent.
func (e *Env) sendBad(ctx context.Context, n int) []load.Seen {
	out := make([]load.Seen, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			out[i] = e.Callers.Do(ctx, load.Request{
				Queue: string(sites.QueueName(0)), Team: string(sites.TeamName(0)), Key: sites.KeyText(0),
				Idempotent: i%2 == 0, Run: 10 * time.Millisecond, Deadline: 6 * time.Second,
			})
		})
		e.Wait(ctx, 50*time.Millisecond)
	}
	wg.Wait()
	return out
}

// judgeBad checks a request whose every attempt fails.
func (e *Env) judgeBad(kind minion.FaultKind, s load.Seen, starts int) {
	bound := maxAttempts
	if !s.Idempotent {
		bound = 1
	}
	if starts > bound {
		e.Fail(FaultAttempts, "%s: job %s was started %d times, at most %d are allowed", kind, s.Job, starts, bound)
	}
	want := load.SawUnknown
	switch kind {
	case minion.FaultRefuse:
		want = load.SawNotRun
	case minion.FaultFail:
		want = load.SawRan
	}
	if s.Verdict != want || want != load.SawRan && s.Reason == "" {
		// A deadline or a full retry budget before the first attempt is a reason too.
		if s.Verdict == load.SawNotRun && s.Reason != "" && starts == 0 {
			return
		}
		e.Fail(FaultAttempts, "%s: job %s ended as %s %q after %d starts, want %s with a reason", kind, s.Job, s.Verdict, s.Reason, starts, want)
	}
}
