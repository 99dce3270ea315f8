package admission

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// Usage is what other data centres and operators are told. Teams and services with
// zero counts are left out.
type Usage struct {
	// Running counts permits in every state and tasks, per team.
	Running map[model.Team]int
	// Waiting counts waiting requests and tasks per team.
	Waiting map[model.Team]int
	// Free counts free slots per service after the waiting requests.
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

// TeamRunning returns the team's running work here, as counted against its allotment.
func (a *Admission) TeamRunning(n model.Team) int {
	if t := a.teams[n]; t != nil {
		return t.permits + t.tasks
	}
	return 0
}

// BlockedSlots counts the slots of unknown use, which count against every team's limit.
func (a *Admission) BlockedSlots() int { return a.blockedSlots() }

// MinionInfo is the coordinator's view of one minion, for polls and status.
type MinionInfo struct {
	VM    model.VM      `json:"vm"`
	Addr  string        `json:"addr"`
	State model.VMState `json:"state"`
	// Answered is whether the minion has answered a status poll since the takeover.
	Answered bool `json:"answered"`
	Slots    int  `json:"slots"`
	Used     int  `json:"used"`
	// Outstanding, Orphaned and Lost count permits by state, Unattributed other running jobs.
	Outstanding  int  `json:"outstanding"`
	Orphaned     int  `json:"orphaned,omitempty"`
	Lost         int  `json:"lost,omitempty"`
	Unattributed int  `json:"unattributed,omitempty"`
	Ejected      bool `json:"ejected,omitempty"`
	Failures     int  `json:"failures,omitempty"`
}

// Idle reports whether the minion answered and nothing runs on it: a draining VM in this
// condition is empty.
func (i MinionInfo) Idle() bool { return i.Answered && i.Used == 0 }

// Minions returns all minions that are to be polled, by name, including those that left
// the configuration while jobs may still run on them.
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

// Permits returns all permits, by job and attempt.
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
