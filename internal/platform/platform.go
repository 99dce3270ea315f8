package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Errors of this package. Callers match them with errors.Is.
var (
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("platform: condition failed")
	// ErrNotFound means that a row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the request certainly had no effect (not sent, or refused).
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect: its answer was lost.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrRateLimited means that the request budget or the circuit breaker rejected the call before sending.
	ErrRateLimited = errors.New("platform: request budget exhausted")
	// ErrThrottled is the cause of an ErrUnavailable for a call that the platform answered with its rate limit.
	ErrThrottled = errors.New("platform: rate limit exceeded")
)

// Priority orders calls that compete for the request budget; lower values go first.
type Priority int

const (
	PriorityLease Priority = iota
	PriorityClaim
	PriorityConfig
	PriorityAllotment
	PriorityAccount
	PriorityBackground
)

// Row is one row of the table. Version increases with each write of the row and
// is 0 for a row that does not exist.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Condition requires that the row with Key has exactly Version at commit
// (0: the row does not exist).
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes one row. A nil Value deletes the row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Txn is applied as a whole if every condition holds, and not at all otherwise. Its rows are
// in one shard, see Shard.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row with the key. A missing row is returned with Version 0 and no error.
	// Errors: ErrUnavailable, ErrRateLimited.
	Get(ctx context.Context, p Priority, key string) (Row, error)
	// Scan returns the rows whose keys start with prefix, in key order, at most limit (0: all).
	// Errors: ErrUnavailable, ErrRateLimited.
	Scan(ctx context.Context, p Priority, prefix string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new version of each put row.
	// Errors: ErrConflict, ErrUnavailable, ErrRateLimited (no effect); ErrUnknownOutcome.
	Commit(ctx context.Context, p Priority, t Txn) (map[string]uint64, error)
}

// ErrHistoryGone means that changes after the requested version are no longer at hand;
// the table has to be read again.
var ErrHistoryGone = errors.New("platform: history no longer at hand")

// Changes are rows that changed after a version, oldest first. A removed row has no value.
type Changes struct {
	Rows []Row
	// Version is where the next call continues.
	Version uint64
}

// Feed is the platform's feed of changed rows.
type Feed interface {
	// ReadAll returns the rows of a table and the version from which Changes continues.
	// Errors: ErrUnavailable, ErrRateLimited.
	ReadAll(ctx context.Context, p Priority, table string) (Changes, error)
	// Changes returns the changes of a table after a version. Without any it waits.
	// Errors: ErrHistoryGone, ErrUnavailable, ErrRateLimited.
	Changes(ctx context.Context, p Priority, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects is the platform's object store. Objects are written whole and never changed.
type Objects interface {
	// Put stores an object; storing the same bytes again is not an error.
	// Errors: ErrUnavailable, ErrRateLimited (no effect); ErrUnknownOutcome (safe to repeat).
	Put(ctx context.Context, p Priority, name string, data []byte) error
	// Get returns an object. Errors: ErrNotFound, ErrUnavailable, ErrRateLimited.
	Get(ctx context.Context, p Priority, name string) ([]byte, error)
	// List returns the names that start with prefix, sorted.
	// Errors: ErrUnavailable, ErrRateLimited.
	List(ctx context.Context, p Priority, prefix string) ([]string, error)
}

// ListedVM is one entry of the platform's list of VMs. The list lags.
type ListedVM struct {
	Name    string    `json:"name"`
	Leaving bool      `json:"leaving"`
	Since   time.Time `json:"since"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// List returns the current list, which may lag the fleet by seconds.
	// Errors: ErrUnavailable, ErrRateLimited.
	List(ctx context.Context) ([]ListedVM, error)
}

// RebootState is how far a reboot has come.
//
// State machine:
//
//	unknown -> running -> done
type RebootState string

const (
	// RebootUnknown: the platform has not taken a reboot with this id.
	RebootUnknown RebootState = "unknown"
	RebootRunning RebootState = "running"
	RebootDone    RebootState = "done"
)

// VMPools reboots VMs of the platform's pools.
type VMPools interface {
	// Reboot orders the reboot of a VM. It is idempotent per id: repeating a call whose
	// answer was lost starts no second reboot.
	// Errors: ErrUnavailable, ErrRateLimited (no effect); ErrUnknownOutcome (safe to repeat);
	// ErrConflict if the id was used for another VM; ErrNotFound for an unknown VM.
	Reboot(ctx context.Context, vm, id string) error
	// RebootStatus returns the state of the reboot with the id.
	// Errors: ErrUnavailable, ErrRateLimited.
	RebootStatus(ctx context.Context, vm, id string) (RebootState, error)
}

// Services groups the platform's services. Another implementation can replace any of them.
type Services struct {
	Table   Table
	Objects Objects
	VMs     VMList
	Pools   VMPools
}
