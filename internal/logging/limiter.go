package logging

import (
	"expvar"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// suppressed counts the lines that limiters suppressed.
var suppressed = expvar.NewInt("log_lines_suppressed")

// Limiter bounds the rate of one kind of line, and counts what it suppresses.
type Limiter struct {
	limit *rate.Limiter
	since atomic.Int64
}

// NewLimiter returns a Limiter for the given lines per second.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written, and how many were suppressed since the last one that
// was. It does not block.
func (l *Limiter) Allow() (suppressedBefore int64, ok bool) {
	if !l.limit.Allow() {
		l.since.Add(1)
		suppressed.Add(1)
		return 0, false
	}
	return l.since.Swap(0), true
}
