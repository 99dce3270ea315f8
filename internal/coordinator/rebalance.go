package coordinator

import (
	"slices"
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
		for name := range s.reclaims {
			t.releaseMachine(name)
		}
		return
	}
	p := capacity.NewPlan(snap)
	for _, name := range p.Release {
		t.releaseMachine(name)
	}
	for _, mv := range p.Moves {
		t.moveMachine(mv)
	}
	for _, mv := range p.Reclaim {
		t.reclaimMachine(mv)
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
	for name := range loads { // jobs outlive their queue and their service in the configuration
		used[name] = true
	}
	for name := range used {
		if name != snap.Standby {
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
	// unplaceable and stranded are the long-running tasks that find no place on the service's
	// machines now, and those that will not find one there either once other tasks have ended, or not
	// soon.
	unplaceable, stranded unplacedTasks
	// needs is what these tasks need.
	needs []capacity.Need
}

// unplacedTasks sums long-running tasks without a place.
type unplacedTasks struct {
	need jobs.Resources
	// machines is the most machines that any of their steps needs because of its limit per minion.
	machines int
}

func (u *unplacedTasks) add(s *jobs.Step, tasks int) {
	u.need = u.need.Add(s.Reserved().Scale(tasks))
	if tasks > 0 {
		u.machines = max(u.machines, 1)
	}
	if s.MaxPerMinion > 0 {
		u.machines = max(u.machines, (tasks+s.MaxPerMinion-1)/s.MaxPerMinion)
	}
}

// machinesOf returns how many machines of the given size the tasks need.
func (u *unplacedTasks) machinesOf(size jobs.Resources) int {
	n := int64(u.machines)
	if size.CPU > 0 {
		n = max(n, (u.need.CPU+size.CPU-1)/size.CPU)
	}
	if size.MemoryMB > 0 {
		n = max(n, (u.need.MemoryMB+size.MemoryMB-1)/size.MemoryMB)
	}
	return int(n)
}

// unplaceableAfter is how long a long-running task may find no free capacity before its service
// gets one more machine. The sum of free capacity says nothing here: a large task does not fit into
// fragments, however many there are.
const unplaceableAfter = 300 * time.Millisecond

// heldTooLongAfter is how long capacity may be held for a long-running task, until other tasks have ended
// there, before it counts as one for which there is no place on its service's machines. A machine of another
// service takes about 3 s to be emptied and moved, and the task must have a run again after 6 s.
const heldTooLongAfter = 1500 * time.Millisecond

func (t *Term) serviceSnapshot(name model.Service, l serviceLoad) capacity.Service {
	d := t.demandOf(name)
	var size jobs.Resources
	for _, m := range t.machines.byName {
		size.CPU, size.MemoryMB = max(size.CPU, m.Capacity.CPU), max(size.MemoryMB, m.Capacity.MemoryMB)
	}
	return capacity.Service{Name: name, Busy: l.busy, Waiting: l.waiting, LongRunning: l.longRunning, MinMachines: l.minMachines,
		Unplaceable: l.unplaceable.machinesOf(size), Stranded: l.stranded.machinesOf(size),
		Needs: l.needs, Forecast: d.Forecast(t.now), RecentPeak: d.RecentPeak(t.now)}
}

// loadByService sums the resource needs of the tasks of each service that run or could run now.
func (t *Term) loadByService() map[model.Service]serviceLoad {
	out := map[model.Service]serviceLoad{}
	t.eachLive("summing up the load of a job", func(j *jobs.Job) {
		svc := t.queueOf(j).Service
		l := out[svc]
		for _, s := range j.CurrentSteps() {
			l.add(s)
			if u, ok := t.unplaced[s]; ok && s.Spec.LongRunning && t.now > u.since+unplaceableAfter {
				need := capacity.Need{Resources: s.Spec.Reserved(), Label: s.Spec.Label}
				if !t.hostedElsewhere(svc, need) {
					continue
				}
				l.unplaceable.add(s.Spec, u.tasks)
				stranded := u.noMinion
				if t.now > u.since+heldTooLongAfter {
					stranded = u.tasks
				}
				l.stranded.add(s.Spec, stranded)
				if !slices.Contains(l.needs, need) {
					l.needs = append(l.needs, need)
				}
			}
		}
		out[svc] = l
	})
	return out
}

// hostedElsewhere reports whether any machine of another pool could host a task. Without one, no
// further machine helps a task without a place, however many its service gets.
func (t *Term) hostedElsewhere(svc model.Service, n capacity.Need) bool {
	for _, m := range t.machines.byName {
		if x := (capacity.Machine{Capacity: m.Capacity, Kind: m.Kind, Rack: m.Rack}); m.Pool != svc && !t.evacuated(m.DC) && x.CanHost(n) {
			return true
		}
	}
	return false
}

func (l *serviceLoad) add(s *jobs.StepRun) {
	running, waiting := s.Active(), 0
	if s.Open {
		waiting = s.Count(jobs.Waiting)
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
	out := capacity.Machine{Name: m.Name, Pool: m.Pool, Capacity: m.Capacity, Kind: m.Kind, Rack: m.Rack, Usable: m.State == site.MachineUp, Evacuated: t.evacuated(m.DC)}
	if mv := t.machines.moves[m.Name]; mv != nil {
		out.Pool, out.Usable, out.Incoming = mv.to, true, true
		return out
	}
	if t.inMaintenance(m.Name) {
		out.Usable = false // it takes no new work, and will be down
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
		delete(t.machines.reclaims, m.Name) // it has ended, or another one has not joined yet
		since, unlisted := t.machines.unlistedSince[m.Minion]
		_, ended := t.machines.endedMinions[m.Minion]
		out.Incoming = unlisted && !ended && t.now < since+joinTimeout
		out.Usable = out.Usable && out.Incoming
		return out
	}
	answers := minion.FailedPolls == 0
	up := out.Usable && !minion.Leaving
	out.Usable = up && answers
	out.Idle = t.now - minion.EmptySince
	out.Tasks, out.LongRunning = len(minion.Tasks), minion.Kinds.LongRunning
	if r := t.machines.reclaims[m.Name]; r.minion == m.Minion {
		// A minion that is silent for a moment goes on losing tasks. If the machine were given back, it
		// would be filled again, and where many are silent now and then none would ever be empty.
		out.Usable = up && (answers || minion.Listed && t.now < minion.LastReply+runLeaseTTL)
		out.ReclaimedFor, out.ReclaimOverdue = r.to, !answers || t.now > r.since+reclaimOverdueAfter
	} else {
		delete(t.machines.reclaims, m.Name) // the machine runs a new incarnation of its minion
	}
	usable := out.Usable && answers && (t.usable(minion) || out.ReclaimedFor != "" && minion.Polled) && !t.hasReservedPlace(minion.ID)
	out.Movable = usable && len(minion.Tasks) == 0
	out.Reclaimable = usable && out.ReclaimedFor == ""
	return out
}

// joinTimeout is how long a machine that is up counts as joining its pool until its minion is in the
// list of minions.
const joinTimeout = 2 * time.Second

// reclaim is a machine that is being emptied for a service.
type reclaim struct {
	to model.Service
	// minion is the minion incarnation that was cordoned.
	minion jobs.Minion
	since  time.Duration
}

// reclaimOverdueAfter is how long a machine may take to become empty until another one is emptied as
// well. One with a task that takes long, or stands still, would otherwise hold up the service. A move
// takes 2 s more, and a long-running task must have a run again after 6 s.
const reclaimOverdueAfter = 2 * time.Second

// reclaimMachine begins to empty a machine for another service: it gets no new work, and is moved
// once its tasks have ended.
func (t *Term) reclaimMachine(mv capacity.Move) {
	m := t.machines.byName[mv.Machine]
	minion := t.minions[m.Minion]
	if minion == nil {
		return
	}
	minion.Cordoned = true
	t.machines.reclaims[mv.Machine] = reclaim{mv.To, m.Minion, t.now}
	counters.Add("reclaims", 1)
	t.log.Info().Str("machine", string(mv.Machine)).Str("from", string(m.Pool)).Str("to", string(mv.To)).Int("tasks", len(minion.Tasks)).Msg("Coordinator: emptying machine for another service.")
}

// releaseMachine returns a machine that was being emptied to its service.
func (t *Term) releaseMachine(name model.VM) {
	delete(t.machines.reclaims, name)
	t.uncordon(t.machines.byName[name].Minion)
	t.log.Info().Str("machine", string(name)).Msg("Coordinator: machine no longer needed by the other service.")
}
