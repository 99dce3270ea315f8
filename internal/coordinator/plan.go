package coordinator

import (
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/schedule"
	"boragepulley/internal/site"
)

// queueOf returns the queue of a job as the configuration has it, or as it last was.
func (t *Term) queueOf(j *jobs.Job) site.Queue {
	if c := t.d.Config(); c != nil {
		if q := c.Queue(j.Queue); q != nil {
			t.queues[j.Queue] = *q
			return *q
		}
	}
	if q, ok := t.queues[j.Queue]; ok {
		return q
	}
	return site.Queue{Name: j.Queue, Service: j.Service, MaxAttempts: defaultAttempts, Stretch: defaultStretch}
}

const (
	// defaultAttempts and defaultStretch hold for a job whose queue this process has never
	// seen in a configuration.
	defaultAttempts = 2
	defaultStretch  = 2
	// defaultEstimate stands for a task without an estimate.
	defaultEstimate = time.Second
)

// plan starts waiting tasks as far as there is room.
func (t *Term) plan() {
	t.dirty = false
	snap := t.snapshot()
	if len(snap.Steps) == 0 {
		t.noRoom = nil
		return
	}
	p := schedule.NewPlan(snap)
	t.noRoom = map[*jobs.StepRun]bool{}
	for _, k := range p.Unplaced {
		if k.Reason == schedule.ReasonNoCapacity || k.Reason == schedule.ReasonNoMinion {
			t.noRoom[k.StepRun] = true
		}
	}
	for _, a := range p.Start {
		if m := t.minions[a.Minion]; m != nil {
			t.start(a.Task, m)
		}
	}
}

func (t *Term) snapshot() *schedule.Snapshot {
	s := &schedule.Snapshot{Now: t.now}
	s.Teams, s.InUse = t.teamUse()
	perStep, departing := t.perStep(), t.departing()
	for _, m := range t.minions {
		if !t.usable(m) {
			continue
		}
		x := scheduleMinion(m, t.now, perStep)
		x.MaintenanceDue = departing[m.ID]
		s.Minions = append(s.Minions, x)
	}
	wall := time.Now()
	for _, j := range t.book.Open() {
		j.OpenSteps(wall)
		q := t.queueOf(j)
		if j.Inherited && !t.settled(j) {
			continue
		}
		s.Steps = append(s.Steps, t.waitingSteps(j, q)...)
	}
	return s
}

func scheduleMinion(m *holding.Minion, now time.Duration, perStep map[jobs.Minion]map[*jobs.StepRun]int) schedule.Minion {
	out := schedule.Minion{ID: m.ID, Service: m.Service, Kind: m.Kind, Rack: m.Rack, Free: m.Capacity.Sub(m.Used), Capacity: m.Capacity,
		Suspect: now < m.AvoidUntil, TasksPerStep: perStep[m.ID]}
	for x := range m.Tasks {
		if x.Step.Spec.TailTarget > 0 {
			out.Serving++
		}
		if x.Step.Spec.Scavenger {
			out.Scavengers++
		}
		if x.Step.Spec.LongRunning {
			out.LongRunning++
		}
	}
	return out
}

// waitingSteps returns the steps of a job with tasks to start.
func (t *Term) waitingSteps(j *jobs.Job, q site.Queue) []schedule.Step {
	var out []schedule.Step
	for _, s := range j.Steps {
		w := s.WaitingTasks()
		if len(w) == 0 {
			continue
		}
		arrived := j.LearnedAt
		chain := longest(j)
		out = append(out, schedule.Step{StepRun: s, Service: q.Service, Team: j.Team, Priority: q.Priority, Arrived: arrived,
			Deadline:      arrived + time.Duration(q.Stretch*float64(chain)) + q.Target,
			RemainingTime: max(j.Spec.CriticalPath(s.Index), defaultEstimate/10), RemainingWork: j.WorkLeft(), Value: t.worth(j, q.Service), Waiting: w})
	}
	return out
}

// longest returns the longest chain of estimates of a job.
func longest(j *jobs.Job) time.Duration {
	var out time.Duration
	for i := range j.Spec.Steps {
		out = max(out, j.Spec.CriticalPath(i))
	}
	if out == 0 {
		out = defaultEstimate
	}
	return out
}

// settled reports whether all runs of a job that earlier coordinators ordered are known or
// over.
func (t *Term) settled(j *jobs.Job) bool {
	if t.mayRunUnseen(j) {
		return false
	}
	j.Inherited = false
	return true
}

// replaced reports whether the platform's machines, listed in this term, have no machine
// whose life the minion is: a move or maintenance has ended it.
func (t *Term) replaced(m *holding.Minion) bool {
	return !m.Listed && t.machines.lives != nil && !t.machines.lives[m.ID]
}

// fixedWorth is the part of a job's worth that does not grow with its work (the users'
// rules: 0.3 and 0.7 times its work against the mean of its kind).
const fixedWorth = 0.3

// worth returns what a job is worth to its callers, 1 for one of mean work.
func (t *Term) worth(j *jobs.Job, svc model.Service) float64 {
	mean := t.demandOf(svc).MeanWork()
	if mean <= 0 {
		return 1
	}
	return fixedWorth + (1-fixedWorth)*j.Spec.Work()/mean
}

// teamUse returns what each team has running, with its limit, and what it has running on
// each service, in thousandths of a core.
func (t *Term) teamUse() (map[model.Team]*schedule.Team, map[model.Service]map[model.Team]int64) {
	out := map[model.Team]*schedule.Team{}
	inUse := map[model.Service]map[model.Team]int64{}
	if c := t.d.Config(); c != nil {
		for name, team := range c.Teams {
			out[name] = &schedule.Team{Weight: team.Weight, Limit: team.Limit}
		}
	}
	for _, m := range t.minions {
		for x := range m.Tasks {
			team := x.Step.Job.Team
			if u := out[team]; u != nil {
				u.Used = u.Used.Add(x.Step.Spec.Need)
			}
			if inUse[m.Service] == nil {
				inUse[m.Service] = map[model.Team]int64{}
			}
			inUse[m.Service][team] += x.Step.Spec.Need.CPU
		}
	}
	return out, inUse
}

// perStep counts the tasks of each step with a bound per minion.
func (t *Term) perStep() map[jobs.Minion]map[*jobs.StepRun]int {
	out := map[jobs.Minion]map[*jobs.StepRun]int{}
	for id, m := range t.minions {
		for x := range m.Tasks {
			if x.Step.Spec.MaxPerMinion == 0 {
				continue
			}
			if out[id] == nil {
				out[id] = map[*jobs.StepRun]int{}
			}
			out[id][x.Step]++
		}
	}
	return out
}

// publish makes the counts that entry VMs tell callers.
func (t *Term) publish() {
	if v := t.view.Load(); v != nil && t.now < t.viewed+viewEvery {
		return
	}
	t.viewed = t.now
	t.gauges()
	v := &View{Pending: map[model.Queue]int{}, Load: map[model.Queue]peer.QueueLoad{}}
	for _, j := range t.book.Open() {
		if !j.HasStarted() {
			v.Pending[j.Queue]++
		}
	}
	t.view.Store(v)
}
