package coordinator

import (
	"time"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

const (
	// waitLogInterval is how often the long-running tasks that are not running are logged.
	waitLogInterval = time.Second
	// minLoggedWait is how long a long-running task must not have been running to be logged.
	minLoggedWait = 500 * time.Millisecond
	// maxWaitLines is how many steps are logged per waitLogInterval.
	maxWaitLines = 20
)

// placementBlockers counts the minions of a service by what keeps them from taking one more task of
// a step. A minion counts once, under the first cause that applies.
type placementBlockers struct {
	// Cordoned, Leaving and Silent minions get no new work; Unknown ones have not been polled, are
	// not recorded, or are no longer listed.
	Cordoned int `json:"cordoned"`
	// Evacuated minions are in a data centre that an operator evacuates.
	Evacuated int `json:"evacuated,omitempty"`
	Leaving   int `json:"leaving"`
	Silent    int `json:"silent"`
	Unknown   int `json:"unknown"`
	// Label and StepLimit are constraints of the step; Full minions lack CPU, memory or accelerators.
	Label     int `json:"label"`
	StepLimit int `json:"step_limit"`
	Full      int `json:"full"`
	// Free minions could take the task.
	Free int `json:"free"`
}

// placementBlockersOf counts the minions of a service for a step.
func (t *Term) placementBlockersOf(s *jobs.StepRun, svc model.Service) placementBlockers {
	var b placementBlockers
	for _, m := range t.minions {
		if m.Service == svc {
			b.add(t, m, s)
		}
	}
	return b
}

func (b *placementBlockers) add(t *Term, m *holding.Minion, s *jobs.StepRun) {
	ofStep := 0
	for task := range m.Tasks {
		if task.Step == s {
			ofStep++
		}
	}
	spec := s.Spec
	switch {
	case m.FailedPolls > 0:
		b.Silent++
	case m.Leaving:
		b.Leaving++
	case m.Cordoned:
		b.Cordoned++
	case t.evacuated(m.DC):
		b.Evacuated++
	case !t.usable(m):
		b.Unknown++
	case spec.Label != "" && spec.Label != m.Kind && spec.Label != string(m.Rack):
		b.Label++
	case spec.MaxPerMinion > 0 && ofStep >= spec.MaxPerMinion:
		b.StepLimit++
	case !spec.Reserved().Fits(m.Capacity.Sub(m.Used)):
		b.Full++
	default:
		b.Free++
	}
}

// stepWait is what is known of the tasks of a long-running step that are not running.
type stepWait struct {
	// waiting, ordered and stopping count the tasks by phase.
	waiting, ordered, stopping int
	// longest is the age of the oldest of these phases.
	longest time.Duration
	// silent counts the tasks whose minion does not answer, whatever their phase.
	silent int
}

// stepWaitOf returns the wait of an open long-running step.
func (t *Term) stepWaitOf(s *jobs.StepRun) stepWait {
	w := stepWait{waiting: s.Unseen()}
	if w.waiting > 0 {
		w.longest = t.now - s.DueAt()
	}
	for _, task := range s.Tasks {
		if m := t.minions[task.Minion]; m != nil && m.FailedPolls > 0 {
			w.silent++
		}
		switch task.Phase {
		case jobs.Waiting:
			w.waiting++
		case jobs.Ordered:
			w.ordered++
		case jobs.Stopping:
			w.stopping++
		default:
			continue
		}
		w.longest = max(w.longest, t.now-task.PhaseSince)
	}
	return w
}

// reportWaits logs the long-running steps with tasks that are not running, and publishes their
// number and the longest wait.
func (t *Term) reportWaits() {
	if t.now < t.nextWaitReport {
		return
	}
	t.nextWaitReport = t.now + waitLogInterval
	tasks, lines, longest := 0, 0, time.Duration(0)
	t.eachLive("reporting the waits of a job", func(j *jobs.Job) {
		if !j.Spec.LongRunning() {
			return
		}
		for _, s := range j.CurrentSteps() {
			if !s.Spec.LongRunning || !s.Open {
				continue
			}
			w := t.stepWaitOf(s)
			if w.longest < minLoggedWait {
				continue
			}
			tasks += w.waiting + w.ordered + w.stopping
			longest = max(longest, w.longest)
			if lines++; lines <= maxWaitLines {
				t.logWait(s, w)
			}
		}
	})
	if lines > maxWaitLines {
		t.log.Info().Int("steps", lines-maxWaitLines).Msg("Coordinator: further long-running steps wait.")
	}
	setGauge("long_running_waiting", int64(tasks))
	setGauge("long_running_longest_wait_ms", longest.Milliseconds())
}

func (t *Term) logWait(s *jobs.StepRun, w stepWait) {
	svc := t.queueOf(s.Job).Service
	t.log.Info().Str("job", string(s.Job.ID)).Int("step", s.Index).Str("service", string(svc)).Str("team", string(s.Job.Team)).
		Int("waiting", w.waiting).Int("ordered", w.ordered).Int("stopping", w.stopping).Int("on_silent_minions", w.silent).Int("over_team_limit", t.teamLimited[s]).
		Dur("longest", w.longest).Bool("inherited", s.Job.Inherited).Int64("cpu", s.Spec.Need.CPU).Int64("memory_mb", s.Spec.Need.MemoryMB).
		Interface("minions", t.placementBlockersOf(s, svc)).Msg("Coordinator: long-running step waits.")
}
