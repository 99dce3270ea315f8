// Package evacuation holds what a process knows of the operators' requests to evacuate data
// centres. It performs no I/O.
package evacuation

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	// Table is the operators' table.
	Table = "op"
	// RowPrefix precedes the name of the data centre in the key of an evacuation's row.
	RowPrefix = Table + "/evacuate/"
)

// State is the set of evacuated data centres as of one version of the operators' table. It is
// immutable. A nil State means that the table has not been read.
type State struct {
	// Version is the store's version up to which the operators' table has been read.
	Version uint64
	DCs     map[model.DataCentre]bool
}

// Evacuated reports whether nothing may be sent to the minions of a data centre.
func (s *State) Evacuated(dc model.DataCentre) bool { return s != nil && s.DCs[dc] }

// Newer returns the state with the higher version, a if both have the same.
func Newer(a, b *State) *State {
	if a == nil || b != nil && b.Version > a.Version {
		return b
	}
	return a
}

// Names returns the evacuated data centres in order.
func (s *State) Names() []model.DataCentre {
	if s == nil || len(s.DCs) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(s.DCs))
}

// VersionOf returns the version of a state, 0 if the table has not been read.
func VersionOf(s *State) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// FromPeer returns the state in a message of another entry VM, or nil if that knows none. Empty
// names are ignored.
func FromPeer(version uint64, names []model.DataCentre) *State {
	if version == 0 {
		return nil
	}
	s := &State{Version: version, DCs: make(map[model.DataCentre]bool, len(names))}
	for _, dc := range names {
		if dc != "" {
			s.DCs[dc] = true
		}
	}
	return s
}

// Fault is what is wrong with a row of an evacuation.
type Fault string

const (
	// EmptyName: the key names no data centre. The row is ignored.
	EmptyName Fault = "empty_name"
	// UnreadableValue: the value is not a JSON object. The row's existence is the request, so the
	// evacuation applies.
	UnreadableValue Fault = "unreadable_value"
)

// BadRow is a row with a fault.
type BadRow struct {
	Key   string
	Fault Fault
}

// Apply returns the state after reading rows of the operators' table up to a version, and the rows
// with faults. With all set, rows are the whole table and replace the state, so that rows that were
// removed while the change history was lost are dropped; an older copy of the table than the state
// is ignored. Otherwise rows are changes, of which those without a value are removals.
func Apply(s *State, rows []platform.Row, version uint64, all bool) (*State, []BadRow) {
	if all && version < VersionOf(s) {
		return s, nil
	}
	next := &State{Version: max(version, VersionOf(s))}
	if s != nil && !all {
		next.DCs = s.DCs
	}
	var bad []BadRow
	cloned := false
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, RowPrefix)
		if !ok {
			continue
		}
		if name == "" {
			bad = append(bad, BadRow{r.Key, EmptyName})
			continue
		}
		if !cloned {
			cloned, next.DCs = true, maps.Clone(next.DCs)
		}
		if r.Value == nil {
			delete(next.DCs, model.DataCentre(name))
			continue
		}
		if !isObject(r.Value) {
			bad = append(bad, BadRow{r.Key, UnreadableValue})
		}
		if next.DCs == nil {
			next.DCs = map[model.DataCentre]bool{}
		}
		next.DCs[model.DataCentre(name)] = true
	}
	return next, bad
}

func isObject(value []byte) bool {
	return json.Valid(value) && bytes.HasPrefix(bytes.TrimLeft(value, " \t\r\n"), []byte("{"))
}

// Diff returns the data centres whose evacuation began or ended between two states, in order.
func Diff(before, after *State) (begun, ended []model.DataCentre) {
	for _, dc := range after.Names() {
		if !before.Evacuated(dc) {
			begun = append(begun, dc)
		}
	}
	for _, dc := range before.Names() {
		if !after.Evacuated(dc) {
			ended = append(ended, dc)
		}
	}
	return begun, ended
}
