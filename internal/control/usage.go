package control

import (
	"context"
	"maps"
	"time"

	"boragepulley/internal/peer"
)

// sendUsage tells the coordinators of the other data centres what runs and waits here.
func (c *Control) sendUsage(now time.Time) {
	if c.coord == nil {
		return
	}
	u := c.coord.adm.Usage(now)
	c.usageSeq++
	msg := &peer.Usage{From: c.self, Token: c.following.token, Seq: c.usageSeq,
		Running: u.Running, Waiting: u.Waiting, Free: u.Free}
	for dc, f := range c.remoteDCs {
		m := c.remoteTarget(dc, f)
		if m == nil || f.coordinator == "" || !f.reportDue(msg, now) {
			continue
		}
		f.reported, f.reportedAt = msg, now
		c.runAsync(heartbeatTimeout, func(ctx context.Context) func() {
			if _, err := m.client.Usage(ctx, msg); err != nil {
				return func() {
					c.log.Debug().Err(err).Str("peer", string(m.Name)).Msg("usage not delivered")
					f.reported = nil
					c.onRemoteFailure(m, f, err)
				}
			}
			return nil
		})
	}
}

// reportDue reports whether a usage report differs from the last one sent, or that
// one is about to expire at its receiver.
func (f *remoteDCState) reportDue(u *peer.Usage, now time.Time) bool {
	last := f.reported
	return last == nil || now.Sub(f.reportedAt) > usageRefreshInterval || last.Token != u.Token ||
		!maps.Equal(last.Running, u.Running) || !maps.Equal(last.Waiting, u.Waiting) || !maps.Equal(last.Free, u.Free)
}

// Usage implements peer.ControlHandler. Messages that are older than one already
// received, or from a replaced coordinator, are ignored.
func (h handler) Usage(ctx context.Context, u *peer.Usage) (*peer.Empty, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.Empty, error) {
		f := c.remoteDCs[u.From.DC]
		if f == nil || !c.acceptSender(u.From) || c.coord == nil {
			return &peer.Empty{}, nil
		}
		if u.Token.Less(f.usageToken) || u.Token == f.usageToken && u.Seq <= f.usageSeq {
			return &peer.Empty{}, nil
		}
		f.usageToken, f.usageSeq = u.Token, u.Seq
		f.waiting = u.Waiting
		c.deliverEffects(c.coord.adm.SetRemoteUsage(time.Now(), u.From.DC, u.Running, u.Free))
		return &peer.Empty{}, nil
	})
}
