package coordinator

import (
	"cmp"
	"maps"
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/schedule"
	"boragepulley/internal/site"
)

// queueOf returns the queue of a job from the configuration, or as last configured if the queue has
// been removed.
func (t *Term) queueOf(j *jobs.Job) site.Queue {
	if c := t.deps.Config(); c != nil && c != t.queuesFrom {
		t.queuesFrom = c
		for _, q := range c.Queues {
			t.queues[q.Name] = q
		}
	}
	if q, ok := t.queues[j.Queue]; ok {
		return q
	}
	return site.Queue{Name: j.Queue, Service: j.Service, MaxAttempts: cmp.Or(j.MaxAttempts, defaultAttempts), Stretch: cmp.Or(j.Stretch, defaultStretch), Target: j.Target}
}

const (
	// defaultAttempts and defaultStretch apply to a job whose queue this process has never seen in
	// a configuration, if the job's row does not have its own.
	defaultAttempts = 2
	defaultStretch  = 2
	// defaultEstimate is the estimate of a task without one.
	defaultEstimate = time.Second
)

// maxObjective bounds the time in which a job should end, so that deadlines do not overflow.
const maxObjective = 10 * 365 * 24 * time.Hour

// stretched returns a duration times a factor, at most maxObjective.
func stretched(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(d)*factor, float64(maxObjective)))
}

// planResult tells what a scheduling run did.
type planResult struct {
	// decidedAt is when it was decided what to start.
	decidedAt time.Duration
	// steps have tasks that wait, for tried of them a place was searched; starts is the number of tasks
	// that were started.
	steps, tried, starts int
}

// plan starts waiting tasks as far as there is free capacity.
func (t *Term) plan() planResult {
	t.needsPlan = false
	snap := t.snapshot()
	snap.MaxStarts = t.maxStarts()
	var p schedule.Plan
	if len(snap.Steps) > 0 {
		p = schedule.NewPlan(snap)
	}
	t.recordUnplaced(p.Unplaced)
	t.startsBounded = p.Bounded
	r := planResult{decidedAt: t.deps.Now(), steps: len(snap.Steps), tried: p.Tried, starts: len(p.Start)}
	t.countAvoided(p.Avoided)
	runs := runNumbers{lowest: t.ownRuns.first}
	for _, assignment := range p.Start {
		if m := t.minions[assignment.Minion]; m != nil {
			t.startTask(assignment.Task, runs.next(assignment.Task), m)
		}
	}
	if len(runs.gangs) > 0 {
		t.resendOrders()
	}
	for _, assignment := range p.Relocate {
		t.relocate(assignment.Task, assignment.Minion)
	}
	return r
}

const (
	// maxPendingStarts is the number of starts in progress at which no further tasks are started.
	// Thousands of them at once would compete for the processor with the writes that they wait for.
	maxPendingStarts = 256
	// stuckStart is the age at which a start no longer counts as in progress.
	stuckStart = time.Second
	// stuckWrite is the duration of a write from which starts that do not need it are not held up by
	// those that do.
	stuckWrite = time.Second
)

// maxStarts returns how many tasks the next plan may start, for Snapshot.MaxStarts.
func (t *Term) maxStarts() int {
	if t.writer.writing && t.now > t.writer.lastSent+stuckWrite {
		return 0
	}
	n := 0
	for task, start := range t.pendingStarts {
		if start.tries <= 1 && start.minion.FailedPolls == 0 && t.now < task.PhaseSince+stuckStart {
			n++
		}
	}
	if n >= maxPendingStarts {
		return -1
	}
	return maxPendingStarts - n
}

// unplacedStep tells of a long-running step with tasks that found no place in the last plan.
type unplacedStep struct {
	// since is when a plan first found no place for any of them.
	since time.Duration
	// tasks found no place. For noMinion of them there is none on the service's minions, even once
	// other tasks have ended there.
	tasks, noMinion int
}

func (t *Term) recordUnplaced(all []schedule.Unplaced) {
	before := t.unplaced
	t.unplaced, t.teamLimited = map[*jobs.StepRun]unplacedStep{}, map[*jobs.StepRun]int{}
	for _, u := range all {
		if !u.StepRun.Spec.LongRunning {
			continue // other tasks run once their turn has come
		}
		if u.Reason == schedule.ReasonTeamLimit {
			t.teamLimited[u.StepRun] += u.Tasks
			continue
		}
		x, ok := t.unplaced[u.StepRun]
		if !ok {
			x.since = t.now
			if b, ok := before[u.StepRun]; ok {
				x.since = b.since
			}
		}
		x.tasks += u.Tasks
		if u.Reason == schedule.ReasonNoMinion {
			x.noMinion += u.Tasks
		}
		t.unplaced[u.StepRun] = x
	}
}

func (t *Term) snapshot() *schedule.Snapshot {
	s := &schedule.Snapshot{Now: t.now, Steps: t.planSteps[:0]}
	s.Teams, s.InUse = t.teamUsage()
	maintenanceDue := t.minionsDueForMaintenance()
	for _, m := range t.minions {
		if !t.usable(m) {
			continue
		}
		minion := minionSnapshot(m, t.now)
		minion.MaintenanceDue = maintenanceDue[m.ID]
		s.Minions = append(s.Minions, minion)
	}
	t.reservePlaces(s.Minions)
	t.addInterference(s)
	relocating := t.relocating()
	wall := time.Now()
	t.incompleteGangs = t.incompleteGangs[:0]
	t.registry.CreateDue(wall, t.now)
	t.eachLive("scheduling a job", func(j *jobs.Job) {
		j.OpenSteps(wall, t.now)
		if j.Inherited && !t.inheritedRunsKnown(j) || t.startsRefused(j) {
			return
		}
		s.Steps = t.addWaitingSteps(s.Steps, j, relocating) // all of them, or none if it panics
	})
	for _, step := range t.incompleteGangs {
		t.stopGang(step)
	}
	t.planSteps = s.Steps
	return s
}

func minionSnapshot(m *holding.Minion, now time.Duration) schedule.Minion {
	k := &m.Kinds
	return schedule.Minion{ID: m.ID, Service: m.Service, Kind: m.Kind, Rack: m.Rack, Free: m.Capacity.Sub(m.Used).Sub(m.Orphaned), Capacity: m.Capacity,
		Suspect: now < m.AvoidUntil, Rejecting: now < m.AvoidUntil && m.RejectedStarts >= rejectingAfter, Draining: m.Draining, Cold: now < m.ColdUntil, TasksPerStep: maps.Clone(k.PerStep),
		Serving: k.Serving, Scavengers: k.Scavengers, LongRunning: k.LongRunning, LongRunningUse: k.LongRunningUse}
}

// addWaitingSteps adds the steps of a job with tasks to start, to relocate or to find a place for while
// they stop. It collects the gangs to be stopped.
func (t *Term) addWaitingSteps(to []schedule.Step, j *jobs.Job, relocating map[*jobs.StepRun][]*jobs.Task) []schedule.Step {
	var gangs []*jobs.StepRun
	for _, s := range j.CurrentSteps() {
		step := schedule.Step{StepRun: s}
		switch {
		case mayBeginGang(s):
			step.Waiting = s.WaitingTasks()
		case incompleteGang(s):
			gangs = append(gangs, s)
		}
		if s.Spec.LongRunning {
			step.Relocating, step.Stopping = relocating[s], t.stoppingWithoutPlace(s)
		}
		if len(step.Waiting) == 0 && len(step.Relocating) == 0 && len(step.Stopping) == 0 {
			continue
		}
		q := t.queueOf(j)
		chain := j.LongestChain()
		if chain == 0 {
			chain = defaultEstimate
		}
		step.Service, step.Team, step.Priority, step.Arrived = q.Service, j.Team, q.Priority, arrival(j, s)
		step.Deadline = step.Arrived + stretched(chain, q.Stretch) + min(q.Target, maxObjective)
		step.RemainingTime = min(max(j.CriticalPath(s.Index), defaultEstimate/10), maxObjective)
		step.RemainingWork, step.Value = s.WorkLeft(), t.jobValue(j, q.Service)
		to = append(to, step)
	}
	t.incompleteGangs = append(t.incompleteGangs, gangs...)
	return to
}

// arrival returns when the time in which a step's occurrence should end begins: when the job was handed in,
// or when the occurrence was due.
func arrival(j *jobs.Job, s *jobs.StepRun) time.Duration {
	if j.Spec.Repeat == 0 {
		return j.LearnedAt
	}
	return max(j.LearnedAt, s.DueAt())
}

// inheritedRunsKnown reports whether every run that earlier coordinators ordered for a job is known
// or has ended. The job then no longer counts as inherited.
func (t *Term) inheritedRunsKnown(j *jobs.Job) bool {
	if t.mayRunUnreported(j) {
		return false
	}
	j.Inherited = false
	if suppressed, ok := t.inheritedLog.Allow(); ok {
		t.log.Info().Str("job", string(j.ID)).Int("minions", len(j.MayRunOn())).Int("running", len(j.Active())).Dur("after", t.now-t.startedAt).
			Int64("suppressed", suppressed).Msg("Coordinator: earlier runs of job are known.")
	}
	return true
}

// minionReplaced reports whether no machine runs the minion any more, according to the list of
// machines read in this term: a move or maintenance has ended it.
func (t *Term) minionReplaced(m *holding.Minion) bool {
	return !m.Listed && t.machines.currentMinions != nil && !t.machines.currentMinions[m.ID]
}

// fixedValue is the part of a job's value that does not depend on its work. By the platform's rules
// a job is worth 0.3 plus 0.7 times its work relative to the mean of its kind.
const fixedValue = 0.3

// jobValue returns the value of a job to its caller; a job of mean work has value 1.
func (t *Term) jobValue(j *jobs.Job, svc model.Service) float64 {
	mean := t.demandOf(svc).MeanWork()
	if mean <= 0 {
		return 1
	}
	return fixedValue + (1-fixedValue)*j.Work()/mean
}

// teamUsage returns the usage and limit of each team, and the cores that each team uses per
// service, in thousandths.
func (t *Term) teamUsage() (map[model.Team]*schedule.Team, map[model.Service]map[model.Team]int64) {
	out := map[model.Team]*schedule.Team{}
	inUse := map[model.Service]map[model.Team]int64{}
	if c := t.deps.Config(); c != nil {
		for name, team := range c.Teams {
			out[name] = &schedule.Team{Weight: team.Weight, Limit: team.Limit}
		}
	}
	for _, m := range t.minions {
		for name, need := range m.Kinds.NeedByTeam {
			if u := out[name]; u != nil {
				u.Used = u.Used.Add(need)
			}
			if inUse[m.Service] == nil {
				inUse[m.Service] = map[model.Team]int64{}
			}
			inUse[m.Service][name] += need.CPU
		}
	}
	return out, inUse
}

// publishView updates the counts that entry VMs report to callers.
func (t *Term) publishView() {
	if v := t.view.Load(); v != nil && t.now < t.lastView+viewInterval {
		return
	}
	t.lastView = t.now
	t.updateGauges()
	v := &View{CountedAt: t.now, Pending: map[model.Queue]int{}, Load: map[model.Queue]peer.QueueLoad{}}
	for _, j := range t.registry.Open() {
		if !j.HasBegun() {
			v.Pending[j.Queue]++
		}
	}
	t.storeView(v)
}

// publishJobMemory updates the memory of the open jobs in the published view, if there is one.
func (t *Term) publishJobMemory() {
	if old := t.view.Load(); old != nil && old.JobBytes != t.registry.MemoryBytes() {
		v := *old
		t.storeView(&v)
	}
}

// storeView publishes a view with the present memory of the open jobs.
func (t *Term) storeView(v *View) {
	setGauge("jobs_open_bytes", t.registry.MemoryBytes())
	v.JobBytes, v.JobLimit = t.registry.MemoryBytes(), t.deps.Limits.JobMemory
	v.Full = v.JobLimit > 0 && v.JobBytes > v.JobLimit
	if before := t.view.Load(); v.Full != (before != nil && before.Full) {
		t.log.Warn().Bool("full", v.Full).Int64("bytes", t.registry.MemoryBytes()).Int64("limit", t.deps.Limits.JobMemory).Int("jobs", len(t.registry.Open())).Msg("Coordinator: acceptance of jobs changes, because of the memory of those that have not ended.")
	}
	t.view.Store(v)
}
