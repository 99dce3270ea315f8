package holding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// Guards against a RunsExpireAt before the end of a lease that was sent, for random delays of replies
// and any allowed slowness of the minion's clock.
func TestLapsesIsNeverBeforeALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(site.MinionEntry{}, 0)
		rate := 1 - rapid.Float64Range(0, clockSlowness).Draw(t, "slowness")
		clockAt := func(real time.Duration) int64 { return time.Duration(float64(real) * rate).Milliseconds() }
		now := time.Second
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			delay := time.Duration(rapid.IntRange(0, 700).Draw(t, "delay")) * time.Millisecond
			m.ObserveClock(clockAt(now), now+delay) // read at now, received later
			now += delay
			until := m.GrantLease(now, 4*time.Second)
			// The real time at which the minion's clock shows the end of the lease.
			end := time.Duration(float64(time.Duration(until)*time.Millisecond) / rate)
			require.GreaterOrEqual(t, m.RunsExpireAt, end)
		}
	})
}

// Guards against ends that are acknowledged, and so forgotten by the minion, before they are stored,
// and against an acknowledgement that is sent after it was delivered and reaches a later incarnation.
func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	b := jobs.NewRegistry()
	j := b.Add(jobs.Accepted{ID: "1", Spec: jobs.Spec{Steps: []jobs.Step{{Count: 2}}}}, 0)
	x := j.Steps[0].Tasks[0]
	b.Order(x, 1, "m", 0)
	b.Finish(x, 1, "m", jobs.EndDone, "", 1, 0)
	m := New(site.MinionEntry{}, 0)
	require.True(t, m.IsNewEnd(1))
	m.AckOnceSaved(1, j, j.LastChange())
	require.True(t, m.IsNewEnd(2))
	m.AckOnceSaved(2, nil, 0)
	require.Zero(t, m.NextAck(), "the first end is not stored")
	b.Saved(j, j.LastChange(), j.State())
	require.Equal(t, int64(2), m.NextAck())
	require.Equal(t, int64(2), m.NextAck(), "not delivered yet")
	m.AckDelivered(2)
	require.Zero(t, m.NextAck())
	require.False(t, m.IsNewEnd(2))
	m.Restarted(7, 0, time.Second)
	require.True(t, m.IsNewEnd(1))
}

// Guards against a restart that is not detected, and a late reply that is taken for a restart.
func TestClockReadingDetectsRestart(t *testing.T) {
	m := New(site.MinionEntry{}, 0)
	require.False(t, m.ObserveClock(90_000, time.Minute))
	require.False(t, m.ObserveClock(90_200, time.Minute+time.Second), "a reply of 0.8 s ago")
	require.True(t, m.ObserveClock(300, time.Minute+2*time.Second))
}
