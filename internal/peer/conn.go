package peer

import (
	stderrors "errors"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// deadlineConn bounds each write, so that a peer that stopped reading cannot block
// senders for longer than writeTimeout.
type deadlineConn struct{ net.Conn }

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		// A frame that was written in part cannot be continued.
		c.Close()
	}
	return n, err
}

// rpcLogger passes the messages of jsonrpc2 to the daemon's log.
type rpcLogger struct{ log zerolog.Logger }

func (l rpcLogger) Printf(format string, v ...any) { l.log.Debug().Msgf(format, v...) }

func asNetError(err error, target *net.Error) bool { return stderrors.As(err, target) }
