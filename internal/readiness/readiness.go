// Package readiness decides whether an entry VM asks the load balancer for connections, from how well it
// can store jobs. It performs no I/O.
//
// Load: a data centre that is cut off from the store, whose entry VMs would otherwise refuse each attempt of
// their callers while other data centres could serve them.
package readiness

import "time"

const (
	// failingBound is for how long the VM must have been unable to store jobs before it is cut off. A lost
	// answer and a reset connection are over within it.
	failingBound = 700 * time.Millisecond
	// silentBound is for how long a peer must not have answered to count as unreachable. The process of an
	// entry VM is restarted within it.
	silentBound = time.Second
	// minOut is the least time out of rotation. The load balancer asks once a second, so that it would miss
	// shorter ones.
	minOut = time.Second
	// probesToReturn is how many probes in a row must succeed before a VM returns to rotation.
	probesToReturn = 2
)

// Reason tells why an entry VM is or is not ready.
type Reason string

const (
	// Accepting: the VM can store jobs, or has no evidence that it can not.
	Accepting Reason = "accepting"
	// Unconfigured: the operators' rows have not been read yet.
	Unconfigured Reason = "no_configuration"
	// Stopping: a shutdown has begun.
	Stopping Reason = "stopping"
	// StoreAwayForAll: the VM can not store jobs, and is not known to be cut off from other data centres.
	StoreAwayForAll Reason = "store_away_for_all"
	// CutOff: the VM can not store jobs and reaches no other data centre.
	CutOff Reason = "cut_off"
	// Recovering: the VM was cut off and has not been well for long enough.
	Recovering Reason = "recovering"
)

// Ready reports whether a VM asks for connections.
func (r Reason) Ready() bool { return r == Accepting || r == StoreAwayForAll }

// Evidence is what a VM knows when it decides.
type Evidence struct {
	// Now is a reading of the clock that also timed the previous decision.
	Now time.Duration
	// Configured is set once the operators' rows have been read, Stopping once a shutdown has begun.
	Configured, Stopping bool
	// FailingFor is for how long neither the store nor a peer on this VM's behalf has answered, up to the
	// end of the last failed probe; 0 while one does.
	FailingFor time.Duration
	// SuccessfulProbes counts the VM's own probes in a row that succeeded since the last failure.
	SuccessfulProbes int
	// Peers is how the other entry VMs answered this VM's relayed calls.
	Peers []Peer
}

// Peer is what is known of another entry VM.
type Peer struct {
	// OtherDC is set if it is known to be in another data centre.
	OtherDC bool
	// Answered is set if it has answered its last call.
	Answered bool
	// SilentFor is for how long it has answered no call, up to the end of the last one; 0 if it has answered
	// its last call or was not called.
	SilentFor time.Duration
	// AnsweredLately is set if it has answered a call within the last seconds.
	AnsweredLately bool
	// ReachesStore is set if it recently answered that the store answers it. It does not count as evidence.
	ReachesStore bool
}

// Decision is whether a VM is ready. The zero value is that of a VM without a configuration.
type Decision struct {
	Reason Reason
	// Since is when readiness changed last.
	Since time.Duration
	// Answering, Silent and Reaching count the peers in the evidence of the decision.
	Answering, Silent, Reaching int
}

// Decide returns the decision that follows prev.
func Decide(prev Decision, e Evidence) Decision {
	d := Decision{Reason: reason(prev, e), Since: prev.Since}
	for _, p := range e.Peers {
		if p.Answered {
			d.Answering++
		}
		if p.SilentFor >= silentBound {
			d.Silent++
		}
		if p.ReachesStore {
			d.Reaching++
		}
	}
	if d.Reason.Ready() != prev.Reason.Ready() {
		d.Since = e.Now
	}
	return d
}

func reason(prev Decision, e Evidence) Reason {
	switch {
	case e.Stopping:
		return Stopping
	case !e.Configured:
		return Unconfigured
	case prev.Reason == CutOff || prev.Reason == Recovering:
		switch {
		case e.SuccessfulProbes >= probesToReturn && e.Now-prev.Since >= minOut:
			return Accepting
		case e.SuccessfulProbes > 0:
			return Recovering
		}
		return CutOff
	case e.FailingFor < failingBound:
		return Accepting
	case cutOff(e.Peers):
		return CutOff
	}
	return StoreAwayForAll
}

// cutOff reports whether a peer of another data centre is silent and none has answered lately. A peer that
// answers and reaches the store is itself a path for this VM, so that it is no evidence of a cut. Single
// VMs that are down while the store is away for all are none either, as long as others answer.
func cutOff(peers []Peer) bool {
	silent := false
	for _, p := range peers {
		if p.OtherDC && p.AnsweredLately {
			return false
		}
		silent = silent || p.OtherDC && p.SilentFor >= silentBound
	}
	return silent
}
