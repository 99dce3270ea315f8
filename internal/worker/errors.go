package worker

import "github.com/pkg/errors"

// Errors of this package. Callers match them with errors.Is.
var (
	// ErrNotReached means that nothing was sent to the worker.
	ErrNotReached = errors.New("worker: not reached")
	// ErrNotStarted means that the worker reported that it did not start the attempt.
	ErrNotStarted = errors.New("worker: attempt not started")
	// ErrAnswerLost means that no usable answer arrived; the worker may have carried out the request.
	ErrAnswerLost = errors.New("worker: answer lost")
	// ErrTaskNotFound means that the worker does not know the task.
	ErrTaskNotFound = errors.New("worker: no such task")
	// ErrAttemptEnded means that the attempt has ended, or that the worker has another attempt
	// of the task; the returned task tells which.
	ErrAttemptEnded = errors.New("worker: attempt has ended")
	// ErrRejected means that the worker rejected the request as malformed.
	ErrRejected = errors.New("worker: request rejected")
)

// CertainlyNotStarted reports whether an error of Client.Start means that the attempt was
// certainly not started.
func CertainlyNotStarted(err error) bool {
	return errors.Is(err, ErrNotReached) || errors.Is(err, ErrNotStarted) || errors.Is(err, ErrRejected)
}

func outcomeName(err error) string {
	for name, e := range map[string]error{
		"not_reached": ErrNotReached, "not_started": ErrNotStarted, "answer_lost": ErrAnswerLost,
		"no_task": ErrTaskNotFound, "ended": ErrAttemptEnded, "rejected": ErrRejected,
	} {
		if errors.Is(err, e) {
			return name
		}
	}
	if err != nil {
		return "other"
	}
	return "ok"
}
