package faultproxy

// Direction is one of the directions of a connection.
type Direction int

const (
	ToTarget Direction = iota
	ToClient
)

// hold keeps the data of a direction back.
type hold struct {
	direction Direction
	source    string // empty: connections of all clients
	over      chan struct{}
}

// Hold keeps back the data of one direction, of open and of new connections, as a network does that
// loses the packets of that direction: what was sent arrives after Release or Heal, unless its
// sender has reset the connection meanwhile. With source it concerns the connections of one client
// as told by SourceOf.
func (l *Link) Hold(d Direction, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds = append(l.holds, hold{d, source, make(chan struct{})})
}

// Release ends the holds of a direction and a source.
func (l *Link) Release(d Direction, source string) {
	l.release(func(h hold) bool { return h.direction == d && h.source == source })
}

func (l *Link) release(which func(hold) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []hold
	for _, h := range l.holds {
		if which(h) {
			close(h.over)
		} else {
			kept = append(kept, h)
		}
	}
	l.holds = kept
}

// held returns a channel that is closed at the end of a hold on a direction, or nil.
func (l *Link) held(d Direction, source string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		if h.direction == d && (h.source == "" || h.source == source) {
			return h.over
		}
	}
	return nil
}

// identify notes which client the connection belongs to.
func (p *pair) identify(data []byte) {
	if p.link.sourceOf == nil || p.source.Load() != nil {
		return
	}
	if name := p.link.sourceOf(data); name != "" {
		p.source.Store(&name)
	}
}

// held returns a channel that is closed at the end of a hold on a direction of the pair, or nil.
func (p *pair) held(d Direction) <-chan struct{} {
	source := ""
	if s := p.source.Load(); s != nil {
		source = *s
	}
	return p.link.held(d, source)
}

// awaitRelease reports false if the pair ended, or its sender reset the connection while data was
// held back: that data never arrives. held says whether the data was read during a hold, which may
// have ended since.
func (p *pair) awaitRelease(d Direction, held bool) bool {
	for over := p.held(d); over != nil; over = p.held(d) {
		held = true
		select {
		case <-over:
		case <-p.gone:
			return false
		}
	}
	if held && p.broken[d].Load() {
		p.reset()
		return false
	}
	return true
}
