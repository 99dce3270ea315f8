package admission

import "time"

// Tick ends waiting requests whose deadline has passed and starts what the passing of
// time makes possible, such as a probe of an ejected minion.
func (a *Admission) Tick(now time.Time) []Effect {
	out := a.expire(now)
	return append(out, a.grantEligible(now, a.waitingServices())...)
}

// NextDeadline returns the time of the earliest deadline among the waiting requests.
func (a *Admission) NextDeadline() (time.Time, bool) {
	if len(a.deadlines) == 0 {
		return time.Time{}, false
	}
	return a.deadlines[0].deadline, true
}
