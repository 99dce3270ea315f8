package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture describes a test configuration: one data centre "a" with one pool per service.
type fixture struct {
	services, minions, slots, conns, entries, teams int
	maxWaiting                                      int
	shares                                          []int
	limit                                           int
}

func (f fixture) site() *config.Site {
	s := &config.Site{DataCentres: []config.DataCentre{{Name: "a"}}}
	for i := range f.entries {
		s.DataCentres[0].EntryVMs = append(s.DataCentres[0].EntryVMs, entryName(i))
	}
	for i := range f.services {
		svc, pool := model.Service(fmt.Sprintf("s%d", i)), model.Pool(fmt.Sprintf("p%d", i))
		s.Services = append(s.Services, config.Service{Name: svc, MaxRun: 10 * time.Second})
		s.Pools = append(s.Pools, config.Pool{Name: pool, Service: svc})
		for j := range f.minions {
			s.VMs = append(s.VMs, config.VM{Name: model.VM(fmt.Sprintf("m%d-%03d", i, j)), Pool: pool, DC: "a",
				Rack: model.Rack(fmt.Sprintf("r%d", j%3)), Addr: "127.0.0.1:1", Slots: f.slots, Connections: f.conns})
		}
		for _, q := range []config.Queue{{Name: "q"}, {Name: "late", Deferrable: true}, {Name: "open", Open: true}} {
			q.Name = model.Queue(fmt.Sprintf("%s%d", q.Name, i))
			q.Kind, q.Service, q.MaxWaiting, q.Deadline = config.QueueRequests, svc, f.maxWaiting, time.Minute
			s.Queues = append(s.Queues, q)
		}
	}
	for i := range f.teams {
		share := 1
		if i < len(f.shares) {
			share = f.shares[i]
		}
		s.Teams = append(s.Teams, config.Team{Name: teamName(i), Share: share, Limit: f.limit})
		s.Keys = append(s.Keys, config.Key{ID: keyName(i), Team: teamName(i)})
	}
	return s
}

func teamName(i int) model.Team     { return model.Team(fmt.Sprintf("t%02d", i)) }
func keyName(i int) string          { return fmt.Sprintf("k%02d", i) }
func entryName(i int) model.EntryVM { return model.EntryVM(fmt.Sprintf("e%d", i)) }

// newAdmission returns a state in which every minion serves and has replied to a poll, and
// every team's allotment is its whole limit.
func (f fixture) newAdmission(now time.Time) *Admission {
	a := New("a", model.Token{Epoch: 1}, DefaultParams())
	a.SetConfig(config.NewIndex(f.site(), 1), now)
	parts := map[model.Team]int{}
	for i := range f.teams {
		parts[teamName(i)] = f.limit
	}
	a.SetAllotments(now, parts)
	for vm := range a.minions {
		a.SetMinionState(now, vm, model.VMServing)
		a.MinionStatus(now, now, vm, nil)
	}
	return a
}

func acquire(job, team int, queue model.Queue, wait time.Duration) peer.Acquire {
	q := peer.Acquire{Attempt: 1, Wait: wait, From: peer.Sender{Entry: "e0", DC: "a"}, Request: model.Request{
		Job: model.JobID(fmt.Sprintf("j%06d", job)), Queue: queue, Priority: model.PriorityNormal, Idempotent: true}}
	if team >= 0 {
		q.Request.Team, q.Request.KeyID = teamName(team), keyName(team)
	}
	return q
}

func release(p *model.Permit, r peer.AttemptResult) peer.Release {
	return peer.Release{From: peer.Sender{Entry: p.Holder}, Job: p.Job, Attempt: p.Attempt, Minion: p.Minion, Token: p.Token, Result: r}
}

// requireOne requires exactly one effect, of kind k, and returns it.
func requireOne(t *testing.T, out []Effect, k EffectKind) Effect {
	t.Helper()
	require.Len(t, out, 1)
	require.Equal(t, k, out[0].Kind, "%+v", out[0])
	return out[0]
}
