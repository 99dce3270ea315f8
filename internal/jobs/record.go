package jobs

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrRecord means that a stored row cannot be read.
var ErrRecord = errors.New("jobs: unreadable row")

// Progress is the stored form of what a successor must know about a job beside its row:
// every end that a minion was told is noted is in it. Of a job in a final state it is the
// state, until the job's row says it.
type Progress struct {
	// Final is the job's final state, empty before; nothing else is set then.
	Final State `json:"e,omitempty"`
	// Done has a bitmap in hexadecimal for each step run, in the order of Job.Steps.
	Done []string `json:"d,omitempty"`
	// On are the minions on which runs may be going on.
	On []Minion `json:"o,omitempty"`
	// Failed lists failed runs by "occurrence.step.index"; a gang's under its first task.
	Failed map[string][]int `json:"f,omitempty"`
}

// EncodeProgress returns the progress of a job.
func EncodeProgress(j *Job) ([]byte, error) {
	if j.state.Final() {
		return json.Marshal(Progress{Final: j.state})
	}
	p := Progress{On: minionList(j.MayRunOn())}
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

func (s *StepRun) bitmap() string {
	if s.done == 0 {
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
func (b *Registry) Restore(j *Job, value []byte) error {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return errors.Wrap(ErrRecord, err.Error())
	}
	j.HasProgress = true
	if j.state.Final() {
		return nil // its row says so already
	}
	if p.Final.Final() {
		j.state, j.stored.state, j.begun, j.EndedAt = p.Final, p.Final, true, j.LearnedAt
		delete(b.open, j.ID)
		return nil
	}
	j.stored.on = map[Minion]bool{}
	for _, m := range p.On {
		j.stored.on[m] = true
	}
	for i, text := range p.Done {
		if i >= len(j.Steps) {
			return errors.Wrap(ErrRecord, "more steps than the job has")
		}
		bits, err := hex.DecodeString(text)
		if err != nil {
			return errors.Wrap(ErrRecord, err.Error())
		}
		s := j.Steps[i]
		for n, t := range s.Tasks {
			if n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0 && t.Phase != Done {
				t.Phase = Done
				s.done++
			}
		}
	}
	for name, runs := range p.Failed {
		n, err := ParseTaskName(string(j.ID) + "." + name)
		if err != nil {
			return err
		}
		t := b.Task(n)
		if t == nil {
			return errors.Wrapf(ErrRecord, "no task %s", name)
		}
		if t.Step.Spec.Gang {
			t.Step.FailedRuns = runs
		} else {
			t.FailedRuns = runs
		}
		for _, r := range runs {
			t.Run = max(t.Run, r)
		}
	}
	if len(p.Done) > 0 || len(p.Failed) > 0 || len(p.On) > 0 {
		j.state, j.begun = StateRunning, true
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
		return TaskName{}, errors.Wrapf(ErrRecord, "task name %q", s)
	}
	n := TaskName{Job: ID(parts[0])}
	for i, p := range []*int{&n.Occurrence, &n.Step, &n.Index} {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskName{}, errors.Wrapf(ErrRecord, "task name %q", s)
		}
		*p = v
	}
	return n, nil
}
