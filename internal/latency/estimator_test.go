package latency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newEstimator() Estimator {
	return Estimator{Least: 300 * time.Millisecond, Longest: 1500 * time.Millisecond}
}

// Guards against a receiver that answers more slowly than the timeout and is never heard.
func TestTimeoutGrowsUntilAnswersAreHeard(t *testing.T) {
	e := newEstimator()
	for range 20 {
		e.Answered(2 * time.Millisecond)
	}
	require.Equal(t, e.Least, e.Timeout())
	const slow = time.Second
	tries := 0
	for ; e.Timeout() < slow; tries++ {
		e.TimedOut(e.Timeout())
	}
	require.Equal(t, 2, tries)
	for range 20 {
		e.Answered(slow)
		require.GreaterOrEqual(t, e.Timeout(), slow)
	}
	for range 200 {
		e.Answered(2 * time.Millisecond)
	}
	require.Equal(t, e.Least, e.Timeout())
}

// Guards against several calls that are lost together and count as several timeouts.
func TestTimeoutsOfOneMomentCountOnce(t *testing.T) {
	e := newEstimator()
	timeout := e.Timeout()
	for range 6 {
		e.TimedOut(timeout)
	}
	require.Equal(t, 2*timeout, e.Timeout())
}

// Guards against a timeout outside its bounds, whatever the calls took.
func TestTimeoutIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEstimator()
		for range rapid.IntRange(0, 50).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "lost") {
				e.TimedOut(e.Timeout())
			} else {
				e.Answered(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "took")) * time.Millisecond)
			}
			require.GreaterOrEqual(t, e.Timeout(), e.Least)
			require.LessOrEqual(t, e.Timeout(), e.Longest)
		}
	})
}
