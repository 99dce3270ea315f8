package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
)

// Guards against machines that are emptied and moved one after the other, until the other services
// have none, for a long-running task that none of them can run.
func TestNoMachineIsTakenForATaskThatItCanNotRun(t *testing.T) {
	for name, s := range map[string]jobs.Step{
		"more CPU than a machine has":    {Need: jobs.Resources{CPU: 8000}},
		"more memory than a machine has": {Need: jobs.Resources{MemoryMB: 8000}},
		"accelerators":                   {Need: jobs.Resources{CPU: 500, Accelerators: 1}},
		"label of no machine":            {Need: jobs.Resources{CPU: 500}, Label: "elsewhere"},
		"label of a full machine":        {Need: jobs.Resources{CPU: 500}, Label: "rack-s0", MaxPerMinion: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBurstSite(t, 2, 6)
				b.start()
				s.Count, s.LongRunning = 2, true
				b.submitJob(b.term, "0000000000000001", s)
				sleep(15 * time.Second)
				require.GreaterOrEqual(t, len(b.moving.Pool(burstService)), 6)
			})
		})
	}
}
