package control

import (
	"maps"

	"boragepulley/internal/allotment"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

// allotRow is the value of the table row "allotment/<team>". Only the coordinator of a
// data centre lowers its held part, so that held is never below what a data centre
// may use, also while it is cut off.
type allotRow struct {
	// Limit is the team's limit at the configuration version of the last write.
	Limit   int                      `json:"limit"`
	Version uint64                   `json:"version"`
	Held    map[model.DataCentre]int `json:"held"`
	// Base is the limit for which each part was last settled; a lower limit scales the
	// part until its data centre has written the scaled one.
	Base map[model.DataCentre]int `json:"base,omitempty"`
}

// firstRow returns the first row of a team. A single data centre holds the whole limit,
// because nobody else could use the unassigned part.
func firstRow(limit int, version uint64, slots map[model.DataCentre]int) allotRow {
	r := allotRow{Limit: limit, Version: version, Held: allotment.Initial(limit, version, slots).Held, Base: map[model.DataCentre]int{}}
	for dc := range slots {
		r.Base[dc] = limit
		if len(slots) == 1 {
			r.Held[dc] = limit
		}
	}
	return r
}

// slotsByDC counts the slots of each data centre of a configuration.
func slotsByDC(s *config.Site) map[model.DataCentre]int {
	out := map[model.DataCentre]int{}
	for _, d := range s.DataCentres {
		out[d.Name] = 0
	}
	for i := range s.VMs {
		out[s.VMs[i].DC] += s.VMs[i].Slots
	}
	return out
}

func (r *allotRow) clone() allotRow {
	return allotRow{Limit: r.Limit, Version: r.Version, Held: maps.Clone(r.Held), Base: maps.Clone(r.Base)}
}

// usable is the part that dc may use at a limit.
func (r *allotRow) usable(dc model.DataCentre, limit int) int {
	n, base := r.Held[dc], r.Base[dc]
	if base == 0 {
		base = r.Limit
	}
	if base > limit {
		n = n * limit / base
	}
	return min(n, limit)
}

// free is what no data centre holds.
func (r *allotRow) free(limit int) int {
	for _, n := range r.Held {
		limit -= n
	}
	return max(0, limit)
}

// settle returns the row with the own part settled at a limit.
func (r *allotRow) settle(dc model.DataCentre, limit int, version uint64) allotRow {
	out := r.clone()
	if out.Held == nil {
		out.Held = map[model.DataCentre]int{}
	}
	if out.Base == nil {
		out.Base = map[model.DataCentre]int{}
	}
	out.Held[dc], out.Base[dc] = r.usable(dc, limit), limit
	if version >= r.Version {
		out.Limit, out.Version = limit, version
	}
	return out
}
