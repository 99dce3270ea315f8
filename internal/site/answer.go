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
	// ErrWithdrawn means that the job was not accepted and never runs: it was cancelled before.
	ErrWithdrawn = errors.New("site: job was cancelled before it was accepted")
	// ErrNotStorable means that the job was not accepted: the store does not take it, or it needs more
	// memory than this entry VM allows for one job.
	ErrNotStorable = errors.New("site: job cannot be stored")
	// ErrUnavailable means that nothing was done, because a part of the system that it needs does not
	// answer.
	ErrUnavailable = errors.New("site: temporarily unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect. Repeating it is safe.
	ErrOutcomeUnknown = errors.New("site: outcome unknown")
)

// Reason tells what decided a request.
type Reason string

const (
	// ReasonAccepted: the job is stored now. ReasonAcceptedBefore: it was stored by an earlier
	// attempt. ReasonMayBeStored: the outcome of this attempt, or of an earlier one, is unknown.
	ReasonAccepted       Reason = "accepted"
	ReasonAcceptedBefore Reason = "accepted_before"
	ReasonMayBeStored    Reason = "may_be_stored"
	// ReasonStoreUnavailable: the store did not answer, neither directly nor through peers.
	ReasonStoreUnavailable Reason = "store_unavailable"
	// ReasonFull: the jobs that have not ended leave no memory of the coordinator for this one.
	ReasonFull Reason = "backlog_full"
	// ReasonNoRoom: the bodies of other requests take all the memory that the entry VM has for them.
	ReasonNoRoom Reason = "no_room"
	// ReasonTooLarge: the job's row exceeds what the store takes, or the job the memory for one.
	// ReasonRefusedByStore: the store called the row invalid.
	ReasonTooLarge       Reason = "job_too_large"
	ReasonRefusedByStore Reason = "refused_by_store"
	// ReasonCoordinator and ReasonStore: the coordinator's or the store's knowledge of the job.
	ReasonCoordinator Reason = "coordinator"
	ReasonStore       Reason = "store"
	// ReasonWithdrawn: the job was cancelled before it was accepted.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonPending and ReasonPendingUnknown: the coordinator's count of waiting jobs.
	ReasonPending        Reason = "pending"
	ReasonPendingUnknown Reason = "pending_unknown"
	// The others concern the form of the request or the configuration in force.
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoQueue         Reason = "no_queue"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonInvalidID       Reason = "invalid_id"
	ReasonMethod          Reason = "method_not_allowed"
	ReasonBodyUnreadable  Reason = "body_unreadable"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonMalformed       Reason = "malformed_job"
	ReasonPanic           Reason = "panic"
)

// Answer is the result of a caller's request.
type Answer struct {
	// State is set if the request asked for the state of a job.
	State jobs.State
	// RetryAfter is the delay before the caller retries, set with ErrOverloaded, ErrWithdrawn and
	// ErrUnavailable.
	RetryAfter time.Duration
	Err        error
	// Reason and Age are for the log. Age is how old the information behind Reason was: the time
	// since the coordinator's last heartbeat, or since the store stopped answering; 0 if it was read
	// for this request.
	Reason Reason
	Age    time.Duration
}
