package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// Guards against control traffic that grows with time instead of changes, and against a
// report that expires at its receiver.
func TestWorthReporting(t *testing.T) {
	now := time.Now()
	u := &peer.Usage{Running: map[model.Team]int{"t": 1}}
	f := &remoteDCState{}
	require.True(t, f.reportDue(u, now), "the first one")
	f.reported, f.reportedAt = u, now
	same := &peer.Usage{Seq: 9, Running: map[model.Team]int{"t": 1}}
	require.False(t, f.reportDue(same, now.Add(time.Second)))
	require.True(t, f.reportDue(same, now.Add(2*time.Second)), "before it expires after 3 s")
	require.True(t, f.reportDue(&peer.Usage{Running: map[model.Team]int{"t": 2}}, now))
	require.True(t, f.reportDue(&peer.Usage{Running: u.Running, Token: model.Token{Epoch: 2}}, now))
}

// Guards against missing evidence: without the table every round counts.
func TestFarHeartbeatDue(t *testing.T) {
	now := time.Now()
	f := &remoteDCState{coordinator: "b-1", answered: now.Add(-time.Second)}
	require.False(t, f.heartbeatDue(now, now.Add(-time.Second)))
	require.True(t, f.heartbeatDue(now, now.Add(-3*time.Second)), "no evidence from the table")
	require.True(t, f.heartbeatDue(now.Add(2*time.Second), now.Add(2*time.Second)), "not heard for long")
	f.coordinator = ""
	require.True(t, f.heartbeatDue(now, now), "no coordinator known")
}
