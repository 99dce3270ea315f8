package sitefaults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/internal/jobs"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/siteplatform"
)

// Options configure a run.
type Options struct {
	// Bin is the folder of the programs, Dir that of logs and settings.
	Bin, Dir string
	Seed     uint64
	// Duration is the time in which faults are injected and checked.
	Duration time.Duration
	// NoFaults leaves the faults out.
	NoFaults bool
	// Only restricts the faults to kinds and groups, separated by commas.
	Only string
	// Overload lets each service in turn be asked for more than its machines can run.
	Overload bool
}

// Result is the verdict of a run.
type Result struct {
	Seed uint64
	// Faults are the broken rules.
	Faults []string
	// Injected counts the injected faults, Stalls the times at which this process stood still.
	Injected, Stalls int
	Accepted, Runs   int
	// Restarts counts runs of long-running tasks after their first.
	Restarts int
	// Longest is the longest time of a long-running task without a run, LongestCalm that
	// without any disturbance near.
	Longest, LongestCalm time.Duration
	// Waves are the states of the maintenance waves.
	Waves []string
}

// OK reports whether no rule was broken.
func (r Result) OK() bool { return len(r.Faults) == 0 }

func (r Result) String() string {
	verdict := "ok"
	if !r.OK() {
		verdict = fmt.Sprintf("%d broken", len(r.Faults))
	}
	return fmt.Sprintf("seed %d: %s; %d faults injected, %d jobs, %d runs, %d restarts of long-running tasks, longest without a run %.1f s (%.1f s in calm), waves %v, stood still %d times",
		r.Seed, verdict, r.Injected, r.Accepted, r.Runs, r.Restarts, r.Longest.Seconds(), r.LongestCalm.Seconds(), r.Waves, r.Stalls)
}

const (
	entryVMs = 3
	// longJobs and longTasks are the long-running jobs of each service and their tasks.
	longJobs  = 4
	longTasks = 5
	longCPU   = 6000
	shortCPU  = 3500
	// shortTasks is the width of a step of a short job, shortPause the mean time between two of
	// them.
	shortTasks = 6
	shortPause = 150 * time.Millisecond
	// roamingPause is the time between two jobs of the queue whose service changes.
	roamingPause = 400 * time.Millisecond
	// cancelPause is the time between two jobs that are cancelled, longestUncancelled the longest time
	// from their acceptance to that.
	cancelPause        = 800 * time.Millisecond
	longestUncancelled = 2 * time.Second
	// overloadPause is the mean time between two short jobs under overload, and overloadTurn how
	// long all of them are for one service, and the rest after that.
	overloadPause = 45 * time.Millisecond
	overloadTurn  = 6 * time.Second
	// waveAfter is when the first maintenance wave is asked for and waveEvery the time between
	// two, waveCap how many machines of a wave may be down at once, and waveSeconds its time.
	waveAfter   = 2 * time.Second
	waveEvery   = 20 * time.Second
	waveCap     = 2
	waveSeconds = 40
	tickEvery   = 50 * time.Millisecond
	// finishWithin is how long jobs may take to end after the traffic has.
	finishWithin = 14 * time.Second
	// judgeWithin is how long the end of a run waits for a time without disturbances.
	judgeWithin = 2 * time.Minute
	machineCPU  = 64000
	machineMB   = 131072
)

// run is one run.
type run struct {
	o        Options
	platform *siteplatform.Platform
	proxy    *faultproxy.Proxy
	entries  []*entryVM
	check    *checker
	configs  *configs
	callers  *callers
	wg       sync.WaitGroup
}

// Run runs the site once. Error: a process or address that could not be had.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, errors.Wrap(err, "sitefaults")
	}
	ports := cluster.NewPorts()
	defer ports.Close()
	all := &catalogue{byID: map[string]*jobSpec{}}
	configs := &configs{}
	r := &run{o: o, proxy: faultproxy.New(), check: newChecker(all, configs), configs: configs}
	defer r.proxy.Close()
	p, err := siteplatform.Start(siteplatform.Site{
		Capacity: jobs.Resources{CPU: machineCPU, MemoryMB: machineMB}, Machines: machineSpecs(), Config: config(0), MoveTime: moveTime, UpkeepTime: upkeepTime,
		Heartbeat: heartbeat, StopTime: stopTime, Work: all.work, Need: all.need, ClockRate: clockRate(o.Seed), ClockStart: clockStart(o.Seed), OnEvent: r.check.event,
		Route: func(name, addr string) (string, error) { return r.route(ports, name, addr) },
		OnMachine: func(name string, up bool) {
			if l := r.proxy.Link(name); !up {
				l.Cut()
			} else {
				r.healLink(l)
			}
		},
	})
	if err != nil {
		return Result{}, err
	}
	defer p.Close()
	r.platform, r.check.note = p, p.Note
	if _, err := r.route(ports, machinesLink, p.MachinesAddr()); err != nil {
		return Result{}, err
	}
	if err := r.startEntries(ctx, ports); err != nil {
		return Result{}, err
	}
	defer r.stopEntries()
	return r.play(ctx), errors.Wrap(os.WriteFile(filepath.Join(o.Dir, "story.log"), []byte(p.Story()), 0o600), "sitefaults: story")
}

// route adds a link to an address and returns its own.
func (r *run) route(ports cluster.Ports, name, addr string) (string, error) {
	listen, err := ports.Next()
	if err != nil {
		return "", err
	}
	l, err := r.proxy.Add(faultproxy.LinkSpec{Name: name, Listen: listen, Target: addr, SourceOf: peerOf})
	if err != nil {
		return "", err
	}
	return l.Addr(), nil
}

func (r *run) startEntry(name, zone string, ports cluster.Ports) error {
	e := &entryVM{name: name, zone: zone, settings: filepath.Join(r.o.Dir, name+".toml"), logs: r.o.Dir, bin: r.o.Bin}
	store, err := r.platform.AddStoreClient(e.storeCall, e.holdUp)
	if err != nil {
		return err
	}
	if store, err = r.route(ports, storeLink(name), store); err != nil {
		return err
	}
	if err := e.writeSettings(ports, store, r.proxy.Link(machinesLink).Addr(), func(name, addr string) (string, error) { return r.route(ports, name, addr) }); err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	return e.start()
}

func (r *run) startEntries(ctx context.Context, ports cluster.Ports) error {
	for i := range entryVMs {
		if err := r.startEntry("entry-"+strconv.Itoa(i+1), []string{"hall", "bay"}[i%2], ports); err != nil {
			return err
		}
	}
	for _, e := range r.entries {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) stopEntries() {
	for _, e := range r.entries {
		if p := e.process(); p != nil && p.Running() {
			p.Kill()
		}
	}
}

// coordinator returns the entry VM that holds the site's lease, or nil.
func (r *run) coordinator() *entryVM {
	var v struct {
		Holder string `json:"h"`
	}
	if json.Unmarshal(r.platform.Row("lease/site"), &v) != nil {
		return nil
	}
	i := slices.IndexFunc(r.entries, func(e *entryVM) bool { return e.name == v.Holder })
	if i < 0 {
		return nil
	}
	return r.entries[i]
}

// play runs load, wave, faults and checks.
func (r *run) play(parent context.Context) Result {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	rng := rand.New(rand.NewPCG(r.o.Seed, 1))
	faults := schedule(rng, r.o.Seed, len(machineSpecs()), entryVMs, r.o.Duration, r.o.Only)
	if r.o.NoFaults {
		faults = nil
	}
	r.check.began = time.Now()
	r.check.lastTick, r.check.calmSince = r.check.began, r.check.began
	ticking, stopTicks := context.WithCancel(ctx)
	r.wg.Go(func() {
		for sleep(ticking, tickEvery) {
			var starved time.Duration
			for _, e := range r.entries {
				starved = max(starved, e.starved())
				if err := e.checkAlive(); err != nil {
					r.check.report("%v", err)
				}
			}
			r.check.tick(r.platform.Up, starved)
		}
	})
	r.callers = newCallers(r.entries, r.check, r.configs)
	r.configs.begin(r.check.began)
	for _, e := range r.entries {
		r.wg.Go(func() { r.callers.probeConfig(ctx, e) })
	}
	long := r.handInLong(ctx, rng)
	for _, f := range faults {
		r.wg.Go(func() {
			if sleep(ctx, f.at) {
				r.inject(ctx, f)
			}
		})
	}
	r.wg.Go(func() { r.requestWaves(ctx) })
	r.wg.Go(func() { r.roamingTraffic(ctx, r.o.Duration) })
	r.wg.Go(func() { r.cancelTraffic(ctx, r.o.Duration) })
	r.traffic(ctx, rng, r.o.Duration)
	r.awaitEnds(ctx)
	r.awaitRunning(ctx)
	stopTicks()
	for i, j := range long {
		r.wg.Go(func() { r.callers.cancel(ctx, j, r.o.Seed+uint64(i)) })
	}
	sleep(ctx, cancelBound+2*stopTime)
	for _, e := range r.entries {
		if err := e.checkAlive(); err != nil {
			r.check.report("%v", err)
		}
	}
	r.check.finish()
	cancel()
	r.wg.Wait()
	r.callers.wg.Wait()
	return r.result(len(faults))
}

func (r *run) result(injected int) Result {
	c := r.check
	out := Result{Seed: r.o.Seed, Injected: injected, Waves: r.platform.Waves()}
	violations := r.platform.Violations()
	c.mu.Lock()
	defer c.mu.Unlock()
	out.Faults = append(slices.Clone(c.faults), violations...)
	out.Stalls, out.Restarts, out.Longest, out.LongestCalm = c.stalls, c.restarts, c.longest, c.longestCalm
	for _, s := range c.tasks {
		out.Runs += s.began
	}
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			out.Accepted++
		}
	}
	return out
}

// requestWaves asks for the upkeep of every second machine, and of the others in the next wave.
func (r *run) requestWaves(ctx context.Context) {
	pause := waveAfter
	for n := int64(1); time.Since(r.check.began)+pause < r.o.Duration && sleep(ctx, pause); n++ {
		w := siteplatform.Wave{Wave: n, DurationS: waveSeconds, Cap: waveCap}
		for i, m := range machineSpecs() {
			if i%2 == int(n%2) {
				w.Machines = append(w.Machines, m.Name)
			}
		}
		r.platform.Note("wave %d asked for: %v", n, w.Machines)
		if err := r.platform.AskWave(w); err != nil {
			r.check.report("harness: %v", err)
		}
		pause = waveEvery
	}
}

// handInLong hands in the long-running jobs.
func (r *run) handInLong(ctx context.Context, rng *rand.Rand) []*jobSpec {
	var out []*jobSpec
	for _, s := range services {
		for range longJobs {
			j := newJob(rng, s, true, longTasks, longCPU, 1)
			out = append(out, j)
			r.handIn(ctx, j, rng.Uint64())
		}
	}
	return out
}

func (r *run) handIn(ctx context.Context, j *jobSpec, seed uint64) {
	r.callers.wg.Go(func() { r.callers.handIn(ctx, j, seed) })
}

// traffic hands in short jobs for a time.
func (r *run) traffic(ctx context.Context, rng *rand.Rand, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		r.handIn(ctx, newJob(rng, r.busyService(rng), false, shortTasks, shortCPU, 1+rng.IntN(2)), rng.Uint64())
		pause := shortPause
		if _, overloaded := r.overloaded(); overloaded {
			pause = overloadPause
		}
		if !sleep(ctx, time.Duration(rng.Int64N(int64(2*pause)))) {
			return
		}
	}
}

// roamingTraffic hands in short jobs whose service the configuration changes.
func (r *run) roamingTraffic(ctx context.Context, d time.Duration) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 5))
	for end := time.Now().Add(d); time.Now().Before(end) && sleep(ctx, roamingPause); {
		r.handIn(ctx, newJob(rng, roaming, false, 1, shortCPU, 1), rng.Uint64())
	}
}

// cancelTraffic hands in jobs of two steps and cancels each one soon after it was accepted.
func (r *run) cancelTraffic(ctx context.Context, d time.Duration) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 9))
	for end := time.Now().Add(d); time.Now().Before(end) && sleep(ctx, cancelPause); {
		j, after, seed := newJob(rng, services[rng.IntN(len(services))], false, shortTasks, shortCPU, 2), time.Duration(rng.Int64N(int64(longestUncancelled))), rng.Uint64()
		r.check.handedIn(j)
		r.handIn(ctx, j, seed)
		r.callers.wg.Go(func() {
			for !r.check.isAccepted(j) {
				if !sleep(ctx, tickEvery) {
					return
				}
			}
			if sleep(ctx, after) {
				r.callers.cancel(ctx, j, seed)
			}
		})
	}
}

// busyService draws the service of a short job.
func (r *run) busyService(rng *rand.Rand) string {
	any := services[rng.IntN(len(services))]
	if s, overloaded := r.overloaded(); overloaded {
		return s
	}
	return any
}

// overloaded returns the service that is asked for more than it can run now, if one is: each in
// its turn, with a rest in between.
func (r *run) overloaded() (service string, yes bool) {
	turn := int(time.Since(r.check.began) / overloadTurn)
	return services[turn/2%len(services)], r.o.Overload && turn%2 == 0
}

// awaitEnds waits for the short jobs, at most until finishWithin after the last disturbance and the
// last start of a short task: a backlog that is worked off is no loss.
func (r *run) awaitEnds(ctx context.Context) {
	for len(r.check.open()) > 0 && !r.check.quietFor(finishWithin) && sleep(ctx, tickEvery) {
	}
}

// awaitRunning waits until each long-running task runs, or was reported.
func (r *run) awaitRunning(ctx context.Context) {
	for end := time.Now().Add(judgeWithin); !r.check.allRunning(); {
		if time.Now().After(end) {
			r.check.report("harness: no time calm enough to judge within %v", judgeWithin)
			return
		}
		if !sleep(ctx, tickEvery) {
			return
		}
	}
}

// newJob draws a job.
func newJob(rng *rand.Rand, service string, long bool, count int, cpu int64, steps int) *jobSpec {
	j := &jobSpec{ID: fmt.Sprintf("%016x", rng.Uint64()), Service: service, Long: long, Count: count, CPU: cpu, Steps: steps}
	var list []map[string]any
	for i := range steps {
		s := map[string]any{"count": count, "cpu": cpu, "mem_mb": taskMemoryMB, "estimate_ms": shortRun.Milliseconds()}
		if long {
			s["long_running"], s["may_miss"], s["image"] = true, 1, "img"
		}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		list = append(list, s)
	}
	body, err := json.Marshal(map[string]any{"spec": "payload", "steps": list})
	if err != nil {
		panic(err) // plain fields
	}
	j.body = body
	return j
}
