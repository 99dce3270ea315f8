package admission

import (
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// EffectKind is the kind of an Effect.
type EffectKind string

const (
	// EffectGrant means that the attempt may start with the permit.
	EffectGrant EffectKind = "grant"
	// EffectRefuse means that the attempt has no permit and will not get one.
	EffectRefuse EffectKind = "refuse"
	// EffectForward means that the request is to be sent to another data centre; the attempt
	// has no permit here.
	EffectForward EffectKind = "forward"
)

// Effect is the reply to one Acquire. Each accepted Acquire results in exactly one effect.
type Effect struct {
	Kind EffectKind
	// Holder is the entry VM that sent the Acquire.
	Holder  model.EntryVM
	Job     model.JobID
	Attempt int
	Queue   model.Queue
	Team    model.Team
	// Permit is set for a grant.
	Permit *model.Permit
	// Reason is always set; Detail gives the figures behind the decision.
	Reason model.Reason
	Detail string
	// To is the target data centre of a forward.
	To model.DataCentre
}

// Reply returns the effect as the reply message to the Acquire.
func (e Effect) Reply() peer.AcquireReply {
	switch e.Kind {
	case EffectGrant:
		return peer.AcquireReply{Permit: e.Permit, Detail: e.Detail}
	case EffectForward:
		return peer.AcquireReply{ForwardTo: e.To, Detail: e.Detail}
	}
	return peer.AcquireReply{Refused: e.Reason, Detail: e.Detail}
}

func refuseEffect(r *request, reason model.Reason, detail string) Effect {
	return Effect{Kind: EffectRefuse, Holder: r.holder, Job: r.key.Job, Attempt: r.key.Attempt,
		Queue: r.queue, Team: r.team, Reason: reason, Detail: detail}
}

func forwardEffect(r *request, to model.DataCentre, detail string) Effect {
	return Effect{Kind: EffectForward, Holder: r.holder, Job: r.key.Job, Attempt: r.key.Attempt,
		Queue: r.queue, Team: r.team, Reason: model.ReasonForwarded, Detail: detail, To: to}
}
