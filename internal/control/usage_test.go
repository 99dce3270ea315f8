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
	f := &farState{}
	require.True(t, f.worthReporting(u, now), "the first one")
	f.reported, f.reportedAt = u, now
	same := &peer.Usage{Seq: 9, Running: map[model.Team]int{"t": 1}}
	require.False(t, f.worthReporting(same, now.Add(time.Second)))
	require.True(t, f.worthReporting(same, now.Add(2*time.Second)), "before it expires after 3 s")
	require.True(t, f.worthReporting(&peer.Usage{Running: map[model.Team]int{"t": 2}}, now))
	require.True(t, f.worthReporting(&peer.Usage{Running: u.Running, Token: model.Token{Epoch: 2}}, now))
}

// Guards against missing evidence: without the table every round counts.
func TestFarHeartbeatDue(t *testing.T) {
	now := time.Now()
	f := &farState{coordinator: "b-1", answered: now.Add(-time.Second)}
	require.False(t, f.due(now, now.Add(-time.Second)))
	require.True(t, f.due(now, now.Add(-3*time.Second)), "no evidence from the table")
	require.True(t, f.due(now.Add(2*time.Second), now.Add(2*time.Second)), "not heard for long")
	f.coordinator = ""
	require.True(t, f.due(now, now), "no coordinator known")
}
