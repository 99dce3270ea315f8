package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/sitestatus"
)

// Status returns the state of the term for operators, or nil if it is over or does not answer.
func (t *Term) Status(ctx context.Context) *sitestatus.Term {
	out, err := ask(ctx, t, t.status)
	if err != nil {
		return nil // the term is over, or too busy to answer in time
	}
	return out
}

func (t *Term) status() *sitestatus.Term {
	s := &sitestatus.Term{
		Epoch: t.epoch, AgeMS: (t.now - t.startedAt).Milliseconds(), Loaded: t.loaded,
		LeaseLeftMS: (t.leaseUntil - t.now).Milliseconds(), OrdersLeftMS: (t.exclusiveUntil() - t.now).Milliseconds(),
		OpenJobs: len(t.registry.Open()), UnstoredJobs: len(t.registry.Unsaved()),
	}
	for _, m := range t.minions {
		s.Minions = append(s.Minions, t.minionStatus(m))
	}
	slices.SortFunc(s.Minions, func(a, b sitestatus.Minion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	s.Services = t.serviceStatus(s.Minions)
	for id, r := range t.waves.runs {
		s.Waves = append(s.Waves, t.waveStatusOf(id, r))
	}
	slices.SortFunc(s.Waves, func(a, b sitestatus.Wave) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

func (t *Term) minionStatus(m *holding.Minion) sitestatus.Minion {
	age := int64(-1)
	if m.LastReply != 0 {
		age = (t.now - m.LastReply).Milliseconds()
	}
	return sitestatus.Minion{ID: m.ID, Service: m.Service, State: t.minionState(m), Tasks: len(m.Tasks), ReplyAgeMS: age, RunsLeftMS: (m.RunsExpireAt - t.now).Milliseconds()}
}

func (t *Term) minionState(m *holding.Minion) sitestatus.MinionState {
	switch {
	case m.FailedPolls > 0:
		return sitestatus.MinionSilent
	case m.Leaving:
		return sitestatus.MinionLeaving
	case m.Cordoned:
		return sitestatus.MinionCordoned
	case t.evacuated(m.DC):
		return sitestatus.MinionEvacuated
	case !t.usable(m):
		return sitestatus.MinionUnknown
	case m.Draining:
		return sitestatus.MinionDraining
	}
	return sitestatus.MinionUsable
}

// serviceStatus sums up the minions, moves and waiting tasks of each service.
func (t *Term) serviceStatus(minions []sitestatus.Minion) []sitestatus.Service {
	services := map[model.Service]*sitestatus.Service{}
	of := func(name model.Service) *sitestatus.Service {
		if services[name] == nil {
			services[name] = &sitestatus.Service{Name: name}
		}
		return services[name]
	}
	for _, m := range minions {
		of(m.Service).Minions++
		if m.State == sitestatus.MinionUsable {
			of(m.Service).Usable++
		}
	}
	for _, mv := range t.machines.moves {
		of(mv.to).Moving++
	}
	t.eachLive("counting the waiting tasks of a job", func(j *jobs.Job) {
		for _, step := range j.CurrentSteps() {
			if step.Open {
				of(t.queueOf(j).Service).WaitingTasks += step.Count(jobs.Waiting)
			}
		}
	})
	out := make([]sitestatus.Service, 0, len(services))
	for _, s := range services {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b sitestatus.Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (t *Term) waveStatusOf(id int64, r *waveRun) sitestatus.Wave {
	w := sitestatus.Wave{ID: id, AgeMS: (t.now - r.startedAt).Milliseconds()}
	for _, machine := range r.machines {
		switch machine.state {
		case maintenanceDue:
			w.Due++
		case maintenanceDraining:
			w.Draining++
		case maintenanceOrdered, maintenanceDown:
			w.Down++
		case maintenanceDone:
			w.Done++
		}
	}
	return w
}

// Job returns the term's view of a job for operators. ok is false if the term is over, has not
// loaded its state, or does not know the job.
func (t *Term) Job(ctx context.Context, id jobs.ID) (out sitestatus.Job, ok bool) {
	job, err := ask(ctx, t, func() *sitestatus.Job {
		if j := t.registry.Get(id); t.loaded && j != nil {
			return t.jobStatus(j)
		}
		return nil
	})
	if err != nil || job == nil {
		return out, false
	}
	return *job, true
}

// maxStatusTasks bounds the tasks in a job's status that wait and have never begun.
const maxStatusTasks = 1000

func (t *Term) jobStatus(j *jobs.Job) *sitestatus.Job {
	out := &sitestatus.Job{Job: j.ID, Entry: t.deps.Self.Entry, Epoch: t.epoch, State: j.State(), Stored: !j.Unsaved(),
		Queue: j.Queue, Team: j.Team, KnownMS: (t.now - j.LearnedAt).Milliseconds(), Occurrences: j.Spec.Occurrences(), EndedOccurrences: j.EndedOccurrences()}
	for _, s := range j.LiveSteps() {
		if more := min(s.Spec.Count, maxStatusTasks-len(out.Tasks)); more > len(s.Tasks) {
			s.Task(more - 1)
		}
		out.NotListed += s.Unseen()
		for _, task := range s.Tasks {
			x := sitestatus.Task{Name: task.Name(), Phase: task.Phase.String(), Run: task.Run, SinceMS: (t.now - task.PhaseSince).Milliseconds(),
				FailedRuns: max(len(task.FailedRuns), len(s.FailedRuns)), Waits: t.waitsFor(task)}
			if task.Active() {
				x.Minion = task.Minion
				if m := t.minions[task.Minion]; m != nil {
					x.MinionState = t.minionState(m)
				}
			}
			out.Tasks = append(out.Tasks, x)
		}
	}
	return out
}

// waitsFor tells why a task is not running, or why its run is being stopped; "" if neither holds.
func (t *Term) waitsFor(task *jobs.Task) string {
	s := task.Step
	switch {
	case task.Phase == jobs.Stopping:
		return "stopping: " + string(task.StopReason)
	case task.Phase == jobs.Ordered && !s.Job.RecordedOn(task.Minion):
		return "start held back until it is stored that the job may run on this minion"
	case task.Phase == jobs.Ordered:
		return "start sent, no answer yet"
	case task.Phase != jobs.Waiting || s.Job.State().Final():
		return ""
	case !s.Open:
		return "earlier steps have not ended, or its time has not come"
	case s.Job.Inherited:
		return "runs ordered by earlier coordinators are not all known"
	case t.teamLimited[s] > 0:
		return "limit of the team"
	}
	return t.placementBlockersOf(s, t.queueOf(s.Job).Service).String()
}

// String lists the numbers of minions that are not 0.
func (b placementBlockers) String() string {
	out := "minions of the service:"
	for _, x := range []struct {
		name string
		n    int
	}{{"cordoned", b.Cordoned}, {"leaving", b.Leaving}, {"silent", b.Silent}, {"unknown", b.Unknown}, {"label", b.Label},
		{"step_limit", b.StepLimit}, {"full", b.Full}, {"free", b.Free}} {
		if x.n > 0 {
			out += fmt.Sprintf(" %s %d", x.name, x.n)
		}
	}
	return out
}
