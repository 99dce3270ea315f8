// Package evacuation holds what a process knows of the operators' requests to evacuate data
// centres. It performs no I/O.
package evacuation

import "boragepulley/internal/model"

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
