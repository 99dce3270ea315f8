package placement

import (
	"cmp"
	"slices"

	"boragepulley/internal/model"
)

// planner holds the intermediate results while a plan is computed.
type planner struct {
	s      *Snapshot
	plan   Plan
	slots  []*slot
	byName map[model.Worker]*slot
	teams  map[model.Team]*Team
	racks  map[model.Rack]int
	// spread counts running tasks by queue and rack.
	spread map[model.Queue][]int
	// tooLarge lists sizes that did not fit on any worker. Free resources only shrink while
	// these are used, so tasks of the same or a larger size do not fit either.
	tooLarge []Size
}

// NewPlan computes the plan for a snapshot, which it does not change. Running tasks are only
// preempted for urgent ones. The oldest aged task comes first: it starts, or a worker is
// reserved for it, so that large and deferrable tasks are not starved. Urgent tasks come next,
// then the other tasks, starting with the team with the lowest ratio of running work to share.
func NewPlan(snapshot Snapshot) Plan {
	s := snapshot
	s.Tasks, s.Teams = slices.Clone(s.Tasks), slices.Clone(s.Teams)
	p := &planner{s: &s, byName: make(map[model.Worker]*slot), teams: make(map[model.Team]*Team), spread: make(map[model.Queue][]int), racks: make(map[model.Rack]int)}
	waiting := p.load()
	waiting = p.refuse(waiting)
	waiting = p.reserve(waiting)
	waiting = p.urgent(waiting)
	p.fair(waiting)
	p.unthrottle()
	return p.plan
}

func (p *planner) step(k StepKind, t *Task, s *slot, r Reason) {
	st := Step{Kind: k, Task: t.ID, Reason: r}
	if s != nil {
		st.Worker = s.Name
	}
	p.plan.Steps = append(p.plan.Steps, st)
}

// wait records why the task waits. If s is not nil, the worker is reserved for the task in
// this plan.
func (p *planner) wait(t *Task, r Reason, s *slot) {
	w := Waiting{Task: t.ID, Reason: r}
	if s != nil {
		w.Worker, s.reserved, s.aged = s.Name, true, false
	}
	p.plan.Waiting = append(p.plan.Waiting, w)
}

// load assigns the running tasks to their workers and returns the waiting ones, ordered by
// class, deadline and submission.
func (p *planner) load() []*Task {
	for i := range p.s.Workers {
		s := &slot{Worker: &p.s.Workers[i], free: p.s.Workers[i].Size}
		if _, ok := p.racks[s.Rack]; !ok {
			p.racks[s.Rack] = len(p.racks)
		}
		s.rack = p.racks[s.Rack]
		p.slots = append(p.slots, s)
		p.byName[s.Name] = s
	}
	for i := range p.s.Teams {
		p.teams[p.s.Teams[i].Name] = &p.s.Teams[i]
	}
	var waiting []*Task
	for i := range p.s.Tasks {
		t := &p.s.Tasks[i]
		if t.Worker == "" {
			waiting = append(waiting, t)
		} else if s := p.byName[t.Worker]; s != nil {
			p.run(t, s)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), a.Deadline.Compare(b.Deadline), a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return waiting
}

func (p *planner) run(t *Task, s *slot) {
	used := t.Size
	if t.Throttled {
		used = used.minus(throttled(t.Size))
	}
	s.free = s.free.minus(used)
	if t.Checkpointing {
		s.beingFreed = s.beingFreed.plus(used)
	}
	s.running = append(s.running, t)
	p.onRacks(t.Queue)[s.rack]++
}

// refuse refuses tasks that are larger than every worker, including workers that do not
// accept tasks now. The remaining tasks are returned.
func (p *planner) refuse(waiting []*Task) []*Task {
	return slices.DeleteFunc(waiting, func(t *Task) bool {
		for _, s := range p.slots {
			if t.Size.fits(s.Size) {
				return false
			}
		}
		if len(p.slots) > 0 {
			p.step(StepRefuse, t, nil, ReasonTooLarge)
		}
		return len(p.slots) > 0
	})
}

// hasHeadroom reports whether the task's team may start a task. Tasks without a team are not
// limited.
func (p *planner) hasHeadroom(t *Task) bool {
	tm := p.teams[t.Team]
	return t.Team == "" || (tm != nil && tm.Headroom > 0)
}

// reserve starts the oldest aged task, or reserves the worker for it that is closest to having
// enough free resources. Since no other task starts there, the next plans choose the same
// worker.
func (p *planner) reserve(waiting []*Task) []*Task {
	var oldest *Task
	for _, t := range waiting {
		if p.s.Now.Sub(t.Submitted) > AgingThreshold && p.hasHeadroom(t) && (oldest == nil || t.Submitted.Before(oldest.Submitted)) {
			oldest = t
		}
	}
	if oldest == nil {
		return waiting
	}
	if s := p.choose(oldest); s != nil {
		p.place(oldest, s)
	} else if s := p.closest(oldest); s != nil {
		p.wait(oldest, ReasonReserved, s)
		s.aged = true
	} else {
		return waiting
	}
	return slices.DeleteFunc(waiting, func(t *Task) bool { return t == oldest })
}

// closest returns the accepting worker that lacks the smallest fraction of the task's size.
func (p *planner) closest(t *Task) *slot {
	var best *slot
	smallest := 0.0
	for _, s := range p.slots {
		if !s.Accepts || !s.accepts(t) || !t.Size.fits(s.Size) {
			continue
		}
		lack := missing(t.Size.Cores, s.free.Cores) + missing(t.Size.MemoryMB, s.free.MemoryMB) + missing(t.Size.Accelerators, s.free.Accelerators)
		if best == nil || lack < smallest {
			best, smallest = s, lack
		}
	}
	return best
}

// missing returns the fraction of need that is not free.
func missing(need, free int) float64 {
	if need <= free {
		return 0
	}
	return float64(need-free) / float64(need)
}

// urgent starts urgent tasks, preempting other tasks if necessary, and returns the tasks that
// are not urgent.
func (p *planner) urgent(waiting []*Task) []*Task {
	rest := make([]*Task, 0, len(waiting))
	for _, t := range waiting {
		if t.Class != Urgent {
			rest = append(rest, t)
			continue
		}
		if !p.hasHeadroom(t) {
			p.wait(t, ReasonAllotmentUsed, nil)
		} else if !p.startUrgent(t) {
			t.lastResort = true
			if !p.startUrgent(t) {
				t.lastResort = false
				p.wait(t, ReasonNoCapacity, p.closest(t))
			}
		}
	}
	return rest
}

// startUrgent starts an urgent task, or preempts other tasks for it.
func (p *planner) startUrgent(t *Task) bool {
	if s := p.choose(t); s != nil {
		p.place(t, s)
		return true
	}
	return p.awaitCheckpoints(t) || p.preempt(t)
}

// fair starts the other tasks, from the team with the lowest ratio first.
func (p *planner) fair(waiting []*Task) {
	byTeam := make(map[model.Team][]*Task)
	var names []model.Team
	for _, t := range waiting {
		if byTeam[t.Team] == nil {
			names = append(names, t.Team)
		}
		byTeam[t.Team] = append(byTeam[t.Team], t)
	}
	for {
		best := model.Team("")
		found := false
		for _, n := range names {
			if len(byTeam[n]) > 0 && (!found || p.ratio(n) < p.ratio(best)) {
				best, found = n, true
			}
		}
		if !found {
			return
		}
		t := byTeam[best][0]
		byTeam[best] = byTeam[best][1:]
		p.start(t)
	}
}

// ratio returns the team's running work in the whole fleet divided by its share.
func (p *planner) ratio(n model.Team) float64 {
	tm := p.teams[n]
	if tm == nil {
		return 0
	}
	return float64(tm.Running) / float64(max(1, tm.Share))
}

func (p *planner) start(t *Task) {
	if !p.hasHeadroom(t) {
		p.wait(t, ReasonAllotmentUsed, nil)
		return
	}
	for _, n := range p.tooLarge {
		if n.fits(t.Size) {
			p.wait(t, ReasonNoCapacity, nil)
			return
		}
	}
	if s := p.choose(t); s != nil {
		p.place(t, s)
		return
	}
	if len(t.Avoid) == 0 {
		p.tooLarge = append(p.tooLarge, t.Size)
	}
	p.wait(t, ReasonNoCapacity, nil)
}

// unthrottle restores the cores of throttled tasks on workers where they are still free.
func (p *planner) unthrottle() {
	for _, s := range p.slots {
		if s.reserved {
			continue
		}
		for _, t := range s.running {
			if need := throttled(t.Size); t.Throttled && !t.Checkpointing && need.fits(s.free) && !p.throttledNow(t) {
				s.free = s.free.minus(need)
				p.step(StepUnthrottle, t, s, ReasonCoresFree)
			}
		}
	}
}

func (p *planner) throttledNow(t *Task) bool {
	return slices.ContainsFunc(p.plan.Steps, func(st Step) bool { return st.Kind == StepThrottle && st.Task == t.ID })
}
