package peer

import (
	"context"
	"encoding/json"

	"github.com/rs/zerolog"

	"boragepulley/internal/model"
)

// Method names of the protocol for sites where one entry VM coordinates the whole site.
const (
	MethodCoordinatorHeartbeat = "Lead"
	MethodJobOffer             = "JobOffer"
	MethodJobStop              = "JobStop"
	MethodJobState             = "JobState"
	MethodJobUncertain         = "JobUncertain"
	MethodSiteConfig           = "SiteConfig"
	MethodStore                = "Store"
)

// CoordinatorHeartbeat is sent by the site's coordinator to every entry VM. An entry VM that
// answers does not try to acquire the lease for one lease duration.
type CoordinatorHeartbeat struct {
	From Sender `json:"from"`
	// Epoch is the sender's fencing token.
	Epoch uint64 `json:"epoch"`
	// Addr is the sender's peer address, "IP:port".
	Addr string `json:"addr"`
	// Config is the configuration version that the sender acts on.
	Config uint64 `json:"config"`
	// HasCounts is set once the sender has read its tables. Before that, Pending and Load are
	// meaningless.
	HasCounts bool `json:"counted,omitempty"`
	// Full is set while no further job is to be accepted.
	Full bool `json:"full,omitempty"`
	// JobBytes is the memory of the jobs that have not ended, JobLimit the most that they may take; 0 for
	// no limit, or from a sender of an earlier version.
	JobBytes int64 `json:"job_bytes,omitempty"`
	JobLimit int64 `json:"job_limit,omitempty"`
	// Pending counts the accepted jobs by queue of which no task has started.
	Pending map[model.Queue]int `json:"pending,omitempty"`
	// Load is the load of each queue, by which entry VMs reject jobs that would wait too long.
	Load map[model.Queue]QueueLoad `json:"load,omitempty"`
	// Successor is the entry VM that is to coordinate next: immediately if Released is set,
	// which means that the sender has released the lease, or else when the lease expires.
	Released  bool          `json:"released,omitempty"`
	Successor model.EntryVM `json:"successor,omitempty"`
	// Lease is the version of the lease row after the sender's last write.
	Lease uint64 `json:"lease"`
	// Members are all entry VMs; empty if unchanged since the coordinator sent them last.
	Members map[model.EntryVM]Member `json:"members,omitempty"`
	// Evacuated are the data centres that the sender knows to be evacuated, as of OperatorVersion of
	// the operators' table. A sender that has not read the table leaves both out.
	Evacuated       []model.DataCentre `json:"evacuated,omitempty"`
	OperatorVersion uint64             `json:"operator_version,omitempty"`
	// Probe is set if the receiver is to read the lease's row directly from the store and report it.
	Probe bool `json:"probe,omitempty"`
	// HandoverAgeMS is how long ago a coordinator handed over because of its path to the store, in
	// milliseconds and at least 1; 0 if the sender knows of none.
	HandoverAgeMS int64 `json:"handover_age_ms,omitempty"`
}

// Member describes one entry VM.
type Member struct {
	Addr string `json:"a"`
	// Cores is the number of processor cores that it may use.
	Cores float64 `json:"c,omitempty"`
	// DC is its data centre; empty from a sender of an earlier version.
	DC model.DataCentre `json:"d,omitempty"`
}

// QueueLoad is the coordinator's estimate of the backlog of a queue.
type QueueLoad struct {
	// WaitMS is the time that a job accepted now would wait, in milliseconds.
	WaitMS int64 `json:"w"`
}

// CoordinatorHeartbeatReply is the reply to a CoordinatorHeartbeat.
type CoordinatorHeartbeatReply struct {
	From Sender `json:"from"`
	// Epoch is the highest epoch that the receiver has seen.
	Epoch  uint64 `json:"epoch"`
	Config uint64 `json:"config"`
	// ShuttingDown is set while the receiver shuts down; it must not become coordinator.
	ShuttingDown bool `json:"leaving,omitempty"`
	// Evacuated are the data centres that the sender knows to be evacuated, as of OperatorVersion of
	// the operators' table. A sender that has not read the table leaves both out.
	Evacuated       []model.DataCentre `json:"evacuated,omitempty"`
	OperatorVersion uint64             `json:"operator_version,omitempty"`
	// StoreMS is how long the last direct read of the store that succeeded took, StoreAgeMS how long ago it
	// ended, at least 1, or 0 if none has succeeded. StoreOK is set if the last read that has ended succeeded.
	StoreMS    int64 `json:"store_ms,omitempty"`
	StoreAgeMS int64 `json:"store_age_ms,omitempty"`
	StoreOK    bool  `json:"store_ok,omitempty"`
	// HandoverAgeMS is as in CoordinatorHeartbeat. A successor learns from it of a handover whose outcome its
	// predecessor did not learn.
	HandoverAgeMS int64 `json:"handover_age_ms,omitempty"`
	// StoreRead is the number of the last read that has ended among all direct reads of the receiver's
	// process. Ages do not tell reads apart, because heartbeats take different times to arrive.
	StoreRead uint64 `json:"store_read,omitempty"`
}

// JobOffer informs the coordinator of an accepted job whose row is stored.
type JobOffer struct {
	From Sender `json:"from"`
	Job  string `json:"job"`
	// Row is the job's stored row.
	Row json.RawMessage `json:"row"`
}

// JobRequest identifies the job of a request.
type JobRequest struct {
	From Sender `json:"from"`
	Job  string `json:"job"`
	// More are further jobs, for JobState.
	More []string `json:"more,omitempty"`
}

// JobReply is the state of a job at the coordinator.
type JobReply struct {
	// Coordinates is false if the receiver is not, or not yet, coordinator of the site, or if another
	// entry VM may know a later state of the job: one that may have become coordinator, or that reads
	// a final state from the store of which the receiver does not know yet that it is stored.
	Coordinates bool `json:"coordinates,omitempty"`
	Known       bool `json:"known,omitempty"`
	// State is the job's state as reported to callers.
	State string `json:"state,omitempty"`
	// More are the states of JobRequest.More in its order, empty for unknown jobs. A receiver of an
	// earlier version leaves it out.
	More []string `json:"more,omitempty"`
	// MoreNotCurrent are the positions in More of states that may be outdated, as Coordinates says of
	// the first job.
	MoreNotCurrent []int `json:"more_not_current,omitempty"`
}

// SiteConfigGet requests the configuration that the receiver uses.
type SiteConfigGet struct {
	From Sender `json:"from"`
}

// SiteConfig is a configuration in its stored form.
type SiteConfig struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// StoreCall asks an entry VM to call the platform's store on behalf of the sender, which
// the store rejects or which cannot reach it. Exactly one of Get, Scan, Commit, ReadAll and
// Changes is set.
type StoreCall struct {
	From     Sender        `json:"from"`
	Priority int           `json:"prio"`
	Get      string        `json:"get,omitempty"`
	Scan     *StoreScan    `json:"scan,omitempty"`
	Commit   *StoreTxn     `json:"commit,omitempty"`
	ReadAll  string        `json:"read_all,omitempty"`
	Changes  *StoreChanges `json:"changes,omitempty"`
	// WithinMS is when the receiver answers a Get at the latest, with StoreUnavailable if the store has not
	// answered by then; 0 if it waits for the store. A receiver of an earlier version ignores it.
	WithinMS int64 `json:"within_ms,omitempty"`
}

// StoreScan reads the rows whose keys have a prefix.
type StoreScan struct {
	Prefix string `json:"prefix"`
	Limit  int    `json:"limit,omitempty"`
}

// StoreChanges reads the changes of a table after a version.
type StoreChanges struct {
	Table  string `json:"table"`
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

// StoreRow is a row of the store. A removed row has no value.
type StoreRow struct {
	Key     string `json:"k"`
	Version uint64 `json:"v,omitempty"`
	Value   []byte `json:"d,omitempty"`
	Removed bool   `json:"r,omitempty"`
}

// StoreTxn is a transaction: Conditions are rows with their required versions, Puts are the
// rows to write.
type StoreTxn struct {
	Conditions []StoreRow `json:"if,omitempty"`
	Puts       []StoreRow `json:"put,omitempty"`
}

// StoreReply is the outcome of a StoreCall.
type StoreReply struct {
	// Failure is empty if the call succeeded.
	Failure StoreFailure `json:"failure,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	Rows    []StoreRow   `json:"rows,omitempty"`
	Version uint64       `json:"version,omitempty"`
}

// StoreFailure classifies the failure of a StoreCall.
type StoreFailure string

const (
	StoreConflict    StoreFailure = "conflict"
	StoreUnknown     StoreFailure = "unknown_outcome"
	StoreUnavailable StoreFailure = "unavailable"
	StoreHistoryGone StoreFailure = "history_gone"
	// StoreRejected is a call that the store refuses for good. Earlier versions treat it as StoreUnknown.
	StoreRejected StoreFailure = "rejected"
)

func (m *StoreCall) sender() Sender            { return m.From }
func (m *CoordinatorHeartbeat) sender() Sender { return m.From }
func (m *JobOffer) sender() Sender             { return m.From }
func (m *JobRequest) sender() Sender           { return m.From }
func (m *SiteConfigGet) sender() Sender        { return m.From }

// SiteHandler handles the messages of sites where one entry VM coordinates the whole site.
// Client implements it too.
type SiteHandler interface {
	CoordinatorHeartbeat(ctx context.Context, m *CoordinatorHeartbeat) (*CoordinatorHeartbeatReply, error)
	JobOffer(ctx context.Context, m *JobOffer) (*Empty, error)
	// JobStop cancels a job and returns once the cancellation is stored.
	JobStop(ctx context.Context, m *JobRequest) (*JobReply, error)
	JobState(ctx context.Context, m *JobRequest) (*JobReply, error)
	// JobUncertain informs another entry VM that the sender does not know whether it has stored a
	// job. The receiver then does not reject later requests with that id.
	JobUncertain(ctx context.Context, m *JobRequest) (*Empty, error)
	SiteConfig(ctx context.Context, m *SiteConfigGet) (*SiteConfig, error)
	// Store calls the platform's store on behalf of the sender.
	Store(ctx context.Context, m *StoreCall) (*StoreReply, error)
}

var _ SiteHandler = (*Client)(nil)

var siteRoutes = map[string]route{
	MethodCoordinatorHeartbeat: bind(SiteHandler.CoordinatorHeartbeat),
	MethodJobOffer:             bind(SiteHandler.JobOffer),
	MethodJobStop:              bind(SiteHandler.JobStop),
	MethodJobState:             bind(SiteHandler.JobState),
	MethodJobUncertain:         bind(SiteHandler.JobUncertain),
	MethodSiteConfig:           bind(SiteHandler.SiteConfig),
	MethodStore:                bind(SiteHandler.Store),
	MethodPing: bind(func(SiteHandler, context.Context, *Ping) (*Empty, error) {
		return &Empty{}, nil
	}),
}

// NewSiteServer returns a server that passes the messages of a site to h. It counts the
// bytes of all peers together.
func NewSiteServer(h SiteHandler, log zerolog.Logger) *Server {
	return newServer(h, siteRoutes, nil, log)
}

// CoordinatorHeartbeat implements SiteHandler.
func (c *Client) CoordinatorHeartbeat(ctx context.Context, m *CoordinatorHeartbeat) (*CoordinatorHeartbeatReply, error) {
	return call[CoordinatorHeartbeatReply](ctx, c, MethodCoordinatorHeartbeat, m, shortTimeout, false)
}

// JobOffer implements SiteHandler.
func (c *Client) JobOffer(ctx context.Context, m *JobOffer) (*Empty, error) {
	return call[Empty](ctx, c, MethodJobOffer, m, shortTimeout, false)
}

// JobStop implements SiteHandler.
func (c *Client) JobStop(ctx context.Context, m *JobRequest) (*JobReply, error) {
	return call[JobReply](ctx, c, MethodJobStop, m, fetchTimeout, false)
}

// JobState implements SiteHandler.
func (c *Client) JobState(ctx context.Context, m *JobRequest) (*JobReply, error) {
	return call[JobReply](ctx, c, MethodJobState, m, shortTimeout, false)
}

// JobUncertain implements SiteHandler.
func (c *Client) JobUncertain(ctx context.Context, m *JobRequest) (*Empty, error) {
	return call[Empty](ctx, c, MethodJobUncertain, m, shortTimeout, false)
}

// SiteConfig implements SiteHandler.
func (c *Client) SiteConfig(ctx context.Context, m *SiteConfigGet) (*SiteConfig, error) {
	return call[SiteConfig](ctx, c, MethodSiteConfig, m, shortTimeout, false)
}

// Store implements SiteHandler.
func (c *Client) Store(ctx context.Context, m *StoreCall) (*StoreReply, error) {
	return call[StoreReply](ctx, c, MethodStore, m, fetchTimeout, false)
}
