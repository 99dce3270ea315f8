package coordinator

import (
	"cmp"
	"slices"
)

// waveCandidate is a machine whose turn in a wave may come.
type waveCandidate struct {
	machine *waveMachine
	// tasks run on it, lasting of them until they are stopped.
	tasks, lasting int
	// busy is set while tasks wait for room on its service.
	busy bool
}

// chooseForWave returns the machines to drain next, at most free of them and at most slow with
// tasks that last. Those come first: their tasks are stopped one after the other, as the
// availability budgets allow, which takes seconds a task, and left to the end they make a wave
// late. Others follow with the fewest tasks first; a busy service keeps its machines until the
// wave's time is short.
func chooseForWave(due []waveCandidate, free, slow int, urgent bool) []*waveMachine {
	due = slices.Clone(due)
	slices.SortFunc(due, func(a, b waveCandidate) int {
		return cmp.Or(cmp.Compare(b.lasting, a.lasting), cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.machine.name, b.machine.name))
	})
	var out []*waveMachine
	for _, c := range due {
		switch {
		case len(out) >= free:
			return out
		case c.lasting > 0 && !urgent:
			if slow <= 0 {
				continue
			}
			slow--
		case c.busy && !urgent:
			continue
		}
		out = append(out, c.machine)
	}
	return out
}
