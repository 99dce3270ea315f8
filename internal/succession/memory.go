package succession

import (
	"sync/atomic"
	"time"
)

// sameHandover is the difference in time below which two reports are of one handover. Reports differ by how
// long messages took, and without it the time would move on as two processes exchange it. Handovers are at
// least minTerm apart.
const sameHandover = 5 * time.Second

// maxReported bounds the times that a peer may report. Larger ones are faulty, and overflow in nanoseconds.
const maxReported = 24 * time.Hour

// Reported returns a duration that a peer reports in milliseconds. ok is false if it cannot be right.
func Reported(ms int64) (d time.Duration, ok bool) {
	if ms < 0 || ms > maxReported.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// RecordReported records a handover whose age at a time a peer reports; 0 means that it knows of none.
func RecordReported(memory *atomic.Int64, ageMS int64, at, now time.Duration) {
	if age, ok := Reported(ageMS); ok && age > 0 {
		RecordHandover(memory, at-age, now)
	}
}

// RecordHandover records a handover for health at a time, at the latest now, unless a later one is known. The
// memory is in nanoseconds on the process's clock, 0 if none is known.
func RecordHandover(memory *atomic.Int64, at, now time.Duration) {
	at = min(at, now)
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
