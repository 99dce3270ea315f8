package admission

import (
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Submit processes one Acquire: it is granted, refused or forwarded at once, or queued and
// answered by a later effect. A repeated Acquire of the same attempt gets the same permit
// again or keeps its place in the queue.
func (a *Admission) Submit(now time.Time, acq peer.Acquire) []Effect {
	out := a.expire(now)
	a.seq++
	r := newRequest(now, &acq, a.classOf(&acq.Request), a.seq)
	if e, known := a.handleRepeat(r); known {
		return append(out, e...)
	}
	if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {
		return append(out, refuseEffect(r, reason, fmt.Sprintf("configuration version %d", a.configVersion())))
	}
	if acq.Wait <= 0 {
		return append(out, refuseEffect(r, model.ReasonDeadlineQueued, "the deadline passed before the request reached the coordinator"))
	}
	queue := a.config.Queue(r.queue)
	s := a.service(queue.Service)
	if s.waiting > 0 {
		d := make(serviceSet, 1)
		d.add(s)
		out = append(out, a.grantEligible(now, d)...)
	}
	blocked := a.blockedSlots()
	s.scanMinions(now)
	if a.team(r.team).headroom(blocked) > 0 {
		// No eligible request waits any more, so this one does not overtake any.
		if m := s.pickMinion(r); m != nil {
			return append(out, a.grant(now, r, m, blocked, "free slot"))
		}
	}
	if e, decided := a.refuseOrForward(now, r, queue, s, blocked); decided {
		return append(out, e)
	}
	a.enqueue(r, s)
	return out
}

// handleRepeat handles an Acquire for an attempt that is already known.
func (a *Admission) handleRepeat(r *request) ([]Effect, bool) {
	if w := a.waiting[r.key]; w != nil {
		if w.holder == r.holder {
			return nil, true
		}
		return []Effect{refuseEffect(r, model.ReasonDuplicateID, fmt.Sprintf("the attempt waits for entry VM %s", w.holder))}, true
	}
	if p := a.permits[r.key]; p != nil {
		if p.Holder == r.holder && p.state == permitOutstanding {
			if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {
				// The key was withdrawn after the permit was granted. The holder may still use
				// the permit from the first reply, so the slot stays occupied as for a lost permit.
				p.awaitStatus(permitLost, r.arrival, p.granted.Add(p.StartWithin))
				if reason == model.ReasonKeyUnknown || reason == model.ReasonKeyMissing {
					reason = model.ReasonKeyWithdrawn
				}
				return []Effect{refuseEffect(r, reason, fmt.Sprintf("configuration version %d", a.configVersion()))}, true
			}
			p.Token = a.token
			return []Effect{a.grantEffect(p, "repeated request")}, true
		}
		return []Effect{refuseEffect(r, model.ReasonDuplicateID, fmt.Sprintf("the attempt may still run for entry VM %s", p.Holder))}, true
	}
	if f := a.finished[r.key]; f != nil && f.rejectRepeat {
		return []Effect{refuseEffect(r, f.reason, "the attempt has already ended")}, true
	}
	return nil, false
}

// classOf returns the scheduling class of a request.
func (a *Admission) classOf(r *model.Request) class {
	if r.Priority == model.PriorityUrgent {
		return classUrgent
	}
	if a.config != nil {
		if q := a.config.Queue(r.Queue); q != nil && q.Deferrable {
			return classDeferrable
		}
	}
	return classNormal
}

func (a *Admission) configVersion() uint64 {
	if a.config == nil {
		return 0
	}
	return a.config.Version
}

// authorize checks the key of a request against the configuration in force and returns the
// reason for a refusal, or ReasonNone. On an open queue, a request without a key belongs to
// no team.
func (a *Admission) authorize(queue model.Queue, keyID string, team model.Team) model.Reason {
	if a.config == nil {
		return model.ReasonNoCoordinator
	}
	q := a.config.Queue(queue)
	if q == nil || q.Kind == config.QueueTasks {
		return model.ReasonUnknownQueue
	}
	if q.Open && keyID == "" && team == "" {
		return model.ReasonNone
	}
	if keyID == "" {
		return model.ReasonKeyMissing
	}
	k := a.config.Key(keyID)
	if k == nil || k.Team != team || a.config.Team(team) == nil {
		return model.ReasonKeyUnknown
	}
	if len(q.Teams) > 0 && !slices.Contains(q.Teams, team) {
		return model.ReasonKeyNotForQueue
	}
	return model.ReasonNone
}

// refuseOrForward decides whether a request that cannot start now is refused or forwarded.
// The second result is false if the request is to be queued.
func (a *Admission) refuseOrForward(now time.Time, r *request, q *config.Queue, s *service, blocked int) (Effect, bool) {
	switch s.availability(r.avoid) {
	case noneServing:
		if to, ok := a.reserveRemoteSlot(now, r, s); ok {
			return forwardEffect(r, to, "no serving minion in the local data centre"), true
		}
		return refuseEffect(r, model.ReasonNoMinion, fmt.Sprintf("no minion of service %s is serving in %s", s.name, a.dc)), true
	case allAvoided:
		if to, ok := a.reserveRemoteSlot(now, r, s); ok {
			return forwardEffect(r, to, "failed on every serving minion in the local data centre"), true
		}
		return refuseEffect(r, model.ReasonFailsOnEveryMinion, fmt.Sprintf("failed on every serving minion in %s", a.dc)), true
	}
	free := len(s.available) > 0
	est := a.estimate(r, s, blocked)
	if !free && est.capacity > a.params.ForwardThreshold {
		if to, ok := a.reserveRemoteSlot(now, r, s); ok {
			return forwardEffect(r, to, fmt.Sprintf("estimated wait in the local data centre: %d ms", est.capacity.Milliseconds())), true
		}
	}
	if n := a.queued[r.queue]; n >= q.MaxWaiting {
		if to, ok := a.reserveRemoteSlot(now, r, s); ok && !free {
			return forwardEffect(r, to, fmt.Sprintf("%d requests wait in the local data centre", n)), true
		}
		return refuseEffect(r, model.ReasonQueueFull, fmt.Sprintf("%d requests wait, the maximum is %d", n, q.MaxWaiting)), true
	}
	if minWait := est.scaledWait(a.params.EstimateFactor); !free && est.measured && minWait > r.deadline.Sub(now) {
		return refuseEffect(r, model.ReasonCannotStart, fmt.Sprintf("at least %d ms of work ahead, the deadline is in %d ms",
			minWait.Milliseconds(), r.deadline.Sub(now).Milliseconds())), true
	}
	return Effect{}, false
}

// availability is whether any minion of a service can run a request.
type availability uint8

const (
	someAvailable availability = iota
	noneServing
	allAvoided
)

// availability returns whether a minion of s outside avoid serves. A VM whose state is not
// known yet counts as serving.
func (s *service) availability(avoid []model.VM) availability {
	o := noneServing
	for _, m := range s.minions {
		if m.state != model.VMServing && m.state != "" {
			continue
		}
		if !slices.Contains(avoid, m.vm) {
			return someAvailable
		}
		o = allAvoided
	}
	return o
}
