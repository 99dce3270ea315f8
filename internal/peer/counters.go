package peer

import (
	"expvar"
	"sync"

	"boragepulley/internal/model"
)

// counters holds bytes per peer and message kind. The expvar maps are
// "peer_control_bytes" and "peer_traffic_bytes"; their keys are
// "<entry VM>/<method>/sent" and "<entry VM>/<method>/received". Sizes are those of
// whole frames, without TCP and IP headers.
var (
	controlBytes = expvar.NewMap("peer_control_bytes")
	trafficBytes = expvar.NewMap("peer_traffic_bytes")
	connections  = expvar.NewMap("peer_connections")
)

// unknownPeer is the counter key of senders that are not in the settings.
const unknownPeer model.EntryVM = "unknown"

// controlMethod reports whether a method counts as control rather than traffic.
func controlMethod(method string) bool {
	switch method {
	case MethodHeartbeat, MethodRegister, MethodConfigOffer, MethodConfigGet,
		MethodUsage, MethodAllotmentAsk, MethodPing:
		return true
	}
	return false
}

func count(peer model.EntryVM, method, direction string, n int) {
	m := trafficBytes
	if controlMethod(method) {
		m = controlBytes
	}
	m.Add(string(peer)+"/"+method+"/"+direction, int64(n))
}

// meter attributes the frames of one connection to a peer and a method. Requests
// are counted where their method is known; a reply is counted under its request's method.
type meter struct {
	mu   sync.Mutex
	peer model.EntryVM
	// lastRead is the size of the frame that was read last; the read loop alone uses it.
	lastRead int
	// sending is the method of the frame that is written next; guarded by the
	// connection's send lock.
	sending string
}

func (m *meter) name() model.EntryVM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peer
}

func (m *meter) setName(e model.EntryVM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer = e
}

func (m *meter) codec() codec {
	return codec{
		read:  func(n int) { m.lastRead = n },
		wrote: func(n int) { count(m.name(), m.sending, "sent", n) },
	}
}
