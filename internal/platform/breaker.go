package platform

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/pkg/errors"
)

const (
	// breakerThreshold is the number of failures in a row that opens the breaker. One or
	// two can be silent or reset connections while the service works.
	breakerThreshold = 3
	// The back-off is drawn from 2/3 to 4/3 of an interval that doubles, which gives
	// 0.25 s to 0.5 s at first and 2.5 s to 5 s in a long outage.
	backoffInitial = 375 * time.Millisecond
	backoffMax     = 3750 * time.Millisecond
	backoffJitter  = 1.0 / 3
	backoffFactor  = 2
)

var errBreakerOpen = errors.New("circuit breaker is open")

// health is what a call says about the service.
type health int

const (
	// healthNeutral: the call ended without evidence, for example cancelled by its caller.
	healthNeutral health = iota
	healthUp
	healthDown
)

// breaker is the circuit breaker.
//
// State machine: closed -> open (failures in a row) -> probing (one call after the
// back-off) -> closed (the probe succeeded) | open (it failed, longer back-off).
type breaker struct {
	onOpen  func()                   // called without the lock when the breaker opens
	onClose func(away time.Duration) // called without the lock when it closes, with how long it was open

	mu      sync.Mutex
	gen     uint64                      // guarded by mu; results of calls of an earlier generation are ignored
	fails   int                         // guarded by mu
	open    bool                        // guarded by mu
	since   time.Time                   // guarded by mu; when the breaker opened
	probing bool                        // guarded by mu
	until   time.Time                   // guarded by mu; end of the back-off
	backoff *backoff.ExponentialBackOff // guarded by mu
}

// newBreaker returns a closed breaker; longest bounds its back-off, 0 selects backoffMax.
func newBreaker(onOpen func(), longest time.Duration) *breaker {
	if longest == 0 {
		longest = backoffMax
	}
	return &breaker{onOpen: onOpen, backoff: backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(min(backoffInitial, longest)), backoff.WithMaxInterval(longest),
		backoff.WithRandomizationFactor(backoffJitter), backoff.WithMultiplier(backoffFactor),
		backoff.WithMaxElapsedTime(0))}
}

// blocked reports whether a call would be rejected now. It reserves nothing. mayProbe is
// unset for a call that is not to try a service that does not answer.
func (b *breaker) blocked(mayProbe bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && (!mayProbe || b.probing || time.Now().Before(b.until))
}

// allow reserves a call, which must be followed by report with the generation.
func (b *breaker) allow(mayProbe bool) (gen uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return b.gen, true
	}
	if !mayProbe || b.probing || time.Now().Before(b.until) {
		return 0, false
	}
	b.probing = true
	return b.gen, true
}

// report ends a call.
func (b *breaker) report(gen uint64, h health) {
	opened, closed, away := b.settle(gen, h)
	if opened && b.onOpen != nil {
		b.onOpen()
	}
	if closed && b.onClose != nil {
		b.onClose(away)
	}
}

// settle reports whether the breaker opened or closed, and how long it was open.
func (b *breaker) settle(gen uint64, h health) (opened, closed bool, away time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if gen != b.gen {
		return false, false, 0
	}
	if b.open {
		b.endProbe(h)
		return false, !b.open, time.Since(b.since)
	}
	switch h {
	case healthUp:
		b.fails = 0
	case healthDown:
		if b.fails++; b.fails >= breakerThreshold {
			b.open = true
			b.gen++
			b.since = time.Now()
			b.until = b.since.Add(b.backoff.NextBackOff())
			return true, false, 0
		}
	}
	return false, false, 0
}

// endProbe requires mu. After a neutral result the next call may probe at once.
func (b *breaker) endProbe(h health) {
	b.probing = false
	switch h {
	case healthUp:
		b.open = false
		b.fails = 0
		b.gen++
		b.backoff.Reset()
	case healthDown:
		b.until = time.Now().Add(b.backoff.NextBackOff())
	}
}
