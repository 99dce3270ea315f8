package jobs

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// maxIdleTasks bounds the tasks of the occurrences that a job has and of which none has begun;
	// one occurrence is always allowed. A scheduling run starts at most as many.
	maxIdleTasks = 256
	// maxLiveTasks bounds the tasks of all occurrences that a job has; one occurrence is always
	// allowed.
	maxLiveTasks = 2048
	// maxLateness bounds how far back the due time of an occurrence is taken into account.
	maxLateness = time.Hour
)

// occurrence is one run of a job's steps. It exists in memory from when it is due until it has ended, so
// that a job that waits for its time, or has run many times, costs as much as one that runs once.
type occurrence struct {
	index int
	// dueAt is when the occurrence was due, on this process's monotonic clock.
	dueAt time.Duration
	job   *Job
	steps []*StepRun
	// endedSteps counts the steps that have ended.
	endedSteps int
	// begun is set once a task of the occurrence was started.
	begun bool
	// workLeft is the estimated work of the tasks that wait.
	workLeft float64
	// held counts the tasks that are assigned to minions.
	held int
}

// ended reports whether all steps have ended.
func (o *occurrence) ended() bool { return o.endedSteps == len(o.steps) }

// memoryBytes returns about how much memory the occurrence takes.
func (o *occurrence) memoryBytes() int64 {
	n := occurrenceSize + stepRunSize*int64(len(o.steps))
	for _, s := range o.steps {
		n += taskSize * int64(len(s.Tasks))
	}
	return n
}

// LiveSteps returns the steps of the occurrences in memory, in their order.
func (j *Job) LiveSteps() []*StepRun {
	var out []*StepRun
	for _, o := range j.live {
		out = append(out, o.steps...)
	}
	return out
}

// EndedOccurrences returns the number of occurrences that have ended.
func (j *Job) EndedOccurrences() int { return j.ended.count() }

// WorkLeft returns the estimated work of the tasks of the step's occurrence that wait, in core-seconds.
func (s *StepRun) WorkLeft() float64 {
	if s.of == nil {
		return 0
	}
	return s.of.workLeft
}

// DueAt returns when the step's occurrence was due, on this process's monotonic clock; for a job that runs
// once that is when this process learned of it.
func (s *StepRun) DueAt() time.Duration {
	if s.of == nil {
		return 0
	}
	return s.of.dueAt
}

// liveOccurrence returns an occurrence that is in memory, or nil.
func (j *Job) liveOccurrence(k int) *occurrence {
	if i, ok := j.find(k); ok {
		return j.live[i]
	}
	return nil
}

func (j *Job) find(k int) (int, bool) {
	return slices.BinarySearchFunc(j.live, k, func(o *occurrence, k int) int { return o.index - k })
}

// create adds an occurrence that is not in memory.
func (j *Job) create(k int, now time.Duration) *occurrence {
	o := &occurrence{index: k, dueAt: now, job: j, workLeft: j.work}
	if j.dependents == nil {
		j.dependents = j.Spec.dependents()
	}
	steps := make([]StepRun, len(j.Spec.Steps))
	o.steps = make([]*StepRun, len(steps))
	for i := range steps {
		s := &steps[i]
		spec := &j.Spec.Steps[i]
		*s = StepRun{Job: j, Occurrence: k, Index: i, Spec: spec, blockers: len(spec.After), of: o, since: now}
		s.byPhase[Waiting] = spec.Count
		o.steps[i] = s
		if s.blockers == 0 {
			j.unblocked = append(j.unblocked, s)
		}
	}
	i, _ := j.find(k)
	j.live = slices.Insert(j.live, i, o)
	j.idle++
	j.countMemory(o.memoryBytes())
	if j.registry != nil && !j.state.Final() {
		j.registry.live[j.ID] = j
	}
	return o
}

// createDue adds the occurrences that are due, as far as the job may have more of them. wall is the time
// of day.
func (j *Job) createDue(wall time.Time, now time.Duration) {
	total := j.Spec.Occurrences()
	for {
		j.next = j.ended.skip(j.next)
		if j.next >= total {
			return
		}
		if due := j.Spec.Due(j.next); j.liveOccurrence(j.next) == nil {
			if wall.Before(due) || len(j.live) > 0 && j.full() {
				return
			}
			o := j.create(j.next, now)
			if late := wall.Sub(due); j.Spec.Repeat > 0 {
				o.dueAt = max(j.LearnedAt, now-min(late, maxLateness))
			}
		}
		j.next++
	}
}

// full reports whether the job may have no further occurrence for now.
func (j *Job) full() bool {
	if (j.idle+1)*j.tasks > maxIdleTasks && j.idle > 0 {
		return true
	}
	return (len(j.live)+1)*j.tasks > maxLiveTasks && !j.longRunning
}

// taskBegun is called when a task of the occurrence has left phase waiting.
func (o *occurrence) taskBegun() {
	if !o.begun {
		o.begun = true
		o.job.idle--
	}
}

// stepEnded is called when all tasks of a step have become done, with n = 1, and when that is no
// longer so, with n = -1.
func (o *occurrence) stepEnded(s *StepRun, n int) {
	j := o.job
	o.endedSteps += n
	for _, i := range j.dependents[s.Index] {
		d := o.steps[i]
		if d.blockers -= n; d.blockers == 0 {
			j.unblocked = append(j.unblocked, d)
		}
	}
	if n > 0 && o.ended() {
		j.ended.add(o.index)
		o.taskBegun()
	}
}

// Hold records that a task is assigned to a minion, Release that it no longer is.
func (t *Task) Hold() {
	if o := t.Step.of; o != nil {
		o.held++
	}
}

// Release is the opposite of Hold.
func (t *Task) Release() {
	if o := t.Step.of; o != nil {
		o.held--
		o.job.forget(o)
	}
}

// forget removes an occurrence from memory if it has ended, or the job is in a final state, and none of
// its tasks is in use any more.
func (j *Job) forget(o *occurrence) {
	if o.held > 0 || !o.ended() && !j.state.Final() {
		return
	}
	for _, s := range o.steps {
		if s.Active() > 0 {
			return
		}
	}
	i, ok := j.find(o.index)
	if !ok || j.live[i] != o {
		return
	}
	o.taskBegun() // it does not count as idle any more
	j.live = slices.Delete(j.live, i, i+1)
	j.countMemory(-o.memoryBytes())
	if len(j.live) == 0 {
		j.live, j.current, j.unblocked = nil, nil, nil
		j.registry.waitForDue(j)
	}
}

// doneTask returns a task of an occurrence that has ended.
func (j *Job) doneTask(n TaskName) *Task {
	spec := &j.Spec.Steps[n.Step]
	s := &StepRun{Job: j, Occurrence: n.Occurrence, Index: n.Step, Spec: spec}
	s.byPhase[Done] = spec.Count
	return &Task{Step: s, Index: n.Index, Phase: Done}
}

// waitForDue moves a job without occurrences in memory to those that wait for their time.
func (r *Registry) waitForDue(j *Job) {
	delete(r.live, j.ID)
	if j.next = j.ended.skip(j.next); !j.state.Final() && j.next < j.Spec.Occurrences() {
		j.nextDue = j.Spec.Due(j.next)
		heap.Push(&r.waiting, j)
	}
}

// stopWaiting removes a job from those that wait for their time.
func (r *Registry) stopWaiting(j *Job) {
	if j.waitingAt > 0 {
		heap.Remove(&r.waiting, j.waitingAt-1)
	}
}

// CreateDue adds the occurrences that are due to the jobs that have none in memory. It looks only at
// those of which one is due. wall is the time of day.
func (r *Registry) CreateDue(wall time.Time, now time.Duration) {
	for len(r.waiting) > 0 && !wall.Before(r.waiting[0].nextDue) {
		heap.Pop(&r.waiting).(*Job).createDue(wall, now)
	}
}

// waitingJobs is a heap of the jobs without occurrences in memory, the one that is due next first.
type waitingJobs []*Job

func (w waitingJobs) Len() int           { return len(w) }
func (w waitingJobs) Less(i, k int) bool { return w[i].nextDue.Before(w[k].nextDue) }
func (w waitingJobs) Swap(i, k int) {
	w[i], w[k] = w[k], w[i]
	w[i].waitingAt, w[k].waitingAt = i+1, k+1
}

func (w *waitingJobs) Push(x any) {
	j := x.(*Job)
	*w = append(*w, j)
	j.waitingAt = len(*w)
}

func (w *waitingJobs) Pop() any {
	last := len(*w) - 1
	j := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	j.waitingAt = 0
	return j
}

// ranges is a set of numbers as ascending pairs: the first one of a range, and the one after its last.
type ranges []int

// add adds a number.
func (r *ranges) add(k int) {
	i := r.after(k)
	if i%2 == 1 {
		return // it is in a range
	}
	s := *r
	left, right := i > 0 && s[i-1] == k, i < len(s) && s[i] == k+1
	switch {
	case left && right:
		*r = slices.Delete(s, i-1, i+1)
	case left:
		s[i-1] = k + 1
	case right:
		s[i] = k
	default:
		*r = slices.Insert(s, i, k, k+1)
	}
}

// after returns how many bounds are at most k; an odd number means that k is in a range.
func (r ranges) after(k int) int {
	i, found := slices.BinarySearch(r, k)
	if found {
		i++
	}
	return i
}

func (r ranges) contains(k int) bool { return r.after(k)%2 == 1 }

// skip returns the least number from k on that is not in the set.
func (r ranges) skip(k int) int {
	if i := r.after(k); i%2 == 1 {
		return r[i]
	}
	return k
}

// count returns how many numbers are in the set.
func (r ranges) count() int {
	n := 0
	for i := 0; i < len(r); i += 2 {
		n += r[i+1] - r[i]
	}
	return n
}

// valid reports whether the pairs are ascending and within 0 to end.
func (r ranges) valid(end int) bool {
	if len(r)%2 != 0 || len(r) > 0 && (r[0] < 0 || r[len(r)-1] > end) {
		return false
	}
	for i := 1; i < len(r); i++ {
		if r[i] <= r[i-1] {
			return false
		}
	}
	return true
}
