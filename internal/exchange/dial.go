package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a connection attempt, and how long a request waits for a connection. TCP
	// retransmits a lost SYN after a second, and as much again is allowed for the answer to it.
	dialTimeout = 2 * time.Second
	// redialAfter is the age of a connection attempt at which another one is made beside it. Its SYN
	// may have been lost; the one-way latency within a site is about 1 ms.
	redialAfter = 400 * time.Millisecond
	// probeTimeout bounds the attempt in the last free place of a server without a connection. It
	// makes room for the next one, so that a server that comes back is reached before the other
	// attempts have ended.
	probeTimeout = 200 * time.Millisecond
)

// dialing is a connection attempt. It belongs to no request: a request that gives up leaves it to
// the next one.
type dialing struct {
	startedAt time.Time
	cancel    context.CancelFunc
	// redundant is set if there were enough attempts without this one, all of them older than
	// redialAfter.
	redundant bool
	// cancelled is set once cancel was called. The attempt may still open a connection.
	cancelled bool
}

// waiter is a request that waits for a connection. It receives a connection or an error, once.
type waiter chan dialed

type dialed struct {
	c   *connection
	err error
}

// dialTCP opens a connection that Close resets.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// connect returns an idle connection, or waits for one that is opened or returned by another
// request.
func (s *server) connect(ctx context.Context) (*connection, error) {
	s.mu.Lock()
	if c := s.takeIdle(); c != nil {
		s.mu.Unlock()
		return c, nil
	}
	w := make(waiter, 1)
	s.waiters = append(s.waiters, w)
	s.dialAsNeeded()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	redial := time.NewTicker(redialAfter)
	defer redial.Stop()
	for {
		select {
		case d := <-w:
			return d.c, d.err
		case <-redial.C:
			s.mu.Lock()
			s.dialAsNeeded()
			s.mu.Unlock()
		case <-ctx.Done():
			if d := s.leave(w); d.c != nil {
				s.putIdle(d.c)
			}
			return nil, errors.Wrapf(ctx.Err(), "waiting for a connection to %s", s.addr)
		}
	}
}

// leave removes a waiter and returns what it has received, if anything.
func (s *server) leave(w waiter) dialed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return dialed{}
	}
	return <-w
}

// dialAsNeeded begins connection attempts until there is one for each waiter that is younger than
// redialAfter, or no further connection is allowed. An old attempt is not given up for a new one: a
// server whose connections take longer to open than redialAfter would not be reached. Only the last
// place is for short attempts while no connection is open. The caller holds mu.
func (s *server) dialAsNeeded() {
	now := time.Now()
	all, recent := 0, 0
	for _, d := range s.dials {
		if d.cancelled {
			continue
		}
		all++
		if now.Sub(d.startedAt) < redialAfter {
			recent++
		}
	}
	for ; len(s.waiters) > 0 && s.open+len(s.dials) < cap(s.slots); recent++ {
		probe := s.open == 0 && len(s.dials) > 0 && len(s.dials) == cap(s.slots)-1
		if recent >= len(s.waiters) && !probe {
			break
		}
		timeout := dialTimeout
		if probe {
			timeout = probeTimeout
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		d := &dialing{startedAt: now, cancel: cancel, redundant: all >= len(s.waiters)}
		s.dials = append(s.dials, d)
		all++
		go func() {
			defer cancel()
			conn, err := s.dial(ctx, s.addr)
			s.dialEnded(d, conn, err, ctx.Err() != nil)
		}()
	}
}

// dialEnded hands a new connection to a waiter, or keeps it for the next request. gaveUp is set if
// the attempt timed out or was cancelled.
func (s *server) dialEnded(d *dialing, conn net.Conn, err error, gaveUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials = slices.DeleteFunc(s.dials, func(x *dialing) bool { return x == d })
	switch {
	case err != nil && gaveUp:
		s.dialAsNeeded()
		return
	case err != nil:
		s.handOver(dialed{err: err})
		return
	}
	s.open++
	limit := &io.LimitedReader{R: conn}
	c := &connection{Conn: conn, limit: limit, r: bufio.NewReaderSize(limit, readBufferSize), lastUsed: time.Now()}
	if !s.handOver(dialed{c: c}) {
		s.idle = append(s.idle, c)
	}
	if len(s.waiters) == 0 {
		s.cancelRedundant()
	}
}

// cancelRedundant ends the attempts that are not needed once the server is reached again. The
// caller holds mu.
func (s *server) cancelRedundant() {
	for _, d := range s.dials {
		if d.redundant || time.Since(d.startedAt) >= redialAfter {
			d.cancelled = true
			d.cancel()
		}
	}
}

// handOver passes a connection or an error to the longest waiting request, and reports whether
// there was one. The caller holds mu.
func (s *server) handOver(d dialed) bool {
	if len(s.waiters) == 0 {
		return false
	}
	w := s.waiters[0]
	s.waiters = s.waiters[1:]
	w <- d
	return true
}
