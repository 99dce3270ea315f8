package jobs

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrRecord means that a stored row is malformed or does not match the job.
var ErrRecord = errors.New("jobs: unreadable row")

// Progress is the stored progress of a job, from which a new coordinator continues. It contains
// every end of a run that was acknowledged to a minion. For a job in a final state it holds only
// that state, until the job's own row does. Its size depends on the occurrences and tasks that have
// begun and not ended, not on those that have ended.
type Progress struct {
	// Final is the job's final state, or empty. If it is set, the other fields are empty.
	Final State `json:"e,omitempty"`
	// Done has one bitmap of done tasks for each step of occurrence 0; missing ones are empty. In rows of
	// earlier versions the steps of further occurrences follow.
	Done []string `json:"d,omitempty"`
	// Ended lists ranges of ended occurrences as pairs: the first one, and the one after the last.
	Ended []int `json:"r,omitempty"`
	// Partial has the same as Done for each other occurrence with done tasks that has not ended.
	Partial map[int][]string `json:"p,omitempty"`
	// On lists the minions on which runs may be in progress.
	On []Minion `json:"o,omitempty"`
	// Failed holds the failed runs by task, as "occurrence.step.index"; those of a gang are under
	// its first task.
	Failed map[string][]int `json:"f,omitempty"`
	// FailedBits replaces Failed in rows with more than maxFailedTasks of them: by step, as
	// "occurrence.step", and run number, a bitmap of the tasks of which that run failed.
	FailedBits map[string]map[int]string `json:"b,omitempty"`
}

// maxFailedTasks is the number of tasks with failed runs up to which they are listed one by one.
const maxFailedTasks = 256

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(j *Job) ([]byte, error) {
	if j.state.Final() {
		return json.Marshal(Progress{Final: j.state})
	}
	p := Progress{On: sortedMinions(j.MayRunOn())}
	var failed failures
	p.Ended = j.ended
	for _, o := range j.live {
		if o.ended() {
			continue
		}
		p.addDone(o.index, o.steps)
		for _, s := range o.steps {
			failed.add(s)
		}
	}
	failed.addTo(&p)
	return json.Marshal(p)
}

// addDone adds the done tasks of an occurrence.
func (p *Progress) addDone(k int, steps []*StepRun) {
	var done []string
	for i, s := range steps {
		if b := s.bitmap(func(t *Task) bool { return t.Phase == Done }); b != "" {
			done = append(done, make([]string, i-len(done))...)
			done = append(done, b)
		}
	}
	switch {
	case done == nil:
	case k == 0:
		p.Done = done
	default:
		if p.Partial == nil {
			p.Partial = map[int][]string{}
		}
		p.Partial[k] = done
	}
}

// failures collects the failed runs of a job.
type failures struct {
	// steps are the steps with failed runs, tasks is the number of tasks with any.
	steps []*StepRun
	tasks int
}

func (f *failures) add(s *StepRun) {
	n := 0
	if s.Spec.Gang {
		n = min(1, len(s.FailedRuns))
	} else {
		for _, t := range s.Tasks {
			n += min(1, len(t.FailedRuns))
		}
	}
	if n > 0 {
		f.steps, f.tasks = append(f.steps, s), f.tasks+n
	}
}

func (f *failures) addTo(p *Progress) {
	if f.tasks == 0 {
		return
	}
	p.Failed = map[string][]int{}
	for _, s := range f.steps {
		name := fmt.Sprintf("%d.%d", s.Occurrence, s.Index)
		switch {
		case s.Spec.Gang:
			p.Failed[name+".0"] = s.FailedRuns
		case f.tasks <= maxFailedTasks:
			for _, t := range s.Tasks {
				if len(t.FailedRuns) > 0 {
					p.Failed[name+"."+strconv.Itoa(t.Index)] = t.FailedRuns
				}
			}
		default:
			if p.FailedBits == nil {
				p.FailedBits = map[string]map[int]string{}
			}
			p.FailedBits[name] = s.failedBits()
		}
	}
}

// failedBits returns, by run number, a bitmap of the tasks of which that run failed.
func (s *StepRun) failedBits() map[int]string {
	out := map[int]string{}
	for _, t := range s.Tasks {
		for _, run := range t.FailedRuns {
			if out[run] == "" {
				out[run] = s.bitmap(func(t *Task) bool { return slices.Contains(t.FailedRuns, run) })
			}
		}
	}
	return out
}

// bitmap returns the tasks for which f returns true as a hexadecimal bitmap without trailing zeros;
// "" if there are none.
func (s *StepRun) bitmap(f func(*Task) bool) string {
	if s.byPhase[Waiting] == s.Spec.Count && len(s.Tasks) == 0 {
		return ""
	}
	bits := make([]byte, (len(s.Tasks)+7)/8)
	for i, t := range s.Tasks {
		if f(t) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return hex.EncodeToString(bytes.TrimRight(bits, "\x00"))
}

// fromBitmap calls f for the tasks in a bitmap. Error: ErrRecord.
func (s *StepRun) fromBitmap(text string, f func(*Task)) error {
	bits, err := hex.DecodeString(text)
	if err != nil {
		return errors.Wrap(ErrRecord, err.Error())
	}
	for n := range min(8*len(bits), s.Spec.Count) {
		if bits[n/8]&(1<<(n%8)) != 0 {
			f(s.Task(n))
		}
	}
	return nil
}

// Restore applies stored progress to a job that was just added. Error: ErrRecord.
func (r *Registry) Restore(j *Job, value []byte) error {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return errors.Wrap(ErrRecord, err.Error())
	}
	j.HasProgress = true
	if j.state.Final() {
		return nil // the job's row has the final state already
	}
	if p.Final.Final() {
		j.state, j.stored.state, j.begun = p.Final, p.Final, true
		r.closed(j)
		return nil
	}
	j.stored.minions = map[Minion]bool{}
	for _, m := range p.On {
		j.stored.minions[m] = true
	}
	if err := j.restoreDone(&p); err != nil {
		return err
	}
	if err := r.restoreFailed(j, &p); err != nil {
		return err
	}
	j.begun = len(p.Done)+len(p.Ended)+len(p.Partial)+len(p.Failed)+len(p.FailedBits) > 0
	if j.begun || len(p.On) > 0 {
		// Of runs on the minions in the row it is not known yet whether they have begun. Callers may have
		// been told that the job is running.
		j.state = StateRunning
	}
	r.completeIfEnded(j, j.LearnedAt)
	return nil
}

// restoreDone marks the done tasks and the ended occurrences. Error: ErrRecord.
func (j *Job) restoreDone(p *Progress) error {
	if !ranges(p.Ended).valid(j.Spec.Occurrences()) {
		return errors.Wrapf(ErrRecord, "ended occurrences %v: the job has %d", p.Ended, j.Spec.Occurrences())
	}
	for _, o := range slices.Clone(j.live) { // occurrence 0 of a job that runs once
		if ranges(p.Ended).contains(o.index) {
			for _, s := range o.steps {
				for _, t := range s.AllTasks() {
					t.markDone()
				}
			}
		}
	}
	j.ended = p.Ended
	if len(j.live) == 0 && len(j.ended) > 0 {
		j.registry.stopWaiting(j)
		j.registry.waitForDue(j)
	}
	n := len(j.Spec.Steps)
	for i := 0; i < len(p.Done); i += n {
		if err := j.restoreOccurrence(i/n, p.Done[i:min(i+n, len(p.Done))]); err != nil {
			return err
		}
	}
	for k, done := range p.Partial {
		if err := j.restoreOccurrence(k, done); err != nil {
			return err
		}
	}
	return nil
}

// restoreOccurrence marks the done tasks of an occurrence. Error: ErrRecord.
func (j *Job) restoreOccurrence(k int, done []string) error {
	for i, text := range done {
		if text == "" {
			continue
		}
		s := j.Step(k, i)
		if s == nil {
			return errors.Wrapf(ErrRecord, "progress of occurrence %d does not match the job", k)
		}
		if err := s.fromBitmap(text, (*Task).markDone); err != nil {
			return err
		}
	}
	if o := j.liveOccurrence(k); o != nil && o.ended() {
		j.forget(o)
	}
	return nil
}

func (t *Task) markDone() {
	if t.Phase != Done {
		t.setPhase(Done)
	}
}

// restoreFailed adds the failed runs to the tasks. Error: ErrRecord.
func (r *Registry) restoreFailed(j *Job, p *Progress) error {
	for name, runs := range p.Failed {
		n, err := ParseTaskName(string(j.ID) + "." + name)
		if err != nil {
			return err
		}
		t := r.Task(n)
		if t == nil {
			return errors.Wrapf(ErrRecord, "the job has no task %q", name)
		}
		if t.Step.Spec.Gang {
			t.Step.FailedRuns = runs
		} else {
			t.FailedRuns = runs
		}
		for _, run := range runs {
			t.restoreRun(run)
		}
	}
	for name, byRun := range p.FailedBits {
		n, err := ParseTaskName(string(j.ID) + "." + name + ".0")
		if err != nil {
			return err
		}
		s := j.Step(n.Occurrence, n.Step)
		if s == nil {
			return errors.Wrapf(ErrRecord, "the job has no step %q", name)
		}
		for _, run := range slices.Sorted(maps.Keys(byRun)) {
			err := s.fromBitmap(byRun[run], func(t *Task) {
				t.FailedRuns = append(t.FailedRuns, run)
				t.restoreRun(run)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// restoreRun notes the number of an earlier run.
func (t *Task) restoreRun(run int) {
	t.Run, t.HighestRun = max(t.Run, run), max(t.HighestRun, run)
}

// TaskName is the parsed name of a task.
type TaskName struct {
	Job                     ID
	Occurrence, Step, Index int
}

// ParseTaskName parses the text of Task.Name. Error: ErrRecord.
func ParseTaskName(s string) (TaskName, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, errors.Wrapf(ErrRecord, "malformed task name %q", s)
	}
	n := TaskName{Job: ID(parts[0])}
	for i, p := range []*int{&n.Occurrence, &n.Step, &n.Index} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskName{}, errors.Wrapf(ErrRecord, "malformed task name %q", s)
		}
		*p = v
	}
	return n, nil
}
