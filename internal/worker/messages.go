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
	// Checkpoint is the checkpoint to resume from; empty to start from the beginning.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// State is the state of an attempt at its worker.
//
// State machine: running -> done | failed | stopped | expired. All states but running are final.
type State string

const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
	// StateExpired means that the worker stopped the task because its lease expired.
	StateExpired State = "expired"
)

// Final reports whether the attempt has ended.
func (s State) Final() bool { return s != StateRunning }

// Usage is the resource usage of a task, measured some seconds ago.
type Usage struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
}

// Task is one attempt of a task as reported by its worker.
type Task struct {
	ID      model.JobID `json:"id"`
	Attempt int         `json:"attempt"`
	State   State       `json:"state"`
	// Percent is the speed, 100 unless throttled.
	Percent int   `json:"percent"`
	DoneMS  int64 `json:"done_ms"`
	Usage   Usage `json:"usage"`
	// Checkpoint is set in the response to a checkpoint request.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// commandRequest is the body of the requests that control a started attempt.
type commandRequest struct {
	Attempt int   `json:"attempt"`
	LeaseMS int64 `json:"lease_ms,omitempty"`
	Percent int   `json:"percent,omitempty"`
	Stop    bool  `json:"stop,omitempty"`
}

type taskList struct {
	Tasks []Task `json:"tasks"`
}
