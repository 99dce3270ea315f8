package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/model"
	"boragepulley/standins/fleet"
)

// Guards against an entry VM that leaves the lease to others for seconds although its term has not ended with
// a handover.
func TestNoHoldOffAfterATermThatWasNotHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		n := tc.nodes[tc.coordinator()]
		term := n.term.Load()
		term.End(coordinator.ErrNotCoordinating)
		var seen observedLease
		n.handOver(term, &seen)
		require.Zero(t, seen.notBefore)
	})
}

// Guards against a site of two entry VMs that stays without a coordinator for the hold-off, because the
// successor does not take the lease.
func TestNoHoldOffIfOnlyTheSuccessorIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, log := newTestCluster(t, 0), &syncLog{}
		tc.logs = log
		defer tc.stop()
		for name, cores := range map[string]float64{"a1": 1, "b1": 0.8} {
			tc.dcs[name], tc.cores[name] = model.DataCentre(name[:1]), cores
			tc.start(name)
		}
		time.Sleep(15 * time.Second)
		require.Equal(t, "a1", tc.coordinator())
		first := tc.nodes["a1"].term.Load()
		tc.setFaults("a1", false, slowlyRefused)
		var released atomic.Bool
		tc.setFaults("b1", false, func(op string) fleet.Fault {
			switch {
			case op != "commit" || log.count("Coordinator: handing over") == 0:
				return fleet.None
			case released.CompareAndSwap(false, true): // the last write of a1
				tc.setFaults("a1", false, nil)
				return fleet.None
			}
			time.Sleep(10 * time.Second) // b1 does not take the lease
			return fleet.Refuse
		})
		for log.count("Coordinator: handing over") == 0 {
			time.Sleep(5 * time.Millisecond)
			require.Less(t, time.Since(tc.startedAt), 40*time.Second)
		}
		time.Sleep(1500 * time.Millisecond)
		require.True(t, released.Load())
		next := tc.nodes["a1"].term.Load()
		require.NotNil(t, next)
		require.NotSame(t, first, next)
	})
}
