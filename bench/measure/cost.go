package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
)

const (
	// costSettle lets leases, connections and allotments settle before the idle window.
	costSettle = 3 * time.Second
	costIdle   = 8 * time.Second
	costBusy   = 5 * time.Second
	// costRate is the load of the busy window in requests per second, for the whole site.
	costRate = 100
)

// The two-year target for control on one node.
const (
	targetCPUPercent   = 3.1
	targetMemoryMB     = 128
	targetControlBytes = 12 << 10
)

// fleetSize is one size of the fleet.
type fleetSize struct{ dcs, perDC, vms, teams, workers int }

func (s fleetSize) entries() int { return s.dcs * s.perDC }

func (s fleetSize) params() Params {
	return Params{"data_centres": s.dcs, "entry_vms": s.entries(), "vms": s.vms, "teams": s.teams, "workers": s.workers}
}

// today is the base from which one dimension at a time is varied, atTarget the size in two years.
var (
	today    = fleetSize{3, 2, 50, 6, 50}
	atTarget = fleetSize{7, 4, 350, 31, 1200}
)

// costRow is what one size costs. Means are over the daemons of a role.
type costRow struct {
	size fleetSize
	// byRole has the costs by window ("idle", "busy") and role.
	byRole map[string]map[string]cost
}

// cost is the mean cost of the daemons of one role in one window, per second.
type cost struct {
	daemons                        int
	cpuPercent, memoryMB           float64
	maxCPUPercent, maxMemoryMB     float64
	control, traffic, maxControl   float64 // sent and received, B/s
	platformCalls, writes, reads   float64
	controlMessages                map[string]float64 // B/s by method
	siteWrites, siteReads, platCPU float64
}

// Roles of a daemon.
const (
	roleCoordinator = "coordinator"
	roleOther       = "other"
)

func controlCost(ctx context.Context, e *Env) error {
	groups := []struct {
		dimension string
		x         func(fleetSize) int
		sizes     []fleetSize
	}{
		{"entry VMs, in data centres of 2", fleetSize.entries, []fleetSize{{1, 2, 50, 6, 50}, {2, 2, 50, 6, 50}, {4, 2, 50, 6, 50}, {7, 2, 50, 6, 50}}},
		{"entry VMs in each of 3 data centres", func(s fleetSize) int { return s.perDC }, []fleetSize{{3, 1, 50, 6, 50}, today, {3, 4, 50, 6, 50}}},
		{"VMs", func(s fleetSize) int { return s.vms }, []fleetSize{today, {3, 2, 150, 6, 50}, {3, 2, 350, 6, 50}}},
		{"teams", func(s fleetSize) int { return s.teams }, []fleetSize{today, {3, 2, 50, 18, 50}, {3, 2, 50, 31, 50}}},
		{"workers", func(s fleetSize) int { return s.workers }, []fleetSize{today, {3, 2, 50, 6, 600}, {3, 2, 50, 6, 1200}}},
	}
	t := e.table("DCs", "entry VMs", "VMs", "teams", "workers", "window", "role", "CPU %", "max", "RSS MB", "max", "control B/s", "max", "traffic B/s", "writes/s", "reads/s", "site writes/s", "site reads/s")
	rows := map[fleetSize]costRow{}
	measureOne := func(s fleetSize) error {
		if _, done := rows[s]; done {
			return nil
		}
		r, err := e.costOf(ctx, s)
		if err != nil {
			return err
		}
		rows[s] = r
		e.costRows(t, r)
		return nil
	}
	for _, g := range groups {
		for _, s := range g.sizes {
			if err := measureOne(s); err != nil {
				return err
			}
		}
	}
	if err := measureOne(atTarget); err != nil {
		return err
	}
	t.flush()
	s := e.table("slope per", "window", "role", "CPU % of a core", "RSS KB", "control B/s", "writes/s", "reads/s")
	for _, g := range groups {
		var x []float64
		var in []costRow
		for _, size := range g.sizes {
			x = append(x, float64(g.x(size)))
			in = append(in, rows[size])
		}
		e.slopeRows(s, g.dimension, x, in)
	}
	s.flush()
	e.targetRows(rows)
	return nil
}

// costOf starts a cluster of a size and measures an idle and a busy window.
func (e *Env) costOf(ctx context.Context, s fleetSize) (costRow, error) {
	name := fmt.Sprintf("%dx%d-%d-%d-%d", s.dcs, s.perDC, s.vms, s.teams, s.workers)
	site := sites.Options{
		DataCentres: sites.DataCentres(s.dcs, s.perDC), Services: 5, MinionsPerService: s.vms / 5, Teams: s.teams,
	}
	site.Workers = s.workers
	c, err := e.start(ctx, name, cluster.Options{Site: site, DirectMinions: true})
	if err != nil {
		return costRow{}, err
	}
	defer c.Close()
	pause(ctx, costSettle)
	r := costRow{size: s, byRole: map[string]map[string]cost{}}
	if r.byRole["idle"], err = e.window(ctx, c, costIdle); err != nil {
		return r, err
	}
	stop := e.costLoad(ctx, c, s.teams)
	defer stop()
	pause(ctx, time.Second)
	r.byRole["busy"], err = e.window(ctx, c, costBusy)
	return r, err
}

// costLoad sends costRate requests per second in all until the returned function is called.
func (e *Env) costLoad(ctx context.Context, c *cluster.Cluster, teams int) (stop func()) {
	callers := load.NewCallers(c.Balancer)
	p := load.Profile{Steady: true, Seed: e.Seed, MaxInFlight: 400}
	for q := range c.Site.Services {
		p.Streams = append(p.Streams, load.Stream{Queue: string(sites.QueueName(q)), Mean: costRate / float64(c.Site.Services),
			Next: func(r *rand.Rand) load.Request {
				name, key := team(r.IntN(teams))
				return load.Request{Queue: string(sites.QueueName(q)), Team: name, Key: key, Idempotent: true,
					Run: time.Duration(10+r.IntN(40)) * time.Millisecond, Deadline: 5 * time.Second, AnswerBytes: 500}
			}})
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx, callers)
	}()
	return func() {
		cancel()
		<-done
	}
}

// reading is the state of a daemon's counters.
type reading struct {
	at                   time.Time
	cpu                  time.Duration
	memory               int64
	control, traffic     int64
	calls, writes, reads int64
	controlByMethod      map[string]int64
	coordinator          bool
}

func (e *Env) read(c *cluster.Cluster, n model.EntryVM) (reading, error) {
	var r reading
	vars, err := c.Vars(n)
	if err != nil {
		return r, err
	}
	u, err := c.Usage(n)
	if err != nil {
		return r, err
	}
	r.at, r.cpu, r.memory = time.Now(), u.CPU, u.ResidentBytes
	r.controlByMethod = map[string]int64{}
	for k, v := range counts(vars["peer_control_bytes"]) {
		r.control += v
		if parts := strings.Split(k, "/"); len(parts) == 3 {
			r.controlByMethod[parts[1]] += v
		}
	}
	for _, v := range counts(vars["peer_traffic_bytes"]) {
		r.traffic += v
	}
	for k, v := range counts(vars["platform_client"]) {
		op, ok := strings.CutPrefix(k, "calls_")
		if !ok {
			continue
		}
		r.calls += v
		if strings.Contains(op, "commit") || strings.Contains(op, "put") || strings.Contains(op, "txn") {
			r.writes += v
		} else {
			r.reads += v
		}
	}
	r.coordinator = counts(vars["control_gauges"])["coordinator"] == 1
	return r, nil
}

// counts decodes the numbers of an expvar map and leaves out everything else.
func counts(data json.RawMessage) map[string]int64 {
	var raw map[string]json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return nil
	}
	out := make(map[string]int64, len(raw))
	for k, v := range raw {
		if n, err := strconv.ParseInt(string(v), 10, 64); err == nil {
			out[k] = n
		}
	}
	return out
}

// window measures all daemons over a time and returns the means by role.
func (e *Env) window(ctx context.Context, c *cluster.Cluster, d time.Duration) (map[string]cost, error) {
	before := map[model.EntryVM]reading{}
	for _, n := range c.Entries() {
		r, err := e.read(c, n)
		if err != nil {
			return nil, err
		}
		before[n] = r
	}
	stats0, err := c.PlatformStats()
	if err != nil {
		return nil, err
	}
	plat0, err := c.PlatformUsage()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	pause(ctx, d)
	stats1, err := c.PlatformStats()
	if err != nil {
		return nil, err
	}
	plat1, err := c.PlatformUsage()
	if err != nil {
		return nil, err
	}
	secs := time.Since(start).Seconds()
	out := map[string]cost{}
	for _, n := range c.Entries() {
		r, err := e.read(c, n)
		if err != nil {
			return nil, err
		}
		role := roleOther
		if r.coordinator {
			role = roleCoordinator
		}
		k := out[role]
		k.add(before[n], r)
		k.siteWrites = float64(stats1.Writes-stats0.Writes) / secs
		k.siteReads = float64(stats1.Reads-stats0.Reads) / secs
		k.platCPU = 100 * (plat1.CPU - plat0.CPU).Seconds() / secs
		out[role] = k
	}
	for role, k := range out {
		k.divide()
		out[role] = k
	}
	return out, nil
}

func (k *cost) add(a, b reading) {
	secs := b.at.Sub(a.at).Seconds()
	per := func(x, y int64) float64 { return float64(y-x) / secs }
	cpu, memory, control := 100*(b.cpu-a.cpu).Seconds()/secs, float64(b.memory)/(1<<20), per(a.control, b.control)
	k.daemons++
	k.cpuPercent += cpu
	k.maxCPUPercent = max(k.maxCPUPercent, cpu)
	k.memoryMB += memory
	k.maxMemoryMB = max(k.maxMemoryMB, memory)
	k.control += control
	k.maxControl = max(k.maxControl, control)
	k.traffic += per(a.traffic, b.traffic)
	k.platformCalls += per(a.calls, b.calls)
	k.writes += per(a.writes, b.writes)
	k.reads += per(a.reads, b.reads)
	if k.controlMessages == nil {
		k.controlMessages = map[string]float64{}
	}
	for m, v := range b.controlByMethod {
		k.controlMessages[m] += per(a.controlByMethod[m], v)
	}
}

// divide turns sums into means.
func (k *cost) divide() {
	n := float64(k.daemons)
	for _, v := range []*float64{&k.cpuPercent, &k.memoryMB, &k.control, &k.traffic, &k.platformCalls, &k.writes, &k.reads} {
		*v /= n
	}
	for m := range k.controlMessages {
		k.controlMessages[m] /= n
	}
}

var windows = []string{"idle", "busy"}
var roles = []string{roleCoordinator, roleOther}

func (e *Env) costRows(t *table, r costRow) {
	for _, w := range windows {
		for _, role := range roles {
			k, ok := r.byRole[w][role]
			if !ok {
				continue
			}
			p := r.size.params()
			p["window"], p["role"] = w, role
			for _, f := range []struct {
				name, unit string
				v          float64
			}{
				{"processor", "% of a core", k.cpuPercent}, {"processor_max", "% of a core", k.maxCPUPercent},
				{"resident", "MB", k.memoryMB}, {"resident_max", "MB", k.maxMemoryMB},
				{"control_bytes", "B/s", k.control}, {"control_bytes_max", "B/s", k.maxControl},
				{"traffic_bytes", "B/s", k.traffic}, {"platform_calls", "1/s", k.platformCalls},
				{"store_writes", "1/s", k.writes}, {"store_reads", "1/s", k.reads},
				{"site_store_writes", "1/s", k.siteWrites}, {"site_store_reads", "1/s", k.siteReads},
				{"store_standin_processor", "% of a core", k.platCPU},
			} {
				e.Record(f.name, p, f.v, f.unit)
			}
			for m, v := range k.controlMessages {
				q := r.size.params()
				q["window"], q["role"], q["method"] = w, role, m
				e.Record("control_bytes_by_method", q, v, "B/s")
			}
			s := r.size
			t.row(strconv.Itoa(s.dcs), strconv.Itoa(s.entries()), strconv.Itoa(s.vms), strconv.Itoa(s.teams), strconv.Itoa(s.workers),
				w, role, num(k.cpuPercent), num(k.maxCPUPercent), num(k.memoryMB), num(k.maxMemoryMB), num(k.control), num(k.maxControl),
				num(k.traffic), num(k.writes), num(k.reads), num(k.siteWrites), num(k.siteReads))
		}
	}
}

func (e *Env) slopeRows(t *table, dimension string, x []float64, rows []costRow) {
	for _, w := range windows {
		for _, role := range roles {
			get := func(f func(cost) float64) line {
				var xs, ys []float64
				for i, r := range rows {
					if k, ok := r.byRole[w][role]; ok {
						xs, ys = append(xs, x[i]), append(ys, f(k))
					}
				}
				return fit(xs, ys)
			}
			cells := []string{dimension, w, role}
			for _, f := range []struct {
				name, unit string
				get        func(cost) float64
			}{
				{"processor", "% of a core", func(k cost) float64 { return k.cpuPercent }},
				{"resident", "KB", func(k cost) float64 { return k.memoryMB * 1024 }},
				{"control_bytes", "B/s", func(k cost) float64 { return k.control }},
				{"store_writes", "1/s", func(k cost) float64 { return k.writes }},
				{"store_reads", "1/s", func(k cost) float64 { return k.reads }},
			} {
				l := get(f.get)
				p := Params{"per": dimension, "window": w, "role": role}
				e.Record("slope_"+f.name, p, l.Slope, f.unit)
				e.Record("intercept_"+f.name, p, l.Intercept, f.unit)
				cells = append(cells, num(l.Slope))
			}
			t.row(cells...)
		}
	}
}

// targetRows compares the largest size with the target.
func (e *Env) targetRows(rows map[fleetSize]costRow) {
	t := e.table("at the target size", "window", "role", "worst daemon", "target")
	for _, w := range windows {
		for _, role := range roles {
			k := rows[atTarget].byRole[w][role]
			t.row("processor, % of a core", w, role, num(k.maxCPUPercent), num(targetCPUPercent))
			t.row("resident, MB", w, role, num(k.maxMemoryMB), num(targetMemoryMB))
			t.row("control, B/s", w, role, num(k.maxControl), num(targetControlBytes))
		}
	}
	t.flush()
}
