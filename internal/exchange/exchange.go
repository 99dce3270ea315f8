// Package exchange is an HTTP client for many servers that respond quickly. It writes the
// request and reads the response in the caller's goroutine: net/http's Transport runs two
// goroutines per connection, whose context switches and stacks took a third of a busy
// coordinator's processor time.
//
// Invariants:
//   - ErrNotSent means that no byte of the request was written.
//   - The connections to a server that are open or being opened never exceed the client's limit.
//   - A connection attempt belongs to no request. A request that gives up leaves its attempt to the
//     next one.
//   - A connection that did not deliver a complete response is closed. Idle connections to the same
//     server are kept only if they are known to work: after a request without an answer those that
//     have delivered a response since it was written, after another failure those that the server
//     has not closed.
//   - Connections are reset, not closed: the kernel would go on delivering what was written before
//     a close, even long after the request was given up.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of Send. Callers match them with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("exchange: not sent")
	// ErrLimitReached means that the limit of a request had passed before it was written.
	ErrLimitReached = errors.New("exchange: limit reached before the request was sent")
	// ErrNoAnswer means that the request may have arrived, but no complete response came back.
	ErrNoAnswer = errors.New("exchange: no answer")
)

const (
	// maxResponseBytes limits a response: 500 ended and 500 running tasks take about 100 KB.
	maxResponseBytes = 4 << 20
	// maxHeaderBytes limits the header of a response, and what the encoding adds to its body.
	maxHeaderBytes = 64 << 10
	// sweepInterval is how often idle connections are checked for maxIdleTime.
	sweepInterval = 10 * time.Second
	// maxIdleTime is how long an idle connection is kept. Minions are polled every 2 s.
	maxIdleTime = 20 * time.Second
	// probeAfter is the idle time after which a connection is checked for having been closed by
	// the server before it is reused. The outcome of a request that is written to a closed
	// connection is unknown; a request that was never written can safely be retried.
	probeAfter = 200 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer; a poll that lists ten runs takes
	// 600 bytes.
	readBufferSize = 2048
)

// Client sends requests to any number of servers. It is safe for concurrent use.
type Client struct {
	// connections limits the concurrent requests to one server, and the connections to it; further
	// requests wait.
	connections int

	// dial opens a TCP connection.
	dial func(ctx context.Context, addr string) (net.Conn, error)

	mu        sync.Mutex
	byAddr    map[string]*server // guarded by mu
	lastSweep time.Time          // guarded by mu
}

// NewClient returns a client with at most the given number of connections per server, which are
// opened on demand.
func NewClient(connectionsPerServer int) *Client {
	return &Client{connections: connectionsPerServer, dial: dialTCP, byAddr: map[string]*server{}}
}

// Limit returns how long a request may still be sent and be in progress; 0 or less means that it
// may not be sent.
type Limit func() time.Duration

// Send sends a request to its URL's host, which must be "IP:port", and returns the status and
// body of the response. limit is read immediately before the request is written; nil means no
// limit besides ctx. Errors: ErrNotSent, ErrLimitReached, ErrNoAnswer.
func (c *Client) Send(ctx context.Context, req *http.Request, limit Limit) (status int, body []byte, err error) {
	s := c.enter(req.URL.Host)
	defer s.users.Add(-1)
	return s.send(ctx, req, limit)
}

// enter counts a request as a user of the connection pool of an address, and returns the pool.
func (c *Client) enter(addr string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.poolOf(addr)
	s.users.Add(1)
	return s
}

// poolOf returns the connection pool of an address, creating it if necessary. From time to time it
// also removes pools without users and connections. The caller holds mu.
func (c *Client) poolOf(addr string) *server {
	now := time.Now()
	if now.Sub(c.lastSweep) > sweepInterval {
		c.lastSweep = now
		for key, s := range c.byAddr {
			if s.users.Load() == 0 && !s.sweep(now) {
				delete(c.byAddr, key)
			}
		}
	}
	s := c.byAddr[addr]
	if s == nil {
		s = &server{addr: addr, dial: c.dial, slots: make(chan struct{}, c.connections)}
		c.byAddr[addr] = s
	}
	return s
}

// server is the pool of connections to one server. It is safe for concurrent use.
type server struct {
	addr  string
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	slots chan struct{} // holds one element per request in progress
	// users counts the requests that use the pool or wait for a slot.
	users atomic.Int64

	mu      sync.Mutex
	open    int           // guarded by mu; connections that are idle or in use
	idle    []*connection // guarded by mu; ordered by lastUsed, the most recent at the end
	dials   []*dialing    // guarded by mu; connection attempts in progress, the oldest first
	waiters []waiter      // guarded by mu; requests that wait for a connection, the oldest first
	// probeUsedBefore is when a connection to the server last failed. Connections that were used
	// before are probed however short the time since.
	probeUsedBefore time.Time // guarded by mu
}

type connection struct {
	net.Conn
	// limit bounds what r reads from the connection for one response.
	limit *io.LimitedReader
	r     *bufio.Reader
	// lastUsed is when the last request on the connection completed, or when it was opened.
	lastUsed time.Time
}

// closeUnproven closes the idle connections that have delivered nothing since the given time.
func (s *server) closeUnproven(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = slices.DeleteFunc(s.idle, func(c *connection) bool {
		if !c.lastUsed.Before(since) {
			return false
		}
		s.close(c) // no request is in progress on it
		return true
	})
}

// probeIdle makes takeIdle probe all connections that have delivered nothing since now.
func (s *server) probeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probeUsedBefore = time.Now()
}

// closeExpired closes the connections that have been idle for longer than maxIdleTime. The
// caller holds mu.
func (s *server) closeExpired(now time.Time) {
	for len(s.idle) > 0 && now.Sub(s.idle[0].lastUsed) > maxIdleTime {
		s.close(s.idle[0]) // no request is in progress on it
		s.idle = s.idle[1:]
	}
}

// sweep closes expired connections and reports whether the pool still has connections: idle, in
// use or being opened.
func (s *server) sweep(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeExpired(now)
	return len(s.idle) > 0 || len(s.slots) > 0 || len(s.dials) > 0
}

// takeIdle removes the most recently used idle connection from the pool and returns it, or nil
// if there is none. It closes connections that have expired or are not reusable. The caller
// holds mu.
func (s *server) takeIdle() *connection {
	now := time.Now()
	s.closeExpired(now)
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if !c.lastUsed.Before(s.probeUsedBefore) && now.Sub(c.lastUsed) < probeAfter || c.reusable() {
			return c
		}
		s.close(c)
	}
	return nil
}

// close closes a connection that is neither idle nor in use any more. The caller holds mu.
func (s *server) close(c *connection) {
	_ = c.Close() // nothing can be done about an error
	s.open--
}

// discard closes a connection after a request that used it.
func (s *server) discard(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close(c)
	s.dialAsNeeded()
}

// reusable reports whether the server has neither closed the connection nor sent unexpected data.
func (c *connection) reusable() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	if err := raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errno == syscall.EAGAIN || errno == syscall.EWOULDBLOCK
		return true
	}); err != nil {
		return false
	}
	return nothingToRead
}

// putIdle returns a connection to the pool, or passes it to a request that waits for one.
func (s *server) putIdle(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.handOver(dialed{c: c}) {
		s.idle = append(s.idle, c)
	}
}

// expiredDeadline makes pending reads and writes of a connection fail at once.
var expiredDeadline = time.Unix(1, 0)

func (s *server) send(ctx context.Context, req *http.Request, limit Limit) (status int, body []byte, err error) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return 0, nil, errors.Wrap(ErrNotSent, "all connections in use")
	}
	c, err := s.connect(ctx)
	if err != nil {
		return 0, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	began := time.Now()
	status, body, reuse, err := c.exchange(ctx, req, limit)
	if errors.Is(err, ErrLimitReached) {
		s.putIdle(c) // nothing was written to it
		return 0, nil, err
	}
	if err != nil {
		s.discard(c)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.closeUnproven(began) // they may be as silent as this one
		} else {
			s.probeIdle()
		}
		return 0, nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	if reuse {
		c.lastUsed = time.Now()
		s.putIdle(c)
	} else {
		s.discard(c)
	}
	return status, body, nil
}

// exchange writes a request and reads its response. reuse is set if the connection can be used
// for another request.
func (c *connection) exchange(ctx context.Context, req *http.Request, limit Limit) (status int, body []byte, reuse bool, err error) {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return 0, nil, false, err
	}
	deadline, _ := ctx.Deadline() // the zero time clears the deadline
	if limit != nil {
		remaining := limit()
		if remaining <= 0 {
			return 0, nil, false, errors.WithStack(ErrLimitReached)
		}
		if end := time.Now().Add(remaining); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	if err := c.SetDeadline(deadline); err != nil {
		return 0, nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(expiredDeadline) })
	defer func() { reuse = stop() && reuse }()
	if _, err := c.Write(out.Bytes()); err != nil {
		return 0, nil, false, err
	}
	c.limit.N = maxHeaderBytes
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return 0, nil, false, err
	}
	defer resp.Body.Close()
	if resp.ContentLength > maxResponseBytes {
		return 0, nil, false, errors.Errorf("response too large: %d bytes", resp.ContentLength)
	}
	c.limit.N = maxResponseBytes + maxHeaderBytes
	if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	}
	return resp.StatusCode, body, !resp.Close && c.r.Buffered() == 0 && len(body) < maxResponseBytes, err
}
