package admission

import "time"

// Tick refuses waiting requests whose deadline has passed and grants permits that have
// become possible over time, such as the probe of an ejected minion.
func (a *Admission) Tick(now time.Time) []Effect {
	out := a.expire(now)
	return append(out, a.grantEligible(now, a.waitingServices())...)
}

// NextDeadline returns the earliest deadline of the waiting requests.
func (a *Admission) NextDeadline() (time.Time, bool) {
	if len(a.deadlines) == 0 {
		return time.Time{}, false
	}
	return a.deadlines[0].deadline, true
}
