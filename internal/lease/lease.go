// Package lease stores the lease of a site's coordinator in one row of the platform's table. Every
// write of the coordinator also writes this row, on the condition that its version is unchanged.
// Writes are therefore applied in sequence: one whose response was lost, or that the store carries
// out seconds later, takes effect only if nothing else was written in between.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// Key is the key of the lease's row.
const Key = "lease/site"

// TTL is how long a lease lasts, from the time at which the write that renewed it was sent. It is
// also about the time that a takeover takes after a power loss. A store that is slower than usual
// by a factor of 60 (0.3 s per write) still leaves time for two renewals.
const TTL = 2000 * time.Millisecond

// ErrLost means that another entry VM holds the lease.
var ErrLost = errors.New("lease: held by another entry VM")

// Row is the stored lease.
type Row struct {
	// Holder is empty after a release.
	Holder model.EntryVM `json:"h,omitempty"`
	// Addr is the holder's peer address.
	Addr        string            `json:"a,omitempty"`
	Incarnation model.Incarnation `json:"i,omitempty"`
	// Epoch is the holder's first fencing token; it increases with each holder.
	Epoch uint64 `json:"e"`
	// MaxToken is the highest fencing token that the holder has reserved, see Held.Reserve. It is 0
	// while that is Epoch.
	MaxToken uint64 `json:"t,omitempty"`
	// Seq increases with each write of a holder.
	Seq uint64 `json:"n"`
	// Unhealthy is set in a released lease if the holder released it because of its path to the store.
	Unhealthy bool `json:"u,omitempty"`
}

// Decode decodes the row of the lease. A row that does not exist decodes to a lease without a holder.
func Decode(r platform.Row) (Row, error) {
	var out Row
	if r.Version == 0 {
		return out, nil
	}
	err := json.Unmarshal(r.Value, &out)
	return out, errors.Wrap(err, "lease")
}

// Held is a lease that this process holds. Its methods are not safe for concurrent use.
type Held struct {
	Row Row
	// PreviousEpoch is the epoch of the holder before.
	PreviousEpoch uint64
	table         platform.Table
	// Version is the version of the row after the last write.
	Version uint64
	now     func() time.Duration
	// ExpiresAt is when the lease ends, on a clock that includes time in which the VM was suspended.
	ExpiresAt time.Duration
}

// Acquire acquires the lease for owner if its row is still at the version of lastRead. Errors:
// ErrLost if another entry VM wrote the row first; those of the table, after which the lease may or
// may not be held.
func Acquire(ctx context.Context, t platform.Table, now func() time.Duration, lastRead platform.Row, owner Row) (*Held, error) {
	old, err := Decode(lastRead)
	if err != nil {
		return nil, err
	}
	owner.Epoch, owner.MaxToken, owner.Seq = max(old.Epoch, old.MaxToken)+1, 0, 0
	h := &Held{Row: owner, PreviousEpoch: old.Epoch, table: t, Version: lastRead.Version, now: now}
	return h, h.Commit(ctx, nil)
}

// Commit writes puts and renews the lease in one transaction, provided that the lease is still held.
// Errors: ErrLost; those of platform.Table. ErrUnknownOutcome is returned only when the context has
// ended; the lease must not be used after it.
func (h *Held) Commit(ctx context.Context, puts []platform.Put) error {
	next := h.Row
	next.Seq++
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "lease")
	}
	sent := h.now()
	v, err := platform.CommitAndVerify(ctx, h.table, platform.PriorityLease, platform.Txn{
		Conditions: []platform.Condition{{Key: Key, Version: h.Version}},
		Puts:       append([]platform.Put{{Key: Key, Value: value}}, puts...),
	}, Key, func(r platform.Row) bool {
		got, err := Decode(r)
		return err == nil && got == next
	})
	if errors.Is(err, platform.ErrConflict) {
		return errors.Wrap(ErrLost, err.Error())
	}
	if err != nil {
		return err
	}
	h.Row, h.Version = next, v[Key]
	h.ExpiresAt = sent + TTL
	return nil
}

// ReserveToken returns a fencing token that is higher than all that this holder has used and lower than
// those of later holders. It may be used once the next Commit has succeeded.
func (h *Held) ReserveToken() uint64 {
	h.Reserve(h.LastToken() + 1)
	return h.Row.MaxToken
}

// Reserve reserves all fencing tokens up to the given one that this holder does not have. They may be used
// once the next Commit has succeeded.
func (h *Held) Reserve(upTo uint64) {
	if upTo > h.LastToken() {
		h.Row.MaxToken = upTo
	}
}

// LastToken returns the highest fencing token that is or will be reserved with the next Commit. All from
// Row.Epoch to this one are the holder's own.
func (h *Held) LastToken() uint64 { return max(h.Row.Epoch, h.Row.MaxToken) }

// Release writes the last puts and releases the lease, so that another entry VM can acquire it
// immediately. After an error without effect the lease is still held.
func (h *Held) Release(ctx context.Context, puts []platform.Put) error {
	return h.release(ctx, puts, false)
}

// ReleaseUnhealthy is Release by a holder whose path to the store is bad.
func (h *Held) ReleaseUnhealthy(ctx context.Context, puts []platform.Put) error {
	return h.release(ctx, puts, true)
}

func (h *Held) release(ctx context.Context, puts []platform.Put, unhealthy bool) error {
	before := h.Row
	h.Row.Holder, h.Row.Addr, h.Row.Unhealthy = "", "", unhealthy
	err := h.Commit(ctx, puts)
	if err != nil {
		h.Row = before
	}
	return err
}

// WithTable returns a copy of the lease that writes through t.
func (h *Held) WithTable(t platform.Table) *Held {
	c := *h
	c.table = t
	return &c
}
