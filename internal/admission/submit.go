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
	out := a.begin(now)
	a.seq++
	r := newRequest(now, &q, a.classOf(&q.Request), a.seq)
	if e, known := a.repeated(r); known {
		return append(out, e...)
	}
	if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {
		return append(out, refusal(r, reason, fmt.Sprintf("configuration version %d", a.version())))
	}
	if q.Wait <= 0 {
		return append(out, refusal(r, model.ReasonDeadlineQueued, "the deadline passed before the coordinator was asked"))
	}
	queue := a.site.Queue(r.queue)
	s := a.service(queue.Service)
	if s.waiting > 0 {
		d := make(touched, 1)
		d.add(s)
		out = append(out, a.pump(now, d)...)
	}
	blocked := a.blockedSlots()
	s.survey(now)
	if a.team(r.team).room(blocked) > 0 {
		// Nothing eligible waits any more, so an immediate start passes over nobody.
		if m := s.pick(r); m != nil {
			return append(out, a.grant(now, r, m, blocked, "free slot"))
		}
	}
	if e, decided := a.turnAway(now, r, queue, s, blocked); decided {
		return append(out, e)
	}
	a.enqueue(r, s)
	return out
}

// repeated handles an Acquire whose attempt is already known.
func (a *Admission) repeated(r *request) ([]Effect, bool) {
	if w := a.waiting[r.key]; w != nil {
		if w.holder == r.holder {
			return nil, true
		}
		return []Effect{refusal(r, model.ReasonDuplicateID, fmt.Sprintf("the attempt waits for entry VM %s", w.holder))}, true
	}
	if p := a.permits[r.key]; p != nil {
		if p.Holder == r.holder && p.state == permitOutstanding {
			if reason := a.authorize(r.queue, r.keyID, r.team); reason != model.ReasonNone {
				// The key was withdrawn after the permit was granted. The holder may still
				// use the first answer, so the slot stays occupied like that of a lost permit.
				p.lose(permitLost, r.arrival, p.granted.Add(p.StartWithin))
				if reason == model.ReasonBadKey || reason == model.ReasonNoKey {
					reason = model.ReasonKeyWithdrawn
				}
				return []Effect{refusal(r, reason, fmt.Sprintf("configuration version %d", a.version()))}, true
			}
			p.Token = a.token
			return []Effect{a.granted(p, "repeated request")}, true
		}
		return []Effect{refusal(r, model.ReasonDuplicateID, fmt.Sprintf("the attempt may still run for entry VM %s", p.Holder))}, true
	}
	if f := a.past[r.key]; f != nil && f.rejects {
		return []Effect{refusal(r, f.reason, "the attempt is already over")}, true
	}
	return nil, false
}

// classOf returns the class of a request within its team.
func (a *Admission) classOf(r *model.Request) class {
	if r.Priority == model.PriorityUrgent {
		return classUrgent
	}
	if a.site != nil {
		if q := a.site.Queue(r.Queue); q != nil && q.Deferrable {
			return classDeferrable
		}
	}
	return classNormal
}

func (a *Admission) version() uint64 {
	if a.site == nil {
		return 0
	}
	return a.site.Version
}

// authorize checks a request against the configuration in force. On a queue open to all,
// a request without a key belongs to no team.
func (a *Admission) authorize(queue model.Queue, keyID string, team model.Team) model.Reason {
	if a.site == nil {
		return model.ReasonNoCoordinator
	}
	q := a.site.Queue(queue)
	if q == nil || q.Kind == config.QueueTasks {
		return model.ReasonUnknownQueue
	}
	if q.Open && keyID == "" && team == "" {
		return model.ReasonNone
	}
	if keyID == "" {
		return model.ReasonNoKey
	}
	k := a.site.Key(keyID)
	if k == nil || k.Team != team || a.site.Team(team) == nil {
		return model.ReasonBadKey
	}
	if len(q.Teams) > 0 && !slices.Contains(q.Teams, team) {
		return model.ReasonKeyNotForQueue
	}
	return model.ReasonNone
}

// turnAway decides whether a request that cannot start now is refused or forwarded
// rather than queued.
func (a *Admission) turnAway(now time.Time, r *request, q *config.Queue, s *service, blocked int) (Effect, bool) {
	switch s.outlook(r.avoid) {
	case outlookNone:
		if to, ok := a.forwardTo(now, r, s); ok {
			return forwarding(r, to, "no serving minion here"), true
		}
		return refusal(r, model.ReasonNoMinion, fmt.Sprintf("no minion of service %s is serving in %s", s.name, a.dc)), true
	case outlookAvoided:
		if to, ok := a.forwardTo(now, r, s); ok {
			return forwarding(r, to, "failed on every serving minion here"), true
		}
		return refusal(r, model.ReasonNeverRuns, fmt.Sprintf("failed on every serving minion in %s", a.dc)), true
	}
	free := len(s.open) > 0
	est := a.estimate(r, s, blocked)
	if !free && est.capacity > a.params.ForwardWait {
		if to, ok := a.forwardTo(now, r, s); ok {
			return forwarding(r, to, fmt.Sprintf("estimated wait here %d ms", est.capacity.Milliseconds())), true
		}
	}
	if n := a.queued[r.queue]; n >= q.MaxWaiting {
		if to, ok := a.forwardTo(now, r, s); ok && !free {
			return forwarding(r, to, fmt.Sprintf("%d requests wait here", n)), true
		}
		return refusal(r, model.ReasonQueueFull, fmt.Sprintf("%d requests wait, the bound is %d", n, q.MaxWaiting)), true
	}
	if sure := est.sure(a.params.Certainty); !free && est.measured && sure > r.deadline.Sub(now) {
		return refusal(r, model.ReasonCannotStart, fmt.Sprintf("at least %d ms of work ahead, the deadline is in %d ms",
			sure.Milliseconds(), r.deadline.Sub(now).Milliseconds())), true
	}
	return Effect{}, false
}

// outlook says whether a minion of a service can run a request at all.
type outlook uint8

const (
	outlookSome outlook = iota
	outlookNone
	outlookAvoided
)

// outlook treats a VM whose state is not known yet as one that may serve soon.
func (s *service) outlook(avoid []model.VM) outlook {
	o := outlookNone
	for _, m := range s.minions {
		if m.state != model.VMServing && m.state != "" {
			continue
		}
		if !slices.Contains(avoid, m.vm) {
			return outlookSome
		}
		o = outlookAvoided
	}
	return o
}
