package entry

import "sync/atomic"

// acquisition is a write that acquires the lease and may still take effect: it is about to be sent, has no answer
// yet, or got none. Until its outcome is known, the entry VM must not answer the heartbeat of the lease's holder,
// which counts each answer as a promise not to acquire the lease. The zero value is none.
//
// The handler of heartbeats records a heartbeat before it asks mayFollow, and an acquisition begins before the
// recorded heartbeats are looked at, so that one of the two always notices the other.
type acquisition struct {
	// after is one more than the version of the lease's row on whose condition the write is performed, 0 for none.
	after atomic.Uint64
}

// begin records a write on condition of a version of the lease's row, which may be 0. It reports whether an earlier
// one on the same condition may still take effect.
func (a *acquisition) begin(version uint64) (earlier bool) {
	return a.after.Swap(version+1) == version+1
}

// end records that no write can take effect any more.
func (a *acquisition) end() { a.after.Store(0) }

// rowSeen records a version of the lease's row: a write on condition of an earlier one has no effect any more.
func (a *acquisition) rowSeen(version uint64) {
	if after := a.after.Load(); after != 0 && version >= after {
		a.after.CompareAndSwap(after, 0)
	}
}

// mayFollow reports whether the write can still take effect after the given version of the lease's row.
func (a *acquisition) mayFollow(version uint64) bool {
	a.rowSeen(version)
	return a.after.Load() != 0
}
