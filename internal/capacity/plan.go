package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

const (
	// reserveMachines is the number of machines that a service has beyond its demand, so that it
	// can serve the first second of a rise before further machines arrive.
	reserveMachines = 1.6
	// overprovisioning is the capacity per unit of demand, because tasks do not fill machines
	// completely.
	overprovisioning = 1.15
	// backlogShare is the share of the waiting work that gets capacity immediately. Waiting work can
	// wait for about as long as it runs and still meet its deadline.
	backlogShare = 0.6
	// minIdle is how long a machine must have been empty before it is moved to standby: moving it
	// there and back costs as much as 2.3 s in a pool.
	minIdle = 1500 * time.Millisecond
)

// Service is a service and its demand.
type Service struct {
	Name model.Service
	// Busy is what its running tasks reserve, Waiting what its tasks that are ready to run need, and
	// LongRunning the part of both that belongs to long-running tasks.
	Busy, Waiting, LongRunning jobs.Resources
	// RecentPeak is the largest recent target, in machines.
	RecentPeak int
	// MinMachines is how many machines its tasks need because of limits per minion.
	MinMachines int
	// Unplaceable is how many machines the service needs for long-running tasks that fit on none of
	// its machines now. Stranded is the part for those that will not fit there either once other
	// tasks have ended, or not soon.
	Unplaceable, Stranded int
	// Needs is what these tasks need. Without any, each machine is of use for them.
	Needs []Need
	// Forecast is the number of cores that arriving jobs will need.
	Forecast float64
}

// Need is what a task needs of a machine.
type Need struct {
	Resources jobs.Resources
	// Label is the label that the machine must have; empty for none.
	Label string
}

// Machine is a machine of the platform.
type Machine struct {
	Name model.VM
	// Pool is the service to which the machine belongs or is being moved.
	Pool     model.Service
	Capacity jobs.Resources
	// Kind and Rack are the machine's labels.
	Kind string
	Rack model.Rack
	// Movable machines are up, empty, and not part of a maintenance wave.
	Movable bool
	// Idle is how long a movable machine has been empty.
	Idle time.Duration
	// Incoming machines are being moved to the pool.
	Incoming bool
	// Usable is false for a machine that is down or does not answer.
	Usable bool
	// Evacuated machines belong to an evacuated data centre. They serve no pool and are not moved;
	// what is being emptied there for another service is released.
	Evacuated bool
	// Tasks is the number of tasks on the machine, LongRunning that of the long-running ones.
	Tasks, LongRunning int
	// Reclaimable machines may be emptied for another service.
	Reclaimable bool
	// ReclaimedFor is the service for which the machine is being emptied, or empty.
	ReclaimedFor model.Service
	// ReclaimOverdue is set once that takes longer than usual, and while the machine does not answer.
	ReclaimOverdue bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Services []Service
	Machines []Machine
	// Standby is the pool whose machines are off.
	Standby model.Service
}

// Move moves a machine to another pool.
type Move struct {
	Machine model.VM
	To      model.Service
}

// serviceState is a service with its machines.
type serviceState struct {
	Service
	machines []Machine
	// target is how many machines the service should have, incoming how many the plan moves to it,
	// reclaiming how many are being emptied for it, and overdue how many of those take long.
	target, incoming, reclaiming, overdue int
}

// Target is how many machines a service has and should have, and the demand behind it in cores.
type Target struct {
	Service  model.Service `json:"service"`
	Have     int           `json:"have"`
	Want     int           `json:"want"`
	Busy     int64         `json:"busy_cores"`
	Waiting  int64         `json:"waiting_cores"`
	Forecast int64         `json:"forecast_cores"`
	Held     Held          `json:"held"`
}

// Plan is the moves to make and the targets that led to them.
type Plan struct {
	Moves []Move
	// Reclaim lists the machines to empty for another service, Release those that are being emptied
	// and are no longer needed there.
	Reclaim []Move
	Release []model.VM
	Targets []Target
}

// NewPlan plans moves towards the target of each service. Machines above a target go to the standby
// pool if there is one.
func NewPlan(s Snapshot) Plan {
	s.Machines = withoutEvacuated(s.Machines)
	byName := map[model.Service]*serviceState{}
	for _, x := range s.Services {
		byName[x.Name] = &serviceState{Service: x}
	}
	var standby []Machine
	for _, m := range s.Machines {
		switch st := byName[m.Pool]; {
		case m.ReclaimedFor != "":
			// belongs to nobody until it is moved or released
		case m.Pool == s.Standby && m.Movable:
			standby = append(standby, m)
		case st != nil && m.Usable:
			st.machines = append(st.machines, m)
		}
	}
	services := make([]*serviceState, 0, len(byName))
	for _, st := range byName {
		st.target = machinesFor(st, s.Machines)
		services = append(services, st)
	}
	// The service with the largest shortfall gets machines first.
	slices.SortFunc(services, func(a, b *serviceState) int {
		return cmp.Or(cmp.Compare(b.shortfall(), a.shortfall()), cmp.Compare(a.Name, b.Name))
	})
	var p Plan
	p.finishReclaims(s.Machines, byName)
	move := func(st *serviceState, suits func(*Machine) bool) bool {
		m, ok := takeMachine(&standby, services, st, suits)
		if ok {
			p.Moves = append(p.Moves, Move{Machine: m.Name, To: st.Name})
			st.incoming++
		}
		return ok
	}
	// Machines for long-running tasks that fit nowhere come before all shortfalls: their service lacks
	// only these, and would otherwise wait for as long as others have a burst.
	for _, st := range services {
		for st.lacking(st.Unplaceable) > 0 && move(st, st.suits) {
		}
	}
	for _, st := range services {
		p.Targets = append(p.Targets, Target{st.Name, len(st.machines), st.target, st.Busy.CPU / 1000, st.Waiting.CPU / 1000, int64(st.Forecast), st.held(largest(s.Machines).CPU)})
		for st.shortfall() > 0 && move(st, func(*Machine) bool { return true }) {
		}
	}
	for _, st := range services {
		p.reclaim(services, st)
	}
	if s.Standby == "" {
		return p
	}
	for _, st := range services {
		for _, m := range st.surplus() {
			p.Moves = append(p.Moves, Move{Machine: m.Name, To: s.Standby})
		}
	}
	return p
}

// withoutEvacuated returns the machines with those of evacuated data centres out of service.
func withoutEvacuated(all []Machine) []Machine {
	if !slices.ContainsFunc(all, func(m Machine) bool { return m.Evacuated }) {
		return all
	}
	all = slices.Clone(all)
	for i := range all {
		if m := &all[i]; m.Evacuated {
			m.Usable, m.Movable, m.Reclaimable, m.Incoming = false, false, false, false
		}
	}
	return all
}

// largest returns the capacity of the largest machine, by resource.
func largest(all []Machine) jobs.Resources {
	var size jobs.Resources
	for _, m := range all {
		size.CPU, size.MemoryMB = max(size.CPU, m.Capacity.CPU), max(size.MemoryMB, m.Capacity.MemoryMB)
	}
	return size
}

// machinesFor returns how many machines a service should have: as many as CPU or memory require,
// whichever is more.
func machinesFor(st *serviceState, all []Machine) int {
	size := largest(all)
	if size.CPU == 0 || size.MemoryMB == 0 {
		return len(st.machines)
	}
	byCPU := max(float64(st.Busy.CPU)+backlogShare*float64(st.Waiting.CPU), float64(st.LongRunning.CPU)+1000*st.Forecast)*overprovisioning/float64(size.CPU) + reserveMachines
	byMemory := (float64(st.Busy.MemoryMB)+backlogShare*float64(st.Waiting.MemoryMB))*overprovisioning/float64(size.MemoryMB) + reserveMachines
	target := max(st.MinMachines, int(math.Ceil(max(byCPU, byMemory))))
	if lacking := st.lacking(st.Unplaceable); lacking > 0 {
		target = max(target, len(st.machines)+lacking)
	}
	return target
}

// lacking returns how many of n machines that the service needs in addition are not on their way.
func (st *serviceState) lacking(n int) int {
	for _, m := range st.machines {
		if m.Incoming {
			n--
		}
	}
	return max(0, n-st.incoming-st.reclaiming+st.overdue)
}

// shortfall returns how many machines the service lacks, besides those that the plan moves to it.
func (st *serviceState) shortfall() int {
	return max(0, st.target-len(st.machines)-st.incoming)
}

// surplus returns the machines to move to the standby pool: machines that have been empty for at
// least minIdle, longest first, as many as the service has above its target and its recent peak.
func (st *serviceState) surplus() []Machine {
	var idle []Machine
	for _, m := range st.machines {
		if m.Movable && m.Idle >= minIdle {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name))
	})
	return idle[:min(len(idle), max(0, len(st.machines)-max(st.target, st.RecentPeak)))]
}

// CanHost reports whether a task can run on the machine once it is empty.
func (m *Machine) CanHost(n Need) bool {
	return n.Resources.Fits(m.Capacity) && (n.Label == "" || n.Label == m.Kind || n.Label == string(m.Rack))
}

// suits reports whether a machine can host one of the tasks that have no place.
func (st *serviceState) suits(m *Machine) bool {
	return len(st.Needs) == 0 || slices.ContainsFunc(st.Needs, m.CanHost)
}

// takeMachine removes and returns a suitable machine for a service: one from standby, or else a
// movable one of a service that has more machines than its target.
func takeMachine(standby *[]Machine, services []*serviceState, to *serviceState, suits func(*Machine) bool) (Machine, bool) {
	for i := range *standby {
		if m := (*standby)[i]; suits(&m) {
			*standby = slices.Delete(*standby, i, i+1)
			return m, true
		}
	}
	for _, st := range services {
		if st == to || len(st.machines) <= st.target {
			continue
		}
		for i, m := range st.machines {
			if m.Movable && suits(&m) {
				st.machines = slices.Delete(st.machines, i, i+1)
				return m, true
			}
		}
	}
	return Machine{}, false
}
