// Package serve runs the HTTP listeners of stand-ins: one address per simulated machine,
// with a connection count and a reboot that keeps the address.
package serve

import (
	"net"
	"net/http"
	"sync"
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

	mu     sync.Mutex
	addr   string            // guarded by mu; fixed after the first start
	srv    *http.Server      // guarded by mu; nil while down
	conns  map[net.Conn]bool // guarded by mu
	closed bool              // guarded by mu
}

// NewHost returns a host that is down. The port of addr may be 0.
func NewHost(addr string) *Host { return &Host{addr: addr, conns: map[net.Conn]bool{}} }

// Start listens and serves h. Errors: the address is in use, or the host is closed.
func (h *Host) Start(handler http.Handler) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.srv != nil {
		return errors.New("serve: host is closed or already up")
	}
	ln, err := net.Listen("tcp", h.addr)
	if err != nil {
		return errors.Wrap(err, "serve: listen")
	}
	h.addr = ln.Addr().String()
	srv := &http.Server{Handler: handler, ConnState: h.connState, ReadHeaderTimeout: time.Minute}
	h.srv = srv
	go func() { _ = srv.Serve(ln) }() // ends with ErrServerClosed after Stop
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

func (h *Host) connState(c net.Conn, s http.ConnState) {
	h.mu.Lock()
	var open int
	switch s {
	case http.StateNew:
		h.conns[c] = true
		open = len(h.conns)
	case http.StateClosed, http.StateHijacked:
		delete(h.conns, c)
	}
	h.mu.Unlock()
	if open > 0 && h.OnConnections != nil {
		h.OnConnections(open)
	}
}
