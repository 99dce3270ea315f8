package coordinator

import (
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// The members of a gang work only while all of them run, with one run number and from one checkpoint. A
// member that waits for the others ends after the platform's gang_timeout. Therefore a gang is started as a
// whole, and once a member has no run any more the runs of the others are stopped:
//
//	all members wait -> all ordered, starts held -> all recorded, starts sent -> all run
//	      ^                                                                        |
//	      '------------- the others are stopped <---------- a member is not started, lost or ends

// reasonGang is the reason of stops of gangs of which a member has no run.
const reasonGang model.Reason = "gang_incomplete"

// mayBeginGang reports whether a step is not a gang, or one whose members can be started together: all of
// them wait.
func mayBeginGang(s *jobs.StepRun) bool {
	return !s.Spec.Gang || s.Count(jobs.Waiting) == s.Spec.Count
}

// incompleteGang reports whether a step is a gang with runs of some members that cannot become whole.
func incompleteGang(s *jobs.StepRun) bool {
	return s.Spec.Gang && s.Count(jobs.Ordered)+s.Count(jobs.Running) > 0 && !s.Whole()
}

// stopGang stops the runs of a gang that is not whole. Members whose step allows no further unavailable
// tasks are left alone: the platform ends them once the others have ended.
func (t *Term) stopGang(s *jobs.StepRun) {
	counters.Add("gangs_stopped", 1)
	for _, task := range s.Tasks {
		if task.Phase != jobs.Ordered && task.Phase != jobs.Running || !t.mayEvict(task) {
			continue
		}
		if start := t.pendingStarts[task]; start != nil && start.tries == 0 {
			t.requeueBecause(task, string(reasonGang))
			continue
		}
		t.stopRun(task, reasonGang)
	}
}

// runNumbers returns the run numbers for the starts of one scheduling run.
type runNumbers struct {
	lowest int
	gangs  map[*jobs.StepRun]int
}

func (r *runNumbers) next(task *jobs.Task) int {
	s := task.Step
	if !s.Spec.Gang {
		return task.NextRun(r.lowest)
	}
	if r.gangs == nil {
		r.gangs = map[*jobs.StepRun]int{}
	}
	if r.gangs[s] == 0 {
		r.gangs[s] = s.NextRun(r.lowest)
	}
	return r.gangs[s]
}

// startStored reports whether the store has what a successor must know of a start: the progress names its
// minion, and the lease the token of its run number. The starts of a gang count as
// stored only if all its members are in one run, and all that have not been sent can be sent: pending starts
// are visited in random order, so that members would otherwise be sent before another one is requeued in the
// same pass.
func (t *Term) startStored(task *jobs.Task, start *pendingStart, gangs map[*jobs.StepRun]bool) bool {
	s := task.Step
	if !t.runReserved(task) {
		return false
	}
	if !s.Spec.Gang {
		return s.Job.RecordedOn(start.minion.ID)
	}
	stored, known := gangs[s]
	if !known {
		stored = s.Whole()
		for _, x := range s.Tasks {
			stored = stored && (x.Phase != jobs.Ordered || s.Job.RecordedOn(x.Minion) && t.sendable(t.pendingStarts[x]))
		}
		gangs[s] = stored
	}
	return stored
}

// sendable reports whether a start, nil if none is pending, has been sent or may be sent now.
func (t *Term) sendable(start *pendingStart) bool {
	return start == nil || start.tries > 0 || start.minion.FailedPolls == 0 && t.mayStartIn(start.minion.DC)
}
