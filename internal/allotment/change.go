package allotment

import "boragepulley/internal/model"

// Reason says why a part was moved or not.
type Reason string

const (
	ReasonTaken      Reason = "taken_from_unassigned"
	ReasonGiven      Reason = "given_to_data_centre"
	ReasonReturned   Reason = "unused_part_returned"
	ReasonNothing    Reason = "nothing_to_move"
	ReasonInUse      Reason = "part_in_use"
	ReasonLimitMoved Reason = "limit_changed"
	ReasonStale      Reason = "row_newer_than_configuration"
)

// Change is a row to write in place of the one it was computed from.
type Change struct {
	Row Row
	// Moved is the amount taken, given or returned.
	Moved  int
	Reason Reason
}

// Take moves up to want from the unassigned remainder to dc. The taker may use the new
// part only after the write has succeeded.
func Take(r Row, dc model.DataCentre, want int) Change {
	n := min(want, r.Unassigned())
	if n <= 0 {
		return Change{Row: r, Reason: ReasonNothing}
	}
	out := r.clone()
	out.Held[dc] += n
	return Change{Row: out, Moved: n, Reason: ReasonTaken}
}

// Give moves up to want from one data centre to another, but leaves the giver keep. The
// giver reduces its usable part before it writes; see Part.Reserve.
func Give(r Row, from, to model.DataCentre, want, keep int) Change {
	n := min(want, r.Held[from]-keep)
	if n <= 0 || from == to {
		return Change{Row: r, Reason: ReasonInUse}
	}
	out := r.clone()
	out.Held[from] -= n
	out.Held[to] += n
	return Change{Row: out, Moved: n, Reason: ReasonGiven}
}

// Return moves what dc holds above keep to the unassigned remainder. Like a giver, dc
// reduces its usable part before it writes.
func Return(r Row, dc model.DataCentre, keep int) Change {
	n := r.Held[dc] - keep
	if n <= 0 {
		return Change{Row: r, Reason: ReasonNothing}
	}
	out := r.clone()
	out.Held[dc] = keep
	return Change{Row: out, Moved: n, Reason: ReasonReturned}
}

// SetLimit puts the limit of a configuration into the row: a lower limit scales every
// part down, rounding down; a higher one adds to the unassigned remainder. A row that a
// newer configuration has already changed stays as it is. The write must carry the
// condition that config/head is at version cfg; see Part.Certain.
func SetLimit(r Row, limit int, cfg uint64) Change {
	if cfg < r.Config {
		return Change{Row: r, Reason: ReasonStale}
	}
	if limit == r.Limit && cfg == r.Config {
		return Change{Row: r, Reason: ReasonNothing}
	}
	out := r.clone()
	for dc, n := range out.Held {
		out.Held[dc] = Scaled(n, r.Limit, limit)
	}
	out.Limit, out.Config = limit, cfg
	return Change{Row: out, Moved: limit - r.Limit, Reason: ReasonLimitMoved}
}

// Drop removes the parts of data centres that are no longer configured. Their
// coordinators no longer exist or refuse all work.
func Drop(r Row, configured []model.DataCentre) Change {
	keep := make(map[model.DataCentre]bool, len(configured))
	for _, dc := range configured {
		keep[dc] = true
	}
	out, moved := r.clone(), 0
	for _, dc := range r.names() {
		if !keep[dc] {
			moved += out.Held[dc]
			delete(out.Held, dc)
		}
	}
	if moved == 0 {
		return Change{Row: r, Reason: ReasonNothing}
	}
	return Change{Row: out, Moved: moved, Reason: ReasonReturned}
}

// Scaled is what a data centre that holds n of an old limit may use of a new one. A
// raised limit adds nothing until the row has been written.
func Scaled(n, old, limit int) int {
	if limit >= old {
		return n
	}
	if old <= 0 || limit <= 0 {
		return 0
	}
	return n * limit / old
}
