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

func keyOf(p *model.Permit) permitKey { return permitKey{p.Job, p.Attempt} }

// gate is the part of the control state that traffic goroutines need at each dispatch,
// behind one mutex: the permits that this entry VM holds, and whether its coordinator
// is known to be alive.
type gate struct {
	mu          sync.Mutex
	token       model.Token
	coordinator model.EntryVM
	self        bool
	// heardAt is when the latest message was sent that the coordinator answered. An
	// answer that was read late, after a pause, does not move it further.
	heardAt time.Time
	// until is when the authority of this entry VM as coordinator ends.
	until time.Time
	// session increases when the coordinator was not heard for the TTL. Permits of an
	// earlier session are void: the coordinator may have counted them as over meanwhile.
	session uint64
	permits map[permitKey]heldPermit
	// changed is closed when the token or the coordinator changes.
	changed chan struct{}
}

type heldPermit struct {
	permit  *model.Permit
	session uint64
}

func (g *gate) init() {
	g.permits = map[permitKey]heldPermit{}
	g.changed = make(chan struct{})
}

// follow sets the coordinator.
func (g *gate) follow(t model.Token, holder model.EntryVM, self bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.token, g.coordinator, g.self = t, holder, self
	g.heardAt, g.until = time.Time{}, time.Time{}
	close(g.changed)
	g.changed = make(chan struct{})
}

// hear notes that the coordinator answered a message that was sent at the given time.
func (g *gate) hear(t model.Token, from model.EntryVM, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t != g.token || from != g.coordinator || !sent.After(g.heardAt) {
		return
	}
	if !g.heardAt.IsZero() && sent.Sub(g.heardAt) > LeaseTTL {
		g.session++
	}
	g.heardAt = sent
}

func (g *gate) heard() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heardAt
}

// authorize extends the authority of this entry VM as coordinator.
func (g *gate) authorize(t model.Token, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t == g.token && g.self {
		g.until = until
	}
}

// place is where an Acquire goes, as of one moment.
type place struct {
	coordinator model.EntryVM
	session     uint64
	changed     <-chan struct{}
}

func (g *gate) place() place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return place{g.coordinator, g.session, g.changed}
}

// admit adds a permit that answers an Acquire of the given session. It returns false
// if the permit is void already.
func (g *gate) admit(p *model.Permit, session uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Token.Less(g.token) || session != g.session {
		return false
	}
	g.permits[keyOf(p)] = heldPermit{p, session}
	return true
}

// remove takes a permit out; it returns false if it was not there.
func (g *gate) remove(p *model.Permit) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.permits[keyOf(p)]
	if !ok || h.permit != p {
		return false
	}
	delete(g.permits, keyOf(p))
	return true
}

// outstanding returns the permits that this entry VM holds.
func (g *gate) outstanding() []model.Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]model.Permit, 0, len(g.permits))
	for _, h := range g.permits {
		out = append(out, *h.permit)
	}
	return out
}

// check returns why a dispatch with p must not start, or ReasonNone.
func (g *gate) check(p *model.Permit, now time.Time) model.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	h, ok := g.permits[keyOf(p)]
	switch {
	case !ok || h.permit != p || h.session != g.session || now.After(p.NotAfter):
		return model.ReasonPermitExpired
	case p.Token.Less(g.token):
		return model.ReasonStaleToken
	case g.self && now.After(g.until):
		return model.ReasonNoCoordinator
	case !g.self && now.Sub(g.heardAt) > LeaseTTL:
		return model.ReasonNoCoordinator
	}
	return model.ReasonNone
}

// CheckPermit implements API.
func (c *Control) CheckPermit(p *model.Permit, keyID string) model.Reason {
	now := time.Now()
	r := c.gate.check(p, now)
	if r == model.ReasonNone {
		r = checkKey(c.Snapshot(), p, keyID, now)
	}
	if r != model.ReasonNone {
		permitOps.Add("check_"+string(r), 1)
	}
	return r
}

// checkKey checks the key against the newest snapshot. The age of the evidence is
// computed here, because a snapshot that was published before a pause is out of date.
func checkKey(s *Snapshot, p *model.Permit, keyID string, now time.Time) model.Reason {
	if s.Site == nil {
		return model.ReasonIsolated
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
		return model.ReasonIsolated
	}
	return model.ReasonNone
}
