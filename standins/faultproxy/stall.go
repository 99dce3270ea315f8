package faultproxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// restoredBacklog is the accept queue of a link after a stall.
	restoredBacklog = 128
	// fillTimeout is how long a connection of the link's own may take before its accept queue
	// counts as full, and maxFillers bounds their number.
	fillTimeout = 150 * time.Millisecond
	maxFillers  = 8
)

// stall is a time in which the kernel drops new connections of a link, because the accept
// queue is full.
type stall struct {
	fillers []net.Conn
	held    sync.Once
	holding chan struct{} // closed when the link has stopped accepting
	over    chan struct{} // closed at the end
}

// Stall lets connection attempts go unanswered, as a host does that loses packets or whose
// accept queue is full: a client that gives up in less than a second sees its dial time out, and
// TCP repeats the attempt of another. Open connections work on. Heal ends it. Error: the link
// does not listen, or its queue could not be filled.
func (l *Link) Stall() error {
	l.mu.Lock()
	if l.stall != nil {
		l.mu.Unlock()
		return nil
	}
	if l.ln == nil {
		l.mu.Unlock()
		return errors.Errorf("faultproxy: link %s does not listen", l.name)
	}
	s := &stall{over: make(chan struct{}), holding: make(chan struct{})}
	l.stall = s
	err := setBacklog(l.ln, 0)
	addr := l.addr
	l.mu.Unlock()
	if err != nil {
		return errors.Wrapf(err, "faultproxy: link %s", l.name)
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", addr, fillTimeout)
		if err != nil {
			return nil // the queue is full
		}
		if !l.keepFiller(s, c) {
			return nil // healed meanwhile
		}
		// The first connection ends the call of Accept in progress.
		select {
		case <-s.holding:
		case <-s.over:
			return nil
		}
	}
	return errors.Errorf("faultproxy: link %s accepts while stalled", l.name)
}

// keepFiller reports false if the stall is over.
func (l *Link) keepFiller(s *stall, c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stall != s {
		_ = c.Close()
		return false
	}
	s.fillers = append(s.fillers, c)
	return true
}

// endStall requires mu.
func (l *Link) endStall() {
	if l.stall == nil {
		return
	}
	for _, c := range l.stall.fillers {
		_ = c.Close()
	}
	close(l.stall.over)
	l.stall = nil
	if l.ln != nil {
		_ = setBacklog(l.ln, restoredBacklog) // a short queue only makes clients try again
	}
}

func (l *Link) awaitStallEnd() {
	l.mu.Lock()
	s := l.stall
	l.mu.Unlock()
	if s != nil {
		s.held.Do(func() { close(s.holding) })
		<-s.over
	}
}

// setBacklog changes the length of a listener's accept queue.
func setBacklog(ln net.Listener, n int) error {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return errors.New("no TCP listener")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// failed reports whether a connection was reset by its peer.
func failed(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); err != nil {
		return true
	}
	return pending != 0
}
