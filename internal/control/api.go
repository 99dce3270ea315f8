package control

import (
	"context"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// API is the part of the control loop that request handling uses. All methods are safe
// for concurrent use.
type API interface {
	// Snapshot returns the current control state; it never returns nil.
	Snapshot() *Snapshot
	// Acquire waits until the request's deadline for a permit for one attempt. If the
	// coordinator changes, it asks the new one. A refusal is in the reply; an error means
	// that ctx ended and that no permit is held.
	Acquire(ctx context.Context, a Attempt) (peer.AcquireReply, error)
	// CheckPermit must be called immediately before the first byte is sent to the minion.
	// It returns ReasonNone if the dispatch may start, or the reason why not (stale token,
	// expired permit, withdrawn key).
	CheckPermit(p *model.Permit, keyID string) model.Reason
	// Release returns a permit to the coordinator in the background.
	Release(p *model.Permit, result peer.AttemptResult)
}

// Attempt describes the attempt of a request for which a permit is requested.
type Attempt struct {
	Request model.Request
	// Number starts at 1.
	Number int
	// Avoid lists the minions on which this job has already failed.
	Avoid []model.VM
	// Hops is 1 if the request was forwarded by another data centre, otherwise 0.
	Hops int
}
