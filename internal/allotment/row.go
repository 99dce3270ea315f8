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
	// Held is each data centre's part. Only the data centre itself lowers it.
	Held map[model.DataCentre]int `json:"held"`
	// Base is the limit for which each part was last settled: a part is the fraction
	// held/base of whatever limit is in force at its data centre, but never more than held.
	Base map[model.DataCentre]int `json:"base,omitempty"`
}

// initialPart is the fraction of a limit that is assigned before there is any demand; the
// rest stays unassigned, so that a burst finds spare parts without asking a peer.
const initialPart = 4 // a quarter

// InitialRow returns the first row of a limit: a quarter of it by data centre capacity. A
// single data centre holds the whole limit, because nobody else could use the rest.
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
			r.Held[dc] = limit / initialPart * n / total
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

// base returns the base of dc's part; rows written without one count from their limit.
func (r Row) base(dc model.DataCentre) int {
	if b := r.Base[dc]; b > 0 {
		return b
	}
	return r.Limit
}

// Usable is what dc may use of its part while the given limit is in force there.
func (r Row) Usable(dc model.DataCentre, limit int) int {
	n, base := r.Held[dc], r.base(dc)
	if limit >= base {
		return n
	}
	return max(0, n*limit/base)
}

// Unassigned is how much of the limit no data centre holds. Each part counts as its fraction
// of the limit, rounded up, so that a part that was settled for a lower limit is not
// given away twice when the limit is lowered again.
func (r Row) Unassigned(limit int) int {
	free := limit
	for dc, n := range r.Held {
		if base := r.base(dc); base > 0 {
			free -= (n*limit + base - 1) / base
		}
	}
	return max(0, free)
}

// Rebase returns the row with dc's part settled for the limit of a configuration version.
func (r Row) Rebase(dc model.DataCentre, limit int, version uint64) Row {
	out := r.Clone()
	out.Held[dc], out.Base[dc] = r.Usable(dc, limit), limit
	if version >= r.Version {
		out.Limit, out.Version = limit, version
	}
	return out
}

// TakeUnassigned returns the row with dc's part settled and raised by up to want from what nobody
// holds, and by how much it was raised. dc may use it only after the write has succeeded.
func (r Row) TakeUnassigned(dc model.DataCentre, want, limit int, version uint64) (Row, int) {
	out := r.Rebase(dc, limit, version)
	n := max(0, min(want, out.Unassigned(limit)))
	out.Held[dc] += n
	return out, n
}

// Transfer returns the row with n of from's part moved to another data centre, or to nobody
// if to is empty. from must have subtracted n from what it uses before the write, see
// Part.Reserve. A receiver whose part was settled for a lower limit gets the same
// fraction, which is less than n.
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

// Check returns an error unless the fractions of the row add up to at most 1.
func (r Row) Check() error {
	sum := 0.0
	for dc, n := range r.Held {
		base := r.base(dc)
		if n < 0 || (base <= 0 && n > 0) {
			return fmt.Errorf("allotment: %s holds %d of %d", dc, n, base)
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
