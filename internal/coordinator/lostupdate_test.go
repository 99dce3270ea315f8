package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// slowMachines is a machine service that answers each order of maintenance later than the one before.
type slowMachines struct {
	*fleet.MovingMachines
	orders atomic.Int64
}

func (s *slowMachines) Maintain(ctx context.Context, fence site.MachineFence, name model.VM, wave int64) error {
	err := s.MovingMachines.Maintain(ctx, fence, name, wave)
	time.Sleep(time.Duration(s.orders.Add(1)) * 110 * time.Millisecond)
	return err
}

// Guards against a successor that does not know that the maintenance of a machine has begun, because that
// became known during a write of the wave's row.
func TestRowOfAWaveHasWhatBecameKnownDuringItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 8, 0)
		s.fleet = fencing.NewFleet(s.minions, &slowMachines{MovingMachines: s.moving})
		var slow atomic.Bool
		view := &fleet.View{Store: s.store, Fault: func(op string) fleet.Fault {
			if op == "commit" && slow.Load() {
				time.Sleep(400 * time.Millisecond)
			}
			return fleet.None
		}}
		d := s.deps("e1", view)
		d.Fleet, d.PredecessorStopped = s.fleet, true
		s.term = Start(d, s.acquire(d).WithTable(view))
		defer endTerm(s.term)
		sleep(time.Second)
		slow.Store(true)
		var all []model.VM
		for i := range 8 {
			all = append(all, model.VM(fmt.Sprintf("s%d", i)))
		}
		s.begin(site.Wave{ID: 1, Machines: all, Duration: time.Minute, MaxDown: 8})
		sleep(30 * time.Second)
		var row waveRow
		require.NoError(t, json.Unmarshal(s.store.Row(waveKey(1)).Value, &row))
		require.ElementsMatch(t, all, row.Begun)
	})
}

// Guards against a row of a minion that does not say that an order for its machine is under way, because that
// became known during a write of the row.
func TestRowOfAMinionHasWhatBecameKnownDuringItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		var slow atomic.Bool
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if op == "commit" && slow.Load() {
				time.Sleep(300 * time.Millisecond)
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(time.Second)
		slow.Store(true)
		set := func(ordered bool) {
			require.NoError(t, term.do(t.Context(), func() {
				m := term.minions["m0"]
				require.IsType(t, &holding.Minion{}, m)
				term.setOrdered(m, ordered)
			}))
		}
		set(true)
		sleep(100 * time.Millisecond) // its write is under way
		set(false)
		sleep(100 * time.Millisecond)
		set(true)
		sleep(100 * time.Millisecond)
		set(false)
		sleep(3 * time.Second)
		var row minionRow
		require.NoError(t, json.Unmarshal(ts.store.Row(minionKey(jobs.Minion("m0"))).Value, &row))
		require.False(t, row.Ordered)
	})
}

// slowStatus is a table in which the first write of a wave's state takes almost as long as a call may.
type slowStatus struct {
	platform.Table
	writes *atomic.Int64
}

func (s slowStatus) Commit(ctx context.Context, p platform.Priority, x platform.Txn) (map[string]uint64, error) {
	if len(x.Puts) > 0 && strings.HasPrefix(x.Puts[0].Key, waveStatusPrefix) && s.writes.Add(1) == 1 {
		time.Sleep(machineCallTimeout - 100*time.Millisecond)
	}
	return s.Table.Commit(ctx, p, x)
}

// foreignMachines is a machine service for which no machine is part of a wave.
type foreignMachines struct{ *fleet.MovingMachines }

func (foreignMachines) Maintain(context.Context, site.MachineFence, model.VM, int64) error {
	return &site.RefusedError{Reason: site.RefusedNotInWave}
}

// Guards against a wave that operators never see as completed, because it was during the write of its state
// before.
func TestWaveIsShownAsCompletedIfItEndsDuringAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 1, 0)
		d := s.deps("e1", &fleet.View{Store: s.store})
		d.Fleet, d.PredecessorStopped = fencing.NewFleet(s.minions, foreignMachines{s.moving}), true
		held := s.acquire(d).WithTable(d.Table)
		d.Table = slowStatus{d.Table, &atomic.Int64{}}
		s.term = Start(d, held)
		defer endTerm(s.term)
		sleep(time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: time.Minute, MaxDown: 1})
		sleep(10 * time.Second)
		require.Contains(t, s.log.linesWith("wave completed"), "wave completed")
		require.Contains(t, string(s.store.Row(waveStatusPrefix+"1").Value), string(site.WaveCompleted))
	})
}
