package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// SetRemoteUsage records the usage that the coordinator of another data centre reported at
// now. Reports older than Params.RemoteTTL are ignored.
func (a *Admission) SetRemoteUsage(now time.Time, dc model.DataCentre, running map[model.Team]int, free map[model.Service]int) []Effect {
	if dc == a.dc {
		return nil
	}
	out := a.expire(now)
	a.remotes[dc] = &remoteUsage{at: now, running: maps.Clone(running), free: maps.Clone(free)}
	a.sumRemoteUsage()
	return append(out, a.forwardUnservable(now)...)
}

// expireRemotes drops usage reports older than Params.RemoteTTL.
func (a *Admission) expireRemotes(now time.Time) {
	if len(a.remotes) == 0 || !now.After(a.nextRemoteExpiry) {
		return
	}
	for dc, usage := range a.remotes {
		if now.Sub(usage.at) > a.params.RemoteTTL {
			delete(a.remotes, dc)
		}
	}
	a.sumRemoteUsage()
}

// sumRemoteUsage recomputes each team's running work in other data centres.
func (a *Admission) sumRemoteUsage() {
	for _, t := range a.teams {
		t.remoteRunning = 0
	}
	first := true
	for _, usage := range a.remotes {
		if until := usage.at.Add(a.params.RemoteTTL); first || until.Before(a.nextRemoteExpiry) {
			a.nextRemoteExpiry, first = until, false
		}
		for n, k := range usage.running {
			a.team(n).remoteRunning += k
		}
	}
}

// reserveRemoteSlot chooses the data centre with the most free slots for the request and
// counts one of them as used until that data centre's next report. A request that was
// forwarded once is not forwarded again.
func (a *Admission) reserveRemoteSlot(now time.Time, r *request, s *service) (model.DataCentre, bool) {
	if r.hops > 0 {
		return "", false
	}
	a.expireRemotes(now)
	var best model.DataCentre
	mostFree := 0
	for dc, usage := range a.remotes {
		if n := usage.free[s.name]; n > mostFree || (n == mostFree && n > 0 && dc < best) {
			best, mostFree = dc, n
		}
	}
	if mostFree == 0 {
		return "", false
	}
	a.remotes[best].free[s.name]--
	return best, true
}

// forwardUnservable forwards the waiting requests of services without a serving minion in
// this data centre, as far as other data centres report free slots.
func (a *Admission) forwardUnservable(now time.Time) []Effect {
	var out []Effect
	var unservable []*service
	for _, s := range a.services {
		if s.waiting > 0 && s.availability(nil) == noneServing {
			unservable = append(unservable, s)
		}
	}
	slices.SortFunc(unservable, func(x, y *service) int { return cmp.Compare(x.name, y.name) })
	for _, s := range unservable {
		for _, b := range slices.Clone(s.backlogs) {
			out = append(out, a.forwardBacklog(now, b)...)
		}
	}
	return out
}

func (a *Admission) forwardBacklog(now time.Time, b *backlog) []Effect {
	var forwarded []*request
	var out []Effect
	for _, l := range b.groups {
		for _, r := range l.heap {
			if to, ok := a.reserveRemoteSlot(now, r, b.service); ok {
				forwarded = append(forwarded, r)
				out = append(out, forwardEffect(r, to, "no serving minion in the local data centre any more"))
			} else if r.hops == 0 {
				break
			}
		}
	}
	for _, r := range forwarded {
		a.dequeue(r)
	}
	return out
}
