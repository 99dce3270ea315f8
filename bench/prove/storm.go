package prove

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/platform"
)

func stormScenarios() []Scenario {
	return []Scenario{
		{Name: "storm", Shows: "I3 to I7, I10: random faults of all kinds, several at once, at a site of today's size", Site: stormSite, Run: stormRun, Long: true},
	}
}

func stormSite() sites.Options {
	return sites.Options{
		Name: "prove", DataCentres: sites.DataCentres(3, 2), Services: 5, MinionsPerService: 10,
		MaxRun: 5 * time.Second, Deadline: 8 * time.Second, Limits: []int{9, 9, 6, 6, 4, 3},
	}
}

// Faults of the storm at the same time, and how long each lasts.
const (
	stormFaults    = 3
	stormShortest  = 500 * time.Millisecond
	stormLongest   = 4 * time.Second
	stormOperators = 3
)

// storm injects random faults. Each injector and operator has its own random numbers,
// so that its choices follow from the seed alone.
type storm struct {
	*Env
	applies *applies

	mu sync.Mutex // guards the fields below
	// busy holds entry VMs that are killed or paused now.
	busy map[model.EntryVM]bool
	// platform are the platform's faults in force.
	platform platform.Faults
	count    map[string]int
	err      error
}

func stormRun(ctx context.Context, e *Env) error {
	s := &storm{Env: e, applies: &applies{e: e}, busy: make(map[model.EntryVM]bool), count: make(map[string]int)}
	w, stopWatch := e.watchVersions(ctx)
	defer stopWatch()
	mix := defaultMix()
	mix.Rate = 15
	stopLoad := e.Load(ctx, mix)
	sctx, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	r := &repeats{e: e}
	var wg sync.WaitGroup
	wg.Go(func() { r.run(sctx) })
	for i := range stormFaults {
		wg.Go(func() { s.inject(sctx, rand.New(rand.NewPCG(e.Seed, uint64(100+i)))) })
	}
	for i := range stormOperators {
		wg.Go(func() { s.operate(sctx, fmt.Sprintf("operator-%d", i+1), rand.New(rand.NewPCG(e.Seed, uint64(200+i)))) })
	}
	wg.Wait()
	stopLoad()
	if s.err != nil {
		return s.err
	}
	for _, k := range slices.Sorted(maps.Keys(s.count)) {
		e.Measure(float64(s.count[k]), "times", "fault %s", k)
	}
	if err := e.Heal(ctx); err != nil {
		return err
	}
	return s.judge(ctx, w, r)
}

// judge checks the storm after everything is healed.
func (s *storm) judge(ctx context.Context, w *versionWatch, r *repeats) error {
	took, err := s.applies.one(ctx, w, s.Entries(), s.Entries())
	if err != nil {
		return err
	}
	s.measureTime(took, "in force everywhere after healing")
	for _, check := range []func() error{s.applies.judge, r.judge, s.judgeLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *storm) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
}

// operate applies distinct files again and again, in a race with the other operators.
func (s *storm) operate(ctx context.Context, by string, rnd *rand.Rand) {
	for ctx.Err() == nil {
		s.Wait(ctx, time.Duration(300+rnd.IntN(1700))*time.Millisecond)
		through := s.Entries()[rnd.IntN(len(s.Entries()))]
		actx, cancel := context.WithTimeout(ctx, 5*time.Second)
		if base, err := s.head(actx, through); err == nil && base > 0 {
			s.applies.apply(actx, by, base, s.applies.distinct(nil), through)
		}
		cancel()
	}
}

// inject injects one random fault after the other.
func (s *storm) inject(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		d := stormShortest + time.Duration(rnd.Int64N(int64(stormLongest-stormShortest)))
		name, do := s.pick(rnd)
		s.mu.Lock()
		s.count[name]++
		s.mu.Unlock()
		if err := do(ctx, d); err != nil && ctx.Err() == nil {
			s.fail(errors.Wrap(err, "prove: fault "+name))
			return
		}
		s.Wait(ctx, time.Duration(rnd.IntN(700))*time.Millisecond)
	}
}

type stormFault func(ctx context.Context, d time.Duration) error

// pick draws a fault with its target.
func (s *storm) pick(rnd *rand.Rand) (string, stormFault) {
	entry := s.Entries()[rnd.IntN(len(s.Entries()))]
	dc := s.Site.DataCentres[rnd.IntN(len(s.Site.DataCentres))].Name
	vm := sites.MinionName(rnd.IntN(s.Site.Minions()))
	kind := minionFaultKinds[rnd.IntN(len(minionFaultKinds))]
	mode := []platform.OutageMode{platform.OutageRefuse, platform.OutageHang, platform.OutageDrop}[rnd.IntN(3)]
	prefix := []string{"", "claim/", "config/", "coordinator/"}[rnd.IntN(4)]
	silent := []string{"peer/", "minion/", "platform/"}[rnd.IntN(3)]
	faults := []struct {
		name string
		do   stormFault
	}{
		{"kill", s.withEntry(entry, func(ctx context.Context, d time.Duration) error { return s.killAndRestart(ctx, entry, d) })},
		{"pause", s.withEntry(entry, func(ctx context.Context, d time.Duration) error { return s.pauseFor(ctx, entry, d) })},
		{"cut from the platform", s.links(faultproxy.ActionCut, cluster.PlatformLinks(dc))},
		{"cut from peers", s.links(faultproxy.ActionCut, s.CrossLinks(dc)...)},
		{"black hole to the platform", s.links(faultproxy.ActionBlackhole, cluster.PlatformLinks(dc))},
		{"black hole to peers", s.links(faultproxy.ActionBlackhole, s.CrossLinks(dc)...)},
		{"silent connections", s.links(faultproxy.ActionSilenceOpen, silent)},
		{"store down", s.withPlatform(func(f *platform.Faults) { f.Outage = mode }, func(f *platform.Faults) { f.Outage = "" })},
		{"store slow", s.withPlatform(func(f *platform.Faults) { f.DelayMS = 300 }, func(f *platform.Faults) { f.DelayMS = 0 })},
		{"answers lost", s.withPlatform(func(f *platform.Faults) {
			f.LostAnswers = []platform.LostAnswer{{KeyPrefix: prefix, Probability: 0.4}}
		}, func(f *platform.Faults) { f.LostAnswers = nil })},
		{"bad minion", func(ctx context.Context, d time.Duration) error {
			s.Say("%s: %s for %v.", vm, kind.Kind, d)
			if err := s.MinionFaults(vm, kind); err != nil {
				return err
			}
			s.Wait(ctx, d)
			return s.MinionFaults(vm)
		}},
		{"reboot", func(ctx context.Context, d time.Duration) error {
			s.Say("Rebooting %s.", vm)
			return s.Reboot(vm, d/2)
		}},
	}
	f := faults[rnd.IntN(len(faults))]
	return f.name, f.do
}

// withEntry does something to an entry VM that nothing else is done to.
func (s *storm) withEntry(n model.EntryVM, do stormFault) stormFault {
	return func(ctx context.Context, d time.Duration) error {
		s.mu.Lock()
		taken := s.busy[n]
		s.busy[n] = true
		s.mu.Unlock()
		if taken {
			return nil
		}
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.busy, n)
		}()
		return do(ctx, d)
	}
}

func (s *storm) links(a faultproxy.Action, links ...string) stormFault {
	return func(ctx context.Context, d time.Duration) error {
		s.Say("%s %v for %v.", a, links, d)
		if err := s.Link(a, links...); err != nil || a == faultproxy.ActionSilenceOpen {
			// Connections that went silent stay so; healing would bring them back.
			s.Wait(ctx, d)
			return err
		}
		s.Wait(ctx, d)
		return s.Link(faultproxy.ActionHeal, links...)
	}
}

func (s *storm) withPlatform(on, off func(*platform.Faults)) stormFault {
	set := func(change func(*platform.Faults)) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(&s.platform)
		s.Say("Faults of the platform: %+v.", s.platform)
		return s.PlatformFaults(s.platform)
	}
	return func(ctx context.Context, d time.Duration) error {
		if err := set(on); err != nil {
			return err
		}
		s.Wait(ctx, d)
		return set(off)
	}
}
