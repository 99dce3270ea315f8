package coordinator

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
)

// submitRepeated stores a job that repeats each hour.
func (s *testSite) submitRepeated(t *Term, id jobs.ID, first time.Time, repeat int, steps ...jobs.Step) {
	a := jobs.Accepted{ID: id, Queue: testQueue, Service: testService, MaxAttempts: 3, Stretch: 2, Team: testTeam, AcceptedAt: time.Now(),
		Spec: jobs.Spec{Payload: "p", Steps: steps, Repeat: repeat, FirstRun: first, Interval: time.Hour}}
	value, err := json.Marshal(a)
	require.NoError(s.t, err)
	s.store.Put(JobKey(id), value)
	if t != nil {
		t.JobStored(id, value)
	}
}

// Guards against a coordinator that a few jobs stop for good: of 25 hourly jobs that are due together,
// the progress of some made each write larger than the store takes, and the next write had the same rows.
func TestManyScheduledJobsThatAreDueTogetherRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 12)
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		due := time.Now().Add(5 * time.Second)
		for i := range 25 {
			ts.submitRepeated(term, jobs.ID(fmt.Sprintf("%016x", 1000+i)), due, 4000, step(1), step(1, 0), step(1, 1), step(1, 2))
		}
		sleep(7 * time.Second)
		for i := range 20 {
			ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(2))
		}
		sleep(12 * time.Second)
		for i := range 20 {
			require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))))
		}
		require.NoError(t, term.do(t.Context(), func() {
			for i := range 25 {
				for k := range 4 {
					x := term.registry.Task(jobs.TaskName{Job: jobs.ID(fmt.Sprintf("%016x", 1000+i)), Step: k})
					require.Equal(t, jobs.Done, x.Phase)
				}
			}
		}))
		ts.requireNoViolations()
	})
}

// Guards against writes of more bytes than the store takes, or than a slow link carries before the lease
// has to be renewed.
func TestWritesAreBoundedInBytes(t *testing.T) {
	term := backlogTerm(t, 1, 0)
	for i := range 150 {
		a := jobs.Accepted{Queue: "q0", Service: "svc0", Spec: jobs.Spec{Steps: []jobs.Step{{Count: jobs.MaxTasks}}}}
		value, err := json.Marshal(a)
		require.NoError(t, err)
		j := term.addJobRow(fmt.Sprintf("%016x", i), platform.Row{Value: value}, false)
		term.registry.Finish(term.registry.Task(jobs.TaskName{Job: j.ID, Index: jobs.MaxTasks - 1}), 1, "m0", jobs.EndDone, "", 3, term.now)
	}
	for range 150 {
		if term.registry.UnsavedCount() == 0 {
			break
		}
		term.now += lazyInterval
		b := term.collectBatch()
		size := 0
		for _, p := range b.puts {
			size += len(p.Value)
		}
		require.NotEmpty(t, b.puts)
		require.LessOrEqual(t, size, maxBatchBytes)
		b.stored()
	}
	require.Zero(t, term.registry.UnsavedCount(), "all is stored")
}

// Guards against one row that the store refuses for good and that keeps those of all other jobs from being
// stored: the refusal was treated like a store that is away, and the next write had the same rows.
func TestRefusedRowHoldsUpNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 4)
		const refused = jobs.ID("00000000000000ff")
		var refuses atomic.Bool
		refuses.Store(true)
		ts.store.SetRefuses(func(p platform.Put) bool { return refuses.Load() && p.Key == ProgressKey(refused) })
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, refused, step(2))
		for i := range 40 {
			ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(1), step(1, 0))
		}
		sleep(15 * time.Second)
		for i := range 40 {
			require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))))
		}
		require.NotEqual(t, jobs.StateCompleted, ts.state(term, refused))
		lines := ts.log.linesWith("does not take a row")
		require.Contains(t, lines, ProgressKey(refused))
		require.Less(t, strings.Count(lines, "\n"), 3, "it is not tried again all the time")
		refuses.Store(false)
		sleep(refusedRetry + 5*time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, refused))
		ts.requireNoViolations()
	})
}

// Guards against a shard whose ended jobs are never removed because the store refuses the row of one.
func TestRefusedRowOfAnEndedJobHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 4)
		// Jobs of one shard.
		var ids []jobs.ID
		for i := 0; len(ids) < 5; i++ {
			if id := jobs.ID(fmt.Sprintf("%016x", i)); platform.Shard(JobKey(id)) == platform.Shard(JobKey("0000000000000000")) {
				ids = append(ids, id)
			}
		}
		for _, id := range ids {
			ts.submitJob(nil, id, step(1))
		}
		ts.store.SetRefuses(func(p platform.Put) bool { return p.Key == JobKey(ids[0]) })
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(40 * time.Second)
		for i, id := range ids {
			a, err := jobs.DecodeAccepted(ts.store.Row(JobKey(id)).Value)
			require.NoError(t, err)
			require.Equal(t, i != 0, a.Final.Final(), "job %d", i)
			require.Equal(t, jobs.StateCompleted, ts.state(term, id))
		}
	})
}

// Guards against rows that are blamed, and left out for long, while the store refuses each write whatever is
// in it.
func TestNoRowIsBlamedWhileTheStoreRefusesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 4)
		var refuses atomic.Bool
		ts.store.SetRefuses(func(platform.Put) bool { return refuses.Load() })
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		refuses.Store(true)
		for i := range 40 {
			ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), step(1))
		}
		sleep(time.Second)
		refuses.Store(false)
		sleep(8 * time.Second)
		for i := range 40 {
			require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))))
		}
		require.Empty(t, ts.log.linesWith("does not take a row"))
	})
}
