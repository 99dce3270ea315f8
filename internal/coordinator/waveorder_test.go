package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against a wave that is late because machines with tasks that last, which take seconds
// a task to drain, were left to its end while their service was busy.
func TestMachinesWithLastingTasksAreDrainedFirst(t *testing.T) {
	c := func(name model.VM, tasks, lasting int, busy bool) waveCandidate {
		return waveCandidate{&waveMachine{name: name}, tasks, lasting, busy}
	}
	due := []waveCandidate{c("empty", 0, 0, false), c("full", 9, 0, true), c("some", 3, 0, false),
		c("lasting-1", 5, 1, true), c("lasting-4", 4, 4, true), c("lasting-2", 2, 2, false)}
	names := func(out []*waveMachine) (s []model.VM) {
		for _, x := range out {
			s = append(s, x.name)
		}
		return s
	}
	require.Equal(t, []model.VM{"lasting-4", "lasting-2", "empty", "some"}, names(chooseForWave(due, 6, 2, false)), "a busy service keeps the others")
	require.Equal(t, []model.VM{"lasting-4", "lasting-2", "lasting-1", "empty", "some", "full"}, names(chooseForWave(due, 6, 2, true)), "the wave's time is short")
	require.Equal(t, []model.VM{"lasting-4"}, names(chooseForWave(due, 1, 2, false)))
	require.Equal(t, []model.VM{"empty", "some"}, names(chooseForWave(due, 6, 0, false)), "slots are left to machines that drain fast")
}
