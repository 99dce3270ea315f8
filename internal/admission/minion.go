package admission

import (
	"time"

	"boragepulley/internal/model"
)

// minion is the coordinator's view of one upstream VM.
type minion struct {
	vm        model.VM
	addr      string
	service   *service // nil for a VM of a spare pool or one no longer configured
	rackIndex int
	slots     int
	// connShare is the number of connections to the minion that one entry VM may use.
	connShare int
	// state is "" until it is known.
	state model.VMState
	// answered is set by the first status reply after the takeover.
	answered bool
	// lastAsked is the send time of the newest poll whose reply was processed.
	lastAsked time.Time
	permits   map[Attempt]*permit
	// conns counts permits per holder; each permit uses one connection.
	conns map[model.EntryVM]int
	// unattributed holds the running jobs without a known permit, with the send time of the
	// first poll that no longer listed them (zero if the last one did).
	unattributed map[Attempt]time.Time

	// failures counts consecutive failed attempts.
	failures int
	ejected  bool
	probing  bool
	probeAt  time.Time
	backoff  time.Duration
}

// used returns the number of occupied slots. Until the first status reply, every slot counts
// as occupied.
func (m *minion) used() int {
	if !m.answered {
		return max(m.slots, len(m.permits))
	}
	return len(m.permits) + len(m.unattributed)
}

// unknownSlots returns the number of slots that may run jobs of unknown teams. An empty VM
// runs nothing. Failed VMs are not counted: they may never reply again, and their slots
// would block every team until the reboot.
func (m *minion) unknownSlots() int {
	if m.answered || m.service == nil || m.state == model.VMEmpty || m.state == model.VMFailed {
		return 0
	}
	return max(0, m.slots-len(m.permits))
}

// ready reports whether the minion can take one more request now.
func (m *minion) ready(now time.Time) bool {
	return m.state == model.VMServing && m.answered && m.used() < m.slots &&
		(!m.ejected || (!m.probing && !now.Before(m.probeAt)))
}
