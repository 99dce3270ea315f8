package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Guards against usage reports that are sent although nothing has changed, and against a
// report that expires at its receiver.
func TestUsageReportDue(t *testing.T) {
	now := time.Now()
	u := &peer.Usage{Running: map[model.Team]int{"t": 1}}
	remote := &remoteDCState{}
	require.True(t, remote.reportDue(u, now), "the first one")
	remote.reported, remote.reportedAt = u, now
	same := &peer.Usage{Seq: 9, Running: map[model.Team]int{"t": 1}}
	require.False(t, remote.reportDue(same, now.Add(time.Second)))
	require.True(t, remote.reportDue(same, now.Add(2*time.Second)), "before it expires after 3 s")
	require.True(t, remote.reportDue(&peer.Usage{Running: map[model.Team]int{"t": 2}}, now))
	require.True(t, remote.reportDue(&peer.Usage{Running: u.Running, Token: model.Token{Epoch: 2}}, now))
}

// Guards against a configuration that cannot be confirmed while the table is unreachable,
// because heartbeats to remote data centres are left out.
func TestRemoteHeartbeatDue(t *testing.T) {
	now := time.Now()
	remote := &remoteDCState{coordinator: "b-1", answered: now.Add(-time.Second)}
	require.False(t, remote.heartbeatDue(now, now.Add(-time.Second)))
	require.True(t, remote.heartbeatDue(now, now.Add(-3*time.Second)), "no evidence from the table")
	require.True(t, remote.heartbeatDue(now.Add(2*time.Second), now.Add(2*time.Second)), "not heard for long")
	remote.coordinator = ""
	require.True(t, remote.heartbeatDue(now, now), "no coordinator known")
}

// Guards against a data centre whose usage reports are ignored while the table is down, so that
// nothing is forwarded to it and its work does not count for the shares: all its processes have
// restarted, and its coordinator's token is lower than that of the process before it.
func TestUsageReportsOfRestartedDataCentre(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1, "b": 1}, func(cl *cluster) {
		cl.startServing(8, 100)
		before := cl.token("b-1")
		cl.store.setDown(true)
		cl.nodes["b-1"].kill()
		cl.advance(2 * time.Second)
		cl.start("b-1")
		cl.advance(10 * time.Second)
		require.Equal(cl.t, []model.EntryVM{"b-1"}, cl.coordinators("b"))
		require.True(cl.t, cl.token("b-1").Less(before))
		c := cl.nodes["a-1"].control
		reported, err := callOnLoop(cl.t.Context(), c, func() (model.Token, error) { return c.remoteDCs["b"].usageToken, nil })
		require.NoError(cl.t, err)
		require.Equal(cl.t, cl.token("b-1"), reported)
	})
}
