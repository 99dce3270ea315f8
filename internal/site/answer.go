package site

import (
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
)

// Errors in answers to callers. Match them with errors.Is.
var (
	// ErrJobNotFound means that no such job exists.
	ErrJobNotFound = errors.New("site: job not found")
	// ErrOverloaded means that the job was not accepted and never runs: it could not
	// finish in time on the available capacity.
	ErrOverloaded = errors.New("site: overloaded, job cannot finish in time")
	// ErrUnavailable means that nothing was done, because a part of the system that it needs does not
	// answer.
	ErrUnavailable = errors.New("site: temporarily unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect. Repeating it is safe.
	ErrOutcomeUnknown = errors.New("site: outcome unknown")
)

// Answer is the result of a caller's request.
type Answer struct {
	// State is set if the request asked for the state of a job.
	State jobs.State
	// RetryAfter is the delay before the caller retries, set with ErrOverloaded and ErrUnavailable.
	RetryAfter time.Duration
	Err        error
}
