package prove

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/account"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/platform"
	"boragepulley/standins/worker"
)

// Bounds come from the users' stated targets.
const (
	// startWithin is when urgent work must start.
	startWithin = 2200 * time.Millisecond
	// settleWithin bounds how long open requests, retries and stored records may take
	// after the faults are healed.
	settleWithin = 20 * time.Second
	readyWithin  = 20 * time.Second
)

// Scenario is one proof.
type Scenario struct {
	Name string
	// Shows says which promises under which faults, for people.
	Shows string
	// Site describes the site; nil selects smallSite.
	Site func() sites.Options
	// Run injects faults and checks; ordinary load is up to it.
	Run func(ctx context.Context, e *Env) error
	// Long scenarios use the whole duration and are left out of the short set.
	Long bool
}

// Env is what a scenario works with.
type Env struct {
	*cluster.Cluster
	Callers  *load.Callers
	Rand     *rand.Rand
	Seed     uint64
	Duration time.Duration

	out io.Writer
	// judge checks the final report for what only the scenario knows; may be nil.
	judge func(r *account.Report)

	mu      sync.Mutex // guards the fields below
	killed  map[model.EntryVM]bool
	faults  []load.Fault
	figures []Figure
}

// Options of a run.
type Options struct {
	Bin, Dir string
	Seed     uint64
	// Duration of long scenarios.
	Duration time.Duration
	Out      io.Writer
}

// Result of one scenario.
type Result struct {
	Scenario string               `json:"scenario"`
	Seed     uint64               `json:"seed"`
	Seconds  float64              `json:"seconds"`
	Requests map[load.Verdict]int `json:"requests"`
	// Reasons counts the requests that did not run, or of unknown outcome, by reason.
	Reasons map[model.Reason]int `json:"reasons,omitempty"`
	// Figures are what the scenario measured.
	Figures []Figure     `json:"figures,omitempty"`
	Faults  []load.Fault `json:"faults,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// OK reports whether every promise held.
func (r Result) OK() bool { return len(r.Faults) == 0 && r.Error == "" }

// smallSite is a site of three data centres with two entry VMs each.
func smallSite() sites.Options {
	return sites.Options{
		Name: "prove", DataCentres: sites.DataCentres(3, 2), Services: 3, MinionsPerService: 6,
		MaxRun: 5 * time.Second, Deadline: 8 * time.Second,
	}
}

// RunScenario runs one scenario in a cluster of its own.
func RunScenario(ctx context.Context, s Scenario, o Options) Result {
	start := time.Now()
	e, err := newEnv(s, o)
	if err == nil {
		defer e.Close()
		err = e.run(ctx, s)
	}
	r := Result{Scenario: s.Name, Seed: o.Seed, Seconds: time.Since(start).Seconds()}
	if e != nil {
		r.Requests = load.Verdicts(e.Callers.Seen())
		r.Reasons = load.Reasons(e.Callers.Seen())
		e.measureCallers()
		r.Faults, r.Figures = e.faults, e.figures
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

func newEnv(s Scenario, o Options) (*Env, error) {
	site := smallSite
	if s.Site != nil {
		site = s.Site
	}
	c, err := cluster.Start(cluster.Options{
		Bin: o.Bin, Dir: filepath.Join(o.Dir, fmt.Sprintf("%s-%d", s.Name, o.Seed)), Site: site(), Seed: o.Seed,
	})
	if err != nil {
		return nil, err
	}
	return &Env{
		Cluster: c, Callers: load.NewCallers(c.Balancer), Rand: rand.New(rand.NewPCG(o.Seed, 7)), Seed: o.Seed,
		Duration: o.Duration, out: o.Out, killed: make(map[model.EntryVM]bool),
	}, nil
}

func (e *Env) run(ctx context.Context, s Scenario) error {
	if err := e.StartEntries(); err != nil {
		return err
	}
	up, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if _, _, err := e.Apply(up, e.Files()); err != nil {
		return err
	}
	if err := e.Balancer.AwaitReady(up, len(e.Entries())); err != nil {
		return errors.Wrap(err, "prove: entry VMs not ready")
	}
	if err := s.Run(ctx, e); err != nil {
		return err
	}
	return e.settle(ctx)
}

// Say prints one line of the scenario's story.
func (e *Env) Say(format string, args ...any) {
	fmt.Fprintf(e.out, "%s    %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// Fail records a broken promise.
func (e *Env) Fail(kind load.FaultKind, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, load.Fault{Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// KillEntry kills an entry VM at once; the account may then have a gap there.
func (e *Env) KillEntry(n model.EntryVM) {
	e.Say("Killing %s.", n)
	e.lose(n)
	if err := e.Cluster.Kill(n); err != nil {
		e.Fail("stand-in", "%v", err)
	}
}

// lose notes that callers of an entry VM may see broken connections, because it is
// killed or paused.
func (e *Env) lose(n model.EntryVM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.killed[n] = true
}

func (e *Env) lost(n model.EntryVM) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killed[n]
}

// Heal removes all faults, resumes and restarts all entry VMs.
func (e *Env) Heal(ctx context.Context) error {
	if err := e.Link(faultproxy.ActionHeal, ""); err != nil {
		return err
	}
	if err := e.PlatformFaults(platform.Faults{}); err != nil {
		return err
	}
	for i := range e.Site.Minions() {
		if err := e.MinionFaults(sites.MinionName(i)); err != nil {
			return err
		}
	}
	for i := range e.Site.Workers {
		if err := e.WorkerFaults(sites.WorkerName(i), worker.Faults{}); err != nil {
			return err
		}
	}
	for _, n := range e.Entries() {
		if !e.Running(n) {
			if err := e.StartEntry(n); err != nil {
				return err
			}
			continue
		}
		if err := e.Resume(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	return errors.Wrap(e.Balancer.AwaitReady(ctx, len(e.Entries())), "prove: not ready after healing")
}

// settle heals everything and judges the run.
func (e *Env) settle(ctx context.Context) error {
	if err := e.Heal(ctx); err != nil {
		return err
	}
	r, err := e.finalReport(ctx)
	if err != nil {
		return err
	}
	runs, err := e.Runs()
	if err != nil {
		return err
	}
	stats, err := e.MinionStats()
	if err != nil {
		return err
	}
	workers, err := e.WorkerStats()
	if err != nil {
		return err
	}
	if e.judge != nil {
		e.judge(r)
	}
	seen := e.Callers.Seen()
	for _, f := range [][]load.Fault{
		load.JudgeRuns(seen, runs), load.JudgeReport(seen, r, runs), load.JudgeMinions(stats), load.JudgeWorkers(workers), load.JudgeTasks(seen), e.judgeGaps(r), e.judgeBroken(seen),
	} {
		e.faults = append(e.faults, f...)
	}
	if !r.OK() {
		e.Fail(load.FaultReportDiffers, "the report's own checks: %+v", r.Checks)
	}
	if err := e.judgeCounters(); err != nil {
		return err
	}
	return e.judgeInvariants()
}

// finalReport reads the report until no job is open, nothing waits to be stored and the
// entry VM that makes the report reaches every running one, at most for settleWithin.
func (e *Env) finalReport(ctx context.Context) (*account.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	op, err := e.Operator()
	if err != nil {
		return nil, err
	}
	for {
		r, err := readReport(ctx, op)
		if err == nil {
			e.judgeLostGaps(r)
		}
		if err == nil && r.Total.Open == 0 && !hasUnstored(r) && len(e.judgeGaps(r)) == 0 {
			return r, nil
		}
		select {
		case <-ctx.Done():
			if err == nil {
				return r, nil
			}
			return nil, errors.Wrap(err, "prove: report")
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func readReport(ctx context.Context, op *operator.Client) (*account.Report, error) {
	data, err := op.Report(ctx, operator.ReportQuery{Format: operator.ReportJSON})
	if err != nil {
		return nil, err
	}
	var r account.Report
	return &r, json.Unmarshal(data, &r)
}

func hasUnstored(r *account.Report) bool {
	for _, g := range r.Gaps {
		if g.Cause == account.GapNotStored {
			return true
		}
	}
	return false
}

// judgeLostGaps requires of every report, also the first one after healing, that it
// calls no entry VM lost that was not killed or paused.
func (e *Env) judgeLostGaps(r *account.Report) {
	for _, g := range r.Gaps {
		if g.Cause == account.GapLost && !e.lost(g.Entry) {
			e.Fail(load.FaultReportDiffers, "a running entry VM is called lost: %+v", g)
		}
	}
}

// judgeGaps requires a gap for killed entry VMs only.
func (e *Env) judgeGaps(r *account.Report) []load.Fault {
	var out []load.Fault
	for _, g := range r.Gaps {
		if !e.lost(g.Entry) {
			out = append(out, load.Fault{Kind: load.FaultReportDiffers, Detail: fmt.Sprintf("gap without a lost entry VM: %+v", g)})
		}
	}
	return out
}

// judgeBroken requires that connections broke only at entry VMs that were killed.
func (e *Env) judgeBroken(seen []load.Seen) []load.Fault {
	var out []load.Fault
	for _, s := range seen {
		if s.Verdict == load.SawBroken && !e.lost(model.EntryVM(s.Entry)) {
			out = append(out, load.CutOff(s))
		}
	}
	return out
}

// FaultInvariant is a violation that a daemon counted itself.
const FaultInvariant load.FaultKind = "invariant violation counted by a daemon"

// judgeInvariants looks for violations in the logs of all daemons, ended ones included.
func (e *Env) judgeInvariants() error {
	for _, n := range e.Entries() {
		f, err := os.Open(filepath.Join(e.Dir, string(n)+".log"))
		if err != nil {
			return errors.Wrap(err, "prove: log")
		}
		err = e.scanLog(string(n), f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) scanLog(entry string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		l := lines.Text()
		if strings.Contains(l, `"part":"invariant"`) || strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			e.Fail(FaultInvariant, "%s: %s", entry, l)
		}
	}
	return errors.Wrap(lines.Err(), "prove: log")
}

// maxLogLine bounds a line of a daemon's log in bytes.
const maxLogLine = 1 << 20
