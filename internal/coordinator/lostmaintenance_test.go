package coordinator

import (
	"context"
	"fmt"
	"sync"
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

// lossyMachines is a machine service that maintains a machine once for each wave, as the platform does,
// and to which orders of maintenance may be lost.
type lossyMachines struct {
	*fleet.MovingMachines
	mu sync.Mutex
	// fault decides over an order, given how many came before; nil means no fault.
	fault func(n int) maintenanceFault // guarded by mu
	count int                          // guarded by mu
	begun map[string]bool              // guarded by mu
	// onMaintain is called when a maintenance begins.
	onMaintain func(name model.VM)
}

// maintenanceFault is what happens to an order of maintenance.
type maintenanceFault int

const (
	noFault maintenanceFault = iota
	requestLost
	answerLost
	rateLimited
	// carriedOutLate orders get no answer and are carried out a second later.
	carriedOutLate
)

func (l *lossyMachines) setFault(f func(n int) maintenanceFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.count = f, 0
}

func (l *lossyMachines) Maintain(ctx context.Context, fence site.MachineFence, name model.VM, wave int64) error {
	l.mu.Lock()
	fault := noFault
	if l.fault != nil {
		fault = l.fault(l.count)
	}
	l.count++
	l.mu.Unlock()
	switch fault {
	case requestLost:
		return errors.WithStack(site.ErrNoAnswer)
	case rateLimited:
		return errors.WithStack(site.ErrBusy)
	case carriedOutLate:
		time.AfterFunc(time.Second, func() { _ = l.carryOut(context.Background(), fence, name, wave) })
		return errors.WithStack(site.ErrNoAnswer)
	}
	err := l.carryOut(ctx, fence, name, wave)
	if fault == answerLost {
		return errors.WithStack(site.ErrNoAnswer)
	}
	return err
}

func (l *lossyMachines) carryOut(ctx context.Context, fence site.MachineFence, name model.VM, wave int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprint(name, " ", wave)
	if l.begun[key] {
		return nil
	}
	if l.onMaintain != nil {
		l.onMaintain(name)
	}
	err := l.MovingMachines.Maintain(ctx, fence, name, wave)
	l.begun[key] = err == nil
	return err
}

// newLossySite is newBurstSite with lossyMachines, and a term. Each maintenance that cuts off a run fails
// the test.
func newLossySite(t *testing.T, machines int) (*burstSite, *lossyMachines) {
	s := newBurstSite(t, machines, 0)
	l := &lossyMachines{MovingMachines: s.moving, begun: map[string]bool{}}
	l.onMaintain = func(name model.VM) {
		minion := s.moving.MinionOf(name)
		for _, x := range s.minions.States() {
			if x.Entry.ID == minion && len(x.Running) > 0 {
				t.Errorf("the maintenance of %s cuts off %v\n%s", name, x.Running, s.log.linesWith(string(name), "aintenance"))
			}
		}
	}
	s.fleet = fencing.NewFleet(s.minions, l)
	s.startWithoutBurst()
	return s, l
}

// Guards against an order of maintenance that is sent again, because its answer was lost, to a machine
// whose minion has ended meanwhile, and cuts off the runs of the next one.
func TestRepeatedMaintenanceCutsOffNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := newLossySite(t, 2)
		l.setFault(func(n int) maintenanceFault {
			if n < 8 {
				return requestLost
			}
			return noFault
		})
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: 20 * time.Second, MaxDown: 1})
		sleep(500 * time.Millisecond)
		s.moving.Lose("s0", 0, 500*time.Millisecond)
		s.submitJob(s.term, slowJob, jobs.Step{Count: 8, Need: jobs.Resources{CPU: 1000}, LongRunning: true})
		sleep(60 * time.Second)
		require.Equal(t, 1, s.moving.Maintained("s0"))
		require.Contains(t, s.log.linesWith("wave completed"), "wave completed")
	})
}

// Guards against an order that a new coordinator sends again and that is answered as one that has been
// carried out before, which keeps the machine's present minion without work for the rest of the term.
func TestMachineIsUsedAfterARepeatedMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := newLossySite(t, 1)
		l.setFault(func(int) maintenanceFault { return answerLost })
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: time.Minute, MaxDown: 1})
		for s.moving.Maintained("s0") == 0 {
			sleep(10 * time.Millisecond)
		}
		endTerm(s.term)
		sleep(4 * time.Second) // the machine's next minion has joined
		l.setFault(nil)
		s.startWithoutBurst()
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end); sleep(time.Second) {
			s.list(s.moving.MinionOf("s0")) // a minion writes its entry all the time
		}
		s.submitJob(s.term, "f000000000000001", step(1))
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, s.state(s.term, "f000000000000001"), s.log.linesWith("aintenance", "wave"))
		require.Equal(t, 1, s.moving.Maintained("s0"))
		require.Contains(t, s.log.linesWith("wave completed"), "wave completed")
	})
}

// Guards against a machine that takes work again although an order of maintenance without an answer may
// still be carried out, because the platform's rate limit refused the next attempt.
func TestRefusalAfterALostAnswerGivesNoMachineBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := newLossySite(t, 1)
		l.setFault(func(n int) maintenanceFault {
			return []maintenanceFault{carriedOutLate, rateLimited, rateLimited, noFault}[min(n, 3)]
		})
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: time.Minute, MaxDown: 1})
		sleep(200 * time.Millisecond)
		s.submitJob(s.term, slowJob, jobs.Step{Count: 4, Need: jobs.Resources{CPU: 1000}, LongRunning: true})
		sleep(30 * time.Second)
		require.Equal(t, 1, s.moving.Maintained("s0"))
	})
}

// Guards against a machine that takes work again although one wave's order for it may still be carried out,
// because another wave has the same machine and the platform refused its order.
func TestWavesDoNotShareAMachineAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := newLossySite(t, 1)
		l.setFault(func(n int) maintenanceFault {
			return []maintenanceFault{requestLost, rateLimited, noFault}[min(n, 2)]
		})
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0"}, Duration: time.Minute, MaxDown: 1})
		s.begin(site.Wave{ID: 2, Machines: []model.VM{"s0"}, Duration: time.Minute, MaxDown: 1})
		sleep(250 * time.Millisecond)
		s.submitJob(s.term, slowJob, jobs.Step{Count: 4, Need: jobs.Resources{CPU: 1000}, LongRunning: true})
		sleep(100 * time.Second)
		require.Equal(t, 2, s.moving.Maintained("s0"))
	})
}
