package peer

import (
	stderrors "errors"
	"syscall"

	"github.com/pkg/errors"
)

// Errors of this package. Callers match them with errors.Is.
var (
	// ErrRefused means that nothing listens at the peer's address; the message was not delivered.
	ErrRefused = errors.New("peer: connection refused")
	// ErrNotConnected means that connecting failed for a reason other than ErrRefused; the
	// message was not delivered.
	ErrNotConnected = errors.New("peer: not connected")
	// ErrNoAnswer means that the message may have been delivered but no answer arrived.
	ErrNoAnswer = errors.New("peer: no answer")
	// ErrTooLarge means that the message exceeds MaxMessage; it was not sent.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrMalformed means that a message could not be decoded.
	ErrMalformed = errors.New("peer: malformed message")
	// ErrNotCoordinator means that the message is for the coordinator, which the peer is not.
	ErrNotCoordinator = errors.New("peer: not the coordinator")
	// ErrStaleToken means that the peer has seen a higher coordinator token.
	ErrStaleToken = errors.New("peer: stale coordinator token")
	// ErrBusy means that too many calls of the connection are in progress; the peer did not
	// handle this one.
	ErrBusy = errors.New("peer: too many calls in progress")
	// ErrRemote wraps any other error that the peer's handler returned.
	ErrRemote = errors.New("peer: remote error")
	// ErrClosed means that the client or server was closed.
	ErrClosed = errors.New("peer: closed")
)

// Error codes of JSON-RPC responses, in the range available to applications.
const (
	codeRemote         = 1
	codeNotCoordinator = 2
	codeStaleToken     = 3
	codeBusy           = 4
	codeMalformed      = 5
)

var codes = []struct {
	code int64
	err  error
}{
	{codeNotCoordinator, ErrNotCoordinator},
	{codeStaleToken, ErrStaleToken},
	{codeBusy, ErrBusy},
	{codeMalformed, ErrMalformed},
}

func codeOf(err error) int64 {
	for _, c := range codes {
		if stderrors.Is(err, c.err) {
			return c.code
		}
	}
	return codeRemote
}

func errorOf(code int64, msg string) error {
	for _, c := range codes {
		if c.code == code {
			return c.err
		}
	}
	return errors.WithMessage(ErrRemote, msg)
}

// dialError converts an error of net.Dialer to ErrRefused or ErrNotConnected.
func dialError(err error) error {
	if stderrors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return errors.WithMessage(ErrNotConnected, err.Error())
}
