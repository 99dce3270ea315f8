package admission

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// Usage is the usage reported to other data centres and to operators. Teams and services
// with zero counts are left out.
type Usage struct {
	// Running counts permits in any state and running tasks per team.
	Running map[model.Team]int
	// Waiting counts waiting requests and tasks per team.
	Waiting map[model.Team]int
	// Free counts the free slots per service, less its waiting requests.
	Free map[model.Service]int
}

// Usage returns the usage at now.
func (a *Admission) Usage(now time.Time) Usage {
	u := Usage{Running: make(map[model.Team]int), Waiting: make(map[model.Team]int), Free: make(map[model.Service]int)}
	for n, t := range a.teams {
		if k := t.permits + t.tasks; k > 0 {
			u.Running[n] = k
		}
		if k := t.waiting + t.tasksWaiting; k > 0 {
			u.Waiting[n] = k
		}
	}
	for n, s := range a.services {
		free := -s.waiting
		for _, m := range s.minions {
			if !m.ejected && m.ready(now) {
				free += m.slots - m.used()
			}
		}
		if free > 0 {
			u.Free[n] = free
		}
	}
	return u
}

// TeamRunning returns the team's running requests and tasks in this data centre, as counted
// against its allotment.
func (a *Admission) TeamRunning(n model.Team) int {
	if t := a.teams[n]; t != nil {
		return t.permits + t.tasks
	}
	return 0
}

// BlockedSlots returns the number of slots that may run jobs of unknown teams. They count
// against every team's limit.
func (a *Admission) BlockedSlots() int { return a.blockedSlots() }

// MinionInfo is the coordinator's view of one minion, for status polls and operators.
type MinionInfo struct {
	VM    model.VM      `json:"vm"`
	Addr  string        `json:"addr"`
	State model.VMState `json:"state"`
	// Answered is whether the minion has replied to a status poll since the takeover.
	Answered bool `json:"answered"`
	Slots    int  `json:"slots"`
	Used     int  `json:"used"`
	// Outstanding, Orphaned and Lost count permits by state; Unattributed counts running jobs
	// without a known permit.
	Outstanding  int  `json:"outstanding"`
	Orphaned     int  `json:"orphaned,omitempty"`
	Lost         int  `json:"lost,omitempty"`
	Unattributed int  `json:"unattributed,omitempty"`
	Ejected      bool `json:"ejected,omitempty"`
	Failures     int  `json:"failures,omitempty"`
}

// Idle reports whether the minion has replied and nothing runs on it. A draining VM whose
// minion is idle is empty.
func (i MinionInfo) Idle() bool { return i.Answered && i.Used == 0 }

// Minions returns all minions that are to be polled, sorted by name. This includes minions
// that were removed from the configuration but may still run jobs.
func (a *Admission) Minions() []MinionInfo {
	out := make([]MinionInfo, 0, len(a.minions))
	for _, m := range a.minions {
		i := MinionInfo{VM: m.vm, Addr: m.addr, State: m.state, Answered: m.answered, Slots: m.slots,
			Used: m.used(), Unattributed: len(m.unattributed), Ejected: m.ejected, Failures: m.failures}
		for _, p := range m.permits {
			switch p.state {
			case permitOutstanding:
				i.Outstanding++
			case permitOrphaned:
				i.Orphaned++
			case permitLost:
				i.Lost++
			}
		}
		out = append(out, i)
	}
	slices.SortFunc(out, func(x, y MinionInfo) int { return cmp.Compare(x.VM, y.VM) })
	return out
}

// Permits returns all permits, sorted by job and attempt.
func (a *Admission) Permits() []model.Permit {
	out := make([]model.Permit, 0, len(a.permits))
	for _, p := range a.permits {
		out = append(out, p.Permit)
	}
	slices.SortFunc(out, func(x, y model.Permit) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Attempt, y.Attempt))
	})
	return out
}
