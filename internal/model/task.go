package model

import (
	"encoding/json"
	"time"
)

// TaskSize holds the resources that a task needs on a worker.
type TaskSize struct {
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// TaskState is the state of a task in its table row.
//
// State machine:
//
//	waiting -> placed -> ended
//	   ^          |
//	   '----------'  (not started, lost and repeatable, or checkpointed)
//	waiting -> ended
//
// A placed task may run on its worker from the moment the row is written.
type TaskState string

const (
	TaskWaiting TaskState = "waiting"
	TaskPlaced  TaskState = "placed"
	TaskEnded   TaskState = "ended"
)

// Reasons of decisions about tasks.
const (
	ReasonTaskStored         Reason = "task_stored"
	ReasonStoreUnavailable   Reason = "store_unavailable"
	ReasonTaskFailed         Reason = "task_failed"
	ReasonTooLarge           Reason = "larger_than_every_worker"
	ReasonFailsOnEveryWorker Reason = "fails_on_every_worker"
	ReasonWorkerLost         Reason = "worker_lost_task"
	ReasonCheckpointed       Reason = "checkpointed_for_urgent_task"
	ReasonWorkerNotStarted   Reason = "worker_did_not_start"
	ReasonPlaced             Reason = "placed"
	ReasonStarted            Reason = "started"
	ReasonTaskRestored       Reason = "read_at_takeover"
)

// TaskRow is the value of the table row "task/<data centre>/<job>". The entry VM that
// accepts the task inserts it; only the coordinator of the data centre changes it.
type TaskRow struct {
	Request     Request `json:"request"`
	ContentType string  `json:"content_type,omitempty"`
	// Digest is the xxhash64 of the body in hex; the answer contains it too.
	Digest string `json:"digest"`
	// Declared is the size declared by the caller, Reserved the size reserved for the current
	// attempt.
	Declared TaskSize `json:"declared"`
	Reserved TaskSize `json:"reserved,omitzero"`
	// RunMS is the declared run time in milliseconds, 0 if none was given.
	RunMS int64 `json:"run_ms,omitempty"`
	// CanCheckpoint is whether the caller declared that the task can be checkpointed.
	CanCheckpoint bool      `json:"can_checkpoint,omitempty"`
	State         TaskState `json:"state"`
	Worker        Worker    `json:"worker,omitempty"`
	// Attempt is the number of the current or last attempt; 0 before the first one.
	Attempt int `json:"attempt,omitempty"`
	// Started is set once an earlier attempt may have started.
	Started bool `json:"started,omitempty"`
	// Failures counts attempts that failed, Losses those whose result is unknown.
	Failures int      `json:"failures,omitempty"`
	Losses   int      `json:"losses,omitempty"`
	Avoid    []Worker `json:"avoid,omitempty"`
	// Checkpoint is the state from which the next attempt continues.
	Checkpoint  json.RawMessage `json:"checkpoint,omitempty"`
	Checkpoints int             `json:"checkpoints,omitempty"`
	// Result is set in state ended. It does not contain the answer's body.
	Result *Result   `json:"result,omitempty"`
	Ended  time.Time `json:"ended,omitzero"`
}

// TaskPrefix returns the prefix of the rows of a data centre's tasks.
func TaskPrefix(dc DataCentre) string { return "task/" + string(dc) + "/" }

// TaskKey returns the key of a task's row.
func TaskKey(dc DataCentre, j JobID) string { return TaskPrefix(dc) + string(j) }

// TaskBodyName returns the name of the object with a task's body.
func TaskBodyName(j JobID) string { return "task-body/" + string(j) }

// TaskAnswerName returns the name of the object with a task's answer.
func TaskAnswerName(j JobID) string { return "task-answer/" + string(j) }

// TaskAnswer is the content of the object that stores a task's answer.
type TaskAnswer struct {
	Team   Team   `json:"team,omitempty"`
	Queue  Queue  `json:"queue"`
	Result Result `json:"result"`
}

// TaskOutput is the body of a task's answer. Workers do not report any other output.
type TaskOutput struct {
	Job     JobID  `json:"job"`
	Worker  Worker `json:"worker"`
	Attempt int    `json:"attempt"`
	// State is the state that the worker reported: done or failed.
	State string `json:"state"`
	// RunMS is the completed run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// RequestDigest is the xxhash64 of the request's body in hex.
	RequestDigest string `json:"request_digest"`
}
