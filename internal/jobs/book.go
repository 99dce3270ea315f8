package jobs

import (
	"fmt"
	"time"

	"boragepulley/internal/model"
)

// State is the state of a job as callers see it.
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

// Final reports whether no later state can follow.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Phase is how far a task has come.
//
// State machine:
//
//	waiting -> ordered -> running -> stopping -> waiting | done
//	   ^          |          |
//	   '----------+----------+-> done
//
// ordered: a start was sent whose result is not known; it counts as running everywhere.
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

// Minion identifies one life of a minion under its id.
type Minion string

// Task is one task of one occurrence of a step.
type Task struct {
	Step  *StepRun
	Index int
	Phase Phase
	// Run is the number of the last run; 0 if there was none.
	Run int
	// Minion holds the present run in phases ordered, running and stopping.
	Minion Minion
	// FailedRuns are the runs that failed by themselves.
	FailedRuns []int
	// FailedOn are the minions on which runs failed.
	FailedOn []Minion
	// Checkpoint is where the next run continues; empty for the beginning.
	Checkpoint string
	// Percent is the progress of the present run as last reported.
	Percent int
	// PhaseSince is when the present phase began.
	PhaseSince time.Duration
	// StopReason says why the present run is being stopped.
	StopReason model.Reason
}

// Name returns the task's name, unique on the site.
func (t *Task) Name() string {
	s := t.Step
	return fmt.Sprintf("%s.%d.%d.%d", s.Job.ID, s.Occurrence, s.Index, t.Index)
}

// Active reports whether a run of the task may be going on.
func (t *Task) Active() bool { return t.Phase == Ordered || t.Phase == Running || t.Phase == Stopping }

// StepRun is one occurrence of a step.
type StepRun struct {
	Job        *Job
	Occurrence int
	Index      int
	Spec       *Step
	Tasks      []*Task
	// done counts the tasks that have ended as done.
	done int
	// Open is set once all steps before have ended and the occurrence is due.
	Open bool
	// FailedRuns are the runs of a gang that failed.
	FailedRuns []int
}

// Job is one accepted job.
type Job struct {
	Accepted
	// LearnedAt is when this process learned of the job, on its own steady clock.
	LearnedAt time.Duration
	// Inherited jobs were accepted before this process became coordinator: runs that it
	// has not heard of may be going on.
	Inherited bool
	Steps     []*StepRun
	state     State
	// begun is set once a task was started.
	begun bool
	// changes counts changes of the stored progress, saved those that are stored.
	changes, saved uint64
	// stored is what a successor would read, writing the minions of the write under way.
	stored  storedJob
	writing map[Minion]bool
	// EndedAt is when the job reached its final state.
	EndedAt time.Duration
	// HasProgress is set once a row of progress may be stored, HasCancel once a row may be
	// that cancels the job.
	HasProgress, HasCancel bool
}

// storedJob is what the store has of a job beside its specification.
type storedJob struct {
	state State
	// on are the minions on which runs may be going on.
	on map[Minion]bool
}

// State returns the state of the job, stored or not.
func (j *Job) State() State { return j.state }

// VisibleState returns the state that callers may be told: a final state only once it is stored.
func (j *Job) VisibleState() State {
	if j.state.Final() && !j.FinalStateStored() {
		return StateRunning
	}
	return j.state
}

// FinalStateStored reports whether a successor would read the job's final state.
func (j *Job) FinalStateStored() bool { return j.stored.state.Final() }

// HasStarted reports whether a task of the job was started.
func (j *Job) HasStarted() bool { return j.begun }

// Unsaved reports whether progress of the job is not stored.
func (j *Job) Unsaved() bool { return j.changes > j.saved }

// LastChange returns the number of the last change, for Book.Saved.
func (j *Job) LastChange() uint64 { return j.changes }

// SavedThrough reports whether the change with the number is stored.
func (j *Job) SavedThrough(change uint64) bool { return j.saved >= change }

// Active returns the tasks of which a run may be going on.
func (j *Job) Active() []*Task {
	var out []*Task
	for _, s := range j.Steps {
		for _, t := range s.Tasks {
			if t.Active() {
				out = append(out, t)
			}
		}
	}
	return out
}

// WorkLeft returns the work of the tasks that have not begun, in core-seconds, by the
// estimates.
func (j *Job) WorkLeft() float64 {
	work := 0.0
	for _, s := range j.Steps {
		n := 0
		for _, t := range s.Tasks {
			if t.Phase == Waiting {
				n++
			}
		}
		work += float64(n) * s.Spec.Work()
	}
	return work
}

// Registry is the state of all jobs.
type Registry struct {
	jobs map[ID]*Job
	// open are the jobs in no final state.
	open map[ID]*Job
	// unsaved are the jobs with progress that is not stored.
	unsaved map[ID]*Job
}

// NewRegistry returns an empty book.
func NewRegistry() *Registry {
	return &Registry{jobs: map[ID]*Job{}, open: map[ID]*Job{}, unsaved: map[ID]*Job{}}
}

// Get returns a job, or nil.
func (b *Registry) Get(id ID) *Job { return b.jobs[id] }

// Len returns the number of jobs.
func (b *Registry) Len() int { return len(b.jobs) }

// Open returns the jobs in no final state. The map belongs to the book.
func (b *Registry) Open() map[ID]*Job { return b.open }

// All returns all jobs. The map belongs to the book.
func (b *Registry) All() map[ID]*Job { return b.jobs }

// Unsaved returns the jobs with progress that is not stored. The map belongs to the book.
func (b *Registry) Unsaved() map[ID]*Job { return b.unsaved }

// Add adds an accepted job and returns it; a job that is there is returned as it is.
func (b *Registry) Add(a Accepted, now time.Duration) *Job {
	if j := b.jobs[a.ID]; j != nil {
		return j
	}
	if a.Final.Final() {
		j := &Job{Accepted: a, LearnedAt: now, EndedAt: now, state: a.Final, stored: storedJob{state: a.Final}, begun: true}
		b.jobs[a.ID] = j
		return j
	}
	j := &Job{Accepted: a, LearnedAt: now, state: StateQueued, stored: storedJob{state: StateQueued}}
	for k := range a.Spec.Occurrences() {
		for i := range j.Spec.Steps {
			s := &StepRun{Job: j, Occurrence: k, Index: i, Spec: &j.Spec.Steps[i]}
			block := make([]Task, s.Spec.Count)
			s.Tasks = make([]*Task, s.Spec.Count)
			for n := range block {
				block[n] = Task{Step: s, Index: n, PhaseSince: now}
				s.Tasks[n] = &block[n]
			}
			j.Steps = append(j.Steps, s)
		}
	}
	b.jobs[a.ID], b.open[a.ID] = j, j
	return j
}

// Remove drops a job, whose rows are gone from the store.
func (b *Registry) Remove(id ID) {
	delete(b.jobs, id)
	delete(b.open, id)
	delete(b.unsaved, id)
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
func (b *Registry) Task(n TaskName) *Task {
	j := b.jobs[n.Job]
	if j == nil {
		return nil
	}
	s := j.Step(n.Occurrence, n.Step)
	if s == nil || n.Index < 0 || n.Index >= len(s.Tasks) {
		return nil
	}
	return s.Tasks[n.Index]
}

// OpenSteps opens the steps of a job whose turn has come, by the time of day.
func (j *Job) OpenSteps(wall time.Time) {
	for _, s := range j.Steps {
		if s.Open || (s.Occurrence > 0 || j.Spec.Repeat > 0) && wall.Before(j.Spec.Due(s.Occurrence)) {
			continue
		}
		s.Open = true
		for _, a := range s.Spec.After {
			if !j.Step(s.Occurrence, a).Ended() {
				s.Open = false
			}
		}
	}
}

// Ended reports whether all tasks have ended as done.
func (s *StepRun) Ended() bool { return s.done == len(s.Tasks) }

// WaitingTasks returns the tasks that can be started now.
func (s *StepRun) WaitingTasks() []*Task {
	if !s.Open || s.Ended() {
		return nil
	}
	var out []*Task
	for _, t := range s.Tasks {
		if t.Phase == Waiting {
			out = append(out, t)
		}
	}
	return out
}

// NextRun returns the number of the task's next run. first is the lowest number that the
// present coordinator may use: numbers of earlier ones, known or not, are lower.
func (t *Task) NextRun(first int) int { return max(t.Run+1, first) }

// Order notes that a start is about to be sent.
func (b *Registry) Order(t *Task, run int, m Minion, now time.Duration) {
	t.Phase, t.Run, t.Minion, t.Percent, t.PhaseSince = Ordered, run, m, 0, now
	j := t.Step.Job
	j.begun = true
	if j.state == StateQueued {
		j.state = StateRunning
	}
}

// Started notes that a minion runs the task.
func (b *Registry) Started(t *Task, now time.Duration) {
	if t.Phase == Ordered {
		t.Phase, t.PhaseSince = Running, now
	}
}

// Adopt notes a run that a minion reports and that this process did not order.
func (b *Registry) Adopt(t *Task, run int, m Minion, checkpoint string, now time.Duration) {
	b.Order(t, run, m, now)
	b.Started(t, now)
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
}

// Stop notes that a run is to end.
func (b *Registry) Stop(t *Task, why model.Reason, now time.Duration) {
	if t.Phase == Ordered || t.Phase == Running {
		t.Phase, t.PhaseSince, t.StopReason = Stopping, now, why
	}
}

// Requeue makes a task wait whose run did not happen or is certainly over.
func (b *Registry) Requeue(t *Task, now time.Duration) {
	if t.Phase == Done {
		return
	}
	t.Phase, t.Minion, t.PhaseSince, t.StopReason = Waiting, "", now, ""
}

// End is how a run ended.
type End string

const (
	EndDone         End = "done"
	EndFailed       End = "failed"
	EndStopped      End = "stopped"
	EndLeaseExpired End = "lapsed"
	// EndGangBroken: another member of the gang ended.
	EndGangBroken End = "broken"
	// EndGangIncomplete: the other members of the gang did not come.
	EndGangIncomplete End = "alone"
)

// Finish notes the end of a run. maxAttempts is the queue's bound on failed runs. It
// reports whether the stored progress changes.
func (b *Registry) Finish(t *Task, run int, m Minion, how End, checkpoint string, maxAttempts int, now time.Duration) bool {
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
	case how == EndDone && !lasting:
		b.done(t, now)
		return true
	case how == EndFailed && !lasting:
		changed := b.failed(t, run, m, maxAttempts, now)
		if current {
			b.Requeue(t, now)
		}
		return changed
	}
	if lasting && how == EndFailed {
		t.noteFailure(m)
	}
	if current {
		b.Requeue(t, now)
	}
	return false
}

func (b *Registry) done(t *Task, now time.Duration) {
	members := []*Task{t}
	if t.Step.Spec.Gang {
		members = t.Step.Tasks
	}
	for _, x := range members {
		if x.Phase != Done {
			x.Phase, x.Minion, x.PhaseSince = Done, "", now
			t.Step.done++
		}
	}
	b.changed(t.Step.Job)
	b.conclude(t.Step.Job, now)
}

// failed counts a failed run once, however often it is reported.
func (b *Registry) failed(t *Task, run int, m Minion, maxAttempts int, now time.Duration) bool {
	runs := &t.FailedRuns
	if t.Step.Spec.Gang {
		runs = &t.Step.FailedRuns
	}
	for _, r := range *runs {
		if r == run {
			return false
		}
	}
	*runs = append(*runs, run)
	t.noteFailure(m)
	b.changed(t.Step.Job)
	if len(*runs) >= maxAttempts {
		b.final(t.Step.Job, StateFailed, now)
	}
	return true
}

func (t *Task) noteFailure(m Minion) {
	// maxAvoided bounds how many minions a task remembers.
	const maxAvoided = 8
	t.FailedOn = append(t.FailedOn, m)
	if len(t.FailedOn) > maxAvoided {
		t.FailedOn = t.FailedOn[1:]
	}
}

func (b *Registry) conclude(j *Job, now time.Duration) {
	for _, s := range j.Steps {
		if !s.Ended() {
			return
		}
	}
	b.final(j, StateCompleted, now)
}

// Cancel puts a job in state cancelled unless it is in a final state. It reports whether
// it did.
func (b *Registry) Cancel(j *Job, now time.Duration) bool { return b.final(j, StateCancelled, now) }

func (b *Registry) final(j *Job, s State, now time.Duration) bool {
	if j.state.Final() {
		return false
	}
	j.state, j.EndedAt = s, now
	delete(b.open, j.ID)
	b.changed(j)
	return true
}

func (b *Registry) changed(j *Job) {
	j.changes++
	b.unsaved[j.ID] = j
}

// Saved notes that the progress up to a change is stored with a state.
func (b *Registry) Saved(j *Job, change uint64, s State) {
	j.saved = max(j.saved, change)
	if s.Final() {
		j.stored.state = s
	}
	if j.writing != nil {
		j.stored.on, j.writing = j.writing, nil
	}
	if !j.Unsaved() {
		delete(b.unsaved, j.ID)
	}
}
