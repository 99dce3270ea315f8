package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against dispatches with permits of replaced coordinators, of an earlier
// session, or that this entry VM does not hold.
func TestGate(t *testing.T) {
	var g gate
	g.init()
	now := time.Now()
	permit := func(epoch uint64) *model.Permit {
		return &model.Permit{Job: "j", Attempt: 1, Token: model.Token{Epoch: epoch}, NotAfter: now.Add(time.Hour)}
	}
	g.follow(model.Token{Epoch: 1}, "e1", false)
	g.hear(model.Token{Epoch: 1}, "e1", now)
	p := permit(1)
	require.Equal(t, model.ReasonPermitExpired, g.check(p, now), "not admitted")
	require.True(t, g.admit(p, g.place().session))
	require.Equal(t, model.ReasonNone, g.check(p, now))
	require.Equal(t, model.ReasonNoCoordinator, g.check(p, now.Add(LeaseTTL+1)))
	require.Equal(t, model.ReasonPermitExpired, g.check(p, p.NotAfter.Add(1)))
	require.Len(t, g.outstanding(), 1)

	g.follow(model.Token{Epoch: 2}, "e2", false)
	g.hear(model.Token{Epoch: 2}, "e2", now)
	require.Equal(t, model.ReasonStaleToken, g.check(p, now))
	require.False(t, g.admit(permit(1), g.place().session), "stale token")
	require.Len(t, g.outstanding(), 1, "a stale permit still occupies its slot")

	q := permit(2)
	before := g.place().session
	require.True(t, g.admit(q, before))
	g.hear(model.Token{Epoch: 2}, "e2", now.Add(LeaseTTL+1))
	require.Equal(t, model.ReasonPermitExpired, g.check(q, now.Add(LeaseTTL+1)), "out of reach meanwhile")
	require.False(t, g.admit(permit(2), before), "asked before the gap")
	require.False(t, g.remove(p), "replaced by another permit of the attempt")
	require.True(t, g.remove(q))
	require.False(t, g.remove(q))
}
