package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Options.
const (
	// DefaultConnections shares the 64 connections of a minion among four entry VMs of a data centre.
	DefaultConnections = 16
	// DefaultDialTimeout limits one connection attempt within a data centre, where latency is about 1 ms.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultIdleTimeout is short because a middlebox can lose the state of an idle connection.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultLateAnswer is how long the client waits for an answer beyond the caller's
	// deadline, so that a job that ends slightly late does not get an unknown outcome.
	DefaultLateAnswer = 2 * time.Second
	// DefaultStatusTimeout limits one status request, including a retry.
	DefaultStatusTimeout = time.Second
	// DefaultSilentTimeout is above the 60 s after which a minion closes a connection on which
	// no request arrives (docs/design.md, "Minion and worker contracts").
	DefaultSilentTimeout = 65 * time.Second
	// DefaultMaxAnswer limits the body of an answer, in bytes.
	DefaultMaxAnswer = 16 << 20

	// maxHeader limits the status line and headers of an answer, in bytes.
	maxHeader = 64 << 10
	// maxStatus limits the body of a status response, in bytes.
	maxStatus = 1 << 20
)

// Limit bounds the connections of this entry VM to one minion.
type Limit struct {
	// Open bounds the connections in use, idle and being opened.
	Open int
	// Total bounds these together with the ones that this side has closed and the minion may
	// not have: this entry VM's part of the connections that the minion accepts.
	Total int
}

// Options configure a Client. Zero values select the defaults.
type Options struct {
	// Connections limits the connections to one minion: the number that the minion accepts
	// divided by the number of entry VMs in the data centre, rounded down.
	Connections   int
	DialTimeout   time.Duration
	IdleTimeout   time.Duration
	LateAnswer    time.Duration
	StatusTimeout time.Duration
	// SilentTimeout is how long after the last sign of life of this side a minion has closed a
	// connection. Until then a silent connection counts against Connections.
	SilentTimeout time.Duration
	// MaxAnswer limits the body of an answer, in bytes.
	MaxAnswer int64
	// Dial opens a connection to "IP:port"; nil uses TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Client implements Minions over HTTP/1.1. It manages its connections itself instead of
// using net/http, which silently retries some requests after a stale connection and does
// not report whether any byte was sent. It is safe for concurrent use.
type Client struct {
	opt Options

	mu     sync.Mutex // guards the fields below
	limit  int
	limits map[string]Limit
	pools  map[string]*pool
	closed bool
}

var _ Minions = (*Client)(nil)

// New returns a client. Call Close to release its connections.
func New(o Options) *Client {
	setDefault(&o.Connections, DefaultConnections)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.LateAnswer, DefaultLateAnswer)
	setDefault(&o.StatusTimeout, DefaultStatusTimeout)
	setDefault(&o.SilentTimeout, DefaultSilentTimeout)
	setDefault(&o.MaxAnswer, DefaultMaxAnswer)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Client{opt: o, limit: o.Connections, pools: map[string]*pool{}}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// SetLimits changes the limit on connections per minion: byAddr is keyed by "IP:port",
// and general applies to all other minions. Values below 1 count as 1. Connections above
// a lowered limit are closed when their call ends.
func (c *Client) SetLimits(general int, byAddr map[string]Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit, c.limits = general, byAddr
	for addr, p := range c.pools {
		p.setLimit(c.limitLocked(addr))
	}
}

func (c *Client) limitLocked(addr string) Limit {
	l, ok := c.limits[addr]
	if !ok {
		l = Limit{Open: c.limit, Total: c.limit}
	}
	return Limit{Open: max(l.Open, 1), Total: max(l.Total, 1)}
}

// Close closes all idle connections; connections in use are closed when their call ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.close()
	}
}

func (c *Client) pool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = newPool(addr, c.limitLocked(addr), &c.opt)
		p.closed = c.closed
		c.pools[addr] = p
	}
	return p
}

// Run implements Minions. It waits for the answer until the deadline plus Options.LateAnswer.
func (c *Client) Run(ctx context.Context, call Call) (Answer, error) {
	start := time.Now()
	a, err := c.run(ctx, call)
	observe(runLatency, runOutcomes, time.Since(start), err)
	return a, err
}

func (c *Client) run(ctx context.Context, call Call) (Answer, error) {
	p := c.pool(call.Addr)
	cn, err := acquireUntil(ctx, p, call.Deadline, connOptions{fresh: call.FreshConnection})
	if err != nil {
		return Answer{}, newCallError(ErrNotReached, err)
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			p.put(cn, true)
			return Answer{}, newCallError(ErrNotReached, err)
		}
	}
	cn.busyUntil = call.Deadline
	resp, err := cn.exchange(ctx, exchange{
		head:  runRequestHead(call),
		body:  call.Body,
		until: call.Deadline.Add(c.opt.LateAnswer),
		limit: c.opt.MaxAnswer,
		check: call.LastCheck,
	})
	if err != nil {
		p.put(cn, false)
		return Answer{}, err
	}
	cn.busyUntil = time.Time{}
	a, err := verifyAnswer(call, resp)
	p.put(cn, resp.reusable && !errors.Is(err, ErrAnswerIncomplete))
	return a, err
}

// Status implements Minions. A request that fails on a pooled connection is repeated on
// a new one, because the pooled connection may be dead without having been closed.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	start := time.Now()
	s, reused, err := c.status(ctx, addr, false, c.opt.StatusTimeout/2)
	if err != nil && reused && ctx.Err() == nil {
		s, _, err = c.status(ctx, addr, true, c.opt.StatusTimeout/2)
	}
	observe(statusLatency, statusOutcomes, time.Since(start), err)
	return s, err
}

func (c *Client) status(ctx context.Context, addr string, fresh bool, timeout time.Duration) (s Status, reused bool, err error) {
	until := time.Now().Add(timeout)
	p := c.pool(addr)
	cn, err := acquireUntil(ctx, p, until, connOptions{fresh: fresh, status: true})
	if err != nil {
		return s, false, newCallError(ErrNotReached, err)
	}
	reused = cn.reused
	resp, err := cn.exchange(ctx, exchange{head: statusRequestHead(addr), until: until, limit: maxStatus})
	if err != nil {
		p.put(cn, false)
		return s, reused, err
	}
	p.put(cn, resp.reusable)
	if resp.status != http.StatusOK {
		return s, false, newCallError(ErrAnswerLost, errors.Errorf("status request: HTTP status %d", resp.status))
	}
	if err := json.Unmarshal(resp.body, &s); err != nil {
		return Status{}, false, newCallError(ErrAnswerLost, errors.Wrap(err, "decode status"))
	}
	return s, reused, nil
}

func acquireUntil(ctx context.Context, p *pool, until time.Time, w connOptions) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return p.acquire(ctx, w)
}

// callError combines the class of a failed call, one of the package's errors, with its
// cause; errors.Is matches both.
type callError struct{ class, cause error }

func newCallError(class, cause error) error { return &callError{class, cause} }

func (e *callError) Error() string   { return e.class.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.class, e.cause} }
