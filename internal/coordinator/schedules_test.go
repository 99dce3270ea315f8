package coordinator

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/logging"
	"boragepulley/internal/platform"
	"boragepulley/standins/fleet"
)

// Guards against scheduling runs whose cost grows with the jobs that wait for their time: with 60 jobs of
// 5,000 occurrences the process exceeded its memory, and each run looked at all of their steps.
func TestJobsThatWaitForTheirTimeCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 4)
		for i := range 500 {
			ts.submitRepeated(nil, jobs.ID(fmt.Sprintf("%016x", 1000+i)), time.Now().Add(7*24*time.Hour), 5000, step(1), step(1, 0), step(1, 1), step(1, 2))
		}
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		for i := range 20 {
			ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(1))
		}
		require.NoError(t, term.do(t.Context(), func() {
			require.Len(t, term.registry.Open(), 520)
			require.LessOrEqual(t, len(term.registry.Live()), 20)
		}))
		sleep(8 * time.Second)
		for i := range 20 {
			require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))))
		}
		require.Equal(t, jobs.StateQueued, ts.state(term, jobs.ID(fmt.Sprintf("%016x", 1000))))
	})
}

// Guards against occurrences of a job that run twice, or never, or begin before their time, when the
// coordinator changes, minions are lost and answers are lost while many of them are due.
func TestOccurrencesRunOnceAcrossTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 6)
		const repeat = 101
		const id = jobs.ID("00000000000000aa")
		first := time.Now().Add(90*time.Second - 100*time.Hour) // the last one is due after the takeovers
		ts.submitRepeated(nil, id, first, repeat, step(2), step(1, 0))
		for epoch := range 6 {
			var n atomic.Int64
			term := ts.startTerm(fmt.Sprint("e", epoch), func(op string) fleet.Fault {
				if n.Add(1)%9 == 0 && op == "commit" {
					return fleet.Lose
				}
				return fleet.None
			})
			sleep(time.Duration(2+epoch) * time.Second)
			if epoch == 3 {
				ts.minions.Remove("m5")
			}
			endTerm(term)
		}
		term := ts.startTerm("last", nil)
		defer endTerm(term)
		sleep(40 * time.Second)
		require.NoError(t, term.do(t.Context(), func() {
			j := term.registry.Get(id)
			require.Equal(t, 100, j.EndedOccurrences(), "those that are due")
			require.Empty(t, j.LiveSteps())
			require.Equal(t, jobs.StateRunning, j.State())
		}))
		require.Less(t, len(ts.store.Row(ProgressKey(id)).Value), 200)
		sleep(40 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, id))
		ts.requireNoViolations()
	})
}

// Guards against an objective that begins anew at a takeover, or that counts from when a job was accepted
// though its occurrence was due later.
func TestObjectiveCountsFromTheArrival(t *testing.T) {
	term := backlogTerm(t, 1, 0)
	term.inheritedLog = logging.NewLimiter(1, 1)
	add := func(id string, spec jobs.Spec) *jobs.Job {
		spec.Steps = []jobs.Step{step(1)}
		value, err := json.Marshal(jobs.Accepted{Queue: "q0", Service: "svc0", AcceptedAt: time.Now().Add(-10 * time.Second), Spec: spec})
		require.NoError(t, err)
		return term.addJobRow(id, platform.Row{Value: value}, true)
	}
	once := add("0000000000000001", jobs.Spec{})
	timed := add("0000000000000002", jobs.Spec{Repeat: 2, FirstRun: time.Now().Add(-3 * time.Second), Interval: time.Hour})
	arrived := map[*jobs.Job]time.Duration{}
	for _, s := range term.snapshot().Steps {
		arrived[s.StepRun.Job] = term.now - s.Arrived
	}
	require.InDelta(t, 10, arrived[once].Seconds(), 1)
	require.InDelta(t, 3, arrived[timed].Seconds(), 1)
}
