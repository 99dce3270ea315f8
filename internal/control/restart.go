package control

import (
	"time"

	"boragepulley/internal/guard"
	"boragepulley/internal/model"
)

// restartBackoff is how long this entry VM leaves the lease to others after a restart of its
// control state, which they take within LeaseTTL and a margin. What made it panic may do so again.
const restartBackoff = 2 * LeaseTTL

// guarded runs f on the control goroutine. A panic in f restarts the control state.
func (c *Control) guarded(operation string, f func()) {
	before := c.restarts.Load()
	if err := guard.Recover(c.log, operation, f); err != nil {
		c.restart(before, err)
	}
}

// restart discards the control state after a panic, which may have left it half changed: this
// entry VM gives up the coordinator role and reads the rows of the table again, as after a restart
// of the process. It keeps what only grows or is replaced as a whole (the token, the configuration
// in force, the members) and what the traffic side owns (permits in use, releases). Calls that were
// in flight have no effect any more; before is the count of restarts when the failed operation began.
func (c *Control) restart(before uint64, cause error) {
	if c.restarts.Load() != before {
		return
	}
	c.restarts.Add(1)
	leaseOps.Add("restart", 1)
	c.log.Error().Err(cause).Msg("control state is discarded and read again")
	if c.coord != nil || c.takeover != nil {
		_ = guard.Recover(c.log, "step down", func() { c.stepDown("unexpected error") })
		c.coord, c.takeover = nil, nil
	}
	c.lease = leaseState{nextAttempt: time.Now().Add(restartBackoff)}
	c.allot.teams, c.allot.reading = map[model.Team]*teamAllotment{}, false
	c.fleet = fleetState{}
	c.fleet.init()
	c.cfg.polling, c.cfg.fetchingVersion = false, 0
	for _, m := range c.members {
		m.registering, m.probing = false, false
	}
	for done := range c.shutdownCalls {
		c.endShutdownCall(done)
	}
	c.snapshotStale = true
}
