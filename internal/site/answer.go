package site

import (
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
)

// Errors of answers to callers. Callers match them with errors.Is.
var (
	// ErrJobNotFound means that no such job exists.
	ErrJobNotFound = errors.New("site: no such job")
	// ErrOverloaded means that the job was not accepted and never runs: there is no room in time.
	ErrOverloaded = errors.New("site: no room in time")
	// ErrUnavailable means that nothing was done, because a part of the system is away.
	ErrUnavailable = errors.New("site: not available now")
	// ErrOutcomeUnknown means that the call may have taken effect; it can be repeated.
	ErrOutcomeUnknown = errors.New("site: outcome unknown")
)

// Answer is what a caller is told.
type Answer struct {
	// State is set when a job's state was asked for.
	State jobs.State
	// RetryAfter is when to come back, with ErrTurnedAway and ErrNotNow.
	RetryAfter time.Duration
	Err        error
}
