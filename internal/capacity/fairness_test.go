package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against two services with tasks that fit nowhere which empty each other's machines for as
// long as the tasks wait.
func TestStrandedServicesDoNotTakeFromEachOther(t *testing.T) {
	all := append(busyMachines("a", 5), busyMachines("b", 4)...)
	p := NewPlan(Snapshot{Standby: "off", Machines: all, Services: []Service{{Name: "a", MinMachines: 9, Unplaceable: 3, Stranded: 3}, {Name: "b", MinMachines: 9, Unplaceable: 3, Stranded: 3}}})
	require.Empty(t, p.Reclaim)
}

// Guards against a service that loses its only machine to long-running tasks of another one.
func TestServiceKeepsItsLastMachine(t *testing.T) {
	p := NewPlan(Snapshot{Standby: "off", Machines: busyMachines("hot", 1), Services: overloaded(1)})
	require.Empty(t, p.Reclaim)
	p = NewPlan(Snapshot{Standby: "off", Machines: busyMachines("hot", 9), Services: overloaded(200)})
	require.Len(t, p.Reclaim, 4)
}

// Guards against machines that are emptied for a task that they can not host.
func TestOnlySuitableMachinesAreEmptied(t *testing.T) {
	hot := busyMachines("hot", 5)
	hot[3].Rack = "r"
	services := overloaded(1)
	services[1].Needs = []Need{{Resources: hot[3].Capacity, Label: "r"}}
	p := NewPlan(Snapshot{Standby: "off", Machines: append(machines("off", 1, true, 0), hot...), Services: services})
	require.Equal(t, []Move{{Machine: "hot-3", To: "lasting"}}, p.Reclaim)
	require.NotContains(t, p.Moves, Move{Machine: "off-0", To: model.Service("lasting")})
}
