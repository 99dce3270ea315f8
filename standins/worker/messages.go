package worker

import "encoding/json"

// Start is the body of POST /tasks.
type Start struct {
	ID           string          `json:"id"`
	Attempt      int             `json:"attempt"`
	Cores        int             `json:"cores"`
	MemoryMB     int             `json:"memory_mb"`
	Accelerators int             `json:"accelerators"`
	RunMS        int64           `json:"run_ms"`
	LeaseMS      int64           `json:"lease_ms"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	// Checkpoint is the checkpoint of an earlier attempt to continue from.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// Payload is how a task really behaves when that differs from its declaration. Any other
// payload is accepted and ignored.
type Payload struct {
	UseCores    float64 `json:"use_cores"`
	UseMemoryMB int     `json:"use_memory_mb"`
	RealRunMS   int64   `json:"real_run_ms"`
	// Fail makes the task fail at its end on every worker.
	Fail bool `json:"fail"`
}

// Checkpoint is the content of a checkpoint.
type Checkpoint struct {
	// DoneMS is the run time that the task has completed, in milliseconds.
	DoneMS int64 `json:"done_ms"`
}

// Command is the body of POST /tasks/{id}/renew, checkpoint, throttle and stop.
type Command struct {
	Attempt int `json:"attempt"`
	// LeaseMS is the new lease from now, for renew.
	LeaseMS int64 `json:"lease_ms,omitempty"`
	// Percent is the new speed from 1 to 100, for throttle.
	Percent int `json:"percent,omitempty"`
	// Stop stops the task after a checkpoint.
	Stop bool `json:"stop,omitempty"`
}

// State is the state of a task.
//
// State machine: running -> done | failed | stopped | expired; the latter are final.
type State string

const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
	// StateExpired means that the lease expired and the worker stopped the task.
	StateExpired State = "expired"
)

// Usage is what a task used one usage lag ago.
type Usage struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
}

// Task is the state of one task in answers.
type Task struct {
	ID           string `json:"id"`
	Attempt      int    `json:"attempt"`
	State        State  `json:"state"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
	Percent      int    `json:"percent"`
	DoneMS       int64  `json:"done_ms"`
	// LeaseLeftMS is the rest of the lease of a running task.
	LeaseLeftMS int64 `json:"lease_left_ms"`
	Usage       Usage `json:"usage"`
	// Checkpoint is set in the answer of a checkpoint.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
}

// Tasks is the answer of GET /tasks, sorted by id. Ended tasks stay listed until
// maxEnded newer ones have ended.
type Tasks struct {
	Worker       string `json:"worker"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
	Tasks        []Task `json:"tasks"`
}

// Faults is the body of PUT /workers/{name}/faults; it replaces the earlier faults.
type Faults struct {
	// FailEverything lets every new task fail after FailAfterMS.
	FailEverything bool  `json:"fail_everything,omitempty"`
	FailAfterMS    int64 `json:"fail_after_ms,omitempty"`
	// Refuse answers starts with 503 and X-Not-Started: true.
	Refuse bool `json:"refuse,omitempty"`
	// Hang gives no answer to any call until the faults are replaced; leases run on.
	Hang bool `json:"hang,omitempty"`
	// LoseAnswers closes the connection of the next calls after their effect.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DelayMS delays every call before its effect, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// Stats are counts since the start; reboots do not reset them.
type Stats struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Violations counts starts that did not fit the free cores, memory or accelerators.
	Violations int64 `json:"violations"`
	Started    int64 `json:"started"`
	Expired    int64 `json:"expired"`
	Reboots    int64 `json:"reboots"`
}
