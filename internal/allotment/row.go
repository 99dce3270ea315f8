package allotment

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"boragepulley/internal/model"
)

// Row is the value of the table rows "allotment/<team>" and "budget/<service>". The sum
// of Held never exceeds Limit. The table's row version is kept beside it, as the
// condition of the next write.
type Row struct {
	// Limit is the fleet-wide limit that the parts were computed for.
	Limit int `json:"limit"`
	// Config is the configuration version that set the limit.
	Config uint64 `json:"config"`
	// Held is each data centre's part.
	Held map[model.DataCentre]int `json:"held"`
}

// Unassigned is the part of the limit that no data centre holds.
func (r Row) Unassigned() int {
	n := r.Limit
	for _, k := range r.Held {
		n -= k
	}
	return n
}

// Check returns an error unless the row is sound.
func (r Row) Check() error {
	for dc, n := range r.Held {
		if n < 0 {
			return fmt.Errorf("allotment: %s holds %d", dc, n)
		}
	}
	if n := r.Unassigned(); n < 0 {
		return fmt.Errorf("allotment: held parts exceed the limit %d by %d", r.Limit, -n)
	}
	return nil
}

func (r Row) clone() Row {
	r.Held = maps.Clone(r.Held)
	if r.Held == nil {
		r.Held = make(map[model.DataCentre]int)
	}
	return r
}

func (r Row) names() []model.DataCentre {
	return slices.SortedFunc(maps.Keys(r.Held), func(a, b model.DataCentre) int { return cmp.Compare(a, b) })
}

// initialPart is the fraction of a limit that is assigned before there is any demand; the
// rest stays unassigned, so that a burst finds spare parts without asking a peer.
const initialPart = 4 // a quarter

// Initial returns the row for a new limit: a quarter of it by data centre capacity.
func Initial(limit int, cfg uint64, capacity map[model.DataCentre]int) Row {
	r := Row{Limit: limit, Config: cfg, Held: make(map[model.DataCentre]int, len(capacity))}
	total := 0
	for _, n := range capacity {
		total += n
	}
	if total == 0 {
		return r
	}
	for dc, n := range capacity {
		r.Held[dc] = limit / initialPart * n / total
	}
	return r
}
