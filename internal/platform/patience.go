package platform

import (
	"sync"
	"time"
)

const (
	// The weights of a new sample in the mean and in the deviation, and the deviations that a
	// limit leaves, are those of TCP's retransmission timer (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 4
)

// patience is the adaptive timeout of small calls, derived from the latency of earlier ones. It
// detects a lost answer early, which matters where one call waits for another, and grows up
// to the client's timeout while the platform is slow.
type patience struct {
	// least and longest bound the limit.
	least, longest time.Duration

	mu        sync.Mutex
	known     bool          // guarded by mu
	mean      time.Duration // guarded by mu
	deviation time.Duration // guarded by mu
	// lost doubles the limit for each call in a row without an answer.
	lost int // guarded by mu
}

// limit returns the time limit of the next call.
func (p *patience) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return p.longest
	}
	out := max(p.least, p.mean+deviations*p.deviation)
	for range p.lost {
		if out *= 2; out >= p.longest {
			return p.longest
		}
	}
	return min(out, p.longest)
}

// answered notes how long a call took.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = 0
	if !p.known {
		p.known, p.mean, p.deviation = true, took, took/2
		return
	}
	off := took - p.mean
	p.deviation += time.Duration(deviationWeight * float64(off.Abs()-p.deviation))
	p.mean += time.Duration(meanWeight * float64(off))
}

// unanswered notes a call that got no answer within its limit.
func (p *patience) unanswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost++
}
