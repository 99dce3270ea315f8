// Package indoubt decides when a task may be started elsewhere although starts of it that got no answer may
// still be carried out. It performs no I/O and is owned by one goroutine.
//
// A minion may carry a start out seconds after it was sent, and also after it has restarted under its id. The
// next incarnation knows neither the fencing tokens nor the runs of the one before, and its clock is unrelated,
// so that a lease which is long over there is granted again, up to the longest that the minion grants. While the
// minion does not answer, only time tells that no such run can be in progress.
//
// The load that this is for: a rack or data centre is cut off while starts are on their way to its minions. There is
// one entry per task and minion, for at most MaxDelay and the longest lease.
package indoubt

import (
	"maps"
	"slices"
	"time"
)

// MaxDelay is how much later than its sender has given it up a call may be carried out at most. The users'
// documentation speaks of seconds (PROTOCOL.md), their test bench of 2 to 12 s after the call.
const MaxDelay = 12 * time.Second

// Attempts are the starts of one task that were sent to one minion, got no answer and may be carried out.
type Attempts struct {
	// Run is the highest number of a run among them, 0 if it is not known.
	Run int
	// Count is the number of starts.
	Count int
	// ArriveBy is when the last of them has been carried out or never will be.
	ArriveBy time.Duration
	// WaitingSince is since when the task would have been started elsewhere if there were no such start, or 0.
	WaitingSince time.Duration
}

// Starts are the starts that were sent to one minion and may be carried out, whichever incarnation they were
// sent to. The zero value has none.
type Starts struct {
	byTask map[string]*Attempts
	// leasesArriveBy is when the last call that grants a lease and got no answer has been carried out or never
	// will be. A lease applies to all runs on a minion.
	leasesArriveBy time.Duration
}

// Unanswered records that a start of a run was given up without an answer at the given time.
func (s *Starts) Unanswered(task string, run int, at time.Duration) {
	s.Assume(task, run, at+MaxDelay)
}

// Assume records a start that has been carried out by the given time or never will be. run is 0 if it is not
// known.
func (s *Starts) Assume(task string, run int, arriveBy time.Duration) {
	if s.byTask == nil {
		s.byTask = map[string]*Attempts{}
	}
	a := s.byTask[task]
	if a == nil {
		a = &Attempts{}
		s.byTask[task] = a
	}
	a.Run, a.Count, a.ArriveBy = max(a.Run, run), a.Count+1, max(a.ArriveBy, arriveBy)
	s.leasesArriveBy = max(s.leasesArriveBy, arriveBy)
}

// LeaseUnanswered records that a call that renews the leases of all runs was given up without an answer.
func (s *Starts) LeaseUnanswered(at time.Duration) {
	s.leasesArriveBy = max(s.leasesArriveBy, at+MaxDelay)
}

// CarriedOut records that a run of a task is known to have begun and that count starts of it were sent, all without
// an answer. If they are all that are known, the only one has been carried out and none is left.
func (s *Starts) CarriedOut(task string, run, count int) {
	if a := s.byTask[task]; a != nil && a.Run == run && a.Count == 1 && count == 1 {
		delete(s.byTask, task)
	}
}

// Of returns the starts of a task, or nil if there are none.
func (s *Starts) Of(task string) *Attempts { return s.byTask[task] }

// Tasks returns the names of the tasks with such starts, in order.
func (s *Starts) Tasks() []string { return slices.Sorted(maps.Keys(s.byTask)) }

// Len returns the number of tasks with starts that may be carried out or whose runs may be in progress.
func (s *Starts) Len() int { return len(s.byTask) }

// Arriving returns, by task, the starts that may still be carried out.
func (s *Starts) Arriving(now time.Duration) map[string]Attempts {
	out := map[string]Attempts{}
	for task, a := range s.byTask {
		if now <= a.ArriveBy {
			out[task] = *a
		}
	}
	return out
}

// Reported forgets the starts that could not be carried out any more at the given time, because the minion has
// answered a poll that was sent then with all that runs there.
func (s *Starts) Reported(at time.Duration) {
	for task, a := range s.byTask {
		if at > a.ArriveBy {
			delete(s.byTask, task)
		}
	}
}

// Void forgets all starts, because the minion has ended and none of its id will carry them out.
func (s *Starts) Void() { *s = Starts{} }

// Forget forgets the starts whose runs have ended, given the longest lease that the minion grants.
func (s *Starts) Forget(now, longestLease time.Duration) {
	for task, a := range s.byTask {
		if d := Decide(a, s.leasesArriveBy, longestLease); now > d.NotBefore {
			delete(s.byTask, task)
		}
	}
}

// Reason tells why a task may not be started elsewhere yet.
type Reason string

const (
	// ReasonNone: no start is in doubt.
	ReasonNone Reason = "no_start_in_doubt"
	// ReasonStartInDoubt: a start that got no answer may be carried out, or its run may be in progress.
	ReasonStartInDoubt Reason = "start_in_doubt"
)

// Decision tells from when on a task of a minion that does not answer may be started elsewhere.
type Decision struct {
	NotBefore time.Duration
	Reason    Reason
}

// Decide decides for a task with the given starts in doubt, nil if there are none. leasesArriveBy is when the last
// call with a lease has been carried out or never will be; longestLease is the longest lease that the
// minion grants, on this process's clock.
func Decide(a *Attempts, leasesArriveBy, longestLease time.Duration) Decision {
	if a == nil {
		return Decision{Reason: ReasonNone}
	}
	return Decision{NotBefore: max(a.ArriveBy, leasesArriveBy) + longestLease, Reason: ReasonStartInDoubt}
}

// Decide decides for a task of the minion that the starts were sent to.
func (s *Starts) Decide(task string, longestLease time.Duration) Decision {
	return Decide(s.byTask[task], s.leasesArriveBy, longestLease)
}
