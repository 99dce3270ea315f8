package prove

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/platform"
)

// All returns every scenario.
func All() []Scenario {
	return slices.Concat(basics(), configScenarios(), keyScenarios(), limitScenarios(), onceScenarios(),
		minionScenarios(), callerScenarios(), recordScenarios(), taskScenarios(), stormScenarios())
}

// basics are the scenarios of one fault each under ordinary load.
func basics() []Scenario {
	return []Scenario{
		{Name: "coordinator-killed", Shows: "I4 I5 I6 I7, slots: kill -9 of the coordinator under load", Run: coordinatorKilled},
		{Name: "coordinator-paused", Shows: "I4 I6 I7, slots: coordinator frozen past its lease, then resumed", Run: coordinatorPaused},
		{Name: "entry-killed", Shows: "I5 I6 I7, account: kill -9 of entry VMs, gap in the report", Run: entryKilled},
		{Name: "cut-platform", Shows: "I4 I6 I7: a data centre cut from the platform", Run: cutPlatform},
		{Name: "cut-peers", Shows: "I4 I6 I7: a data centre cut from the others", Run: cutPeers},
		{Name: "cut-both", Shows: "I3 I4 I6 I7: a data centre cut from everything", Run: cutBoth},
		{Name: "store-down", Shows: "I6 I7 I10: the store down for everyone, coordinator killed meanwhile", Run: storeDown},
		{Name: "answers-lost", Shows: "I6 I7 I10: answers of the store lost after the write took effect", Run: answersLost},
		{Name: "silent-connections", Shows: "I5 I6: open connections go silent while new ones work", Run: silentConnections},
		{Name: "wave", Shows: "I1 I2 I8 I9: maintenance of every VM under load, then VMs change their pools", Site: waveSite, Run: wave},
		{Name: "wave-faults", Shows: "I1 I8 I9: a wave with failures in one rack, coordinators killed and frozen, the store down", Site: waveSite, Run: waveFaults},
		{Name: "drain-cut", Shows: "I8: a VM drained while its data centre is cut from the platform", Run: drainCut},
		{Name: "rolling-restart", Shows: "I9: every entry VM replaced in turn under load", Run: rollingRestart},
	}
}

// target is the data centre that scenarios inject faults into.
func (e *Env) target() model.DataCentre {
	return e.Site.DataCentres[e.Rand.IntN(len(e.Site.DataCentres))].Name
}

// coordinator waits for a data centre to have a coordinator. A coordinator that does not run for
// longer than its lease gives its role up, so that there is not one at every instant.
func (e *Env) coordinator(ctx context.Context, dc model.DataCentre) (model.EntryVM, error) {
	return e.awaitCoordinator(ctx, dc, "", time.Now())
}

// awaitCoordinator waits until a data centre has a coordinator other than the given one
// and returns how long that took since the start.
func (e *Env) awaitCoordinator(ctx context.Context, dc model.DataCentre, not model.EntryVM, start time.Time) (model.EntryVM, error) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	for {
		if k, err := e.Coordinator(ctx, dc); err == nil && k != "" && k != not {
			e.Say("%s is coordinator of %s after %d ms.", k, dc, time.Since(start).Milliseconds())
			return k, nil
		}
		select {
		case <-ctx.Done():
			return "", errors.Errorf("prove: no new coordinator in %s", dc)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func coordinatorKilled(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	e.Wait(ctx, 2*time.Second)
	dc := e.target()
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	probes := e.probeUrgent(ctx, dc, old)
	start := time.Now()
	e.KillEntry(old)
	if _, err := e.awaitCoordinator(ctx, dc, old, start); err != nil {
		return err
	}
	e.Wait(ctx, 3*time.Second)
	probes()
	return nil
}

// FaultUrgentLate is urgent work that did not start in time.
const FaultUrgentLate load.FaultKind = "urgent work did not start within 2.2 s"

// probeUrgent sends urgent requests of almost no run time to the entry VMs of a data
// centre but one, until the returned function is called, and requires that each of them
// runs within startWithin.
func (e *Env) probeUrgent(ctx context.Context, dc model.DataCentre, not model.EntryVM) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, n := range e.Entries() {
		if n == not || e.Entry(n).DC != dc {
			continue
		}
		wg.Go(func() {
			for ctx.Err() == nil {
				wg.Go(func() { e.probeOnce(ctx, n) })
				e.Wait(ctx, probeEvery)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// probeEvery is the time between urgent probes of one entry VM.
const probeEvery = 100 * time.Millisecond

func (e *Env) probeOnce(ctx context.Context, n model.EntryVM) {
	s := e.Callers.Do(context.WithoutCancel(ctx), load.Request{
		Queue: string(sites.QueueName(0)), Team: string(sites.TeamName(0)), Key: sites.KeyText(0),
		Idempotent: true, Urgent: true, Run: time.Millisecond, Deadline: 6 * time.Second, Entry: string(n),
	})
	if s.Verdict != load.SawRan || s.Took > startWithin {
		e.Fail(FaultUrgentLate, "at %s: %s %s after %v", n, s.Verdict, s.Reason, s.Took)
	}
}

func coordinatorPaused(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	e.Wait(ctx, 2*time.Second)
	dc := e.target()
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	e.Say("Pausing %s.", old)
	probes := e.probeUrgent(ctx, dc, old)
	start := time.Now()
	if err := e.Pause(old); err != nil {
		return err
	}
	// Requests at the paused entry VM are answered late; their callers may give up.
	e.lose(old)
	if _, err := e.awaitCoordinator(ctx, dc, old, start); err != nil {
		return err
	}
	e.Wait(ctx, 4*time.Second)
	probes()
	e.Say("Resuming %s.", old)
	if err := e.Resume(old); err != nil {
		return err
	}
	e.Wait(ctx, 3*time.Second)
	return nil
}

func entryKilled(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	type kill struct {
		entry model.EntryVM
		at    time.Time
	}
	var kills []kill
	for range 2 {
		e.Wait(ctx, 1500*time.Millisecond)
		n := e.Entries()[e.Rand.IntN(len(e.Entries()))]
		kills = append(kills, kill{n, time.Now()})
		e.KillEntry(n)
		e.Wait(ctx, time.Duration(500+e.Rand.IntN(2500))*time.Millisecond)
		if err := e.StartEntry(n); err != nil {
			return err
		}
	}
	e.Wait(ctx, 2*time.Second)
	stop()
	for _, k := range kills {
		if err := e.judgeCopies(ctx, k.entry, k.at); err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) cut(ctx context.Context, what string, d time.Duration, links ...string) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	e.Wait(ctx, 2*time.Second)
	e.Say("Cutting %s for %v.", what, d)
	if err := e.Link(faultproxy.ActionCut, links...); err != nil {
		return err
	}
	e.Wait(ctx, d)
	e.Say("Healing %s.", what)
	if err := e.Link(faultproxy.ActionHeal, links...); err != nil {
		return err
	}
	e.Wait(ctx, 3*time.Second)
	return nil
}

func cutPlatform(ctx context.Context, e *Env) error {
	dc := e.target()
	return e.cut(ctx, string(dc)+" from the platform", 8*time.Second, "platform/"+string(dc)+"/")
}

func cutPeers(ctx context.Context, e *Env) error {
	dc := e.target()
	return e.cut(ctx, string(dc)+" from its peers", 8*time.Second, e.CrossLinks(dc)...)
}

func cutBoth(ctx context.Context, e *Env) error {
	dc := e.target()
	return e.cut(ctx, string(dc)+" from everything", 10*time.Second, append(e.CrossLinks(dc), "platform/"+string(dc)+"/")...)
}

func storeDown(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	e.Wait(ctx, 2*time.Second)
	mode := []platform.OutageMode{platform.OutageRefuse, platform.OutageHang, platform.OutageDrop}[e.Rand.IntN(3)]
	e.Say("The store is down (%s).", mode)
	if err := e.PlatformFaults(platform.Faults{Outage: mode}); err != nil {
		return err
	}
	e.Wait(ctx, 4*time.Second)
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
	e.Wait(ctx, 4*time.Second)
	e.Say("The store is back.")
	if err := e.PlatformFaults(platform.Faults{}); err != nil {
		return err
	}
	e.Wait(ctx, 3*time.Second)
	return nil
}

func answersLost(ctx context.Context, e *Env) error {
	m := defaultMix()
	m.NonIdempotent = 0.8
	stop := e.Load(ctx, m)
	defer stop()
	e.Say("A third of the store's answers to writes are lost.")
	if err := e.PlatformFaults(platform.Faults{LostAnswers: []platform.LostAnswer{{Probability: 0.33}}}); err != nil {
		return err
	}
	for range 3 {
		e.Wait(ctx, 2*time.Second)
		up, cancel := context.WithTimeout(ctx, settleWithin)
		_, _, err := e.Apply(up, e.Files())
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func silentConnections(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	for _, what := range []string{"peer/", "minion/", "platform/"} {
		e.Wait(ctx, 2*time.Second)
		e.Say("Open connections of %s go silent.", what)
		if err := e.Link(faultproxy.ActionSilenceOpen, what); err != nil {
			return err
		}
	}
	e.Wait(ctx, 4*time.Second)
	return nil
}

func rollingRestart(ctx context.Context, e *Env) error {
	// Requests run for longer than the balancer's grace, so that some always run when an
	// entry VM begins to stop.
	stop := e.Load(ctx, Mix{Rate: 8, Run: 2 * time.Second, Steady: true, NonIdempotent: 0.4, Repeat: 0.3})
	defer stop()
	e.Wait(ctx, time.Second)
	for _, n := range e.Entries() {
		start := time.Now()
		if err := e.Terminate(n, 30*time.Second); err != nil {
			return errors.Wrap(err, "prove: graceful shutdown")
		}
		if err := e.StartEntry(n); err != nil {
			return err
		}
		up, cancel := context.WithTimeout(ctx, readyWithin)
		err := e.Balancer.AwaitReady(up, len(e.Entries()))
		cancel()
		if err != nil {
			return errors.Wrapf(err, "prove: replacement of %s not ready", n)
		}
		e.Say("%s replaced after %d ms.", n, time.Since(start).Milliseconds())
	}
	return nil
}
