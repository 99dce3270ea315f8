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
	// reserve is the machines that a service keeps free at least, beyond what its demand
	// needs, so that the first second of a rise is served before machines come.
	reserve = 1.6
	// headroom is what is held per core of demand: tasks do not fill machines to the brim.
	headroom = 1.15
	// backlogShare is how much of the work that waits for room is given room at once; it
	// can wait for about as long as it runs and still be in time.
	backlogShare = 0.6
	// idleBefore is how long a machine must have been empty before it is given away: a move
	// there and back costs as much as 2.3 s in a pool.
	idleBefore = 1500 * time.Millisecond
)

// Service is a service and what it has to do.
type Service struct {
	Name model.Service
	// Busy is what its tasks reserve that run, Waiting what those need that could run now,
	// and LongRunning the part of Busy and Waiting that lasts.
	Busy, Waiting, LongRunning jobs.Resources
	// RecentPeak is the most machines that it wanted lately.
	RecentPeak int
	// MinMachines is how many machines its tasks need because of bounds per minion.
	MinMachines int
	// Unplaceable is set while a task that lasts finds no room on the machines at hand.
	Unplaceable bool
	// Forecast is the cores that arriving work will keep busy.
	Forecast float64
}

// Machine is a machine of the platform.
type Machine struct {
	Name model.VM
	// Pool is the service that the machine is in, or moves to.
	Pool     model.Service
	Capacity jobs.Resources
	// Movable machines are up, empty, and in no maintenance wave's hands.
	Movable bool
	// Idle is how long a movable machine has been empty.
	Idle time.Duration
	// Incoming machines are on their way to the pool.
	Incoming bool
	// Usable is unset for a machine that is down or does not answer.
	Usable bool
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Services []Service
	Machines []Machine
	// Standby is the pool whose machines are off.
	Standby model.Service
}

// Move puts a machine into another pool.
type Move struct {
	Machine model.VM
	To      model.Service
}

// state is a service with its machines.
type state struct {
	Service
	machines []Machine
	// want is how many machines the service should have.
	want int
}

// Target is what a service has and should have.
type Target struct {
	Service  model.Service `json:"service"`
	Have     int           `json:"have"`
	Want     int           `json:"want"`
	Busy     int64         `json:"busy_cores"`
	Waiting  int64         `json:"waiting_cores"`
	Forecast int64         `json:"forecast_cores"`
}

// Plan is the outcome of a decision.
type Plan struct {
	Moves   []Move
	Targets []Target
}

// NewPlan returns the moves that are worth making now.
func NewPlan(s Snapshot) Plan {
	byName := map[model.Service]*state{}
	for _, x := range s.Services {
		byName[x.Name] = &state{Service: x}
	}
	var free []Machine
	for _, m := range s.Machines {
		switch st := byName[m.Pool]; {
		case m.Pool == s.Standby && m.Movable:
			free = append(free, m)
		case st != nil && m.Usable:
			st.machines = append(st.machines, m)
		}
	}
	services := make([]*state, 0, len(byName))
	for _, st := range byName {
		st.want = machinesFor(st, s.Machines)
		services = append(services, st)
	}
	// The service that lacks most is served first.
	slices.SortFunc(services, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.lack(), a.lack()), cmp.Compare(a.Name, b.Name))
	})
	var p Plan
	for _, st := range services {
		p.Targets = append(p.Targets, Target{st.Name, len(st.machines), st.want, st.Busy.CPU / 1000, st.Waiting.CPU / 1000, int64(st.Forecast)})
		for range st.lack() {
			m, ok := take(&free, services, st)
			if !ok {
				break
			}
			p.Moves = append(p.Moves, Move{Machine: m.Name, To: st.Name})
		}
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

// machinesFor returns how many machines a service should have, by the scarcer of
// processor time and memory.
func machinesFor(st *state, all []Machine) int {
	var size jobs.Resources
	for _, m := range all {
		size.CPU, size.MemoryMB = max(size.CPU, m.Capacity.CPU), max(size.MemoryMB, m.Capacity.MemoryMB)
	}
	if size.CPU == 0 || size.MemoryMB == 0 {
		return len(st.machines)
	}
	byCPU := max(float64(st.Busy.CPU)+backlogShare*float64(st.Waiting.CPU), float64(st.LongRunning.CPU)+1000*st.Forecast)*headroom/float64(size.CPU) + reserve
	byMemory := (float64(st.Busy.MemoryMB)+backlogShare*float64(st.Waiting.MemoryMB))*headroom/float64(size.MemoryMB) + reserve
	want := max(st.MinMachines, int(math.Ceil(max(byCPU, byMemory))))
	if st.Unplaceable && !slices.ContainsFunc(st.machines, func(m Machine) bool { return m.Incoming }) {
		want = max(want, len(st.machines)+1)
	}
	return want
}

func (st *state) lack() int { return max(0, st.want-len(st.machines)) }

// surplus returns the machines that a service can give to the standby pool: those that
// have been empty for long enough, beyond what it should have.
func (st *state) surplus() []Machine {
	var idle []Machine
	for _, m := range st.machines {
		if m.Movable && m.Idle >= idleBefore {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.Name, b.Name))
	})
	return idle[:min(len(idle), max(0, len(st.machines)-max(st.want, st.RecentPeak)))]
}

// take finds a machine for a service: from standby, then an idle one that another service
// has beyond what it wants.
func take(free *[]Machine, services []*state, to *state) (Machine, bool) {
	if len(*free) > 0 {
		m := (*free)[0]
		*free = (*free)[1:]
		return m, true
	}
	for _, st := range services {
		if st == to || len(st.machines) <= st.want {
			continue
		}
		for i, m := range st.machines {
			if m.Movable {
				st.machines = slices.Delete(st.machines, i, i+1)
				return m, true
			}
		}
	}
	return Machine{}, false
}
