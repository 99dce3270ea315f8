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
	// connShare is the number of connections that one entry VM may use.
	connShare int
	// state is empty until it is known.
	state model.VMState
	// answered is set by the first status since the takeover.
	answered bool
	// lastAsked is when the newest evaluated poll was sent.
	lastAsked time.Time
	permits   map[Attempt]*permit
	// conns counts permits per holder; one permit uses one connection.
	conns map[model.EntryVM]int
	// unattributed holds running jobs that no permit explains, with the first poll that no
	// longer listed them (zero if listed).
	unattributed map[Attempt]time.Time

	// failures counts failed attempts in a row.
	failures int
	ejected  bool
	probing  bool
	probeAt  time.Time
	backoff  time.Duration
}

// used is the number of occupied slots.
func (m *minion) used() int {
	if !m.answered {
		return max(m.slots, len(m.permits))
	}
	return len(m.permits) + len(m.unattributed)
}

// unknownSlots is the number of slots that may hold jobs of unknownSlots origin. A VM that is
// empty runs nothing. A failed VM is left out: it may never answer again, and its
// slots would block every team until it is rebooted.
func (m *minion) unknownSlots() int {
	if m.answered || m.service == nil || m.state == model.VMEmpty || m.state == model.VMFailed {
		return 0
	}
	return max(0, m.slots-len(m.permits))
}

// ready reports whether the minion may take one more request now.
func (m *minion) ready(now time.Time) bool {
	return m.state == model.VMServing && m.answered && m.used() < m.slots &&
		(!m.ejected || (!m.probing && !now.Before(m.probeAt)))
}
