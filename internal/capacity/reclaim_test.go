package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// busyMachines returns machines that are all at work and may be emptied; the i-th has i+1 tasks.
func busyMachines(pool model.Service, n int) []Machine {
	out := machines(pool, n, false, 0)
	for i := range out {
		out[i].Tasks, out[i].Reclaimable = i+1, true
	}
	return out
}

func overloaded(stranded int) []Service {
	return []Service{
		{Name: "hot", Busy: jobs.Resources{CPU: 300000}, Waiting: jobs.Resources{CPU: 9000000}},
		{Name: "lasting", Unplaceable: stranded, Stranded: stranded},
	}
}

// Guards against a long-running task without a place for as long as another service has a burst, of
// which no machine is ever empty.
func TestMachineIsEmptiedForAStrandedTask(t *testing.T) {
	hot := busyMachines("hot", 5)
	hot[0].LongRunning = 1 // the fewest tasks, but one of them would have to be stopped
	p := NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Equal(t, []Move{{Machine: "hot-1", To: "lasting"}}, p.Reclaim)
	require.Empty(t, p.Moves)

	hot[1].ReclaimedFor, hot[1].Reclaimable = "lasting", false
	p = NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Empty(t, p.Reclaim, "one is being emptied")
	require.Empty(t, p.Moves)
	require.Empty(t, p.Release)

	hot[1].Tasks, hot[1].Movable = 0, true
	p = NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Equal(t, []Move{{Machine: "hot-1", To: "lasting"}}, p.Moves)
	require.Empty(t, p.Reclaim)
}

// Guards against machines that are emptied although one is empty, on its way or on standby.
func TestNoMachineIsEmptiedWhileAnotherOneIsThere(t *testing.T) {
	hot := busyMachines("hot", 5)
	standby := append(machines("off", 1, true, 0), hot...)
	p := NewPlan(Snapshot{Standby: "off", Machines: standby, Services: overloaded(1)})
	require.Empty(t, p.Reclaim)
	require.Equal(t, []Move{{Machine: "off-0", To: "lasting"}}, p.Moves)

	incoming := append(machines("lasting", 1, false, 0), hot...)
	incoming[0].Incoming = true
	require.Empty(t, NewPlan(Snapshot{Standby: "off", Machines: incoming, Services: overloaded(1)}).Reclaim)

	idle := append(machines("idle", 4, true, 0), hot...)
	p = NewPlan(Snapshot{Standby: "off", Machines: idle, Services: append(overloaded(1), Service{Name: "idle"})})
	require.Empty(t, p.Reclaim)
	require.Contains(t, p.Moves, Move{Machine: "idle-0", To: "lasting"})
}

// Guards against a machine that stays without work because the task for which it is being emptied
// has found another place, or because it is gone.
func TestMachineThatIsNoLongerNeededIsReleased(t *testing.T) {
	hot := busyMachines("hot", 5)
	hot[1].ReclaimedFor = "lasting"
	p := NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(0)})
	require.Equal(t, []model.VM{"hot-1"}, p.Release)
	hot[1].Usable = false
	p = NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Equal(t, []model.VM{"hot-1"}, p.Release)
	require.Equal(t, []Move{{Machine: "hot-0", To: "lasting"}}, p.Reclaim)
}

// Guards against several stranded tasks that get their machines one after the other.
func TestAsManyMachinesAreEmptiedAsTasksNeed(t *testing.T) {
	p := NewPlan(Snapshot{Standby: "off", Machines: busyMachines("hot", 5), Services: overloaded(2)})
	require.Equal(t, []Move{{Machine: "hot-0", To: "lasting"}, {Machine: "hot-1", To: "lasting"}}, p.Reclaim)
}

// Guards against a service that waits for one machine with a task that takes long or stands still.
func TestAnotherMachineIsEmptiedForOneThatTakesLong(t *testing.T) {
	hot := busyMachines("hot", 5)
	hot[0].ReclaimedFor, hot[0].Reclaimable, hot[0].ReclaimOverdue = "lasting", false, true
	p := NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Equal(t, []Move{{Machine: "hot-1", To: "lasting"}}, p.Reclaim)
	require.Empty(t, p.Release)

	hot[1].ReclaimedFor, hot[1].Reclaimable = "lasting", false
	p = NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Empty(t, p.Reclaim, "another one is being emptied")

	for i := range hot[:3] {
		hot[i].ReclaimedFor, hot[i].Reclaimable, hot[i].ReclaimOverdue = "lasting", false, true
	}
	p = NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Empty(t, p.Reclaim, "no service is left with fewer machines than are emptied")
}

// Guards against a machine that is released because another one is being emptied as well, or moved
// late because one that is not empty comes first: with tasks of more than the time after which
// another one is emptied, none would ever be empty.
func TestMachineThatTakesLongIsEmptiedOn(t *testing.T) {
	hot := busyMachines("hot", 5)
	for i := range hot[:3] {
		hot[i].ReclaimedFor, hot[i].Reclaimable = "lasting", false
	}
	hot[1].ReclaimOverdue = true
	hot[2].ReclaimOverdue = true
	p := NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Empty(t, p.Release)
	require.Empty(t, p.Reclaim)

	hot[2].Movable, hot[2].Tasks = true, 0
	p = NewPlan(Snapshot{Standby: "off", Machines: hot, Services: overloaded(1)})
	require.Equal(t, []Move{{Machine: "hot-2", To: "lasting"}}, p.Moves)
	require.ElementsMatch(t, []model.VM{"hot-0", "hot-1"}, p.Release)
}
