// Package serve runs the HTTP listeners of stand-ins: one address per simulated machine,
// with a connection count and a reboot that keeps the address.
package serve

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Host is one HTTP listener that can be stopped and started again on the same address.
//
// State machine: up <-> down, and either -> closed (final).
type Host struct {
	// OnConnections, if set before Start, is called with the number of open connections
	// after each new one.
	OnConnections func(open int)
	// IdleTimeout, if set before Start, closes a connection on which no request arrives; 0 keeps it.
	IdleTimeout time.Duration

	mu     sync.Mutex
	addr   string       // guarded by mu; fixed after the first start
	srv    *http.Server // guarded by mu; nil while down
	open   int          // guarded by mu; open connections
	closed bool         // guarded by mu
	began  bool         // guarded by mu; set with the first start
}

// NewHost returns a host that is down. The port of addr may be 0.
func NewHost(addr string) *Host { return &Host{addr: addr} }

const (
	// portWait is how long a host that starts again waits for its port: while it was down, the
	// kernel may have given the port to an outgoing connection of another process.
	portWait = 30 * time.Second
	// portRetry is the pause between two tries.
	portRetry = 50 * time.Millisecond
)

// Start listens and serves h. One that was up before waits for its port. Errors: the address
// is in use, or the host is closed.
func (h *Host) Start(handler http.Handler) error {
	end := time.Now().Add(portWait)
	for {
		err := h.start(handler)
		if !errors.Is(err, syscall.EADDRINUSE) || !h.wasUp() || time.Now().After(end) {
			return err
		}
		time.Sleep(portRetry)
	}
}

func (h *Host) wasUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.began
}

func (h *Host) start(handler http.Handler) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.srv != nil {
		return errors.New("serve: host is closed or already up")
	}
	ln, err := net.Listen("tcp", h.addr)
	if err != nil {
		return errors.Wrap(err, "serve: listen")
	}
	h.began = true
	h.addr = ln.Addr().String()
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: h.IdleTimeout}
	h.srv = srv
	go func() { _ = srv.Serve(countedListener{ln, h}) }() // ends with ErrServerClosed after Stop
	return nil
}

// Addr returns the address, with the real port after Start.
func (h *Host) Addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addr
}

// Stop closes the listener and every connection at once; new connections are refused.
func (h *Host) Stop() {
	h.mu.Lock()
	srv := h.srv
	h.srv = nil
	h.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Close stops the host for good.
func (h *Host) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.Stop()
}

// countedListener counts the connections that it accepts until they are closed.
type countedListener struct {
	net.Listener
	h *Host
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.h.count(1)
	return &countedConn{TCPConn: c.(*net.TCPConn), h: l.h}, nil
}

// countedConn is out of the count before its close reaches the client, which may then open
// another connection at once.
type countedConn struct {
	*net.TCPConn
	h    *Host
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.h.count(-1) })
	return c.TCPConn.Close()
}

func (h *Host) count(n int) {
	h.mu.Lock()
	h.open += n
	open := h.open
	h.mu.Unlock()
	if n > 0 && h.OnConnections != nil {
		h.OnConnections(open)
	}
}
