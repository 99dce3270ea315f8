package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// Errors of a dispatch. Callers match them with errors.Is.
var (
	// ErrNotReached means that no byte of the request was sent to the minion; the job did not run.
	ErrNotReached = errors.New("upstream: minion not reached")
	// ErrNotStarted means that the minion reported that it did not start the job.
	ErrNotStarted = errors.New("upstream: minion did not start the job")
	// ErrAnswerLost means that the request may have reached the minion but no answer arrived.
	ErrAnswerLost = errors.New("upstream: answer lost")
	// ErrAnswerIncomplete means that an answer arrived that is truncated, corrupted or for another attempt.
	ErrAnswerIncomplete = errors.New("upstream: answer incomplete or invalid")
)

// Call is one dispatch of a job to a minion.
type Call struct {
	Job     model.JobID
	Attempt int
	Queue   model.Queue
	Minion  model.VM
	// Addr is the minion's "IP:port".
	Addr        string
	ContentType string
	Body        []byte
	// FreshConnection forces a new connection, for a retry after an unresponsive or broken one.
	FreshConnection bool
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// BeforeSend, if set, is called once a connection is available; if it returns an error,
	// the call fails with ErrNotReached.
	BeforeSend func() error
	// LastCheck, if set, is called after BeforeSend, as the last step before the first byte is
	// written; if it returns an error, the call fails with ErrNotReached. It must be quick: what
	// it has checked may change until the write.
	LastCheck func() error
}

// Answer is a complete, verified answer of a minion.
type Answer struct {
	// Status is the minion's HTTP status.
	Status      int
	ContentType string
	Body        []byte
}

// RunningJob identifies one attempt that is running on a minion.
type RunningJob struct {
	ID      model.JobID `json:"id"`
	Attempt int         `json:"attempt"`
}

// Status is what a minion reports about itself.
type Status struct {
	Busy  int          `json:"busy"`
	Slots int          `json:"slots"`
	Jobs  []RunningJob `json:"jobs"`
}

// Minions dispatches jobs to minions and queries their status.
type Minions interface {
	// Run dispatches one call and returns its complete answer, or one of the errors above.
	Run(ctx context.Context, c Call) (Answer, error)
	// Status returns a minion's running jobs. Errors: ErrNotReached, ErrAnswerLost,
	// ErrAnswerIncomplete.
	Status(ctx context.Context, addr string) (Status, error)
}
