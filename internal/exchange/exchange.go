// Package exchange sends HTTP requests to many servers that each answer fast: a request is
// written and its answer read in the goroutine of the caller. net/http's Transport has two
// goroutines a connection, whose switches and stacks were a third of a busy coordinator's
// processor time.
//
// Invariants:
//   - ErrNotSent means that nothing of the request was written.
//   - A connection on which an answer did not come whole is not used again, nor are the others
//     that lay unused then: they may be silent like it.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of Send. Callers match them with errors.Is.
var (
	// ErrNotSent means that nothing of the request was sent.
	ErrNotSent = errors.New("exchange: not sent")
	// ErrNoAnswer means that the request may have arrived; its answer did not, or not whole.
	ErrNoAnswer = errors.New("exchange: no answer")
)

const (
	// dialTimeout bounds a connection attempt; one way takes about 1 ms on these sites, and
	// a lost opening packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond
	// connectionsPerServer is how many exchanges a server has at a time, a request that it holds
	// back among them; further ones wait, which 18 starts of tasks do for 15 ms. A minion accepts
	// 64 connections from all entry VMs, and an entry VM has 4,100 descriptors for 350 minions.
	connectionsPerServer = 6
	// maxAnswer bounds an answer in bytes: 500 ends and as many runs take about 100 KB.
	maxAnswer = 4 << 20
	// sweepEvery is how often connections are closed that lie unused.
	sweepEvery = 10 * time.Second
	// idleLimit is how long a connection may lie unused. Minions are looked at every 2 s.
	idleLimit = 20 * time.Second
	// probeAfter is how long a connection must have lain unused to be looked at for an end by
	// the server before it is used: a request on an ended one is in doubt, one not sent is not.
	probeAfter = 200 * time.Millisecond
	// connectionBuffer bounds a connection's read buffer in bytes; a look at ten runs is 600.
	connectionBuffer = 2048
)

// Client sends requests to any number of servers. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	byAddr map[string]*server // guarded by mu
	swept  time.Time          // guarded by mu
}

// NewClient returns a client that opens connections with the first request.
func NewClient() *Client { return &Client{byAddr: map[string]*server{}} }

// Send sends a request to its host, an IP and port, and returns the status and body of the
// answer. Errors: ErrNotSent, ErrNoAnswer.
func (c *Client) Send(ctx context.Context, req *http.Request) (status int, body []byte, err error) {
	return c.at(req.URL.Host).send(ctx, req)
}

func (c *Client) at(addr string) *server {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.swept) > sweepEvery {
		c.swept = now
		for a, x := range c.byAddr {
			if !x.sweep(now) {
				delete(c.byAddr, a)
			}
		}
	}
	x := c.byAddr[addr]
	if x == nil {
		x = &server{addr: addr, slots: make(chan struct{}, connectionsPerServer)}
		c.byAddr[addr] = x
	}
	return x
}

// server has the connections to one server. It is safe for concurrent use.
type server struct {
	addr  string
	slots chan struct{}
	mu    sync.Mutex
	idle  []*connection // guarded by mu; the one used last is at the end
}

type connection struct {
	net.Conn
	r *bufio.Reader
	// used is when the last exchange ended.
	used time.Time
}

// closeIdle closes the connections that are not in use.
func (x *server) closeIdle() {
	x.mu.Lock()
	idle := x.idle
	x.idle = nil
	x.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // nothing is under way on it
	}
}

// closeOld closes the connections that lay unused for too long. The caller holds mu.
func (x *server) closeOld(now time.Time) {
	for len(x.idle) > 0 && now.Sub(x.idle[0].used) > idleLimit {
		_ = x.idle[0].Close() // nothing is under way on it
		x.idle = x.idle[1:]
	}
}

// sweep closes connections that lay unused for too long, and reports whether any is left.
func (x *server) sweep(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closeOld(now)
	return len(x.idle) > 0 || len(x.slots) > 0
}

// reuse returns the idle connection that was used last, or nil. It closes those that lay
// unused for too long, or that the server has ended.
func (x *server) reuse() *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.closeOld(now)
	for len(x.idle) > 0 {
		c := x.idle[len(x.idle)-1]
		x.idle = x.idle[:len(x.idle)-1]
		if now.Sub(c.used) < probeAfter || c.quiet() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// quiet reports whether the other side has neither ended the connection nor sent anything.
func (c *connection) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	}); err != nil {
		return false
	}
	return quiet
}

func (x *server) keep(c *connection) {
	c.used = time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.idle = append(x.idle, c)
}

// connect returns a connection that no other exchange uses.
func (x *server) connect(ctx context.Context) (*connection, error) {
	if c := x.reuse(); c != nil {
		return c, nil
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", x.addr)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, r: bufio.NewReaderSize(conn, connectionBuffer)}, nil
}

// past is a deadline that ends what a connection waits for.
var past = time.Unix(1, 0)

func (x *server) send(ctx context.Context, req *http.Request) (status int, body []byte, err error) {
	select {
	case x.slots <- struct{}{}:
		defer func() { <-x.slots }()
	case <-ctx.Done():
		return 0, nil, errors.Wrap(ErrNotSent, "all connections in use")
	}
	c, err := x.connect(ctx)
	if err != nil {
		return 0, nil, errors.Wrap(ErrNotSent, err.Error())
	}
	status, body, again, err := c.exchange(ctx, req)
	if err != nil {
		// Other idle connections may be silent like this one.
		_ = c.Close()
		x.closeIdle()
		return 0, nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	if again {
		x.keep(c)
	} else {
		_ = c.Close()
	}
	return status, body, nil
}

// exchange writes a request and reads its answer; again is set if the connection can be used
// for another one.
func (c *connection) exchange(ctx context.Context, req *http.Request) (status int, body []byte, again bool, err error) {
	deadline, _ := ctx.Deadline() // the zero time sets none
	if err := c.SetDeadline(deadline); err != nil {
		return 0, nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	defer func() { again = stop() && again }()
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return 0, nil, false, err
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return 0, nil, false, err
	}
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return 0, nil, false, err
	}
	defer resp.Body.Close()
	if resp.ContentLength > maxAnswer {
		return 0, nil, false, errors.Errorf("answer of %d bytes", resp.ContentLength)
	}
	if resp.ContentLength >= 0 {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	}
	return resp.StatusCode, body, !resp.Close && c.r.Buffered() == 0 && len(body) < maxAnswer, err
}
