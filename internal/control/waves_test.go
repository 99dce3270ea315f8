package control

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/admission"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// startServingWithWave is startServing plus a configuration with a wave over the pool and a
// fleet budget of one VM.
func (cl *cluster) startServingWithWave() model.EntryVM {
	return cl.startServingWithWaveAfter(time.Second)
}

func (cl *cluster) startServingWithWaveAfter(d time.Duration) model.EntryVM {
	entry := cl.startServing(8, 100)
	cl.addSite("v2", 8, map[model.Team]int{"t": 100})
	s := cl.sites["v2"]
	s.Budgets = []config.Budget{{Service: "quotes", Scope: config.ScopeFleet, MaxUnavailable: 1}}
	s.Waves = []config.Wave{{Name: "w", Pools: []model.Pool{"quotes"}, Start: time.Now().Add(d), DrainTimeout: time.Minute, Cooldown: time.Minute}}
	_, err := cl.apply(entry, "v2", 1)
	require.NoError(cl.t, err)
	return entry
}

// unavailableVMs returns the VMs that are not serving according to a coordinator, or whose
// minion is down.
func (cl *cluster) unavailableVMs() []model.VM {
	got := map[model.VM]bool{}
	for _, p := range cl.peers {
		n := cl.nodes[p.Name]
		if n.isDead() || n.isPaused() {
			continue
		}
		if s, err := n.control.CoordinatorStatus(cl.t.Context()); err == nil {
			for _, m := range s.Minions {
				if m.State != model.VMServing {
					got[m.VM] = true
				}
			}
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for vm, down := range cl.downMinions {
		if down {
			got[model.VM(vm)] = true
		}
	}
	return slices.Sorted(maps.Keys(got))
}

func (cl *cluster) coordinatorStatus(entry model.EntryVM) CoordinatorStatus {
	s, err := cl.nodes[entry].control.CoordinatorStatus(cl.t.Context())
	require.NoError(cl.t, err)
	return s
}

func (cl *cluster) rebootCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.reboots)
}

func (cl *cluster) vmStatus(dc model.DataCentre, vm model.VM) peer.VMStatus {
	s := cl.nodes[cl.awaitCoordinator(dc, 5*time.Second)].control.SiteStatus(cl.t.Context())
	return s.VMs[vm]
}

// awaitWave waits until the wave has ended in all data centres. Meanwhile it checks that at
// most one VM is unavailable.
func (cl *cluster) awaitWave(within time.Duration, total int) {
	cl.t.Helper()
	cl.eventually(within, func() bool {
		require.LessOrEqual(cl.t, len(cl.unavailableVMs()), 1, "more VMs unavailable than the budget of one: %v", cl.unavailableVMs())
		for _, p := range cl.peers {
			if n := cl.nodes[p.Name]; !n.isDead() && !n.isPaused() {
				w := n.control.SiteStatus(cl.t.Context()).Waves
				return len(w) == 1 && w[0].Done == total && w[0].Total == total && len(cl.unavailableVMs()) == 0
			}
		}
		return false
	}, "the wave did not end")
}

// Guards against a wave that exceeds a fleet budget across two data centres, reboots a VM
// while a request runs on it, or reboots a VM twice when answers of the platform and of the
// table are lost.
func TestWaveAcrossDataCentres(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2, "b": 1}, func(cl *cluster) {
		n := 0
		cl.store.loseAnswer = func(x platform.Txn) bool {
			if k := x.Puts[0].Key; strings.HasPrefix(k, "vm/") || strings.HasPrefix(k, "budget/") {
				n++
				return n%3 == 0
			}
			return false
		}
		entry := cl.startServingWithWave()
		p, reason := cl.acquire(entry, "t", time.Second)
		require.NotNil(t, p, reason)
		cl.startJob(p)
		for range 300 {
			cl.advance(50 * time.Millisecond)
			require.LessOrEqual(t, len(cl.unavailableVMs()), 1)
			cl.mu.Lock()
			require.False(t, cl.downMinions[string(p.Minion)], "rebooted while a request ran on it")
			cl.mu.Unlock()
		}
		cl.finishJob(p)
		cl.nodes[entry].control.Release(p, peer.AttemptOK)
		cl.awaitWave(2*time.Minute, 4)
		require.Equal(t, 4, cl.rebootCount())
		var row vmRow
		require.NoError(t, json.Unmarshal(cl.store.row("vm/a-vm-1").Value, &row))
		require.Equal(t, model.VMServing, row.State)
		require.Equal(t, model.Pool("quotes"), row.Pool)
	})
}

// Guards against a takeover that loses the state of a wave: VMs are rebooted twice, left out
// of service, or taken out of service beyond the budget.
func TestTakeoverContinuesWave(t *testing.T) {
	for _, state := range []model.VMState{model.VMDraining, model.VMEmpty, model.VMRebooting} {
		t.Run(string(state), func(t *testing.T) {
			inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
				entry := cl.startServingWithWave()
				cl.eventually(20*time.Second, func() bool {
					s, err := cl.nodes[entry].control.CoordinatorStatus(cl.t.Context())
					return err == nil && slices.ContainsFunc(s.Minions, func(m admission.MinionInfo) bool { return m.State == state })
				}, "no VM in the state")
				cl.nodes[entry].kill()
				cl.awaitCoordinator("a", 4*time.Second)
				cl.awaitWave(time.Minute, 2)
				require.Equal(t, 2, cl.rebootCount())
			})
		})
	}
}

// Guards against a wave that takes a VM out of service beside one that does not answer, because the
// coordinator has just taken over, or taken over again, and has not polled it often enough to suspect it.
func TestTakeoverKnowsNoVMThatHasNotAnswered(t *testing.T) {
	for _, again := range []bool{false, true} {
		t.Run(map[bool]string{false: "successor", true: "same process again"}[again], func(t *testing.T) {
			inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
				entry := cl.startServingWithWaveAfter(10 * time.Second)
				cl.mu.Lock()
				cl.downMinions["a-vm-2"] = true
				cl.mu.Unlock()
				cl.advance(9 * time.Second)
				require.True(t, cl.vmStatus("a", "a-vm-2").Suspect)
				requireBudget := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); {
						cl.advance(50 * time.Millisecond)
						require.LessOrEqual(t, len(cl.unavailableVMs()), 1, "%v", cl.unavailableVMs())
					}
				}
				if !again {
					cl.nodes[entry].kill()
					requireBudget(8 * time.Second)
					return
				}
				requireBudget(1500 * time.Millisecond)
				n := cl.nodes[entry].control
				n.post(func() { n.fleet.reset(); n.loadFleet() })
				requireBudget(8 * time.Second)
			})
		})
	}
}

// Guards against a VM that does not answer and never counts as failed, because its coordinator loses
// its role and takes it again before the time is over.
func TestFailureIsFoundAcrossTerms(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
		entry := cl.startServing(8, 100)
		cl.mu.Lock()
		cl.downMinions["a-vm-1"] = true
		cl.mu.Unlock()
		cl.eventually(8*time.Second, func() bool { return cl.vmStatus("a", "a-vm-1").Suspect }, "not suspect")
		n := cl.nodes[entry].control
		for range 3 {
			cl.advance(4 * time.Second)
			n.post(func() { n.fleet.reset(); n.fleet.reset(); n.loadFleet() }) // a takeover that fails, and another
		}
		cl.eventually(2*time.Second, func() bool { return cl.vmStatus("a", "a-vm-1").State != model.VMServing }, "not failed")
	})
}

// Guards against a VM that does not answer and never counts as failed, because each successor on
// another entry VM begins to count anew; and against one that fails without leaving a poll of the
// successor unanswered, or that a row which is out of date makes suspect.
func TestSuccessorGoesOnCountingTowardsAFailure(t *testing.T) {
	const takeover = 3 * time.Second // with the first polls of the successor
	start := func(cl *cluster) (entry model.EntryVM, suspect time.Time) {
		entry = cl.startServing(8, 100)
		cl.mu.Lock()
		cl.downMinions["a-vm-1"] = true
		cl.mu.Unlock()
		cl.eventually(6*time.Second, func() bool { return cl.vmStatus("a", "a-vm-1").Suspect }, "not suspect")
		suspect = time.Now()
		cl.advance(failSuspectAfter - takeover - 2*time.Second)
		return entry, suspect
	}
	t.Run("down", func(t *testing.T) {
		inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
			entry, suspect := start(cl)
			cl.nodes[entry].kill()
			cl.eventually(time.Until(suspect.Add(failSuspectAfter+takeover)), func() bool {
				return cl.vmStatus("a", "a-vm-1").State != model.VMServing
			}, "not failed")
			require.Greater(t, time.Since(suspect), failSuspectAfter-time.Second)
		})
	})
	t.Run("up again", func(t *testing.T) {
		inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
			entry, _ := start(cl)
			cl.nodes[entry].kill()
			cl.mu.Lock()
			cl.downMinions["a-vm-1"] = false
			cl.mu.Unlock()
			cl.awaitCoordinator("a", 6*time.Second)
			for range 400 {
				cl.advance(50 * time.Millisecond)
				require.Equal(t, model.VMServing, cl.vmStatus("a", "a-vm-1").State)
			}
			require.False(t, cl.vmStatus("a", "a-vm-1").Suspect)
			var row vmRow
			require.NoError(t, json.Unmarshal(cl.store.row("vm/a-vm-1").Value, &row))
			require.Zero(t, row.Suspect)
		})
	})
	t.Run("old row", func(t *testing.T) {
		inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
			n := cl.nodes[cl.startServing(8, 100)].control
			for _, age := range []time.Duration{suspectKeptFor / 2, 2 * suspectKeptFor} {
				done := make(chan bool)
				n.post(func() {
					r := &vmRecord{current: vmRow{State: model.VMServing}}
					n.adoptSuspect("a-vm-1", r, time.Now().Add(-age))
					done <- !r.suspectSince.IsZero()
				})
				require.Equal(t, age < suspectKeptFor, <-done)
			}
		})
	})
}

// Guards against planned steps that start without the table, and against steps in progress
// that do not finish without it.
func TestNoPlannedStepWithoutTable(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		entry := cl.startServingWithWave()
		cl.eventually(20*time.Second, func() bool { return cl.rebootCount() == 1 }, "no reboot")
		cl.store.setDown(true)
		cl.eventually(20*time.Second, func() bool { return cl.allVMsUp() }, "the reboot ends")
		for range 400 {
			cl.advance(50 * time.Millisecond)
			require.LessOrEqual(t, len(cl.unavailableVMs()), 1)
		}
		require.Equal(t, 1, cl.rebootCount())
		cl.nodes[entry].kill()
		cl.awaitCoordinator("a", 6*time.Second)
		for range 200 {
			cl.advance(50 * time.Millisecond)
			require.LessOrEqual(t, len(cl.unavailableVMs()), 1)
		}
		require.Equal(t, 1, cl.rebootCount())
		cl.store.setDown(false)
		cl.awaitWave(time.Minute, 2)
		require.Equal(t, 2, cl.rebootCount())
	})
}

// Guards against a VM that is rebooted twice in a wave: its first reboot had ended and it served
// again when the store went down, before the row said so.
func TestRebootIsNotRepeatedAfterAnOutage(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(map[bool]string{false: "same coordinator", true: "its successor"}[killed], func(t *testing.T) {
			inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
				entry := cl.startServingWithWave()
				down := false
				cl.store.mu.Lock()
				cl.store.writeDelay = func(x platform.Txn) time.Duration {
					if cl.rebootCount() == 1 && slices.ContainsFunc(x.Puts, returnsVM) {
						cl.store.mu.Lock()
						defer cl.store.mu.Unlock()
						cl.store.down, cl.store.dropWrites, down = true, true, true
					}
					return 0
				}
				cl.store.mu.Unlock()
				cl.eventually(20*time.Second, func() bool {
					cl.store.mu.Lock()
					defer cl.store.mu.Unlock()
					return down
				}, "no VM returns")
				cl.advance(time.Second) // the followers hear that it serves
				if killed {
					cl.nodes[entry].kill()
				}
				cl.advance(5 * time.Second)
				cl.store.mu.Lock()
				cl.store.down, cl.store.dropWrites, cl.store.writeDelay = false, false, nil
				cl.store.mu.Unlock()
				cl.awaitWave(time.Minute, 2)
				require.Equal(t, 2, cl.rebootCount())
			})
		})
	}
}

// returnsVM reports whether a put says that a VM of a wave serves again.
func returnsVM(p platform.Put) bool {
	var row vmRow
	return strings.HasPrefix(p.Key, vmPrefix) && json.Unmarshal(p.Value, &row) == nil && row.State == model.VMServing
}

func (cl *cluster) allVMsUp() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, down := range cl.downMinions {
		if down {
			return false
		}
	}
	return true
}

// Guards against a VM without answers that is marked as failed too early or never, or that
// is not repaired.
func TestSuspectAndFailedVM(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
		entry := cl.startServing(8, 100)
		cl.mu.Lock()
		cl.downMinions["a-vm-1"] = true
		cl.mu.Unlock()
		start := time.Now()
		cl.eventually(6*time.Second, func() bool { return cl.vmStatus("a", "a-vm-1").Suspect }, "not suspect")
		require.Greater(t, time.Since(start), 2*time.Second)
		cl.eventually(12*time.Second, func() bool { return cl.vmStatus("a", "a-vm-1").State == model.VMFailed }, "not failed")
		require.Greater(t, time.Since(start), failSuspectAfter)
		cl.eventually(10*time.Second, func() bool { return cl.vmStatus("a", "a-vm-1").State == model.VMServing }, "not repaired")
		require.Equal(t, 1, cl.rebootCount())
		p, reason := cl.acquire(entry, "t", time.Second)
		require.NotNil(t, p, reason)
	})
}

// Guards against a VM that moves to its new pool while requests of the old one run on it, or
// that is in two pools, also across a takeover.
func TestVMChangesPoolOnlyWhenEmpty(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		entry := cl.startServing(8, 100)
		var held []*model.Permit
		for range 2 { // one per VM
			p, reason := cl.acquire(entry, "t", time.Second)
			require.NotNil(t, p, reason)
			cl.startJob(p)
			held = append(held, p)
		}
		require.NotEqual(t, held[0].Minion, held[1].Minion)
		vm := held[0].Minion
		cl.addSite("v2", 8, map[model.Team]int{"t": 100})
		s := cl.sites["v2"]
		s.Pools = append(s.Pools, config.Pool{Name: "spare", Spare: true})
		for i := range s.VMs {
			if s.VMs[i].Name == vm {
				s.VMs[i].Pool = "spare"
			}
		}
		_, err := cl.apply(entry, "v2", 1)
		require.NoError(t, err)
		cl.eventually(5*time.Second, func() bool { return cl.vmStatus("a", vm).State == model.VMDraining }, "does not drain")
		for range 100 {
			cl.advance(50 * time.Millisecond)
			require.Equal(t, model.Pool("quotes"), cl.vmStatus("a", vm).Pool)
		}
		require.Equal(t, model.Pool("spare"), cl.vmStatus("a", vm).MoveTo)
		next := cl.otherNodes(entry)[0]
		cl.nodes[entry].kill()
		for range 60 {
			cl.advance(50 * time.Millisecond)
			if len(cl.coordinators("a")) == 1 {
				require.Equal(t, model.Pool("quotes"), cl.vmStatus("a", vm).Pool)
				for _, m := range cl.coordinatorStatus(next).Minions {
					require.Equal(t, m.VM != vm, m.State == model.VMServing)
				}
			}
		}
		cl.finishJob(held[0])
		cl.eventually(10*time.Second, func() bool { return cl.vmStatus("a", vm).Pool == "spare" }, "does not move")
		require.Equal(t, model.VMServing, cl.vmStatus("a", vm).State)
		for range 5 {
			p, reason := cl.acquire(next, "t", time.Second)
			require.NotNil(t, p, reason)
			require.NotEqual(t, vm, p.Minion, "a VM of the spare pool got work")
		}
	})
}

// Guards against a takeover after which a VM that was about to be rebooted gets work, or a
// failed VM no longer counts as failed.
func TestMergeVMState(t *testing.T) {
	const s, d, e, r, f = model.VMServing, model.VMDraining, model.VMEmpty, model.VMRebooting, model.VMFailed
	for _, x := range []struct{ here, row, want model.VMState }{
		{s, s, s}, {s, d, d}, {s, e, d}, {s, r, d}, {s, f, f},
		{d, s, s}, {d, d, d}, {d, e, e}, {d, r, r}, {d, f, f},
		{e, d, e}, {e, r, r}, {e, s, s}, {r, d, d}, {r, e, e}, {r, s, s},
		{f, s, f}, {f, d, f}, {f, e, f}, {f, r, r}, {f, f, f},
	} {
		require.Equal(t, x.want, mergeVMState(x.here, true, x.row), "%s here, %s in the row", x.here, x.row)
		require.Equal(t, x.row, mergeVMState(x.here, false, x.row))
	}
}

// Guards against planned work that keeps a part of a fleet budget that failed VMs of another
// data centre need.
func TestFailedVMsTakePrecedenceInFleetBudget(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1, "b": 1}, func(cl *cluster) {
		entry := cl.startServing(8, 100)
		for range 2 { // the VMs of data centre a stay busy, so that they keep draining
			p, reason := cl.acquire(entry, "t", time.Second)
			require.NotNil(t, p, reason)
			cl.startJob(p)
		}
		cl.addSite("v2", 8, map[model.Team]int{"t": 100})
		s := cl.sites["v2"]
		s.Budgets = []config.Budget{{Service: "quotes", Scope: config.ScopeFleet, MaxUnavailable: 1}}
		s.Pools = append(s.Pools, config.Pool{Name: "quotes-b", Service: "quotes"})
		for i := range s.VMs {
			if s.VMs[i].DC == "b" {
				s.VMs[i].Pool = "quotes-b"
			}
		}
		s.Waves = []config.Wave{{Name: "w", Pools: []model.Pool{"quotes"}, Start: time.Now().Add(5 * time.Second), DrainTimeout: time.Minute, Cooldown: time.Minute}}
		_, err := cl.apply(entry, "v2", 1)
		require.NoError(t, err)
		cl.eventually(20*time.Second, func() bool {
			return cl.vmStatus("a", "a-vm-1").State == model.VMDraining || cl.vmStatus("a", "a-vm-2").State == model.VMDraining
		}, "no VM drains")
		cl.mu.Lock()
		cl.downMinions["b-vm-1"] = true
		cl.mu.Unlock()
		cl.eventually(10*time.Second, func() bool { return cl.vmStatus("b", "b-vm-1").Suspect }, "not suspect")
		serving := func() bool {
			return cl.vmStatus("a", "a-vm-1").State == model.VMServing && cl.vmStatus("a", "a-vm-2").State == model.VMServing
		}
		cl.eventually(4*time.Second, serving, "a planned drain goes on beyond the budget")
		for cl.vmStatus("b", "b-vm-1").State == model.VMServing {
			require.True(t, serving())
			cl.advance(50 * time.Millisecond)
		}
		cl.eventually(40*time.Second, func() bool { return cl.vmStatus("b", "b-vm-1").State == model.VMServing }, "not repaired")
		cl.eventually(10*time.Second, func() bool { return !serving() }, "the wave does not go on")
	})
}
