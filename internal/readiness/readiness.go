// Package readiness decides whether an entry VM asks the load balancer for connections, from how well it
// can store jobs. It performs no I/O.
//
// Load: a data centre that is cut off from the store, whose entry VMs would otherwise refuse each attempt of
// their callers while other data centres could serve them.
package readiness

import "time"

// Reason tells why an entry VM is or is not ready.
type Reason string

const (
	// Accepting: the VM can store jobs, or has no evidence that it can not.
	Accepting Reason = "accepting"
	// Unconfigured: the operators' rows have not been read yet.
	Unconfigured Reason = "no_configuration"
	// Stopping: a shutdown has begun.
	Stopping Reason = "stopping"
	// StoreAwayForAll: no entry VM is known to reach the store, and all answer.
	StoreAwayForAll Reason = "store_away_for_all"
	// CutOff: the VM can not store jobs and others can, or are not reachable either.
	CutOff Reason = "cut_off"
	// Recovering: the VM was cut off and has not been well for long enough.
	Recovering Reason = "recovering"
)

// Evidence is what a VM knows when it decides. Its times are readings of one monotonic clock.
type Evidence struct {
	Now time.Duration
	// Configured is set once the operators' rows have been read, Stopping once a shutdown has begun.
	Configured, Stopping bool
	// FailingSince is since when neither the store nor a peer on this VM's behalf has stored or read
	// anything; 0 while one does.
	FailingSince time.Duration
	// SuccessfulProbes counts the VM's own probes in a row that succeeded since the last failure.
	SuccessfulProbes int
	// Peers is how the other entry VMs answered this VM's relayed calls.
	Peers []Peer
}

// Peer is what is known of another entry VM.
type Peer struct {
	// OtherDC is set if it is in another data centre.
	OtherDC bool
	// SilentSince is since when it has not answered; 0 while it does.
	SilentSince time.Duration
	// ReachesStore is set if it recently answered that the store answers it.
	ReachesStore bool
}
