package control

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/placement"
)

// planTasks runs a planning round if something has changed, at most once every
// minTaskPlanInterval.
func (c *Control) planTasks(now time.Time) {
	coord := c.coord
	ts := &coord.tasks
	if !ts.planNeeded || !ts.loaded || coord.local || now.Sub(ts.lastPlan) < minTaskPlanInterval || c.shuttingDown || !c.lease.usable() {
		return
	}
	ts.planNeeded, ts.lastPlan = false, now
	c.reportTaskCounts()
	plan := placement.NewPlan(c.taskSnapshot(now))
	for _, s := range plan.Steps {
		if t := ts.all[s.Task]; t != nil {
			c.applyPlacementStep(t, s)
		}
	}
	for _, w := range plan.Waiting {
		t := ts.all[w.Task]
		if t == nil || t.waitReason == w.Reason {
			continue
		}
		t.waitReason = w.Reason
		c.log.Info().Str("job", string(t.job)).Str("team", string(t.row.Request.Team)).Str("worker", string(w.Worker)).
			Str("reason", string(w.Reason)).Msg("task waits")
	}
	c.reportTaskCounts()
}

func (c *Control) applyPlacementStep(t *task, s placement.Step) {
	taskOps.Add("plan_"+string(s.Kind), 1)
	c.log.Info().Str("job", string(t.job)).Str("team", string(t.row.Request.Team)).Str("queue", string(t.row.Request.Queue)).
		Str("worker", string(s.Worker)).Str("reason", string(s.Reason)).Msg("placement " + string(s.Kind))
	switch s.Kind {
	case placement.StepStart:
		c.placeTask(t, s)
	case placement.StepThrottle:
		c.throttleTask(t, true)
	case placement.StepUnthrottle:
		c.throttleTask(t, false)
	case placement.StepCheckpoint:
		c.checkpointTask(t)
	case placement.StepRefuse:
		c.endTask(t, c.resultWithoutRun(t, model.ReasonTooLarge, "the task is larger than every worker of the data centre"), nil)
	}
}

// taskSnapshot returns the input of the planner.
func (c *Control) taskSnapshot(now time.Time) placement.Snapshot {
	ts := &c.coord.tasks
	s := placement.Snapshot{Now: now}
	largest := placement.Size{}
	for _, w := range c.cfg.index.Workers {
		if w.DC != c.self.DC {
			continue
		}
		size := placement.Size{Cores: w.Cores, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators}
		largest = placement.Size{Cores: max(largest.Cores, size.Cores), MemoryMB: max(largest.MemoryMB, size.MemoryMB),
			Accelerators: max(largest.Accelerators, size.Accelerators)}
		s.Workers = append(s.Workers, placement.Worker{Name: w.Name, Rack: w.Rack, Size: size,
			Accepts: !now.Before(ts.worker(w.Name).downUntil)})
	}
	ts.health.Apply(now, s.Workers)
	for _, t := range ts.active {
		p := c.plannerTask(t)
		p.Worker, p.Size = t.row.Worker, placementSizeOf(t.row.Reserved)
		s.Tasks = append(s.Tasks, p)
	}
	for _, t := range ts.waiting {
		p := c.plannerTask(t)
		p.Size = ts.sizes.Estimate(taskKindOf(t), placementSizeOf(t.row.Declared), largest)
		s.Tasks = append(s.Tasks, p)
	}
	for _, tm := range c.cfg.index.Teams {
		room, fleet := c.coord.admission.TeamHeadroom(tm.Name)
		s.Teams = append(s.Teams, placement.Team{Name: tm.Name, Share: tm.Share, Headroom: room, Running: fleet})
	}
	return s
}

func (c *Control) plannerTask(t *task) placement.Task {
	q := t.row.Request
	p := placement.Task{
		ID: t.job, Team: q.Team, Queue: q.Queue, Class: c.classOf(q), Submitted: q.Accepted, Deadline: q.Deadline,
		Avoid: t.row.Avoid, Checkpoints: t.row.Checkpoints, Throttled: t.throttled,
		// Only an attempt that is known to be running can be checkpointed. A non-idempotent
		// task is not checkpointed, because its state would be unknown if the answer were
		// lost.
		CanCheckpoint: t.row.CanCheckpoint && q.Idempotent && t.confirmed,
		Checkpointing: t.checkpointing,
	}
	if len(t.row.Checkpoint) > 0 {
		p.LastWorker = t.row.Worker
	}
	return p
}

func (c *Control) classOf(q model.Request) placement.Class {
	queue := c.cfg.index.Queue(q.Queue)
	switch {
	case q.Priority == model.PriorityUrgent:
		return placement.Urgent
	case queue != nil && queue.Deferrable:
		return placement.Deferrable
	}
	return placement.Normal
}

func taskKindOf(t *task) placement.TaskKind {
	return placement.TaskKind{Team: t.row.Request.Team, Queue: t.row.Request.Queue}
}

func placementSizeOf(s model.TaskSize) placement.Size {
	return placement.Size{Cores: s.Cores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// keyValid reports whether the key with which a task was submitted is still valid for its
// queue.
func keyValid(x *config.Index, r model.Request) bool {
	q := x.Queue(r.Queue)
	if q != nil && q.Open || r.KeyID == "" {
		return true
	}
	k := x.Key(r.KeyID)
	return k != nil && k.Team == r.Team
}

// endWithdrawnTasks ends the waiting tasks whose key was withdrawn.
func (c *Control) endWithdrawnTasks() {
	ts := &c.coord.tasks
	ts.planNeeded = true
	for _, t := range ts.waiting {
		if !keyValid(c.cfg.index, t.row.Request) {
			c.endTask(t, c.resultWithoutRun(t, model.ReasonKeyWithdrawn, "the key was withdrawn while the task waited"), nil)
		}
	}
}
