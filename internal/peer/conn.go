package peer

import (
	stderrors "errors"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// deadlineConn sets a deadline for each write, so that a peer that has stopped reading
// blocks senders for at most writeTimeout.
type deadlineConn struct{ net.Conn }

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		// Part of a frame may have been written, so the stream cannot be used any more.
		c.Close()
	}
	return n, err
}

// rpcLogger writes the log messages of jsonrpc2 to the daemon's log.
type rpcLogger struct{ log zerolog.Logger }

func (l rpcLogger) Printf(format string, v ...any) { l.log.Debug().Msgf(format, v...) }

func asNetError(err error, target *net.Error) bool { return stderrors.As(err, target) }
