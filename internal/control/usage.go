package control

import (
	"context"
	"maps"
	"time"

	"boragepulley/internal/peer"
)

// sendUsage reports to the coordinators of the remote data centres what runs and waits
// here.
func (c *Control) sendUsage(now time.Time) {
	if c.coord == nil {
		return
	}
	u := c.coord.admission.Usage(now)
	c.usageSeq++
	msg := &peer.Usage{From: c.self, Token: c.following.token, Seq: c.usageSeq,
		Running: u.Running, Waiting: u.Waiting, Free: u.Free}
	for dc, remote := range c.remoteDCs {
		m := c.remoteTarget(dc, remote)
		if m == nil || remote.coordinator == "" || !remote.reportDue(msg, now) {
			continue
		}
		remote.reported, remote.reportedAt = msg, now
		c.runAsync(heartbeatTimeout, func(ctx context.Context) func() {
			if _, err := m.client.Usage(ctx, msg); err != nil {
				return func() {
					c.log.Debug().Err(err).Str("peer", string(m.Name)).Msg("usage report not delivered")
					remote.reported = nil
					c.onRemoteFailure(m, remote, err)
				}
			}
			return nil
		})
	}
}

// reportDue reports whether a usage report must be sent: it differs from the last one, or
// the last one is about to expire at its receiver.
func (remote *remoteDCState) reportDue(u *peer.Usage, now time.Time) bool {
	last := remote.reported
	return last == nil || now.Sub(remote.reportedAt) > usageRefreshInterval || last.Token != u.Token ||
		!maps.Equal(last.Running, u.Running) || !maps.Equal(last.Waiting, u.Waiting) || !maps.Equal(last.Free, u.Free)
}

// Usage implements peer.ControlHandler. It ignores reports that are older than one already
// received or come from a replaced coordinator. The next process of the one that sent the last
// report may have a lower token, if it has taken the role without the table.
func (h handler) Usage(ctx context.Context, u *peer.Usage) (*peer.Empty, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.Empty, error) {
		remote := c.remoteDCs[u.From.DC]
		if remote == nil || !c.acceptSender(u.From) || c.coord == nil {
			return &peer.Empty{}, nil
		}
		last := remote.usageFrom
		restarted := last.Entry == u.From.Entry && last.Incarnation != u.From.Incarnation
		if !restarted && (u.Token.Less(remote.usageToken) || u.Token == remote.usageToken && u.Seq <= remote.usageSeq) {
			return &peer.Empty{}, nil
		}
		remote.usageFrom, remote.usageToken, remote.usageSeq = u.From, u.Token, u.Seq
		remote.waiting = u.Waiting
		c.deliverEffects(c.coord.admission.SetRemoteUsage(time.Now(), u.From.DC, u.Running, u.Free))
		return &peer.Empty{}, nil
	})
}
