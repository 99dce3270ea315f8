package upstream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// Errors of a dispatch. Callers match them with errors.Is.
var (
	// ErrNotReached means that no byte of the request was written to the minion; the job did not run.
	ErrNotReached = errors.New("upstream: minion not reached")
	// ErrNotStarted means that the minion said that it did not start the job.
	ErrNotStarted = errors.New("upstream: minion did not start the job")
	// ErrAnswerLost means that the request may have reached the minion but no answer arrived.
	ErrAnswerLost = errors.New("upstream: answer lost")
	// ErrAnswerNotWhole means that an answer arrived that is short, corrupted or for another attempt.
	ErrAnswerNotWhole = errors.New("upstream: answer not whole")
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
	// FreshConnection forces a new connection (after a silent or broken one).
	FreshConnection bool
	// Deadline is when the caller has no more use for the answer.
	Deadline time.Time
	// BeforeSend, if set, is called after a connection is at hand and immediately before
	// the first byte is written; a non-nil error aborts with ErrNotReached.
	BeforeSend func() error
}

// Answer is a whole answer of a minion.
type Answer struct {
	// Status is the minion's HTTP status.
	Status      int
	ContentType string
	Body        []byte
}

// RunningJob is one job that a minion runs.
type RunningJob struct {
	ID      model.JobID `json:"id"`
	Attempt int         `json:"attempt"`
}

// Status is a minion's own report.
type Status struct {
	Busy  int          `json:"busy"`
	Slots int          `json:"slots"`
	Jobs  []RunningJob `json:"jobs"`
}

// Minions dispatches to minions and asks for their status.
type Minions interface {
	// Run dispatches one call and returns its whole answer, or one of the errors above.
	Run(ctx context.Context, c Call) (Answer, error)
	// Status asks a minion for its running jobs. Error: ErrNotReached or ErrAnswerLost.
	Status(ctx context.Context, addr string) (Status, error)
}
