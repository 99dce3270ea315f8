package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
)

// Guards against a count that entry VMs learn only with the next planning run: the jobs that arrive meanwhile
// are accepted beyond the memory of the coordinator.
func TestMemoryOfAJobIsPublishedWhenItIsAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(t, 1)
		s.config.Queues[0].Service = "without-minions"
		s.config.Index()
		d := s.startTerm("e1", nil)
		defer endTerm(d)
		sleep(3 * time.Second)
		for i, id := range []jobs.ID{"1", "2"} {
			// Directly after a regular count, so that the next one is due only viewInterval later.
			for counted := d.View().CountedAt; d.View().CountedAt == counted; {
				sleep(time.Millisecond)
			}
			before := d.View()
			s.submitTo(d, testQueue, "without-minions", id, step(4), step(4, 0))
			synctest.Wait()
			after := d.View()
			require.Equal(t, before.CountedAt, after.CountedAt, "%d", i)
			require.Greater(t, after.JobBytes, before.JobBytes)
		}
		for _, id := range []jobs.ID{"1", "2"} {
			_, err := d.Cancel(t.Context(), id)
			require.NoError(t, err)
		}
		sleep(2 * viewInterval)
		require.Zero(t, d.View().JobBytes)
	})
}
