package admission

import (
	"math"

	"boragepulley/internal/model"
)

// SetTaskDemand sets the number of waiting tasks per team. They are part of the usage
// that is reported, so that the team's allotment here grows for them.
func (a *Admission) SetTaskDemand(waiting map[model.Team]int) {
	for n := range waiting {
		a.team(n)
	}
	for _, t := range a.teams {
		t.tasksWaiting = waiting[t.name]
	}
}

// TeamHeadroom returns how many more tasks the team may start here within its allotment, at
// least 0, and how much of its work runs in the whole fleet.
func (a *Admission) TeamHeadroom(n model.Team) (room, fleet int) {
	t := a.teams[n]
	if t == nil {
		return 0, 0
	}
	if !t.limited {
		return math.MaxInt32, t.fleetRunning()
	}
	return max(0, t.headroom(a.blockedSlots())), t.fleetRunning()
}
