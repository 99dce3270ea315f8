package succession

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a faulty peer that switches handovers off for good, because an age overflows into a time far
// ahead.
func TestFaultyAgesAreNotRecorded(t *testing.T) {
	const now = time.Hour
	for _, ms := range []int64{0, -1, math.MinInt64, math.MaxInt64, math.MaxInt64/1_000_000 + 1, maxReported.Milliseconds() + 1} {
		var memory atomic.Int64
		RecordReported(&memory, ms, now, now)
		require.Zero(t, memory.Load(), ms)
	}
	var memory atomic.Int64
	RecordReported(&memory, 1000, now, now)
	require.Equal(t, int64(now-time.Second), memory.Load())
	RecordHandover(&memory, now+time.Hour, now)
	require.LessOrEqual(t, memory.Load(), int64(now))
}
