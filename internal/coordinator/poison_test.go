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

// Guards against an unexpected error in the control goroutine that ends the process, or lets a
// coordinator go on with a belief that may be wrong: the term ends, and the next one goes on
// from the store without running anything twice.
func TestUnexpectedErrorEndsTheTermOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		var poison atomic.Bool
		view := &fleet.View{Store: b.store}
		d := b.deps("e1", view)
		decode := d.Codec.Minion
		d.Codec.Minion = func(id string, v []byte) (site.MinionEntry, error) {
			if poison.Load() {
				panic("a decoder meets what nobody thought of")
			}
			return decode(id, v)
		}
		held, err := lease.Acquire(t.Context(), view, d.Now, b.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		sleep(time.Second)
		b.accept(term, "0000000000000001", step(2), step(2, 0))
		sleep(200 * time.Millisecond)
		poison.Store(true)
		b.list("m1")
		require.ErrorIs(t, term.Wait(), guard.ErrPanic)
		next := b.take("e2", nil)
		defer end(next)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(next, "0000000000000001"))
		b.clean()
	})
}
