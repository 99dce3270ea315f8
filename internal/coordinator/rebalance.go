package coordinator

import (
	"time"

	"boragepulley/internal/capacity"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

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
