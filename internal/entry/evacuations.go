package entry

import (
	"expvar"
	"sync"
	"sync/atomic"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/logging"
	"boragepulley/internal/platform"
)

// evacuations is the newest state of the operators' evacuations that this process knows, from the
// store or from another entry VM.
type evacuations struct {
	mu    sync.Mutex // serialises changes, so that log lines are in order
	state atomic.Pointer[evacuation.State]
	// lines bounds the log: a row may be written and removed any number of times.
	lines *logging.Limiter
}

// evacuationLinesPerSecond and evacuationLineBurst bound the log lines about evacuations. A site has
// a few data centres.
const (
	evacuationLinesPerSecond = 20
	evacuationLineBurst      = 100
)

// storeSource is the source of a state that was read from the store; other sources are entry VMs.
const storeSource = "store"

// learnEvacuations adopts a state if it is newer than the known one. It is safe for concurrent use.
func (n *Node) learnEvacuations(s *evacuation.State, source string) {
	e := &n.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.state.Load()
	if s == nil || evacuation.Newer(before, s) == before {
		return
	}
	e.state.Store(s)
	begun, ended := evacuation.Diff(before, s)
	for _, dc := range begun {
		if suppressed, ok := e.lines.Allow(); ok {
			n.log.Warn().Str("dc", string(dc)).Uint64("version", s.Version).Str("source", source).Int64("suppressed", suppressed).Msg("Entry: evacuation received.")
		}
	}
	for _, dc := range ended {
		if suppressed, ok := e.lines.Allow(); ok {
			n.log.Info().Str("dc", string(dc)).Uint64("version", s.Version).Str("source", source).Int64("suppressed", suppressed).Msg("Entry: evacuation ended.")
		}
	}
	if before == nil || len(begun)+len(ended) > 0 {
		gauge := new(expvar.Int)
		gauge.Set(int64(len(s.DCs)))
		counters.Set("evacuated_dcs", gauge)
	}
}

// followEvacuations applies rows of the operators' table to the state that this process has read
// itself, and returns the new one. A state learned from a peer stays separate: it says nothing of
// the feed's position.
func (n *Node) followEvacuations(own *evacuation.State, c platform.Changes, all bool) *evacuation.State {
	next, bad := evacuation.Apply(own, c.Rows, c.Version, all)
	for _, b := range bad {
		suppressed, ok := n.evacuations.lines.Allow()
		switch {
		case !ok:
		case b.Fault == evacuation.EmptyName:
			n.log.Error().Str("row", b.Key).Int64("suppressed", suppressed).Msg("Entry: ignoring evacuation without a data centre.")
		default:
			n.log.Error().Str("row", b.Key).Int64("suppressed", suppressed).Msg("Entry: evacuation applies, although its value is unreadable.")
		}
	}
	n.learnEvacuations(next, storeSource)
	return next
}
