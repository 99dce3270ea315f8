package maintenance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// site returns n serving VMs, perRack to a rack and perService to a service, and one wave.
func site(n, perRack, perService int) Snapshot {
	s := Snapshot{Now: epoch, Done: map[string]map[model.VM]bool{"w": {}}, FleetBudgetShare: map[model.Service]int{},
		Waves: []config.Wave{{Name: "w", Start: epoch, DrainTimeout: time.Minute}}}
	for i := range n {
		svc := i / perService
		v := VM{Name: model.VM(fmt.Sprintf("v%03d", i)), Pool: model.Pool(fmt.Sprintf("p%d", svc)),
			Service: model.Service(fmt.Sprintf("s%d", svc)), Rack: model.Rack(fmt.Sprintf("r%d", i/perRack)),
			State: model.VMServing, Since: epoch, Idle: true}
		if i%perService == 0 {
			s.Waves[0].Pools = append(s.Waves[0].Pools, v.Pool)
		}
		s.VMs = append(s.VMs, v)
	}
	return s
}

func (p Plan) steps(k StepKind) int {
	n := 0
	for _, st := range p.Steps {
		if st.Kind == k {
			n++
		}
	}
	return n
}

func (p Plan) held(vm model.VM) Reason {
	for _, h := range p.Held {
		if h.VM == vm {
			return h.Reason
		}
	}
	return ""
}

// Guards against a wave that goes on after a rack lost several VMs, or reboots a VM with
// running requests.
func TestCorrelatedFailurePauses(t *testing.T) {
	s := site(8, 4, 8)
	s.Budgets = []config.Budget{{Service: "s0", Scope: config.ScopeDataCentre, MaxUnavailable: 8}}
	s.VMs[0].State, s.VMs[1].State, s.VMs[4].State = model.VMFailed, model.VMFailed, model.VMEmpty
	s.VMs[0].Permits = 1
	s.Failures = []Failure{{"v000", "r0", epoch.Add(-time.Minute)}, {"v005", "r1", epoch}}
	p := NewPlan(s)
	require.Equal(t, ReasonInUse, p.held("v000"))
	require.Equal(t, 2, p.steps(StepReboot), "v001 is repaired and v004 goes on")
	require.Equal(t, 5, p.steps(StepDrain))
	s.Failures = append(s.Failures, Failure{"v001", "r0", epoch})
	p = NewPlan(s)
	require.Equal(t, 1, p.steps(StepReboot), "v001 is repaired")
	require.Zero(t, p.steps(StepDrain))
	require.Equal(t, ReasonPaused, p.held("v004"))
	require.Equal(t, ReasonPaused, p.Waves[0].Paused)
	s.VMs[0].State, s.VMs[1].State = model.VMServing, model.VMServing
	s.Now = epoch.Add(Cooldown - 1)
	require.Zero(t, NewPlan(s).steps(StepDrain))
	s.Now = epoch.Add(Cooldown)
	require.Positive(t, NewPlan(s).steps(StepDrain))
}

// Guards against a wrong account of why a VM waits, and of what another part would allow.
func TestHeldReasons(t *testing.T) {
	s := site(6, 2, 2)
	s.Budgets = []config.Budget{{Service: "s0", Scope: config.ScopeFleet, MaxUnavailable: 2},
		{Service: "s1", Scope: config.ScopeRack, MaxUnavailable: 1}}
	s.FleetBudgetShare["s0"] = 1
	p := NewPlan(s)
	require.Equal(t, 3, p.steps(StepDrain))
	require.Equal(t, ReasonFleetBudget, p.held("v001"))
	require.Equal(t, ReasonRackBudget, p.held("v003"))
	require.Equal(t, ReasonNoBudget, p.held("v005"))
	require.Equal(t, map[model.Service]int{"s0": 1}, p.FleetBudgetDemand)
	s.VMs[0].State, s.VMs[0].Permits, s.Now = model.VMDraining, 1, epoch.Add(time.Hour)
	require.Equal(t, ReasonDrainTimeout, NewPlan(s).held("v000"))
	s.Waves[0].Start = epoch.Add(2 * time.Hour)
	p = NewPlan(s)
	require.Equal(t, ReasonNotStarted, p.held("v001"))
	require.Equal(t, ReasonNoWave, p.Steps[0].Reason)
}

// Guards against a drain in place of a VM that returns but does not serve yet.
func TestReturningVMCounts(t *testing.T) {
	s := site(4, 2, 4)
	s.Budgets = []config.Budget{{Service: "s0", Scope: config.ScopeDataCentre, MaxUnavailable: 2},
		{Service: "s0", Scope: config.ScopeRack, MaxUnavailable: 1}}
	s.VMs[0].State, s.VMs[1].State = model.VMDraining, model.VMFailed
	p := NewPlan(s)
	require.Equal(t, 1, p.steps(StepReturn))
	require.Zero(t, p.steps(StepDrain))
	require.Equal(t, ReasonDCBudget, p.held("v002"))
}

func randomBudgets(t *rapid.T, s *Snapshot) {
	for i := range s.Waves[0].Pools {
		svc := model.Service(fmt.Sprintf("s%d", i))
		for _, scope := range []config.BudgetScope{config.ScopeFleet, config.ScopeDataCentre, config.ScopeRack} {
			if rapid.Bool().Draw(t, "has budget") {
				s.Budgets = append(s.Budgets, config.Budget{Service: svc, Scope: scope, MaxUnavailable: rapid.IntRange(0, 4).Draw(t, "max")})
			}
		}
		s.FleetBudgetShare[svc] = rapid.IntRange(0, 4).Draw(t, "part")
	}
}

// allowed recounts the budgets for a set of VMs that are out of service. Above is the set
// that is out in any case; a budget that it breaks alone is not broken by the plan.
func allowed(s *Snapshot, out, above func(v *VM) bool) bool {
	count := func(svc model.Service, rack model.Rack, in func(v *VM) bool) (n int) {
		for i := range s.VMs {
			if v := &s.VMs[i]; v.Service == svc && (rack == "" || v.Rack == rack) && in(v) {
				n++
			}
		}
		return n
	}
	budgets := s.Budgets
	for i := range s.VMs {
		has := false
		for _, b := range s.Budgets {
			has = has || b.Service == s.VMs[i].Service
		}
		if !has {
			budgets = append(budgets[:len(budgets):len(budgets)], config.Budget{Service: s.VMs[i].Service, Scope: config.ScopeDataCentre, MaxUnavailable: 1})
		}
	}
	for _, b := range budgets {
		racks, limit := map[model.Rack]bool{"": true}, b.MaxUnavailable
		switch b.Scope {
		case config.ScopeFleet:
			limit = min(limit, s.FleetBudgetShare[b.Service])
		case config.ScopeRack:
			racks = map[model.Rack]bool{}
			for i := range s.VMs {
				racks[s.VMs[i].Rack] = true
			}
		}
		for r := range racks {
			if count(b.Service, r, out) > max(limit, count(b.Service, r, above)) {
				return false
			}
		}
	}
	return true
}

// Guards against a plan that breaks a budget and against one that drains fewer VMs than
// the budgets allow: every set of VMs is tried.
func TestLargestSafeSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := site(rapid.IntRange(1, 9).Draw(t, "n"), rapid.IntRange(1, 4).Draw(t, "per rack"), rapid.IntRange(1, 9).Draw(t, "per service"))
		randomBudgets(t, &s)
		for i := range s.VMs {
			s.VMs[i].State = rapid.SampledFrom([]model.VMState{model.VMServing, model.VMServing, model.VMServing, model.VMFailed, model.VMRebooting}).Draw(t, "state")
		}
		down := func(v *VM) bool { return v.State != model.VMServing }
		drained := map[model.VM]bool{}
		for _, st := range NewPlan(s).Steps {
			if st.Kind == StepDrain {
				drained[st.VM] = true
			}
		}
		require.True(t, allowed(&s, func(v *VM) bool { return down(v) || drained[v.Name] }, down))
		best := 0
		for set := range 1 << len(s.VMs) {
			size, in := 0, map[model.VM]bool{}
			for i := range s.VMs {
				if set>>i&1 == 1 && !down(&s.VMs[i]) {
					size++
					in[s.VMs[i].Name] = true
				}
			}
			if size > best && allowed(&s, func(v *VM) bool { return down(v) || in[v.Name] }, down) {
				best = size
			}
		}
		require.Len(t, drained, best)
	})
}

// Guards against broken budgets while VMs fail during a wave, and against waves that
// never end: budgets hold after every plan, no VM with running requests is rebooted, and
// every VM is done once failures stop.
func TestWaveWithFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := site(rapid.IntRange(2, 16).Draw(t, "n"), rapid.IntRange(2, 4).Draw(t, "per rack"), rapid.IntRange(2, 8).Draw(t, "per service"))
		randomBudgets(t, &s)
		possible := true
		for i := range s.Budgets {
			limit := s.Budgets[i].MaxUnavailable
			if s.Budgets[i].Scope == config.ScopeFleet {
				limit = min(limit, s.FleetBudgetShare[s.Budgets[i].Service])
			}
			possible = possible && limit > 0
		}
		for round := range 150 {
			s.Now = s.Now.Add(30 * time.Second)
			if round < 30 && rapid.IntRange(0, 3).Draw(t, "failure") == 0 {
				v := &s.VMs[rapid.IntRange(0, len(s.VMs)-1).Draw(t, "vm")]
				if v.State != model.VMFailed {
					v.State, v.Since = model.VMFailed, s.Now
					s.Failures = append(s.Failures, Failure{v.Name, v.Rack, s.Now})
				}
			}
			for i := range s.VMs {
				v := &s.VMs[i]
				v.Up = v.State == model.VMRebooting && s.Now.Sub(v.Since) > time.Minute
				if v.State == model.VMServing {
					v.Permits = rapid.IntRange(0, 2).Draw(t, "permits")
				} else {
					v.Permits = max(0, v.Permits-1)
				}
				v.Idle = v.Permits == 0
			}
			down, before, drained := map[model.VM]bool{}, map[model.VM]bool{}, map[model.VM]bool{}
			for i := range s.VMs {
				down[s.VMs[i].Name] = s.VMs[i].State == model.VMFailed || s.VMs[i].State == model.VMRebooting
				before[s.VMs[i].Name] = s.VMs[i].State != model.VMServing
			}
			for _, st := range NewPlan(s).Steps {
				drained[st.VM] = st.Kind == StepDrain
				for i := range s.VMs {
					if s.VMs[i].Name == st.VM {
						apply(t, &s, &s.VMs[i], st)
					}
				}
			}
			if !allowed(&s, func(v *VM) bool { return v.State != model.VMServing }, func(v *VM) bool { return down[v.Name] }) {
				t.Fatalf("budget broken in round %d", round)
			}
			if !allowed(&s, func(v *VM) bool { return before[v.Name] || drained[v.Name] }, func(v *VM) bool { return before[v.Name] }) {
				t.Fatalf("budget broken in round %d if returns come last", round)
			}
		}
		if st := NewPlan(s).Waves[0]; possible && st.Done != st.Total {
			t.Fatalf("%d of %d VMs done: %+v", st.Done, st.Total, NewPlan(s))
		}
	})
}

func apply(t *rapid.T, s *Snapshot, v *VM, st Step) {
	next := map[StepKind]model.VMState{StepDrain: model.VMDraining, StepEmpty: model.VMEmpty,
		StepReboot: model.VMRebooting, StepReturn: model.VMServing, StepFail: model.VMFailed}[st.Kind]
	if (st.Kind == StepReboot || st.Kind == StepEmpty) && v.State != model.VMFailed && v.Permits > 0 {
		t.Fatalf("step %s of VM %s with %d permits", st.Kind, v.Name, v.Permits)
	}
	for _, w := range st.Waves {
		s.Done[w][v.Name] = true
	}
	v.State, v.Since = next, s.Now
}

// BenchmarkMake measures one plan for 35 pools and 350 VMs in the middle of a wave.
func BenchmarkMake(b *testing.B) {
	s := site(350, 4, 10)
	for i := range 35 {
		svc := model.Service(fmt.Sprintf("s%d", i))
		s.FleetBudgetShare[svc] = 2
		s.Budgets = append(s.Budgets, config.Budget{Service: svc, Scope: config.ScopeFleet, MaxUnavailable: 4},
			config.Budget{Service: svc, Scope: config.ScopeDataCentre, MaxUnavailable: 3},
			config.Budget{Service: svc, Scope: config.ScopeRack, MaxUnavailable: 1})
		s.VMs[10*i].State, s.VMs[10*i+5].State = model.VMDraining, model.VMRebooting
	}
	b.ReportAllocs()
	for b.Loop() {
		NewPlan(s)
	}
}

// Guards against a VM drained by configuration that is rebooted, repaired or returned, or
// that is left out of the count of a budget.
func TestDrainedByConfiguration(t *testing.T) {
	s := site(4, 4, 4)
	s.Budgets = []config.Budget{{Service: "s0", Scope: config.ScopeDataCentre, MaxUnavailable: 1}}
	s.VMs[0].Drained = true
	p := NewPlan(s)
	require.Equal(t, []Step{{Kind: StepDrain, VM: "v000", Reason: ReasonConfigured}}, p.Steps)
	require.Equal(t, ReasonDCBudget, p.held("v001"))
	for _, st := range []model.VMState{model.VMEmpty, model.VMFailed} {
		s.VMs[0].State = st
		p = NewPlan(s)
		require.Empty(t, p.Steps, st)
		require.Equal(t, ReasonConfigured, p.held("v000"), st)
	}
}

// Guards against a VM that changes its pool while requests run on it, or outside the
// budgets of the service that it leaves.
func TestPoolChangeWhenEmpty(t *testing.T) {
	s := site(4, 4, 4)
	s.Waves = nil
	s.Budgets = []config.Budget{{Service: "s0", Scope: config.ScopeDataCentre, MaxUnavailable: 1}}
	s.VMs[0].MoveTo, s.VMs[1].MoveTo = "spare", "spare"
	p := NewPlan(s)
	require.Equal(t, []Step{{Kind: StepDrain, VM: "v000", Reason: ReasonMove, Detail: "to pool spare"}}, p.Steps)
	require.Equal(t, ReasonDCBudget, p.held("v001"))
	s.VMs[0].State, s.VMs[0].Permits = model.VMDraining, 1
	require.Equal(t, ReasonInUse, NewPlan(s).held("v000"))
	s.VMs[0].Permits = 0
	require.Equal(t, 1, NewPlan(s).steps(StepEmpty))
	s.VMs[0].State = model.VMEmpty
	require.Equal(t, 1, NewPlan(s).steps(StepMove))
}

// Guards against a status that blames permits when only the minion's confirmation is
// missing.
func TestHeldSaysWhatKeepsVMInUse(t *testing.T) {
	s := site(2, 2, 2)
	s.VMs = s.VMs[:1]
	s.VMs[0].State, s.VMs[0].Idle = model.VMDraining, false
	for permits, want := range map[int]string{
		0: "the minion has not confirmed yet that nothing runs",
		2: "2 permits are outstanding",
	} {
		s.VMs[0].Permits = permits
		p := NewPlan(s)
		require.Len(t, p.Held, 1)
		require.Equal(t, ReasonInUse, p.Held[0].Reason)
		require.Equal(t, want, p.Held[0].Detail)
	}
}
