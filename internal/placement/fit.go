package placement

import (
	"slices"

	"boragepulley/internal/model"
)

// slot is a worker and its free resources while a plan is computed.
type slot struct {
	*Worker
	rack int // index of the worker's rack
	free Size
	// beingFreed is what the tasks that are being checkpointed will free.
	beingFreed Size
	running    []*Task
	probed     bool
	// reserved is set if the worker is kept free for one task. aged is set if that task is an
	// aged one: an urgent task may still use the worker if no other worker can run it.
	reserved, aged bool
}

// accepts reports whether the task may be placed on the worker, regardless of its size.
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

// choose returns the best worker with enough free resources, or nil. The order of preference
// is: the worker on which the task ran before, the rack with the fewest tasks of its queue,
// the fewest free accelerators if the task needs none, the least free resources.
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
		if best == nil || preferred(t, s, best, onRacks) {
			best = s
		}
	}
	return best
}

func preferred(t *Task, s, o *slot, onRacks []int) bool {
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

// place plans the start of the task on the worker.
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
