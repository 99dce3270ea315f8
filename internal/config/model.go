package config

import (
	"time"

	"boragepulley/internal/model"
)

// File is one applied file.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Document is one immutable configuration version as stored in the object store.
type Document struct {
	Version  uint64    `json:"version"`
	ApplyID  string    `json:"apply_id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	Digest   string    `json:"digest"`
	Files    []File    `json:"files"`
}

// Head is the value of the table row "config/head".
type Head struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	ApplyID  string    `json:"apply_id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

// Site is the checked content of a set of files.
type Site struct {
	Name string
	// Weights steer the policies: what the site values most.
	Weights     Weights
	DataCentres []DataCentre
	Services    []Service
	Pools       []Pool
	VMs         []VM
	Workers     []Worker
	Queues      []Queue
	Teams       []Team
	Keys        []Key
	Budgets     []Budget
	Waves       []Wave
	Isolation   Isolation
}

// Weights are relative weights of the four measures, each from 0 to 100.
type Weights struct {
	BufferCost     int
	RolloutTime    int
	Moves          int
	ShareCloseness int
}

// DataCentre is one data centre and its entry VMs.
type DataCentre struct {
	Name model.DataCentre
	// EntryVMs are the names of the entry VMs of the data centre.
	EntryVMs []model.EntryVM
}

// Service is an upstream service.
type Service struct {
	Name model.Service
	// MaxRun bounds the run time of one request on a minion.
	MaxRun time.Duration
}

// Pool is a pool of VMs. A spare pool has no service.
type Pool struct {
	Name    model.Pool
	Service model.Service
	Spare   bool
	// Min and Max bound the VMs that are in the pool across the fleet while VMs move
	// between pools. Both default to the number of VMs whose home pool it is.
	Min int
	Max int
}

// VM is one upstream VM with its minion.
type VM struct {
	Name model.VM
	Pool model.Pool
	DC   model.DataCentre
	Rack model.Rack
	// Addr is the minion's "IP:port".
	Addr        string
	Slots       int
	Connections int
	// Drain takes the VM out of service: running requests end, new ones go elsewhere.
	Drain bool
}

// Worker is one worker of the platform.
type Worker struct {
	Name         model.Worker
	DC           model.DataCentre
	Rack         model.Rack
	Addr         string
	Cores        int
	MemoryMB     int
	Accelerators int
}

// QueueKind says where a queue's jobs run.
type QueueKind string

const (
	// QueueRequests: requests run on the minions of a service.
	QueueRequests QueueKind = "requests"
	// QueueTasks: jobs run as tasks on workers.
	QueueTasks QueueKind = "tasks"
)

// Queue is a queue that callers post to.
type Queue struct {
	Name    model.Queue
	Kind    QueueKind
	Service model.Service
	// Open queues need no key.
	Open bool
	// Teams that may post; empty means all teams.
	Teams []model.Team
	// MaxWaiting bounds the waiting requests per data centre.
	MaxWaiting int
	// MaxBody bounds the body in bytes.
	MaxBody int64
	// Deadline is the default and MaxDeadline the largest accepted deadline.
	Deadline    time.Duration
	MaxDeadline time.Duration
	// MaxAttempts bounds the attempts of one job, each on another minion or worker.
	MaxAttempts int
	// RetryPercent is the retry budget as a percentage of requests.
	RetryPercent int
	// Deferrable jobs (archive, stock) may wait for others, but finish.
	Deferrable bool
}

// Team is a customer of the site.
type Team struct {
	Name model.Team
	// Share is the relative share when the fleet is full, at least 1.
	Share int
	// Limit is the upper limit on running requests and tasks across the whole fleet.
	Limit int
}

// Key is a team's key; the secret is stored only as a hash.
type Key struct {
	ID   string
	Team model.Team
	// SHA256 is the hash of the secret, 32 bytes.
	SHA256 [32]byte
}

// Budget is an availability budget of a service.
type Budget struct {
	Service model.Service
	// Scope is the failure domain that the budget counts in.
	Scope BudgetScope
	// MaxUnavailable is the number of VMs of the service that may be out of service per scope.
	MaxUnavailable int
}

// BudgetScope is the failure domain of a budget.
type BudgetScope string

const (
	ScopeFleet      BudgetScope = "fleet"
	ScopeDataCentre BudgetScope = "data_centre"
	ScopeRack       BudgetScope = "rack"
)

// Wave is a maintenance wave over pools.
type Wave struct {
	Name  string
	Pools []model.Pool
	// Start is when the wave may begin.
	Start time.Time
	// DrainTimeout bounds how long a VM may drain before the wave reports it.
	DrainTimeout time.Duration
	// Cooldown is how long waves stay paused after two VMs of a rack failed together.
	Cooldown time.Duration
}

// KeyPolicy says what an isolated data centre does with keyed work.
type KeyPolicy string

const (
	KeysRefuse KeyPolicy = "refuse"
	KeysServe  KeyPolicy = "serve"
)

// Isolation is the policy of a data centre that cannot confirm its configuration.
type Isolation struct {
	Keys  KeyPolicy
	After time.Duration
}
