package fleet

import (
	"fmt"
	"strings"
	"time"

	"boragepulley/internal/jobs"
)

// checkpointInterval is how much work of a gang yields a new checkpoint.
const checkpointInterval = 500 * time.Millisecond

// gangs is the state of the gangs of a site. Its fields are guarded by Minions.mu.
type gangs struct {
	// size returns the number of tasks of the gang that a task belongs to, 0 for none. The tasks of a
	// gang are those of one step.
	size func(task string) int
	// timeout is how long a member waits for the others.
	timeout time.Duration
	// checkpoints are those that were listed, by gang.
	checkpoints map[string]map[string]bool
}

// SetGangs makes tasks members of gangs: size returns the number of tasks of the gang that a task belongs
// to, 0 for none. A member waits for timeout for the others.
func (s *Minions) SetGangs(size func(task string) int, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gangs = gangs{size, timeout, map[string]map[string]bool{}}
}

// gangOf returns the name of a task's gang, or "".
func (s *Minions) gangOf(task string) string {
	if s.gangs.size == nil || s.gangs.size(task) == 0 {
		return ""
	}
	return task[:strings.LastIndex(task, ".")]
}

// gangTasks returns the tasks of the gang that a task belongs to.
func (s *Minions) gangTasks(task string) (out []string) {
	gang := s.gangOf(task)
	if gang == "" {
		return nil
	}
	for i := range s.gangs.size(task) {
		out = append(out, fmt.Sprintf("%s.%d", gang, i))
	}
	return out
}

// member is a run of a gang.
type member struct {
	on  *Minion
	run *run
}

// members returns the runs of a gang with a run number.
func (s *Minions) members(gang string, no int) (out []member) {
	for _, m := range s.all {
		if m.Down {
			continue
		}
		for _, r := range m.runs {
			if r.gang == gang && r.no == no {
				out = append(out, member{m, r})
			}
		}
	}
	return out
}

// gangBegan lets a gang begin once all of its members run with one run number.
func (s *Minions) gangBegan(r *run, takes time.Duration) {
	if known := s.gangs.checkpoints[r.gang]; r.checkpoint != "" && !known[r.checkpoint] {
		s.violations = append(s.violations, fmt.Sprintf("%s run %d begins with a checkpoint that is not the gang's", r.task, r.no))
	}
	r.ends = time.Time{}
	all := s.members(r.gang, r.no)
	for _, x := range all {
		if x.run.checkpoint != r.checkpoint {
			s.violations = append(s.violations, fmt.Sprintf("%s run %d begins with another checkpoint than %s", r.task, r.no, x.run.task))
		}
	}
	if len(all) < s.gangs.size(r.task) {
		return
	}
	for _, x := range all {
		x.run.complete = time.Now()
		if takes > 0 {
			x.run.ends = x.run.complete.Add(takes)
		}
	}
}

// gangEnded ends the other members of a gang, one of which has ended.
func (s *Minions) gangEnded(r *run, at time.Time) {
	for _, x := range s.members(r.gang, r.no) {
		if x.on.runs[x.run.task] == x.run {
			s.end(x.on, x.run, jobs.EndGangBroken, at)
		}
	}
}

// waitsTooLong reports whether a run has waited for the other members of its gang for too long.
func (s *Minions) waitsTooLong(r *run, now time.Time) bool {
	return r.gang != "" && r.complete.IsZero() && now.After(r.began.Add(s.gangs.timeout))
}

// checkpointOf returns a run's present checkpoint. Each member has its own.
func (s *Minions) checkpointOf(r *run, at time.Time) string {
	if r.gang == "" {
		return ""
	}
	steps := 0
	if !r.complete.IsZero() {
		steps = int(at.Sub(r.complete) / checkpointInterval)
	}
	if steps == 0 {
		return r.checkpoint
	}
	text := fmt.Sprintf("%s/%d/%d", r.task, r.no, steps)
	if s.gangs.checkpoints[r.gang] == nil {
		s.gangs.checkpoints[r.gang] = map[string]bool{}
	}
	s.gangs.checkpoints[r.gang][text] = true
	return text
}
