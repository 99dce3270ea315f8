package worker

import "github.com/pkg/errors"

// Errors of this package. Callers match them with errors.Is.
var (
	// ErrNotReached means that nothing was sent to the worker.
	ErrNotReached = errors.New("worker: not reached")
	// ErrNotStarted means that the worker says that it did not start the attempt.
	ErrNotStarted = errors.New("worker: attempt not started")
	// ErrAnswerLost means that the worker may have done what it was asked.
	ErrAnswerLost = errors.New("worker: answer lost")
	// ErrNoTask means that the worker does not know the task.
	ErrNoTask = errors.New("worker: no such task")
	// ErrEnded means that the attempt has ended, or that the worker knows another attempt of
	// the task; the returned task says which.
	ErrEnded = errors.New("worker: attempt has ended")
	// ErrRejected means that the worker called the request malformed.
	ErrRejected = errors.New("worker: request rejected")
)

// CertainlyNotStarted reports whether a failed Start had no effect.
func CertainlyNotStarted(err error) bool {
	return errors.Is(err, ErrNotReached) || errors.Is(err, ErrNotStarted) || errors.Is(err, ErrRejected)
}

func outcomeName(err error) string {
	for name, e := range map[string]error{
		"not_reached": ErrNotReached, "not_started": ErrNotStarted, "answer_lost": ErrAnswerLost,
		"no_task": ErrNoTask, "ended": ErrEnded, "rejected": ErrRejected,
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
