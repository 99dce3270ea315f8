// Package guard keeps a programming error met in one message, request or term from ending the
// process, which serves many others. The error is logged with its stack and counted in expvar
// as "panics"; what was being done counts as failed.
package guard

import (
	"expvar"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/invariant"
)

// ErrPanic means that a programming error ended what was being done.
var ErrPanic = errors.New("guard: unexpected error")

var panics = expvar.NewInt("panics")

// maxStack bounds the logged stack in bytes.
const maxStack = 4 << 10

// Recover runs f and turns a panic into an error that wraps ErrPanic. Violated invariants, which
// panic in tests only, go through.
func Recover(log zerolog.Logger, what string, f func()) (err error) {
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
		log.Error().Str("doing", what).Interface("panic", p).Bytes("stack", stack[:min(len(stack), maxStack)]).Msg("Unexpected error; what was being done has failed.")
		err = errors.Wrapf(ErrPanic, "%s: %v", what, p)
	}()
	f()
	return nil
}
