package operator

import (
	"time"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
)

// Status is the status of the site as one entry VM knows it.
type Status struct {
	Entry model.EntryVM    `json:"entry"`
	DC    model.DataCentre `json:"dc"`
	// Time is when the status was taken, by the clock of the entry VM.
	Time          time.Time           `json:"time"`
	Configuration ConfigurationStatus `json:"configuration"`
	Coordinators  []CoordinatorStatus `json:"coordinators"`
	Peers         []PeerStatus        `json:"peers"`
	VMs           []VMStatus          `json:"vms"`
	Waves         []WaveStatus        `json:"waves,omitempty"`
	Teams         []TeamStatus        `json:"teams"`
}

// ConfigurationStatus says how far a configuration version has come.
//
// State machine of a version:
//
//	stored (the head moved) -> in force at n of m entry VMs -> in force everywhere
//
// A version that is superseded before it is in force everywhere stays at n of m.
type ConfigurationStatus struct {
	// Head is the newest version that this entry VM knows; Version 0 means none.
	Head config.Head `json:"head"`
	// Stored is set once the head has moved to the version.
	Stored bool `json:"stored"`
	// InForce of Of entry VMs report the version or a later one.
	InForce int `json:"in_force"`
	Of      int `json:"of"`
	// Everywhere is set if all entry VMs of the site have the version in force.
	Everywhere bool `json:"everywhere"`
	// Missing are the entry VMs that do not.
	Missing []MissingEntry `json:"missing,omitempty"`
	// Confirmed is false while this entry VM cannot confirm that Head is the head (isolation).
	Confirmed bool `json:"confirmed"`
}

// MissingEntry is an entry VM on which a version is not known to be in force.
type MissingEntry struct {
	Name model.EntryVM    `json:"name"`
	DC   model.DataCentre `json:"dc"`
	// Version is the last version that it reported; 0 if none.
	Version uint64 `json:"version"`
	// Since is when the version was stored or the entry VM was last heard, whichever is later.
	Since  time.Time            `json:"since"`
	Status control.MemberStatus `json:"status"`
}

// CoordinatorStatus is the coordinator of one data centre.
type CoordinatorStatus struct {
	DC model.DataCentre `json:"dc"`
	// Entry is empty if no coordinator is known.
	Entry model.EntryVM `json:"entry,omitempty"`
	Token model.Token   `json:"token"`
	// Local is set for a coordinator that took over without the table.
	Local bool `json:"local,omitempty"`
}

// PeerStatus is one entry VM of the site.
type PeerStatus struct {
	Name   model.EntryVM        `json:"name"`
	DC     model.DataCentre     `json:"dc"`
	Status control.MemberStatus `json:"status"`
	// Config is the configuration version that it last reported in force.
	Config    uint64    `json:"config"`
	LastHeard time.Time `json:"last_heard"`
	// Listed is what the platform's list says, which lags: "live", "leaving" or "missing".
	Listed string `json:"listed,omitempty"`
}

// VMStatus is one upstream VM.
type VMStatus struct {
	Name  model.VM         `json:"name"`
	DC    model.DataCentre `json:"dc"`
	Pool  model.Pool       `json:"pool"`
	State model.VMState    `json:"state"`
	// Busy of Slots slots are in use.
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
	// Ejected is set while outlier detection keeps work away from the minion.
	Ejected bool `json:"ejected,omitempty"`
	// Suspect is set while the minion answers no polls.
	Suspect bool `json:"suspect,omitempty"`
	// MoveTo is the pool that the configuration wants the VM in; it moves when it is empty.
	MoveTo model.Pool `json:"move_to,omitempty"`
	// Wave is the wave that the VM was drained for.
	Wave string `json:"wave,omitempty"`
	// Since is when the VM entered its state.
	Since time.Time `json:"since,omitzero"`
	// Held is why the VM waits, and Detail the numbers behind it.
	Held   string `json:"held,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Name string `json:"name"`
	// Done of Total VMs were maintained, Active are under way.
	Done   int `json:"done"`
	Active int `json:"active"`
	Total  int `json:"total"`
	// Paused is why the wave does not proceed; empty if it does.
	Paused string `json:"paused,omitempty"`
}

// TeamStatus is the use of the fleet by one team.
type TeamStatus struct {
	Name    model.Team `json:"name"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	// Limit is the upper limit on Running.
	Limit int `json:"limit"`
	// Share is the configured share and SharePercent its part of all shares.
	Share        int     `json:"share"`
	SharePercent float64 `json:"share_percent"`
	// UsedPercent is the team's part of all running work.
	UsedPercent float64 `json:"used_percent"`
}
