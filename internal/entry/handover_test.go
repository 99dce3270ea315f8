package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// syncLog collects log lines.
type syncLog struct {
	mu sync.Mutex
	b  strings.Builder // guarded by mu
}

func (l *syncLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncLog) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), s)
}

// slowlyRefused makes each direct call take 0.35 s and fail, as in a data centre that is cut off.
func slowlyRefused(string) fleet.Fault {
	time.Sleep(350 * time.Millisecond)
	return fleet.Refuse
}

// newCutSite returns a cluster of entry VMs in the data centres a and b that has run for longer than a term
// must last before a handover, and its coordinator, which is the largest and in a.
func newCutSite(t *testing.T) (*testCluster, *syncLog) {
	tc, log := newTestCluster(t, 0), &syncLog{}
	tc.logs = log
	names := []string{"a1", "a2", "b1", "b2"}
	for _, name := range names {
		tc.dcs[name], tc.cores[name] = model.DataCentre(name[:1]), 0.8
	}
	tc.cores["a1"] = 1
	for _, name := range names {
		tc.start(name)
	}
	time.Sleep(15 * time.Second)
	require.Equal(t, "a1", tc.coordinator())
	return tc, log
}

// cut cuts data centre a from the store, or ends that.
func (tc *testCluster) cut(isCut bool) {
	for _, name := range []string{"a1", "a2"} {
		if isCut {
			tc.setFaults(name, false, slowlyRefused)
		} else {
			tc.setFaults(name, false, nil)
		}
	}
}

// loseAnswers sets whether an entry VM gets no answers from others.
func (tc *testCluster) loseAnswers(name string, lost bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.answersLost[name] = lost
}

// orderers returns how many entry VMs may send orders.
func (tc *testCluster) orderers() int {
	out := 0
	for _, n := range tc.nodes {
		if term := n.term.Load(); term != nil && term.MayOrder() {
			out++
		}
	}
	return out
}

// submitOneTask submits a job and returns whether it completes within a second.
func (tc *testCluster) submitOneTask(at string, i int) bool {
	id := jobs.ID(fmt.Sprintf("%016x", i))
	a := tc.nodes[at].Submit(tc.t.Context(), jobs.Accepted{ID: id, Queue: "q", Service: "s", AcceptedAt: time.Now(),
		Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, Need: jobs.Resources{CPU: 100}}}}})
	require.NoError(tc.t, a.Err)
	time.Sleep(time.Second)
	return tc.nodes[at].State(tc.t.Context(), id).State == jobs.StateCompleted
}

// Guards against a coordinator that keeps the role while its data centre is cut from the store and every
// start waits for a write through a peer, against two coordinators, and against a role that goes back to the
// larger entry VM while its path is bad.
func TestCutCoordinatorHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newCutSite(t)
		defer tc.stop()
		probes := probesSoFar()
		time.Sleep(20 * time.Second)
		require.Equal(t, probes, probesSoFar(), "no probes while the path is good")
		for i := range 3 {
			require.True(t, tc.submitOneTask("b1", i))
		}

		tc.cut(true)
		began, without := time.Now(), time.Duration(0)
		for tc.coordinatorOtherThan("a1") == "" {
			time.Sleep(10 * time.Millisecond)
			require.LessOrEqual(t, tc.orderers(), 1)
			if tc.orderers() == 0 {
				without += 10 * time.Millisecond
			}
			require.Less(t, time.Since(began), 5*time.Second)
		}
		require.Less(t, without, time.Second)
		next := tc.coordinatorOtherThan("a1")
		require.Equal(t, "b", next[:1])
		require.Equal(t, 1, log.count("Coordinator: handing over, its path to the store is bad."))
		time.Sleep(time.Second)
		for i := range 60 {
			require.True(t, tc.submitOneTask("b1", 100+i), "job %d", i)
			require.Equal(t, next, tc.coordinator())
			require.False(t, i > 2 && tc.nodes["a1"].designatedSuccessor(), "the successor is one that reaches the store")
		}

		tc.cut(false)
		time.Sleep(15 * time.Second)
		require.Equal(t, "a1", tc.coordinator(), "the larger entry VM coordinates again once its path is good")
		probes = probesSoFar()
		time.Sleep(30 * time.Second)
		require.Equal(t, probes, probesSoFar())
	})
}

// probesSoFar returns how many direct reads all entry VMs of this process have made for a coordinator.
func probesSoFar() string {
	if v := counters.Get("store_probes"); v != nil {
		return v.String()
	}
	return "0"
}

// Guards against a handover while the store is as slow for all others.
func TestCoordinatorStaysWhileTheStoreIsSlowForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newCutSite(t)
		defer tc.stop()
		slow := func(string) fleet.Fault {
			time.Sleep(300 * time.Millisecond)
			return fleet.None
		}
		for name := range tc.nodes {
			tc.setFaults(name, false, slow)
		}
		term := tc.nodes["a1"].term.Load()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			require.Same(t, term, tc.nodes["a1"].term.Load())
		}
		require.Positive(t, log.count(`"reason":"none_better"`))
	})
}

// Guards against a site that stays without a coordinator for longer than after the loss of one, because the
// outcome of the last write of a handover is unknown, and against two coordinators then. The write takes
// effect in the first case and never arrives in the second.
func TestLostLastWriteOfAHandover(t *testing.T) {
	for _, applied := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tc, log := newCutSite(t)
			defer tc.stop()
			tc.cut(true)
			begun := func() bool { return log.count("Coordinator: handing over") > 0 }
			var lost atomic.Bool
			for _, name := range []string{"a2", "b1", "b2"} { // which make the write for a1
				tc.setFaults(name, false, func(op string) fleet.Fault {
					if op != "commit" || !begun() || !lost.CompareAndSwap(false, true) {
						return fleet.None
					}
					tc.loseAnswers("a1", true)
					if applied {
						return fleet.None
					}
					return fleet.Refuse
				})
			}
			for !begun() {
				time.Sleep(10 * time.Millisecond)
			}
			released := time.Now()
			for tc.coordinatorOtherThan("a1") == "" {
				time.Sleep(10 * time.Millisecond)
				require.LessOrEqual(t, tc.orderers(), 1)
				require.Less(t, time.Since(released), 10*time.Second)
			}
			// As in TestLostCoordinatorIsReplaced.
			require.Less(t, time.Since(released), coordinatorTimeout+lease.TTL+acquireMargin+leaseReadInterval+acquireJitter+electionInterval)
			require.True(t, lost.Load())
			tc.loseAnswers("a1", false)
			time.Sleep(time.Second)
			next := tc.coordinatorOtherThan("a1")
			for i := range 30 {
				require.True(t, tc.submitOneTask("b1", i), "job %d", i)
				require.LessOrEqual(t, tc.orderers(), 1)
				require.Equal(t, next, tc.coordinator())
			}
		})
	}
}

// Guards against a site without a coordinator, or one whose minions get no orders, after the last write of a
// handover certainly had no effect, and against handovers that are tried again and again.
func TestRefusedLastWriteOfAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newCutSite(t)
		defer tc.stop()
		tc.cut(true)
		handovers := func() int { return log.count("Coordinator: handing over") }
		var refused atomic.Bool
		for _, name := range []string{"a2", "b1", "b2"} {
			tc.setFaults(name, false, func(op string) fleet.Fault {
				if op == "commit" && handovers() > 0 && !refused.Load() {
					return fleet.Refuse
				}
				return fleet.None
			})
		}
		term := tc.nodes["a1"].term.Load()
		for log.count("the term goes on") == 0 {
			time.Sleep(5 * time.Millisecond)
			require.Less(t, time.Since(tc.startedAt), 40*time.Second)
		}
		refused.Store(true)
		require.NoError(t, tc.nodes["b1"].Submit(t.Context(), newJob(id1)).Err)
		time.Sleep(2500 * time.Millisecond)
		require.Same(t, term, tc.nodes["a1"].term.Load())
		require.Equal(t, jobs.StateCompleted, tc.nodes["b1"].State(t.Context(), id1).State)
		require.Equal(t, 1, handovers())
		time.Sleep(3 * time.Second)
		require.NotEqual(t, "a1", tc.coordinator(), "the next try succeeds")
		require.Equal(t, 2, handovers())
		require.True(t, tc.submitOneTask("b1", 1))
	})
}

// Guards against the end of a term, and a pause of its orders, because a handover is due while the write in
// progress does not end.
func TestWriteThatDoesNotEndIsAwaitedBeforeAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newCutSite(t)
		defer tc.stop()
		term := tc.nodes["a1"].term.Load()
		tc.setFaults("a1", false, func(op string) fleet.Fault {
			if op == "commit" {
				time.Sleep(8 * time.Second)
			}
			return fleet.None
		})
		for range 700 {
			time.Sleep(10 * time.Millisecond)
			require.Same(t, term, tc.nodes["a1"].term.Load())
			require.True(t, term.MayOrder())
		}
		require.Positive(t, log.count(`"reason":"bad_store_path"`))
		require.Zero(t, log.count("Coordinator: handing over"))
	})
}

// Guards against two calls that write the last rows at once, because the entry VM is shut down while a handover
// waits for the write in progress or makes its last one.
func TestShutdownDuringAHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newCutSite(t)
		defer tc.stop()
		tc.cut(true)
		for log.count(`"reason":"bad_store_path"`) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * electionInterval)
		tc.nodes["a1"].BeginShutdown(t.Context())
		time.Sleep(time.Second)
		require.NotEmpty(t, tc.coordinatorOtherThan("a1"))
		require.Equal(t, 1, tc.orderers())
		require.True(t, tc.submitOneTask("b1", 1))
	})
}

// Guards against a probe that blocks the answer to a heartbeat, that goes through a peer, or that is made more
// often than allowed; a heartbeat without a probe causes none.
func TestProbeReadsDirectlyInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		name := string(tc.otherThan(tc.coordinator()).deps.Self.Entry)
		n := tc.nodes[name]
		var refuse atomic.Bool
		tc.setFaults(name, false, func(op string) fleet.Fault {
			if refuse.Load() {
				return slowlyRefused(op)
			}
			return fleet.None
		})
		heartbeat := func(probe bool) *peer.CoordinatorHeartbeatReply {
			began := time.Now()
			r, err := n.Handler().CoordinatorHeartbeat(t.Context(), &peer.CoordinatorHeartbeat{From: n.deps.Self, Probe: probe})
			require.NoError(t, err)
			require.Zero(t, time.Since(began))
			return r
		}
		require.Zero(t, heartbeat(true).StoreAgeMS, "the first read is in progress")
		time.Sleep(100 * time.Millisecond)
		r := heartbeat(true)
		require.True(t, r.StoreOK)
		require.Equal(t, int64(4), r.StoreMS)
		require.Equal(t, int64(96), r.StoreAgeMS)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, r.StoreRead, heartbeat(true).StoreRead, "no second read within 300 ms")
		time.Sleep(100 * time.Millisecond)
		heartbeat(true)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, r.StoreRead+1, heartbeat(true).StoreRead)
		require.Zero(t, heartbeat(false).StoreAgeMS)

		refuse.Store(true)
		time.Sleep(300 * time.Millisecond)
		heartbeat(true)
		time.Sleep(360 * time.Millisecond)
		require.False(t, heartbeat(true).StoreOK)
	})
}

// Guards against an entry VM that does not know of a handover for health, and so gives the role back too soon:
// it took the free lease without the announcement.
func TestHandoverIsKnownFromTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		defer tc.stop()
		time.Sleep(2 * time.Second)
		n := tc.nodes["e0"]
		require.Zero(t, n.lastHandover.Load())
		tc.store.Put(lease.Key, []byte(`{"e":7,"n":3,"u":true}`))
		time.Sleep(2 * time.Second)
		require.NotZero(t, n.lastHandover.Load())
		require.NotNil(t, n.term.Load())
	})
}

// Guards against two coordinators, jobs that stay behind and runs that are started twice while handovers meet
// cuts, lost and refused calls, slow stores and shutdowns at random.
func TestRandomFaultsDuringHandovers(t *testing.T) {
	handovers := 0
	for seed := range uint64(handoverSeeds) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			tc, log := newCutSite(t)
			defer tc.stop()
			var accepted []jobs.ID
			for i := range 80 {
				dc, faulty := []string{"a", "b"}[r.IntN(2)], r.IntN(3) > 0
				for name := range tc.nodes {
					var f func(string) fleet.Fault
					if faulty && name[:1] == dc {
						f = randomFault(r.Uint64())
					}
					tc.setFaults(name, false, f)
					tc.loseAnswers(name, faulty && r.IntN(12) == 0)
				}
				if i == 40 { // a restart without notice to the role's next holder
					name := tc.coordinator()
					if name != "" {
						tc.nodes[name].BeginShutdown(t.Context())
						tc.nodes[name].Stop()
						tc.start(name)
					}
				}
				for range 2 + r.IntN(30) {
					id := jobs.ID(fmt.Sprintf("%016x", len(accepted)))
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					a := tc.nodes["b1"].Submit(ctx, jobs.Accepted{ID: id, Queue: "q", Service: "s", AcceptedAt: time.Now(),
						Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, Need: jobs.Resources{CPU: 1000}}}}})
					cancel()
					if a.Err == nil {
						accepted = append(accepted, id)
					}
					time.Sleep(100 * time.Millisecond)
					require.LessOrEqual(t, tc.orderers(), 1, "seed %d", seed)
				}
			}
			for name := range tc.nodes {
				tc.setFaults(name, false, nil)
				tc.loseAnswers(name, false)
			}
			time.Sleep(20 * time.Second)
			for _, id := range accepted {
				// The sites of these tests forget a job soon after its end.
				if a := tc.nodes["b1"].State(t.Context(), id); !errors.Is(a.Err, site.ErrJobNotFound) {
					require.Equal(t, jobs.StateCompleted, a.State, "seed %d, job %s", seed, id)
				}
				require.Positive(t, tc.minions.Starts(string(id)+".0.0.0"), "seed %d, job %s", seed, id)
			}
			require.Empty(t, tc.minions.Violations(), "seed %d", seed)
			handovers += log.count("Coordinator: handing over")
		})
	}
	require.Positive(t, handovers)
	t.Logf("%d handovers", handovers)
}

// handoverSeeds is the number of random cases.
const handoverSeeds = 4

// randomFault returns the faults of an entry VM's calls of the store: refused slowly, some of them lost, or
// slow.
func randomFault(seed uint64) func(string) fleet.Fault {
	switch seed % 4 {
	case 0, 1:
		return slowlyRefused
	case 2:
		var n atomic.Uint64
		return func(string) fleet.Fault {
			if (n.Add(1)*seed>>7)%4 == 0 {
				return fleet.Lose
			}
			return fleet.None
		}
	}
	return func(string) fleet.Fault {
		time.Sleep(300 * time.Millisecond)
		return fleet.None
	}
}
