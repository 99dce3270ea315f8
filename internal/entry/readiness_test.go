package entry

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/readiness"
	"boragepulley/internal/relay"
	"boragepulley/standins/fleet"
)

var sixEntryVMs = []string{"e0", "e1", "e2", "e3", "e4", "e5"}

// inThreeDCs runs a test with e0 and e1 in data centre a, e2 and e3 in b, e4 and e5 in c.
func inThreeDCs(t *testing.T, test func(t *testing.T, tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		defer tc.stop()
		for i, name := range sixEntryVMs {
			tc.dcs[name] = model.DataCentre("aabbcc"[i : i+1])
		}
		for _, name := range sixEntryVMs {
			tc.start(name)
		}
		time.Sleep(4 * time.Second)
		tc.requireReady(sixEntryVMs...)
		test(t, tc)
	})
}

func (n *Node) decision() readiness.Decision {
	n.readiness.mu.Lock()
	defer n.readiness.mu.Unlock()
	return n.readiness.decision
}

func (tc *testCluster) requireReady(names ...string) {
	tc.t.Helper()
	for _, name := range names {
		if n := tc.nodes[name]; !n.Ready() {
			require.Fail(tc.t, "not ready", "%s after %v: %+v", name, time.Since(tc.startedAt), n.decision())
		}
	}
}

// during checks every 10 ms.
func during(d time.Duration, check func()) {
	for range d / (10 * time.Millisecond) {
		time.Sleep(10 * time.Millisecond)
		check()
	}
}

// awaitReady requires that the readiness of entry VMs takes on a value in time.
func (tc *testCluster) awaitReady(ready bool, within time.Duration, names ...string) {
	tc.t.Helper()
	began := time.Now()
	for _, name := range names {
		for tc.nodes[name].Ready() != ready {
			time.Sleep(5 * time.Millisecond)
			require.Less(tc.t, time.Since(began), within, "%s: %+v", name, tc.nodes[name].decision())
		}
	}
}

// silent is the fault of a store that cannot be reached: reads end by their time limits.
func silent(op string) fleet.Fault {
	if op == "commit" {
		return fleet.Refuse
	}
	return fleet.Lose
}

// setCut cuts data centre a from the store and from the others, or ends that.
func (tc *testCluster) setCut(cut bool, fault func(string) fleet.Fault) {
	tc.mu.Lock()
	tc.cutDCs["a"] = cut
	tc.mu.Unlock()
	tc.setFaults("e0", false, fault)
	tc.setFaults("e1", false, fault)
}

// backWithin allows for a probe that is in progress when the store returns, and two more.
const backWithin = storeCheckTimeout + 3*operatorRetryDelay

// Guards against callers that use up their attempts at the entry VMs of a data centre that is cut off, and
// against entry VMs that stay out of rotation once it is not.
func TestEntryVMsOfACutDataCentreAreNotReady(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(string) fleet.Fault
		caller bool
		within time.Duration
	}{
		// Without a caller, the store is read once the coordinator has been silent for 0.9 s.
		"refused":               {refuseAll, false, 3500 * time.Millisecond},
		"silent":                {silent, false, 5 * time.Second},
		"refused, with callers": {refuseAll, true, 2500 * time.Millisecond},
		"silent, with callers":  {silent, true, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inThreeDCs(t, func(t *testing.T, tc *testCluster) {
				for range 3 {
					tc.setCut(true, c.fault)
					if c.caller {
						go tc.nodes["e0"].Submit(t.Context(), newJob(id1))
						go tc.nodes["e1"].Submit(t.Context(), newJob(id2))
					}
					tc.awaitReady(false, c.within, "e0", "e1")
					during(6*time.Second, func() {
						tc.requireReady("e2", "e3", "e4", "e5")
						require.False(t, tc.nodes["e0"].Ready() || tc.nodes["e1"].Ready())
					})
					tc.setCut(false, nil)
					tc.awaitReady(true, backWithin, "e0", "e1")
					during(3*time.Second, func() { tc.requireReady(sixEntryVMs...) })
				}
			})
		})
	}
}

// Guards against a site out of rotation as a whole while the store answers nobody, and against entry VMs out of
// rotation that can store jobs, slowly or through a peer.
func TestEntryVMsStayReady(t *testing.T) {
	each := func(n int64, f fleet.Fault) func(string) fleet.Fault {
		var calls atomic.Int64
		return func(string) fleet.Fault {
			if calls.Add(1)%n == 0 {
				return f
			}
			return fleet.None
		}
	}
	slow := func(string) fleet.Fault { time.Sleep(600 * time.Millisecond); return fleet.None }
	for name, c := range map[string]struct {
		at    []string
		fault func(string) fleet.Fault
	}{
		"store refuses all":              {sixEntryVMs, refuseAll},
		"store silent for all":           {sixEntryVMs, silent},
		"store refuses two, peers relay": {sixEntryVMs[:2], refuseAll},
		"store silent for two":           {sixEntryVMs[:2], silent},
		"slow store":                     {sixEntryVMs, slow},
		"single refusals":                {sixEntryVMs, each(3, fleet.Refuse)},
		"lost answers":                   {sixEntryVMs, each(4, fleet.Lose)},
	} {
		t.Run(name, func(t *testing.T) {
			inThreeDCs(t, func(t *testing.T, tc *testCluster) {
				for _, n := range c.at {
					tc.setFaults(n, false, c.fault)
				}
				for i := range 30 {
					go tc.nodes[sixEntryVMs[i%6]].Submit(t.Context(), newJob(jobs.ID(fmt.Sprintf("%016x", i))))
					during(500*time.Millisecond, func() { tc.requireReady(sixEntryVMs...) })
				}
				for _, n := range c.at {
					tc.setFaults(n, false, nil)
				}
				during(3*time.Second, func() { tc.requireReady(sixEntryVMs...) })
			})
		})
	}
}

// Guards against a site out of rotation while the store is away for all, because some entry VMs reached it
// shortly before or because two of different data centres are down.
func TestStoreAwayForAllTakesNoneOut(t *testing.T) {
	t.Run("after refusals of some", func(t *testing.T) {
		inThreeDCs(t, func(t *testing.T, tc *testCluster) {
			for _, n := range sixEntryVMs[:3] {
				tc.setFaults(n, false, refuseAll)
			}
			for i := range 12 {
				go tc.nodes[sixEntryVMs[i%6]].Submit(t.Context(), newJob(jobs.ID(fmt.Sprintf("%016x", i))))
				time.Sleep(250 * time.Millisecond)
			}
			for _, n := range sixEntryVMs {
				tc.setFaults(n, false, refuseAll)
			}
			during(10*time.Second, func() { tc.requireReady(sixEntryVMs...) })
		})
	})
	t.Run("two are down", func(t *testing.T) {
		inThreeDCs(t, func(t *testing.T, tc *testCluster) {
			tc.setFaults("e1", true, refuseAll)
			tc.setFaults("e5", true, refuseAll)
			time.Sleep(time.Second)
			for _, n := range []string{"e0", "e2", "e3", "e4"} {
				tc.setFaults(n, false, silent)
			}
			during(10*time.Second, func() { tc.requireReady("e0", "e2", "e3", "e4") })
		})
	})
}

// Guards against a large data centre out of rotation while the store is away for all and two entry VMs elsewhere
// are down, because its probes seldom ask the others elsewhere.
func TestStoreAwayForAllInALargeDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		defer tc.stop()
		var names []string
		for i := range 20 {
			names = append(names, fmt.Sprint("e", i))
			tc.dcs[names[i]] = model.DataCentre("aaaaaaaaaaaabbbbcccc"[i : i+1])
		}
		for _, n := range names {
			tc.start(n)
		}
		time.Sleep(4 * time.Second)
		tc.setFaults("e12", true, refuseAll)
		tc.setFaults("e16", true, refuseAll)
		time.Sleep(time.Second)
		up := slices.DeleteFunc(names, func(n string) bool { return n == "e12" || n == "e16" })
		for _, n := range up {
			tc.setFaults(n, false, silent)
		}
		during(20*time.Second, func() { tc.requireReady(up...) })
	})
}

// Guards against jobs that are refused at entry VMs with a path through peers, because the store answers those
// more slowly than they answer probes.
func TestSubmitsGoThroughPeersWithASlowStore(t *testing.T) {
	inThreeDCs(t, func(t *testing.T, tc *testCluster) {
		slow := func(string) fleet.Fault { time.Sleep(200 * time.Millisecond); return fleet.None }
		for _, n := range sixEntryVMs[2:] {
			tc.setFaults(n, false, slow)
		}
		for _, n := range sixEntryVMs[:2] {
			tc.setFaults(n, false, refuseAll)
		}
		time.Sleep(3 * time.Second)
		for i := range 20 {
			a := tc.nodes["e0"].Submit(t.Context(), newJob(jobs.ID(fmt.Sprintf("%016x", 100+i))))
			require.NoError(t, a.Err, "submit %d", i)
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Guards against an entry VM that does not follow the operators' rows after an outage, although it can read them
// through peers, because the store answers those more slowly than they answer probes.
func TestOperatorsAreFollowedThroughPeersWithASlowStore(t *testing.T) {
	inThreeDCs(t, func(t *testing.T, tc *testCluster) {
		for _, n := range sixEntryVMs {
			tc.setFaults(n, false, refuseAll)
		}
		time.Sleep(3 * time.Second)
		e0 := tc.nodes["e0"]
		require.True(t, e0.readiness.awaiting.Load())
		slow := func(string) fleet.Fault { time.Sleep(200 * time.Millisecond); return fleet.None }
		for _, n := range sixEntryVMs[2:] {
			tc.setFaults(n, false, slow)
		}
		time.Sleep(4 * time.Second)
		waiting := 0
		during(10*time.Second, func() {
			if e0.readiness.awaiting.Load() {
				waiting++
			}
		})
		require.Less(t, waiting, 500, "of 1000")
		require.Zero(t, e0.outageSince.Load())
	})
}

// Guards against a site of one data centre, or an entry VM that knows no other, out of rotation: there is
// nowhere else to go.
func TestSingleDataCentreStaysReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(4 * time.Second)
		tc.setFaults("e0", true, silent)
		during(10*time.Second, func() { tc.requireReady("e0", "e1", "e2") })
		tc.nodes["e0"].members.Store(nil)
		during(5*time.Second, func() { tc.requireReady("e0") })
	})
}

// Guards against readiness that changes with each short return of the store, and against times out of rotation
// that the load balancer does not see.
func TestFlappingStoreChangesReadinessSeldom(t *testing.T) {
	for name, c := range map[string]struct {
		away, back time.Duration
		changes    int // at most, in 40 periods
	}{
		"short returns": {700 * time.Millisecond, 150 * time.Millisecond, 0},
		"short outages": {300 * time.Millisecond, 2500 * time.Millisecond, 1},
		"long both":     {3 * time.Second, 3 * time.Second, 80},
	} {
		t.Run(name, func(t *testing.T) {
			inThreeDCs(t, func(t *testing.T, tc *testCluster) {
				tc.setCut(true, refuseAll)
				tc.awaitReady(false, time.Minute, "e0")
				changed, ready, last := 0, false, time.Now()
				check := func() {
					if r := tc.nodes["e0"].Ready(); r != ready {
						require.True(t, !r || time.Since(last) >= 990*time.Millisecond)
						changed, ready, last = changed+1, r, time.Now()
					}
				}
				for range 40 {
					tc.setFaults("e0", false, refuseAll)
					during(c.away, check)
					tc.setFaults("e0", false, nil)
					during(c.back, check)
				}
				require.LessOrEqual(t, changed, c.changes)
			})
		})
	}
}

// Guards against calls to the store or to peers for readiness while all calls succeed, and against more than
// one after a single failed one.
func TestReadinessCostsNoCallsInCalm(t *testing.T) {
	inThreeDCs(t, func(t *testing.T, tc *testCluster) {
		var reads, relayed atomic.Int64
		last := ""
		for name, n := range tc.nodes {
			if n.term.Load() != nil || n.designatedSuccessor() {
				continue // these read the lease's row anyway
			}
			last = name
			tc.mu.Lock()
			tc.getFault[name] = func(key string) fleet.Fault {
				if key == lease.Key {
					reads.Add(1)
				}
				return fleet.None
			}
			tc.mu.Unlock()
			n.store.Peers = func() (none []relay.PeerClient) { relayed.Add(1); return nil }
		}
		time.Sleep(10 * time.Second)
		require.Zero(t, reads.Load()+relayed.Load())
		var failed atomic.Bool
		tc.setFaults(last, false, func(op string) fleet.Fault {
			if op == "commit" && failed.CompareAndSwap(false, true) {
				return fleet.Refuse
			}
			return fleet.None
		})
		tc.nodes[last].Submit(t.Context(), newJob(id1))
		time.Sleep(5 * time.Second)
		require.True(t, failed.Load())
		require.EqualValues(t, 1, reads.Load())
	})
}

// Guards against an entry VM that stays out of rotation because a panic ended the probes by which it returns.
func TestRestartedWatchReturnsToRotation(t *testing.T) {
	inThreeDCs(t, func(t *testing.T, tc *testCluster) {
		n := tc.nodes["e0"]
		n.readiness.mu.Lock()
		n.readiness.decision = readiness.Decision{Reason: readiness.CutOff, Since: n.deps.Now()}
		n.readiness.out.Store(true)
		n.readiness.mu.Unlock()
		n.runForever("watching the store", n.watchStore)
		tc.awaitReady(true, 3*time.Second, "e0")
	})
}
