package allotment

import "boragepulley/internal/model"

// LocalState is what one data centre's coordinator knows about the split of one limit. It is
// owned by the control goroutine.
//
// What a gift takes away is reserved before its write is sent, and stays reserved until
// the write certainly failed, or a newer row shows its effect or that it can have none.
// The same holds for every other write: while it may take effect, no more is usable than
// the written row allows, because the limit in force can rise before its answer arrives.
type LocalState struct {
	known   bool
	row     Row
	version uint64
	// reserved is not usable; reservedAt is the row version that the gift's write replaces.
	reserved   int
	reservedAt uint64
	// pending holds the rows written in place of the known one whose effect is not known,
	// by the number of the write.
	pending map[int]Row
	writes  int
}

// Update takes a row that was read or written at the given row version. Rows that are not
// newer than the known one are ignored, so that a late answer changes nothing.
func (p *LocalState) Update(r Row, version uint64) {
	if p.known && version <= p.version {
		return
	}
	p.known, p.row, p.version, p.pending = true, r, version, nil
	if version > p.reservedAt {
		p.Release()
	}
}

// Row returns the newest known row and its version, the condition of the next write. ok
// is false before any row is known.
func (p *LocalState) Row() (r Row, version uint64, ok bool) { return p.row, p.version, p.known }

// Limit is the limit that counts while the given one of a configuration version is in
// force: a row that a newer configuration has already changed can only lower it.
func (p *LocalState) Limit(limit int, version uint64) int {
	if p.known && p.row.Version > version {
		return min(limit, p.row.Limit)
	}
	return limit
}

// Usable is what dc may use at a limit; nothing before a row is known.
func (p *LocalState) Usable(dc model.DataCentre, limit int) int {
	n := p.row.Usable(dc, limit) - p.reserved
	for _, r := range p.pending {
		n = min(n, r.Usable(dc, limit))
	}
	return max(0, n)
}

// BeginWrite notes a write of r in place of the known row, before it is sent, and returns its
// number.
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

// Reserve makes n unusable, before the write of a gift that replaces the known row.
func (p *LocalState) Reserve(n int) { p.reserved, p.reservedAt = n, p.version }

// Reserved is what is reserved for a gift whose write may still take effect.
func (p *LocalState) Reserved() int { return p.reserved }

// Unchanged reports whether the row is still the one for which the reserve was made.
func (p *LocalState) Unchanged() bool { return p.version == p.reservedAt }

// Release makes the reserve usable again, once the write certainly has had no effect and
// can have none.
func (p *LocalState) Release() { p.reserved, p.reservedAt = 0, 0 }
