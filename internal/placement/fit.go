package placement

import (
	"slices"

	"boragepulley/internal/model"
)

// slot is a worker with its free resources during a plan.
type slot struct {
	*Worker
	rack int // index of the worker's rack
	free Size
	// leaving is what tasks that are being checkpointed will free.
	leaving Size
	running []*Task
	probed  bool
	// reserved is set if the worker is kept for one task, and aged if that task is only
	// aged: then an urgent task may still take it if no other worker can run it.
	reserved, aged bool
}

// accepts reports whether the worker may get the task at all.
func (s *slot) accepts(t *Task) bool {
	if (s.reserved && !(s.aged && t.lastResort)) || slices.Contains(t.Avoid, s.Name) {
		return false
	}
	return s.Accepts || (s.Probe && !s.probed && len(s.running) == 0 && t.Class != Urgent)
}

// onRacks returns the number of tasks of a queue on each rack.
func (p *planner) onRacks(q model.Queue) []int {
	row := p.spread[q]
	if row == nil {
		row = make([]int, len(p.racks))
		p.spread[q] = row
	}
	return row
}

// choose returns the best worker with room, or nil: where the task ran before, then on
// the rack with the fewest tasks of its queue, then without using up accelerators it does
// not need, then with the least room left over.
func (p *planner) choose(t *Task) *slot {
	var best *slot
	onRacks := p.onRacks(t.Queue)
	for _, s := range p.slots {
		if !t.Size.fits(s.free) || !s.accepts(t) {
			continue
		}
		if s.Name == t.LastWorker {
			return s
		}
		if best == nil || better(t, s, best, onRacks) {
			best = s
		}
	}
	return best
}

func better(t *Task, s, o *slot, onRacks []int) bool {
	a, b := onRacks[s.rack], onRacks[o.rack]
	if a != b {
		return a < b
	}
	if t.Size.Accelerators == 0 && s.free.Accelerators != o.free.Accelerators {
		return s.free.Accelerators < o.free.Accelerators
	}
	if s.free.Cores != o.free.Cores {
		return s.free.Cores < o.free.Cores
	}
	return s.free.MemoryMB < o.free.MemoryMB
}

// place starts the task on the worker.
func (p *planner) place(t *Task, s *slot) {
	reason := ReasonPlaced
	if s.Name == t.LastWorker {
		reason = ReasonSameWorker
	}
	p.step(StepStart, t, s, reason)
	s.free = s.free.minus(t.Size)
	s.probed = true
	p.onRacks(t.Queue)[s.rack]++
	if tm := p.teams[t.Team]; tm != nil {
		tm.Headroom--
		tm.Running++
	}
}
