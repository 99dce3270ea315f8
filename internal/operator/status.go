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
	// Time is when the status was read, by the clock of the entry VM.
	Time          time.Time           `json:"time"`
	Configuration ConfigurationStatus `json:"configuration"`
	Coordinators  []CoordinatorStatus `json:"coordinators"`
	Peers         []PeerStatus        `json:"peers"`
	VMs           []VMStatus          `json:"vms"`
	Waves         []WaveStatus        `json:"waves,omitempty"`
	Teams         []TeamStatus        `json:"teams"`
}

// ConfigurationStatus is the rollout state of a configuration version.
//
// State machine of a version:
//
//	stored (the head moved) -> in force at n of m entry VMs -> in force everywhere
//
// A version that is superseded before it is in force everywhere remains at n of m.
type ConfigurationStatus struct {
	// Head is the newest version that this entry VM knows; Version 0 means none.
	Head config.Head `json:"head"`
	// Stored is set once the head has moved to the version.
	Stored bool `json:"stored"`
	// InForce is the number of entry VMs that report this version or a later one; Of is the
	// number of all entry VMs.
	InForce int `json:"in_force"`
	Of      int `json:"of"`
	// Everywhere is set if all entry VMs of the site have the version in force.
	Everywhere bool `json:"everywhere"`
	// Missing lists the entry VMs on which the version is not known to be in force.
	Missing []MissingEntry `json:"missing,omitempty"`
	// Confirmed is false while this entry VM is isolated and cannot verify that Head is the
	// current head.
	Confirmed bool `json:"confirmed"`
}

// MissingEntry is an entry VM on which a version is not known to be in force.
type MissingEntry struct {
	Name model.EntryVM    `json:"name"`
	DC   model.DataCentre `json:"dc"`
	// Version is the last version that it reported; 0 if none.
	Version uint64 `json:"version"`
	// Since is when the version was stored or when the last message arrived from the entry VM,
	// whichever is later.
	Since  time.Time            `json:"since"`
	Status control.MemberStatus `json:"status"`
}

// CoordinatorStatus identifies the coordinator of a data centre.
type CoordinatorStatus struct {
	DC model.DataCentre `json:"dc"`
	// Entry is empty if no coordinator is known.
	Entry model.EntryVM `json:"entry,omitempty"`
	Token model.Token   `json:"token"`
	// Local is set for a coordinator that took over without access to the table.
	Local bool `json:"local,omitempty"`
}

// PeerStatus is the state of an entry VM of the site.
type PeerStatus struct {
	Name   model.EntryVM        `json:"name"`
	DC     model.DataCentre     `json:"dc"`
	Status control.MemberStatus `json:"status"`
	// Config is the configuration version that it last reported as in force.
	Config    uint64    `json:"config"`
	LastHeard time.Time `json:"last_heard"`
	// Listed is the state in the platform's list, which is updated with a delay: "live",
	// "leaving" or "missing".
	Listed string `json:"listed,omitempty"`
}

// VMStatus is the state of an upstream VM.
type VMStatus struct {
	Name  model.VM         `json:"name"`
	DC    model.DataCentre `json:"dc"`
	Pool  model.Pool       `json:"pool"`
	State model.VMState    `json:"state"`
	// Busy is the number of slots in use, out of Slots.
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
	// Ejected is set while outlier detection excludes the minion from new work.
	Ejected bool `json:"ejected,omitempty"`
	// Suspect is set while the minion does not answer polls.
	Suspect bool `json:"suspect,omitempty"`
	// MoveTo is the pool that the configuration assigns the VM to; the VM moves once it is idle.
	MoveTo model.Pool `json:"move_to,omitempty"`
	// Wave is the maintenance wave for which the VM was drained.
	Wave string `json:"wave,omitempty"`
	// Since is when the VM entered its state.
	Since time.Time `json:"since,omitzero"`
	// Held is the reason why the VM waits; Detail gives the figures for it.
	Held   string `json:"held,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// WaveStatus is the progress of a maintenance wave.
type WaveStatus struct {
	Name string `json:"name"`
	// Done of Total VMs have been maintained; Active VMs are in maintenance.
	Done   int `json:"done"`
	Active int `json:"active"`
	Total  int `json:"total"`
	// Paused is the reason why the wave does not proceed; empty if it proceeds.
	Paused string `json:"paused,omitempty"`
}

// TeamStatus is the use of the fleet by one team.
type TeamStatus struct {
	Name    model.Team `json:"name"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	// Limit is the maximum of Running.
	Limit int `json:"limit"`
	// Share is the configured share; SharePercent is its percentage of the sum of all shares.
	Share        int     `json:"share"`
	SharePercent float64 `json:"share_percent"`
	// UsedPercent is the team's percentage of all running jobs.
	UsedPercent float64 `json:"used_percent"`
}
