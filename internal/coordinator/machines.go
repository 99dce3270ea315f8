package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/capacity"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

const (
	// capacityInterval is how often the distribution of machines to services is planned.
	capacityInterval = 100 * time.Millisecond
	// machineListInterval is how often the list of machines is read.
	machineListInterval = 400 * time.Millisecond
	// moveTimeout is how long a move may take to appear in the list before it counts as failed.
	moveTimeout = 4 * time.Second
)

// machines is the term's knowledge of the platform's machines and its orders for them.
type machines struct {
	byName map[model.VM]site.Machine
	// currentMinions are the minions that run on the machines; nil before the first list.
	currentMinions map[jobs.Minion]bool
	listedAt       time.Duration // when the last list was requested
	listing        bool
	// moves are in progress or not yet visible in the list.
	moves map[model.VM]*move
	// queuedOrders wait until recentOrdersKey is stored with their machines. lastOrder is when this
	// term's last order for a machine was sent or answered; blockedUntil is until when an earlier
	// coordinator's last order keeps this term from ordering the machine. orderRowStored is set
	// while the stored row is not empty.
	queuedOrders   []machineOrder
	lastOrder      map[model.VM]time.Duration
	blockedUntil   map[model.VM]time.Duration
	orderRowStored bool
	demand         map[model.Service]*capacity.Demand
	// endedMinions are minions that this term's machine orders have ended. The list of minions
	// still contains them for a while.
	endedMinions map[jobs.Minion]bool
	// runTimes is the mean run time of completed tasks by queue.
	runTimes      map[model.Queue]*runTimeMean
	nextRebalance time.Duration
	// planLoggedAt is when the plan was last logged.
	planLoggedAt time.Duration
}

// machineOrder is a queued order for a machine.
type machineOrder struct {
	machine model.VM
	send    func()
}

// runTimeMean is a running mean of run times.
type runTimeMean struct {
	n    int
	mean time.Duration
}

// minRunTimeWeight is the least weight of a new sample. Callers' estimates are off by 50 to 90
// percent, and the tasks of a queue change little within a day.
const minRunTimeWeight = 0.02

func (r *runTimeMean) add(d time.Duration) {
	r.n++
	r.mean += time.Duration(float64(d-r.mean) * max(1/float64(r.n), minRunTimeWeight))
}

type move struct {
	to        model.Service
	orderedAt time.Duration
	// minion is the minion incarnation that the move ends.
	minion   jobs.Minion
	inFlight bool
}

func (s *machines) init() {
	s.byName, s.moves = map[model.VM]site.Machine{}, map[model.VM]*move{}
	s.lastOrder, s.endedMinions = map[model.VM]time.Duration{}, map[jobs.Minion]bool{}
	s.demand, s.runTimes = map[model.Service]*capacity.Demand{}, map[model.Queue]*runTimeMean{}
}

// recentOrdersKey is the row of recently ordered machines, with the age of the last order for each.
// A machine is in the row before its order is sent, so that a successor does not order it until
// the orders of the two coordinators are far enough apart. It may order all other machines at once.
const recentOrdersKey = recentOrdersTable + "/recent"

// orderMargin is added to the platform's gap for the latency of an order and its answer.
const orderMargin = 500 * time.Millisecond

// machineOrderGap is the least time between the orders of two successive coordinators for a
// machine.
func (t *Term) machineOrderGap() time.Duration { return t.deps.Limits.MachineOrderGap + orderMargin }

// mayOrderMachine reports whether enough time has passed since an earlier coordinator's last order
// for a machine.
func (t *Term) mayOrderMachine(name model.VM) bool { return t.now >= t.machines.blockedUntil[name] }

// queueMachineOrder queues an order for a machine. It is sent once it is recorded for a successor.
func (t *Term) queueMachineOrder(name model.VM, send func()) {
	t.machines.queuedOrders = append(t.machines.queuedOrders, machineOrder{name, send})
	t.writer.urgent = true
}

// machineOrderAnswered records the time at which an order was sent, was answered or timed out.
func (t *Term) machineOrderAnswered(name model.VM) { t.machines.lastOrder[name] = t.now }

// recentOrderAges returns the age of the last order for each recently ordered machine, in
// milliseconds.
func (t *Term) recentOrderAges() map[model.VM]int64 {
	s := &t.machines
	ages := map[model.VM]int64{}
	for name, until := range s.blockedUntil {
		if t.now < until {
			ages[name] = (t.machineOrderGap() - (until - t.now)).Milliseconds()
		}
	}
	for name, at := range s.lastOrder {
		if age := t.now - at; age < t.machineOrderGap() {
			ages[name] = age.Milliseconds()
		}
	}
	for _, o := range s.queuedOrders {
		ages[o.machine] = 0
	}
	return ages
}

// addRecentOrders adds the row of recent orders to a write while there are any, and once more to
// clear the row.
func (t *Term) addRecentOrders(add func(string, []byte, func()) bool) {
	s := &t.machines
	ages, orders := t.recentOrderAges(), s.queuedOrders
	if len(ages) == 0 && !s.orderRowStored {
		return
	}
	value, err := json.Marshal(ages)
	if err != nil {
		t.log.Error().Err(err).Msg("Coordinator: recent machine orders could not be encoded.")
		return
	}
	add(recentOrdersKey, value, func() {
		s.orderRowStored = len(ages) > 0
		s.queuedOrders = s.queuedOrders[len(orders):]
		for _, o := range orders {
			t.machineOrderAnswered(o.machine)
			o.send()
		}
	})
}

// restoreRecentOrders reads the row of an earlier coordinator. The ages are taken as of the start
// of this term: the time since the row was written is unknown, because no clock is shared.
func (t *Term) restoreRecentOrders(value []byte) {
	var ages map[model.VM]int64
	if value != nil {
		if err := json.Unmarshal(value, &ages); err != nil {
			t.log.Error().Err(err).Msg("Coordinator: ignoring unreadable row of recent machine orders.")
		}
	}
	t.machines.blockedUntil = make(map[model.VM]time.Duration, len(ages))
	for name, age := range ages {
		t.machines.blockedUntil[name] = t.startedAt + t.machineOrderGap() - time.Duration(age)*time.Millisecond
	}
	t.machines.orderRowStored = len(ages) > 0
}

// listMachines reads the list of machines when it is due.
func (t *Term) listMachines() {
	s := &t.machines
	if s.listing || t.now < s.listedAt+machineListInterval {
		return
	}
	s.listing, s.listedAt = true, t.now
	requestedAt := t.now
	t.async(machineCallTimeout, func(ctx context.Context) func() {
		list, err := t.orders.ListMachines(ctx)
		return func() {
			s.listing = false
			if err != nil {
				t.log.Info().Err(err).Msg("Coordinator: list of machines could not be read.")
				return
			}
			t.applyMachineList(list, requestedAt)
		}
	})
}

// applyMachineList applies a list of machines that was requested at the given time. It confirms
// moves that the list shows, and drops those that have not appeared in time.
func (t *Term) applyMachineList(list []site.Machine, requestedAt time.Duration) {
	s := &t.machines
	s.byName = make(map[model.VM]site.Machine, len(list))
	s.currentMinions = make(map[jobs.Minion]bool, len(list))
	for _, m := range list {
		s.byName[m.Name] = m
		s.currentMinions[m.Minion] = true
		mv := s.moves[m.Name]
		if mv == nil || mv.inFlight || mv.orderedAt >= requestedAt {
			continue
		}
		if m.Pool == mv.to && m.State == site.MachineUp {
			delete(s.moves, m.Name)
		} else if t.now > mv.orderedAt+moveTimeout {
			delete(s.moves, m.Name)
			t.uncordon(mv.minion)
		}
	}
	t.needsPlan = true
}

// removeMinion removes a minion that a machine order has ended. Tasks that are still assigned to it
// are requeued.
func (t *Term) removeMinion(id jobs.Minion) {
	m := t.minions[id]
	if m == nil {
		return
	}
	for task := range m.Tasks {
		t.requeue(task)
	}
	if m.Recorded {
		t.writer.goneMinions[id] = true
	}
	delete(t.writer.newMinions, m)
	delete(t.minions, id)
	t.machines.endedMinions[id] = true
}

// uncordon allows new work on a minion again after the order for which it was cordoned was not
// carried out.
func (t *Term) uncordon(id jobs.Minion) {
	if m := t.minions[id]; m != nil && m.Cordoned {
		m.Cordoned = false
		t.needsPlan = true
	}
}

// recordDemand adds the work of a newly accepted job to the demand of its service.
func (t *Term) recordDemand(j *jobs.Job) {
	if j.Spec.LongRunning() || j.Spec.Repeat > 0 {
		return
	}
	work := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		work += float64(s.Count) * float64(s.Need.CPU) / 1000 * t.expectedRunTime(j.Queue, s).Seconds()
	}
	t.demandOf(t.queueOf(j).Service).RecordArrival(t.now, work)
}

// expectedRunTime returns the expected run time of a step's tasks: the mean of its queue's
// completed tasks, or the caller's estimate until enough of them have completed.
func (t *Term) expectedRunTime(q model.Queue, s *jobs.Step) time.Duration {
	// From minSamples completed tasks on, their mean is better than a caller's estimate.
	const minSamples = 5
	if mean := t.machines.runTimes[q]; mean != nil && mean.n >= minSamples {
		return mean.mean
	}
	return max(s.Estimate, defaultEstimate/10)
}

// recordRunTime adds the run time of a successful run to the mean of its queue.
func (t *Term) recordRunTime(task *jobs.Task) {
	if task.Phase != jobs.Running || task.Step.Spec.LongRunning {
		return
	}
	q := task.Step.Job.Queue
	mean := t.machines.runTimes[q]
	if mean == nil {
		mean = &runTimeMean{}
		t.machines.runTimes[q] = mean
	}
	mean.add(t.now - task.PhaseSince)
}

func (t *Term) demandOf(svc model.Service) *capacity.Demand {
	d := t.machines.demand[svc]
	if d == nil {
		d = &capacity.Demand{}
		t.machines.demand[svc] = d
	}
	return d
}

// rebalanceMachines moves machines to the services that need them.
func (t *Term) rebalanceMachines() {
	s := &t.machines
	if t.now < s.nextRebalance || s.currentMinions == nil {
		return
	}
	s.nextRebalance = t.now + capacityInterval
	snap, ok := t.capacitySnapshot()
	if !ok {
		return
	}
	p := capacity.NewPlan(snap)
	for _, mv := range p.Moves {
		t.moveMachine(mv)
	}
	for _, target := range p.Targets {
		t.demandOf(target.Service).RecordTarget(t.now, target.Want)
		countHeld(target.Held, capacityInterval)
	}
	if t.now >= s.planLoggedAt+planLogInterval {
		s.planLoggedAt = t.now
		t.log.Info().Interface("services", p.Targets).Msg("Coordinator: machines planned.")
	}
}

// planLogInterval is how often the plan of machines is logged.
const planLogInterval = time.Second

// capacitySnapshot returns the input of the capacity plan. ok is false without a standby pool.
func (t *Term) capacitySnapshot() (snap capacity.Snapshot, ok bool) {
	c := t.deps.Config()
	if c == nil {
		return snap, false
	}
	used := map[model.Service]bool{}
	for _, q := range c.Queues {
		used[q.Service] = true
	}
	for name, svc := range c.Services {
		if svc.Standby && !used[name] {
			snap.Standby = name
		}
	}
	if snap.Standby == "" {
		return snap, false
	}
	loads := t.loadByService()
	for name := range c.Services {
		if name != snap.Standby && used[name] {
			snap.Services = append(snap.Services, t.serviceSnapshot(name, loads[name]))
		}
	}
	for _, m := range t.machines.byName {
		snap.Machines = append(snap.Machines, t.machineSnapshot(m, snap.Standby))
	}
	return snap, true
}

// serviceLoad is the resource demand of a service's tasks.
type serviceLoad struct {
	busy, waiting, longRunning jobs.Resources
	// minMachines is how many machines they need because of limits on tasks per minion.
	minMachines int
	// unplaceable is set while a long-running task finds no free capacity on the service's
	// machines.
	unplaceable bool
}

// unplaceableAfter is how long a long-running task may find no free capacity before its service
// gets one more machine. The sum of free capacity says nothing here: a large task does not fit into
// fragments, however many there are.
const unplaceableAfter = 300 * time.Millisecond

func (t *Term) serviceSnapshot(name model.Service, l serviceLoad) capacity.Service {
	d := t.demandOf(name)
	return capacity.Service{Name: name, Busy: l.busy, Waiting: l.waiting, LongRunning: l.longRunning, MinMachines: l.minMachines, Unplaceable: l.unplaceable,
		Forecast: d.Forecast(t.now), RecentPeak: d.RecentPeak(t.now)}
}

// loadByService sums the resource needs of the tasks of each service that run or could run now.
func (t *Term) loadByService() map[model.Service]serviceLoad {
	out := map[model.Service]serviceLoad{}
	for _, j := range t.registry.Open() {
		svc := t.queueOf(j).Service
		l := out[svc]
		for _, s := range j.Steps {
			l.add(s)
			l.unplaceable = l.unplaceable || s.Spec.LongRunning && t.noCapacity[s] && t.waitsLonger(s, unplaceableAfter)
		}
		out[svc] = l
	}
	return out
}

// waitsLonger reports whether a task of a step has been waiting for longer than d.
func (t *Term) waitsLonger(s *jobs.StepRun, d time.Duration) bool {
	for _, task := range s.Tasks {
		if task.Phase == jobs.Waiting && t.now > task.PhaseSince+d {
			return true
		}
	}
	return false
}

func (l *serviceLoad) add(s *jobs.StepRun) {
	running, waiting := 0, 0
	for _, task := range s.Tasks {
		switch {
		case task.Active():
			running++
		case s.Open && task.Phase == jobs.Waiting:
			waiting++
		}
	}
	each := s.Spec.Reserved()
	l.busy = l.busy.Add(each.Scale(running))
	l.waiting = l.waiting.Add(each.Scale(waiting))
	if s.Spec.LongRunning {
		l.longRunning = l.longRunning.Add(each.Scale(running + waiting))
	}
	if per := s.Spec.MaxPerMinion; per > 0 {
		l.minMachines = max(l.minMachines, (running+waiting+per-1)/per)
	}
}

func (t *Term) machineSnapshot(m site.Machine, standby model.Service) capacity.Machine {
	out := capacity.Machine{Name: m.Name, Pool: m.Pool, Capacity: m.Capacity, Usable: m.State == site.MachineUp}
	if mv := t.machines.moves[m.Name]; mv != nil {
		out.Pool, out.Usable, out.Incoming = mv.to, true, true
		return out
	}
	if t.inMaintenance(m.Name) {
		out.Usable = out.Usable && m.State != site.MachineMaintenance
		return out
	}
	if !t.mayOrderMachine(m.Name) {
		return out
	}
	if m.Pool == standby {
		out.Movable = m.State == site.MachineUp
		return out
	}
	minion := t.minions[m.Minion]
	if minion == nil {
		return out
	}
	out.Usable = out.Usable && minion.FailedPolls == 0 && !minion.Leaving
	out.Movable = out.Usable && t.usable(minion) && len(minion.Tasks) == 0
	out.Idle = t.now - minion.EmptySince
	out.Tasks = len(minion.Tasks)
	return out
}

func (t *Term) moveMachine(mv capacity.Move) {
	m := t.machines.byName[mv.Machine]
	if minion := t.minions[m.Minion]; minion != nil {
		minion.Cordoned = true
	}
	counters.Add("moves", 1)
	pending := &move{to: mv.To, orderedAt: t.now, minion: m.Minion, inFlight: true}
	t.machines.moves[mv.Machine] = pending
	t.log.Info().Str("machine", string(mv.Machine)).Str("from", string(m.Pool)).Str("to", string(mv.To)).Msg("Coordinator: moving machine.")
	t.queueMachineOrder(mv.Machine, func() {
		t.sendOrder(machineCallTimeout, func(ctx context.Context) error { return t.orders.Move(ctx, mv.Machine, mv.To) },
			func(err error) { t.moveAnswered(mv.Machine, pending, err) })
	})
}

// moveAnswered handles the answer to a move order. If the answer was lost, the list of machines
// shows the outcome.
func (t *Term) moveAnswered(name model.VM, pending *move, err error) {
	pending.inFlight = false
	t.machineOrderAnswered(name)
	if err == nil {
		t.removeMinion(pending.minion)
	}
	if err == nil || errors.Is(err, site.ErrNoAnswer) {
		return
	}
	t.log.Info().Err(err).Str("machine", string(name)).Msg("Coordinator: move refused.")
	if t.machines.moves[name] == pending {
		delete(t.machines.moves, name)
		t.uncordon(pending.minion)
	}
}
