package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
)

// Guards against a repeated cancellation that waits for a write that does not come: the final state is stored,
// and only the end of a run that outlived the job is not.
func TestCancellationOfACancelledJobDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 300 * time.Millisecond, jobs.EndFailed }
		ts.minions.StopTime = 900 * time.Millisecond
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, slowJob, step(1))
		sleep(100 * time.Millisecond)
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			began := time.Now()
			ok, err := term.Cancel(ctx, slowJob)
			cancel()
			require.NoError(t, err, "after %s", time.Since(began))
			require.True(t, ok)
			sleep(10 * time.Millisecond)
		}
		require.Equal(t, jobs.StateCancelled, ts.state(term, slowJob))
	})
}
