package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// SetRemoteUsage records the usage that another data centre's coordinator reported at
// now. Reports older than Params.RemoteTTL are ignored.
func (a *Admission) SetRemoteUsage(now time.Time, dc model.DataCentre, running map[model.Team]int, free map[model.Service]int) []Effect {
	if dc == a.dc {
		return nil
	}
	out := a.begin(now)
	a.remotes[dc] = &remote{at: now, running: maps.Clone(running), free: maps.Clone(free)}
	a.countRemote()
	return append(out, a.forwardStranded(now)...)
}

// expireRemotes drops reports that are too old.
func (a *Admission) expireRemotes(now time.Time) {
	if len(a.remotes) == 0 || !now.After(a.remoteUntil) {
		return
	}
	for dc, m := range a.remotes {
		if now.Sub(m.at) > a.params.RemoteTTL {
			delete(a.remotes, dc)
		}
	}
	a.countRemote()
}

// countRemote recomputes each team's running work in other data centres.
func (a *Admission) countRemote() {
	for _, t := range a.teams {
		t.remote = 0
	}
	first := true
	for _, m := range a.remotes {
		if until := m.at.Add(a.params.RemoteTTL); first || until.Before(a.remoteUntil) {
			a.remoteUntil, first = until, false
		}
		for n, k := range m.running {
			a.team(n).remote += k
		}
	}
}

// forwardTo chooses the data centre with the most free slots for the request and counts
// one of them as used until its next report. A forwarded request stays where it is.
func (a *Admission) forwardTo(now time.Time, r *request, s *service) (model.DataCentre, bool) {
	if r.hops > 0 {
		return "", false
	}
	a.expireRemotes(now)
	var best model.DataCentre
	most := 0
	for dc, m := range a.remotes {
		if n := m.free[s.name]; n > most || (n == most && n > 0 && dc < best) {
			best, most = dc, n
		}
	}
	if most == 0 {
		return "", false
	}
	a.remotes[best].free[s.name]--
	return best, true
}

// forwardStranded forwards waiting requests of services that no minion serves here any
// more, as far as other data centres report free slots.
func (a *Admission) forwardStranded(now time.Time) []Effect {
	var out []Effect
	var stranded []*service
	for _, s := range a.services {
		if s.waiting > 0 && s.outlook(nil) == outlookNone {
			stranded = append(stranded, s)
		}
	}
	slices.SortFunc(stranded, func(x, y *service) int { return cmp.Compare(x.name, y.name) })
	for _, s := range stranded {
		for _, b := range slices.Clone(s.backlogs) {
			out = append(out, a.forwardBacklog(now, b)...)
		}
	}
	return out
}

func (a *Admission) forwardBacklog(now time.Time, b *backlog) []Effect {
	var moved []*request
	var out []Effect
	for _, l := range b.lines {
		for _, r := range l.heap {
			if to, ok := a.forwardTo(now, r, b.service); ok {
				moved = append(moved, r)
				out = append(out, forwarding(r, to, "no serving minion here any more"))
			} else if r.hops == 0 {
				break
			}
		}
	}
	for _, r := range moved {
		a.dequeue(r)
	}
	return out
}
