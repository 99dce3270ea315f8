package entry

import (
	"fmt"
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

// newThreeDCs returns a cluster with e0 and e1 in data centre a, e2 and e3 in b, e4 and e5 in c.
func newThreeDCs(t *testing.T) *testCluster {
	tc := newTestCluster(t, 0)
	for i := range 6 {
		tc.dcs[fmt.Sprint("e", i)] = model.DataCentre("aabbcc"[i : i+1])
	}
	for name := range tc.dcs {
		tc.start(name)
	}
	time.Sleep(4 * time.Second)
	tc.requireReady("e0", "e1", "e2", "e3", "e4", "e5")
	return tc
}

func (tc *testCluster) requireReady(names ...string) {
	tc.t.Helper()
	for _, name := range names {
		if n := tc.nodes[name]; !n.Ready() {
			require.Fail(tc.t, "not ready", "%s after %v: %+v", name, time.Since(tc.startedAt), n.decision())
		}
	}
}

func (n *Node) decision() readiness.Decision {
	n.readiness.mu.Lock()
	defer n.readiness.mu.Unlock()
	return n.readiness.decision
}

// during checks every 10 ms.
func during(d time.Duration, check func()) {
	for range d / (10 * time.Millisecond) {
		time.Sleep(10 * time.Millisecond)
		check()
	}
}

// takesUntil returns how long it takes until a condition holds, at most a minute.
func takesUntil(t *testing.T, holds func() bool) time.Duration {
	began := time.Now()
	for !holds() {
		time.Sleep(5 * time.Millisecond)
		require.Less(t, time.Since(began), time.Minute)
	}
	return time.Since(began)
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
	for _, name := range []string{"e0", "e1"} {
		tc.setFaults(name, false, fault)
	}
}

// Guards against callers that use up their attempts at the entry VMs of a data centre that is cut off, and
// against entry VMs that stay out of rotation once it is not.
func TestEntryVMsOfACutDataCentreAreNotReady(t *testing.T) {
	for name, fault := range map[string]func(string) fleet.Fault{"refused": refuseAll, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newThreeDCs(t)
				defer tc.stop()
				for range 3 {
					tc.setCut(true, fault)
					took := takesUntil(t, func() bool { return !tc.nodes["e0"].Ready() && !tc.nodes["e1"].Ready() })
					// The coordinator is silent for 0.9 s before the store is read, if no caller comes.
					require.Less(t, took, 5*time.Second)
					during(6*time.Second, func() {
						tc.requireReady("e2", "e3", "e4", "e5")
						require.False(t, tc.nodes["e0"].Ready() || tc.nodes["e1"].Ready())
					})
					tc.setCut(false, nil)
					took = takesUntil(t, func() bool { return tc.nodes["e0"].Ready() && tc.nodes["e1"].Ready() })
					require.Less(t, took, storeCheckTimeout+3*operatorRetryDelay, "a probe in progress, and two more")
					during(3*time.Second, func() { tc.requireReady("e0", "e1", "e2", "e3", "e4", "e5") })
				}
			})
		})
	}
}

// Guards against a late decision: a caller's failed request must make the entry VM look at the store.
func TestFailedRequestStartsTheProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newThreeDCs(t)
		defer tc.stop()
		tc.setCut(true, silent)
		go tc.nodes["e0"].Submit(t.Context(), newJob(id1))
		require.Less(t, takesUntil(t, func() bool { return !tc.nodes["e0"].Ready() }), 2500*time.Millisecond)
	})
}

// Guards against a site out of rotation as a whole while the store answers nobody, and against entry VMs out of
// rotation that can store jobs, slowly or through a peer.
func TestEntryVMsStayReady(t *testing.T) {
	var calls atomic.Int64
	each := func(n int64, f fleet.Fault) func(string) fleet.Fault {
		return func(string) fleet.Fault {
			if calls.Add(1)%n == 0 {
				return f
			}
			return fleet.None
		}
	}
	all := []string{"e0", "e1", "e2", "e3", "e4", "e5"}
	for name, c := range map[string]struct {
		at    []string
		fault func(string) fleet.Fault
		slow  time.Duration
	}{
		"store refuses all":              {all, refuseAll, 0},
		"store silent for all":           {all, silent, 0},
		"store refuses two, peers relay": {all[:2], refuseAll, 0},
		"store silent for two":           {all[:2], silent, 0},
		"slow store":                     {nil, nil, 600 * time.Millisecond},
		"single refusals":                {all, each(3, fleet.Refuse), 0},
		"lost answers":                   {all, each(4, fleet.Lose), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newThreeDCs(t)
				defer tc.stop()
				for _, n := range c.at {
					tc.setFaults(n, false, c.fault)
				}
				if c.slow > 0 {
					for _, n := range all {
						tc.setFaults(n, false, func(string) fleet.Fault { time.Sleep(c.slow); return fleet.None })
					}
				}
				for i := range 30 {
					go tc.nodes[all[i%6]].Submit(t.Context(), newJob(jobs.ID(fmt.Sprintf("%016x", i))))
					during(500*time.Millisecond, func() { tc.requireReady(all...) })
				}
				for _, n := range c.at {
					tc.setFaults(n, false, nil)
				}
				during(3*time.Second, func() { tc.requireReady(all...) })
			})
		})
	}
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
			synctest.Test(t, func(t *testing.T) {
				tc := newThreeDCs(t)
				defer tc.stop()
				tc.setCut(true, refuseAll)
				n := tc.nodes["e0"]
				takesUntil(t, func() bool { return !n.Ready() })
				changed, ready, last := 0, false, time.Now()
				check := func() {
					if r := n.Ready(); r != ready {
						if r {
							require.GreaterOrEqual(t, time.Since(last), 990*time.Millisecond)
						}
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
				tc.setCut(false, nil)
				takesUntil(t, n.Ready)
			})
		})
	}
}

// Guards against calls to the store or to peers for readiness while all calls succeed, and against more than
// a few after a single failed one.
func TestReadinessCostsNoCallsInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newThreeDCs(t)
		defer tc.stop()
		var reads, relayed atomic.Int64
		fail := ""
		for name := range tc.nodes {
			if tc.nodes[name].term.Load() != nil || tc.nodes[name].designatedSuccessor() {
				continue // these read the lease's row anyway
			}
			fail = name
			tc.mu.Lock()
			tc.getFault[name] = func(key string) fleet.Fault {
				if key == lease.Key {
					reads.Add(1)
				}
				return fleet.None
			}
			tc.mu.Unlock()
			tc.nodes[name].store.Peers = func() (none []relay.PeerClient) { relayed.Add(1); return nil }
		}
		time.Sleep(10 * time.Second)
		require.Zero(t, reads.Load())
		require.Zero(t, relayed.Load())
		var once atomic.Bool
		tc.setFaults(fail, false, func(op string) fleet.Fault {
			if op == "commit" && once.CompareAndSwap(false, true) {
				return fleet.Refuse
			}
			return fleet.None
		})
		tc.nodes[fail].Submit(t.Context(), newJob(id1))
		time.Sleep(5 * time.Second)
		require.True(t, once.Load())
		require.EqualValues(t, 1, reads.Load())
	})
}

// Guards against an entry VM that asks for connections while it shuts down or before it has read the
// operators' rows, and against a decision that forgets a shutdown.
func TestReadinessFollowsShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newThreeDCs(t)
		defer tc.stop()
		n := tc.nodes["e0"]
		n.BeginShutdown(t.Context())
		require.False(t, n.Ready())
		require.Equal(t, readiness.Stopping, n.decision().Reason)
		during(3*time.Second, func() { require.False(t, n.Ready()) })
	})
}
