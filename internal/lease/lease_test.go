package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/platform"
	"boragepulley/standins/fleet"
)

func clockFrom(start time.Time) func() time.Duration {
	return func() time.Duration { return time.Hour + time.Since(start) }
}

// Guards against two entry VMs that both hold the lease after they tried to acquire it at the same
// time, and against writes of the previous holder that still take effect.
func TestOneTakerWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleet.NewStore()
		v := &fleet.View{Store: s}
		now := clockFrom(time.Now())
		seen := s.Row(Key)
		a, err := Acquire(context.Background(), v, now, seen, Row{Holder: "a", Incarnation: "1"})
		require.NoError(t, err)
		_, err = Acquire(context.Background(), v, now, seen, Row{Holder: "b", Incarnation: "2"})
		require.ErrorIs(t, err, ErrLost)
		b, err := Acquire(context.Background(), v, now, s.Row(Key), Row{Holder: "b", Incarnation: "2"})
		require.NoError(t, err)
		require.Equal(t, a.Row.Epoch+1, b.Row.Epoch)
		require.ErrorIs(t, a.Commit(context.Background(), []platform.Put{{Key: "x/1", Value: []byte("1")}}), ErrLost)
		require.Zero(t, s.Row("x/1").Version)
	})
}

// Guards against a write that the store carries out seconds after it was sent, and that overwrites
// a newer value with an older one.
func TestLateWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleet.NewStore()
		late := false
		v := &fleet.View{Store: s, Fault: func(op string) fleet.Fault {
			if late && op == "commit" {
				late = false
				return fleet.Late
			}
			return fleet.None
		}}
		h, err := Acquire(context.Background(), v, clockFrom(time.Now()), s.Row(Key), Row{Holder: "a", Incarnation: "1"})
		require.NoError(t, err)
		late = true
		require.NoError(t, h.Commit(context.Background(), []platform.Put{{Key: "x/1", Value: []byte("old")}}))
		require.NoError(t, h.Commit(context.Background(), []platform.Put{{Key: "x/1", Value: []byte("new")}}))
		time.Sleep(10 * time.Second)
		require.Equal(t, "new", string(s.Row("x/1").Value))
	})
}

// Guards against a lease whose duration is counted from the response to a slow write instead of from
// the time at which the write was sent.
func TestLeaseDurationCountsFromSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleet.NewStore()
		s.Latency = 800 * time.Millisecond
		now := clockFrom(time.Now())
		sent := now()
		h, err := Acquire(context.Background(), &fleet.View{Store: s}, now, s.Row(Key), Row{Holder: "a", Incarnation: "1"})
		require.NoError(t, err)
		require.Equal(t, sent+TTL, h.ExpiresAt)
	})
}

// Guards against a lease without a holder that is renewed after a release without effect: others would acquire
// it while its holder goes on.
func TestReleaseWithoutEffectKeepsTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleet.NewStore()
		fault := fleet.None
		v := &fleet.View{Store: s, Fault: func(string) fleet.Fault { return fault }}
		h, err := Acquire(context.Background(), v, clockFrom(time.Now()), s.Row(Key), Row{Holder: "a", Addr: "x", Incarnation: "1"})
		require.NoError(t, err)
		fault = fleet.Refuse
		require.ErrorIs(t, h.ReleaseUnhealthy(context.Background(), nil), platform.ErrUnavailable)
		fault = fleet.None
		require.NoError(t, h.Commit(context.Background(), nil))
		r, err := Decode(s.Row(Key))
		require.NoError(t, err)
		require.Equal(t, Row{Holder: "a", Addr: "x", Incarnation: "1", Epoch: 1, Seq: 2}, r)
		require.NoError(t, h.ReleaseUnhealthy(context.Background(), nil))
		r, err = Decode(s.Row(Key))
		require.NoError(t, err)
		require.Equal(t, Row{Incarnation: "1", Epoch: 1, Seq: 3, Unhealthy: true}, r)
	})
}

// Guards against reserved tokens that a later holder owns as well.
func TestTokensReservedAtOnceAreBelowThoseOfLaterHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleet.NewStore()
		v := &fleet.View{Store: s}
		now := clockFrom(time.Now())
		a, err := Acquire(context.Background(), v, now, s.Row(Key), Row{Holder: "a", Incarnation: "1"})
		require.NoError(t, err)
		a.Reserve(1)
		require.Zero(t, a.Row.MaxToken, "it has this one")
		a.Reserve(7)
		a.Reserve(5)
		require.EqualValues(t, 7, a.LastToken())
		require.EqualValues(t, 8, a.ReserveToken())
		require.NoError(t, a.Commit(context.Background(), nil))
		b, err := Acquire(context.Background(), v, now, s.Row(Key), Row{Holder: "b", Incarnation: "2"})
		require.NoError(t, err)
		require.EqualValues(t, 9, b.Row.Epoch)
	})
}

// Guards against a fencing token that two holders use, and against one that is used before it is stored.
func TestReservedTokensAreBelowThoseOfLaterHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleet.NewStore()
		v := &fleet.View{Store: s}
		now := clockFrom(time.Now())
		a, err := Acquire(context.Background(), v, now, s.Row(Key), Row{Holder: "a", Incarnation: "1"})
		require.NoError(t, err)
		require.EqualValues(t, 2, a.ReserveToken())
		require.EqualValues(t, 3, a.ReserveToken())
		require.NoError(t, a.Commit(context.Background(), nil))
		require.EqualValues(t, 1, a.Row.Epoch, "the epoch stays")
		require.NoError(t, a.Release(context.Background(), nil))
		b, err := Acquire(context.Background(), v, now, s.Row(Key), Row{Holder: "b", Incarnation: "2"})
		require.NoError(t, err)
		require.EqualValues(t, 4, b.Row.Epoch)
		require.EqualValues(t, 1, b.PreviousEpoch)
		require.EqualValues(t, 5, b.ReserveToken())
		c, err := Acquire(context.Background(), v, now, s.Row(Key), Row{Holder: "c", Incarnation: "3"})
		require.NoError(t, err)
		require.EqualValues(t, 5, c.Row.Epoch, "a reservation that was not stored was not used")
		require.ErrorIs(t, b.Commit(context.Background(), nil), ErrLost)
	})
}
