package control

import (
	"context"
	"time"

	"boragepulley/internal/peer"
)

// exchangeUsage tells the coordinators of the other data centres what runs and waits here.
func (c *Control) exchangeUsage(now time.Time) {
	if c.coord == nil {
		return
	}
	u := c.coord.adm.Usage(now)
	c.usageSeq++
	msg := &peer.Usage{From: c.self, Token: c.following.token, Seq: c.usageSeq,
		Running: u.Running, Waiting: u.Waiting, Free: u.Free}
	for dc, f := range c.far {
		m := c.farTarget(dc, f)
		if m == nil || f.coordinator == "" {
			continue
		}
		c.async(heartbeatTimeout, func(ctx context.Context) func() {
			if _, err := m.remote.Usage(ctx, msg); err != nil {
				return func() { c.log.Debug().Err(err).Str("peer", string(m.Name)).Msg("usage not delivered") }
			}
			return nil
		})
	}
}

// Usage implements peer.ControlHandler. Messages that are older than one already
// received, or from a replaced coordinator, are ignored.
func (h handler) Usage(ctx context.Context, u *peer.Usage) (*peer.Empty, error) {
	c := h.c
	return ask(ctx, c, func() (*peer.Empty, error) {
		f := c.far[u.From.DC]
		if f == nil || !c.onSender(u.From) || c.coord == nil {
			return &peer.Empty{}, nil
		}
		if u.Token.Less(f.usageToken) || u.Token == f.usageToken && u.Seq <= f.usageSeq {
			return &peer.Empty{}, nil
		}
		f.usageToken, f.usageSeq = u.Token, u.Seq
		f.waiting = u.Waiting
		c.deliver(c.coord.adm.SetRemoteUsage(time.Now(), u.From.DC, u.Running, u.Free))
		return &peer.Empty{}, nil
	})
}
