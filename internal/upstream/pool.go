package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// statusReserve is how many connections of a minion's limit are reserved for status
	// requests, so that a coordinator can query a minion whose other connections are busy.
	statusReserve = 1
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT; package syscall does not define it.
	tcpUserTimeout = 0x12
	// unackedTimeout is how long sent data may stay unacknowledged before the connection is
	// closed: a middlebox that lost the connection's state drops its packets silently.
	unackedTimeout = 3 * time.Second
)

var errPoolClosed = errors.New("client closed")

// connOptions selects the connection that a call gets.
type connOptions struct {
	// fresh asks for a connection that no other call has used.
	fresh bool
	// status allows the use of the connections reserved for status requests.
	status bool
}

// pool manages the connections to one minion.
type pool struct {
	addr string
	opt  *Options

	mu    sync.Mutex // guards the fields below
	limit Limit
	open  int     // connections that are in use, idle or being opened
	runs  int     // connections in use or being opened for runs
	idle  []*conn // least recently used first
	// closing holds connections that this side has closed and the minion, as far as this side
	// knows, has not. They count against the limit.
	closing map[*conn]struct{}
	changed chan struct{}
	closed  bool
}

func newPool(addr string, limit Limit, o *Options) *pool {
	return &pool{addr: addr, opt: o, limit: limit, closing: map[*conn]struct{}{}, changed: make(chan struct{})}
}

// acquire returns a connection, waiting until one is free; the caller returns it with put.
func (p *pool) acquire(ctx context.Context, w connOptions) (*conn, error) {
	for {
		p.mu.Lock()
		cn, dial := p.takeLocked(w)
		changed, closed := p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return nil, errPoolClosed
		case cn != nil:
			return cn, nil
		case dial:
			return p.dial(ctx, w)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "no free connection")
		}
	}
}

// takeLocked returns an idle connection, or reports whether the caller may open a new one.
func (p *pool) takeLocked(w connOptions) (cn *conn, dial bool) {
	if p.closed || (!w.status && !p.runAllowedLocked()) {
		return nil, false
	}
	for len(p.idle) > 0 && !w.fresh && cn == nil {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if last.timer.Stop() && last.usable() {
			cn = last
			cn.reused = true
			continue
		}
		p.open--
		p.closeLocked(last)
	}
	if cn == nil && p.fullLocked() {
		// The place is free once the minion has closed its end, too.
		if len(p.idle) > 0 {
			p.closeOldestLocked()
		}
		return nil, false
	}
	if cn == nil {
		p.open++
	} else {
		cn.status = w.status
	}
	if !w.status {
		p.runs++
	}
	return cn, cn == nil
}

func (p *pool) closeOldestLocked() {
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	oldest.timer.Stop()
	p.open--
	p.closeLocked(oldest)
}

// fullLocked reports whether no further connection may be opened.
func (p *pool) fullLocked() bool {
	return p.open >= p.limit.Open || p.open+len(p.closing) >= p.limit.Total
}

// runAllowedLocked reports whether one more run leaves the connections for status requests.
func (p *pool) runAllowedLocked() bool {
	return p.runs < withoutReserve(p.limit.Open) && p.runs+len(p.closing) < withoutReserve(p.limit.Total)
}

func withoutReserve(limit int) int {
	if limit > statusReserve {
		return limit - statusReserve
	}
	return limit
}

func (p *pool) dial(ctx context.Context, w connOptions) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opt.DialTimeout)
	defer cancel()
	nc, err := p.opt.Dial(ctx, p.addr)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.minionEndedLocked()
		}
		p.dropLocked(w.status)
		return nil, err
	}
	connectionsOpened.Add(1)
	return newConn(nc, w.status), nil
}

// put returns a connection to the pool after a call, or closes it if it is not reusable.
func (p *pool) put(cn *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.closed || p.open > p.limit.Open || cn.br.Buffered() > 0 {
		p.dropLocked(cn.status)
		p.closeLocked(cn)
		return
	}
	if !cn.status {
		p.runs--
	}
	cn.timer = time.AfterFunc(p.opt.IdleTimeout, func() { p.expire(cn) })
	p.idle = append(p.idle, cn)
	p.notifyLocked()
}

// expire closes a connection that has been idle for Options.IdleTimeout.
func (p *pool) expire(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.idle {
		if c == cn {
			p.idle = append(p.idle[:i:i], p.idle[i+1:]...)
			p.open--
			p.closeLocked(cn)
			return
		}
	}
}

func (p *pool) dropLocked(status bool) {
	p.open--
	if !status {
		p.runs--
	}
	p.notifyLocked()
}

func (p *pool) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) setLimit(l Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = l
	for p.open > p.limit.Open && len(p.idle) > 0 {
		p.closeOldestLocked()
	}
	p.notifyLocked()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldestLocked()
	}
	p.minionEndedLocked()
	p.notifyLocked()
}

// conn is one connection to a minion. It serves one call at a time.
type conn struct {
	net.Conn
	lr     *io.LimitedReader
	br     *bufio.Reader
	status bool
	reused bool
	// busyUntil is when the minion is expected to have ended the last run at the latest.
	busyUntil time.Time
	// lost means that the kernel gave up the connection because the minion's side is silent.
	lost  bool
	timer *time.Timer // closes the connection while idle; guarded by the pool's lock
}

func newConn(nc net.Conn, status bool) *conn {
	lr := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, lr: lr, br: bufio.NewReader(lr), status: status}
}

// usable reports whether an idle connection is still open and has no unexpected bytes to
// read. It does not block.
func (c *conn) usable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN
		c.noteError(rerr)
		return true
	})
	return err == nil && open
}

// dialTCP connects with keep-alive probes and a timeout for unacknowledged data, so that
// the kernel closes connections whose state a middlebox has lost.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var serr error
			err := rc.Control(func(fd uintptr) {
				serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return serr
		},
	}
	return d.DialContext(ctx, "tcp", addr)
}
