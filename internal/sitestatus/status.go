// Package sitestatus is what the entry VMs of a site on the users' platform report about
// themselves: who coordinates the site under which fencing token, what the coordinator knows of
// minions, waves and jobs, and how old that knowledge is. Entry VMs serve it as JSON beside their
// metrics; the operators' tool reads it. All ages and remaining times are in milliseconds.
package sitestatus

import (
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Paths of the reports, on the metrics address of an entry VM.
const (
	// StatusPath answers with an Entry.
	StatusPath = "/status"
	// JobPath followed by a job's id answers with a Job, or 404 if this entry VM does not
	// coordinate the site or does not know the job.
	JobPath = "/jobs/"
)

// Entry is the status of one entry VM.
type Entry struct {
	Name        model.EntryVM     `json:"name"`
	DC          model.DataCentre  `json:"dc"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Ready is set while the load balancer should send connections here, Stopping once a shutdown has
	// begun.
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping,omitempty"`
	// StoreAwayMS is for how long the store has not answered; 0 while it does.
	StoreAwayMS int64 `json:"store_away_ms,omitempty"`
	// Configuration is nil before the first one is in force.
	Configuration *Configuration `json:"configuration,omitempty"`
	// Follows is the coordinator that this entry VM follows; nil if it has heard of none.
	Follows *Coordinator `json:"follows,omitempty"`
	// Term is the term of this entry VM as coordinator; nil if it does not coordinate.
	Term *Term `json:"term,omitempty"`
}

// Configuration is the configuration in force at an entry VM.
type Configuration struct {
	Version uint64 `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// Coordinator is a coordinator as seen by another entry VM.
type Coordinator struct {
	Name           model.EntryVM `json:"name"`
	Epoch          uint64        `json:"epoch"`
	HeartbeatAgeMS int64         `json:"heartbeat_age_ms"`
	Released       bool          `json:"released,omitempty"`
}

// Term is the state of a coordinator. Epoch is its fencing token.
type Term struct {
	Epoch uint64 `json:"epoch"`
	AgeMS int64  `json:"age_ms"`
	// Loaded is set once the stored state has been read.
	Loaded bool `json:"loaded"`
	// LeaseLeftMS is the rest of the lease, OrdersLeftMS for how long orders may be sent: the other
	// entry VMs may have promised not to take the lease for longer. Negative: for so long not any more.
	LeaseLeftMS  int64 `json:"lease_left_ms"`
	OrdersLeftMS int64 `json:"orders_left_ms"`
	// OpenJobs have not ended; UnstoredJobs have progress that is not stored yet.
	OpenJobs     int       `json:"open_jobs"`
	UnstoredJobs int       `json:"unstored_jobs"`
	Services     []Service `json:"services"`
	Minions      []Minion  `json:"minions"`
	Waves        []Wave    `json:"waves"`
}

// Service is the machines and the waiting work of a service.
type Service struct {
	Name model.Service `json:"name"`
	// Minions are the listed minions of the service, Usable those of them that may get new work, and
	// Moving the machines that are being moved to the service.
	Minions int `json:"minions"`
	Usable  int `json:"usable"`
	Moving  int `json:"moving"`
	// WaitingTasks belong to steps whose turn has come, and have not been started.
	WaitingTasks int `json:"waiting_tasks"`
}

// MinionState is what keeps a minion from getting new work, or MinionUsable.
type MinionState string

const (
	MinionUsable   MinionState = "usable"
	MinionSilent   MinionState = "silent"
	MinionLeaving  MinionState = "leaving"
	MinionCordoned MinionState = "cordoned"
	MinionDraining MinionState = "draining"
	// MinionEvacuated is in a data centre that an operator evacuates.
	MinionEvacuated MinionState = "evacuated"
	// MinionUnknown has not been polled yet, is not recorded, or is no longer listed.
	MinionUnknown MinionState = "unknown"
)

// Minion is the coordinator's view of a minion.
type Minion struct {
	ID      jobs.Minion   `json:"id"`
	Service model.Service `json:"service"`
	State   MinionState   `json:"state"`
	Tasks   int           `json:"tasks"`
	// ReplyAgeMS is the age of the minion's last reply, -1 if there was none. RunsLeftMS is for how
	// long its runs may go on without another poll; negative once they have certainly ended.
	ReplyAgeMS int64 `json:"reply_age_ms"`
	RunsLeftMS int64 `json:"runs_left_ms"`
}

// Wave is the progress of a maintenance wave, in machines.
type Wave struct {
	ID       int64 `json:"id"`
	AgeMS    int64 `json:"age_ms"`
	Due      int   `json:"due"`
	Draining int   `json:"draining"`
	Down     int   `json:"down"`
	Done     int   `json:"done"`
}

// Job is the coordinator's view of a job.
type Job struct {
	Job   jobs.ID       `json:"job"`
	Entry model.EntryVM `json:"entry"`
	Epoch uint64        `json:"epoch"`
	State jobs.State    `json:"state"`
	// Stored is set if the store has the job's present state.
	Stored bool        `json:"stored"`
	Queue  model.Queue `json:"queue"`
	Team   model.Team  `json:"team"`
	// KnownMS is for how long this coordinator has known the job.
	KnownMS int64 `json:"known_ms"`
	// Occurrences is how many times the job's steps run, EndedOccurrences how many of them have ended.
	Occurrences      int `json:"occurrences"`
	EndedOccurrences int `json:"ended_occurrences"`
	// Tasks are those of occurrences that are due and have not ended. Where there are many that wait and
	// have never begun, NotListed counts the others of these.
	Tasks     []Task `json:"tasks"`
	NotListed int    `json:"not_listed,omitempty"`
}

// Task is the coordinator's view of a task.
type Task struct {
	Name   string      `json:"name"`
	Phase  string      `json:"phase"`
	Run    int         `json:"run,omitempty"`
	Minion jobs.Minion `json:"minion,omitempty"`
	// MinionState tells whether the minion of the run still answers.
	MinionState MinionState `json:"minion_state,omitempty"`
	// SinceMS is for how long the task has been in this phase.
	SinceMS    int64 `json:"since_ms"`
	FailedRuns int   `json:"failed_runs,omitempty"`
	// Waits tells why a waiting task does not start, or why a run is being stopped.
	Waits string `json:"waits,omitempty"`
}
