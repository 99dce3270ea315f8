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
	// capacityEvery is how often the machines of services are planned.
	capacityEvery = 100 * time.Millisecond
	// machinesEvery is how often the list of machines is read.
	machinesEvery = 400 * time.Millisecond
	// moveSettle is how long a move may take to show in the list before it is given up.
	moveSettle = 4 * time.Second
)

// machines is what the term knows of the platform's machines.
type machines struct {
	byName map[model.VM]site.Machine
	// lives are the minions that the machines have now; nil before the first list.
	lives   map[jobs.Minion]bool
	listed  time.Duration
	listing bool
	// moves are under way, or not yet in the list.
	moves map[model.VM]*move
	// queued are orders that wait for their note in the store; ordered is when the answer to
	// this term's last order for a machine came, barred until when an earlier holder's last
	// order keeps this term away. dutiesStored is set while the stored row is not empty.
	queued       []machineOrder
	ordered      map[model.VM]time.Duration
	barred       map[model.VM]time.Duration
	dutiesStored bool
	demand       map[model.Service]*capacity.Demand
	// ended are minions whose lives this term's orders have ended; the list of minions names
	// them for a while.
	ended map[jobs.Minion]bool
	// runtime is the mean run time of a queue's tasks as they ended.
	runtime map[model.Queue]*runtime
	next    time.Duration
	// told is when the plan was last logged.
	told time.Duration
}

// machineOrder is an order for a machine.
type machineOrder struct {
	machine model.VM
	send    func()
}

// runtime is a running mean.
type runtime struct {
	n    int
	mean time.Duration
}

// runtimeWeight is the least weight of a new run time: estimates of callers are off by half
// to nine tenths, and a queue's tasks change little within a day.
const runtimeWeight = 0.02

func (r *runtime) add(d time.Duration) {
	r.n++
	r.mean += time.Duration(float64(d-r.mean) * max(1/float64(r.n), runtimeWeight))
}

type move struct {
	to    model.Service
	since time.Duration
	// minion is the life that the move ends.
	minion  jobs.Minion
	calling bool
}

func (s *machines) init() {
	s.byName, s.moves = map[model.VM]site.Machine{}, map[model.VM]*move{}
	s.ordered, s.ended = map[model.VM]time.Duration{}, map[jobs.Minion]bool{}
	s.demand, s.runtime = map[model.Service]*capacity.Demand{}, map[model.Queue]*runtime{}
}

// dutyKey is the row that lists the machines ordered lately, with the age of the last order
// for each. A machine is in it before its order is sent, so that a successor leaves it
// alone until the two holders' orders are far enough apart; all others it may order at once.
const dutyKey = dutyTable + "/recent"

// dutyMargin is added to the platform's gap for an order's way and answer.
const dutyMargin = 500 * time.Millisecond

// dutyGap is how far a successor's order for a machine must be from its predecessor's.
func (t *Term) dutyGap() time.Duration { return t.d.Limits.MachineOrderGap + dutyMargin }

// mayOrder reports whether an earlier holder's orders for a machine are far enough away.
func (t *Term) mayOrder(name model.VM) bool { return t.now >= t.machines.barred[name] }

// orderMachine sends an order for a machine once a successor would know of it.
func (t *Term) orderMachine(name model.VM, send func()) {
	t.machines.queued = append(t.machines.queued, machineOrder{name, send})
	t.journal.urgent = true
}

// orderAnswered notes that an order's answer has come, or did not come in time.
func (t *Term) orderAnswered(name model.VM) { t.machines.ordered[name] = t.now }

// duties returns the age of the last order for each machine ordered lately, in milliseconds.
func (t *Term) duties() map[model.VM]int64 {
	s := &t.machines
	ages := map[model.VM]int64{}
	for name, until := range s.barred {
		if t.now < until {
			ages[name] = (t.dutyGap() - (until - t.now)).Milliseconds()
		}
	}
	for name, at := range s.ordered {
		if age := t.now - at; age < t.dutyGap() {
			ages[name] = age.Milliseconds()
		}
	}
	for _, o := range s.queued {
		ages[o.machine] = 0
	}
	return ages
}

// addDuties adds the row of duties to a write while there are any, and once after.
func (t *Term) addDuties(add func(string, []byte, func()) bool) {
	s := &t.machines
	ages, orders := t.duties(), s.queued
	if len(ages) == 0 && !s.dutiesStored {
		return
	}
	value, err := json.Marshal(ages)
	if err != nil {
		t.log.Error().Err(err).Msg("Coordinator: machine orders not noted.")
		return
	}
	add(dutyKey, value, func() {
		s.dutiesStored = len(ages) > 0
		s.queued = s.queued[len(orders):]
		for _, o := range orders {
			t.orderAnswered(o.machine)
			o.send()
		}
	})
}

// takeDuties reads the row of an earlier holder. The time since it was written counts for
// nothing, because no clock is shared.
func (t *Term) takeDuties(value []byte) {
	var ages map[model.VM]int64
	if value != nil {
		if err := json.Unmarshal(value, &ages); err != nil {
			t.log.Error().Err(err).Msg("Coordinator: unreadable duties passed over.")
		}
	}
	t.machines.barred = make(map[model.VM]time.Duration, len(ages))
	for name, age := range ages {
		t.machines.barred[name] = t.began + t.dutyGap() - time.Duration(age)*time.Millisecond
	}
	t.machines.dutiesStored = len(ages) > 0
}

// listMachines reads the list of machines when it is due.
func (t *Term) listMachines() {
	s := &t.machines
	if s.listing || t.now < s.listed+machinesEvery {
		return
	}
	s.listing, s.listed = true, t.now
	asked := t.now
	t.async(machineTimeout, func(ctx context.Context) func() {
		list, err := t.d.Machines.List(ctx)
		return func() {
			s.listing = false
			if err != nil {
				t.log.Info().Err(err).Msg("Coordinator: machines not listed.")
				return
			}
			t.takeMachineList(list, asked)
		}
	})
}

func (t *Term) takeMachineList(list []site.Machine, asked time.Duration) {
	s := &t.machines
	s.byName = make(map[model.VM]site.Machine, len(list))
	s.lives = make(map[jobs.Minion]bool, len(list))
	for _, m := range list {
		s.byName[m.Name] = m
		s.lives[m.Minion] = true
		v := s.moves[m.Name]
		if v == nil || v.calling || v.since >= asked {
			continue
		}
		if m.Pool == v.to && m.State == site.MachineUp {
			delete(s.moves, m.Name)
		} else if t.now > v.since+moveSettle {
			delete(s.moves, m.Name)
			t.open(v.minion)
		}
	}
	t.dirty = true
}

// lifeOver drops a minion whose life an order has ended. Nothing ran on it.
func (t *Term) lifeOver(id jobs.Minion) {
	m := t.minions[id]
	if m == nil {
		return
	}
	for x := range m.Tasks {
		t.over(x)
	}
	if m.Recorded {
		t.journal.goneMinions[id] = true
	}
	delete(t.journal.newMinions, m)
	delete(t.minions, id)
	t.machines.ended[id] = true
}

// open lets new work go to a minion again that was closed for an order that did not happen.
func (t *Term) open(id jobs.Minion) {
	if m := t.minions[id]; m != nil && m.Cordoned {
		m.Cordoned = false
		t.dirty = true
	}
}

// noteDemand counts the work of a job that was just accepted.
func (t *Term) noteDemand(j *jobs.Job) {
	if j.Spec.LongRunning() || j.Spec.Repeat > 0 {
		return
	}
	work := 0.0
	for i := range j.Spec.Steps {
		s := &j.Spec.Steps[i]
		work += float64(s.Count) * float64(s.Need.CPU) / 1000 * t.runtimeOf(j.Queue, s).Seconds()
	}
	t.demandOf(t.queueOf(j).Service).RecordArrival(t.now, work)
}

// runtimeOf returns how long a task of a step is expected to run: what tasks of its queue
// took, or the caller's estimate before enough have ended.
func (t *Term) runtimeOf(q model.Queue, s *jobs.Step) time.Duration {
	// enough ended tasks make a mean that is better than one estimate.
	const enough = 5
	if r := t.machines.runtime[q]; r != nil && r.n >= enough {
		return r.mean
	}
	return max(s.Estimate, defaultEstimate/10)
}

// noteRuntime learns from a run that ended as done.
func (t *Term) noteRuntime(x *jobs.Task) {
	if x.Phase != jobs.Running || x.Step.Spec.LongRunning {
		return
	}
	q := x.Step.Job.Queue
	r := t.machines.runtime[q]
	if r == nil {
		r = &runtime{}
		t.machines.runtime[q] = r
	}
	r.add(t.now - x.PhaseSince)
}

func (t *Term) demandOf(svc model.Service) *capacity.Demand {
	d := t.machines.demand[svc]
	if d == nil {
		d = &capacity.Demand{}
		t.machines.demand[svc] = d
	}
	return d
}

// fitMachines moves machines to where they are needed.
func (t *Term) fitMachines() {
	s := &t.machines
	if t.now < s.next || s.lives == nil {
		return
	}
	s.next = t.now + capacityEvery
	snap, ok := t.capacitySnapshot()
	if !ok {
		return
	}
	p := capacity.NewPlan(snap)
	for _, v := range p.Moves {
		t.moveMachine(v)
	}
	for _, x := range p.Targets {
		t.demandOf(x.Service).RecordTarget(t.now, x.Want)
	}
	if t.now >= s.told+tellEvery {
		s.told = t.now
		t.log.Info().Interface("services", p.Targets).Msg("Coordinator: machines planned.")
	}
}

// tellEvery is how often the plan of machines is logged.
const tellEvery = time.Second

// capacitySnapshot returns what the plan is made from; ok is unset without a standby pool.
func (t *Term) capacitySnapshot() (snap capacity.Snapshot, ok bool) {
	c := t.d.Config()
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
	busy := t.busyByService()
	for name := range c.Services {
		if name != snap.Standby && used[name] {
			snap.Services = append(snap.Services, t.capacityService(name, busy[name]))
		}
	}
	for _, m := range t.machines.byName {
		snap.Machines = append(snap.Machines, t.capacityMachine(m, snap.Standby))
	}
	return snap, true
}

// load is what the tasks of a service need.
type load struct {
	busy, waiting, lasting jobs.Resources
	// least is how many machines they need because of bounds per minion.
	least int
	// starved is set while a task that lasts finds no room on the machines at hand.
	starved bool
}

// starvedAfter is how long a task that lasts may find no room before its service gets one
// more machine: large tasks do not fit into what others leave, however much that is.
const starvedAfter = 300 * time.Millisecond

func (t *Term) capacityService(name model.Service, l load) capacity.Service {
	d := t.demandOf(name)
	return capacity.Service{Name: name, Busy: l.busy, Waiting: l.waiting, LongRunning: l.lasting, MinMachines: l.least, Unplaceable: l.starved,
		Forecast: d.Forecast(t.now), RecentPeak: d.RecentPeak(t.now)}
}

// busyByService sums what the tasks of each service need that run or could run now.
func (t *Term) busyByService() map[model.Service]load {
	out := map[model.Service]load{}
	for _, j := range t.book.Open() {
		svc := t.queueOf(j).Service
		l := out[svc]
		for _, s := range j.Steps {
			l.add(s)
			l.starved = l.starved || s.Spec.LongRunning && t.noRoom[s] && t.waitsLonger(s, starvedAfter)
		}
		out[svc] = l
	}
	return out
}

// waitsLonger reports whether a task of a step waits for longer than a time.
func (t *Term) waitsLonger(s *jobs.StepRun, d time.Duration) bool {
	for _, x := range s.Tasks {
		if x.Phase == jobs.Waiting && t.now > x.PhaseSince+d {
			return true
		}
	}
	return false
}

func (l *load) add(s *jobs.StepRun) {
	running, waiting := 0, 0
	for _, x := range s.Tasks {
		switch {
		case x.Active():
			running++
		case s.Open && x.Phase == jobs.Waiting:
			waiting++
		}
	}
	each := s.Spec.Reserved()
	l.busy = l.busy.Add(each.Scale(running))
	l.waiting = l.waiting.Add(each.Scale(waiting))
	if s.Spec.LongRunning {
		l.lasting = l.lasting.Add(each.Scale(running + waiting))
	}
	if per := s.Spec.MaxPerMinion; per > 0 {
		l.least = max(l.least, (running+waiting+per-1)/per)
	}
}

func (t *Term) capacityMachine(m site.Machine, standby model.Service) capacity.Machine {
	out := capacity.Machine{Name: m.Name, Pool: m.Pool, Capacity: m.Capacity, Usable: m.State == site.MachineUp}
	if v := t.machines.moves[m.Name]; v != nil {
		out.Pool, out.Usable, out.Incoming = v.to, true, true
		return out
	}
	if t.inWave(m.Name) {
		out.Usable = out.Usable && m.State != site.MachineMaintenance
		return out
	}
	if !t.mayOrder(m.Name) {
		return out
	}
	if m.Pool == standby {
		out.Movable = m.State == site.MachineUp
		return out
	}
	h := t.minions[m.Minion]
	if h == nil {
		return out
	}
	out.Usable = out.Usable && h.FailedPolls == 0 && !h.Leaving
	out.Movable = out.Usable && t.usable(h) && len(h.Tasks) == 0
	out.Idle = t.now - h.EmptySince
	return out
}

func (t *Term) moveMachine(v capacity.Move) {
	m := t.machines.byName[v.Machine]
	if h := t.minions[m.Minion]; h != nil {
		h.Cordoned = true
	}
	counters.Add("moves", 1)
	x := &move{to: v.To, since: t.now, minion: m.Minion, calling: true}
	t.machines.moves[v.Machine] = x
	t.log.Info().Str("machine", string(v.Machine)).Str("from", string(m.Pool)).Str("to", string(v.To)).Msg("Coordinator: machine moves.")
	d := site.MachineFence{Holder: t.d.Self.Entry, Token: t.epoch}
	t.orderMachine(v.Machine, func() {
		t.order(machineTimeout, func(ctx context.Context) error { return t.d.Machines.Move(ctx, d, v.Machine, v.To) },
			func(err error) { t.moved(v.Machine, x, err) })
	})
}

// moved takes the answer of a move. A lost answer is settled by the list.
func (t *Term) moved(name model.VM, x *move, err error) {
	x.calling = false
	t.orderAnswered(name)
	if err == nil {
		t.lifeOver(x.minion)
	}
	if err == nil || errors.Is(err, site.ErrNoAnswer) {
		return
	}
	t.log.Info().Err(err).Str("machine", string(name)).Msg("Coordinator: move refused.")
	if t.machines.moves[name] == x {
		delete(t.machines.moves, name)
		t.open(x.minion)
	}
}
