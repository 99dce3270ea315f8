package model

import (
	"crypto/rand"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// Identifiers have distinct types, so that a team cannot be passed where a queue is expected.
type (
	// DataCentre names a data centre of the configuration.
	DataCentre string
	// EntryVM names an entry VM, unique across all data centres.
	EntryVM string
	// VM names an upstream VM. A minion is the service process on a VM and has its name.
	VM string
	// Worker names a worker.
	Worker string
	// Rack names the failure domain of a VM or worker inside a data centre.
	Rack string
	// Pool names a pool of VMs.
	Pool string
	// Service names an upstream service that minions of one or more pools run.
	Service string
	// Queue names a queue that callers post to.
	Queue string
	// Team names a customer.
	Team string
	// Incarnation is the unique id of one process start.
	Incarnation string
)

// JobID identifies a job across all entry VMs. Its text form is
// "<ULID>-<entry VM>", so that any entry VM can find the one that accepted the job.
type JobID string

// NewJobID returns a new id for a job accepted by e at now.
func NewJobID(now time.Time, e EntryVM) JobID {
	return JobID(ulid.MustNew(ulid.Timestamp(now), rand.Reader).String() + "-" + string(e))
}

// Entry returns the entry VM that accepted the job, or an error for a malformed id.
func (j JobID) Entry() (EntryVM, error) {
	head, tail, ok := strings.Cut(string(j), "-")
	if !ok || tail == "" {
		return "", fmt.Errorf("model: job id %q: want <ULID>-<entry VM>", string(j))
	}
	if _, err := ulid.ParseStrict(head); err != nil {
		return "", fmt.Errorf("model: job id %q: %w", string(j), err)
	}
	return EntryVM(tail), nil
}

// AcceptedAt returns when the job was accepted, to the millisecond, or the zero time for a malformed
// id.
func (j JobID) AcceptedAt() time.Time {
	head, _, _ := strings.Cut(string(j), "-")
	id, err := ulid.ParseStrict(head)
	if err != nil {
		return time.Time{}
	}
	return id.Timestamp()
}

// NewIncarnation returns the id of this process start.
func NewIncarnation() Incarnation {
	return Incarnation(ulid.MustNew(ulid.Now(), rand.Reader).String())
}

// StartedAt returns when the process started, to the millisecond, or the zero time for an id that
// NewIncarnation did not make.
func (i Incarnation) StartedAt() time.Time {
	id, err := ulid.ParseStrict(string(i))
	if err != nil {
		return time.Time{}
	}
	return id.Timestamp()
}

// Token is a coordinator's fencing token. Tokens are ordered by epoch, then succession.
type Token struct {
	// Epoch increases by one with each change of the holder in the table row.
	Epoch uint64 `json:"e"`
	// Succession increases with each takeover inside the data centre while the table is unreachable.
	Succession uint32 `json:"s,omitempty"`
}

// Less reports whether t is older than o.
func (t Token) Less(o Token) bool {
	return t.Epoch < o.Epoch || (t.Epoch == o.Epoch && t.Succession < o.Succession)
}

func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Succession) }
