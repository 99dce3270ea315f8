package ingress

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"boragepulley/internal/logging"
)

const (
	// DefaultBodyTimeout is how long a client may take for a body.
	DefaultBodyTimeout = 10 * time.Second
	// writeTimeout is how long a client may take to read a part of an answer.
	writeTimeout = 30 * time.Second
	// roomTimeout is how long a request waits for memory that other requests in progress hold.
	roomTimeout = time.Second
	// headerFactor is the memory of a header, as a multiple of its bytes: the text, and the map of fields.
	headerFactor = 2
	// acceptPause is the time until connections are accepted again after a lack of descriptors.
	acceptPause = 20 * time.Millisecond
	// stallInterval is how often a message that waits for memory looks for clients that have stalled meanwhile.
	stallInterval = 100 * time.Millisecond
	// drainInterval is how often a shutdown looks for stalled clients.
	drainInterval = 100 * time.Millisecond
)

// Guard bounds the clients of one listener. It is safe for concurrent use.
type Guard struct {
	name        string
	limits      Limits
	bodyTimeout time.Duration
	log         zerolog.Logger
	lines       *logging.Limiter
	began       time.Time
	// small and large are the memory for processing bodies of up to smallBody bytes and of more.
	small, large         *semaphore.Weighted
	smallRoom, largeRoom int64

	mu    sync.Mutex
	book  *Book         // guarded by mu
	conns map[ID]*conn  // guarded by mu
	freed chan struct{} // guarded by mu; closed when memory is released, nil if no request waits for it
}

// NewGuard returns a guard. The name stands in log lines and metrics.
func NewGuard(name string, l Limits, bodyTimeout time.Duration, log zerolog.Logger) *Guard {
	g := newGuard(name, l, bodyTimeout, log, logging.NewLimiter(1, 20))
	publish(name, g)
	return g
}

// Unbounded returns a guard without bounds, for handlers without a listener.
func Unbounded() *Guard {
	l := Limits{Connections: math.MaxInt, Bytes: math.MaxInt64, ProcessingBytes: math.MaxInt64}
	return newGuard("unbounded", l, DefaultBodyTimeout, zerolog.Nop(), logging.NewLimiter(0, 0))
}

func newGuard(name string, l Limits, bodyTimeout time.Duration, log zerolog.Logger, lines *logging.Limiter) *Guard {
	small := int64(float64(l.ProcessingBytes) * smallShare)
	large := l.ProcessingBytes - small
	return &Guard{name: name, limits: l, bodyTimeout: bodyTimeout, log: log, lines: lines, began: time.Now(),
		small: semaphore.NewWeighted(small), large: semaphore.NewWeighted(large), smallRoom: small, largeRoom: large, book: NewBook(l), conns: map[ID]*conn{}}
}

// now is monotonic.
func (g *Guard) now() time.Duration { return time.Since(g.began) }

// MaxBody returns the largest body that the budget can hold, at most limit.
func (g *Guard) MaxBody(limit int64) int64 {
	return min(limit, g.limits.Bytes, g.largeRoom)
}

// Listen bounds the connections of a listener.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{l, g, false} }

// ListenOnly is Listen for a protocol other than HTTP: only the number of connections is bounded.
func (g *Guard) ListenOnly(l net.Listener) net.Listener { return &listener{l, g, true} }

type listener struct {
	net.Listener
	guard *Guard
	// connectionsOnly leaves what clients send out of account.
	connectionsOnly bool
}

// Accept returns the next connection that is not refused. A lack of descriptors or kernel memory is not
// returned: it passes, and a server that takes it for the end of the listener would end the process.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case passes(err):
			count(l.guard.name, "accept_failed")
			l.guard.line("Caller: connection not accepted.", nil, err)
			time.Sleep(acceptPause)
			continue
		case err != nil:
			return nil, err
		}
		if c := l.guard.open(nc, l.connectionsOnly); c != nil {
			return c, nil
		}
	}
}

// passes reports whether an error of accepting a connection passes.
func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// open registers a connection; nil if it was refused.
func (g *Guard) open(nc net.Conn, connectionsOnly bool) *conn {
	g.mu.Lock()
	id, victim, ok := g.book.Open(g.now())
	if !ok {
		g.mu.Unlock()
		count(g.name, "connections_refused")
		g.line("Caller: connection refused, all others are being served.", nil, nil)
		_ = nc.Close()
		return nil
	}
	c := &conn{Conn: nc, guard: g, id: id, deadlines: connectionsOnly, inRequest: connectionsOnly}
	g.conns[id] = c
	var closing []*conn
	if victim != nil {
		closing = g.take([]Victim{*victim})
	}
	g.mu.Unlock()
	g.close(closing)
	return c
}

// take removes victims that the book has evicted. The caller holds mu.
func (g *Guard) take(victims []Victim) []*conn {
	var out []*conn
	for _, v := range victims {
		if c := g.conns[v.ID]; c != nil {
			delete(g.conns, v.ID)
			c.victim = &v
			out = append(out, c)
		}
	}
	return out
}

// wake lets requests that wait for memory try again. The caller holds mu.
func (g *Guard) wake() {
	if g.freed != nil {
		close(g.freed)
		g.freed = nil
	}
}

// waitFreed returns a channel that is closed when memory is released. The caller holds mu.
func (g *Guard) waitFreed() <-chan struct{} {
	if g.freed == nil {
		g.freed = make(chan struct{})
	}
	return g.freed
}

// close closes connections that take returned.
func (g *Guard) close(conns []*conn) {
	for _, c := range conns {
		count(g.name, "closed_"+string(c.victim.Reason))
		g.line("Caller: connection closed.", c.victim, nil)
		_ = c.Conn.Close()
	}
}

// line writes a log line, at a bounded rate. The victim and the error may be nil.
func (g *Guard) line(text string, v *Victim, err error) {
	suppressed, ok := g.lines.Allow()
	if !ok {
		return
	}
	g.mu.Lock()
	open, held := g.book.Usage()
	g.mu.Unlock()
	e := g.log.Warn().Str("listener", g.name).Int("open", open).Int("max_open", g.limits.Connections).Int64("held", held).Int64("max_held", g.limits.Bytes)
	if v != nil {
		e.Str("reason", string(v.Reason)).Dur("idle", v.Idle).Dur("holds_since", v.Age).Int64("holds", v.Held)
	}
	if err != nil {
		e.Str("error", err.Error())
	}
	if suppressed > 0 {
		e.Int64("suppressed", suppressed)
	}
	e.Msg(text)
}

// Drain closes, until ctx ends, connections whose clients have stalled without a complete request, so
// that they do not hold up a graceful shutdown. Requests that have arrived are served.
func (g *Guard) Drain(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		g.mu.Lock()
		closing := g.take(g.book.Stalled(g.now()))
		g.mu.Unlock()
		g.close(closing)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	guard  *Guard
	id     ID
	victim *Victim // set before the guard closes it

	// deadlines is set if the protocol on the connection sets its own write deadlines.
	deadlines bool
	writeMu   sync.Mutex
	// writeBy is the write deadline that the user of the connection set, zero if none.
	writeBy time.Time // guarded by writeMu

	// arrived is set once the whole request has arrived.
	arrived bool // guarded by guard.mu
	// inRequest is set from the end of the header to the end of the answer; header bytes count as held.
	inRequest bool // guarded by guard.mu
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.guard.sent(c, n)
	}
	return n, err
}

// Write implements net.Conn. On a connection of Listen it bounds the time for which a client that does
// not read blocks an answer; an earlier deadline of the server stays in force.
func (c *conn) Write(p []byte) (int, error) {
	if !c.deadlines {
		if err := c.boundWrite(time.Now().Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// boundWrite sets the write deadline unless the user of the connection has set an earlier one.
func (c *conn) boundWrite(by time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !c.writeBy.IsZero() && c.writeBy.Before(by) {
		return nil
	}
	return c.Conn.SetWriteDeadline(by)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeBy = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeBy = t
	return c.Conn.SetDeadline(t)
}

// CloseWrite shuts down the sending side, where the connection can. A server does so before it closes a
// connection with unread data, so that the client can read the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.guard
	g.mu.Lock()
	g.book.Close(c.id)
	delete(g.conns, c.id)
	g.wake()
	g.mu.Unlock()
	return c.Conn.Close()
}

// sent notes n bytes that a client sent. Those of a header are held until the request ends.
func (g *Guard) sent(c *conn, n int) {
	g.mu.Lock()
	now := g.now()
	g.book.Sent(c.id, now)
	var closing []*conn
	if !c.inRequest {
		// Without room the header is read all the same: its size is bounded by the server.
		victims, _ := g.book.Hold(c.id, headerFactor*int64(n), now)
		closing = g.take(victims)
	}
	g.mu.Unlock()
	g.close(closing)
}

type connKey struct{}

// ConnContext makes the connection known to Handler and ReadBody; it is a hook of http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Handler accounts for the requests of a server whose listener is Listen, whose ConnContext is
// ConnContext and whose ConnState is ConnState. It bounds the time for bodies. A request is being served
// while its handler runs, except while ReadBody waits for the client. After the handler it is so only if
// the whole request has arrived, because the server waits for the rest of a body before the next request.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		g.mu.Lock()
		c.inRequest, c.arrived = true, r.ContentLength == 0
		g.book.Serve(c.id)
		g.mu.Unlock()
		if r.ContentLength != 0 {
			_ = c.SetReadDeadline(time.Now().Add(g.bodyTimeout)) // fails if it is closed
		}
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !c.arrived {
				g.book.Await(c.id, g.now())
			}
		}()
		h.ServeHTTP(w, r)
	})
}

// ConnState accounts for the end of a request; it is a hook of http.Server. A connection is idle once the
// answer has been written and the rest of the body has been read. The end of the handler is too early:
// bytes of a body that are read after it would count as those of the next header.
func ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.writeMu.Lock()
	c.writeBy = time.Time{}
	c.writeMu.Unlock()
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.inRequest = false
	g.book.End(c.id, g.now())
	g.wake()
}

// CloseConnection closes the connection of a request without an answer, which promises nothing.
func (g *Guard) CloseConnection(r *http.Request) {
	if c := connOf(r); c != nil {
		count(g.name, "closed_without_answer")
		_ = c.Close()
	}
}
