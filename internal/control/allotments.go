package control

import (
	"context"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// allotState is what the coordinator knows about the allotment rows.
type allotState struct{}

func (s *allotState) init() {}

// allotments returns the part of each team's limit that this data centre may use.
func (c *Control) allotments(now time.Time) map[model.Team]int {
	out := map[model.Team]int{}
	if c.cfg.index == nil {
		return out
	}
	dcs := c.dataCentres()
	for _, t := range c.cfg.index.Teams {
		// A fixed equal split until the rows are read.
		out[t.Name] = t.Limit / max(1, len(dcs))
	}
	return out
}

func (c *Control) settleAllotments(now time.Time) {}

// AllotmentAsk implements peer.ControlHandler.
func (h handler) AllotmentAsk(ctx context.Context, m *peer.AllotmentAsk) (*peer.AllotmentAskReply, error) {
	return &peer.AllotmentAskReply{}, nil
}
