package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// SetConfig puts a configuration in force. Waiting requests whose key was withdrawn or
// whose queue was removed are refused; permits that were already granted stay valid.
func (a *Admission) SetConfig(index *config.Index, now time.Time) []Effect {
	out := a.expire(now)
	a.config = index
	a.setTeams(index)
	a.setMinions(index)
	for _, k := range slices.SortedFunc(maps.Values(a.waiting), func(p, q *request) int { return cmp.Compare(p.seq, q.seq) }) {
		out = append(out, a.revalidate(k)...)
	}
	return append(out, a.grantEligible(now, a.waitingServices())...)
}

func (a *Admission) setTeams(index *config.Index) {
	for _, t := range a.teams {
		if t.limited {
			t.limit = 0
		}
	}
	for i := range index.Teams {
		t := a.team(index.Teams[i].Name)
		t.share, t.limit = max(1, index.Teams[i].Share), index.Teams[i].Limit
	}
}

func (a *Admission) setMinions(index *config.Index) {
	entries := 1
	for _, d := range index.DataCentres {
		if d.Name == a.dc {
			entries = max(1, len(d.EntryVMs))
		}
	}
	for _, s := range a.services {
		s.minions, s.racks = s.minions[:0], 0
	}
	for i := range index.Services {
		a.service(index.Services[i].Name).maxRun = index.Services[i].MaxRun
	}
	racks := make(map[*service]map[model.Rack]int)
	configured := make(map[model.VM]bool)
	for i := range index.VMs {
		v := &index.VMs[i]
		if v.DC != a.dc {
			continue
		}
		configured[v.Name] = true
		m := a.minion(v.Name)
		m.addr, m.slots, m.connShare = v.Addr, v.Slots, v.Connections/entries
		m.service = nil
		p := index.Pool(v.Pool)
		if p == nil || p.Spare || p.Service == "" {
			continue
		}
		s := a.service(p.Service)
		m.service = s
		s.minions = append(s.minions, m)
		if racks[s] == nil {
			racks[s] = make(map[model.Rack]int)
		}
		if _, ok := racks[s][v.Rack]; !ok {
			racks[s][v.Rack] = len(racks[s])
		}
		m.rackIndex = racks[s][v.Rack]
	}
	for vm, m := range a.minions {
		if !configured[vm] {
			a.removeMinion(m)
		}
	}
	for _, s := range a.services {
		slices.SortFunc(s.minions, func(p, q *minion) int { return cmp.Compare(p.vm, q.vm) })
		s.racks = len(racks[s])
		s.rackLoad = make([]int, s.racks)
		s.limitEjections()
	}
}

// removeMinion handles a VM that was removed from the configuration. It is tracked for as
// long as jobs may run on it; on a VM that is failed, rebooting or empty none do.
func (a *Admission) removeMinion(m *minion) {
	m.service = nil
	if m.state == model.VMFailed || m.state == model.VMRebooting || m.state == model.VMEmpty {
		a.clearUnconfirmed(m)
	}
	if len(m.permits) == 0 && len(m.unattributed) == 0 {
		delete(a.minions, m.vm)
		if !m.answered {
			a.unanswered--
		}
	}
}

// clearUnconfirmed frees the permits and unattributed jobs that would otherwise stay until
// the minion's status shows that they have ended.
func (a *Admission) clearUnconfirmed(m *minion) {
	a.unattributed -= len(m.unattributed)
	clear(m.unattributed)
	for _, p := range m.permits {
		if p.state != permitOutstanding {
			a.freePermit(p)
		}
	}
}

// revalidate checks a waiting request after a configuration change: it is refused if it is
// no longer authorized, and moved if its queue now belongs to another service.
func (a *Admission) revalidate(r *request) []Effect {
	if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {
		if reason == model.ReasonKeyUnknown || reason == model.ReasonKeyMissing {
			reason = model.ReasonKeyWithdrawn
		}
		a.dequeue(r)
		return []Effect{refuseEffect(r, reason, fmt.Sprintf("configuration version %d", a.configVersion()))}
	}
	if s := a.service(a.config.Queue(r.queue).Service); s != r.group.backlog.service {
		a.dequeue(r)
		a.enqueue(r, s)
	}
	return nil
}

// SetAllotments sets each team's allotment, the part of its limit that this data centre may
// use. Teams that are not listed cannot start anything.
func (a *Admission) SetAllotments(now time.Time, parts map[model.Team]int) []Effect {
	out := a.expire(now)
	d := make(serviceSet)
	for _, t := range a.teams {
		if n := parts[t.name]; n != t.allotment {
			if n > t.allotment {
				d.addTeam(t)
			}
			t.allotment = n
		}
	}
	for n, k := range parts {
		a.team(n).allotment = k
	}
	return append(out, a.grantEligible(now, d)...)
}

// SetTasks sets the number of running tasks per team that count against this data centre's
// allotments. Teams that are not listed have none.
func (a *Admission) SetTasks(now time.Time, running map[model.Team]int) []Effect {
	out := a.expire(now)
	for n := range running {
		a.team(n)
	}
	d := make(serviceSet)
	for _, t := range a.teams {
		if n := running[t.name]; n != t.tasks {
			if n < t.tasks {
				d.addTeam(t)
			}
			t.tasks = n
		}
	}
	return append(out, a.grantEligible(now, d)...)
}

// SetMinionState sets the state of a VM of this data centre. Jobs from before a reboot no
// longer run after it.
func (a *Admission) SetMinionState(now time.Time, vm model.VM, st model.VMState) []Effect {
	out := a.expire(now)
	m := a.minions[vm]
	if m == nil || m.state == st {
		return out
	}
	blocked := a.blockedSlots()
	d := make(serviceSet)
	if m.state == model.VMRebooting && st != model.VMFailed {
		for _, p := range m.permits {
			if p.state != permitOutstanding {
				d.addTeam(a.team(p.Team))
			}
		}
		a.clearUnconfirmed(m)
		m.failures, m.ejected, m.probeAt, m.backoff = 0, false, time.Time{}, 0
	}
	m.state = st
	if m.service != nil {
		m.service.limitEjections()
	}
	out = append(out, a.forwardUnservable(now)...)
	maps.Copy(d, a.servicesAffectedBy(m, blocked))
	return append(out, a.grantEligible(now, d)...)
}

// servicesAffectedBy returns the services that may start work after a change of m: the
// service of m, or all services if the number of blocked slots fell.
func (a *Admission) servicesAffectedBy(m *minion, blockedBefore int) serviceSet {
	if a.blockedSlots() < blockedBefore {
		return a.waitingServices()
	}
	d := make(serviceSet, 1)
	d.add(m.service)
	return d
}
