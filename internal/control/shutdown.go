package control

import (
	"context"
	"time"
)

// BeginShutdown starts a graceful shutdown. This entry VM is no longer ready, and it gives
// up the coordinator role by clearing the lease row, so that another entry VM can take it
// at once. BeginShutdown returns when the row is cleared, if the role is not held, or when
// ctx ends. Permits that are held stay valid. The peer listener must stay open until Stop.
func (c *Control) BeginShutdown(ctx context.Context) error {
	done := make(chan struct{})
	if !c.post(func() { c.beginShutdown(done) }) {
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return ErrStopped
	}
}

// endShutdownCall lets a call of BeginShutdown return.
func (c *Control) endShutdownCall(done chan struct{}) {
	if _, ok := c.shutdownCalls[done]; ok {
		delete(c.shutdownCalls, done)
		close(done)
	}
}

func (c *Control) beginShutdown(done chan struct{}) {
	c.shutdownCalls[done] = struct{}{}
	if !c.shuttingDown {
		c.shuttingDown, c.snapshotStale = true, true
		c.log.Info().Msg("graceful shutdown begins")
		c.recordEvent("membership", "entry/"+string(c.self.Entry), "alive", "leaving", "graceful shutdown")
		for _, m := range c.localMembers() {
			c.sendHeartbeat(m)
		}
	}
	if !c.hasSuccessor() {
		// If the role were given up, the waiting requests could not start any more.
		c.log.Info().Msg("no other entry VM can take the coordinator role; keeping it until the process stops")
		c.endShutdownCall(done)
		return
	}
	c.releaseLease(done)
}

// hasSuccessor reports whether another entry VM of the data centre can take the
// coordinator role.
func (c *Control) hasSuccessor() bool {
	for _, m := range c.localMembers() {
		if m.status == MemberAlive {
			return true
		}
	}
	return false
}

// releaseLease steps down and then clears the lease row. It steps down first, so that no
// permit is granted once another entry VM can take the lease.
func (c *Control) releaseLease(done chan struct{}) {
	held := c.coord != nil || c.takeover != nil
	if held {
		c.stepDown("graceful shutdown")
		for _, m := range c.localMembers() {
			c.sendHeartbeat(m)
		}
	}
	if c.lease.writeInFlight {
		c.runAsync(time.Second, func(ctx context.Context) func() {
			sleep(ctx, checkInterval/4)
			return func() { c.releaseLease(done) }
		})
		return
	}
	if c.lease.row.Holder != c.self.Entry || c.lease.row.Incarnation != c.self.Incarnation {
		c.endShutdownCall(done)
		return
	}
	v := leaseRow{Epoch: c.lease.row.Epoch, Seq: c.lease.row.Seq + 1}
	c.writeLease(v, func(ok bool) {
		c.log.Info().Bool("cleared", ok).Msg("coordinator lease released")
		leaseOps.Add("released", 1)
		c.endShutdownCall(done)
	})
}

// PendingReleases returns the number of releases that the coordinator has not confirmed
// yet. A graceful shutdown waits until it is 0.
func (c *Control) PendingReleases() int { return c.releases.size() }

// Stop ends the control loop and its goroutines and waits for them. The peer listener must
// be closed only afterwards.
func (c *Control) Stop() {
	c.stop()
	c.wg.Wait()
	for _, r := range c.peerClients {
		r.Close()
	}
}
