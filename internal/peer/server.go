package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"boragepulley/internal/guard"
	"boragepulley/internal/model"
)

const (
	// maxCalls limits the calls in progress per connection. Each waiting Acquire is one, so
	// the limit is above the number of requests that one entry VM handles at a time.
	maxCalls = 8192
	// writeTimeout limits one write; the connection of a peer that reads nothing for that long
	// is closed. It must not exceed 1.5 s, in which an unresponsive connection must be
	// detected (docs/design.md, D8).
	writeTimeout = 1500 * time.Millisecond
)

// Server accepts connections from peers and passes their messages to a handler.
type Server struct {
	h      any
	routes map[string]route
	log    zerolog.Logger
	known  map[model.EntryVM]bool

	budget Budget // nil for none; set before Serve

	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	lis    net.Listener
	closed bool
	conns  map[*jsonrpc2.Conn]struct{}
	wg     sync.WaitGroup
}

// NewServer returns a server that passes messages to h. It counts bytes for each of the
// given peers, and for all other senders together.
func NewServer(h Handler, peers []model.EntryVM, log zerolog.Logger) *Server {
	return newServer(h, routes, peers, log)
}

func newServer(h any, routes map[string]route, peers []model.EntryVM, log zerolog.Logger) *Server {
	known := make(map[model.EntryVM]bool, len(peers))
	for _, p := range peers {
		known[p] = true
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Server{h: h, routes: routes, log: log, known: known, ctx: ctx, stop: stop, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Budget bounds the memory of messages that are being received on connections of Serve's listener.
type Budget interface {
	// Hold takes n bytes. Error: there is no room; the connection is closed then.
	Hold(c net.Conn, n int64) error
	Release(c net.Conn, n int64)
}

// SetBudget sets the budget for received messages. It must be called before Serve.
func (s *Server) SetBudget(b Budget) { s.budget = b }

// Serve accepts connections from lis until Close. It returns nil after Close, and
// the listener's error otherwise.
func (s *Server) Serve(lis net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return lis.Close()
	}
	s.lis = lis
	s.mu.Unlock()
	for {
		c, err := lis.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if asNetError(err, &ne) && ne.Timeout() {
				continue
			}
			return err
		}
		s.serveConn(c)
	}
}

func (s *Server) serveConn(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		nc.Close()
		return
	}
	sc := &serverConn{srv: s, meter: meter{peer: unknownPeer}, calls: map[jsonrpc2.ID]inbound{}}
	frames := sc.meter.codec()
	if s.budget != nil {
		frames.hold = func(n int) error { return s.budget.Hold(nc, int64(n)) }
		frames.release = func(n int) { s.budget.Release(nc, int64(n)) }
	}
	stream := jsonrpc2.NewBufferedStream(&deadlineConn{Conn: nc}, frames)
	conn := jsonrpc2.NewConn(s.ctx, stream, sc,
		jsonrpc2.SetLogger(rpcLogger{s.log}), jsonrpc2.OnRecv(sc.onRecv), jsonrpc2.OnSend(sc.onSend))
	s.conns[conn] = struct{}{}
	connections.Add("accepted", 1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

// Close stops listening, closes all connections and waits for running handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.stop()
	if s.lis != nil {
		s.lis.Close()
	}
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
	s.wg.Wait()
}

// beginHandler registers a running handler, for which Close waits. It returns false if the
// server is closed.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// inbound is a call in progress: its method and the size of its frame.
type inbound struct {
	method string
	size   int
}

// serverConn is the state of one accepted connection.
type serverConn struct {
	srv   *Server
	meter meter

	mu    sync.Mutex
	calls map[jsonrpc2.ID]inbound
}

// onRecv runs in the connection's read loop before Handle.
func (c *serverConn) onRecv(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req == nil || req.Notif {
		return
	}
	method := req.Method
	if _, ok := c.srv.routes[method]; !ok {
		method = "unknown"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[req.ID] = inbound{method: method, size: c.meter.lastRead}
}

// onSend runs under the connection's send lock before a reply is written.
func (c *serverConn) onSend(_ *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.sending = c.calls[resp.ID].method
	delete(c.calls, resp.ID)
}

// Handle implements jsonrpc2.Handler. Calls run concurrently, so that a waiting Acquire
// does not delay other messages. The protocol has no notifications; they are ignored.
func (c *serverConn) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	c.mu.Lock()
	busy, size := len(c.calls) > maxCalls, c.calls[req.ID].size
	c.mu.Unlock()
	if !c.srv.beginHandler() {
		return
	}
	go func() {
		defer c.srv.wg.Done()
		var reply any
		var err error
		if failed := guard.Recover(c.srv.log, "message "+req.Method, func() { reply, err = c.dispatch(ctx, req, size, busy) }); failed != nil {
			err = failed
		}
		if err != nil {
			_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: codeOf(err), Message: err.Error()})
			return
		}
		if err := conn.Reply(ctx, req.ID, reply); err != nil && ctx.Err() == nil {
			c.srv.log.Debug().Err(err).Str("method", req.Method).Msg("reply not sent")
		}
	}()
}

func (c *serverConn) dispatch(ctx context.Context, req *jsonrpc2.Request, size int, busy bool) (any, error) {
	if busy {
		return nil, ErrBusy
	}
	r, ok := c.srv.routes[req.Method]
	if !ok || req.Params == nil {
		countBytes(c.meter.name(), "unknown", "received", size)
		return nil, ErrMalformed
	}
	msg, from, err := r.decode(*req.Params)
	if err != nil {
		countBytes(c.meter.name(), req.Method, "received", size)
		return nil, err
	}
	if c.srv.known[from.Entry] {
		c.meter.setName(from.Entry)
	}
	countBytes(c.meter.name(), req.Method, "received", size)
	return r.call(ctx, c.srv.h, msg)
}
