package peer

import (
	"context"
	"encoding/json"

	"github.com/rs/zerolog"

	"boragepulley/internal/model"
)

// Methods between entry VMs where one of them coordinates the whole site.
const (
	MethodCoordinatorHeartbeat = "Lead"
	MethodJobOffer             = "JobOffer"
	MethodJobStop              = "JobStop"
	MethodJobState             = "JobState"
	MethodSiteConfig           = "SiteConfig"
	MethodStore                = "Store"
)

// CoordinatorHeartbeat is sent by the site's coordinator to every entry VM. An entry VM that answers it
// does not try to take the lease for the lease's duration.
type CoordinatorHeartbeat struct {
	From Sender `json:"from"`
	// Epoch is the sender's fencing token.
	Epoch uint64 `json:"epoch"`
	// Addr is the sender's peer address, "IP:port".
	Addr string `json:"addr"`
	// Config is the configuration version that the sender acts on.
	Config uint64 `json:"config"`
	// Counted is set once the sender has read its tables; Pending and Load say nothing before.
	HasCounts bool `json:"counted,omitempty"`
	// Pending counts the accepted jobs by queue of which no task has started.
	Pending map[model.Queue]int `json:"pending,omitempty"`
	// Load is what entry VMs need to reject at once what would wait too long.
	Load map[model.Queue]QueueLoad `json:"load,omitempty"`
	// Successor is to follow: at once if Released is set, which means that the sender has given
	// the lease up, and otherwise when its time is over.
	Released  bool          `json:"released,omitempty"`
	Successor model.EntryVM `json:"successor,omitempty"`
	// Lease is the version of the lease's row as the sender wrote it last.
	Lease uint64 `json:"lease"`
	// Members are all entry VMs; empty if they are as told before.
	Members map[model.EntryVM]Member `json:"members,omitempty"`
}

// Member is an entry VM as the coordinator knows it.
type Member struct {
	Addr string `json:"a"`
	// Cores is the processor time that it may use, in cores.
	Cores float64 `json:"c,omitempty"`
}

// QueueLoad is the backlog of a queue as the coordinator sees it.
type QueueLoad struct {
	// WaitMS is how long a job that is accepted now would wait, in milliseconds.
	WaitMS int64 `json:"w"`
}

// CoordinatorHeartbeatReply answers a CoordinatorHeartbeat.
type CoordinatorHeartbeatReply struct {
	From Sender `json:"from"`
	// Epoch is the highest that the receiver has seen.
	Epoch  uint64 `json:"epoch"`
	Config uint64 `json:"config"`
	// Leaving is set while the receiver shuts down: it is not to coordinate.
	ShuttingDown bool `json:"leaving,omitempty"`
}

// JobOffer tells the coordinator of an accepted job that is stored.
type JobOffer struct {
	From Sender `json:"from"`
	Job  string `json:"job"`
	// Row is the job's stored row.
	Row json.RawMessage `json:"row"`
}

// JobRequest names a job, to cancel it or to learn its state.
type JobRequest struct {
	From Sender `json:"from"`
	Job  string `json:"job"`
}

// JobReply is what the coordinator knows of a job.
type JobReply struct {
	// Coordinates is unset if the receiver does not coordinate the site, or not yet.
	Coordinates bool `json:"coordinates,omitempty"`
	Known       bool `json:"known,omitempty"`
	// State is the job's state as callers may be told.
	State string `json:"state,omitempty"`
}

// SiteConfigGet asks for the configuration that the receiver acts on.
type SiteConfigGet struct {
	From Sender `json:"from"`
}

// SiteConfig is a configuration as it is stored.
type SiteConfig struct {
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// StoreCall asks an entry VM to make a call of the platform's store for one that the store
// turns away or that does not reach it. Exactly one of the calls is set.
type StoreCall struct {
	From     Sender        `json:"from"`
	Priority int           `json:"prio"`
	Get      string        `json:"get,omitempty"`
	Scan     *StoreScan    `json:"scan,omitempty"`
	Commit   *StoreTxn     `json:"commit,omitempty"`
	ReadAll  string        `json:"read_all,omitempty"`
	Changes  *StoreChanges `json:"changes,omitempty"`
}

// StoreScan is a reading of rows by prefix.
type StoreScan struct {
	Prefix string `json:"prefix"`
	Limit  int    `json:"limit,omitempty"`
}

// StoreChanges asks for changes after a version.
type StoreChanges struct {
	Table  string `json:"table"`
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

// StoreRow is a row. Removed rows have no value.
type StoreRow struct {
	Key     string `json:"k"`
	Version uint64 `json:"v,omitempty"`
	Value   []byte `json:"d,omitempty"`
	Removed bool   `json:"r,omitempty"`
}

// StoreTxn is a transaction: rows with the versions that they must have, and rows to write.
type StoreTxn struct {
	Conditions []StoreRow `json:"if,omitempty"`
	Puts       []StoreRow `json:"put,omitempty"`
}

// StoreReply is the outcome of a StoreCall.
type StoreReply struct {
	// Failure is empty if the call was done.
	Failure StoreFailure `json:"failure,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	Rows    []StoreRow   `json:"rows,omitempty"`
	Version uint64       `json:"version,omitempty"`
}

// StoreFailure says what is known of a call that was not done.
type StoreFailure string

const (
	StoreConflict    StoreFailure = "conflict"
	StoreUnknown     StoreFailure = "unknown_outcome"
	StoreUnavailable StoreFailure = "unavailable"
	StoreHistoryGone StoreFailure = "history_gone"
)

func (m *StoreCall) sender() Sender            { return m.From }
func (m *CoordinatorHeartbeat) sender() Sender { return m.From }
func (m *JobOffer) sender() Sender             { return m.From }
func (m *JobRequest) sender() Sender           { return m.From }
func (m *SiteConfigGet) sender() Sender        { return m.From }

// SiteHandler answers the messages of entry VMs of which one coordinates the site.
type SiteHandler interface {
	CoordinatorHeartbeat(ctx context.Context, m *CoordinatorHeartbeat) (*CoordinatorHeartbeatReply, error)
	JobOffer(ctx context.Context, m *JobOffer) (*Empty, error)
	// JobStop cancels a job and answers once the cancelling is stored.
	JobStop(ctx context.Context, m *JobRequest) (*JobReply, error)
	JobState(ctx context.Context, m *JobRequest) (*JobReply, error)
	SiteConfig(ctx context.Context, m *SiteConfigGet) (*SiteConfig, error)
	// Store makes a call of the platform's store for the sender.
	Store(ctx context.Context, m *StoreCall) (*StoreReply, error)
}

var _ SiteHandler = (*Client)(nil)

var siteRoutes = map[string]route{
	MethodCoordinatorHeartbeat: bind(SiteHandler.CoordinatorHeartbeat),
	MethodJobOffer:             bind(SiteHandler.JobOffer),
	MethodJobStop:              bind(SiteHandler.JobStop),
	MethodJobState:             bind(SiteHandler.JobState),
	MethodSiteConfig:           bind(SiteHandler.SiteConfig),
	MethodStore:                bind(SiteHandler.Store),
	MethodPing: bind(func(SiteHandler, context.Context, *Ping) (*Empty, error) {
		return &Empty{}, nil
	}),
}

// NewSiteServer returns a server for h.
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

// SiteConfig implements SiteHandler.
func (c *Client) SiteConfig(ctx context.Context, m *SiteConfigGet) (*SiteConfig, error) {
	return call[SiteConfig](ctx, c, MethodSiteConfig, m, shortTimeout, false)
}

// Store implements SiteHandler.
func (c *Client) Store(ctx context.Context, m *StoreCall) (*StoreReply, error) {
	return call[StoreReply](ctx, c, MethodStore, m, fetchTimeout, false)
}
