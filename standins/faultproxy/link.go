package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog/log"
)

// Mode is the fault in force on a link.
//
// Any mode can follow any other. Connections that went silent stay silent in all modes
// but ModeCut, which resets them.
type Mode string

const (
	// ModeUp forwards.
	ModeUp Mode = "up"
	// ModeCut resets all connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeBlackhole accepts connections and forwards nothing.
	ModeBlackhole Mode = "blackhole"
)

const (
	dialTimeout = 5 * time.Second
	// probeInterval is how often a link checks whether a refusing target is back.
	probeInterval = 50 * time.Millisecond
	// chunkBytes and chunkQueue bound the data that a delayed direction holds.
	chunkBytes = 16 << 10
	chunkQueue = 64
	// listenAttempts bounds how often a link tries to get its address back, because
	// another process may hold the port for a moment.
	listenAttempts = 40
	listenPause    = 25 * time.Millisecond
)

// LinkStatus is the state of a link.
type LinkStatus struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Target  string `json:"target"`
	Mode    Mode   `json:"mode"`
	DelayMS int64  `json:"delay_ms"`
	// Open and Silent count the connections; Silent ones are included in Open.
	Open   int `json:"open"`
	Silent int `json:"silent"`
	// TargetDown means that the target refuses connections, and the link too.
	TargetDown bool `json:"target_down"`
}

// Link is one proxied address.
type Link struct {
	name, target string

	delay        atomic.Int64 // nanoseconds in each direction
	connectDelay atomic.Int64 // nanoseconds before a new connection is forwarded

	mu         sync.Mutex
	addr       string         // guarded by mu; fixed after the first listen
	mode       Mode           // guarded by mu
	ln         net.Listener   // guarded by mu; nil while the link refuses
	targetDown bool           // guarded by mu
	conns      map[*pair]bool // guarded by mu
	closed     bool           // guarded by mu
	stall      *stall         // guarded by mu; nil unless the link is stalled
	holds      []hold         // guarded by mu
	sourceOf   func(data []byte) string
	done       chan struct{} // closed with the link
}

func newLink(s LinkSpec) (*Link, error) {
	l := &Link{name: s.Name, target: s.Target, addr: s.Listen, mode: ModeUp, sourceOf: s.SourceOf,
		conns: map[*pair]bool{}, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l, l.listen()
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Status returns the state of the link.
func (l *Link) Status() LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LinkStatus{Name: l.name, Listen: l.addr, Target: l.target, Mode: l.mode,
		DelayMS: time.Duration(l.delay.Load()).Milliseconds(), Open: len(l.conns), TargetDown: l.targetDown}
	for p := range l.conns {
		if p.silent.Load() {
			s.Silent++
		}
	}
	return s
}

// Cut resets all connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = ModeCut
	l.endStall()
	l.refuse()
	for p := range l.conns {
		p.reset()
	}
}

// Blackhole silences all open connections for good and accepts new ones that are silent too.
func (l *Link) Blackhole() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = ModeBlackhole
	l.silence()
	return l.listen()
}

// SilenceOpen silences all open connections for good; new ones work, as after a
// middlebox lost its state.
func (l *Link) SilenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silence()
}

// SetDelay delays the data of each direction.
func (l *Link) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// SetConnectDelay delays the forwarding of new connections.
func (l *Link) SetConnectDelay(d time.Duration) { l.connectDelay.Store(int64(d)) }

// ResetOpen resets all open connections; new ones work.
func (l *Link) ResetOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.reset()
	}
}

// Heal lets new connections work without delay. Silent connections stay silent.
// Error: the address is in use by another process.
func (l *Link) Heal() error {
	l.delay.Store(0)
	l.connectDelay.Store(0)
	l.mu.Lock()
	l.endStall()
	l.mu.Unlock()
	l.release(func(hold) bool { return true })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = ModeUp
	if l.targetDown {
		l.refuse()
	}
	return l.listen()
}

// Close resets all connections and stops the link.
func (l *Link) Close() {
	l.Cut()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
}

// silence requires mu.
func (l *Link) silence() {
	for p := range l.conns {
		p.silent.Store(true)
	}
}

// listen requires mu.
func (l *Link) listen() error {
	if l.ln != nil || l.closed || l.targetDown && l.mode == ModeUp {
		return nil
	}
	var ln net.Listener
	var err error
	for range listenAttempts {
		if ln, err = net.Listen("tcp", l.addr); err == nil {
			break
		}
		time.Sleep(listenPause)
	}
	if err != nil {
		return errors.Wrapf(err, "faultproxy: link %s", l.name)
	}
	l.ln, l.addr = ln, ln.Addr().String()
	go l.accept(ln)
	return nil
}

// refuse requires mu.
func (l *Link) refuse() {
	if l.ln != nil {
		_ = l.ln.Close()
		l.ln = nil
	}
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return // closed by refuse
		}
		l.awaitStallEnd()
		go l.serve(c.(*net.TCPConn))
	}
}

// serve forwards one connection until both directions have ended.
func (l *Link) serve(client *net.TCPConn) {
	p := &pair{client: client, link: l, gone: make(chan struct{})}
	if !l.add(p) {
		p.reset()
		return
	}
	defer l.remove(p)
	if p.silent.Load() {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	if d := time.Duration(l.connectDelay.Load()); d > 0 && (!p.waitDue(time.Now().Add(d)) || failed(client)) {
		p.reset()
		return
	}
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		p.reset()
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.targetRefused()
		}
		return
	}
	if !p.setServer(server.(*net.TCPConn)) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(ToTarget, p.client, p.server) })
	wg.Go(func() { p.forward(ToClient, p.server, p.client) })
	wg.Wait()
}

// add reports false if the link is cut.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mode == ModeCut {
		return false
	}
	p.silent.Store(l.mode == ModeBlackhole)
	l.conns[p] = true
	return true
}

func (l *Link) remove(p *pair) {
	p.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

// targetRefused makes the link refuse connections until its target accepts again.
func (l *Link) targetRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.targetDown || l.mode != ModeUp || l.closed {
		return
	}
	l.targetDown = true
	l.refuse()
	go l.awaitTarget()
}

func (l *Link) awaitTarget() {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		c, err := net.DialTimeout("tcp", l.target, dialTimeout)
		if err != nil {
			continue
		}
		_ = c.Close()
		l.mu.Lock()
		l.targetDown = false
		if l.mode != ModeCut {
			if err := l.listen(); err != nil {
				log.Error().Str("part", "faultproxy").Str("link", l.name).Err(err).Msg("link stays down")
			}
		}
		l.mu.Unlock()
		return
	}
}
