package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of ReadBody and Reserve.
var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("ingress: body too large")
	// ErrTimeout means that a body did not arrive in time.
	ErrTimeout = errors.New("ingress: body not received in time")
	// ErrNoRoom means that other requests hold the memory for bodies.
	ErrNoRoom = errors.New("ingress: no memory for the body")
	// ErrClosed means that the connection was closed because of a bound.
	ErrClosed = errors.New("ingress: connection closed")
)

// Sizes of the parts in which a body is read, in bytes. They grow, so that a client that sends little
// holds little, up to maxPart, so that the last one wastes little.
const (
	minPart = 4 << 10
	maxPart = 32 << 10
)

// ReadBody reads a body of at most limit bytes. Errors: ErrTooLarge, ErrTimeout, ErrNoRoom, ErrClosed,
// or the error of reading.
func (g *Guard) ReadBody(r *http.Request, limit int64) (body []byte, err error) {
	limit = g.MaxBody(limit)
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	c := connOf(r)
	var parts [][]byte
	var total, held int64
	defer func() {
		recycle(parts)
		if err != nil {
			g.release(c, held)
			g.serve(c) // the refusal
		}
	}()
	g.await(c)
	for eof := false; !eof; {
		if len(parts) == 0 || len(parts[len(parts)-1]) == cap(parts[len(parts)-1]) {
			size := partSize(len(parts), r.ContentLength, total, limit)
			if err := g.hold(r.Context(), c, size); err != nil {
				return nil, err
			}
			held += size
			parts = append(parts, newPart(size))
		}
		p := &parts[len(parts)-1]
		n, err := r.Body.Read((*p)[len(*p):cap(*p)])
		*p = (*p)[:len(*p)+n]
		total += int64(n)
		switch {
		case total > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			eof = true
		case err != nil:
			return nil, g.readError(c, err)
		}
	}
	if !g.complete(c) {
		return nil, ErrClosed
	}
	if len(parts) == 1 {
		body = parts[0]
		parts = nil
		return body, nil
	}
	release, err := g.Reserve(r.Context(), total, total)
	if err != nil {
		return nil, err
	}
	defer release()
	body = make([]byte, 0, total)
	for _, p := range parts {
		body = append(body, p...)
	}
	g.release(c, held-total)
	return body, nil
}

// partPool holds parts of maxPart bytes, so that a crowd of bodies leaves little garbage.
var partPool = sync.Pool{New: func() any { p := make([]byte, maxPart); return &p }}

func newPart(size int64) []byte {
	if size < maxPart {
		return make([]byte, 0, size)
	}
	return (*partPool.Get().(*[]byte))[:0]
}

func recycle(parts [][]byte) {
	for _, p := range parts {
		if cap(p) == maxPart {
			p = p[:maxPart]
			partPool.Put(&p)
		}
	}
}

// partSize returns the size of the next part of a body, of which total bytes have arrived. One byte
// beyond the limit tells that a body is too large.
func partSize(parts int, length, total, limit int64) int64 {
	size := int64(minPart) << min(parts, 3)
	if length >= 0 {
		if length <= maxPart {
			size = maxPart
		}
		return max(1, min(size, length-total))
	}
	return min(size, limit+1-total)
}

func (g *Guard) readError(c *conn, err error) error {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		count(g.name, "body_timeouts")
		return ErrTimeout
	case c != nil && !g.known(c):
		return ErrClosed
	}
	return err
}

func (g *Guard) known(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns[c.id] == c
}

// Hold holds n bytes for a connection of Listen or ListenOnly, for a protocol other than HTTP. Errors:
// ErrNoRoom, ErrClosed.
func (g *Guard) Hold(nc net.Conn, n int64) error {
	c, _ := nc.(*conn)
	return g.hold(context.Background(), c, n)
}

// Release gives n bytes back.
func (g *Guard) Release(nc net.Conn, n int64) {
	c, _ := nc.(*conn)
	g.release(c, n)
}

// hold holds n bytes for a connection. It waits for a short time if only requests that are being
// served hold memory. Errors: ErrNoRoom, ErrClosed.
func (g *Guard) hold(ctx context.Context, c *conn, n int64) error {
	if c == nil {
		return nil
	}
	var late <-chan time.Time
	for {
		g.mu.Lock()
		victims, ok := g.book.Hold(c.id, n, g.now())
		closing := g.take(victims)
		known := g.conns[c.id] == c
		var freed <-chan struct{}
		if ok {
			if late != nil {
				g.book.Sent(c.id, g.now())
			}
		} else if known {
			g.book.Wait(c.id)
			freed = g.waitFreed()
		}
		g.mu.Unlock()
		g.close(closing)
		switch {
		case ok:
			return nil
		case !known:
			return ErrClosed
		}
		if late == nil {
			late = time.After(roomTimeout)
		}
		var stalled <-chan time.Time
		if g.limits.KeepSending {
			stalled = time.After(stallInterval)
		}
		select {
		case <-freed:
		case <-stalled:
		case <-late:
			return g.noRoom()
		case <-ctx.Done():
			return g.noRoom()
		}
	}
}

func (g *Guard) noRoom() error {
	count(g.name, "no_room")
	g.line("Caller: request refused, no memory for its body.", nil, nil)
	return ErrNoRoom
}

func (g *Guard) release(c *conn, n int64) {
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Release(c.id, n)
	g.wake()
}

// await marks a connection whose client is to send a body.
func (g *Guard) await(c *conn) {
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Await(c.id, g.now())
}

// serve marks a connection whose request is being answered.
func (g *Guard) serve(c *conn) {
	if c == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Serve(c.id)
}

// complete marks the end of a body; false if the connection was closed.
func (g *Guard) complete(c *conn) bool {
	if c == nil {
		return true
	}
	g.mu.Lock()
	ok := g.book.Serve(c.id)
	c.arrived = true
	g.mu.Unlock()
	// While the request is served, the server reads from the connection to notice its end; that read
	// must not time out.
	return ok && c.SetReadDeadline(time.Time{}) == nil
}

// Reserve reserves n bytes for processing a complete body of the given length, in the order of the calls.
// Small bodies have memory of their own, unless one needs more than that. A request that needs more than
// there is gets all of it. Error: ErrNoRoom after a short time.
func (g *Guard) Reserve(ctx context.Context, length, n int64) (release func(), err error) {
	room := g.large
	if length <= smallBody && n <= g.smallRoom {
		room = g.small
	}
	n = min(n, g.largeRoom)
	release = func() { room.Release(n) }
	if room.TryAcquire(n) { // also for a request whose time is over; that is for the caller to judge
		return release, nil
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	if err := room.Acquire(ctx, n); err != nil {
		return nil, g.noRoom()
	}
	return release, nil
}
