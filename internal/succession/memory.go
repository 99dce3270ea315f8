package succession

import (
	"sync/atomic"
	"time"
)

// sameHandover is the difference in time below which two reports are of one handover. Reports differ by how
// long messages took, and without it the time would move on as two processes exchange it. Handovers are at
// least minTerm apart.
const sameHandover = 5 * time.Second

// RecordHandover records a handover for health at a time, unless a later one is known. The memory is in
// nanoseconds on the process's clock, 0 if none is known.
func RecordHandover(memory *atomic.Int64, at time.Duration) {
	for {
		old := memory.Load()
		if old != 0 && int64(at) < old+int64(sameHandover) || memory.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// HandoverAge returns the age of the last known handover in milliseconds, at least 1, or 0 if none is known.
func HandoverAge(memory *atomic.Int64, now time.Duration) int64 {
	last := memory.Load()
	if last == 0 {
		return 0
	}
	return max(1, (now - time.Duration(last)).Milliseconds())
}
