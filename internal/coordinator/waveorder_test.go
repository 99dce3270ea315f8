package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against a wave that ends late because machines with long-running tasks, which take seconds
// per task to drain, were left to its end while their service was busy.
func TestMachinesWithLastingTasksAreDrainedFirst(t *testing.T) {
	candidate := func(name model.VM, tasks, longRunning int, busy bool) waveCandidate {
		return waveCandidate{&waveMachine{name: name}, tasks, longRunning, busy}
	}
	due := []waveCandidate{candidate("empty", 0, 0, false), candidate("full", 9, 0, true), candidate("some", 3, 0, false),
		candidate("lasting-1", 5, 1, true), candidate("lasting-4", 4, 4, true), candidate("lasting-2", 2, 2, false)}
	names := func(out []*waveMachine) (s []model.VM) {
		for _, x := range out {
			s = append(s, x.name)
		}
		return s
	}
	require.Equal(t, []model.VM{"lasting-4", "lasting-2", "empty", "some"}, names(chooseMachinesToDrain(due, 6, 2, false)), "a busy service keeps its other machines")
	require.Equal(t, []model.VM{"lasting-4", "lasting-2", "lasting-1", "empty", "some", "full"}, names(chooseMachinesToDrain(due, 6, 2, true)), "the wave's time is short")
	require.Equal(t, []model.VM{"lasting-4"}, names(chooseMachinesToDrain(due, 1, 2, false)))
	require.Equal(t, []model.VM{"empty", "some"}, names(chooseMachinesToDrain(due, 6, 0, false)), "the remaining slots are for machines that drain fast")
}
