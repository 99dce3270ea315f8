package worker

import (
	"encoding/json"

	"boragepulley/internal/model"
)

// Start asks a worker to start one attempt of a task.
type Start struct {
	ID           model.JobID `json:"id"`
	Attempt      int         `json:"attempt"`
	Cores        int         `json:"cores"`
	MemoryMB     int         `json:"memory_mb"`
	Accelerators int         `json:"accelerators"`
	// RunMS is the declared run time and LeaseMS the lease, in milliseconds.
	RunMS   int64           `json:"run_ms"`
	LeaseMS int64           `json:"lease_ms"`
	Payload json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is where the attempt continues, if not empty.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// State is the state of an attempt at its worker.
//
// State machine: running -> done | failed | stopped | expired; the latter are final.
type State string

const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
	// StateExpired means that the worker stopped the task because its lease lapsed.
	StateExpired State = "expired"
)

// Final reports whether the attempt has ended.
func (s State) Final() bool { return s != StateRunning }

// Usage is what a task used some seconds ago.
type Usage struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
}

// Task is one attempt as its worker reports it.
type Task struct {
	ID      model.JobID `json:"id"`
	Attempt int         `json:"attempt"`
	State   State       `json:"state"`
	// Percent is the speed, 100 unless throttled.
	Percent int   `json:"percent"`
	DoneMS  int64 `json:"done_ms"`
	Usage   Usage `json:"usage"`
	// Checkpoint is set in the answer to a checkpoint.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// command is the body of the calls about a known attempt.
type command struct {
	Attempt int   `json:"attempt"`
	LeaseMS int64 `json:"lease_ms,omitempty"`
	Percent int   `json:"percent,omitempty"`
	Stop    bool  `json:"stop,omitempty"`
}

type listing struct {
	Tasks []Task `json:"tasks"`
}
