package control

import (
	"sync"
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// permitKey identifies one attempt of a job.
type permitKey struct {
	job     model.JobID
	attempt int
}

func permitKeyOf(p *model.Permit) permitKey { return permitKey{p.Job, p.Attempt} }

// permitGate decides whether a dispatch may start. It is the part of the control state that
// request handling needs for each dispatch, protected by a mutex: the permits that this
// entry VM holds, and whether its coordinator is known to be alive.
type permitGate struct {
	mu            sync.Mutex
	token         model.Token
	coordinator   model.EntryVM
	isCoordinator bool
	// confirmedAt is the send time of the latest message that the coordinator has
	// answered. It is the send time so that an answer that is read late, after a pause,
	// does not count as recent.
	confirmedAt time.Time
	// authorityUntil is when the authority of this entry VM as coordinator ends.
	authorityUntil time.Time
	// session increases when the coordinator was not confirmed for longer than LeaseTTL.
	// Permits of an earlier session are invalid, because the coordinator may have treated
	// them as finished in the meantime.
	session uint64
	permits map[permitKey]heldPermit
	// changed is closed when the token or the coordinator changes.
	changed chan struct{}
}

type heldPermit struct {
	permit  *model.Permit
	session uint64
}

func (g *permitGate) init() {
	g.permits = map[permitKey]heldPermit{}
	g.changed = make(chan struct{})
}

// follow sets the token and the coordinator.
func (g *permitGate) follow(t model.Token, holder model.EntryVM, self bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.token, g.coordinator, g.isCoordinator = t, holder, self
	g.confirmedAt, g.authorityUntil = time.Time{}, time.Time{}
	close(g.changed)
	g.changed = make(chan struct{})
}

// confirmCoordinator records that the coordinator answered a message that was sent at sent.
func (g *permitGate) confirmCoordinator(t model.Token, from model.EntryVM, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t != g.token || from != g.coordinator || !sent.After(g.confirmedAt) {
		return
	}
	if !g.confirmedAt.IsZero() && sent.Sub(g.confirmedAt) > LeaseTTL {
		g.session++
	}
	g.confirmedAt = sent
}

func (g *permitGate) lastConfirmed() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmedAt
}

// authorize sets the end of the authority of this entry VM as coordinator.
func (g *permitGate) authorize(t model.Token, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t == g.token && g.isCoordinator {
		g.authorityUntil = until
	}
}

// acquireTarget is the coordinator to which an Acquire is sent, and the session at that
// time. changed is closed when the coordinator changes.
type acquireTarget struct {
	coordinator model.EntryVM
	session     uint64
	changed     <-chan struct{}
}

func (g *permitGate) target() acquireTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	return acquireTarget{g.coordinator, g.session, g.changed}
}

// add stores a permit that was acquired in the given session. It returns false if the
// permit is already invalid.
func (g *permitGate) add(p *model.Permit, session uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Token.Less(g.token) || session != g.session {
		return false
	}
	g.permits[permitKeyOf(p)] = heldPermit{p, session}
	return true
}

// remove removes a permit and reports whether it was present.
func (g *permitGate) remove(p *model.Permit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.permits[permitKeyOf(p)]
	if !ok || h.permit != p {
		return false
	}
	delete(g.permits, permitKeyOf(p))
	return true
}

// outstanding returns all permits that this entry VM holds.
func (g *permitGate) outstanding() []model.Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]model.Permit, 0, len(g.permits))
	for _, h := range g.permits {
		out = append(out, *h.permit)
	}
	return out
}

// checkPermit returns the reason why a dispatch with p must not start, or ReasonNone.
func (g *permitGate) checkPermit(p *model.Permit, now time.Time) model.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.permits[permitKeyOf(p)]
	switch {
	case !ok || h.permit != p || h.session != g.session || now.After(p.NotAfter):
		return model.ReasonPermitExpired
	case p.Token.Less(g.token):
		return model.ReasonStaleToken
	case g.isCoordinator && now.After(g.authorityUntil):
		return model.ReasonNoCoordinator
	case !g.isCoordinator && now.Sub(g.confirmedAt) > LeaseTTL:
		return model.ReasonNoCoordinator
	}
	return model.ReasonNone
}

// CheckPermit implements API.
func (c *Control) CheckPermit(p *model.Permit, keyID string) model.Reason {
	now := time.Now()
	r := c.gate.checkPermit(p, now)
	if r == model.ReasonNone {
		r = checkPermitKey(c.Snapshot(), p, keyID, now)
	}
	if r != model.ReasonNone {
		permitOps.Add("check_"+string(r), 1)
	}
	return r
}

// checkPermitKey checks the key against the newest snapshot. It computes the age of the
// evidence instead of using s.Current, because a snapshot that was published before a pause
// is out of date.
func checkPermitKey(s *Snapshot, p *model.Permit, keyID string, now time.Time) model.Reason {
	if s.Site == nil {
		return model.ReasonConfigUnconfirmed
	}
	q := s.Site.Queue(p.Queue)
	if q == nil {
		return model.ReasonUnknownQueue
	}
	if q.Open && keyID == "" && p.Team == "" {
		return model.ReasonNone
	}
	k := s.Site.Key(keyID)
	if k == nil || k.Team != p.Team {
		return model.ReasonKeyWithdrawn
	}
	if s.Site.Isolation.Keys != config.KeysServe && now.Sub(s.EvidenceAt) > s.Site.Isolation.After {
		return model.ReasonConfigUnconfirmed
	}
	return model.ReasonNone
}
