package peer

import (
	"time"

	"boragepulley/internal/model"
)

// Method names of the peer protocol.
const (
	MethodHeartbeat     = "Heartbeat"
	MethodRegister      = "Register"
	MethodAcquire       = "Acquire"
	MethodCancelAcquire = "CancelAcquire"
	MethodRelease       = "Release"
	MethodForward       = "Forward"
	MethodConfigOffer   = "ConfigOffer"
	MethodConfigGet     = "ConfigGet"
	MethodUsage         = "Usage"
	MethodAllotmentAsk  = "AllotmentAsk"
	MethodJobGet        = "JobGet"
	MethodJobCancel     = "JobCancel"
	MethodHoldRecords   = "HoldRecords"
	MethodDropRecords   = "DropRecords"
	MethodPullRecords   = "PullRecords"
	MethodDCStatus      = "DCStatus"
	MethodTaskOffer     = "TaskOffer"
	MethodTaskCancel    = "TaskCancel"
)

// Sender identifies the process that sent a message.
type Sender struct {
	Entry       model.EntryVM     `json:"entry"`
	DC          model.DataCentre  `json:"dc"`
	Incarnation model.Incarnation `json:"inc"`
}

// Heartbeat is sent to every entry VM of the local data centre every 500 ms, and by
// coordinators to one entry VM of each remote data centre every second.
type Heartbeat struct {
	From   Sender `json:"from"`
	Config uint64 `json:"config"`
	// Token is the highest coordinator token of the sender's data centre that it has seen.
	Token model.Token `json:"token"`
	// Coordinator is the entry VM that the sender accepts as coordinator; empty if none.
	Coordinator model.EntryVM `json:"coordinator,omitempty"`
	// EvidenceAge is the age of the sender's newest evidence that Config is the latest
	// version. Passing the evidence on only adds to its age (docs/design.md, D3).
	EvidenceAge time.Duration `json:"evidence_age"`
	// Leaving is set while the sender shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// NotServing lists the VMs of the data centre that are in any state but serving. Only the
	// coordinator sends it, so that a successor knows them if it cannot read the table.
	NotServing map[model.VM]model.VMState `json:"not_serving,omitempty"`
	// PoolOverrides lists the VMs of the data centre that are not yet in the pool of their
	// configuration, because they still run jobs. Only the coordinator sends it.
	PoolOverrides map[model.VM]model.Pool `json:"pools,omitempty"`
	// Allotments is the part of each team's limit that the data centre may use. Only the
	// coordinator sends it, and only in requests, so that a successor knows it if it cannot
	// read the table.
	Allotments map[model.Team]int `json:"held,omitempty"`
	// Tasks counts the tasks on workers by team. Only the coordinator sends it, and only in
	// requests, so that a successor can count them against the limits if it cannot read the table.
	Tasks map[model.Team]int `json:"tasks,omitempty"`
}

// HeartbeatReply is the reply to a Heartbeat, with the receiver's state.
type HeartbeatReply struct {
	Heartbeat
}

// Register announces a new coordinator to an entry VM of its data centre.
type Register struct {
	From  Sender      `json:"from"`
	Token model.Token `json:"token"`
	// Local is set if the sender took over without access to the table.
	Local bool `json:"local,omitempty"`
}

// RegisterReply carries what the new coordinator needs to rebuild its state.
type RegisterReply struct {
	From Sender `json:"from"`
	// Accepted is false if the receiver has seen a higher token; Token is then that token.
	Accepted bool        `json:"accepted"`
	Token    model.Token `json:"token"`
	// Permits are the receiver's outstanding permits.
	Permits []model.Permit `json:"permits,omitempty"`
	// Unattributed counts, by minion, the running jobs of unknown origin that the receiver
	// tracked while it was coordinator.
	Unattributed map[model.VM]int `json:"unattributed,omitempty"`
}

// Acquire requests a permit from the coordinator, which replies when the job may start or
// is refused.
type Acquire struct {
	From    Sender        `json:"from"`
	Request model.Request `json:"request"`
	Attempt int           `json:"attempt"`
	// Wait is the time left until the request's deadline. A duration is sent because the
	// clocks of the VMs may differ.
	Wait time.Duration `json:"wait"`
	// Avoid lists minions that already failed this job.
	Avoid []model.VM `json:"avoid,omitempty"`
	// Hops is 1 for a forwarded request, which is never forwarded again.
	Hops int `json:"hops,omitempty"`
}

// AcquireReply grants a permit, refuses, or redirects to another data centre.
type AcquireReply struct {
	Permit *model.Permit `json:"permit,omitempty"`
	// Refused is the reason if there is neither a permit nor a redirect. A refusal
	// means that no permit for this attempt exists.
	Refused model.Reason `json:"refused,omitempty"`
	// ForwardTo is a data centre that has free slots.
	ForwardTo model.DataCentre `json:"forward_to,omitempty"`
	Detail    string           `json:"detail,omitempty"`
}

// CancelAcquire cancels a waiting Acquire. If a permit was granted in the meantime, the sender releases it.
type CancelAcquire struct {
	From    Sender      `json:"from"`
	Job     model.JobID `json:"job"`
	Attempt int         `json:"attempt"`
}

// AttemptResult is the result of a dispatch attempt, by which the coordinator judges the minion.
type AttemptResult string

const (
	AttemptOK         AttemptResult = "ok"
	AttemptNotStarted AttemptResult = "not_started"
	AttemptFailed     AttemptResult = "failed"
	// AttemptLost means that the work may still be running on the minion.
	AttemptLost AttemptResult = "lost"
	// AttemptUnused means that the permit was never used.
	AttemptUnused AttemptResult = "unused"
)

// Release returns a permit to the coordinator.
type Release struct {
	From    Sender        `json:"from"`
	Job     model.JobID   `json:"job"`
	Attempt int           `json:"attempt"`
	Minion  model.VM      `json:"minion"`
	Token   model.Token   `json:"token"`
	Result  AttemptResult `json:"result"`
}

// Forward passes a request with its body to an entry VM of a remote data centre, or of the
// local one while the sender shuts down.
type Forward struct {
	From    Sender        `json:"from"`
	Request model.Request `json:"request"`
	// Wait is the time left until the deadline.
	Wait        time.Duration `json:"wait"`
	ContentType string        `json:"content_type,omitempty"`
	Body        []byte        `json:"body"`
	// Claimed is set if the sender holds the claim of a non-idempotent request.
	Claimed bool `json:"claimed,omitempty"`
	// Attempts is the number of dispatches already made.
	Attempts int `json:"attempts,omitempty"`
	// Avoid lists minions that already failed this job.
	Avoid []model.VM `json:"avoid,omitempty"`
}

// ForwardReply is the result of a forwarded request.
type ForwardReply struct {
	Result model.Result `json:"result"`
}

// ConfigOffer tells a peer that a configuration version exists.
type ConfigOffer struct {
	From    Sender `json:"from"`
	Version uint64 `json:"version"`
}

// ConfigGet asks a peer for its configuration if it is newer than Version.
type ConfigGet struct {
	From    Sender `json:"from"`
	Version uint64 `json:"version"`
}

// ConfigGetReply carries the peer's configuration document if it is newer.
type ConfigGetReply struct {
	Version  uint64 `json:"version"`
	Document []byte `json:"document,omitempty"`
}

// Usage is exchanged between coordinators once a second.
type Usage struct {
	From  Sender      `json:"from"`
	Token model.Token `json:"token"`
	// Seq increases with each message of one incarnation; older messages are ignored.
	Seq uint64 `json:"seq"`
	// Running and Waiting count requests per team in the sender's data centre.
	Running map[model.Team]int `json:"running,omitempty"`
	Waiting map[model.Team]int `json:"waiting,omitempty"`
	// Free counts free slots per service, after the waiting requests.
	Free map[model.Service]int `json:"free,omitempty"`
}

// AllotmentAsk asks another data centre's coordinator for part of a team's limit.
type AllotmentAsk struct {
	From Sender     `json:"from"`
	Team model.Team `json:"team"`
	Want int        `json:"want"`
}

// AllotmentAskReply tells how much the donor has transferred in the table.
type AllotmentAskReply struct {
	Given int `json:"given"`
	// RowVersion is the version of the allotment row after the transfer.
	RowVersion uint64 `json:"row_version,omitempty"`
}

// JobGet asks the entry VM that accepted a job for its state.
type JobGet struct {
	From Sender      `json:"from"`
	Job  model.JobID `json:"job"`
	// Answer asks for the answer's body too.
	Answer bool `json:"answer,omitempty"`
}

// JobGetReply is the state of a job.
type JobGetReply struct {
	Found bool `json:"found"`
	// Denied is set if the job belongs to another team than the one that asks.
	Denied bool           `json:"denied,omitempty"`
	Result model.Result   `json:"result"`
	Steps  []model.Record `json:"steps,omitempty"`
}

// JobCancel cancels a job that was not dispatched yet.
type JobCancel struct {
	From Sender      `json:"from"`
	Job  model.JobID `json:"job"`
	Team model.Team  `json:"team"`
}

// HoldRecords asks the receiver to keep a replica of account records until the sender has
// stored them.
type HoldRecords struct {
	From    Sender `json:"from"`
	Batch   uint64 `json:"batch"`
	Payload []byte `json:"payload"`
}

// HoldRecordsReply confirms a replica.
type HoldRecordsReply struct {
	// From identifies the process that holds the replica. Another one under the same name does not
	// have what was sent to the one before.
	From Sender `json:"from"`
}

// DropRecords discards the replicas of all batches up to and including Batch.
type DropRecords struct {
	From  Sender `json:"from"`
	Batch uint64 `json:"batch"`
}

// PullRecords asks for the records that the receiver has not stored yet, for a report.
type PullRecords struct {
	From Sender `json:"from"`
}

// PullRecordsReply carries encoded batches.
type PullRecordsReply struct {
	From    Sender   `json:"from"`
	Batches [][]byte `json:"batches,omitempty"`
	// Complete is false if not all unstored records fit into the reply.
	Complete bool `json:"complete"`
}

// DCStatus asks an entry VM for the state of its data centre, for operators.
type DCStatus struct {
	From Sender `json:"from"`
}

// DCStatusReply is answered by coordinators; Coordinator is false at other entry VMs.
type DCStatusReply struct {
	From        Sender      `json:"from"`
	Coordinator bool        `json:"coordinator"`
	Token       model.Token `json:"token"`
	// Local is set for a coordinator that took over without access to the table.
	Local   bool               `json:"local,omitempty"`
	Running map[model.Team]int `json:"running,omitempty"`
	Waiting map[model.Team]int `json:"waiting,omitempty"`
	VMs     []VMStatus         `json:"vms,omitempty"`
	Waves   []WaveStatus       `json:"waves,omitempty"`
}

// WaveStatus is the progress of a maintenance wave in one data centre.
type WaveStatus struct {
	Name string `json:"name"`
	// Done of Total VMs are finished, Active are being maintained.
	Done   int `json:"done"`
	Active int `json:"active"`
	Total  int `json:"total"`
	// Paused is why the wave does not proceed; empty if it does.
	Paused string `json:"paused,omitempty"`
}

// VMStatus is a coordinator's view of one upstream VM.
type VMStatus struct {
	Name  model.VM      `json:"name"`
	State model.VMState `json:"state"`
	// Used counts the slots in use, including those whose use is unknown.
	Used    int  `json:"used"`
	Ejected bool `json:"ejected,omitempty"`
	// Suspect is set while the minion answers no polls.
	Suspect bool `json:"suspect,omitempty"`
	// Pool is the pool that the VM is in. MoveTo is its pool in the configuration if that
	// differs.
	Pool   model.Pool `json:"pool,omitempty"`
	MoveTo model.Pool `json:"move_to,omitempty"`
	// Wave is the wave that the VM was drained for.
	Wave  string    `json:"wave,omitempty"`
	Since time.Time `json:"since,omitzero"`
	// HoldReason is why the VM waits; Detail gives the figures for it.
	HoldReason string `json:"held,omitempty"`
	Detail     string `json:"detail,omitempty"`
}

// Empty is the reply of messages that need none.
type Empty struct{}

// TaskOffer informs the coordinator of the local data centre of a stored task, which it
// would otherwise find only with its next scan of the table.
type TaskOffer struct {
	From    Sender        `json:"from"`
	Version uint64        `json:"version"`
	Row     model.TaskRow `json:"row"`
}

// TaskCancel asks the coordinator of the local data centre to cancel a task. The reply is a
// JobGetReply.
type TaskCancel struct {
	From Sender      `json:"from"`
	Job  model.JobID `json:"job"`
	Team model.Team  `json:"team,omitempty"`
}
