package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// lateMoves is a machine service that answers no move, and carries each out after a time.
type lateMoves struct {
	*fleet.MovingMachines
	after time.Duration
	// onMove is called before a move is carried out.
	onMove func(name model.VM)
}

func (l *lateMoves) Move(_ context.Context, fence site.MachineFence, name model.VM, to model.Service) error {
	time.AfterFunc(l.after, func() {
		l.onMove(name)
		_ = l.MovingMachines.Move(context.Background(), fence, name, to)
	})
	return errors.WithStack(site.ErrNoAnswer)
}

// startOnPromises begins a term that goes on while cut is set and the store is away, because the only other
// entry VM promises not to take the lease.
func (s *burstSite) startOnPromises(machines site.Machines, cut *atomic.Bool) {
	s.store.Put(MemberTable+"/e2", []byte(`{"a":"b","d":"dc","i":"1"}`))
	d := s.deps("e1", &fleet.View{Store: s.store, Fault: cuttable(cut)})
	d.Fleet = fencing.NewFleet(s.minions, machines)
	d.Dial = func(model.EntryVM, string) PeerClient { return promisingPeer{} }
	d.PredecessorStopped = true
	s.term = Start(d, s.acquire(d).WithTable(d.Table))
	s.t.Cleanup(func() { endTerm(s.term) })
	sleep(time.Second)
}

// requireNothingRunsOn fails the test if the minion of a machine has runs.
func (s *burstSite) requireNothingRunsOn(name model.VM, order string) {
	minion := s.moving.MinionOf(name)
	for _, x := range s.minions.States() {
		if x.Entry.ID == minion && len(x.Running) > 0 {
			s.t.Errorf("the %s of %s cuts off %v\n%s", order, name, x.Running, s.log.linesWith(string(name)))
		}
	}
}

// waitForLine waits until a line with the words is logged.
func (s *burstSite) waitForLine(words string) {
	for i := 0; s.log.linesWith(words) == "" && i < 600; i++ {
		sleep(100 * time.Millisecond)
	}
	require.Contains(s.t, s.log.linesWith(words), words)
}

// Guards against a machine that takes work again while the order to move it may still be carried out,
// because the order waited for the store, and the time after which a move that the list of machines does
// not show counts as failed began with the decision.
func TestMoveThatWaitedForTheStoreCutsOffNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 4)
		moves := &lateMoves{MovingMachines: s.moving, after: time.Second, onMove: func(name model.VM) { s.requireNothingRunsOn(name, "move") }}
		var cut atomic.Bool
		s.startOnPromises(moves, &cut)
		cut.Store(true)
		s.waitForLine("moving machine")
		sleep(moveTimeout + time.Second)
		s.submitTo(s.term, burstQueue, burstService, "f000000000000001", jobs.Step{Count: 100, Need: jobs.Resources{CPU: 1000}, Estimate: 700 * time.Millisecond})
		cut.Store(false)
		sleep(10 * time.Second)
	})
}

// Guards against an order for a machine that waits for the store while the machine's minion ends, and cuts
// off the runs of the next one.
func TestOrderThatWaitedForTheStoreCutsOffNoRun(t *testing.T) {
	for order, wave := range map[string]bool{"move": false, "maintenance": true} {
		t.Run(order, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBurstSite(t, 2, 4)
				l := &lossyMachines{MovingMachines: s.moving, begun: map[string]bool{}, onMaintain: func(name model.VM) { s.requireNothingRunsOn(name, "maintenance") }}
				l.setFault(func(int) maintenanceFault { return carriedOutLate })
				machines := site.Machines(l)
				if !wave {
					machines = &lateMoves{MovingMachines: s.moving, after: time.Second, onMove: func(name model.VM) { s.requireNothingRunsOn(name, "move") }}
				}
				var cut atomic.Bool
				s.startOnPromises(machines, &cut)
				if wave {
					s.submitTo(s.term, burstQueue, burstService, "f000000000000000", jobs.Step{Count: 16, Need: jobs.Resources{CPU: 1000}, Estimate: time.Second})
					sleep(200 * time.Millisecond)
					s.begin(site.Wave{ID: 1, Machines: []model.VM{"b0", "b1", "b2", "b3"}, Duration: 15 * time.Second, MaxDown: 4})
					s.waitForLine("draining machine")
				}
				cut.Store(true)
				if !wave {
					s.waitForLine("moving machine")
				}
				sleep(1500 * time.Millisecond)
				for _, name := range []model.VM{"b0", "b1", "b2", "b3"} {
					s.moving.Lose(name, 0, 500*time.Millisecond)
				}
				sleep(2 * time.Second)
				s.submitTo(s.term, burstQueue, burstService, "f000000000000001", jobs.Step{Count: 100, Need: jobs.Resources{CPU: 1000}, Estimate: 700 * time.Millisecond})
				cut.Store(false)
				sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a new coordinator that starts tasks on a machine for which its predecessor has sent an order
// that is still being carried out.
func TestOrderOfAPredecessorCutsOffNoRun(t *testing.T) {
	for order, wave := range map[string]bool{"move": false, "maintenance": true} {
		t.Run(order, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBurstSite(t, 2, 4)
				l := &lossyMachines{MovingMachines: s.moving, begun: map[string]bool{}, onMaintain: func(name model.VM) { s.requireNothingRunsOn(name, "maintenance") }}
				l.setFault(func(int) maintenanceFault { return carriedOutLate })
				s.fleet = fencing.NewFleet(s.minions, l)
				if !wave {
					s.fleet = fencing.NewFleet(s.minions, &lateMoves{MovingMachines: s.moving, after: time.Second, onMove: func(name model.VM) { s.requireNothingRunsOn(name, "move") }})
				}
				s.startWithoutBurst()
				if wave {
					s.begin(site.Wave{ID: 1, Machines: []model.VM{"b0", "b1", "b2", "b3"}, Duration: 30 * time.Second, MaxDown: 4})
					s.waitForLine("draining machine")
				} else {
					s.waitForLine("moving machine")
				}
				sleep(200 * time.Millisecond)
				require.NoError(t, s.term.Release(t.Context()))
				s.submitTo(nil, burstQueue, burstService, "f000000000000001", jobs.Step{Count: 100, Need: jobs.Resources{CPU: 1000}, Estimate: 700 * time.Millisecond})
				s.startWithoutBurst()
				sleep(20 * time.Second)
				require.Equal(t, jobs.StateCompleted, s.state(s.term, "f000000000000001"))
			})
		})
	}
}
