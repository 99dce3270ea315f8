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

// Guards against a task that runs again after its end was noted: it had two ends as done, one on
// a minion that was silent for longer than its lease, and the second one, which changes
// nothing, was noted while the first was not stored yet. The coordinator was lost then.
func TestSecondEndIsNotedOnceTheFirstIsStored(t *testing.T) {
	const id, task = jobs.ID("0000000000000001"), "0000000000000001.0.0.0"
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 2)
		var refuse atomic.Bool
		term := b.take("e1", func(op string) fleet.Fault {
			if refuse.Load() && op == "commit" {
				return fleet.Refuse
			}
			return fleet.None
		})
		sleep(time.Second)
		b.accept(term, id, step(1))
		sleep(200 * time.Millisecond)
		first := b.minions.Running(task)
		require.Len(t, first, 1)
		cut := func(id jobs.Minion, is bool) { b.minions.Change(id, func(m *fleet.Minion) { m.Cut = is }) }
		cut(first[0], true)
		var second []jobs.Minion
		for len(second) == 0 {
			sleep(10 * time.Millisecond)
			second = b.minions.Running(task)
			if len(second) > 0 && second[0] == first[0] {
				second = nil
			}
		}
		cut(second[0], true)
		sleep(600 * time.Millisecond)
		refuse.Store(true)
		cut(first[0], false)
		sleep(2200 * time.Millisecond) // a silent minion without tasks is looked at every 2 s
		cut(second[0], false)
		sleep(800 * time.Millisecond) // both ends are listed, and the store takes none
		end(term)
		cut(first[0], true)
		next := b.take("e2", nil)
		defer end(next)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, b.state(next, id))
		b.clean()
	})
}
