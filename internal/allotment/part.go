package allotment

import "boragepulley/internal/model"

// limitAt is a limit and the first configuration version that it holds for.
type limitAt struct {
	config uint64
	limit  int
}

// Part is what one data centre's coordinator knows about its part of one limit. It is
// owned by the control goroutine.
//
// State machine of its writes:
//
//	idle -> writing -> idle (written) | refused | unknown (answer lost)
//	refused, unknown -> idle (a newer row is read, or the repeated write is answered)
//
// In state unknown the write is repeated as it was: either it takes effect once, or its
// condition fails (refused) and the row is read again.
type Part struct {
	dc      model.DataCentre
	row     Row
	version uint64
	read    bool
	// limits is the history since the row's configuration: scaling step by step gives the
	// same part, or a smaller one, as any coordinator that changed the row may have left.
	limits []limitAt
	// since is the first version of an unbroken history; zero if there is none.
	since, current uint64
	// asked is the configuration version that was known when the row was asked for.
	asked uint64
	// pending is the write whose effect is not known yet; reserve is what it may take away.
	pending *Change
	reserve int
	// refused is set when the pending write is not to be repeated.
	refused bool
	// pendingAsked is the configuration version that was known when the write began.
	pendingAsked uint64
}

// NewPart returns the part of dc before the row or a configuration is known.
func NewPart(dc model.DataCentre) *Part { return &Part{dc: dc} }

// SetConfig tells the part the limit of a configuration version. Every version that the
// coordinator puts in force is reported, whether or not it changes the limit.
func (p *Part) SetConfig(version uint64, limit int) {
	if version <= p.current {
		return
	}
	if p.current == 0 || version != p.current+1 {
		p.limits, p.since = nil, version
	}
	p.current = version
	if n := len(p.limits); n == 0 || p.limits[n-1].limit != limit {
		p.limits = append(p.limits, limitAt{config: version, limit: limit})
	}
}

// Current returns the configuration version known, to be passed to Read.
func (p *Part) Current() uint64 { return p.current }

// Read takes a row that was read, or written, at the given row version; asked is what
// Current returned when the read was sent. Rows that are older than the one held are
// ignored; the result says whether the row was taken.
func (p *Part) Read(r Row, version, asked uint64) bool {
	if p.read && version < p.version {
		return false
	}
	if p.read && version == p.version {
		p.asked = max(p.asked, asked)
		return false
	}
	p.row, p.version, p.read, p.asked = r, version, true, asked
	// A pending write was conditional on an older version: it is in r or never will be.
	p.pending, p.reserve, p.refused = nil, 0, false
	for len(p.limits) > 1 && p.limits[1].config <= r.Config {
		p.limits = p.limits[1:]
	}
	return true
}

// Row returns the row held and its version, the condition of the next write.
func (p *Part) Row() (Row, uint64, bool) { return p.row, p.version, p.read }

// Certain reports whether every limit is known that another coordinator may have put
// into the row since it was read. If not, that coordinator may have lowered this part for
// a version that was never seen here, and nothing is usable until the row is read again.
//
// SetLimit is only written on the condition that its configuration is the head, so that
// no version older than the one known at the read can reach the row after the read.
func (p *Part) Certain() bool {
	return p.read && p.current > 0 && (p.since <= max(p.asked, p.row.Config+1) || p.row.Config >= p.current)
}

// Usable is the number of running requests and tasks that the data centre may have.
func (p *Part) Usable() int {
	if !p.Certain() {
		return 0
	}
	n, limit := p.row.Held[p.dc], p.row.Limit
	for _, l := range p.limits {
		if l.config > p.row.Config {
			n, limit = Scaled(n, limit, l.limit), l.limit
		}
	}
	return max(0, n-p.reserve)
}

// Behind reports whether the row must be brought to the current limit with SetLimit.
func (p *Part) Behind() bool {
	return p.Certain() && p.current > p.row.Config && p.limits[len(p.limits)-1].limit != p.row.Limit
}

// Begin registers a write of c, conditional on the row version held, before it is sent,
// and reports whether it may be sent. What it takes from this data centre is not usable
// from now on.
func (p *Part) Begin(c Change) bool {
	if !p.read || p.pending != nil {
		return false
	}
	p.pending, p.pendingAsked = &c, p.current
	p.reserve = max(0, p.row.Held[p.dc]-c.Row.Held[p.dc])
	return true
}

// Pending returns the write whose effect is not known, to be repeated.
func (p *Part) Pending() (Change, bool) {
	if p.pending == nil || p.refused {
		return Change{}, false
	}
	return *p.pending, true
}

// Written takes the answer that the write that was conditional on the given row version
// took effect and made the row's version newer. Answers to earlier writes are ignored.
func (p *Part) Written(condition, newer uint64) {
	if p.pending != nil && condition == p.version {
		p.Read(p.pending.Row, newer, p.pendingAsked)
	}
}

// Refused takes the answer that the condition did not hold. The write may still have
// taken effect if it was sent more than once, so the reserve stays, and nothing is
// written, until the row is read.
func (p *Part) Refused(condition uint64) {
	if p.pending != nil && condition == p.version {
		p.refused = true
	}
}
