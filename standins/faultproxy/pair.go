package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pair is one connection of a client and its connection to the target.
type pair struct {
	link   *Link
	silent atomic.Bool // data and closes are swallowed; never unset
	source atomic.Pointer[string]
	broken [2]atomic.Bool // the sender of a direction has reset its connection

	mu     sync.Mutex
	client *net.TCPConn
	server *net.TCPConn  // guarded by mu until forwarding starts; nil before
	ended  bool          // guarded by mu
	gone   chan struct{} // closed when the pair ended
}

// setServer reports false if the pair has ended meanwhile.
func (p *pair) setServer(s *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		_ = s.Close()
		return false
	}
	p.server = s
	return true
}

// reset ends both connections with a TCP reset.
func (p *pair) reset() { p.end(true) }

// close ends both connections.
func (p *pair) close() { p.end(false) }

func (p *pair) end(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	close(p.gone)
	for _, c := range []*net.TCPConn{p.client, p.server} {
		if c == nil {
			continue
		}
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	}
}

// chunk is data that is due at a time; nil data is the end of the stream.
type chunk struct {
	data  []byte
	due   time.Time
	held  bool // the direction was held when the data was read
	reset bool // the stream ended with an error
}

// forward copies one direction until its end or an error of either side. It does not
// close a silent pair, so that the other side does not learn that this one has ended.
func (p *pair) forward(d Direction, src, dst *net.TCPConn) {
	queue := make(chan chunk, chunkQueue)
	go p.read(d, src, queue)
	for c := range queue {
		if !p.waitDue(c.due) || !p.awaitRelease(d, c.held) {
			continue // drain the queue, so that read can end
		}
		if p.silent.Load() {
			continue
		}
		if c.reset {
			p.reset()
			continue
		}
		if c.data == nil {
			_ = dst.CloseWrite()
			continue
		}
		if _, err := dst.Write(c.data); err != nil && !p.silent.Load() {
			p.reset()
		}
	}
}

// read passes the data of src to the queue and closes it at the end of the stream.
func (p *pair) read(d Direction, src *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if d == ToTarget {
			p.identify(buf[:n])
		}
		p.broken[d].Store(err != nil && err != io.EOF)
		due := time.Now().Add(time.Duration(p.link.delay.Load()))
		if n > 0 {
			queue <- chunk{data: buf[:n], due: due, held: p.held(d) != nil}
		}
		if err != nil {
			queue <- chunk{due: due, reset: err != io.EOF}
			return
		}
	}
}

// waitDue reports false if the pair ended before.
func (p *pair) waitDue(due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.gone:
		return false
	}
}
