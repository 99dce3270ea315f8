package control

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// Snapshot is the control state that traffic goroutines see. It is immutable.
type Snapshot struct {
	// Site is the configuration in force, nil before the first one is known.
	Site *config.Index
	// Document is the applied document behind Site.
	Document *config.Document
	// Current is false once the configuration can no longer be confirmed (isolation).
	Current bool
	// Coordinator is the entry VM that grants permits in this data centre; empty if none is known.
	Coordinator model.EntryVM
	// Token is the highest coordinator token of this data centre that was seen.
	Token model.Token
	// Leaving is set once a graceful shutdown has begun.
	Leaving bool
	// EvidenceAt is the local time of the newest evidence that Site is the head (D3).
	EvidenceAt time.Time
	// Ready is whether this entry VM should get requests from the balancer.
	Ready bool
	// Peers is the state of the other entry VMs, by name.
	Peers map[model.EntryVM]PeerState
}

// PeerState is what is known about another entry VM.
type PeerState struct {
	DC model.DataCentre `json:"dc"`
	// Addr is its peer address, "IP:port".
	Addr   string       `json:"addr"`
	Status MemberStatus `json:"status"`
	// Incarnation is its last known process start; empty once that process is gone.
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	// Config is the highest configuration version that it reported in force.
	Config uint64 `json:"config"`
	// LastHeard is the local time of its last message.
	LastHeard time.Time `json:"last_heard"`
}

// MemberStatus is the status of an entry VM as seen by this one.
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
