package control

import (
	"context"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// API is what the traffic side uses of the control side. All methods are safe
// for concurrent use.
type API interface {
	// Snapshot returns the current control state; it never returns nil.
	Snapshot() *Snapshot
	// Acquire waits for a permit for one attempt of the request until its deadline. It
	// follows a change of coordinator by asking the new one again. A refusal is in the
	// reply; an error means that ctx ended, and then no permit is held.
	Acquire(ctx context.Context, a Attempt) (peer.AcquireReply, error)
	// CheckPermit is called immediately before the first byte is sent to the minion. It
	// returns ReasonNone if the dispatch may start, or why not (stale token, expired
	// permit, withdrawn key).
	CheckPermit(p *model.Permit, keyID string) model.Reason
	// Release gives a permit back. It does not block on the network.
	Release(p *model.Permit, result peer.AttemptResult)
}

// Attempt is one attempt of a request that asks for a permit.
type Attempt struct {
	Request model.Request
	// Number starts at 1.
	Number int
	// Avoid lists minions that already failed this job.
	Avoid []model.VM
	// Hops is 1 if the request was forwarded from another data centre.
	Hops int
}
