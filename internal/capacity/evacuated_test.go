package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// evacuate marks machines as those of an evacuated data centre.
func evacuate(all []Machine) []Machine {
	for i := range all {
		all[i].Evacuated = true
	}
	return all
}

// Guards against a pool that keeps only machines on which nothing may start, and against machines of an
// evacuated data centre that are moved to replace others.
func TestEvacuatedMachinesAreReplaced(t *testing.T) {
	busy := Service{Name: "s", Busy: jobs.Resources{CPU: 150000}}
	plan := func(all []Machine) Plan {
		return NewPlan(Snapshot{Standby: "off", Machines: all, Services: []Service{busy, {Name: "idle"}}})
	}
	all := append(machines("s", 5, false, 0), machines("off", 9, true, 0)...)
	require.Len(t, plan(all).Moves, 2, "5 machines are the target of one, and 2 that of the other service")
	evacuate(all[1:5])
	evacuate(all[5:8])
	p := plan(all)
	require.Len(t, p.Moves, 6, "4 more replace those of the pool")
	for _, mv := range p.Moves {
		require.NotContains(t, []model.VM{"off-0", "off-1", "off-2"}, mv.Machine)
	}
	require.True(t, all[5].Movable, "the input is not changed")

	all = append(machines("s", 5, false, 0), evacuate(machines("idle", 9, true, time.Minute))...)
	evacuate(all[:5])
	require.Empty(t, plan(all).Moves, "neither to the other pool nor to standby")
	for i := range all[:5] {
		all[i].Incoming = true
	}
	require.Equal(t, 0, plan(all).Targets[0].Have, "machines on their way into the data centre are no capacity")
}

// Guards against machines that go on losing their tasks for another service after their data centre was
// evacuated, and against choosing such machines.
func TestReclaimsOfEvacuatedMachinesAreReleased(t *testing.T) {
	all := append(machines("s", 1, false, 0), machines("busy", 6, false, 0)...)
	for i := range all {
		all[i].Reclaimable, all[i].Tasks = true, 1
	}
	plan := func() Plan {
		return NewPlan(Snapshot{Machines: all, Services: []Service{{Name: "s", Unplaceable: 1, Stranded: 1}, {Name: "busy"}}})
	}
	require.Len(t, plan().Reclaim, 1)
	chosen := plan().Reclaim[0].Machine
	for i := range all {
		if all[i].Name == chosen {
			all[i].ReclaimedFor, all[i].Reclaimable, all[i].Evacuated = "s", false, true
		}
	}
	p := plan()
	require.Equal(t, []model.VM{chosen}, p.Release)
	require.Len(t, p.Reclaim, 1)
	require.NotEqual(t, chosen, p.Reclaim[0].Machine)
	evacuate(all[1:])
	require.Empty(t, plan().Reclaim)
}
