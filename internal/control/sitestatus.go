package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// SiteStatus combines the states of all data centres, as reported by their coordinators,
// for operators.
type SiteStatus struct {
	// Coordinators has one element per data centre. Its Entry is empty if no coordinator
	// answered.
	Coordinators []DCCoordinator
	Running      map[model.Team]int
	Waiting      map[model.Team]int
	VMs          map[model.VM]peer.VMStatus
	// Waves holds the progress of each wave, summed over all data centres that answered.
	Waves []peer.WaveStatus
	// WavesFrom holds the data centres that are part of the progress of each wave. A coordinator
	// that has just taken over does not know it yet.
	WavesFrom map[string][]model.DataCentre
}

// DCCoordinator identifies the coordinator of one data centre.
type DCCoordinator struct {
	DC    model.DataCentre
	Entry model.EntryVM
	Token model.Token
	Local bool
}

// DCStatus implements peer.ControlHandler. It returns the state of the local data centre
// if this entry VM is its coordinator.
func (h handler) DCStatus(ctx context.Context, _ *peer.DCStatus) (*peer.DCStatusReply, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.DCStatusReply, error) {
		r := &peer.DCStatusReply{From: c.self, Coordinator: c.coord != nil, Token: c.following.token}
		if c.coord == nil {
			return r, nil
		}
		usage := c.coord.admission.Usage(time.Now())
		r.Local, r.Running, r.Waiting = c.coord.local, usage.Running, usage.Waiting
		r.VMs, r.Waves = c.vmStatus(), c.waveStatus()
		return r, nil
	})
}

// SiteStatus asks all entry VMs for the state of their data centres. The calls run in
// parallel, so it takes at most as long as one unanswered call.
func (c *Control) SiteStatus(ctx context.Context) SiteStatus {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var replies []*peer.DCStatusReply
	collect := func(r *peer.DCStatusReply, err error) {
		if err != nil || !r.Coordinator {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, r)
	}
	for _, r := range c.peerClients {
		wg.Go(func() {
			collect(askPeer(c, func() (*peer.DCStatusReply, error) { return r.DCStatus(ctx, &peer.DCStatus{From: c.self}) }))
		})
	}
	collect(handler{c}.DCStatus(ctx, nil))
	wg.Wait()
	return mergeStatus(c.siteDataCentres(), replies)
}

// siteDataCentres returns the data centres in the settings, sorted by name.
func (c *Control) siteDataCentres() []model.DataCentre {
	var out []model.DataCentre
	for _, p := range c.deps.Settings.Peers {
		if !slices.Contains(out, p.DC) {
			out = append(out, p.DC)
		}
	}
	slices.Sort(out)
	return out
}

// mergeStatus combines the replies. Of several replies from one data centre, it uses the
// one with the highest token.
func mergeStatus(dcs []model.DataCentre, replies []*peer.DCStatusReply) SiteStatus {
	best := make(map[model.DataCentre]*peer.DCStatusReply)
	for _, r := range replies {
		if b := best[r.From.DC]; b == nil || b.Token.Less(r.Token) {
			best[r.From.DC] = r
		}
	}
	out := SiteStatus{
		Running: make(map[model.Team]int), Waiting: make(map[model.Team]int), VMs: make(map[model.VM]peer.VMStatus),
		WavesFrom: make(map[string][]model.DataCentre),
	}
	for _, dc := range dcs {
		r := best[dc]
		if r == nil {
			out.Coordinators = append(out.Coordinators, DCCoordinator{DC: dc})
			continue
		}
		out.Coordinators = append(out.Coordinators, DCCoordinator{DC: dc, Entry: r.From.Entry, Token: r.Token, Local: r.Local})
		for t, n := range r.Running {
			out.Running[t] += n
		}
		for t, n := range r.Waiting {
			out.Waiting[t] += n
		}
		for _, v := range r.VMs {
			out.VMs[v.Name] = v
		}
		out.addWaves(dc, r.Waves)
	}
	slices.SortFunc(out.Coordinators, func(a, b DCCoordinator) int { return strings.Compare(string(a.DC), string(b.DC)) })
	return out
}

// addWaves adds the progress of the waves in one data centre.
func (s *SiteStatus) addWaves(dc model.DataCentre, waves []peer.WaveStatus) {
	for _, w := range waves {
		i := slices.IndexFunc(s.Waves, func(x peer.WaveStatus) bool { return x.Name == w.Name })
		if i < 0 {
			i = len(s.Waves)
			s.Waves = append(s.Waves, peer.WaveStatus{Name: w.Name})
		}
		s.WavesFrom[w.Name] = append(s.WavesFrom[w.Name], dc)
		x := &s.Waves[i]
		x.Done, x.Active, x.Total = x.Done+w.Done, x.Active+w.Active, x.Total+w.Total
		if w.Paused != "" {
			if x.Paused != "" {
				x.Paused += "; "
			}
			x.Paused += string(dc) + ": " + w.Paused
		}
	}
}
