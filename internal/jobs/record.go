package jobs

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrRecord means that a stored row is malformed or does not match the job.
var ErrRecord = errors.New("jobs: unreadable row")

// Progress is the stored progress of a job, from which a new coordinator continues. It contains
// every end of a run that was acknowledged to a minion. For a job in a final state it holds only
// that state, until the job's own row does.
type Progress struct {
	// Final is the job's final state, or empty. If it is set, the other fields are empty.
	Final State `json:"e,omitempty"`
	// Done has one hexadecimal bitmap of done tasks for each StepRun, in the order of Job.Steps.
	Done []string `json:"d,omitempty"`
	// On lists the minions on which runs may be in progress.
	On []Minion `json:"o,omitempty"`
	// Failed holds the failed runs by task, as "occurrence.step.index"; those of a gang are under
	// its first task.
	Failed map[string][]int `json:"f,omitempty"`
}

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(j *Job) ([]byte, error) {
	if j.state.Final() {
		return json.Marshal(Progress{Final: j.state})
	}
	p := Progress{On: sortedMinions(j.MayRunOn())}
	for _, s := range j.Steps {
		p.Done = append(p.Done, s.bitmap())
		for _, t := range s.Tasks {
			runs := t.FailedRuns
			if s.Spec.Gang && t.Index == 0 {
				runs = s.FailedRuns
			}
			if len(runs) > 0 {
				if p.Failed == nil {
					p.Failed = map[string][]int{}
				}
				p.Failed[fmt.Sprintf("%d.%d.%d", s.Occurrence, s.Index, t.Index)] = runs
			}
		}
	}
	return json.Marshal(p)
}

// bitmap returns the done tasks as a hexadecimal bitmap, or "" if there are none.
func (s *StepRun) bitmap() string {
	if s.Count(Done) == 0 {
		return ""
	}
	bits := make([]byte, (len(s.Tasks)+7)/8)
	for i, t := range s.Tasks {
		if t.Phase == Done {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return hex.EncodeToString(bits)
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
		j.state, j.stored.state, j.started = p.Final, p.Final, true
		delete(r.open, j.ID)
		return nil
	}
	j.stored.minions = map[Minion]bool{}
	for _, m := range p.On {
		j.stored.minions[m] = true
	}
	for i, text := range p.Done {
		if i >= len(j.Steps) {
			return errors.Wrap(ErrRecord, "progress has more steps than the job")
		}
		bits, err := hex.DecodeString(text)
		if err != nil {
			return errors.Wrap(ErrRecord, err.Error())
		}
		s := j.Steps[i]
		for n, t := range s.Tasks {
			if n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0 && t.Phase != Done {
				t.setPhase(Done)
			}
		}
	}
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
			t.Run = max(t.Run, run)
		}
	}
	if len(p.Done) > 0 || len(p.Failed) > 0 || len(p.On) > 0 {
		j.state, j.started = StateRunning, true
	}
	return nil
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
