package platform

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

var errFenced = errors.New("connection closed before the request was written")

// trackedConn counts the writes on a connection, so that a failed call can tell exactly
// whether any byte of its request may have left.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64 // guarded by mu; writes under way and writes that passed any byte on
	fenced bool   // guarded by mu; further writes fail
}

// Write writes unless the connection was fenced.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.fenced {
		c.mu.Unlock()
		return 0, errFenced
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		// The HTTP transport repeats such a call on another connection, whose result
		// must decide about the call.
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *trackedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// fence reports whether nothing was written since the mark; if so, nothing will be.
func (c *trackedConn) fence(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return false
	}
	c.fenced = true
	_ = c.Conn.Close()
	return true
}

// sendTrace follows one call over the connections that the HTTP transport uses for it.
// An HTTP/1.1 connection carries one call at a time, so that every write after the mark
// belongs to the call.
type sendTrace struct {
	mu      sync.Mutex
	conns   map[*trackedConn]uint64 // guarded by mu
	unknown bool                    // guarded by mu; a connection that is not tracked was used
}

func (s *sendTrace) context(ctx context.Context) context.Context {
	s.conns = map[*trackedConn]uint64{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendTrace) gotConn(i httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := i.Conn.(*trackedConn)
	if !ok {
		s.unknown = true
		return
	}
	s.conns[c] = c.count()
}

// nothingSent reports whether the request certainly did not leave and will not leave. It
// must only be called after the call failed.
func (s *sendTrace) nothingSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknown {
		return false
	}
	for c, mark := range s.conns {
		if !c.fence(mark) {
			return false
		}
	}
	return true
}
