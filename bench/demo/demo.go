// Package demo runs the whole system once from end to end and compares every figure of
// its report with what the callers saw.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/account"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
)

// ErrDisagrees means that a promise was broken or the report disagrees with the callers.
var ErrDisagrees = errors.New("demo: the system disagrees with its callers")

const (
	// withdrawnWithin is how soon a withdrawn key must stop working.
	withdrawnWithin = 3 * time.Second
	drainedWithin   = 10 * time.Second
	phase           = 4 * time.Second
	ratePerQueue    = 12
	maxInFlight     = 400
)

// Options of the demonstration.
type Options struct {
	Bin, Dir string
	Seed     uint64
}

type demo struct {
	Options
	out     io.Writer
	site    sites.Options
	cluster *cluster.Cluster
	callers *load.Callers
}

// Run runs the demonstration and prints what it does. Errors: ErrDisagrees, or a step
// that failed.
func Run(ctx context.Context, o Options, out io.Writer) error {
	d := &demo{Options: o, out: out, site: siteOptions()}
	var err error
	d.say("Starting the platform, minions, workers and a proxy.")
	if d.cluster, err = cluster.Start(cluster.Options{Bin: o.Bin, Dir: o.Dir, Site: d.site, Seed: o.Seed}); err != nil {
		return err
	}
	defer d.cluster.Close()
	d.callers = load.NewCallers(d.cluster.Balancer)
	for _, step := range []func(context.Context) error{
		d.start, d.serve, d.withdrawKey, d.drainVM, d.replaceEntry, d.report,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// siteOptions is a part of Alexandria's site: two data centres with two entry VMs each.
func siteOptions() sites.Options {
	o := sites.Alexandria()
	o.DataCentres = sites.DataCentres(2, 2)
	o.Services = 3
	o.MinionsPerService = 8
	o.SpareMinions = 2
	o.Workers = 8
	o.MaxRun = 5 * time.Second
	o.Deadline = 10 * time.Second
	return o
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%s  %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context) error {
	if err := d.cluster.StartEntries(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := d.apply(ctx, "the site"); err != nil {
		return err
	}
	if err := d.cluster.Balancer.AwaitReady(ctx, len(d.cluster.Entries())); err != nil {
		return errors.Wrap(err, "demo: entry VMs not ready")
	}
	d.say("%d entry VMs in %d data centres are ready.", len(d.cluster.Entries()), len(d.site.DataCentres))
	return nil
}

func (d *demo) apply(ctx context.Context, what string) error {
	d.cluster.Site.Drain, d.cluster.Site.WithdrawnKeys = d.site.Drain, d.site.WithdrawnKeys
	start := time.Now()
	version, stored, err := d.cluster.Apply(ctx, d.cluster.Files())
	if err != nil {
		return err
	}
	d.say("Applied %s as version %d: stored after %d ms, in force everywhere after %d ms.",
		what, version, stored.Milliseconds(), time.Since(start).Milliseconds())
	return nil
}

// profile is the users' load: each queue bursts in turn.
func (d *demo) profile(seed uint64) load.Profile {
	p := load.Profile{Burst: time.Second, Seed: seed, MaxInFlight: maxInFlight}
	for q := range d.site.Services {
		p.Streams = append(p.Streams, load.Stream{Queue: string(sites.QueueName(q)), Mean: ratePerQueue,
			Next: func(r *rand.Rand) load.Request { return d.request(r, q) }})
	}
	return p
}

func (d *demo) request(r *rand.Rand, queue int) load.Request {
	team := r.IntN(6)
	req := load.Request{
		Queue: string(sites.QueueName(queue)), Team: string(sites.TeamName(team)), Key: sites.KeyText(team),
		Idempotent: r.IntN(3) > 0, Urgent: r.IntN(5) == 0,
		Run: time.Duration(20+r.IntN(200)) * time.Millisecond, Deadline: 8 * time.Second, AnswerBytes: r.IntN(2000),
	}
	if r.IntN(2) == 0 {
		req.RequestID = fmt.Sprintf("demo-%d", r.Uint64())
	}
	if r.IntN(10) == 0 {
		req.Queue, req.Team, req.Key = string(sites.OpenQueue), "", ""
	}
	return req
}

func (d *demo) load(ctx context.Context, seed uint64, during func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, phase)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.profile(seed).Run(ctx, d.callers)
	}()
	var err error
	if during != nil {
		err = during(context.WithoutCancel(ctx))
	}
	<-done
	return err
}

func (d *demo) serve(ctx context.Context) error {
	if err := d.load(ctx, d.Seed, nil); err != nil {
		return err
	}
	d.say("Six teams posted requests: %v", load.Verdicts(d.callers.Seen()))
	return nil
}

// withdrawKey withdraws the key of the last team and waits until every entry VM refuses it.
func (d *demo) withdrawKey(ctx context.Context) error {
	team := 5
	d.site.WithdrawnKeys = []int{team}
	return d.load(ctx, d.Seed+1, func(ctx context.Context) error {
		start := time.Now()
		if err := d.apply(ctx, "a version without the key of "+string(sites.TeamName(team))); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(withdrawnWithin)))
		for _, e := range d.cluster.Entries() {
			s := d.callers.Do(ctx, load.Request{Queue: string(sites.QueueName(0)), Team: string(sites.TeamName(team)),
				Key: sites.KeyText(team), Idempotent: true, Deadline: time.Second, Entry: string(e)})
			if s.Verdict != load.SawNotRun {
				return errors.Wrapf(ErrDisagrees, "entry VM %s still takes a withdrawn key: %s", e, s.Verdict)
			}
		}
		d.say("Every entry VM refuses the withdrawn key.")
		return nil
	})
}

// drainVM takes a VM out of service under load and checks that nothing starts there any more.
func (d *demo) drainVM(ctx context.Context) error {
	vm := sites.MinionName(0)
	d.site.Drain = []model.VM{vm}
	return d.load(ctx, d.Seed+2, func(ctx context.Context) error {
		if err := d.apply(ctx, "a version that drains "+string(vm)); err != nil {
			return err
		}
		if err := d.awaitEmpty(ctx, vm); err != nil {
			return err
		}
		before, err := d.started(vm)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		after, err := d.started(vm)
		if err != nil {
			return err
		}
		if after != before {
			return errors.Wrapf(ErrDisagrees, "%d jobs started on %s after it was empty", after-before, vm)
		}
		d.say("VM %s is empty, and nothing starts on it.", vm)
		return nil
	})
}

func (d *demo) started(vm model.VM) (int64, error) {
	stats, err := d.cluster.MinionStats()
	if err != nil {
		return 0, err
	}
	for _, s := range stats {
		if s.Name == string(vm) {
			return s.Started, nil
		}
	}
	return 0, errors.Errorf("demo: no minion %s", vm)
}

func (d *demo) awaitEmpty(ctx context.Context, vm model.VM) error {
	op, err := d.cluster.Operator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainedWithin)
	defer cancel()
	for {
		st, err := op.Status(ctx)
		if err != nil {
			return err
		}
		for _, v := range st.VMs {
			if v.Name == vm && v.State == model.VMEmpty {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrDisagrees, "VM %s not empty after %v", vm, drainedWithin)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// replaceEntry shuts one entry VM down gracefully under load and starts a new process there.
func (d *demo) replaceEntry(ctx context.Context) error {
	n := d.cluster.Entries()[0]
	err := d.load(ctx, d.Seed+3, func(ctx context.Context) error {
		start := time.Now()
		if err := d.cluster.Terminate(n, 30*time.Second); err != nil {
			return errors.Wrap(err, "demo: graceful shutdown")
		}
		d.say("Entry VM %s left after %d ms.", n, time.Since(start).Milliseconds())
		if err := d.cluster.StartEntry(n); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
		defer cancel()
		if err := d.cluster.Balancer.AwaitReady(ctx, len(d.cluster.Entries())); err != nil {
			return errors.Wrap(err, "demo: replaced entry VM not ready")
		}
		d.say("Its replacement is ready after %d ms.", time.Since(start).Milliseconds())
		return nil
	})
	return err
}

// report prints the report and compares it with the callers' account and the minions' counts.
func (d *demo) report(ctx context.Context) error {
	op, err := d.cluster.Operator()
	if err != nil {
		return err
	}
	data, err := op.Report(ctx, operator.ReportQuery{Format: operator.ReportJSON})
	if err != nil {
		return errors.Wrap(err, "demo: report")
	}
	var r account.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Wrap(err, "demo: report")
	}
	fmt.Fprintln(d.out)
	if err := r.WriteText(d.out); err != nil {
		return err
	}
	faults, err := d.judge(&r)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\ncallers saw: %v\n", load.Verdicts(d.callers.Seen()))
	if len(faults) > 0 {
		for _, l := range load.Summarize(faults) {
			fmt.Fprintln(d.out, l)
		}
		return ErrDisagrees
	}
	d.say("The report, the callers and the minions agree on every request.")
	return nil
}

func (d *demo) judge(r *account.Report) ([]load.Fault, error) {
	runs, err := d.cluster.Runs()
	if err != nil {
		return nil, err
	}
	stats, err := d.cluster.MinionStats()
	if err != nil {
		return nil, err
	}
	seen := d.callers.Seen()
	faults := load.JudgeRuns(seen, runs)
	faults = append(faults, load.JudgeReport(seen, r, runs)...)
	faults = append(faults, load.JudgeMinions(stats)...)
	for _, s := range seen {
		// Nothing was killed, so no request may be cut off.
		if s.Verdict == load.SawBroken {
			faults = append(faults, load.CutOff(s))
		}
	}
	if !r.OK() || len(r.Gaps) > 0 {
		faults = append(faults, load.Fault{Kind: load.FaultReportDiffers, Detail: fmt.Sprintf("checks %+v, gaps %+v", r.Checks, r.Gaps)})
	}
	if r.Total.Accepted != countJobs(seen) {
		faults = append(faults, load.Fault{Kind: load.FaultReportDiffers,
			Detail: fmt.Sprintf("the report has %d jobs, the callers saw %d", r.Total.Accepted, countJobs(seen))})
	}
	return faults, nil
}

// countJobs counts the distinct jobs that the callers were told of.
func countJobs(seen []load.Seen) int {
	jobs := make(map[model.JobID]bool)
	for _, s := range seen {
		if s.Job != "" {
			jobs[s.Job] = true
		}
	}
	return len(jobs)
}
