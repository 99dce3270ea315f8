package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
)

// Guards against a task that runs again after its end was acknowledged. The task completed twice,
// once on a minion that had been unreachable for longer than its lease. The second end, which
// changes nothing, was acknowledged while the first was not stored yet; then the coordinator was
// lost.
func TestSecondEndIsNotedOnceTheFirstIsStored(t *testing.T) {
	const id, task = jobs.ID("0000000000000001"), "0000000000000001.0.0.0"
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		var refuse atomic.Bool
		term := ts.startTerm("e1", func(op string) fleet.Fault {
			if refuse.Load() && op == "commit" {
				return fleet.Refuse
			}
			return fleet.None
		})
		sleep(time.Second)
		ts.submitJob(term, id, step(1))
		sleep(200 * time.Millisecond)
		first := ts.minions.Running(task)
		require.Len(t, first, 1)
		setCut := func(id jobs.Minion, is bool) { ts.minions.Change(id, func(m *fleet.Minion) { m.Cut = is }) }
		setCut(first[0], true)
		var second []jobs.Minion
		for len(second) == 0 {
			sleep(10 * time.Millisecond)
			second = ts.minions.Running(task)
			if len(second) > 0 && second[0] == first[0] {
				second = nil
			}
		}
		setCut(second[0], true)
		sleep(600 * time.Millisecond)
		refuse.Store(true)
		setCut(first[0], false)
		sleep(2200 * time.Millisecond) // an unreachable minion without tasks is polled every 2 s
		setCut(second[0], false)
		sleep(800 * time.Millisecond) // both ends are reported, and the store rejects all writes
		endTerm(term)
		setCut(first[0], true)
		next := ts.startTerm("e2", nil)
		defer endTerm(next)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(next, id))
		ts.requireNoViolations()
	})
}
