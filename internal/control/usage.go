package control

import (
	"context"
	"maps"
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
		if m == nil || f.coordinator == "" || !f.worthReporting(msg, now) {
			continue
		}
		f.reported, f.reportedAt = msg, now
		c.async(heartbeatTimeout, func(ctx context.Context) func() {
			if _, err := m.remote.Usage(ctx, msg); err != nil {
				return func() {
					c.log.Debug().Err(err).Str("peer", string(m.Name)).Msg("usage not delivered")
					f.reported = nil
					c.onFarFailure(m, f, err)
				}
			}
			return nil
		})
	}
}

// worthReporting reports whether a usage report differs from the last one sent, or that
// one is about to expire at its receiver.
func (f *farState) worthReporting(u *peer.Usage, now time.Time) bool {
	last := f.reported
	return last == nil || now.Sub(f.reportedAt) > usageRefresh || last.Token != u.Token ||
		!maps.Equal(last.Running, u.Running) || !maps.Equal(last.Waiting, u.Waiting) || !maps.Equal(last.Free, u.Free)
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
