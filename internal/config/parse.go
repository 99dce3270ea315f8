package config

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/tomldoc"
)

// Fault is one fault or warning in an applied file.
type Fault = tomldoc.Fault

// Faults lists the faults of a set of files.
type Faults = tomldoc.Faults

// Limits on a set of files. A daemon holds the whole set in memory and in one object.
const (
	MaxFiles      = 200
	MaxFileBytes  = 1 << 20
	MaxTotalBytes = 4 << 20
	maxFileName   = 200
)

// Bounds of fields.
const (
	maxSlots       = 1024
	maxConnections = 65536
	maxCores       = 4096
	maxMemoryMB    = 64 << 20
	maxShare       = 10000
	maxLimit       = 1000000
	maxWaiting     = 100000
	maxBody        = 16 << 20
	maxAttempts    = 10
	maxWeight      = 100
	maxPoolVMs     = 100000
	// MaxDeadline is the largest deadline of a request.
	MaxDeadline = 600 * time.Second
)

// Defaults of fields.
const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultWeight      = 50
	defaultWaiting     = 1000
	defaultBody        = 1 << 20
	defaultAttempts    = 3
	defaultRetry       = 10
	defaultMaxRun      = 30 * time.Second
	defaultDeadline    = 30 * time.Second
	defaultIsolation   = 5 * time.Second
	defaultDrain       = 10 * time.Minute
	defaultCooldown    = 10 * time.Minute
)

var (
	// nameForm is also the form of key ids. It has no dot, because the text form of a key
	// separates id and secret by one.
	nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hashForm = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
	fileForm = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._/-]*\.toml$`)
)

const nameExpected = "1 to 63 lower-case letters, digits and inner hyphens"

var (
	nameRule    = tomldoc.StringRule{Required: true, OK: nameForm.MatchString, Expected: nameExpected}
	optionalRef = tomldoc.StringRule{OK: nameForm.MatchString, Expected: nameExpected}
	addressRule = tomldoc.StringRule{Required: true, OK: ValidAddress, Expected: `an address "IP:port"`}
)

// ValidName reports whether s can name an object of the files, or a key id.
func ValidName(s string) bool { return nameForm.MatchString(s) }

// ValidAddress reports whether s is "IP:port" with a port above 0.
func ValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// item is one object of the files and the table that describes it.
type item[T any] struct {
	value T
	table *tomldoc.Table
}

// draft is a site before the checks across files.
type draft struct {
	faults      Faults
	site        item[string]
	weights     item[Weights]
	isolation   item[Isolation]
	dataCentres []item[DataCentre]
	services    []item[Service]
	pools       []item[Pool]
	vms         []item[VM]
	workers     []item[Worker]
	queues      []item[Queue]
	teams       []item[Team]
	keys        []item[Key]
	budgets     []item[Budget]
	waves       []item[Wave]
}

// Parse reads a set of files as one site; each file may hold any section. All faults
// are returned at once, sorted by file and line. The site is nil if any of them is an
// error rather than a warning. References between objects are only checked if every
// file is valid TOML, because a file that cannot be read would make them all look broken.
func Parse(files []File) (*Site, Faults) {
	d := &draft{
		weights:   item[Weights]{value: Weights{defaultWeight, defaultWeight, defaultWeight, defaultWeight}},
		isolation: item[Isolation]{value: Isolation{Keys: KeysRefuse, After: defaultIsolation}},
	}
	if d.checkFiles(files) && d.readAll(sortedFiles(files)) {
		d.check()
	}
	d.faults.Sort()
	if d.faults.Err() != nil {
		return nil, d.faults
	}
	return d.result(), d.faults
}

// sortedFiles returns the files in the order of their names.
func sortedFiles(files []File) []File {
	out := slices.Clone(files)
	slices.SortStableFunc(out, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// checkFiles checks names and sizes. It returns false if the set is too large, or
// holds a name twice, so that places in the files would be ambiguous.
func (d *draft) checkFiles(files []File) bool {
	fault := func(name, found, expected string) {
		d.faults = append(d.faults, Fault{File: name, Found: found, Expected: expected})
	}
	if len(files) == 0 || len(files) > MaxFiles {
		fault("(all files)", fmt.Sprintf("%d files", len(files)), fmt.Sprintf("1 to %d files", MaxFiles))
		return false
	}
	total, readable, seen := 0, true, map[string]bool{}
	for _, f := range files {
		total += len(f.Text)
		if seen[f.Name] {
			fault(f.Name, "the file name twice", "each file name once")
			readable = false
		}
		seen[f.Name] = true
		if len(f.Name) > maxFileName || !fileForm.MatchString(f.Name) || strings.Contains(f.Name, "..") {
			fault(f.Name, fmt.Sprintf("file name %q", f.Name), fmt.Sprintf(`a relative name of at most %d letters, digits and "._/-" that ends in .toml`, maxFileName))
		}
	}
	if total > MaxTotalBytes {
		fault("(all files)", fmt.Sprintf("%d bytes", total), fmt.Sprintf("at most %d bytes", MaxTotalBytes))
		return false
	}
	return readable
}

// readAll reads every file and reports whether all are valid TOML.
func (d *draft) readAll(files []File) bool {
	whole := true
	for _, f := range files {
		t := tomldoc.Parse(f.Name, f.Text, MaxFileBytes, &d.faults)
		if t == nil {
			whole = false
			continue
		}
		d.read(t)
	}
	return whole
}

// read reads the sections of one file.
func (d *draft) read(t *tomldoc.Table) {
	single(t, "site", &d.site, readSite)
	single(t, "weights", &d.weights, readWeights)
	single(t, "isolation", &d.isolation, readIsolation)
	readList(t, "data_centre", &d.dataCentres, readDataCentre)
	readList(t, "service", &d.services, readService)
	readList(t, "pool", &d.pools, readPool)
	readList(t, "vm", &d.vms, readVM)
	readList(t, "worker", &d.workers, readWorker)
	readList(t, "queue", &d.queues, readQueue)
	readList(t, "team", &d.teams, readTeam)
	readList(t, "key", &d.keys, readKey)
	readList(t, "budget", &d.budgets, readBudget)
	readList(t, "wave", &d.waves, readWave)
	t.RejectUnknownFields()
}

// single reads a section that the site has once.
func single[T any](file *tomldoc.Table, name string, to *item[T], read func(*tomldoc.Table) T) {
	t := file.Table(name)
	if t == nil {
		return
	}
	if first := to.table; first != nil {
		t.Fault("", "the section again", fmt.Sprintf("one section [%s], see %s:%d", name, first.File(), first.Line("")))
		return
	}
	*to = item[T]{read(t), t}
	t.RejectUnknownFields()
}

// readList reads a section that the site has any number of times.
func readList[T any](file *tomldoc.Table, name string, to *[]item[T], read func(*tomldoc.Table) T) {
	for _, t := range file.Tables(name) {
		*to = append(*to, item[T]{read(t), t})
		t.RejectUnknownFields()
	}
}

func readSite(t *tomldoc.Table) string { return t.String("name", nameRule) }

func readWeights(t *tomldoc.Table) Weights {
	w := func(field string) int {
		return int(t.Int(field, tomldoc.IntRule{Default: defaultWeight, Min: 0, Max: maxWeight}))
	}
	return Weights{w("buffer_cost"), w("rollout_time"), w("moves"), w("share_closeness")}
}

func readIsolation(t *tomldoc.Table) Isolation {
	return Isolation{
		Keys: KeyPolicy(t.String("keys", oneOf(string(KeysRefuse), string(KeysRefuse), string(KeysServe)))),
		// Evidence of the head arrives about once a second, so a shorter time would make
		// a healthy data centre look isolated.
		After: t.Duration("after", tomldoc.DurationRule{Default: defaultIsolation, Min: 2 * time.Second, Max: 10 * time.Minute}),
	}
}

func readDataCentre(t *tomldoc.Table) DataCentre {
	return DataCentre{Name: model.DataCentre(t.String("name", nameRule)), EntryVMs: names[model.EntryVM](t, "entry_vms", true)}
}

func readService(t *tomldoc.Table) Service {
	return Service{
		Name:   model.Service(t.String("name", nameRule)),
		MaxRun: t.Duration("max_run", tomldoc.DurationRule{Default: defaultMaxRun, Min: time.Millisecond, Max: MaxDeadline}),
	}
}

func readPool(t *tomldoc.Table) Pool {
	p := Pool{
		Name:    model.Pool(t.String("name", nameRule)),
		Service: model.Service(t.String("service", optionalRef)),
		Spare:   t.Bool("spare"),
		Min:     int(t.Int("min", tomldoc.IntRule{Default: undeclared, Max: maxPoolVMs})),
		Max:     int(t.Int("max", tomldoc.IntRule{Default: undeclared, Max: maxPoolVMs})),
	}
	switch {
	case p.Spare && t.Has("service"):
		t.Fault("service", "a service on a spare pool", "no service, or spare = false")
	case !p.Spare && !t.Has("service"):
		t.Fault("service", "nothing", "a service, or spare = true")
	}
	return p
}

func readVM(t *tomldoc.Table) VM {
	v := VM{
		Name:        model.VM(t.String("name", nameRule)),
		Pool:        model.Pool(t.String("pool", nameRule)),
		DC:          model.DataCentre(t.String("data_centre", nameRule)),
		Rack:        model.Rack(t.String("rack", nameRule)),
		Addr:        t.String("address", addressRule),
		Drain:       t.Bool("drain"),
		Slots:       int(t.Int("slots", tomldoc.IntRule{Default: defaultSlots, Min: 1, Max: maxSlots})),
		Connections: int(t.Int("connections", tomldoc.IntRule{Default: defaultConnections, Min: 1, Max: maxConnections})),
	}
	if v.Connections < v.Slots && t.Valid("slots", "connections") {
		t.Fault("connections", fmt.Sprint(v.Connections), fmt.Sprintf("at least the %d slots", v.Slots))
	}
	return v
}

func readWorker(t *tomldoc.Table) Worker {
	return Worker{
		Name:         model.Worker(t.String("name", nameRule)),
		DC:           model.DataCentre(t.String("data_centre", nameRule)),
		Rack:         model.Rack(t.String("rack", nameRule)),
		Addr:         t.String("address", addressRule),
		Cores:        int(t.Int("cores", tomldoc.IntRule{Required: true, Min: 1, Max: maxCores})),
		MemoryMB:     int(t.Int("memory_mb", tomldoc.IntRule{Required: true, Min: 1, Max: maxMemoryMB})),
		Accelerators: int(t.Int("accelerators", tomldoc.IntRule{Min: 0, Max: maxSlots})),
	}
}

func readQueue(t *tomldoc.Table) Queue {
	deadline := tomldoc.DurationRule{Default: defaultDeadline, Min: time.Millisecond, Max: MaxDeadline}
	q := Queue{
		Name:         model.Queue(t.String("name", nameRule)),
		Kind:         QueueKind(t.String("kind", oneOf(string(QueueRequests), string(QueueRequests), string(QueueTasks)))),
		Service:      model.Service(t.String("service", optionalRef)),
		Open:         t.Bool("open"),
		Teams:        names[model.Team](t, "teams", false),
		MaxWaiting:   int(t.Int("max_waiting", tomldoc.IntRule{Default: defaultWaiting, Min: 1, Max: maxWaiting})),
		MaxBody:      t.Int("max_body", tomldoc.IntRule{Default: defaultBody, Min: 1, Max: maxBody}),
		Deadline:     t.Duration("deadline", deadline),
		MaxAttempts:  int(t.Int("max_attempts", tomldoc.IntRule{Default: defaultAttempts, Min: 1, Max: maxAttempts})),
		RetryPercent: int(t.Int("retry_percent", tomldoc.IntRule{Default: defaultRetry, Min: 0, Max: 100})),
		Deferrable:   t.Bool("deferrable"),
	}
	deadline.Default = MaxDeadline
	q.MaxDeadline = t.Duration("max_deadline", deadline)
	checkQueue(t, q)
	return q
}

// checkQueue checks the fields of one queue against each other.
func checkQueue(t *tomldoc.Table, q Queue) {
	if q.MaxDeadline < q.Deadline && t.Valid("deadline", "max_deadline") {
		t.Fault("max_deadline", fmt.Sprintf("%q", tomldoc.ShortDuration(q.MaxDeadline)), fmt.Sprintf("at least the deadline %q", tomldoc.ShortDuration(q.Deadline)))
	}
	if q.Open && len(q.Teams) > 0 {
		t.Fault("teams", "teams on a queue that is open to all", "no teams, or open = false")
	}
	switch {
	case q.Kind == QueueTasks && t.Has("service"):
		t.Fault("service", "a service on a queue of tasks", `no service, or kind = "requests"`)
	case q.Kind == QueueRequests && !t.Has("service"):
		t.Fault("service", "nothing", `a service, or kind = "tasks"`)
	}
}

func readTeam(t *tomldoc.Table) Team {
	return Team{
		Name:  model.Team(t.String("name", nameRule)),
		Share: int(t.Int("share", tomldoc.IntRule{Required: true, Min: 1, Max: maxShare})),
		Limit: int(t.Int("limit", tomldoc.IntRule{Required: true, Min: 1, Max: maxLimit})),
	}
}

func readKey(t *tomldoc.Table) Key {
	k := Key{ID: t.String("id", nameRule), Team: model.Team(t.String("team", nameRule))}
	text := t.String("sha256", tomldoc.StringRule{Required: true, OK: hashForm.MatchString, Expected: "64 hex digits, the SHA-256 of the secret"})
	k.SHA256, _ = decodeHash(text)
	return k
}

func readBudget(t *tomldoc.Table) Budget {
	return Budget{
		Service:        model.Service(t.String("service", nameRule)),
		Scope:          BudgetScope(t.String("scope", oneOf("", string(ScopeFleet), string(ScopeDataCentre), string(ScopeRack)))),
		MaxUnavailable: int(t.Int("max_unavailable", tomldoc.IntRule{Required: true, Min: 0, Max: math.MaxInt32})),
	}
}

func readWave(t *tomldoc.Table) Wave {
	return Wave{
		Name:         t.String("name", nameRule),
		Pools:        names[model.Pool](t, "pools", true),
		Start:        t.Time("start"),
		DrainTimeout: t.Duration("drain_timeout", tomldoc.DurationRule{Default: defaultDrain, Min: time.Second, Max: 24 * time.Hour}),
		Cooldown:     t.Duration("cooldown", tomldoc.DurationRule{Default: defaultCooldown, Min: time.Second, Max: 24 * time.Hour}),
	}
}

// oneOf is the rule for a field with named values; without a default it is required.
func oneOf(def string, values ...string) tomldoc.StringRule {
	return tomldoc.StringRule{
		Required: def == "",
		Default:  def,
		OK:       func(s string) bool { return slices.Contains(values, s) },
		Expected: `"` + strings.Join(values, `" or "`) + `"`,
	}
}

// names reads a list of names.
func names[T ~string](t *tomldoc.Table, field string, required bool) []T {
	r := nameRule
	r.Required = required
	var out []T
	for _, s := range t.Strings(field, r) {
		out = append(out, T(s))
	}
	return out
}

// result returns the site.
func (d *draft) result() *Site {
	return &Site{
		Name:        d.site.value,
		Weights:     d.weights.value,
		DataCentres: values(d.dataCentres),
		Services:    values(d.services),
		Pools:       values(d.pools),
		VMs:         values(d.vms),
		Workers:     values(d.workers),
		Queues:      values(d.queues),
		Teams:       values(d.teams),
		Keys:        values(d.keys),
		Budgets:     values(d.budgets),
		Waves:       values(d.waves),
		Isolation:   d.isolation.value,
	}
}

func values[T any](items []item[T]) []T {
	out := make([]T, len(items))
	for i := range items {
		out[i] = items[i].value
	}
	return out
}
