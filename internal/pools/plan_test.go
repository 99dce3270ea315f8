package pools

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// TestMain raises the number of random cases. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "10000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testMove = 30 * time.Second

// fleet returns a snapshot with the given number of services, each with one pool of
// perService VMs, and a spare pool. All VMs are in their home pool.
func fleet(services, perService, spares int) Snapshot {
	s := Snapshot{Now: epoch, Demand: map[model.Service]*Tracker{}, MoveTime: testMove, Weights: config.Weights{BufferCost: 50, RolloutTime: 50, Moves: 50, ShareCloseness: 50}}
	add := func(p Pool) {
		for range p.Home {
			i := len(s.VMs)
			s.VMs = append(s.VMs, VM{Name: model.VM(fmt.Sprintf("v%03d", i)), Rack: model.Rack(fmt.Sprintf("r%d", i/4)), Home: p.Name, Pool: p.Name, State: model.VMServing, Slots: 8})
		}
		s.Pools = append(s.Pools, p)
	}
	for i := range services {
		svc := model.Service(fmt.Sprintf("s%02d", i))
		s.Demand[svc] = NewTracker()
		s.Budgets = append(s.Budgets, config.Budget{Service: svc, Scope: config.ScopeDataCentre, MaxUnavailable: 2})
		add(Pool{Name: model.Pool(fmt.Sprintf("p%02d", i)), Service: svc, Home: perService, Min: perService, Max: perService + spares})
	}
	add(Pool{Name: "spare", Spare: true, Home: spares, Max: spares})
	return s
}

// feed records constant work for a service over the time d before the snapshot.
func (s *Snapshot) feed(svc model.Service, work, slots int, d time.Duration) {
	for at := s.Now.Add(-d); !at.After(s.Now); at = at.Add(time.Second) {
		s.Demand[svc].Observe(Sample{At: at, Work: work, Slots: slots, Unit: 8}, s.MoveTime)
	}
}

func (p Plan) held(svc model.Service) Reason {
	for _, h := range p.Held {
		if h.Service == svc {
			return h.Reason
		}
	}
	return ""
}

// Guards against moves for bursts, against a missing move for lasting demand, and against
// wrong reasons for moves that are not made.
func TestBurstAndLastingDemand(t *testing.T) {
	s := fleet(2, 3, 2)
	s.feed("s00", 100, 24, 20*time.Second)
	p := NewPlan(s)
	require.Empty(t, p.Moves)
	require.Equal(t, ReasonNotSustained, p.held("s00"))
	s = fleet(2, 3, 2)
	s.feed("s00", 100, 24, 2*testMove)
	require.Equal(t, ReasonNoGain, NewPlan(s).held("s00"))
	s = fleet(2, 3, 2)
	s.feed("s00", 100, 24, 10*testMove)
	p = NewPlan(s)
	require.Len(t, p.Moves, 1)
	require.Equal(t, Move{VM: "v006", From: "spare", To: "p00", Reason: ReasonDemand}, Move{p.Moves[0].VM, p.Moves[0].From, p.Moves[0].To, p.Moves[0].Reason, "", 0, 0})
	require.Greater(t, p.Moves[0].Gain, p.Moves[0].Cost)
	s.Pools[0].InWave = true
	require.Equal(t, ReasonInWave, NewPlan(s).held("s00"))
	s.Weights.RolloutTime = 0
	require.Len(t, NewPlan(s).Moves, 1, "roll-out time has no weight")
	s.Pools[0].InWave, s.Pools[0].Max = false, 3
	require.Equal(t, ReasonPoolFull, NewPlan(s).held("s00"))
	s.Pools[0].Max, s.Pools[2].Min = 5, 2
	require.Equal(t, ReasonNoDonor, NewPlan(s).held("s00"))
	s.Pools[2].Min, s.VMs[0].State, s.VMs[1].Suspect = 0, model.VMRebooting, true
	require.Equal(t, ReasonBudget, NewPlan(s).held("s00"))
}

// Guards against a wrong choice of donors: a pool that does not use its VMs lends one, a pool
// that uses them does not.
func TestDonors(t *testing.T) {
	s := fleet(3, 3, 0)
	s.Pools[0].Max = 5
	s.Pools[1].Min, s.Pools[2].Min = 2, 2
	s.feed("s00", 100, 24, 20*testMove)
	s.feed("s01", 24, 24, 20*testMove)
	s.feed("s02", 4, 24, 20*testMove)
	p := NewPlan(s)
	require.Len(t, p.Moves, 1)
	require.Equal(t, model.Pool("p02"), p.Moves[0].From)
	s.Pools[2].Min = 3
	p = NewPlan(s)
	require.Empty(t, p.Moves)
	require.Equal(t, ReasonNoGain, p.held("s00"), "the only donor uses its VMs")
}

// Guards against missing or wrong returns, for each reason to return a VM.
func TestReturns(t *testing.T) {
	s := fleet(2, 3, 2)
	lent := &s.VMs[6]
	lent.Pool, lent.MovedAt = "p00", epoch.Add(-10*testMove)
	s.feed("s00", 4, 24, testMove)
	require.Empty(t, NewPlan(s).Moves, "low for one move only")
	s.Demand["s00"] = NewTracker()
	s.feed("s00", 4, 24, 3*testMove)
	p := NewPlan(s)
	require.Len(t, p.Moves, 1)
	require.Equal(t, ReasonDemandGone, p.Moves[0].Reason)
	require.Equal(t, model.Pool("spare"), p.Moves[0].To)
	lent.State = model.VMFailed
	p = NewPlan(s)
	require.Empty(t, p.Moves)
	require.Equal(t, Held{VM: "v006", Reason: ReasonNotServing, Detail: "failed"}, p.Held[0])
	lent.State, s.Pools[0].Max = model.VMServing, 3
	s.Demand["s00"] = NewTracker()
	require.Equal(t, ReasonBounds, NewPlan(s).Moves[0].Reason)

	s = fleet(2, 3, 0)
	s.VMs[3].Pool, s.VMs[3].MovedAt = "p00", epoch.Add(-10*testMove) // of pool p01
	s.Pools[0].Max, s.Pools[1].Min = 4, 2
	s.feed("s00", 29, 24, 3*testMove)
	s.feed("s01", 60, 16, 3*testMove)
	require.Equal(t, ReasonHomeDemand, NewPlan(s).Moves[0].Reason)
}

// Guards against data centres whose parts of a pool's bounds do not add up to the configured
// bounds.
func TestPartsSumToBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dcs := rapid.IntRange(1, 5).Draw(t, "dcs")
		site := &config.Site{}
		home, by := 0, map[string]int{}
		for d := range dcs {
			n := rapid.IntRange(0, 5).Draw(t, "home")
			home += n
			by[fmt.Sprint(d)] = n
			for range n {
				site.VMs = append(site.VMs, config.VM{Pool: "p", DC: model.DataCentre(fmt.Sprint(d))})
			}
		}
		site.Pools = []config.Pool{{Name: "p", Min: rapid.IntRange(0, home).Draw(t, "min"), Max: home + rapid.IntRange(0, 9).Draw(t, "more")}}
		low, high := 0, 0
		for d, n := range by {
			p := LocalPools(site, model.DataCentre(d))[0]
			require.True(t, 0 <= p.Min && p.Min <= n && n <= p.Max && p.Home == n)
			low, high = low+p.Min, high+p.Max
		}
		require.Equal(t, site.Pools[0].Min, low)
		if home > 0 {
			require.Equal(t, site.Pools[0].Max, high)
		}
	})
}

// phase is a period of constant demand for a service, with a length in units of 5 s.
type phase struct {
	tracker *Tracker
	sample  Sample
	length  int
}

// randomFleet returns a fleet with random VM states, budgets and histories of demand.
func randomFleet(t *rapid.T) Snapshot {
	n := rapid.IntRange(1, 4).Draw(t, "services")
	s := fleet(n, rapid.IntRange(1, 5).Draw(t, "per service"), rapid.IntRange(0, 4).Draw(t, "spares"))
	for i := range s.Pools {
		p := &s.Pools[i]
		p.Min, p.Max = rapid.IntRange(0, p.Home).Draw(t, "min"), p.Home+rapid.IntRange(0, 3).Draw(t, "more")
		p.InWave = rapid.IntRange(0, 5).Draw(t, "wave") == 0
	}
	states := []model.VMState{model.VMServing, model.VMServing, model.VMServing, model.VMServing, model.VMDraining, model.VMEmpty, model.VMRebooting, model.VMFailed}
	for i := range s.VMs {
		v := &s.VMs[i]
		v.State = rapid.SampledFrom(states).Draw(t, "state")
		v.Suspect = rapid.IntRange(0, 19).Draw(t, "suspect") == 0
		v.Drained = rapid.IntRange(0, 19).Draw(t, "drained") == 0
		where := rapid.IntRange(0, 3*len(s.Pools)-1).Draw(t, "place")
		if where < len(s.Pools) {
			v.Pool = s.Pools[where].Name
			v.MovedAt = epoch.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "moved")) * time.Second)
		}
		if rapid.IntRange(0, 19).Draw(t, "under way") == 0 {
			v.Target = s.Pools[rapid.IntRange(0, len(s.Pools)-1).Draw(t, "target")].Name
		}
	}
	var phases []phase
	s.Budgets, s.FleetBudgetShare = nil, map[model.Service]int{}
	for i := range n {
		svc := s.Pools[i].Service
		tr := s.Demand[svc]
		for _, scope := range []config.BudgetScope{config.ScopeFleet, config.ScopeDataCentre, config.ScopeRack} {
			if rapid.Bool().Draw(t, "budget") {
				s.Budgets = append(s.Budgets, config.Budget{Service: svc, Scope: scope, MaxUnavailable: rapid.IntRange(0, 8).Draw(t, "budget size")})
			}
		}
		s.FleetBudgetShare[svc] = rapid.IntRange(0, 6).Draw(t, "part")
		for range rapid.IntRange(0, 3).Draw(t, "phases") {
			phases = append(phases, phase{tr, Sample{Work: rapid.IntRange(0, 120).Draw(t, "work"), Slots: 8 * rapid.IntRange(0, 5).Draw(t, "up"), Unit: 8},
				rapid.IntRange(1, 200).Draw(t, "length")})
		}
	}
	// Every history ends at the snapshot's time; otherwise most trackers would have no recent
	// samples.
	for i, ph := range phases {
		left := 0
		for _, next := range phases[i:] {
			if next.tracker == ph.tracker {
				left += next.length
			}
		}
		for k := range ph.length {
			ph.sample.At = s.Now.Add(-time.Duration(left-k-1) * 5 * time.Second)
			ph.tracker.Observe(ph.sample, testMove)
		}
	}
	return s
}

// countUnavailable counts the VMs of a service that are or may become unavailable, in the data centre and
// per rack, including those of the given moves.
func countUnavailable(s *Snapshot, moves []Move, svc model.Service) (dc int, racks map[model.Rack]int) {
	racks = map[model.Rack]int{}
	service := map[model.Pool]model.Service{}
	for _, p := range s.Pools {
		service[p.Name] = p.Service
	}
	for i := range s.VMs {
		v := s.VMs[i]
		for _, m := range moves {
			if m.VM == v.Name {
				v.Target = m.To
			}
		}
		out := v.State != model.VMServing || v.Suspect || v.Drained
		moving := v.Target != "" && v.Target != v.Pool
		if service[v.Pool] == svc && (out || moving) || moving && service[v.Target] == svc {
			dc++
			racks[v.Rack]++
		}
	}
	return dc, racks
}

// Guards against plans that violate an invariant: at most one move per VM, only VMs that are
// serving move, and bounds and budgets hold.
func TestPlanInvariants(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		s := randomFleet(t)
		plan := NewPlan(s)
		moves += len(plan.Moves)
		vms, pools := map[model.VM]*VM{}, map[model.Pool]*Pool{}
		for i := range s.VMs {
			vms[s.VMs[i].Name] = &s.VMs[i]
		}
		for i := range s.Pools {
			pools[s.Pools[i].Name] = &s.Pools[i]
		}
		seen := map[model.VM]bool{}
		for _, m := range plan.Moves {
			v := vms[m.VM]
			require.False(t, seen[m.VM], "one move per VM")
			seen[m.VM] = true
			require.True(t, v.State == model.VMServing && !v.Suspect && !v.Drained && (v.Target == "" || v.Target == v.Pool))
			require.True(t, m.From == v.Pool && m.To != m.From && pools[m.To] != nil)
			require.True(t, v.Home == v.Pool || m.To == v.Home, "a lent VM may only return home")
			require.True(t, v.Home != v.Pool || !pools[m.To].Spare, "a spare pool may only receive its own VMs")
		}
		checkBounds(t, &s, plan.Moves)
		checkBudgets(t, &s, plan.Moves)
	})
	require.Greater(t, moves, 1000, "the cases must contain moves")
}

func checkBounds(t *rapid.T, s *Snapshot, moves []Move) {
	stay, come := map[model.Pool]int{}, map[model.Pool]int{}
	for i := range s.VMs {
		v := s.VMs[i]
		for _, m := range moves {
			if m.VM == v.Name {
				v.Target = m.To
			}
		}
		come[v.Pool]++
		if v.Target != "" && v.Target != v.Pool {
			come[v.Target]++
		} else {
			stay[v.Pool]++
		}
	}
	for _, m := range moves {
		for _, p := range s.Pools {
			require.False(t, p.Name == m.From && stay[p.Name] < p.Min, "%s has %d VMs, at least %d", p.Name, stay[p.Name], p.Min)
			require.False(t, p.Name == m.To && come[p.Name] > p.Max, "%s has %d VMs, at most %d", p.Name, come[p.Name], p.Max)
		}
	}
}

func checkBudgets(t *rapid.T, s *Snapshot, moves []Move) {
	for svc := range s.Demand {
		before, racksBefore := countUnavailable(s, nil, svc)
		after, racks := countUnavailable(s, moves, svc)
		budgeted := false
		for _, b := range s.Budgets {
			if b.Service != svc {
				continue
			}
			budgeted = true
			n := b.MaxUnavailable
			if b.Scope == config.ScopeFleet {
				n = min(n, s.FleetBudgetShare[svc])
			}
			if b.Scope == config.ScopeRack {
				for r := range racks {
					require.True(t, racks[r] <= max(n, racksBefore[r]), "rack budget of %s", svc)
				}
				continue
			}
			require.True(t, after <= max(n, before), "%s budget of %s", b.Scope, svc)
		}
		if !budgeted {
			require.True(t, after <= max(1, before), "one at a time for %s", svc)
		}
	}
}

func BenchmarkNewPlan(b *testing.B) {
	for _, size := range []struct{ services, vms, spares int }{{5, 10, 4}, {34, 10, 10}} {
		b.Run(fmt.Sprintf("pools=%d/vms=%d", size.services+1, size.services*size.vms+size.spares), func(b *testing.B) {
			s := fleet(size.services, size.vms, size.spares)
			for svc := range s.Demand {
				s.feed(svc, 8*size.vms+20, 8*size.vms, 20*testMove)
			}
			for b.Loop() {
				if len(NewPlan(s).Moves) == 0 {
					b.Fatal("no moves")
				}
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	t, at := NewTracker(), epoch
	for b.Loop() {
		at = at.Add(time.Second)
		t.Observe(Sample{At: at, Work: 90, Slots: 80, Unit: 8}, testMove)
	}
}
