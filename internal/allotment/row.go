package allotment

import (
	"fmt"
	"maps"

	"boragepulley/internal/model"
)

// Row is the value of the table rows "allotment/<team>" and "budget/<service>". The
// fractions Held/Base add up to at most 1. The table's row version is kept beside it,
// as the condition of the next write.
type Row struct {
	// Limit is the limit at the configuration version of the last write.
	Limit   int    `json:"limit"`
	Version uint64 `json:"version"`
	// Held is each data centre's part. Only the data centre itself reduces it.
	Held map[model.DataCentre]int `json:"held"`
	// Base is the limit that each part refers to: a data centre may use the fraction
	// held/base of the limit in force there, but never more than held.
	Base map[model.DataCentre]int `json:"base,omitempty"`
}

// initialDivisor is the divisor that gives the part of a limit which is assigned before there is
// any demand. The rest stays unassigned, so that a burst can take it without asking another
// data centre.
const initialDivisor = 4

// InitialRow returns the first row of a limit, in which a quarter of the limit is assigned in
// proportion to the capacity of the data centres. A single data centre holds the whole limit.
func InitialRow(limit int, version uint64, capacity map[model.DataCentre]int) Row {
	r := Row{Limit: limit, Version: version, Held: make(map[model.DataCentre]int, len(capacity)),
		Base: make(map[model.DataCentre]int, len(capacity))}
	total := 0
	for _, n := range capacity {
		total += n
	}
	for dc, n := range capacity {
		r.Base[dc] = limit
		switch {
		case len(capacity) == 1:
			r.Held[dc] = limit
		case total > 0:
			r.Held[dc] = limit / initialDivisor * n / total
		}
	}
	return r
}

// Clone returns a copy that shares nothing with r.
func (r Row) Clone() Row {
	r.Held, r.Base = maps.Clone(r.Held), maps.Clone(r.Base)
	if r.Held == nil {
		r.Held = make(map[model.DataCentre]int)
	}
	if r.Base == nil {
		r.Base = make(map[model.DataCentre]int)
	}
	return r
}

// base returns the base of dc's part, which is the row's limit if none was written.
func (r Row) base(dc model.DataCentre) int {
	if b := r.Base[dc]; b > 0 {
		return b
	}
	return r.Limit
}

// Usable returns how much of its part dc may use while the given limit is in force there.
func (r Row) Usable(dc model.DataCentre, limit int) int {
	n, base := r.Held[dc], r.base(dc)
	if limit >= base {
		return n
	}
	return max(0, n*limit/base)
}

// Unassigned returns how much of the limit no data centre holds. Each part counts as its
// fraction of the limit, rounded up. Otherwise capacity could be assigned twice if a limit is
// raised and lowered again while a part still refers to the lower limit.
func (r Row) Unassigned(limit int) int {
	free := limit
	for dc, n := range r.Held {
		if base := r.base(dc); base > 0 {
			free -= (n*limit + base - 1) / base
		}
	}
	return max(0, free)
}

// Rebase returns the row with dc's part converted to the limit of a configuration version:
// its base becomes that limit, and it holds what dc may use at that limit.
func (r Row) Rebase(dc model.DataCentre, limit int, version uint64) Row {
	out := r.Clone()
	out.Held[dc], out.Base[dc] = r.Usable(dc, limit), limit
	if version >= r.Version {
		out.Limit, out.Version = limit, version
	}
	return out
}

// TakeUnassigned returns the row with dc's part rebased and raised by up to want from the
// unassigned capacity, and by how much it was raised. dc may use the increase only after the
// write has succeeded.
func (r Row) TakeUnassigned(dc model.DataCentre, want, limit int, version uint64) (Row, int) {
	out := r.Rebase(dc, limit, version)
	n := max(0, min(want, out.Unassigned(limit)))
	out.Held[dc] += n
	return out, n
}

// Transfer returns the row with n of from's part moved to another data centre, or made
// unassigned if to is empty. The coordinator of from must have reserved n before the write,
// see LocalState.Reserve. If the receiver's part refers to a lower limit, it receives the
// same fraction of that limit, which is less than n.
func (r Row) Transfer(from, to model.DataCentre, n, limit int, version uint64) Row {
	out := r.Rebase(from, limit, version)
	n = min(n, out.Held[from])
	out.Held[from] -= n
	if to == "" || limit <= 0 {
		return out
	}
	if out.Held[to] == 0 {
		out.Base[to] = limit
	}
	out.Held[to] += n * min(out.base(to), limit) / limit
	return out
}

// Check returns an error if the fractions of the row add up to more than 1 or a part is
// invalid.
func (r Row) Check() error {
	sum := 0.0
	for dc, n := range r.Held {
		base := r.base(dc)
		if n < 0 || (base <= 0 && n > 0) {
			return fmt.Errorf("allotment: invalid part of data centre %s: %d of %d", dc, n, base)
		}
		if base > 0 {
			sum += float64(n) / float64(base)
		}
	}
	const rounding = 1e-9
	if sum > 1+rounding {
		return fmt.Errorf("allotment: parts add up to %.6f of the limit", sum)
	}
	return nil
}
