package sites

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/tomldoc"
)

// Names of the queues that every generated site has beside those of its services.
const (
	// OpenQueue is open to all and runs on the first service.
	OpenQueue model.Queue = "open"
	// TaskQueue runs on workers; it exists if the site has workers.
	TaskQueue model.Queue = "tasks"
	// ArchiveQueue runs on workers too, and its tasks are deferrable.
	ArchiveQueue model.Queue = "archive"
	// SparePool exists if the site has spare minions.
	SparePool model.Pool = "spare"
)

// perRack is the number of machines in a rack at both users' sites.
const perRack = 4

// DataCentre is one data centre of a generated site.
type DataCentre struct {
	Name     model.DataCentre
	EntryVMs []model.EntryVM
}

// Options describe a site. Counts of 0 take the value of the users' sites unless the
// field says otherwise.
type Options struct {
	// Name of the site; default "site".
	Name string
	// DataCentres of the site; default 3 of 2 entry VMs each.
	DataCentres []DataCentre
	// Services is the number of services (default 5), MinionsPerService their size (default 10).
	Services          int
	MinionsPerService int
	// SpareMinions is the size of the spare pool; 0 means that there is none.
	SpareMinions int
	// Lend is how many VMs each pool of a service may receive from the spare pool, which
	// may lend all of its VMs; 0 means that VMs do not move.
	Lend int
	// MinionAddrs are the "IP:port" of the minions, service by service, then the spare
	// ones. Addresses that are missing are made up.
	MinionAddrs []string
	// Slots and Connections of each minion; default 8 and 64.
	Slots       int
	Connections int
	// MaxRun of each service; default 30 s.
	MaxRun time.Duration
	// Workers is the number of workers; 0 means that there are none.
	Workers int
	// WorkerAddrs are the "IP:port" of the workers.
	WorkerAddrs []string
	// WorkerCores, WorkerMemoryMB and Accelerators of each worker; default 16, 32768 and 0.
	WorkerCores    int
	WorkerMemoryMB int
	Accelerators   int
	// Teams is the number of teams; default 6.
	Teams int
	// Shares and Limits by team. Missing shares are 4 for the first two teams and 1 for the
	// others; missing limits are twice the team's part of the slots, at least 1.
	Shares []int
	Limits []int
	// Deadline and MaxDeadline of each queue; default 30 s and 600 s.
	Deadline    time.Duration
	MaxDeadline time.Duration
	// MaxWaiting of each queue; default 1000.
	MaxWaiting int
	// MaxUnavailable of each service across the fleet; default a quarter of its minions, at
	// least 1. Services of one minion have no budget, because none can hold.
	MaxUnavailable int
	// WaveStart adds a maintenance wave over all services; the zero time adds none.
	WaveStart time.Time
	// WaveCooldown is the wave's pause after correlated failures; 0 selects the default.
	WaveCooldown time.Duration
	// Moved puts VMs into other pools than their index says.
	Moved map[model.VM]model.Pool
	// Drain takes VMs out of service.
	Drain []model.VM
	// WithdrawnKeys are the indices of teams without a key.
	WithdrawnKeys []int
	// Isolation policy; default refuse after 5 s.
	Isolation config.Isolation
}

// Alexandria returns options at the size of the first user's site.
func Alexandria() Options {
	return Options{Name: "alexandria", SpareMinions: 4, Workers: 50, WorkerCores: 64, WorkerMemoryMB: 131072}
}

// Aarhus returns options at the size of the second user's site.
func Aarhus() Options {
	return Options{Name: "aarhus", DataCentres: DataCentres(4, 2), SpareMinions: 4, Workers: 50}
}

// DataCentres returns n data centres "dc-1", "dc-2" and so on with the given number of
// entry VMs each, named "entry-1-1" and so on.
func DataCentres(n, entryVMs int) []DataCentre {
	out := make([]DataCentre, n)
	for i := range out {
		out[i].Name = model.DataCentre(fmt.Sprintf("dc-%d", i+1))
		for j := range entryVMs {
			out[i].EntryVMs = append(out[i].EntryVMs, model.EntryVM(fmt.Sprintf("entry-%d-%d", i+1, j+1)))
		}
	}
	return out
}

// ServiceName returns the name of the service with the index, from 0.
func ServiceName(i int) model.Service { return model.Service(fmt.Sprintf("service-%d", i+1)) }

// PoolName returns the name of the pool of the service with the index.
func PoolName(i int) model.Pool { return model.Pool(fmt.Sprintf("pool-%d", i+1)) }

// QueueName returns the name of the queue of the service with the index.
func QueueName(i int) model.Queue { return model.Queue(fmt.Sprintf("queue-%d", i+1)) }

// TeamName returns the name of the team with the index.
func TeamName(i int) model.Team { return model.Team(fmt.Sprintf("team-%d", i+1)) }

// MinionName returns the name of the minion with the index, in the order of MinionAddrs.
func MinionName(i int) model.VM { return model.VM(fmt.Sprintf("vm-%d", i+1)) }

// WorkerName returns the name of the worker with the index.
func WorkerName(i int) model.Worker { return model.Worker(fmt.Sprintf("worker-%d", i+1)) }

// KeyID returns the id of the key of the team with the index.
func KeyID(i int) string { return fmt.Sprintf("key-%d", i+1) }

// Secret returns the secret of the key with the id.
func Secret(id string) string { return "generated-secret-of-" + id }

// KeyText returns the key of the team with the index as callers present it.
func KeyText(i int) string { return config.KeyText(KeyID(i), Secret(KeyID(i))) }

// MinionDC returns the index of the data centre of the minion with the index.
func (o Options) MinionDC(i int) int { return i % len(o.withDefaults().DataCentres) }

// WorkerDC returns the index of the data centre of the worker with the index: a rack is
// in one data centre.
func (o Options) WorkerDC(i int) int { return i / perRack % len(o.withDefaults().DataCentres) }

// Minions returns the number of minions, spare ones included.
func (o Options) Minions() int {
	o = o.withDefaults()
	return o.Services*o.MinionsPerService + o.SpareMinions
}

func (o Options) withDefaults() Options {
	def(&o.Name, "site")
	if len(o.DataCentres) == 0 {
		o.DataCentres = DataCentres(3, 2)
	}
	def(&o.Services, 5)
	def(&o.MinionsPerService, 10)
	def(&o.Slots, 8)
	def(&o.Connections, 64)
	def(&o.MaxRun, 30*time.Second)
	def(&o.WorkerCores, 16)
	def(&o.WorkerMemoryMB, 32768)
	def(&o.Teams, 6)
	def(&o.Deadline, 30*time.Second)
	def(&o.MaxDeadline, config.MaxDeadline)
	def(&o.MaxWaiting, 1000)
	def(&o.MaxUnavailable, max(1, o.MinionsPerService/4))
	def(&o.Isolation.Keys, config.KeysRefuse)
	def(&o.Isolation.After, 5*time.Second)
	return o
}

// def sets a field that has its zero value.
func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Generate returns the files of a site. Files with numbers that break a rule, such as a
// negative count, are returned as they are and fail the check.
func Generate(o Options) []config.File {
	o = o.withDefaults()
	return []config.File{
		{Name: "fleet.toml", Text: o.fleet()},
		{Name: "maintenance.toml", Text: o.maintenance()},
		{Name: "queues.toml", Text: o.queues()},
		{Name: "site.toml", Text: o.site()},
		{Name: "teams.toml", Text: o.teams()},
	}
}

// writer builds the text of a file.
type writer struct{ strings.Builder }

func (w *writer) line(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }

func (o Options) site() string {
	var w writer
	w.line("[site]\nname = %q", o.Name)
	w.line("[isolation]\nkeys = %q\nafter = %q", o.Isolation.Keys, tomldoc.ShortDuration(o.Isolation.After))
	for _, dc := range o.DataCentres {
		w.line("[[data_centre]]\nname = %q\nentry_vms = %s", dc.Name, quoted(dc.EntryVMs))
	}
	for i := range o.Services {
		w.line("[[service]]\nname = %q\nmax_run = %q", ServiceName(i), tomldoc.ShortDuration(o.MaxRun))
		w.line("[[pool]]\nname = %q\nservice = %q", PoolName(i), ServiceName(i))
		if o.Lend > 0 {
			w.line("max = %d", o.MinionsPerService+o.Lend)
		}
	}
	if o.SpareMinions > 0 {
		w.line("[[pool]]\nname = %q\nspare = true", SparePool)
		if o.Lend > 0 {
			w.line("min = 0")
		}
	}
	return w.String()
}

func (o Options) fleet() string {
	var w writer
	for i := range o.Minions() {
		pool := SparePool
		if s := i / o.MinionsPerService; s < o.Services {
			pool = PoolName(s)
		}
		if p, ok := o.Moved[MinionName(i)]; ok {
			pool = p
		}
		n := i / len(o.DataCentres)
		w.line("[[vm]]\nname = %q\npool = %q\ndata_centre = %q\nrack = \"m%d\"", MinionName(i), pool, o.DataCentres[o.MinionDC(i)].Name, n/perRack+1)
		w.line("address = %q\nslots = %d\nconnections = %d", address(o.MinionAddrs, i, 1), o.Slots, o.Connections)
		if slices.Contains(o.Drain, MinionName(i)) {
			w.line("drain = true")
		}
	}
	for i := range o.Workers {
		n := i / perRack / len(o.DataCentres)
		w.line("[[worker]]\nname = %q\ndata_centre = %q\nrack = \"w%d\"", WorkerName(i), o.DataCentres[o.WorkerDC(i)].Name, n+1)
		w.line("address = %q\ncores = %d\nmemory_mb = %d\naccelerators = %d", address(o.WorkerAddrs, i, 2), o.WorkerCores, o.WorkerMemoryMB, o.Accelerators)
	}
	return w.String()
}

// address returns the given address, or one made up in 10.<net>.0.0/16.
func address(given []string, i, net int) string {
	if i < len(given) {
		return given[i]
	}
	return fmt.Sprintf("10.%d.%d.%d:8080", net, i/250, i%250+1)
}

func (o Options) queues() string {
	var w writer
	bounds := fmt.Sprintf("max_waiting = %d\ndeadline = %q\nmax_deadline = %q", o.MaxWaiting, tomldoc.ShortDuration(o.Deadline), tomldoc.ShortDuration(o.MaxDeadline))
	for i := range o.Services {
		w.line("[[queue]]\nname = %q\nservice = %q\n%s", QueueName(i), ServiceName(i), bounds)
	}
	w.line("[[queue]]\nname = %q\nservice = %q\nopen = true\n%s", OpenQueue, ServiceName(0), bounds)
	if o.Workers > 0 {
		w.line("[[queue]]\nname = %q\nkind = \"tasks\"\n%s", TaskQueue, bounds)
		w.line("[[queue]]\nname = %q\nkind = \"tasks\"\ndeferrable = true\n%s", ArchiveQueue, bounds)
	}
	return w.String()
}

func (o Options) teams() string {
	var w writer
	shares, sum := make([]int, o.Teams), 0
	for i := range shares {
		shares[i] = 1
		if i < 2 {
			shares[i] = 4
		}
		if i < len(o.Shares) {
			shares[i] = o.Shares[i]
		}
		sum += shares[i]
	}
	slots := o.Minions() * o.Slots
	for i, share := range shares {
		limit := min(slots, max(1, 2*slots*share/max(1, sum)))
		if i < len(o.Limits) {
			limit = o.Limits[i]
		}
		h := config.KeyHash(Secret(KeyID(i)))
		w.line("[[team]]\nname = %q\nshare = %d\nlimit = %d", TeamName(i), share, limit)
		if slices.Contains(o.WithdrawnKeys, i) {
			continue
		}
		w.line("[[key]]\nid = %q\nteam = %q\nsha256 = %q", KeyID(i), TeamName(i), hex.EncodeToString(h[:]))
	}
	return w.String()
}

func (o Options) maintenance() string {
	var w writer
	w.line("# Budgets and waves.")
	var pools []model.Pool
	for i := range o.Services {
		pools = append(pools, PoolName(i))
		if o.MinionsPerService > 1 {
			w.line("[[budget]]\nservice = %q\nscope = \"fleet\"\nmax_unavailable = %d", ServiceName(i), o.MaxUnavailable)
		}
	}
	if !o.WaveStart.IsZero() {
		w.line("[[wave]]\nname = \"wave-1\"\npools = %s\nstart = %s", quoted(pools), o.WaveStart.Format(time.RFC3339Nano))
		if o.WaveCooldown > 0 {
			w.line("cooldown = %q", tomldoc.ShortDuration(o.WaveCooldown))
		}
	}
	return w.String()
}

func quoted[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = fmt.Sprintf("%q", n)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
