package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
)

// Guards against minions that count as silent, so that unsent starts are requeued, because a handover that did
// not happen ended the long polls in progress; and against polls that are late afterwards.
func TestPollsEndedByAFailedHandoverAreNoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(t, 3)
		s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return 10 * time.Second, jobs.EndDone })
		term := s.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		s.submitJob(term, "a000000000000001", step(9))
		sleep(1110 * time.Millisecond) // long polls are in progress
		busy := 0
		require.NoError(t, term.do(t.Context(), func() {
			for _, m := range term.minions {
				if m.Polling && len(m.Tasks) > 0 {
					busy++
				}
			}
		}))
		require.Positive(t, busy)

		h, err := ask(t.Context(), term, func() handover { return handover{renewals: term.beginRelease()} })
		require.NoError(t, err)
		h.renewals.Wait()
		term.orders.Close()
		require.NoError(t, term.do(t.Context(), func() { term.path.finalBatch = term.collectBatch() }))
		sleep(20 * time.Millisecond)
		require.NoError(t, term.resume(t.Context(), platform.ErrUnavailable))
		// The loop may run the next event in one batch with that of resume, before it sends what is due.
		synctest.Wait()
		failed, polling := 0, 0
		require.NoError(t, term.do(t.Context(), func() {
			for _, m := range term.minions {
				failed += m.FailedPolls
				if m.Polling {
					polling++
				}
			}
		}))
		require.Zero(t, failed)
		require.Equal(t, 3, polling)
		require.Empty(t, s.log.linesWith("minion does not answer"))
	})
}
