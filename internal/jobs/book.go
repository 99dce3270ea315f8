package jobs

import (
	"fmt"
	"slices"
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
	// Run is the number of the current run, or of the last one that was current; 0 if there was none.
	Run int
	// HighestRun is the highest number of a run that is known, whether or not it was ever current.
	HighestRun int
	// skips counts the calls of Registry.SkipRuns since a run last began.
	skips uint8
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
	// Tasks are the tasks that were looked at so far, in their order. The others wait and have never
	// begun.
	Tasks []*Task
	// of is the occurrence, since is when it was created.
	of    *occurrence
	since time.Duration
	// byPhase counts the tasks by phase, so that a scheduling run need not look at each of them.
	byPhase [Done + 1]int
	// waiting lists the tasks in phase waiting, nil if it has to be collected again.
	waiting []*Task
	// gangCheckpoint is the last checkpoint that any member of a gang reported, of the run numbered
	// gangCheckpointRun.
	gangCheckpoint    string
	gangCheckpointRun int
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
	registry  *Registry
	// live are the occurrences in memory in ascending order, ended those that have ended. next is the
	// lowest occurrence that may be neither.
	live  []*occurrence
	ended ranges
	next  int
	// idle counts the occurrences in memory of which no task has begun.
	idle int
	// nextDue is when the next occurrence of a job without any in memory is due, waitingAt is one more
	// than its place in Registry.waiting, or 0.
	nextDue   time.Time
	waitingAt int
	// tasks is the number of tasks of one occurrence; longRunning is Spec.LongRunning.
	tasks       int
	longRunning bool
	// criticalPaths are Spec.CriticalPaths, longestChain is the longest of them.
	criticalPaths []time.Duration
	longestChain  time.Duration
	// dependents lists, by step, the later steps that name it in After, once for each mention.
	dependents [][]int32
	// unblocked are the steps that are not open although all steps that they depend on have ended.
	unblocked []*StepRun
	// current are the steps that are open or have active tasks, and steps that were so before.
	current []*StepRun
	// memory is Spec.MemoryBytes and the memory of the occurrences in memory.
	memory int64
	// work is Spec.Work.
	work  float64
	state State
	// begun is set once a run of the job is known to have begun.
	begun bool
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

// HasBegun reports whether any run of the job is known to have begun.
func (j *Job) HasBegun() bool { return j.begun }

// markBegun records that a run of the job has begun.
func (j *Job) markBegun() {
	j.begun = true
	if j.state == StateQueued {
		j.state = StateRunning
	}
}

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

// Work returns the estimated work of one occurrence, in core-seconds.
func (j *Job) Work() float64 { return j.work }

// CriticalPath returns the estimated time from the start of a step to the end of an occurrence.
func (j *Job) CriticalPath(step int) time.Duration { return j.criticalPaths[step] }

// LongestChain returns the longest dependency chain of the job, by the estimates.
func (j *Job) LongestChain() time.Duration { return j.longestChain }

// Registry holds all jobs of the coordinator and changes their state.
type Registry struct {
	jobs map[ID]*Job
	// open holds the jobs that are not in a final state, live those of them with an occurrence in memory,
	// waiting the others.
	open, live map[ID]*Job
	waiting    waitingJobs
	// memory is the sum of Job.memory of the open jobs.
	memory int64
	// unsaved holds the jobs with progress that is not stored, unsavedOrder the same in the order of
	// their oldest unsaved change. Entries of jobs that have been saved since are dropped later.
	unsaved      map[ID]*Job
	unsavedOrder []unsavedEntry
	unsavedCount uint64
	// unsavedJobs is the memory of the last result of Unsaved.
	unsavedJobs []*Job
	// OnPhase, if set before the first job is added, is called when a task has left a phase, before the rest of
	// the task is changed. It must not change the registry.
	OnPhase func(t *Task, left Phase)
}

// unsavedEntry is a job in Registry.unsavedOrder. It is out of date if the job's unsavedSince differs.
type unsavedEntry struct {
	job   *Job
	since uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{jobs: map[ID]*Job{}, open: map[ID]*Job{}, live: map[ID]*Job{}, unsaved: map[ID]*Job{}}
}

// Get returns a job, or nil.
func (r *Registry) Get(id ID) *Job { return r.jobs[id] }

// Len returns the number of jobs.
func (r *Registry) Len() int { return len(r.jobs) }

// Open returns the jobs that are not in a final state. The map belongs to the registry.
func (r *Registry) Open() map[ID]*Job { return r.open }

// Live returns the jobs that are not in a final state and have an occurrence in memory: all but those
// that wait for their time. The map belongs to the registry.
func (r *Registry) Live() map[ID]*Job { return r.live }

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
		j := &Job{Accepted: a, LearnedAt: now, EndedAt: now, state: a.Final, stored: storedJob{state: a.Final}, begun: true}
		r.jobs[a.ID] = j
		return j
	}
	j := &Job{Accepted: a, LearnedAt: now, EndedAt: now, state: StateQueued, stored: storedJob{state: StateQueued}, registry: r, longRunning: a.Spec.LongRunning()}
	j.work = j.Spec.Work()
	for i := range j.Spec.Steps {
		j.tasks += j.Spec.Steps[i].Count
	}
	j.criticalPaths = j.Spec.CriticalPaths()
	for _, p := range j.criticalPaths {
		j.longestChain = max(j.longestChain, p)
	}
	r.jobs[a.ID], r.open[a.ID] = j, j
	j.memory = a.Spec.MemoryBytes()
	r.memory += j.memory
	if a.Spec.Repeat == 0 {
		j.create(0, now)
		j.next = 1
	} else {
		r.waitForDue(j)
	}
	return j
}

// Remove removes a job whose rows were deleted from the store.
func (r *Registry) Remove(id ID) {
	if j := r.jobs[id]; j != nil {
		r.stopWaiting(j)
		r.dropOpen(j)
	}
	delete(r.jobs, id)
	delete(r.live, id)
	if j := r.unsaved[id]; j != nil {
		delete(r.unsaved, id)
		j.unsavedSince = 0
	}
}

// Step returns the step of an occurrence that has not ended, or nil. An occurrence that is not due yet
// is added: an earlier coordinator may have begun it.
func (j *Job) Step(occurrence, index int) *StepRun {
	if index < 0 || index >= len(j.Spec.Steps) || occurrence < 0 || occurrence >= j.Spec.Occurrences() {
		return nil
	}
	o := j.liveOccurrence(occurrence)
	if o == nil {
		if j.ended.contains(occurrence) && !j.state.Final() {
			return nil
		}
		if j.registry != nil {
			j.registry.stopWaiting(j)
		}
		o = j.create(occurrence, j.LearnedAt)
	}
	return o.steps[index]
}

// Task returns the named task, or nil if there is none.
func (r *Registry) Task(n TaskName) *Task {
	j := r.jobs[n.Job]
	if j == nil || n.Step < 0 || n.Step >= len(j.Spec.Steps) || n.Index < 0 || n.Index >= j.Spec.Steps[n.Step].Count ||
		n.Occurrence < 0 || n.Occurrence >= j.Spec.Occurrences() {
		return nil
	}
	s := j.Step(n.Occurrence, n.Step)
	if s == nil {
		return j.doneTask(n)
	}
	return s.Task(n.Index)
}

// Task returns a task of the step.
func (s *StepRun) Task(index int) *Task {
	if more := index + 1 - len(s.Tasks); more > 0 {
		tasks := make([]Task, more)
		for i := range tasks {
			tasks[i] = Task{Step: s, Index: len(s.Tasks), PhaseSince: s.since}
			s.Tasks = append(s.Tasks, &tasks[i])
		}
		s.waiting = nil
		if s.of != nil {
			s.Job.countMemory(taskSize * int64(more))
		}
	}
	return s.Tasks[index]
}

// AllTasks returns all tasks of the step.
func (s *StepRun) AllTasks() []*Task {
	s.Task(s.Spec.Count - 1)
	return s.Tasks
}

// Unseen returns the number of tasks that are not in Tasks.
func (s *StepRun) Unseen() int { return max(0, s.Spec.Count-len(s.Tasks)) }

// OpenSteps adds the occurrences of a job that are due and opens the steps that have become ready. wall
// is the time of day.
func (j *Job) OpenSteps(wall time.Time, now time.Duration) {
	j.createDue(wall, now)
	kept := j.unblocked[:0]
	for _, s := range j.unblocked {
		switch {
		case s.blockers > 0 || s.Open:
		case j.Spec.Repeat > 0 && wall.Before(j.Spec.Due(s.Occurrence)):
			kept = append(kept, s)
		default:
			s.Open = true
			j.addCurrent(s)
		}
	}
	clear(j.unblocked[len(kept):])
	j.unblocked = kept
}

// Ended reports whether all tasks of the step are done.
func (s *StepRun) Ended() bool { return s.byPhase[Done] == s.Spec.Count }

// Count returns the number of the step's tasks in a phase.
func (s *StepRun) Count(p Phase) int { return s.byPhase[p] }

// Active returns the number of tasks of which a run may be in progress.
func (s *StepRun) Active() int { return s.byPhase[Ordered] + s.byPhase[Running] + s.byPhase[Stopping] }

// WaitingTasks returns the tasks that can be started now, of a step that is neither long-running nor a
// gang not many more than maxWaitingTasks. The slice must not be modified; it stays as it is when the
// tasks change.
func (s *StepRun) WaitingTasks() []*Task {
	if !s.Open || s.byPhase[Waiting] == 0 {
		return nil
	}
	seen := s.byPhase[Waiting] - s.Unseen()
	switch {
	case s.Unseen() == 0:
	case s.Spec.LongRunning || s.Spec.Gang:
		s.AllTasks()
	case seen < maxWaitingTasks:
		s.Task(min(s.Spec.Count, len(s.Tasks)+maxWaitingTasks) - 1)
	}
	if s.waiting == nil {
		s.waiting = make([]*Task, 0, s.byPhase[Waiting]-s.Unseen())
		for _, t := range s.Tasks {
			if t.Phase == Waiting {
				s.waiting = append(s.waiting, t)
			}
		}
	}
	return s.waiting
}

// maxWaitingTasks is the number of tasks of a step that a scheduling run looks at, at least. It starts no
// more at a time.
const maxWaitingTasks = 256

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
	if r := s.Job.registry; r != nil && r.OnPhase != nil && before != p {
		r.OnPhase(t, before)
	}
	o := s.of
	if o == nil {
		return
	}
	if before == Waiting {
		o.workLeft -= s.Spec.Work()
		o.taskBegun()
	}
	if p == Waiting {
		o.workLeft += s.Spec.Work()
	}
	if t.Active() {
		s.Job.addCurrent(s)
	}
	if now := s.Ended(); now != ended {
		o.stepEnded(s, map[bool]int{true: 1, false: -1}[now])
	}
}

// NextRun returns the number of the task's next run. lowest is the lowest number that the current
// coordinator may use; it exceeds all numbers of earlier coordinators, known or not.
func (t *Task) NextRun(lowest int) int { return max(t.HighestRun+1, lowest) }

// NextRun returns the number of the next run of a gang, which all members have in common: it exceeds the
// numbers of all their runs so far. lowest is as in Task.NextRun.
func (s *StepRun) NextRun(lowest int) int {
	for _, t := range s.AllTasks() {
		lowest = t.NextRun(lowest)
	}
	return lowest
}

// Whole reports whether all members of a gang are in one run, as far as is known.
func (s *StepRun) Whole() bool {
	if s.byPhase[Ordered]+s.byPhase[Running] != s.Spec.Count {
		return false
	}
	for _, t := range s.Tasks {
		if t.Run != s.Tasks[0].Run {
			return false
		}
	}
	return true
}

// Checkpointed records the checkpoint that a run has reported, for the next run. The members of a gang have
// one in common.
func (t *Task) Checkpointed(run int, checkpoint string) {
	s := t.Step
	switch {
	case checkpoint == "":
	case !s.Spec.Gang:
		t.Checkpoint = checkpoint
	case run >= s.gangCheckpointRun:
		s.gangCheckpoint, s.gangCheckpointRun = checkpoint, run
	}
}

// Order records that a start order for a task is about to be sent.
func (r *Registry) Order(t *Task, run int, m Minion, now time.Duration) {
	t.setPhase(Ordered)
	if t.Step.Spec.Gang {
		// Fixed with the order: members of one run must not start from different checkpoints, also if
		// one of their starts is sent later than the others.
		t.Checkpoint = t.Step.gangCheckpoint
	}
	t.Run, t.Minion, t.Percent, t.PhaseSince = run, m, 0, now
	t.HighestRun = max(t.HighestRun, run)
}

// maxSkips bounds how many numbers SkipRuns leaves out at a time: 2 to the power of it.
const maxSkips = 20

// SkipRuns leaves out numbers for the task's next run, twice as many with each call, because a minion has had
// a run with an unknown number that is not below the current one.
func (r *Registry) SkipRuns(t *Task) {
	t.HighestRun += 1 << t.skips
	t.skips = min(t.skips+1, maxSkips)
}

// Started records that a minion runs an ordered task.
func (r *Registry) Started(t *Task, now time.Duration) {
	t.skips = 0
	t.Step.Job.markBegun()
	r.AwaitReport(t, now)
}

// AwaitReport records that the start of an ordered task needs no further attempt: whether a minion runs it
// is known from its next report.
func (r *Registry) AwaitReport(t *Task, now time.Duration) {
	if t.Phase == Ordered {
		t.setPhase(Running)
		t.PhaseSince = now
	}
}

// Adopt records a run that a minion reports and this process did not order.
func (r *Registry) Adopt(t *Task, run int, m Minion, checkpoint string, now time.Duration) {
	if t.Phase == Done && !t.Step.Job.state.Final() {
		return
	}
	r.Order(t, run, m, now)
	r.Started(t, now)
	t.Checkpointed(run, checkpoint)
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
	if o := t.Step.of; o != nil {
		t.Step.Job.forget(o)
	}
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
	t.Step.Job.markBegun()
	t.HighestRun = max(t.HighestRun, run)
	if run >= t.Run {
		t.Checkpointed(run, checkpoint)
	}
	// The end of a higher run on another minion tells nothing of the current run. On the same minion it
	// rules the current one out: the minion starts no run below one that has ended there.
	current := run >= t.Run && (t.Minion == m || t.Minion == "")
	if current {
		t.Run = run
	}
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
		members = t.Step.AllTasks()
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
	if j.ended.count() == j.Spec.Occurrences() {
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
	r.closed(j)
	r.markChanged(j)
	return true
}

// closed removes what a job in a final state does not need any more.
func (r *Registry) closed(j *Job) {
	r.dropOpen(j)
	delete(r.live, j.ID)
	r.stopWaiting(j)
	for _, o := range slices.Clone(j.live) {
		j.forget(o)
	}
}

// dropOpen removes a job from the open ones.
func (r *Registry) dropOpen(j *Job) {
	if r.open[j.ID] == j {
		delete(r.open, j.ID)
		r.memory -= j.memory
	}
}

// countMemory adds n bytes to the memory of the job.
func (j *Job) countMemory(n int64) {
	j.memory += n
	if r := j.registry; r != nil && r.open[j.ID] == j {
		r.memory += n
	}
}

// MemoryBytes returns about how much memory the jobs take that are not in a final state.
func (r *Registry) MemoryBytes() int64 { return r.memory }

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
