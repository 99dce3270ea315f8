// Package guard recovers from panics in the handling of one message, request or term, so that the
// process continues to serve others. A panic is logged with its stack and counted in expvar as
// "panics"; the operation in which it occurred fails.
package guard

import (
	"expvar"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/invariant"
)

// ErrPanic means that an operation failed because it panicked.
var ErrPanic = errors.New("guard: panic")

var panics = expvar.NewInt("panics")

// maxStack is the most bytes of the stack that are logged.
const maxStack = 4 << 10

// Recover runs f and returns a panic as an error that wraps ErrPanic. The operation is part of the
// error and the log line. Panics of violated invariants, which occur only in tests and in builds with
// the tag invariantfatal, are passed on.
func Recover(log zerolog.Logger, operation string, f func()) (err error) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if v, ok := p.(invariant.Violation); ok {
			panic(v)
		}
		panics.Add(1)
		stack := debug.Stack()
		log.Error().Str("doing", operation).Interface("panic", p).Bytes("stack", stack[:min(len(stack), maxStack)]).Msg("Unexpected error; what was being done has failed.")
		err = errors.Wrapf(ErrPanic, "%s: %v", operation, p)
	}()
	f()
	return nil
}
