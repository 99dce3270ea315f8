package prove

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/platform"
)

func configScenarios() []Scenario {
	return []Scenario{
		{Name: "config-race", Shows: "I10: operators apply at once through different entry VMs; one wins, the others learn who", Run: configRace},
		{Name: "config-answers-lost", Shows: "I10: answers of the head's writes are lost; each apply is stored at most once", Run: configAnswersLost},
		{Name: "config-cut", Shows: "I10: in force within 3 s wherever a path exists, a data centre cut from the platform or from its peers", Run: configCut},
		{Name: "config-restart", Shows: "I10: entry VMs killed and restarted while the store is down never step back", Run: configRestart},
		{Name: "config-burst", Shows: "I10: 30 applies in a row under load, each in force everywhere within 3 s", Run: configBurst},
	}
}

const (
	raceRounds  = 12
	lostRounds  = 12
	burstLength = 30
)

// pickEntries returns n different entry VMs in random order.
func (e *Env) pickEntries(n int) []model.EntryVM {
	all := append([]model.EntryVM(nil), e.Entries()...)
	e.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}

func configRace(ctx context.Context, e *Env) error {
	w, stop := e.watchVersions(ctx)
	defer stop()
	a := &applies{e: e}
	base, err := e.head(ctx)
	if err != nil {
		return err
	}
	var longest time.Duration
	for range raceRounds {
		won := a.judgeRace(a.race(ctx, base, e.pickEntries(2+e.Rand.IntN(3))))
		if won.err != nil || won.result.Version == 0 {
			return errors.New("prove: no apply of a round was accepted")
		}
		base = won.result.Version
		longest = max(longest, w.awaitInForce(ctx, base, won.answered, e.Entries()))
	}
	e.measureTime(longest, "longest time until in force everywhere")
	return a.judge()
}

// race applies different files on the same base at once, one operator per entry VM.
func (a *applies) race(ctx context.Context, base uint64, through []model.EntryVM) []applied {
	out := make([]applied, len(through))
	start := make(chan struct{})
	var wg sync.WaitGroup
	for i, n := range through {
		files := a.distinct(nil)
		wg.Go(func() {
			<-start
			out[i] = a.apply(ctx, fmt.Sprintf("operator-%d", i+1), base, files, n)
		})
	}
	close(start)
	wg.Wait()
	return out
}

func configAnswersLost(ctx context.Context, e *Env) error {
	w, stop := e.watchVersions(ctx)
	defer stop()
	a := &applies{e: e}
	base, err := e.head(ctx)
	if err != nil {
		return err
	}
	e.Say("Two thirds of the answers to writes of the head are lost.")
	if err := e.PlatformFaults(platform.Faults{LostAnswers: []platform.LostAnswer{{KeyPrefix: "config/head", Probability: 0.66}}}); err != nil {
		return err
	}
	for range lostRounds {
		won := a.judgeLostRound(a.lostRound(ctx, base, e.pickEntries(3)))
		if won.err != nil || won.result.Version == 0 {
			return errors.New("prove: no apply of a round was accepted")
		}
		base = won.result.Version
		w.awaitInForce(ctx, base, won.answered, e.Entries())
	}
	if err := e.PlatformFaults(platform.Faults{}); err != nil {
		return err
	}
	return a.judge()
}

// lostRound sends one apply twice at once, with the same id, through two entry VMs, and
// a rival's through a third one.
func (a *applies) lostRound(ctx context.Context, base uint64, through []model.EntryVM) []applied {
	out := make([]applied, 3)
	id, files, rival := string(model.NewIncarnation()), a.distinct(nil), a.distinct(nil)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { out[i] = a.applyAs(ctx, id, "operator-1", base, files, through[i]) })
	}
	wg.Go(func() { out[2] = a.apply(ctx, "operator-2", base, rival, through[2]) })
	wg.Wait()
	return out
}

// judgeLostRound requires one winner; both tries of the first apply agree.
func (a *applies) judgeLostRound(round []applied) applied {
	one, two := round[0], round[1]
	if one.decided() && two.decided() && (one.err == nil) != (two.err == nil) {
		a.e.Fail(FaultApplies, "two tries of apply %s disagree: %v and %v", one.id, one.err, two.err)
	}
	if one.err != nil {
		one = two
	}
	return a.judgeRace([]applied{one, round[2]})
}

func configCut(ctx context.Context, e *Env) error {
	w, stop := e.watchVersions(ctx)
	defer stop()
	stopLoad := e.Load(ctx, defaultMix())
	defer stopLoad()
	a := &applies{e: e}
	dc := e.target()
	inside, outside := e.sides(dc)
	phases := []struct {
		what    string
		links   []string
		through [][]model.EntryVM
	}{
		// A data centre without the platform cannot apply, but hears of versions from peers.
		{"the platform", []string{cluster.PlatformLinks(dc)}, [][]model.EntryVM{outside, outside}},
		// One without its peers reads the table.
		{"its peers", e.CrossLinks(dc), [][]model.EntryVM{outside, inside}},
	}
	for _, p := range phases {
		e.Say("Cutting %s from %s.", dc, p.what)
		if err := e.Link(faultproxy.ActionCut, p.links...); err != nil {
			return err
		}
		for _, after := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
			e.Wait(ctx, after)
			for _, through := range p.through {
				took, err := a.one(ctx, w, through, e.Entries())
				if err != nil {
					return err
				}
				e.measureTime(took, "in force everywhere, %s cut from %s, applied through %s", dc, p.what, through[0])
			}
		}
		if err := e.Link(faultproxy.ActionHeal, p.links...); err != nil {
			return err
		}
		e.Wait(ctx, 2*time.Second)
	}
	return a.judge()
}

// sides returns the entry VMs inside and outside a data centre.
func (e *Env) sides(dc model.DataCentre) (inside, outside []model.EntryVM) {
	for _, n := range e.Entries() {
		if e.Entry(n).DC == dc {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	return inside, outside
}

// one applies distinct files and returns how long it took until they were in force at
// the entry VMs.
func (a *applies) one(ctx context.Context, w *versionWatch, through, entries []model.EntryVM) (time.Duration, error) {
	base, err := a.base(ctx, through)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	id, files := string(model.NewIncarnation()), a.distinct(nil)
	x := a.applyAs(ctx, id, "operator-1", base, files, through...)
	for x.err != nil && x.conflict() == nil && ctx.Err() == nil {
		// Refused as not applied while the entry VM's circuit breaker is open, or of
		// unknown outcome; the operator repeats it.
		a.e.Wait(ctx, 200*time.Millisecond)
		x = a.applyAs(ctx, id, "operator-1", base, files, through...)
	}
	if x.err != nil {
		return 0, errors.Wrapf(x.err, "prove: apply through %v", through)
	}
	return w.awaitInForce(ctx, x.result.Version, x.answered, entries), nil
}

// base returns the newest version: the last one that was accepted, or else the one that
// the entry VMs know.
func (a *applies) base(ctx context.Context, through []model.EntryVM) (uint64, error) {
	v, err := a.e.head(ctx, through...)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.list {
		v = max(v, x.result.Version)
	}
	if v > 0 {
		err = nil
	}
	return v, err
}

func configRestart(ctx context.Context, e *Env) error {
	w, stop := e.watchVersions(ctx)
	defer stop()
	stopLoad := e.Load(ctx, defaultMix())
	defer stopLoad()
	a := &applies{e: e}
	modes := []platform.OutageMode{platform.OutageRefuse, platform.OutageHang, platform.OutageDrop}
	for i := range 2 {
		if _, err := a.one(ctx, w, e.pickEntries(1), e.Entries()); err != nil {
			return err
		}
		mode := modes[e.Rand.IntN(len(modes))]
		e.Say("The store is down (%s).", mode)
		if err := e.PlatformFaults(platform.Faults{Outage: mode}); err != nil {
			return err
		}
		// Two entry VMs of one data centre in the second round.
		victims := e.pickEntries(1)
		if i == 1 {
			victims, _ = e.sides(e.target())
		}
		if err := e.restartAll(ctx, w, victims); err != nil {
			return err
		}
		e.Say("The store is back.")
		if err := e.PlatformFaults(platform.Faults{}); err != nil {
			return err
		}
		e.Wait(ctx, 2*time.Second)
	}
	return a.judge()
}

// restartAll kills entry VMs, starts them again and requires that each puts a version
// in force again, at least the one it had.
func (e *Env) restartAll(ctx context.Context, w *versionWatch, victims []model.EntryVM) error {
	e.Wait(ctx, time.Second)
	for _, n := range victims {
		e.KillEntry(n)
	}
	e.Wait(ctx, time.Second)
	start := time.Now()
	for _, n := range victims {
		if err := e.StartEntry(n); err != nil {
			return err
		}
	}
	for _, n := range victims {
		took, ok := w.awaitAny(ctx, n, start)
		if !ok {
			e.Fail(FaultVersionLate, "%s has no configuration %v after its restart", n, time.Since(start))
			continue
		}
		e.measureTime(took, "restart of %s without the store, until a version is in force", n)
	}
	return nil
}

func configBurst(ctx context.Context, e *Env) error {
	w, stop := e.watchVersions(ctx)
	defer stop()
	stopLoad := e.Load(ctx, defaultMix())
	defer stopLoad()
	e.Wait(ctx, time.Second)
	a := &applies{e: e}
	base, err := e.head(ctx)
	if err != nil {
		return err
	}
	var done []applied
	start := time.Now()
	for i := range burstLength {
		through := e.Entries()[i%len(e.Entries())]
		x := a.apply(ctx, "operator-1", base, a.distinct(nil), through)
		for errors.Is(x.err, operator.ErrNotApplied) && time.Since(start) < settleWithin {
			x = a.apply(ctx, "operator-1", base, a.distinct(nil), through) // as an operator does after this answer
		}
		if x.err != nil {
			return errors.Wrapf(x.err, "prove: apply %d of the burst", i+1)
		}
		base = x.result.Version
		done = append(done, x)
	}
	e.measureTime(time.Since(start), "%d applies in a row, until the last one was accepted", burstLength)
	var longest, sum time.Duration
	for _, x := range done {
		took := w.awaitInForce(ctx, x.result.Version, x.answered, e.Entries())
		longest = max(longest, took)
		sum += took
	}
	e.measureTime(longest, "longest time until in force everywhere")
	e.measureTime(sum/burstLength, "mean time until in force everywhere")
	return a.judge()
}
