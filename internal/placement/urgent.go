package placement

import (
	"cmp"
	"slices"
)

// victim is a running task that may be preempted, and the resources that this frees.
type victim struct {
	task  *Task
	kind  StepKind
	frees Size
}

// throttled returns what a task of size s frees when it runs with half its cores.
func throttled(s Size) Size { return Size{Cores: s.Cores / 2} }

// victims returns the tasks of the worker that can be preempted, in order of preference.
func (s *slot) victims() []victim {
	var out []victim
	for _, t := range s.running {
		if t.Class == Urgent || t.Checkpointing {
			continue
		}
		if !t.Throttled && t.Size.Cores > 1 {
			out = append(out, victim{t, StepThrottle, throttled(t.Size)})
		}
		if t.CanCheckpoint && t.Checkpoints < MaxCheckpoints {
			frees := t.Size
			if t.Throttled {
				frees.Cores -= throttled(t.Size).Cores
			}
			out = append(out, victim{t, StepCheckpoint, frees})
		}
	}
	slices.SortStableFunc(out, func(a, b victim) int {
		// A throttled task continues to run, so throttling is preferred to a checkpoint.
		if a.kind != b.kind {
			return cmp.Compare(b.kind, a.kind)
		}
		return cmp.Or(cmp.Compare(b.task.Class, a.task.Class), cmp.Compare(b.frees.Cores, a.frees.Cores), cmp.Compare(a.task.ID, b.task.ID))
	})
	return out
}

// maxVictims limits the number of tasks that are preempted for one urgent task, and thereby
// the search.
const maxVictims = 3

// findVictims returns a set of at most n victims that together with the free resources
// satisfies need, or nil.
func findVictims(vs []victim, need, free Size, n int) []victim {
	if need.fits(free) {
		return []victim{}
	}
	if n == 0 {
		return nil
	}
	for i, v := range vs {
		rest := slices.DeleteFunc(slices.Clone(vs[i+1:]), func(o victim) bool { return o.task == v.task })
		if set := findVictims(rest, need, free.plus(v.frees), n-1); set != nil {
			return append(set, v)
		}
	}
	return nil
}

// preempt throttles or checkpoints tasks on one worker for an urgent task, as few as possible.
// It returns false if that is not possible on any worker.
func (p *planner) preempt(t *Task) bool {
	for n := 1; n <= maxVictims; n++ {
		for _, s := range p.slots {
			if !s.Accepts || !s.accepts(t) || !t.Size.fits(s.Size) || (n > 1 && len(s.running) < n) {
				continue
			}
			if set := findVictims(s.victims(), t.Size, s.free, n); set != nil {
				p.preemptOn(t, s, set)
				return true
			}
		}
	}
	return false
}

// preemptOn preempts the victims on a worker. Throttling frees cores immediately. After a
// checkpoint step, the urgent task waits until the resources are free, and the worker is
// reserved for it.
func (p *planner) preemptOn(t *Task, s *slot, set []victim) {
	now := true
	for _, v := range set {
		p.step(v.kind, v.task, s, ReasonPreempted)
		if v.kind == StepThrottle {
			v.task.Throttled = true
			s.free = s.free.plus(v.frees)
			continue
		}
		now = false
		v.task.Checkpointing = true
	}
	if now {
		p.place(t, s)
		return
	}
	p.wait(t, ReasonPreempting, s)
}

// awaitCheckpoints reserves a worker on which checkpoints in progress will free enough
// resources. It returns false if there is none.
func (p *planner) awaitCheckpoints(t *Task) bool {
	for _, s := range p.slots {
		if s.Accepts && s.beingFreed != (Size{}) && s.accepts(t) && t.Size.fits(s.free.plus(s.beingFreed)) {
			p.wait(t, ReasonPreempting, s)
			return true
		}
	}
	return false
}
