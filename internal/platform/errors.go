package platform

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrRejected means that the platform called a request malformed; it had no effect and
// repeating it does not help.
var ErrRejected = errors.New("platform: request rejected")

// ConflictError is the error of a transaction with conditions that did not hold. It
// matches ErrConflict.
type ConflictError struct {
	// Rows are the current rows of the conditions that did not hold (Version 0: missing).
	Rows []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v (%d conditions)", ErrConflict, len(e.Rows))
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// callError is a failed call: one of the errors of this package and its cause.
type callError struct {
	op    string
	kind  error
	cause error
}

func (e *callError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%v: %s", e.kind, e.op)
	}
	return fmt.Sprintf("%v: %s: %v", e.kind, e.op, e.cause)
}

func (e *callError) Unwrap() []error {
	if e.cause == nil {
		return []error{e.kind}
	}
	return []error{e.kind, e.cause}
}
