package admission

import (
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Submit decides on one Acquire: it is granted, refused or forwarded at once, or waits
// and is answered by a later effect. A repeated Acquire of the same attempt gets the
// same permit again, or keeps its place in the queue.
func (a *Admission) Submit(now time.Time, q peer.Acquire) []Effect {
	out := a.expire(now)
	a.seq++
	r := newRequest(now, &q, a.classOf(&q.Request), a.seq)
	if e, known := a.handleRepeat(r); known {
		return append(out, e...)
	}
	if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {
		return append(out, refuseEffect(r, reason, fmt.Sprintf("configuration version %d", a.configVersion())))
	}
	if q.Wait <= 0 {
		return append(out, refuseEffect(r, model.ReasonDeadlineQueued, "the deadline passed before the coordinator was asked"))
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
		// Nothing eligible waits any more, so an immediate start passes over nobody.
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

// handleRepeat handles an Acquire whose attempt is already known.
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
				// The key was withdrawn after the permit was granted. The holder may still
				// use the first answer, so the slot stays occupied like that of a lost permit.
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
		return []Effect{refuseEffect(r, f.reason, "the attempt is already over")}, true
	}
	return nil, false
}

// classOf returns the class of a request within its team.
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

// authorize checks a request against the configuration in force. On a queue open to all,
// a request without a key belongs to no team.
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

// refuseOrForward decides whether a request that cannot start now is refused or forwarded
// rather than queued.
func (a *Admission) refuseOrForward(now time.Time, r *request, q *config.Queue, s *service, blocked int) (Effect, bool) {
	switch s.availability(r.avoid) {
	case noneServing:
		if to, ok := a.reserveRemoteSlot(now, r, s); ok {
			return forwardEffect(r, to, "no serving minion here"), true
		}
		return refuseEffect(r, model.ReasonNoMinion, fmt.Sprintf("no minion of service %s is serving in %s", s.name, a.dc)), true
	case allAvoided:
		if to, ok := a.reserveRemoteSlot(now, r, s); ok {
			return forwardEffect(r, to, "failed on every serving minion here"), true
		}
		return refuseEffect(r, model.ReasonFailsOnEveryMinion, fmt.Sprintf("failed on every serving minion in %s", a.dc)), true
	}
	free := len(s.available) > 0
	est := a.estimate(r, s, blocked)
	if !free && est.capacity > a.params.ForwardThreshold {
		if to, ok := a.reserveRemoteSlot(now, r, s); ok {
			return forwardEffect(r, to, fmt.Sprintf("estimated wait here %d ms", est.capacity.Milliseconds())), true
		}
	}
	if n := a.queued[r.queue]; n >= q.MaxWaiting {
		if to, ok := a.reserveRemoteSlot(now, r, s); ok && !free {
			return forwardEffect(r, to, fmt.Sprintf("%d requests wait here", n)), true
		}
		return refuseEffect(r, model.ReasonQueueFull, fmt.Sprintf("%d requests wait, the bound is %d", n, q.MaxWaiting)), true
	}
	if minWait := est.scaledWait(a.params.EstimateFactor); !free && est.measured && minWait > r.deadline.Sub(now) {
		return refuseEffect(r, model.ReasonCannotStart, fmt.Sprintf("at least %d ms of work ahead, the deadline is in %d ms",
			minWait.Milliseconds(), r.deadline.Sub(now).Milliseconds())), true
	}
	return Effect{}, false
}

// availability says whether a minion of a service can run a request at all.
type availability uint8

const (
	someAvailable availability = iota
	noneServing
	allAvoided
)

// availability treats a VM whose state is not known yet as one that may serve soon.
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
