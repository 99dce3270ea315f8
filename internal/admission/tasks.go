package admission

import (
	"math"

	"boragepulley/internal/model"
)

// SetTaskDemand sets the number of waiting tasks per team. They are part of the reported
// usage, so that the team's allotment in this data centre grows for them.
func (a *Admission) SetTaskDemand(waiting map[model.Team]int) {
	for n := range waiting {
		a.team(n)
	}
	for _, t := range a.teams {
		t.tasksWaiting = waiting[t.name]
	}
}

// TeamHeadroom returns how many more tasks the team may start here within its allotment (at
// least 0), and its running requests and tasks in the whole fleet.
func (a *Admission) TeamHeadroom(n model.Team) (headroom, fleet int) {
	t := a.teams[n]
	if t == nil {
		return 0, 0
	}
	if !t.limited {
		return math.MaxInt32, t.fleetRunning()
	}
	return max(0, t.headroom(a.blockedSlots())), t.fleetRunning()
}
