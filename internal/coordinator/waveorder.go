package coordinator

import (
	"cmp"
	"slices"
)

// waveCandidate is a machine of a wave that may be drained next.
type waveCandidate struct {
	machine *waveMachine
	// tasks is the number of tasks on the machine, longRunning that of the long-running ones.
	tasks, longRunning int
	// busy is set while tasks wait for free capacity of the machine's service.
	busy bool
}

// chooseMachinesToDrain returns the machines to drain next: at most slots of them, and at most
// longRunningSlots with long-running tasks. Those come first, because their tasks are stopped one
// after the other as the availability budgets allow, which takes seconds per task and would delay
// the end of the wave if left to the end. The other machines follow, those with the fewest tasks
// first. Postponed machines come last of all. A busy service keeps its machines unless the wave is urgent, which means that its
// remaining time is short.
func chooseMachinesToDrain(due []waveCandidate, slots, longRunningSlots int, urgent bool) []*waveMachine {
	due = slices.Clone(due)
	slices.SortFunc(due, func(a, b waveCandidate) int {
		if a.machine.postponed != b.machine.postponed {
			if a.machine.postponed {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.longRunning, a.longRunning), cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.machine.name, b.machine.name))
	})
	var out []*waveMachine
	for _, c := range due {
		switch {
		case len(out) >= slots:
			return out
		case c.longRunning > 0 && !urgent:
			if longRunningSlots <= 0 {
				continue
			}
			longRunningSlots--
		case c.busy && !urgent:
			continue
		}
		out = append(out, c.machine)
	}
	return out
}
