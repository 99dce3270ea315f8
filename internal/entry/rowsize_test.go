package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/coordinator"
	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

// Guards against a valid job that is answered with 503 each time, for good: the row of 260 steps with
// long lists of steps before them exceeds what the store takes.
func TestJobWithLongDependenciesIsAcceptedAndRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3)
		defer tc.stop()
		time.Sleep(3 * time.Second)
		job := newJob("00000000000000aa")
		job.Spec.Steps = nil
		for i := range 260 {
			s := jobs.Step{Count: 1, Need: jobs.Resources{CPU: 1000}, Estimate: 10 * time.Millisecond}
			for a := range i {
				s.After = append(s.After, a)
			}
			job.Spec.Steps = append(job.Spec.Steps, s)
		}
		node := tc.otherThan(tc.coordinator())
		require.Equal(t, site.ReasonAccepted, node.Submit(context.Background(), job).Reason)
		require.LessOrEqual(t, len(tc.store.Row(coordinator.JobKey(job.ID)).Value), jobs.DefaultRowBytes)
		time.Sleep(5 * time.Second)
		require.Equal(t, jobs.StateRunning, node.State(context.Background(), job.ID).State)
		require.Equal(t, jobs.StateRunning, node.stateFromStore(context.Background(), job.ID).State)
	})
}

// Guards against an answer that asks the caller to come back though the job can never be stored.
func TestJobThatTheStoreNeverTakesIsRejectedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 0)
		defer tc.stop()
		var refuse atomic.Bool
		tc.store.SetRefuses(func(p platform.Put) bool { return refuse.Load() && strings.Contains(p.Key, "ac") })
		for i := range 3 {
			tc.start(fmt.Sprint("e", i))
		}
		time.Sleep(3 * time.Second)
		node := tc.otherThan(tc.coordinator())
		node.deps.Limits.RowBytes = 4096
		large := newJob("00000000000000ab")
		random := rand.New(rand.NewPCG(1, 2))
		for range 2000 {
			large.Spec.Steps = append(large.Spec.Steps, jobs.Step{Count: 1, Label: strconv.FormatUint(random.Uint64(), 36)})
		}
		a := node.Submit(context.Background(), large)
		require.True(t, errors.Is(a.Err, site.ErrNotStorable), "%v", a.Err)
		require.Contains(t, a.Err.Error(), "expected at most 4096")

		refuse.Store(true)
		a = node.Submit(context.Background(), newJob("00000000000000ac"))
		require.True(t, errors.Is(a.Err, site.ErrNotStorable), "%v", a.Err)
		require.Equal(t, site.ReasonRefusedByStore, a.Reason)
	})
}
