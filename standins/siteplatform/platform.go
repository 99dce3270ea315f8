package siteplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
	"boragepulley/standins/serve"
)

// States of a machine.
const (
	stateUp     = "up"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
	stateDown   = "down"
)

// MachineSpec is one machine of a site.
type MachineSpec struct{ Name, Pool, Rack string }

// Site describes a site.
type Site struct {
	// Capacity is that of each machine.
	Capacity jobs.Resources
	Machines []MachineSpec
	// Config is the value of op/config.
	Config any
	// MoveTime and UpkeepTime are how long a machine is down for a move or an upkeep, Heartbeat
	// how often a minion writes its entry.
	MoveTime, UpkeepTime, Heartbeat time.Duration
	// StopTime is how long a stopped run takes to end.
	StopTime time.Duration
	// ClockRate, if set, returns how fast a minion's clock runs: 1 is right.
	ClockRate func(jobs.Minion) float64
	// ClockStart, if set, returns the value in milliseconds at which the clock of a new incarnation starts.
	ClockStart func(jobs.Minion) int64
	// Work returns how long a run of a task takes and how it ends; 0 lasts. Need returns what a
	// task reserves.
	Work func(task string, run int) (time.Duration, jobs.End)
	Need func(task string) jobs.Resources
	// Route returns the address under which a machine is listed, given the one it listens on.
	Route func(machine, addr string) (string, error)
	// OnMachine, if set, is called when a machine goes down or comes up again. It must not call
	// the platform.
	OnMachine func(name string, up bool)
	// OnEvent, if set, is called with each event of a run. It must not call the platform.
	OnEvent func(fleet.Event)
}

// Wave is the value of op/wave/N.
type Wave struct {
	Wave      int64    `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS float64  `json:"duration_s"`
	Cap       int      `json:"cap"`

	begun map[string]bool
}

type machine struct {
	name, pool, rack, zone, state string
	listed                        string // the address in the list of minions
	host                          *serve.Host
	minion                        jobs.Minion
	lives                         int
	holder                        string // of the last order
	token                         uint64 // of the last order
	// crashed machines are up and their minion's process is down.
	crashed bool
	// leaving is set while the minion drains, and gone is when it ends.
	leaving bool
	gone    time.Time
}

// Platform is a running stand-in.
type Platform struct {
	site    Site
	rows    *fleet.Store
	minions *fleet.Minions
	events  *story

	storeHost, machinesHost *serve.Host
	parts                   *partNames
	stop                    chan struct{}
	stopped                 sync.WaitGroup

	mu         sync.Mutex
	clients    []*serve.Host // guarded by mu; the store's addresses for single clients
	machines   []*machine    // guarded by mu
	waves      map[int64]*Wave
	violations []string // guarded by mu
}

// settleInterval is how often ends of runs are looked for.
const settleInterval = 10 * time.Millisecond

// Start starts a platform on loopback. Error: an address that cannot be listened on.
func Start(s Site) (*Platform, error) {
	p := &Platform{site: s, rows: fleet.NewStore(), minions: fleet.NewMinions(), events: &story{began: time.Now()}, waves: map[int64]*Wave{}, parts: &partNames{byKey: map[string]string{}},
		storeHost: serve.NewHost("127.0.0.1:0"), machinesHost: serve.NewHost("127.0.0.1:0"), stop: make(chan struct{})}
	p.minions.Work, p.minions.Need, p.minions.RejectsOverload, p.minions.StopTime = s.Work, s.Need, true, s.StopTime
	p.minions.ClockRate, p.minions.ClockStart, p.minions.CallsSurviveRestarts = s.ClockRate, s.ClockStart, true
	p.minions.OnEvent = func(e fleet.Event) {
		p.events.add("task %s run %d %s on %s, %s, token %d, at %d", e.Task, e.Run, e.Kind, e.Minion, e.How, e.Token, e.At.Sub(p.events.began).Milliseconds())
		if s.OnEvent != nil {
			s.OnEvent(e)
		}
	}
	if err := p.Configure(s.Config); err != nil {
		return nil, err
	}
	for host, h := range map[*serve.Host]http.Handler{p.storeHost: p.storeFor(nil).handler(), p.machinesHost: p.machineHandler()} {
		if err := host.Start(h); err != nil {
			return nil, err
		}
	}
	for _, spec := range s.Machines {
		if err := p.addMachine(spec); err != nil {
			return nil, err
		}
	}
	p.stopped.Go(p.run)
	return p, nil
}

func (p *Platform) addMachine(spec MachineSpec) error {
	m := &machine{name: spec.Name, pool: spec.Pool, rack: spec.Rack, zone: zoneOf(spec.Rack), state: stateUp, host: serve.NewHost("127.0.0.1:0")}
	err := m.host.Start(minionHandler(p.minions, func() jobs.Minion {
		p.mu.Lock()
		defer p.mu.Unlock()
		return m.minion
	}, p.epochOf))
	if err != nil {
		return err
	}
	m.listed = m.host.Addr()
	if p.site.Route != nil {
		if m.listed, err = p.site.Route(m.name, m.host.Addr()); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines = append(p.machines, m)
	p.startMinion(m)
	return nil
}

// epochOf returns the epoch of the coordinator that holds the site's lease if a fencing token is one of its,
// and 0 otherwise.
func (p *Platform) epochOf(token uint64) uint64 {
	l, err := lease.Decode(p.rows.Row(lease.Key))
	if err != nil || token < l.Epoch || token > max(l.Epoch, l.MaxToken) {
		return 0
	}
	return l.Epoch
}

// startMinion begins a new minion on a machine. The caller holds mu.
func (p *Platform) startMinion(m *machine) {
	m.lives++
	m.minion = jobs.Minion(fmt.Sprintf("i-%s-%d", m.name, m.lives))
	p.minions.Add(site.MinionEntry{ID: m.minion, Service: model.Service(m.pool), Addr: m.listed, Rack: model.Rack(m.rack), Capacity: p.site.Capacity})
	p.events.add("machine %s: up, pool %s, minion %s", m.name, m.pool, m.minion)
	p.writeEntry(m, 1)
}

// writeEntry writes a minion's row of the list. The caller holds mu.
func (p *Platform) writeEntry(m *machine, sequence int) {
	if m.minion == "" || m.crashed {
		return
	}
	row := map[string]any{"service": m.pool, "address": m.listed, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"capacity": wireResources(p.site.Capacity), "labels": m.labels(), "sequence": sequence, "born": p.minions.Born(m.minion)}
	if m.leaving {
		row["state"], row["remaining_ms"] = "draining", max(0, time.Until(m.gone).Milliseconds())
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // plain fields
	}
	p.rows.Put("servers/"+string(m.minion), value)
}

func wireResources(r jobs.Resources) map[string]int64 {
	return map[string]int64{"cpu": r.CPU, "mem_mb": r.MemoryMB, "gpu": r.Accelerators}
}

// run writes the minions' entries and looks for ends of runs until Close.
func (p *Platform) run() {
	settle, beat := time.NewTicker(settleInterval), time.NewTicker(p.site.Heartbeat)
	defer settle.Stop()
	defer beat.Stop()
	for n := 2; ; {
		select {
		case <-p.stop:
			return
		case <-settle.C:
			p.minions.Settle()
		case <-beat.C:
			p.mu.Lock()
			for _, m := range p.machines {
				p.writeEntry(m, n)
			}
			p.mu.Unlock()
			n++
		}
	}
}

func (p *Platform) storeFor(fault func(op string) fleet.Fault) *store {
	return &store{view: &fleet.View{Store: p.rows, Fault: fault}, parts: p.parts, began: p.events.began}
}

// ForgetHistory lets the store forget the history of its feed.
func (p *Platform) ForgetHistory() { p.rows.Compact() }

// AddStoreClient returns a further address of the store. fault decides over the calls that arrive
// there, as in fleet.View, and late returns how long the answer to one is held up after it was carried
// out. Error: an address that cannot be listened on.
func (p *Platform) AddStoreClient(fault func(op string) fleet.Fault, late func() time.Duration) (string, error) {
	host := serve.NewHost("127.0.0.1:0")
	s := p.storeFor(fault)
	s.late = late
	if err := host.Start(s.handler()); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clients = append(p.clients, host)
	return host.Addr(), nil
}

// Configure writes op/config, as the operator does. Error: a value that cannot be encoded.
func (p *Platform) Configure(config any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return errors.Wrap(err, "siteplatform: configuration")
	}
	p.rows.Put("op/config", value)
	return nil
}

// StoreAddr and MachinesAddr return the addresses of the store and the machine service.
func (p *Platform) StoreAddr() string    { return p.storeHost.Addr() }
func (p *Platform) MachinesAddr() string { return p.machinesHost.Addr() }

// AskWave asks for the upkeep of machines.
func (p *Platform) AskWave(w Wave) error {
	w.begun = map[string]bool{}
	value, err := json.Marshal(w)
	if err != nil {
		return errors.Wrap(err, "siteplatform: wave")
	}
	p.mu.Lock()
	p.waves[w.Wave] = &w
	p.mu.Unlock()
	p.rows.Put(fmt.Sprintf("op/wave/%d", w.Wave), value)
	return nil
}

// Waves returns what the system says about each wave, in their order, "" if nothing. It records
// a wave that is said to be completed while a machine has not begun its upkeep.
func (p *Platform) Waves() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for n := int64(1); p.waves[n] != nil; n++ {
		var v struct {
			State string `json:"state"`
		}
		if row := p.rows.Row(fmt.Sprintf("status/wave/%d", n)); row.Version != 0 && json.Unmarshal(row.Value, &v) != nil {
			p.violation("status of wave %d cannot be read: %s", n, row.Value)
		}
		if w := p.waves[n]; v.State == "completed" && len(w.begun) < len(w.Machines) {
			p.violation("wave %d is completed, %d of %d machines had their upkeep", n, len(w.begun), len(w.Machines))
		}
		out = append(out, v.State)
	}
	return out
}

// Up returns how many machines of a service are up.
func (p *Platform) Up(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.machines {
		if m.pool == service && m.state == stateUp {
			n++
		}
	}
	return n
}

// MachineOf returns the machine of a minion.
func MachineOf(id jobs.Minion) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(id), "i-"), "-")
	return name
}

// Row returns the value of a row of the store, by "table/key"; nil if there is none.
func (p *Platform) Row(key string) []byte { return p.rows.Row(key).Value }

// Note adds a line to the story.
func (p *Platform) Note(format string, args ...any) { p.events.add(format, args...) }

// Story returns all events, a line each, with milliseconds since the start.
func (p *Platform) Story() string { return p.events.String() }

// Violations returns what no system may do and this one did.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(slices.Clone(p.violations), p.minions.Violations()...)
}

// violation requires mu.
func (p *Platform) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(p.violations, text) {
		p.violations = append(p.violations, text)
		p.events.add("VIOLATION %s", text)
	}
}

// Close stops the platform.
func (p *Platform) Close() {
	close(p.stop)
	p.stopped.Wait()
	p.storeHost.Close()
	p.machinesHost.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		m.host.Close()
	}
	for _, h := range p.clients {
		h.Close()
	}
}

// story is a list of events.
type story struct {
	began time.Time
	mu    sync.Mutex
	text  []byte // guarded by mu
}

func (s *story) add(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = fmt.Appendf(s.text, "%d ", time.Since(s.began).Milliseconds())
	s.text = append(fmt.Appendf(s.text, format, args...), '\n')
}

func (s *story) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.text)
}
