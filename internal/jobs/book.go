package jobs

import (
	"fmt"
	"time"

	"boragepulley/internal/model"
)

// State is the state of a job.
//
// State machine:
//
//	queued -> running -> completed | failed | cancelled
//	   '-----------------------------> cancelled
//
// completed, failed and cancelled are final.
type State string

const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Phase is the phase of a task.
//
// State machine:
//
//	waiting -> ordered -> running -> stopping -> waiting | done
//	   ^          |          |
//	   '----------+----------+-> done
//
// ordered means that a start order was or will be sent and its result is not known. Such a task
// counts as running.
type Phase uint8

const (
	Waiting Phase = iota
	Ordered
	Running
	Stopping
	Done
)

func (p Phase) String() string {
	return [...]string{"waiting", "ordered", "running", "stopping", "done"}[p]
}

// Minion is the id of a minion in the platform's list. A minion may restart under the same id.
type Minion string

// Task is one task of one occurrence of a step.
type Task struct {
	Step  *StepRun
	Index int
	Phase Phase
	// Run is the number of the task's latest run, or 0.
	Run int
	// Minion is the minion of the current run in phases ordered, running and stopping.
	Minion Minion
	// FailedRuns lists the runs that failed and count as attempts. Those of a gang are in
	// StepRun.FailedRuns.
	FailedRuns []int
	// FailedOn lists the minions on which runs failed, the last eight.
	FailedOn []Minion
	// Checkpoint is where the next run continues; empty means from the beginning.
	Checkpoint string
	// Percent is the last reported progress of the current run.
	Percent int
	// PhaseSince is when the current phase began.
	PhaseSince time.Duration
	// StopReason tells why the current run is being stopped.
	StopReason model.Reason
}

// Name returns the task's name, which is unique on the site.
func (t *Task) Name() string {
	s := t.Step
	return fmt.Sprintf("%s.%d.%d.%d", s.Job.ID, s.Occurrence, s.Index, t.Index)
}

// Active reports whether a run of the task may be in progress.
func (t *Task) Active() bool { return t.Phase == Ordered || t.Phase == Running || t.Phase == Stopping }

// StepRun is one occurrence of a step.
type StepRun struct {
	Job        *Job
	Occurrence int
	Index      int
	Spec       *Step
	Tasks      []*Task
	// byPhase counts the tasks by phase, so that a scheduling run need not look at each of them.
	byPhase [Done + 1]int
	// waiting lists the tasks in phase waiting, nil if it has to be collected again.
	waiting []*Task
	// Open is set once the occurrence is due and all steps that this one depends on have ended.
	Open bool
	// blockers counts the entries of Spec.After whose steps have not ended.
	blockers int
	// current is set while the step is in Job.current.
	current bool
	// FailedRuns lists the failed runs of a gang.
	FailedRuns []int
}

// Job is one accepted job.
type Job struct {
	Accepted
	// LearnedAt is when this process learned of the job, on its monotonic clock.
	LearnedAt time.Duration
	// Inherited is set for a job that was accepted before this process became coordinator, while
	// it may have runs that this process does not know of.
	Inherited bool
	Steps     []*StepRun
	// criticalPaths are Spec.CriticalPaths, longestChain is the longest of them.
	criticalPaths []time.Duration
	longestChain  time.Duration
	// dependents lists, by step, the later steps that name it in After, once for each mention.
	dependents [][]int32
	// unblocked are the steps that are not open although all steps that they depend on have ended.
	unblocked []*StepRun
	// current are the steps that are open or have active tasks, and steps that were so before.
	current []*StepRun
	// endedSteps counts the steps that have ended.
	endedSteps int
	// work is Spec.Work, workLeft the part of it in tasks that wait.
	work, workLeft float64
	state          State
	// started is set once a task of the job was started.
	started bool
	// lastChange is the number of the last change of the job's progress, savedChange that of the
	// last stored one.
	lastChange, savedChange uint64
	// unsavedSince numbers the jobs with unsaved progress in the order of their oldest unsaved change.
	unsavedSince uint64
	// stored is the state in the store; pendingMinions are the minions named by the write in
	// flight, or nil.
	stored         storedJob
	pendingMinions map[Minion]bool
	// FinalStateSent is set while a write with the job's final state may have reached the store.
	FinalStateSent bool
	// EndedAt is when the job reached its final state, or, if that was before, when this process learned
	// of the job.
	EndedAt time.Duration
	// HasProgress is set if the store may have a progress row of the job, HasCancel if it may
	// have a row that requests its cancellation.
	HasProgress, HasCancel bool
}

// storedJob is the stored state of a job, without its specification.
type storedJob struct {
	state State
	// minions are those on which runs may be in progress.
	minions map[Minion]bool
}

// State returns the job's state, whether or not it is stored.
func (j *Job) State() State { return j.state }

// VisibleState returns the state to report to callers: a final state only once it is stored.
func (j *Job) VisibleState() State {
	if j.state.Final() && !j.FinalStateStored() {
		return StateRunning
	}
	return j.state
}

// FinalStateStored reports whether the job's final state is stored, so that a new coordinator
// reads it.
func (j *Job) FinalStateStored() bool { return j.stored.state.Final() }

// HasStarted reports whether any task of the job was started.
func (j *Job) HasStarted() bool { return j.started }

// Unsaved reports whether some change of the job's progress is not stored.
func (j *Job) Unsaved() bool { return j.lastChange > j.savedChange }

// LastChange returns the number of the last change, for Book.Saved.
func (j *Job) LastChange() uint64 { return j.lastChange }

// SavedThrough reports whether all changes up to the given number are stored.
func (j *Job) SavedThrough(change uint64) bool { return j.savedChange >= change }

// Active returns the tasks of which a run may be in progress.
func (j *Job) Active() []*Task {
	var out []*Task
	for _, s := range j.CurrentSteps() {
		if s.Active() == 0 {
			continue
		}
		for _, t := range s.Tasks {
			if t.Active() {
				out = append(out, t)
			}
		}
	}
	return out
}

// CurrentSteps returns the steps that are open and have not ended, and those with active tasks. The
// slice is valid until a step of the job opens or the phase of a task changes.
func (j *Job) CurrentSteps() []*StepRun {
	kept := j.current[:0]
	for _, s := range j.current {
		if s.current = s.Open && !s.Ended() || s.Active() > 0; s.current {
			kept = append(kept, s)
		}
	}
	clear(j.current[len(kept):])
	j.current = kept
	return kept
}

// addCurrent adds a step to Job.current.
func (j *Job) addCurrent(s *StepRun) {
	if !s.current {
		s.current = true
		j.current = append(j.current, s)
	}
}

// WorkLeft returns the estimated work of the job's waiting tasks, in core-seconds.
func (j *Job) WorkLeft() float64 { return j.workLeft }

// Work returns the estimated work of one occurrence, in core-seconds.
func (j *Job) Work() float64 { return j.work }

// CriticalPath returns the estimated time from the start of a step to the end of an occurrence.
func (j *Job) CriticalPath(step int) time.Duration { return j.criticalPaths[step] }

// LongestChain returns the longest dependency chain of the job, by the estimates.
func (j *Job) LongestChain() time.Duration { return j.longestChain }

// Registry holds all jobs of the coordinator and changes their state.
type Registry struct {
	jobs map[ID]*Job
	// open holds the jobs that are not in a final state.
	open map[ID]*Job
	// unsaved holds the jobs with progress that is not stored, unsavedOrder the same in the order of
	// their oldest unsaved change. Entries of jobs that have been saved since are dropped later.
	unsaved      map[ID]*Job
	unsavedOrder []unsavedEntry
	unsavedCount uint64
	// unsavedJobs is the memory of the last result of Unsaved.
	unsavedJobs []*Job
}

// unsavedEntry is a job in Registry.unsavedOrder. It is out of date if the job's unsavedSince differs.
type unsavedEntry struct {
	job   *Job
	since uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{jobs: map[ID]*Job{}, open: map[ID]*Job{}, unsaved: map[ID]*Job{}}
}

// Get returns a job, or nil.
func (r *Registry) Get(id ID) *Job { return r.jobs[id] }

// Len returns the number of jobs.
func (r *Registry) Len() int { return len(r.jobs) }

// Open returns the jobs that are not in a final state. The map belongs to the registry.
func (r *Registry) Open() map[ID]*Job { return r.open }

// All returns all jobs. The map belongs to the registry.
func (r *Registry) All() map[ID]*Job { return r.jobs }

// UnsavedCount returns the number of jobs with progress that is not stored.
func (r *Registry) UnsavedCount() int { return len(r.unsaved) }

// Unsaved returns the jobs with progress that is not stored, those with the oldest unsaved change
// first. The slice is valid until the next call.
func (r *Registry) Unsaved() []*Job {
	kept := r.unsavedOrder[:0]
	r.unsavedJobs = r.unsavedJobs[:0]
	for _, e := range r.unsavedOrder {
		if e.job.unsavedSince == e.since {
			kept = append(kept, e)
			r.unsavedJobs = append(r.unsavedJobs, e.job)
		}
	}
	clear(r.unsavedOrder[len(kept):])
	r.unsavedOrder = kept
	return r.unsavedJobs
}

// queueUnsaved puts a job with unsaved progress behind all others.
func (r *Registry) queueUnsaved(j *Job) {
	r.unsaved[j.ID] = j
	r.unsavedCount++
	j.unsavedSince = r.unsavedCount
	r.unsavedOrder = append(r.unsavedOrder, unsavedEntry{j, j.unsavedSince})
}

// Add adds an accepted job and returns it. A job that exists already is returned unchanged.
func (r *Registry) Add(a Accepted, now time.Duration) *Job {
	if j := r.jobs[a.ID]; j != nil {
		return j
	}
	if a.Final.Final() {
		j := &Job{Accepted: a, LearnedAt: now, EndedAt: now, state: a.Final, stored: storedJob{state: a.Final}, started: true}
		r.jobs[a.ID] = j
		return j
	}
	j := &Job{Accepted: a, LearnedAt: now, EndedAt: now, state: StateQueued, stored: storedJob{state: StateQueued}}
	j.work = j.Spec.Work()
	j.workLeft = j.work * float64(a.Spec.Occurrences())
	j.criticalPaths, j.dependents = j.Spec.CriticalPaths(), j.Spec.dependents()
	for _, p := range j.criticalPaths {
		j.longestChain = max(j.longestChain, p)
	}
	for k := range a.Spec.Occurrences() {
		for i := range j.Spec.Steps {
			s := &StepRun{Job: j, Occurrence: k, Index: i, Spec: &j.Spec.Steps[i], blockers: len(j.Spec.Steps[i].After)}
			if s.blockers == 0 {
				j.unblocked = append(j.unblocked, s)
			}
			s.byPhase[Waiting] = s.Spec.Count
			tasks := make([]Task, s.Spec.Count)
			s.Tasks = make([]*Task, s.Spec.Count)
			for n := range tasks {
				tasks[n] = Task{Step: s, Index: n, PhaseSince: now}
				s.Tasks[n] = &tasks[n]
			}
			j.Steps = append(j.Steps, s)
		}
	}
	r.jobs[a.ID], r.open[a.ID] = j, j
	return j
}

// Remove removes a job whose rows were deleted from the store.
func (r *Registry) Remove(id ID) {
	delete(r.jobs, id)
	delete(r.open, id)
	if j := r.unsaved[id]; j != nil {
		delete(r.unsaved, id)
		j.unsavedSince = 0
	}
}

// Step returns the step of an occurrence, or nil.
func (j *Job) Step(occurrence, index int) *StepRun {
	n := len(j.Spec.Steps)
	if index < 0 || index >= n || occurrence < 0 || occurrence >= j.Spec.Occurrences() {
		return nil
	}
	return j.Steps[occurrence*n+index]
}

// Task returns the named task, or nil.
func (r *Registry) Task(n TaskName) *Task {
	j := r.jobs[n.Job]
	if j == nil {
		return nil
	}
	s := j.Step(n.Occurrence, n.Step)
	if s == nil || n.Index < 0 || n.Index >= len(s.Tasks) {
		return nil
	}
	return s.Tasks[n.Index]
}

// OpenSteps opens the steps of a job that have become ready. now is the wall-clock time.
func (j *Job) OpenSteps(now time.Time) {
	kept := j.unblocked[:0]
	for _, s := range j.unblocked {
		switch {
		case s.blockers > 0 || s.Open:
		case j.Spec.Repeat > 0 && now.Before(j.Spec.Due(s.Occurrence)):
			kept = append(kept, s)
		default:
			s.Open = true
			j.addCurrent(s)
		}
	}
	clear(j.unblocked[len(kept):])
	j.unblocked = kept
}

// stepEnded is called when all tasks of a step have become done, with n = 1, and when that is no
// longer so, with n = -1.
func (j *Job) stepEnded(s *StepRun, n int) {
	j.endedSteps += n
	for _, i := range j.dependents[s.Index] {
		d := j.Step(s.Occurrence, int(i))
		if d.blockers -= n; d.blockers == 0 {
			j.unblocked = append(j.unblocked, d)
		}
	}
}

// Ended reports whether all tasks of the step are done.
func (s *StepRun) Ended() bool { return s.byPhase[Done] == len(s.Tasks) }

// Count returns the number of the step's tasks in a phase.
func (s *StepRun) Count(p Phase) int { return s.byPhase[p] }

// Active returns the number of tasks of which a run may be in progress.
func (s *StepRun) Active() int { return s.byPhase[Ordered] + s.byPhase[Running] + s.byPhase[Stopping] }

// WaitingTasks returns the tasks that can be started now. The slice must not be modified; it stays as
// it is when the tasks change.
func (s *StepRun) WaitingTasks() []*Task {
	if !s.Open || s.byPhase[Waiting] == 0 {
		return nil
	}
	if s.waiting == nil {
		s.waiting = make([]*Task, 0, s.byPhase[Waiting])
		for _, t := range s.Tasks {
			if t.Phase == Waiting {
				s.waiting = append(s.waiting, t)
			}
		}
	}
	return s.waiting
}

// setPhase changes the phase of a task.
func (t *Task) setPhase(p Phase) {
	s := t.Step
	if t.Phase == Waiting || p == Waiting {
		s.waiting = nil
	}
	before, ended := t.Phase, s.Ended()
	s.byPhase[before]--
	s.byPhase[p]++
	t.Phase = p
	j := s.Job
	if before == Waiting {
		j.workLeft -= s.Spec.Work()
	}
	if p == Waiting {
		j.workLeft += s.Spec.Work()
	}
	if t.Active() {
		j.addCurrent(s)
	}
	if now := s.Ended(); now != ended {
		j.stepEnded(s, map[bool]int{true: 1, false: -1}[now])
	}
}

// NextRun returns the number of the task's next run. lowest is the lowest number that the current
// coordinator may use; it exceeds all numbers of earlier coordinators, known or not.
func (t *Task) NextRun(lowest int) int { return max(t.Run+1, lowest) }

// Order records that a start order for a task is about to be sent.
func (r *Registry) Order(t *Task, run int, m Minion, now time.Duration) {
	t.setPhase(Ordered)
	t.Run, t.Minion, t.Percent, t.PhaseSince = run, m, 0, now
	j := t.Step.Job
	j.started = true
	if j.state == StateQueued {
		j.state = StateRunning
	}
}

// Started records that a minion runs an ordered task.
func (r *Registry) Started(t *Task, now time.Duration) {
	if t.Phase == Ordered {
		t.setPhase(Running)
		t.PhaseSince = now
	}
}

// Adopt records a run that a minion reports and this process did not order.
func (r *Registry) Adopt(t *Task, run int, m Minion, checkpoint string, now time.Duration) {
	r.Order(t, run, m, now)
	r.Started(t, now)
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
}

// Stop records that the current run of a task is to be stopped.
func (r *Registry) Stop(t *Task, reason model.Reason, now time.Duration) {
	if t.Phase == Ordered || t.Phase == Running {
		t.setPhase(Stopping)
		t.PhaseSince, t.StopReason = now, reason
	}
}

// Requeue returns a task to phase waiting after its run was not started or is certainly over.
func (r *Registry) Requeue(t *Task, now time.Duration) {
	if t.Phase == Done {
		return
	}
	t.setPhase(Waiting)
	t.Minion, t.PhaseSince, t.StopReason = "", now, ""
}

// End tells how a run ended.
type End string

const (
	EndDone         End = "done"
	EndFailed       End = "failed"
	EndStopped      End = "stopped"
	EndLeaseExpired End = "lapsed"
	// EndGangBroken: another member of the gang ended, so this run ended too.
	EndGangBroken End = "broken"
	// EndGangIncomplete: the other members of the gang did not start in time.
	EndGangIncomplete End = "alone"
)

// Finish records the end of a run. maxAttempts is the number of failed runs at which the job
// fails. It reports whether the job's progress changed and must be stored.
func (r *Registry) Finish(t *Task, run int, m Minion, outcome End, checkpoint string, maxAttempts int, now time.Duration) bool {
	if t.Phase == Done {
		return false
	}
	if run > t.Run {
		t.Run = run
	}
	if checkpoint != "" && run == t.Run {
		t.Checkpoint = checkpoint
	}
	current := run == t.Run && (t.Minion == m || t.Minion == "")
	lasting := t.Step.Spec.LongRunning
	switch {
	case outcome == EndDone && !lasting:
		r.completeTask(t, now)
		return true
	case outcome == EndFailed && !lasting:
		changed := r.countFailure(t, run, m, maxAttempts, now)
		if current {
			r.Requeue(t, now)
		}
		return changed
	}
	if lasting && outcome == EndFailed {
		t.addFailedOn(m)
	}
	if current {
		r.Requeue(t, now)
	}
	return false
}

// completeTask marks a task as done, or all members of its gang.
func (r *Registry) completeTask(t *Task, now time.Duration) {
	members := []*Task{t}
	if t.Step.Spec.Gang {
		members = t.Step.Tasks
	}
	for _, x := range members {
		if x.Phase != Done {
			x.setPhase(Done)
			x.Minion, x.PhaseSince = "", now
		}
	}
	r.markChanged(t.Step.Job)
	r.completeIfEnded(t.Step.Job, now)
}

// countFailure counts a failed run, once even if it is reported several times. It reports whether
// the run was counted.
func (r *Registry) countFailure(t *Task, run int, m Minion, maxAttempts int, now time.Duration) bool {
	runs := &t.FailedRuns
	if t.Step.Spec.Gang {
		runs = &t.Step.FailedRuns
	}
	for _, counted := range *runs {
		if counted == run {
			return false
		}
	}
	*runs = append(*runs, run)
	t.addFailedOn(m)
	r.markChanged(t.Step.Job)
	if len(*runs) >= maxAttempts {
		r.setFinal(t.Step.Job, StateFailed, now)
	}
	return true
}

// addFailedOn adds a minion to those to avoid for the task.
func (t *Task) addFailedOn(m Minion) {
	// maxFailedOn bounds the length of FailedOn.
	const maxFailedOn = 8
	t.FailedOn = append(t.FailedOn, m)
	if len(t.FailedOn) > maxFailedOn {
		t.FailedOn = t.FailedOn[1:]
	}
}

// completeIfEnded completes a job of which all steps have ended.
func (r *Registry) completeIfEnded(j *Job, now time.Duration) {
	if j.endedSteps == len(j.Steps) {
		r.setFinal(j, StateCompleted, now)
	}
}

// Cancel cancels a job and reports whether it did; it does not if the job is in a final state.
func (r *Registry) Cancel(j *Job, now time.Duration) bool { return r.setFinal(j, StateCancelled, now) }

// setFinal puts a job in a final state, unless it is in one, and reports whether it did.
func (r *Registry) setFinal(j *Job, s State, now time.Duration) bool {
	if j.state.Final() {
		return false
	}
	j.state, j.EndedAt = s, now
	delete(r.open, j.ID)
	r.markChanged(j)
	return true
}

// markChanged counts a change of the job's progress, which then has to be stored.
func (r *Registry) markChanged(j *Job) {
	j.lastChange++
	if r.unsaved[j.ID] == nil {
		r.queueUnsaved(j)
	}
}

// Saved records that a job's progress up to the given change is stored, with the given state.
func (r *Registry) Saved(j *Job, change uint64, s State) {
	j.savedChange = max(j.savedChange, change)
	if s.Final() {
		j.stored.state = s
	}
	if j.pendingMinions != nil {
		j.stored.minions, j.pendingMinions = j.pendingMinions, nil
	}
	if r.unsaved[j.ID] == nil {
		return
	}
	if j.Unsaved() {
		r.queueUnsaved(j) // what changed before is stored
		return
	}
	delete(r.unsaved, j.ID)
	j.unsavedSince = 0
}
