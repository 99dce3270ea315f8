package holding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/site"
)

const testMaxLease = 6 * time.Second

// modelCall is a poll on its way to a minion or back.
type modelCall struct {
	lease    int64
	token    uint64
	restarts int
}

// modelMinion is a minion as its incarnations see it, on the real clock.
type modelMinion struct {
	incarnation int64
	born        time.Duration
	clockStart  int64
	rate        float64
	token       uint64
	leaseEnds   time.Duration
}

func (x *modelMinion) clock(now time.Duration) int64 {
	return x.clockStart + time.Duration(float64(now-x.born)*x.rate).Milliseconds()
}

// carryOut carries a poll out, unless the minion has seen a higher token.
func (x *modelMinion) carryOut(c modelCall, now time.Duration) (ok bool) {
	if c.token < x.token {
		return false
	}
	x.token = c.token
	if c.lease > 0 {
		left := min(time.Duration(c.lease-x.clock(now))*time.Millisecond, testMaxLease)
		x.leaseEnds = max(x.leaseEnds, now+time.Duration(float64(left)/x.rate))
	}
	return true
}

// Guards against a RunsExpireAt before the end of a lease that an incarnation granted on a call for the one
// before: calls are carried out at once, late or never, clocks start anywhere, and the token is raised at any time.
func TestRunsExpireAtCoversLeasesOfEarlierIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		number := int64(0)
		start := func() *modelMinion {
			number++
			return &modelMinion{incarnation: number, born: now, clockStart: rapid.Int64Range(1, 9_000_000).Draw(t, "clock"), rate: 1 - rapid.Float64Range(0, clockSlowness).Draw(t, "slowness")}
		}
		x := start()
		m := New(site.MinionEntry{Incarnation: x.incarnation}, 0)
		m.ObserveClock(x.clock(now), now)
		token := uint64(1)
		var late []modelCall
		lastHeard := now
		answer := func(c modelCall, read int64, incarnation int64, at time.Duration) {
			if c.restarts != m.Restarts && m.IsFormer(incarnation) {
				return
			}
			if incarnation != m.Incarnation {
				m.Restarted(incarnation, at, testMaxLease)
			}
			m.ObserveClock(read, at)
			m.PollAnswered(c.token, at)
			lastHeard = at
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond
			switch rapid.SampledFrom([]string{"poll", "poll", "lose", "late", "late", "restart", "list", "raise"}).Draw(t, "event") {
			case "poll", "lose":
				c := modelCall{token: max(1, m.Token), restarts: m.Restarts}
				if m.ClockKnown() {
					c.lease = m.GrantLease(now, 4*time.Second)
				}
				if rapid.Bool().Draw(t, "kept") {
					late = append(late, c)
					continue
				}
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "way")) * time.Millisecond
				if x.carryOut(c, now) {
					read, incarnation := x.clock(now), x.incarnation
					now += time.Duration(rapid.IntRange(0, 100).Draw(t, "back")) * time.Millisecond
					answer(c, read, incarnation, now)
				}
			case "late":
				if len(late) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				c, before := late[i], x.leaseEnds
				late = append(late[:i], late[i+1:]...)
				x.carryOut(c, now)
				// Nothing is known of what a minion takes that has not been heard of for as long as an answer takes.
				if x.leaseEnds > before && m.Incarnation == x.incarnation && m.Unfenced && now > lastHeard+maxAnswerTimeout {
					x.leaseEnds = before
				}
			case "restart":
				x = start()
			case "list":
				if m.Incarnation < x.incarnation {
					m.Restarted(x.incarnation, now, testMaxLease)
					lastHeard = now
				}
			case "raise":
				if m.Unfenced && m.Token == 0 {
					token++
					m.Token = token
				}
			}
			if m.Incarnation == x.incarnation {
				require.GreaterOrEqual(t, m.RunsExpireAt+time.Millisecond, x.leaseEnds)
			}
		}
	})
}
