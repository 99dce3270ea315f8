package placement

import (
	"cmp"
	"slices"
)

// victim is a running task and what it frees by a throttle or a checkpoint.
type victim struct {
	task  *Task
	kind  StepKind
	frees Size
}

// throttled is what a task frees when it runs with half its cores.
func throttled(s Size) Size { return Size{Cores: s.Cores / 2} }

// victims lists the tasks of a worker that can make room, those that wait best first.
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
		// A throttled task goes on, so it is preferred to a checkpoint.
		if a.kind != b.kind {
			return cmp.Compare(b.kind, a.kind)
		}
		return cmp.Or(cmp.Compare(b.task.Class, a.task.Class), cmp.Compare(b.frees.Cores, a.frees.Cores), cmp.Compare(a.task.ID, b.task.ID))
	})
	return out
}

// maxVictims bounds the tasks that make room for one urgent task, and with it the search.
const maxVictims = 3

// fewest returns the smallest set of at most n victims that, with the free resources,
// makes room for need, or nil.
func fewest(vs []victim, need, free Size, n int) []victim {
	if need.fits(free) {
		return []victim{}
	}
	if n == 0 {
		return nil
	}
	for i, v := range vs {
		rest := slices.DeleteFunc(slices.Clone(vs[i+1:]), func(o victim) bool { return o.task == v.task })
		if set := fewest(rest, need, free.plus(v.frees), n-1); set != nil {
			return append(set, v)
		}
	}
	return nil
}

// makeRoom throttles or checkpoints the fewest tasks of one worker for an urgent task.
func (p *planner) makeRoom(t *Task) bool {
	for n := 1; n <= maxVictims; n++ {
		for _, s := range p.slots {
			if !s.Accepts || !s.accepts(t) || !t.Size.fits(s.Size) || (n > 1 && len(s.running) < n) {
				continue
			}
			if set := fewest(s.victims(), t.Size, s.free, n); set != nil {
				p.clear(t, s, set)
				return true
			}
		}
	}
	return false
}

// clear takes the victims' resources. Cores are free as soon as a task is throttled; after
// a checkpoint the urgent task waits until the room is there, and the worker is kept.
func (p *planner) clear(t *Task, s *slot, set []victim) {
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

// awaitRoom finds a worker that checkpoints under way will give enough room.
func (p *planner) awaitRoom(t *Task) bool {
	for _, s := range p.slots {
		if s.Accepts && s.leaving != (Size{}) && s.accepts(t) && t.Size.fits(s.free.plus(s.leaving)) {
			p.wait(t, ReasonPreempting, s)
			return true
		}
	}
	return false
}
