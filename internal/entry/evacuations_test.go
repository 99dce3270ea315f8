package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

func (tc *testCluster) evacuated(name string) []model.DataCentre {
	return tc.nodes[name].evacuations.state.Load().Names()
}

// Guards against an evacuation that is not in force within its bound, does not end, or is not applied
// because of bad rows beside it; and against one that outlasts a row that was removed while the change
// history was lost.
func TestEvacuationsFollowTheirRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 2)
		defer tc.stop()
		time.Sleep(time.Second)
		require.NotNil(t, tc.nodes["e0"].evacuations.state.Load())
		require.Empty(t, tc.evacuated("e0"))
		tc.store.Put("op/evacuate/", []byte("{}"))
		tc.store.Put("op/evacuate/dc-1", []byte("not an object"))
		tc.store.Put("op/evacuate/dc-2", []byte("{}"))
		time.Sleep(100 * time.Millisecond)
		for _, name := range []string{"e0", "e1"} {
			require.Equal(t, []model.DataCentre{"dc-1", "dc-2"}, tc.evacuated(name))
		}
		require.Equal(t, "2", counters.Get("evacuated_dcs").String())
		tc.store.Put("op/evacuate/dc-2", nil)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []model.DataCentre{"dc-1"}, tc.evacuated("e0"))
		tc.setFaults("e0", true, refuseAll)
		tc.setFaults("e1", true, refuseAll)
		time.Sleep(2 * time.Second)
		tc.store.Put("op/evacuate/dc-1", nil)
		tc.store.Compact()
		tc.setFaults("e0", false, nil)
		tc.setFaults("e1", false, nil)
		time.Sleep(3 * time.Second)
		require.Empty(t, tc.evacuated("e0"))
		require.Empty(t, tc.evacuated("e1"))
	})
}

// Guards against an entry VM that learns of an evacuation from a peer only, and later skips changes of
// other rows that came before it, or keeps an evacuation that has ended meanwhile.
func TestStateOfAPeerDoesNotMoveTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 1)
		defer tc.stop()
		time.Sleep(time.Second)
		n := tc.nodes["e0"]
		tc.setFaults("e0", true, refuseAll)
		time.Sleep(2 * time.Second)
		tc.writeConfig(2, "s")
		tc.store.Put("op/evacuate/a", []byte("{}"))
		heartbeat := func(m *peer.CoordinatorHeartbeat) *peer.CoordinatorHeartbeatReply {
			m.From, m.Epoch = peer.Sender{Entry: "e9"}, 100
			r, err := n.Handler().CoordinatorHeartbeat(context.Background(), m)
			require.NoError(t, err)
			return r
		}
		version := tc.store.Row("op/evacuate/a").Version
		r := heartbeat(&peer.CoordinatorHeartbeat{OperatorVersion: version, Evacuated: []model.DataCentre{"a"}})
		require.Equal(t, []model.DataCentre{"a"}, tc.evacuated("e0"))
		require.Equal(t, []model.DataCentre{"a"}, r.Evacuated)
		require.Equal(t, version, r.OperatorVersion)
		heartbeat(&peer.CoordinatorHeartbeat{OperatorVersion: version - 1})
		heartbeat(&peer.CoordinatorHeartbeat{}) // of an earlier version, or one that has not read the table
		require.Equal(t, []model.DataCentre{"a"}, tc.evacuated("e0"))
		require.Equal(t, uint64(1), n.Config().Version)
		tc.setFaults("e0", false, nil)
		time.Sleep(2 * time.Second)
		require.Equal(t, uint64(2), n.Config().Version)
		require.Equal(t, []model.DataCentre{"a"}, tc.evacuated("e0"))
		tc.store.Put("op/evacuate/a", nil)
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, tc.evacuated("e0"))
	})
}

// Guards against starts in an evacuated data centre by a coordinator that is cut off from the store, and by
// its successor: the row is written during the cut, and the coordinator is lost a moment later.
func TestEvacuationHoldsThroughACutAndATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		tc.minions.Add(site.MinionEntry{ID: "m2", Service: "s", Addr: "m2", DC: "b", Capacity: jobs.Resources{CPU: 9000}})
		tc.store.Put("servers/m2", tc.minions.EntryRow("m2"))
		var mu sync.Mutex
		var starts []fleet.Event // guarded by mu
		tc.minions.SetRefuse(func(op string, to jobs.Minion) error {
			mu.Lock()
			defer mu.Unlock()
			if op == "start" {
				starts = append(starts, fleet.Event{At: time.Now(), Minion: to})
			}
			return nil
		})
		time.Sleep(3 * time.Second)
		old := tc.coordinator()
		tc.setFaults(old, false, func(string) fleet.Fault { return fleet.Refuse })
		tc.store.Put("op/evacuate/b", []byte("{}"))
		acknowledged := time.Now()
		submit := func(from, to int) {
			for i := from; i < to; i++ {
				tc.otherThan(old).Submit(context.Background(), newJob(jobs.ID(fmt.Sprintf("%016x", i))))
				time.Sleep(50 * time.Millisecond)
			}
		}
		submit(0, 20)
		tc.setFaults(old, true, refuseAll)
		submit(20, 120)
		require.NotEmpty(t, tc.coordinatorOtherThan(old))
		mu.Lock()
		defer mu.Unlock()
		late, elsewhere := 0, 0
		for _, e := range starts {
			switch {
			case !e.At.After(acknowledged.Add(heartbeatBound)):
			case e.Minion == "m2":
				late++
			default:
				elsewhere++
			}
		}
		require.Zero(t, late)
		require.Positive(t, elsewhere)
	})
}

// heartbeatBound is how long a coordinator that is cut off from the store may take to learn of an
// evacuation from the other entry VMs: two heartbeats.
const heartbeatBound = 800 * time.Millisecond
