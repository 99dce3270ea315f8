package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/standins/fleet"
)

// Guards against a pause in scheduling of many times the time for which the process was suspended,
// or got no processor, during a scheduling run: no task starts although there is capacity.
func TestSuspendedSchedulingRunDelaysNoStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspension = 900 * time.Millisecond
		// A long-running task must have a run again 6 s after its last one.
		const restartBound = 6 * time.Second
		ts := newTestSite(t, 2)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 0, jobs.EndDone } // lasts
		var suspended atomic.Int64
		view := &fleet.View{Store: ts.store}
		d := ts.deps("e1", view)
		steady := d.Now
		d.Now = func() time.Duration { return steady() + time.Duration(suspended.Load()) }
		d.Log = d.Log.Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, text string) {
			if text == "Coordinator: start." {
				suspended.CompareAndSwap(0, int64(suspension))
			}
		}))
		d.PredecessorStopped = true
		held, err := lease.Acquire(t.Context(), view, d.Now, ts.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(1))
		sleep(100 * time.Millisecond)
		require.Equal(t, int64(suspension), suspended.Load(), "the first scheduling run was suspended")
		ts.submitJob(term, "0000000000000002", jobs.Step{Count: 1, Need: jobs.Resources{CPU: 1000}, LongRunning: true})
		sleep(restartBound - suspension)
		require.Equal(t, 1, ts.minions.Starts("0000000000000002.0.0.0"))
		require.NotEmpty(t, ts.log.linesWith("slow scheduling run"), "the log says that scheduling was held up")
		ts.requireNoViolations()
	})
}

// Guards against a pause in scheduling that grows with the number of tasks that were started: the more
// capacity a run finds, the longer the next one was put off, for up to half a second.
func TestOrderingManyStartsDelaysNoNextRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const starting = 400 * time.Millisecond
		ts := newTestSite(t, 2)
		var passed atomic.Int64
		view := &fleet.View{Store: ts.store}
		d := ts.deps("e1", view)
		steady := d.Now
		d.Now = func() time.Duration { return steady() + time.Duration(passed.Load()) }
		d.Log = d.Log.Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, text string) {
			if text == "Coordinator: start." && passed.Load() < int64(starting) {
				passed.Add(int64(starting / 4))
			}
		}))
		d.PredecessorStopped = true
		held, err := lease.Acquire(t.Context(), view, d.Now, ts.store.Row(lease.Key), lease.Row{Holder: "e1", Addr: "a", Incarnation: "e1"})
		require.NoError(t, err)
		term := Start(d, held)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(4))
		sleep(20 * time.Millisecond)
		require.Equal(t, int64(starting), passed.Load(), "the four starts took their time")
		ts.submitJob(term, "0000000000000002", step(1))
		sleep(80 * time.Millisecond) // its row is written meanwhile
		require.Equal(t, 1, ts.minions.Starts("0000000000000002.0.0.0"))
	})
}
