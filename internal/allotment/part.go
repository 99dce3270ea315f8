package allotment

import "boragepulley/internal/model"

// LocalState is the known state of the split of one limit at a data centre's coordinator.
// Only the control goroutine may use it.
//
// The amount of a transfer to another data centre is reserved before its write is sent. It
// stays reserved until the write is known to have failed, or a newer row shows that it took
// effect or no longer can. Other writes are treated alike: while a write may take effect, no
// more is usable than the written row allows, because the limit in force can be raised before
// the reply arrives.
type LocalState struct {
	known   bool
	row     Row
	version uint64
	// reserved is the amount of a transfer in progress, which is not usable; reservedAt is the
	// row version that the transfer's write replaces.
	reserved   int
	reservedAt uint64
	// pending holds the rows of writes whose outcome is not known, by write number.
	pending map[int]Row
	writes  int
}

// Update records a row that was read or written at the given row version. Rows that are not
// newer than the known one are ignored, so that delayed replies have no effect.
func (p *LocalState) Update(r Row, version uint64) {
	if p.known && version <= p.version {
		return
	}
	p.known, p.row, p.version, p.pending = true, r, version, nil
	if version > p.reservedAt {
		p.Release()
	}
}

// Row returns the newest known row and its version, on which the next write is conditional.
// ok is false before any row is known.
func (p *LocalState) Row() (r Row, version uint64, ok bool) { return p.row, p.version, p.known }

// Limit returns the limit to apply while the given configured limit is in force. If a newer
// configuration has already changed the row, the lower of the two limits applies.
func (p *LocalState) Limit(limit int, version uint64) int {
	if p.known && p.row.Version > version {
		return min(limit, p.row.Limit)
	}
	return limit
}

// Usable returns how much dc may use at the given limit; it is 0 before a row is known.
func (p *LocalState) Usable(dc model.DataCentre, limit int) int {
	n := p.row.Usable(dc, limit) - p.reserved
	for _, r := range p.pending {
		n = min(n, r.Usable(dc, limit))
	}
	return max(0, n)
}

// BeginWrite registers a write that replaces the known row by r, before it is sent, and
// returns its number.
func (p *LocalState) BeginWrite(r Row) int {
	if p.pending == nil {
		p.pending = make(map[int]Row)
	}
	p.writes++
	p.pending[p.writes] = r
	return p.writes
}

// AbortWrite forgets a write that certainly has had no effect and can have none.
func (p *LocalState) AbortWrite(write int) { delete(p.pending, write) }

// Reserve makes n unusable before the write of a transfer, which replaces the known row.
func (p *LocalState) Reserve(n int) { p.reserved, p.reservedAt = n, p.version }

// Reserved returns the amount reserved for a transfer whose write may still take effect.
func (p *LocalState) Reserved() int { return p.reserved }

// Unchanged reports whether the known row is still the one from the time of Reserve.
func (p *LocalState) Unchanged() bool { return p.version == p.reservedAt }

// Release makes the reserved amount usable again. The transfer's write must have had no
// effect and must not be able to take effect any more.
func (p *LocalState) Release() { p.reserved, p.reservedAt = 0, 0 }
