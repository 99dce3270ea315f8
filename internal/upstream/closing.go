package upstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// closeWait is how long a close usually takes at most; after it, calls that wait for a
	// place may close another idle connection.
	closeWait = 200 * time.Millisecond
	// maxDiscard limits what is read from a minion that goes on sending after this side closed.
	maxDiscard = 1 << 20
)

// closeLocked closes a connection that is no longer counted as open. Until the minion has
// closed its end, or must have by its own timeout, the connection counts as closing: a
// middlebox may have lost its state, so that nothing of this side's close arrives.
func (p *pool) closeLocked(cn *conn) {
	half, ok := cn.Conn.(interface{ CloseWrite() error })
	if !ok || p.closed {
		_ = cn.Close()
		p.notifyLocked()
		return
	}
	p.closing[cn] = struct{}{}
	gone := time.Now()
	if cn.busyUntil.After(gone) {
		gone = cn.busyUntil
	}
	gone = gone.Add(p.opt.SilentTimeout)
	_ = cn.SetDeadline(time.Now().Add(closeWait))
	_ = half.CloseWrite()
	go p.awaitClose(cn, gone)
}

// awaitClose waits until the minion has closed its end of cn, at most until gone.
func (p *pool) awaitClose(cn *conn, gone time.Time) {
	if cn.lost {
		p.closedAt(cn, gone)
		return
	}
	err := cn.awaitEnd()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.mu.Lock()
		p.notifyLocked()
		p.mu.Unlock()
		_ = cn.SetReadDeadline(gone)
		err = cn.awaitEnd()
	}
	if err == nil || errors.Is(err, syscall.ECONNRESET) {
		gone = time.Now()
	}
	p.closedAt(cn, gone)
}

// closedAt closes this side and takes cn out of the connections that are closing at gone.
func (p *pool) closedAt(cn *conn, gone time.Time) {
	_ = cn.Close()
	wait := time.Until(gone)
	if wait <= 0 {
		p.closingEnded(cn)
		return
	}
	connectionsSilent.Add(1)
	time.AfterFunc(wait, func() { p.closingEnded(cn) })
}

func (p *pool) closingEnded(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.closing[cn]; ok {
		delete(p.closing, cn)
		p.notifyLocked()
	}
}

// minionEndedLocked forgets the connections that are closing: the minion's process has
// ended, and its connections with it.
func (p *pool) minionEndedLocked() {
	for cn := range p.closing {
		_ = cn.Close()
	}
	clear(p.closing)
}

// awaitEnd reads until the minion has closed its end. One that goes on sending gets a reset.
func (c *conn) awaitEnd() error {
	n, err := io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscard))
	if err == nil && n == maxDiscard {
		c.resetOnClose()
	}
	return err
}

func (c *conn) resetOnClose() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// noteError records that the kernel gave up the connection. It reports this only once;
// later reads look as if the minion had closed the connection.
func (c *conn) noteError(err error) {
	for _, silent := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		c.lost = c.lost || errors.Is(err, silent)
	}
}
