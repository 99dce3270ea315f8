// Package lease keeps the lease of a site's coordinator in one row of the platform's
// table. Every write of the coordinator carries the row's version as a condition and
// writes the row anew, so that writes form a chain: a request whose answer was lost, or
// that is carried out seconds later, applies only if nothing else was written since.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// Key is the row of the lease.
const Key = "lease/site"

// TTL is how long a lease lasts after the write that renewed it was sent. A takeover
// after a power loss takes about as long, and a store that is slow by the factor of 60
// (0.3 s a write) leaves time for two renewals.
const TTL = 2000 * time.Millisecond

// ErrLost means that another entry VM holds the lease.
var ErrLost = errors.New("lease: held by another")

// Row is the stored lease.
type Row struct {
	// Holder is empty after a release.
	Holder model.EntryVM `json:"h,omitempty"`
	// Addr is the holder's peer address.
	Addr        string            `json:"a,omitempty"`
	Incarnation model.Incarnation `json:"i,omitempty"`
	// Epoch is the fencing token; it increases with each holder.
	Epoch uint64 `json:"e"`
	// Seq increases with each write of a holder.
	Seq uint64 `json:"n"`
}

// Decode reads the row; a missing one is an unheld lease.
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
	Row   Row
	table platform.Table
	// Version is that of the row as it was written last.
	Version uint64
	now     func() time.Duration
	// ExpiresAt is when the lease ends, on the clock that counts suspended time.
	ExpiresAt time.Duration
}

// Acquire takes the lease after the row was last seen as given. Errors: ErrLost when another
// was faster; those of the table, after which the lease may or may not be held.
func Acquire(ctx context.Context, t platform.Table, now func() time.Duration, seen platform.Row, by Row) (*Held, error) {
	old, err := Decode(seen)
	if err != nil {
		return nil, err
	}
	by.Epoch, by.Seq = old.Epoch+1, 0
	h := &Held{Row: by, table: t, Version: seen.Version, now: now}
	return h, h.Commit(ctx, nil)
}

// Commit writes rows if the lease is still held, and renews it. Errors: ErrLost; those of
// platform.Table, of which ErrUnknownOutcome comes only when the context has ended: the
// lease must not be used after it.
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

// Release gives the lease up with last rows, so that another entry VM can take it at once.
func (h *Held) Release(ctx context.Context, puts []platform.Put) error {
	h.Row.Holder, h.Row.Addr = "", ""
	return h.Commit(ctx, puts)
}

// WithTable returns the lease with its writes going another way to the store.
func (h *Held) WithTable(t platform.Table) *Held {
	c := *h
	c.table = t
	return &c
}
