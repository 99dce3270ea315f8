package prove

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/platform"
)

func limitScenarios() []Scenario {
	return []Scenario{
		{Name: "limits-faults", Shows: "I4: demand far above low limits while coordinators and entry VMs are killed, paused and cut off", Site: limitSite, Run: limitsFaults},
		{Name: "slots-takeover", Shows: "slots: every slot is busy while coordinators are paused, resumed and killed", Site: slotSite, Run: slotsTakeover},
		{Name: "limits-move", Shows: "I4: demand moves from one data centre to another and is served", Site: limitSite, Run: limitsMove},
	}
}

// Faults of limits.
const (
	FaultLimit   load.FaultKind = "a team ran more than its upper limit (I4)"
	FaultStarved load.FaultKind = "a team below its limit was not served within a few seconds"
)

// servedWithin is the bound for "within a few seconds".
const servedWithin = 5 * time.Second

// limitSite has limits far below the slots of the fleet.
func limitSite() sites.Options {
	o := smallSite()
	o.Limits = []int{9, 6, 5, 4, 3, 2}
	return o
}

// slotSite has far fewer slots than the demand, and limits that leave all of them to
// every team.
func slotSite() sites.Options {
	o := smallSite()
	o.Services, o.MinionsPerService = 1, 6
	slots := o.MinionsPerService * 8
	o.Limits = []int{slots, slots, slots, slots, slots, slots}
	return o
}

// slotsTakeover is judged by the minions, which count requests beyond their slots.
func slotsTakeover(ctx context.Context, e *Env) error {
	f := e.demand(ctx, e.Entries(), 4, 400*time.Millisecond)
	defer f.stop()
	e.Wait(ctx, 2*time.Second)
	for range 2 {
		if err := e.pauseCoordinator(ctx, e.target(), 3*time.Second); err != nil {
			return err
		}
		e.Wait(ctx, 1500*time.Millisecond)
		if err := e.killCoordinator(ctx, e.target()); err != nil {
			return err
		}
		e.Wait(ctx, 1500*time.Millisecond)
	}
	return nil
}

// demand keeps requests of every team in flight at entry VMs.
func (e *Env) demand(ctx context.Context, entries []model.EntryVM, perTeam int, run time.Duration) floods {
	var f floods
	for _, n := range entries {
		for t := range teams {
			f = append(f, e.flood(ctx, n, perTeam, func(i int) load.Request {
				return load.Request{
					Queue: string(sites.QueueName(i % e.Site.Services)), Team: string(sites.TeamName(t)), Key: sites.KeyText(t),
					Idempotent: i%3 > 0, Run: run/2 + time.Duration(i%7)*run/7, Deadline: 6 * time.Second,
				}
			}))
		}
	}
	return f
}

// judgeLimits requires that no team ever ran more than its limit over all minions.
func (e *Env) judgeLimits() error {
	tags, err := e.tagsByName()
	if err != nil {
		return err
	}
	for t, limit := range e.Site.Limits {
		name := string(sites.TeamName(t))
		got := tags[name]
		e.Measure(float64(got.Max), "at once", "%s ran at most, limit %d, %d starts", name, limit, got.Starts)
		if got.Max > limit {
			e.Fail(FaultLimit, "%s ran %d at once, its limit is %d", name, got.Max, limit)
		}
	}
	return nil
}

func limitsFaults(ctx context.Context, e *Env) error {
	f := e.demand(ctx, e.Entries(), 3, 300*time.Millisecond)
	err := e.limitFaults(ctx)
	f.stop()
	if err != nil {
		return err
	}
	return e.judgeLimits()
}

// limitFaults injects one fault after the other, in random order.
func (e *Env) limitFaults(ctx context.Context) error {
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return e.killCoordinator(ctx, e.target()) },
		func(ctx context.Context) error { return e.pauseCoordinator(ctx, e.target(), 3*time.Second) },
		func(ctx context.Context) error { return e.killAndRestart(ctx, e.pickEntries(1)[0], time.Second) },
		func(ctx context.Context) error { return e.pauseFor(ctx, e.pickEntries(1)[0], 2500*time.Millisecond) },
		func(ctx context.Context) error { return e.cutFor(ctx, 3*time.Second, e.CrossLinks(e.target())...) },
		func(ctx context.Context) error {
			return e.cutFor(ctx, 3*time.Second, cluster.PlatformLinks(e.target()))
		},
		func(ctx context.Context) error {
			return e.outageFor(ctx, 3*time.Second, func(ctx context.Context) error { return e.killCoordinator(ctx, e.target()) })
		},
	}
	e.Rand.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	for _, s := range steps {
		e.Wait(ctx, 700*time.Millisecond)
		if err := s(ctx); err != nil {
			return err
		}
	}
	e.Wait(ctx, time.Second)
	return nil
}

// killCoordinator kills the coordinator of a data centre, waits for its successor and
// starts it again.
func (e *Env) killCoordinator(ctx context.Context, dc model.DataCentre) error {
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	start := time.Now()
	e.KillEntry(old)
	if _, err := e.awaitCoordinator(ctx, dc, old, start); err != nil {
		return err
	}
	return e.StartEntry(old)
}

func (e *Env) pauseCoordinator(ctx context.Context, dc model.DataCentre, d time.Duration) error {
	old, err := e.coordinator(ctx, dc)
	if err != nil {
		return err
	}
	return e.pauseFor(ctx, old, d)
}

func (e *Env) pauseFor(ctx context.Context, n model.EntryVM, d time.Duration) error {
	e.Say("Pausing %s for %v.", n, d)
	e.lose(n)
	if err := e.Pause(n); err != nil {
		return err
	}
	e.Wait(ctx, d)
	return e.Resume(n)
}

func (e *Env) killAndRestart(ctx context.Context, n model.EntryVM, down time.Duration) error {
	e.KillEntry(n)
	e.Wait(ctx, down)
	return e.StartEntry(n)
}

func (e *Env) cutFor(ctx context.Context, d time.Duration, links ...string) error {
	e.Say("Cutting %v for %v.", links, d)
	if err := e.Link(faultproxy.ActionCut, links...); err != nil {
		return err
	}
	e.Wait(ctx, d)
	return e.Link(faultproxy.ActionHeal, links...)
}

// outageFor takes the store down, does something meanwhile, and brings it back.
func (e *Env) outageFor(ctx context.Context, d time.Duration, meanwhile func(context.Context) error) error {
	mode := []platform.OutageMode{platform.OutageRefuse, platform.OutageHang, platform.OutageDrop}[e.Rand.IntN(3)]
	e.Say("The store is down (%s).", mode)
	if err := e.PlatformFaults(platform.Faults{Outage: mode}); err != nil {
		return err
	}
	e.Wait(ctx, d)
	if meanwhile != nil {
		if err := meanwhile(ctx); err != nil {
			return err
		}
	}
	e.Say("The store is back.")
	return e.PlatformFaults(platform.Faults{})
}

func limitsMove(ctx context.Context, e *Env) error {
	for i, dc := range e.Site.DataCentres {
		if err := e.ResetTags(); err != nil {
			return err
		}
		inside, _ := e.sides(dc.Name)
		e.Say("All demand comes to %s.", dc.Name)
		start := time.Now()
		f := e.demand(ctx, inside, 4, 200*time.Millisecond)
		err := e.awaitServed(ctx, dc.Name, start)
		if err == nil {
			e.Wait(ctx, time.Until(start.Add(servedWithin)))
			err = e.measureUse(i, dc.Name, start)
		}
		f.stop()
		if err != nil {
			return err
		}
	}
	return e.judgeLimits()
}

// awaitServed requires that every team starts work within a few seconds.
func (e *Env) awaitServed(ctx context.Context, dc model.DataCentre, start time.Time) error {
	first := make(map[int]bool)
	for time.Since(start) < servedWithin && len(first) < teams {
		tags, err := e.tagsByName()
		if err != nil {
			return err
		}
		for t := range teams {
			if !first[t] && tags[string(sites.TeamName(t))].Starts > 0 {
				first[t] = true
				e.measureTime(time.Since(start), "%s first served in %s", sites.TeamName(t), dc)
			}
		}
		e.Wait(ctx, 20*time.Millisecond)
	}
	for t := range teams {
		if !first[t] {
			e.Fail(FaultStarved, "%s started nothing in %s in %v", sites.TeamName(t), dc, servedWithin)
		}
	}
	return nil
}

// measureUse records how much of its limit each team used since start.
func (e *Env) measureUse(phase int, dc model.DataCentre, start time.Time) error {
	tags, err := e.tagsByName()
	if err != nil {
		return err
	}
	if len(tags) == 0 {
		return errors.Errorf("prove: nothing ran in %s", dc)
	}
	for t, limit := range e.Site.Limits {
		got := tags[string(sites.TeamName(t))]
		used := got.SlotMS / float64(time.Since(start).Milliseconds()) / float64(limit)
		e.Measure(float64(int(used*100)), "% of its limit", "%s used on average in phase %d, %s", got.Tag, phase+1, dc)
	}
	return nil
}
