package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against dispatches with permits that were granted by a replaced coordinator, in an
// earlier session, or that this entry VM does not hold.
func TestPermitGate(t *testing.T) {
	var g permitGate
	g.init()
	now := time.Now()
	permit := func(epoch uint64) *model.Permit {
		return &model.Permit{Job: "j", Attempt: 1, Token: model.Token{Epoch: epoch}, NotAfter: now.Add(time.Hour)}
	}
	g.follow(model.Token{Epoch: 1}, "e1", false)
	g.confirmCoordinator(model.Token{Epoch: 1}, "e1", now)
	p := permit(1)
	require.Equal(t, model.ReasonPermitExpired, g.checkPermit(p, now), "not added yet")
	require.True(t, g.add(p, g.target().session))
	require.Equal(t, model.ReasonNone, g.checkPermit(p, now))
	require.Equal(t, model.ReasonNoCoordinator, g.checkPermit(p, now.Add(LeaseTTL+1)))
	require.Equal(t, model.ReasonPermitExpired, g.checkPermit(p, p.NotAfter.Add(1)))
	require.Len(t, g.outstanding(), 1)

	g.follow(model.Token{Epoch: 2}, "e2", false)
	g.confirmCoordinator(model.Token{Epoch: 2}, "e2", now)
	require.Equal(t, model.ReasonStaleToken, g.checkPermit(p, now))
	require.False(t, g.add(permit(1), g.target().session), "stale token")
	require.Len(t, g.outstanding(), 1, "a stale permit still occupies its slot")

	q := permit(2)
	before := g.target().session
	require.True(t, g.add(q, before))
	g.confirmCoordinator(model.Token{Epoch: 2}, "e2", now.Add(LeaseTTL+1))
	require.Equal(t, model.ReasonPermitExpired, g.checkPermit(q, now.Add(LeaseTTL+1)), "coordinator was unreachable in the meantime")
	require.False(t, g.add(permit(2), before), "acquired before the coordinator was unreachable")
	require.False(t, g.remove(p), "replaced by another permit of the attempt")
	require.True(t, g.remove(q))
	require.False(t, g.remove(q))
}
