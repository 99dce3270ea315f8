package coordinator

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/peer"
)

// Guards against a member whose faulty report of a read makes it the successor with the fastest path.
func TestFaultyReadsAreIgnored(t *testing.T) {
	for _, ms := range []int64{-1, math.MinInt64, math.MaxInt64, math.MaxInt64/1_000_000 + 1} {
		var m memberPath
		m.observeRead(&peer.CoordinatorHeartbeatReply{StoreRead: 1, StoreOK: true, StoreMS: ms, StoreAgeMS: 1}, time.Hour)
		m.observeRead(&peer.CoordinatorHeartbeatReply{StoreRead: 1, StoreOK: true, StoreMS: 1, StoreAgeMS: ms}, time.Hour)
		require.Empty(t, m.reads, ms)
	}
}
