package capacity

import (
	"cmp"
	"slices"

	"boragepulley/internal/model"
)

// finishReclaims moves machines that have been emptied for a service, counts those that are being
// emptied, and releases those that the service no longer needs.
func (p *Plan) finishReclaims(all []Machine, byName map[model.Service]*serviceState) {
	for _, m := range reclaimedMachines(all) {
		st := byName[m.ReclaimedFor]
		switch {
		case st == nil || !m.Usable || st.lacking(st.Stranded) == 0:
			p.Release = append(p.Release, m.Name)
		case m.Movable:
			p.Moves = append(p.Moves, Move{Machine: m.Name, To: st.Name})
			st.incoming++
		default:
			st.reclaiming++
			if m.ReclaimOverdue {
				st.overdue++ // another machine may be empty before it
			}
		}
	}
}

// reclaimedMachines returns the machines that are being emptied: first those that are empty, which make
// others unnecessary, then those that take long or do not answer, which must not be released for a
// later one, then the others, first those with the fewest tasks.
func reclaimedMachines(all []Machine) []Machine {
	var out []Machine
	for _, m := range all {
		if m.ReclaimedFor != "" {
			out = append(out, m)
		}
	}
	rank := func(m Machine) int {
		switch {
		case m.Movable:
			return 0
		case m.ReclaimOverdue:
			return 1
		}
		return 2
	}
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// reclaim chooses machines of other services to empty for a service whose long-running tasks have no
// place. While another service has a burst, none of its machines is ever empty: each is filled again
// as soon as a task ends. Its work only gets later; a long-running task has no other place.
func (p *Plan) reclaim(services []*serviceState, to *serviceState) {
	for to.lacking(to.Stranded) > 0 {
		from, i := machineToReclaim(services, to)
		if from == nil {
			return
		}
		p.Reclaim = append(p.Reclaim, Move{Machine: from.machines[i].Name, To: to.Name})
		from.machines = append(from.machines[:i:i], from.machines[i+1:]...)
		to.reclaiming++
	}
}

// machineToReclaim returns the machine with the fewest tasks of the service with the most machines,
// as its owner and index there, or nil. Machines with long-running tasks stay where they are, and no
// service is left with fewer machines than the one that gets them: a caller may ask for any number
// of long-running tasks, and services that take from each other would never come to rest.
func machineToReclaim(services []*serviceState, to *serviceState) (from *serviceState, index int) {
	for _, st := range services {
		if st == to || from != nil && len(st.machines) <= len(from.machines) || len(st.machines)-1 < len(to.machines)+to.incoming+to.reclaiming+1 {
			continue
		}
		best := -1
		for i, m := range st.machines {
			if m.Incoming || m.LongRunning > 0 || !m.Reclaimable || !to.suits(&m) {
				continue
			}
			if best < 0 || m.Tasks < st.machines[best].Tasks {
				best = i
			}
		}
		if best >= 0 {
			from, index = st, best
		}
	}
	return from, index
}
