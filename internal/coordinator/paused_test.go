package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// countingMachines counts the orders that reach the platform.
type countingMachines struct {
	*fleet.Machines
	orderCount atomic.Int64
}

func (c *countingMachines) Move(context.Context, site.MachineFence, model.VM, model.Service) error {
	c.orderCount.Add(1)
	return nil
}

func (c *countingMachines) Maintain(context.Context, site.MachineFence, model.VM, int64) error {
	c.orderCount.Add(1)
	return nil
}

// Guards against orders after the lease has expired. The process is suspended for seconds between
// the decision and the order, and the monotonic clock, on which timeouts are based, does not count
// that time. By then another entry VM may hold the lease.
func TestPausedCoordinatorSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		machines := &countingMachines{Machines: ts.machines}
		var suspended atomic.Int64
		view := &fleet.View{Store: ts.store}
		d := ts.deps("e1", view)
		d.Fleet = fencing.NewFleet(ts.minions, machines)
		steady := d.Now
		d.Now = func() time.Duration { return steady() + time.Duration(suspended.Load()) }
		held, err := lease.Acquire(t.Context(), view, d.Now, ts.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(nil, "0000000000000001", step(1))
		row := ts.store.Row(JobKey("0000000000000001")).Value
		require.NoError(t, term.do(t.Context(), func() {
			require.True(t, term.leading())
			j := term.addJobRow("0000000000000001", platform.Row{Value: row}, false)
			j.OpenSteps(time.Now(), 0)
			suspended.Add(int64(2 * lease.TTL))
			x, m := j.Step(0, 0).Task(0), term.minions["m0"]
			term.registry.Order(x, 1, m.ID, term.now)
			m.Assign(x)
			o := &pendingStart{minion: m}
			term.pendingStarts[x] = o
			term.sendStart(x, o)
			term.sendOrder(machineCallTimeout, func(ctx context.Context) error {
				return term.orders.Move(ctx, "vm", testService)
			}, func(err error) { require.ErrorIs(t, err, site.ErrNotSent) })
		}))
		sleep(10 * time.Millisecond)
		require.Zero(t, ts.minions.Starts("0000000000000001.0.0.0"))
		require.Zero(t, machines.orderCount.Load())
		// No other entry VM has acquired the lease, so it is renewed and the task runs.
		sleep(5 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		ts.requireNoViolations()
	})
}

// Guards against starting a task elsewhere, or losing it, because its minion was unreachable for
// less than its lease.
func TestShortSilenceKeepsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 8 * time.Second, jobs.EndDone }
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(1))
		sleep(500 * time.Millisecond)
		on := ts.minions.Running("0000000000000001.0.0.0")
		require.Len(t, on, 1)
		for range 2 {
			ts.minions.Change(on[0], func(m *fleet.Minion) { m.Cut = true })
			sleep(runLeaseTTL - time.Second)
			ts.minions.Change(on[0], func(m *fleet.Minion) { m.Cut = false })
			sleep(time.Second)
		}
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
		require.Equal(t, 1, ts.minions.Starts("0000000000000001.0.0.0"))
		ts.requireNoViolations()
	})
}
