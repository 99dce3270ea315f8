package peer

import (
	"expvar"
	"sync"

	"boragepulley/internal/model"
)

// Metrics published by expvar. controlBytes and trafficBytes count bytes by peer and method;
// their keys are "<entry VM>/<method>/sent" and "<entry VM>/<method>/received". They include
// the frames' length prefixes but not TCP and IP headers.
var (
	controlBytes = expvar.NewMap("peer_control_bytes")
	trafficBytes = expvar.NewMap("peer_traffic_bytes")
	connections  = expvar.NewMap("peer_connections")
)

// unknownPeer is the counter key of senders that are not among the server's known peers.
const unknownPeer model.EntryVM = "unknown"

// isControlMethod reports whether a method belongs to the control messages. All others
// count as traffic.
func isControlMethod(method string) bool {
	switch method {
	case MethodHeartbeat, MethodRegister, MethodConfigOffer, MethodConfigGet,
		MethodUsage, MethodAllotmentAsk, MethodPing:
		return true
	}
	return false
}

func countBytes(peer model.EntryVM, method, direction string, n int) {
	m := trafficBytes
	if isControlMethod(method) {
		m = controlBytes
	}
	m.Add(string(peer)+"/"+method+"/"+direction, int64(n))
}

// meter counts the frames of one connection by peer and method. Received requests are
// counted once their method is decoded; a reply counts under the method of its request.
type meter struct {
	mu   sync.Mutex
	peer model.EntryVM
	// lastRead is the size of the frame that was read last; used only by the read loop.
	lastRead int
	// sending is the method of the next frame to be written; guarded by the connection's
	// send lock.
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
		wrote: func(n int) { countBytes(m.name(), m.sending, "sent", n) },
	}
}
