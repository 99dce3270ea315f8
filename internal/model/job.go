package model

import "time"

// Outcome is the result of a request as reported to the caller.
type Outcome string

const (
	// OutcomeRan means that the job ran and its complete answer is available.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the job has not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the job may have run; its state can be queried later by its id.
	OutcomeUnknown Outcome = "unknown"
)

// State is the state of a job.
//
// State machine:
//
//	accepted -> queued -> dispatched -> ran
//	   |          |           |-------> unknown -> ran (a late answer arrived)
//	   |          |           |             '----> refused (a late refusal of another entry VM arrived)
//	   |          |           '-------> queued (a permitted retry)
//	   |          '-> refused | cancelled
//	   '------------> refused | cancelled
//
// refused, cancelled and ran are final. cancelled is only entered while the job
// was certainly not dispatched.
type State string

const (
	StateAccepted   State = "accepted"
	StateQueued     State = "queued"
	StateDispatched State = "dispatched"
	StateRan        State = "ran"
	StateRefused    State = "refused"
	StateCancelled  State = "cancelled"
	StateUnknown    State = "unknown"
)

// Rank orders states for merging records of one job: the highest rank wins.
func (s State) Rank() int {
	switch s {
	case StateAccepted:
		return 1
	case StateQueued:
		return 2
	case StateDispatched:
		return 3
	case StateUnknown:
		return 4
	case StateRefused, StateCancelled:
		return 5
	case StateRan:
		return 6
	}
	return 0
}

// Final reports whether no later state can follow.
func (s State) Final() bool {
	return s == StateRan || s == StateRefused || s == StateCancelled
}

// Outcome returns the outcome that is reported to the caller for a job in state s.
func (s State) Outcome() Outcome {
	switch s {
	case StateRan:
		return OutcomeRan
	case StateRefused, StateCancelled:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Reason is why a decision was made. Reasons appear in logs, answers and reports.
type Reason string

const (
	ReasonNone               Reason = ""
	ReasonKeyMissing         Reason = "key_missing"
	ReasonKeyUnknown         Reason = "key_unknown"
	ReasonKeyWithdrawn       Reason = "key_withdrawn"
	ReasonKeyNotForQueue     Reason = "key_not_allowed_on_queue"
	ReasonUnknownQueue       Reason = "queue_unknown"
	ReasonBadRequest         Reason = "request_malformed"
	ReasonBodyTooLarge       Reason = "body_too_large"
	ReasonBodyIncomplete     Reason = "body_incomplete"
	ReasonQueueFull          Reason = "queue_full"
	ReasonDeadlineQueued     Reason = "deadline_passed_in_queue"
	ReasonCannotStart        Reason = "cannot_start_before_deadline"
	ReasonTeamLimit          Reason = "team_limit_reached"
	ReasonNoMinion           Reason = "no_serving_minion"
	ReasonNoCoordinator      Reason = "no_coordinator"
	ReasonConfigUnconfirmed  Reason = "configuration_not_confirmed"
	ReasonClaimUnavailable   Reason = "claim_unavailable"
	ReasonDuplicateID        Reason = "request_id_already_used"
	ReasonCancelled          Reason = "cancelled_by_caller"
	ReasonCallerDisconnected Reason = "caller_disconnected"
	ReasonShuttingDown       Reason = "entry_vm_shutting_down"
	// ReasonEntryLost: the entry VM that accepted the job was lost before its outcome was stored,
	// or counted as lost while the job waited.
	ReasonEntryLost          Reason = "entry_vm_lost"
	ReasonRetryBudget        Reason = "retry_budget_exhausted"
	ReasonAttemptsExhausted  Reason = "attempts_exhausted"
	ReasonFailsOnEveryMinion Reason = "fails_on_every_minion"
	ReasonAnswerLost         Reason = "answer_lost"
	ReasonAnswerIncomplete   Reason = "answer_not_whole"
	ReasonDeadlineRunning    Reason = "deadline_passed_while_running"
	ReasonMinionNotStarted   Reason = "minion_did_not_start"
	ReasonMinionUnreachable  Reason = "minion_not_reached"
	ReasonGranted            Reason = "granted"
	ReasonForwarded          Reason = "forwarded"
	ReasonRetry              Reason = "retry"
	ReasonStaleToken         Reason = "stale_coordinator_token"
	ReasonPermitExpired      Reason = "permit_expired"
	ReasonAnswerExpired      Reason = "answer_expired"
	ReasonUnexpectedError    Reason = "unexpected_error"
)

// Priority is the caller's priority class.
type Priority string

const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
)

// Request is the metadata of a caller's request; its body stays at the entry VM.
type Request struct {
	Job JobID `json:"job"`
	// RequestID is the caller's id for de-duplication; empty if none was sent.
	RequestID  string   `json:"request_id,omitempty"`
	Queue      Queue    `json:"queue"`
	Team       Team     `json:"team,omitempty"`
	KeyID      string   `json:"key_id,omitempty"`
	Priority   Priority `json:"priority"`
	Idempotent bool     `json:"idempotent"`
	// Deadline is the time after which the caller no longer needs the answer.
	Deadline time.Time `json:"deadline"`
	Accepted time.Time `json:"accepted"`
}

// Permit allows one dispatch attempt of one job to one minion.
type Permit struct {
	Job     JobID   `json:"job"`
	Attempt int     `json:"attempt"`
	Team    Team    `json:"team,omitempty"`
	Queue   Queue   `json:"queue"`
	Service Service `json:"service"`
	Minion  VM      `json:"minion"`
	Addr    string  `json:"addr"`
	Holder  EntryVM `json:"holder"`
	Token   Token   `json:"token"`
	// NotAfter is the time after which the dispatch must not start, by the holder's clock. It
	// is computed from StartWithin on receipt.
	NotAfter time.Time `json:"-"`
	// StartWithin is how long after receipt the dispatch may start.
	StartWithin time.Duration `json:"start_within"`
}

// Record is one fact about a job for the account. Records of a job merge by rank.
type Record struct {
	Job       JobID     `json:"job"`
	Time      time.Time `json:"time"`
	Entry     EntryVM   `json:"entry"`
	State     State     `json:"state"`
	Reason    Reason    `json:"reason,omitempty"`
	Queue     Queue     `json:"queue,omitempty"`
	Team      Team      `json:"team,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Minion    VM        `json:"minion,omitempty"`
	Attempt   int       `json:"attempt,omitempty"`
	// Config is the configuration version in force at the decision.
	Config uint64 `json:"config,omitempty"`
	// Detail is a short human-readable explanation.
	Detail string `json:"detail,omitempty"`
}

// FleetEvent is one fact about the fleet for the account.
type FleetEvent struct {
	Time   time.Time  `json:"time"`
	Entry  EntryVM    `json:"entry"`
	DC     DataCentre `json:"dc"`
	Kind   string     `json:"kind"` // configuration, vm_state, wave, lease, failure, usage
	Object string     `json:"object"`
	From   string     `json:"from,omitempty"`
	To     string     `json:"to,omitempty"`
	Reason string     `json:"reason,omitempty"`
}

// Result is the known state of a job and, if available, its answer.
type Result struct {
	Job    JobID  `json:"job"`
	State  State  `json:"state"`
	Reason Reason `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
	// Status is the HTTP status of the minion's response, if the job ran.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Minion      VM     `json:"minion,omitempty"`
	Attempts    int    `json:"attempts,omitempty"`
}

// Outcome returns the outcome that is reported to the caller.
func (r Result) Outcome() Outcome { return r.State.Outcome() }
