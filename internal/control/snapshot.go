package control

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// Snapshot is the control state that goroutines outside the control loop see. It is
// immutable.
type Snapshot struct {
	// Site is the configuration in force; nil before one is known.
	Site *config.Index
	// Document is the document from which Site was parsed.
	Document *config.Document
	// Current is false while there is no recent evidence that Site is the newest
	// configuration, that is, while the data centre is isolated.
	Current bool
	// Coordinator is the entry VM that grants permits in this data centre; empty if none is known.
	Coordinator model.EntryVM
	// Token is the highest coordinator token of this data centre that is known here.
	Token model.Token
	// Leaving is set once a graceful shutdown has begun.
	Leaving bool
	// EvidenceAt is the local time of the latest evidence that Site is the newest
	// configuration (docs/design.md, D3).
	EvidenceAt time.Time
	// Ready is whether the load balancer should send requests to this entry VM.
	Ready bool
	// Peers holds the state of the other entry VMs by name.
	Peers map[model.EntryVM]PeerState
}

// PeerState is what is known about another entry VM.
type PeerState struct {
	DC model.DataCentre `json:"dc"`
	// Addr is its peer address, "IP:port".
	Addr   string       `json:"addr"`
	Status MemberStatus `json:"status"`
	// Incarnation identifies its last known process; empty once that process has ended.
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	// Config is the highest configuration version that it has reported as in force.
	Config uint64 `json:"config"`
	// LastHeard is the local time at which its last message arrived.
	LastHeard time.Time `json:"last_heard"`
}

// MemberStatus is the status of an entry VM as observed by this one.
//
// State machine:
//
//	unknown -> alive <-> suspect -> gone -> alive (a new incarnation)
//	             '-> leaving -> gone
type MemberStatus string

const (
	MemberUnknown MemberStatus = "unknown"
	MemberAlive   MemberStatus = "alive"
	MemberSuspect MemberStatus = "suspect"
	MemberLeaving MemberStatus = "leaving"
	MemberGone    MemberStatus = "gone"
)
