package ingress

import "time"

// stalledAfter is the time without a byte after which a client that is in the middle of a request, or
// has none, is closed before all others. Clients within the limits send a body in a few ms.
const stalledAfter = time.Second

// ID identifies a connection in a Book.
type ID uint64

// Reason is the bound for which a connection was closed.
type Reason string

const (
	ReasonConnections Reason = "connections"
	ReasonMemory      Reason = "memory"
	ReasonShutdown    Reason = "shutdown"
)

// Victim is a connection that is to be closed, with what decided it.
type Victim struct {
	ID     ID
	Reason Reason
	// Idle is the time since its client sent last, Held its memory and Age for how long it held any.
	Idle, Age time.Duration
	Held      int64
}

// entry is one connection.
type entry struct {
	sentAt time.Duration
	held   int64
	// heldSince is when held became positive.
	heldSince time.Duration
	// waiting is set while the process does not read from the client for lack of memory.
	waiting bool
	// serving is set while the process, not the client, is to act on a request. The memory and the answer are
	// the process's own concern then, and the connection is not closed for a bound.
	serving bool
	// evicted connections are being closed; what they hold counts until their request has ended.
	evicted bool
}

// Book keeps account of the connections of one listener and of the memory that their headers and
// bodies hold, and chooses which to close when a bound is reached. It does no I/O and is not safe for
// concurrent use.
type Book struct {
	limits Limits
	// open counts the connections that are not evicted, held all bytes and leaving those of evicted ones.
	open          int
	held, leaving int64
	next          ID
	conns         map[ID]*entry
}

// NewBook returns an empty book.
func NewBook(l Limits) *Book { return &Book{limits: l, conns: map[ID]*entry{}} }

// Open registers a connection. It returns the connection that must be closed for it, if any, and false
// if the new one must be refused, because all others are being served.
func (b *Book) Open(now time.Duration) (id ID, victim *Victim, ok bool) {
	if b.open >= b.limits.Connections {
		if victim = b.choose(now, false, 0); victim == nil {
			return 0, nil, false
		}
		victim.Reason = ReasonConnections
		b.evict(victim.ID)
	}
	b.next++
	b.open++
	b.conns[b.next] = &entry{sentAt: now}
	return b.next, victim, true
}

// Close removes a connection and what it holds.
func (b *Book) Close(id ID) {
	if e := b.conns[id]; e != nil {
		b.drop(e, e.held)
		if !e.evicted {
			b.open--
		}
		delete(b.conns, id)
	}
}

// evict marks a connection that is being closed.
func (b *Book) evict(id ID) {
	e := b.conns[id]
	e.evicted = true
	b.open--
	b.leaving += e.held
}

// drop takes n bytes off what a connection holds.
func (b *Book) drop(e *entry, n int64) {
	e.held -= n
	b.held -= n
	if e.evicted {
		b.leaving -= n
	}
}

// Sent notes that the client sent something.
func (b *Book) Sent(id ID, now time.Duration) {
	if e := b.conns[id]; e != nil {
		e.sentAt, e.waiting = now, false
	}
}

// Wait notes that the client cannot send until there is room, so that it does not count as stalled.
func (b *Book) Wait(id ID) {
	if e := b.conns[id]; e != nil {
		e.waiting = true
	}
}

// Await notes that the rest of a request is to come from the client, from now on.
func (b *Book) Await(id ID, now time.Duration) {
	if e := b.conns[id]; e != nil {
		e.serving, e.waiting, e.sentAt = false, false, now
	}
}

// Hold adds n bytes to what a connection holds. It returns the connections that must be closed for
// it, which may include id, and whether the bytes are held. If not, and the connection is not closed, it
// can be tried again when memory has been released.
func (b *Book) Hold(id ID, n int64, now time.Duration) (victims []Victim, ok bool) {
	for {
		e := b.conns[id]
		if e == nil || e.evicted {
			return victims, false
		}
		if b.held-b.leaving+n <= b.limits.Bytes {
			if b.held+n > b.limits.Bytes {
				return victims, false
			}
			if e.held == 0 {
				e.heldSince = now
			}
			e.held += n
			b.held += n
			return victims, true
		}
		v := b.choose(now, true, 0)
		if v == nil || v.ID == id && b.choose(now, true, id) == nil {
			return victims, false // all others are being served, so that there is room soon
		}
		if b.limits.KeepSending && (v.ID == id || !b.conns[v.ID].stalled(now)) {
			return victims, false
		}
		v.Reason = ReasonMemory
		b.evict(v.ID)
		victims = append(victims, *v)
	}
}

// Release gives n bytes back.
func (b *Book) Release(id ID, n int64) {
	if e := b.conns[id]; e != nil {
		b.drop(e, min(n, e.held))
	}
}

// Serve marks a connection whose request has arrived completely. It returns false if it was closed.
func (b *Book) Serve(id ID) bool {
	e := b.conns[id]
	if e == nil || e.evicted {
		return false
	}
	e.serving = true
	return true
}

// End marks the end of a request: the connection holds nothing, and counts as used now.
func (b *Book) End(id ID, now time.Duration) {
	if e := b.conns[id]; e != nil {
		b.drop(e, e.held)
		e.serving, e.waiting, e.sentAt = false, false, now
	}
}

// Stalled evicts and returns the connections without a complete request whose clients have sent
// nothing for stalledAfter.
func (b *Book) Stalled(now time.Duration) []Victim {
	var out []Victim
	for id, e := range b.conns {
		if !e.serving && !e.evicted && e.stalled(now) {
			v := e.victim(id, now)
			v.Reason = ReasonShutdown
			out = append(out, v)
		}
	}
	for _, v := range out {
		b.evict(v.ID)
	}
	return out
}

// choose returns the connection to close first, nil if all are being served. Stalled ones come first,
// by the time since they sent; then, if holding is set, those that have held most for longest, and only
// connections that hold memory count. Otherwise those that hold nothing come next, by the time since they
// sent, before others: they are between requests. The one with the id except is left out.
func (b *Book) choose(now time.Duration, holding bool, except ID) *Victim {
	var best Victim
	var bestClass int
	var bestScore float64
	for id, e := range b.conns {
		if id == except || e.serving || e.evicted || holding && e.held == 0 {
			continue
		}
		v := e.victim(id, now)
		class, score := 0, v.Idle.Seconds()
		switch {
		case e.stalled(now):
			class = 2
		case e.held == 0:
			class = 1
		default:
			score = float64(v.Held) * (v.Age + time.Millisecond).Seconds()
		}
		switch {
		case best.ID == 0, class > bestClass:
		case class < bestClass, score < bestScore:
			continue
		case score == bestScore && (v.Idle < best.Idle || v.Idle == best.Idle && v.ID > best.ID):
			continue
		}
		best, bestClass, bestScore = v, class, score
	}
	if best.ID == 0 {
		return nil
	}
	return &best
}

// stalled reports whether the client could send and has not for stalledAfter.
func (e *entry) stalled(now time.Duration) bool {
	return !e.waiting && now-e.sentAt >= stalledAfter
}

func (e *entry) victim(id ID, now time.Duration) Victim {
	v := Victim{ID: id, Idle: now - e.sentAt, Held: e.held}
	if e.held > 0 {
		v.Age = now - e.heldSince
	}
	return v
}

// Usage returns the number of open connections and the held bytes.
func (b *Book) Usage() (connections int, held int64) { return b.open, b.held }
