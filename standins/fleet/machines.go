package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// MovingMachines is a machine service that moves and maintains machines. An order ends the minion of
// its machine at once; a new minion joins the pool after a delay and is listed. It is safe for
// concurrent use.
type MovingMachines struct {
	// Minions and Store receive the new minions and their entries.
	Minions *Minions
	Store   *Store
	// Standby is the pool whose machines run no minion.
	Standby model.Service
	// MoveTime and MaintenanceTime are how long a machine is down.
	MoveTime, MaintenanceTime time.Duration

	// KeepIDs lets a machine's next minion have the id of the one before, whose entry in the list stays
	// until then.
	KeepIDs bool
	// ListFails, if set, decides whether the list of machines is not available.
	ListFails func() bool

	mu         sync.Mutex
	all        map[model.VM]*site.Machine // guarded by mu
	lives      int                        // guarded by mu; numbers the minions
	maintained map[model.VM]int           // guarded by mu; completed maintenance by machine
	lastIDs    map[model.VM]jobs.Minion   // guarded by mu; ids of the last minions
}

var _ site.Machines = (*MovingMachines)(nil)

// NewMovingMachines returns a service without machines, with the platform's usual times.
func NewMovingMachines(minions *Minions, store *Store, standby model.Service) *MovingMachines {
	return &MovingMachines{Minions: minions, Store: store, Standby: standby, MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second,
		all: map[model.VM]*site.Machine{}, maintained: map[model.VM]int{}, lastIDs: map[model.VM]jobs.Minion{}}
}

// Add adds a machine that is up.
func (s *MovingMachines) Add(name model.VM, pool model.Service, capacity jobs.Resources) {
	s.AddLabelled(name, pool, capacity, "", model.Rack("rack-"+string(name)))
}

// join starts a minion on a machine. The caller holds mu.
func (s *MovingMachines) join(m *site.Machine) {
	m.State, m.Minion = site.MachineUp, ""
	if m.Pool == s.Standby {
		return
	}
	s.lives++
	m.Minion = jobs.Minion(fmt.Sprintf("%s-%d", m.Name, s.lives))
	if last, ok := s.lastIDs[m.Name]; ok && s.KeepIDs {
		m.Minion = last
	}
	s.lastIDs[m.Name] = m.Minion
	s.Minions.Add(site.MinionEntry{ID: m.Minion, Service: m.Pool, Addr: string(m.Minion), DC: m.DC, Kind: m.Kind, Rack: m.Rack, Capacity: m.Capacity})
	s.Store.Put("servers/"+string(m.Minion), s.Minions.EntryRow(m.Minion))
}

// MinionOf returns the present minion of a machine, or an empty id.
func (s *MovingMachines) MinionOf(name model.VM) jobs.Minion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[name].Minion
}

// Pool returns the names of the machines of a pool that are up, in ascending order.
func (s *MovingMachines) Pool(pool model.Service) []model.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []model.VM
	for name, m := range s.all {
		if m.Pool == pool && m.State == site.MachineUp {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Maintained returns how often the maintenance of a machine has begun.
func (s *MovingMachines) Maintained(name model.VM) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maintained[name]
}

// List implements site.Machines.
func (s *MovingMachines) List(context.Context) ([]site.Machine, error) {
	if s.ListFails != nil && s.ListFails() {
		return nil, errors.Wrap(site.ErrNoAnswer, "list of machines")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []site.Machine
	for _, m := range s.all {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b site.Machine) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out, nil
}

// Move implements site.Machines.
func (s *MovingMachines) Move(_ context.Context, _ site.MachineFence, name model.VM, to model.Service) error {
	return s.takeDown(name, site.MachineMoving, s.MoveTime, func(m *site.Machine) { m.Pool = to })
}

// Maintain implements site.Machines.
func (s *MovingMachines) Maintain(_ context.Context, _ site.MachineFence, name model.VM, _ int64) error {
	return s.takeDown(name, site.MachineMaintenance, s.MaintenanceTime, func(m *site.Machine) { s.maintained[m.Name]++ })
}

// takeDown ends a machine's minion and lets a new one join after a time.
func (s *MovingMachines) takeDown(name model.VM, state site.MachineState, down time.Duration, change func(*site.Machine)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.all[name]
	if m == nil || m.State != site.MachineUp {
		return &site.RefusedError{Reason: site.RefusedBusy}
	}
	if m.Minion != "" {
		s.Minions.Change(m.Minion, func(x *Minion) { x.Down = true })
		if !s.KeepIDs {
			s.Store.Put("servers/"+string(m.Minion), nil)
		}
	}
	change(m)
	m.State = state
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.join(m)
	})
	return nil
}

// Lose ends the minion of a machine without notice. Its entry stays in the list for the given time. A
// new minion joins after back, unless back is 0.
func (s *MovingMachines) Lose(name model.VM, listed, back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.all[name]; m.State == site.MachineUp && m.Minion != "" {
		s.endMinion(m, listed, back)
	}
}

// Leave announces that a machine's minion ends after notice, and ends it then. A new minion joins after
// back.
func (s *MovingMachines) Leave(name model.VM, notice, back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.all[name]
	if m.State != site.MachineUp || m.Minion == "" {
		return
	}
	s.Minions.Change(m.Minion, func(x *Minion) { x.Entry.Leaving, x.Entry.Remaining = true, notice })
	s.Store.Put("servers/"+string(m.Minion), s.Minions.EntryRow(m.Minion))
	leaving := m.Minion
	time.AfterFunc(notice, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.Minion == leaving && m.State == site.MachineUp {
			s.endMinion(m, 0, back)
		}
	})
}

// endMinion ends the minion of a machine. The caller holds mu.
func (s *MovingMachines) endMinion(m *site.Machine, listed, back time.Duration) {
	lost := m.Minion
	s.Minions.Change(lost, func(x *Minion) { x.Down = true })
	time.AfterFunc(listed, func() { s.Store.Put("servers/"+string(lost), nil) })
	if back == 0 {
		return
	}
	time.AfterFunc(back, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if m.Minion == lost && m.State == site.MachineUp {
			s.join(m)
		}
	})
}

// AddLabelled adds a machine that is up, with a kind and a rack.
func (s *MovingMachines) AddLabelled(name model.VM, pool model.Service, capacity jobs.Resources, kind string, rack model.Rack) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &site.Machine{Name: name, Pool: pool, State: site.MachineUp, DC: "dc", Kind: kind, Rack: rack, Capacity: capacity}
	s.all[name] = m
	s.join(m)
}

// Locate sets the data centre of a machine on standby, which is "dc" by default.
func (s *MovingMachines) Locate(name model.VM, dc model.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[name].DC = dc
}
