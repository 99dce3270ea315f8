package measure

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/sites"
	"boragepulley/internal/account"
	"boragepulley/internal/admission"
	"boragepulley/internal/allotment"
	"boragepulley/internal/config"
	"boragepulley/internal/maintenance"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// pureFor bounds the time of one figure of a pure package.
const pureFor = 400 * time.Millisecond

// perCall returns the mean time of a call over at least pureFor and three calls.
func perCall(f func()) time.Duration {
	f()
	runtime.GC()
	n, start := 0, time.Now()
	for n < 3 || time.Since(start) < pureFor {
		f()
		n++
	}
	return time.Since(start) / time.Duration(n)
}

// pure measures the pure packages at today's size, in between and at the target. A slope
// is per unit of the varied size.
func pure(ctx context.Context, e *Env) error {
	t := e.table("package", "step", "size", "us", "slope us per unit")
	for _, g := range pureGroups() {
		var x, y []float64
		for _, n := range g.sizes {
			f, err := g.make(n)
			if err != nil {
				return err
			}
			us := float64(perCall(f).Nanoseconds()) / 1000
			x, y = append(x, float64(n)), append(y, us)
			e.Record(g.step, Params{"package": g.pkg, "unit_of_size": g.unit, "size": n}, us, "us")
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
		l := fit(x, y)
		e.Record(g.step+"_slope", Params{"package": g.pkg, "unit_of_size": g.unit}, l.Slope, "us")
		for i := range x {
			slope := ""
			if i == len(x)-1 {
				slope = num(l.Slope)
			}
			t.row(g.pkg, g.step, fmt.Sprintf("%s %s", strconv.FormatFloat(x[i], 'f', 0, 64), g.unit), num(y[i]), slope)
		}
	}
	t.flush()
	return nil
}

// pureGroup is one step of a pure package at several sizes.
type pureGroup struct {
	pkg, step, unit string
	sizes           []int
	make            func(n int) (func(), error)
}

func pureGroups() []pureGroup {
	return []pureGroup{
		{pkg: "admission", step: "release_grant_submit", unit: "waiting (31 teams, 350 VMs)", sizes: []int{1000, 10_000, 50_000},
			make: func(n int) (func(), error) { return grantStep(n, 31, 350) }},
		{pkg: "admission", step: "release_grant_submit", unit: "VMs (6 teams, 1000 waiting)", sizes: []int{50, 150, 350},
			make: func(n int) (func(), error) { return grantStep(1000, 6, n) }},
		{pkg: "admission", step: "release_grant_submit", unit: "teams (50 VMs, 1000 waiting)", sizes: []int{6, 18, 31},
			make: func(n int) (func(), error) { return grantStep(1000, n, 50) }},
		{pkg: "admission", step: "configuration_in_force", unit: "VMs (31 teams, 1000 waiting)", sizes: []int{50, 150, 350}, make: setSiteStep},
		{pkg: "allotment", step: "take_and_give", unit: "data centres", sizes: []int{3, 5, 7}, make: allotmentStep},
		{pkg: "maintenance", step: "plan", unit: "VMs of one data centre", sizes: []int{17, 50, 117, 350}, make: planStep},
		{pkg: "config", step: "parse_and_check", unit: "VMs and workers", sizes: []int{100, 500, 1550}, make: parseStep},
		{pkg: "account", step: "merge_and_build", unit: "records", sizes: []int{1000, 10_000, 50_000}, make: mergeStep},
		{pkg: "account", step: "encode_batch", unit: "records", sizes: []int{100, 250, 500}, make: encodeStep},
	}
}

var pureEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// oneDC returns a parsed site of one data centre.
func oneDC(vms, teams int) (*config.Index, sites.Options, error) {
	limits := make([]int, teams)
	for i := range limits {
		limits[i] = vms * 8
	}
	o := sites.Options{DataCentres: sites.DataCentres(1, 4), Services: 1, MinionsPerService: vms, Teams: teams,
		Limits: limits, MaxWaiting: 100_000}
	s, faults := config.Parse(sites.Generate(o))
	if s == nil {
		return nil, o, errors.Errorf("measure: generated site: %v", faults)
	}
	return config.NewIndex(s, 1), o, nil
}

// fullDC is the admission queue of one data centre with every slot in use.
type fullDC struct {
	*admission.Admission
	index   *config.Index
	now     time.Time
	teams   int
	jobs    int
	running []*model.Permit
}

func newFullDC(waiting, teams, vms int) (*fullDC, error) {
	x, o, err := oneDC(vms, teams)
	if err != nil {
		return nil, err
	}
	dc := o.DataCentres[0].Name
	d := &fullDC{Admission: admission.New(dc, model.Token{Epoch: 1}, admission.DefaultParams()), index: x, now: pureEpoch, teams: teams}
	d.SetConfig(x, d.now)
	parts := map[model.Team]int{}
	for i := range teams {
		parts[sites.TeamName(i)] = vms * 8
	}
	d.SetAllotments(d.now, parts)
	for i := range vms {
		d.SetMinionState(d.now, sites.MinionName(i), model.VMServing)
		d.MinionStatus(d.now, d.now, sites.MinionName(i), nil)
	}
	for range waiting + 8*vms {
		d.submit()
	}
	if len(d.running) != 8*vms {
		return nil, errors.Errorf("measure: %d of %d slots in use", len(d.running), 8*vms)
	}
	return d, nil
}

func (d *fullDC) take(out []admission.Effect) {
	for _, f := range out {
		if f.Kind == admission.EffectGrant {
			d.running = append(d.running, f.Permit)
		}
	}
}

func (d *fullDC) submit() {
	d.jobs++
	i := d.jobs % d.teams
	d.take(d.Submit(d.now, peer.Acquire{Attempt: 1, Wait: 10 * time.Minute, From: peer.Sender{Entry: "entry-1-1", DC: "dc-1"},
		Request: model.Request{Job: model.JobID(fmt.Sprintf("j%08d", d.jobs)), Queue: sites.QueueName(0), Team: sites.TeamName(i),
			KeyID: sites.KeyID(i), Priority: model.PriorityNormal, Idempotent: true}}))
}

func grantStep(waiting, teams, vms int) (func(), error) {
	d, err := newFullDC(waiting, teams, vms)
	if err != nil {
		return nil, err
	}
	return func() {
		d.now = d.now.Add(50 * time.Microsecond)
		p := d.running[0]
		d.running = d.running[1:]
		d.take(d.Release(d.now, peer.Release{From: peer.Sender{Entry: p.Holder}, Job: p.Job, Attempt: p.Attempt,
			Minion: p.Minion, Token: p.Token, Result: peer.AttemptUnused}))
		d.submit()
	}, nil
}

func setSiteStep(vms int) (func(), error) {
	d, err := newFullDC(1000, 31, vms)
	if err != nil {
		return nil, err
	}
	return func() { d.SetConfig(d.index, d.now) }, nil
}

// allotmentStep measures one transfer between two data centres.
func allotmentStep(dcs int) (func(), error) {
	capacity := map[model.DataCentre]int{}
	for _, d := range sites.DataCentres(dcs, 1) {
		capacity[d.Name] = 400
	}
	r := allotment.InitialRow(1000, 1, capacity)
	return func() {
		t, _ := r.TakeUnassigned("dc-1", 100, 1000, 1)
		t.Transfer("dc-1", "dc-2", 50, 1000, 1)
	}, nil
}

// parseStep measures the check of a site of n VMs and workers.
func parseStep(n int) (func(), error) {
	vms, ok := map[int]int{100: 50, 500: 150, 1550: 350}[n]
	if !ok {
		return nil, errors.Errorf("measure: no site of %d machines", n)
	}
	files := sites.Generate(sites.Options{DataCentres: sites.DataCentres(7, 4), Services: 5, MinionsPerService: vms / 5, Workers: n - vms, Teams: 31})
	if s, faults := config.Parse(files); s == nil {
		return nil, errors.Errorf("measure: generated site: %v", faults)
	}
	return func() { config.Parse(files) }, nil
}

// planStep measures one plan in the middle of a wave over n VMs in services of ten, with
// a budget per service in each scope.
func planStep(n int) (func(), error) {
	const perService = 10
	wave := config.Wave{Name: "wave-1", Start: pureEpoch, DrainTimeout: time.Minute}
	s := maintenance.Snapshot{Now: pureEpoch, Done: map[string]map[model.VM]bool{wave.Name: {}}, FleetBudgetShare: map[model.Service]int{}}
	for i := range n {
		k := i / perService
		v := maintenance.VM{Name: sites.MinionName(i), Pool: sites.PoolName(k), Service: sites.ServiceName(k),
			Rack: model.Rack(fmt.Sprintf("m%d", i/4)), State: model.VMServing, Since: pureEpoch, Idle: true}
		switch i % perService {
		case 0:
			v.State = model.VMDraining
			wave.Pools = append(wave.Pools, v.Pool)
			s.FleetBudgetShare[v.Service] = 2
			s.Budgets = append(s.Budgets, config.Budget{Service: v.Service, Scope: config.ScopeFleet, MaxUnavailable: 4},
				config.Budget{Service: v.Service, Scope: config.ScopeDataCentre, MaxUnavailable: 3},
				config.Budget{Service: v.Service, Scope: config.ScopeRack, MaxUnavailable: 1})
		case perService / 2:
			v.State = model.VMRebooting
		}
		s.VMs = append(s.VMs, v)
	}
	s.Waves = []config.Wave{wave}
	return func() { maintenance.NewPlan(s) }, nil
}

// records returns n records of jobs with three records each.
func records(n int) []model.Record {
	states := []model.State{model.StateAccepted, model.StateDispatched, model.StateRan}
	out := make([]model.Record, n)
	for i := range out {
		out[i] = model.Record{Job: model.JobID(fmt.Sprintf("01JABCDEFGHJKMNPQRST%06d.entry-1-1", i/3)),
			Time: pureEpoch.Add(time.Duration(i) * time.Millisecond), Entry: "entry-1-1", State: states[i%3],
			Queue: sites.QueueName(i / 3 % 5), Team: sites.TeamName(i / 3 % 6), Config: 1}
		if i%3 > 0 {
			out[i].Minion, out[i].Attempt = sites.MinionName(i/3%50), 1
		}
	}
	return out
}

func batches(n int) []account.Batch {
	const perBatch = 500
	owner := account.Owner{Entry: "entry-1-1", DC: "dc-1", Incarnation: "inc-1"}
	all := records(n)
	var out []account.Batch
	for i := 0; i < n; i += perBatch {
		end := min(i+perBatch, n)
		out = append(out, account.Batch{Owner: owner, First: uint64(i + 1), Last: uint64(end),
			CoversUntil: all[end-1].Time, Records: all[i:end]})
	}
	return out
}

func mergeStep(n int) (func(), error) {
	in := account.ReportInput{Batches: batches(n), Now: pureEpoch.Add(time.Hour)}
	return func() { account.Build(in) }, nil
}

func encodeStep(n int) (func(), error) {
	b := batches(n)[0]
	if _, err := b.Encode(); err != nil {
		return nil, err
	}
	return func() { _, _ = b.Encode() }, nil
}
