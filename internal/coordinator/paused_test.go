package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// countedMachines counts the orders that reach the platform.
type countedMachines struct {
	*fleet.Machines
	orders atomic.Int64
}

func (c *countedMachines) Move(context.Context, site.MachineFence, model.VM, model.Service) error {
	c.orders.Add(1)
	return nil
}

func (c *countedMachines) Maintain(context.Context, site.MachineFence, model.VM, int64) error {
	c.orders.Add(1)
	return nil
}

// Guards against orders on a permission that has ended: the process is suspended for seconds
// between the decision and the order, and its steady clock, which timeouts follow, does not
// count that time. The lease is somebody else's by then.
func TestPausedCoordinatorSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 1)
		machines := &countedMachines{Machines: b.machines}
		var suspended atomic.Int64
		view := &fleet.View{Store: b.store}
		d := b.deps("e1", view)
		d.Machines = machines
		steady := d.Now
		d.Now = func() time.Duration { return steady() + time.Duration(suspended.Load()) }
		held, err := lease.Acquire(t.Context(), view, d.Now, b.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		defer end(term)
		sleep(time.Second)
		b.accept(nil, "0000000000000001", step(1))
		row := b.store.Row(JobKey("0000000000000001")).Value
		require.NoError(t, term.do(t.Context(), func() {
			require.True(t, term.leading())
			j := term.addRow("0000000000000001", row, false)
			j.OpenSteps(time.Now())
			suspended.Add(int64(2 * lease.TTL))
			x, m := j.Steps[0].Tasks[0], term.minions["m0"]
			term.book.Order(x, 1, m.ID, term.now)
			m.Assign(x)
			o := &order{minion: m}
			term.orders[x] = o
			term.sendStart(x, o)
			term.order(machineTimeout, func(ctx context.Context) error {
				return machines.Move(ctx, site.MachineFence{}, "vm", testService)
			}, func(err error) { require.ErrorIs(t, err, site.ErrNotSent) })
		}))
		sleep(10 * time.Millisecond)
		require.Zero(t, b.minions.Starts("0000000000000001.0.0.0"))
		require.Zero(t, machines.orders.Load())
		// The lease is renewed, as nobody else took it, and the task runs.
		sleep(5 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		b.clean()
	})
}

// Guards against running work that is started elsewhere, or given up, because its minion was
// silent for less than its lease.
func TestShortSilenceKeepsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		b.minions.Work = func(string, int) (time.Duration, jobs.End) { return 8 * time.Second, jobs.EndDone }
		term := b.take("e1", nil)
		defer end(term)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(1))
		sleep(500 * time.Millisecond)
		on := b.minions.Running("0000000000000001.0.0.0")
		require.Len(t, on, 1)
		for range 2 {
			b.minions.Change(on[0], func(m *fleet.Minion) { m.Cut = true })
			sleep(leaseSpan - time.Second)
			b.minions.Change(on[0], func(m *fleet.Minion) { m.Cut = false })
			sleep(time.Second)
		}
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(term, "0000000000000001"))
		require.Equal(t, 1, b.minions.Starts("0000000000000001.0.0.0"))
		b.clean()
	})
}
