package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/guard"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against a panic in the term's goroutine that ends the process, or after which the
// coordinator continues with inconsistent state. The term must end, and the next one must continue
// from the store without running any task twice.
func TestUnexpectedErrorEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		var fails atomic.Bool
		view := &fleet.View{Store: ts.store}
		d := ts.deps("e1", view)
		config := d.Config
		d.Config = func() *site.Config {
			if fails.Load() {
				panic("bug outside of the work for one job")
			}
			return config()
		}
		held, err := lease.Acquire(t.Context(), view, d.Now, ts.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(2), step(2, 0))
		sleep(200 * time.Millisecond)
		fails.Store(true)
		require.ErrorIs(t, term.Wait(), guard.ErrPanic)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, "0000000000000001"))
		ts.requireNoViolations()
	})
}
