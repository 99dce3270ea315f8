// Package succession decides whether a coordinator hands its role over to an entry VM with a better path to
// the store. It performs no I/O.
//
// Load: a coordinator that is cut off from the store keeps its lease through peers; each write takes up to a
// second and starts on new minions wait for it.
package succession

import (
	"time"

	"boragepulley/internal/model"
)

// Reason tells why a coordinator keeps its role or hands it over.
type Reason string

const (
	Healthy      Reason = "healthy"
	TooSoon      Reason = "too_soon"
	NotLoaded    Reason = "not_loaded"
	NoneBetter   Reason = "none_better"
	BadStorePath Reason = "bad_store_path"
)

// Write is one write of the coordinator to the store that ended at At.
type Write struct {
	At   time.Duration
	Took time.Duration
	// Relayed is set if the direct call failed, so that the write needed a relay.
	Relayed bool
}

// Candidate is another entry VM as known from its last heartbeat reply. Its times are readings of the
// coordinator's clock.
type Candidate struct {
	Name         model.EntryVM
	OtherDC      bool
	Cores        float64
	AnsweredAt   time.Duration
	ShuttingDown bool
	// Reads are the last direct reads of the store that the candidate reported, newest first; one that failed
	// or was not reported ends the list.
	Reads []Read
}

// Read is a direct read of the store that ended at At.
type Read struct {
	// Number counts the reads of the entry VM's process, including those that failed.
	Number uint64
	At     time.Duration
	Took   time.Duration
}

// State is the input of a decision.
type State struct {
	Now       time.Duration
	StartedAt time.Duration
	// LastHandover is when a handover for health is last known to have happened; 0 if never.
	LastHandover time.Duration
	// NotBefore is the earliest time of the next handover after one that failed; 0 if none has.
	NotBefore time.Duration
	Loaded    bool
	Cores     float64
	// Writes are the recent writes, newest first. WriteInProgress is since when one is in progress, or 0.
	Writes          []Write
	WriteInProgress time.Duration
	// BadSince is since when the path has been bad, as returned by the previous decision; 0 if it was not.
	BadSince   time.Duration
	Candidates []Candidate
}

// Decision is the result: hand over to To if it is set.
type Decision struct {
	To       model.EntryVM
	Reason   Reason
	BadSince time.Duration
	// Probe is set if the candidates are to read the store, so that a later decision has their reads.
	Probe bool
	// OwnWrite is the coordinator's usual write and RelayShare the share of its recent writes that needed a
	// relay; CandidateRead is the slower of the two last reads of To.
	OwnWrite      time.Duration
	RelayShare    float64
	CandidateRead time.Duration
}
