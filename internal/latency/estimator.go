// Package latency derives the timeout of a call from how long earlier calls took.
package latency

import "time"

const (
	// The weights of a new sample in the mean and in the deviation, and the number of deviations that
	// a timeout allows for, are those of TCP's retransmission timer (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// Estimator derives the timeout of the next call to one receiver. It is not safe for concurrent
// use. The zero value of its private fields is a receiver that has not answered yet.
type Estimator struct {
	// Least and Longest bound the timeout. Before the first answer it begins at Least.
	Least, Longest time.Duration

	known           bool
	mean, deviation time.Duration
	// timeouts doubles the timeout for each time that it has passed without an answer since the
	// last one.
	timeouts int
}

// Timeout returns the timeout of the next call.
func (e *Estimator) Timeout() time.Duration {
	out := e.Least
	if e.known {
		out = max(out, e.mean+deviations*e.deviation)
	}
	for range e.timeouts {
		if out *= 2; out >= e.Longest {
			break
		}
	}
	return min(out, e.Longest)
}

// Answered records how long a call took.
func (e *Estimator) Answered(took time.Duration) {
	e.timeouts = 0
	if !e.known {
		e.known, e.mean, e.deviation = true, took, took/2
		return
	}
	off := took - e.mean
	e.deviation += time.Duration(deviationWeight * float64(off.Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(off))
}

// TimedOut records a call without an answer within the given timeout. Of several calls that were
// sent with the same timeout only the first one counts.
func (e *Estimator) TimedOut(timeout time.Duration) {
	if timeout >= e.Timeout() {
		e.timeouts++
	}
}
