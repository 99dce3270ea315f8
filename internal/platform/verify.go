package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/pkg/errors"
)

const (
	readBackInitial = 50 * time.Millisecond
	readBackMax     = time.Second
)

// CommitAndVerify commits a transaction and resolves a lost answer by reading back the row
// with the key, which the transaction must put. mine reports whether a row carries this
// write, for example by its apply id, job id or incarnation.
//
// If the row does not carry the write, the lost request may still be under way. When the
// transaction has a condition on the row and its version is unchanged, the same
// transaction is committed again: the condition lets at most one of the requests apply.
// Without such a condition the outcome stays unknown.
//
// After a lost answer only the version of the row with the key is returned.
//
// Errors: ErrUnavailable, ErrRateLimited, ErrRejected (no effect; of a repeat, once the row is known to be
// unchanged after it); ErrConflict (no effect, or,
// after a lost answer, the row does not carry the write and no longer can); ErrUnknownOutcome
// when the context ends before the outcome is known.
//
// The row must not be deleted by others, because version 0 would then repeat. If others can
// overwrite it, a conflict after a lost answer leaves open whether the write was in force
// for a moment.
func CommitAndVerify(ctx context.Context, t Table, p Priority, x Txn, key string, mine func(Row) bool) (map[string]uint64, error) {
	v, err := t.Commit(ctx, p, x)
	if !errors.Is(err, ErrUnknownOutcome) {
		return v, err
	}
	cond, conditional := conditionOn(x, key)
	wait := newReadBackWait()
	var rejected error // of the last repeat
	for {
		r, readErr := t.Get(ctx, p, key)
		switch {
		case readErr != nil:
		case r.Version != 0 && mine(r):
			return map[string]uint64{key: r.Version}, nil
		case !conditional:
			return nil, err
		case r.Version != cond:
			return nil, &ConflictError{Rows: []Row{r}}
		case rejected != nil:
			return nil, rejected // as the lost request was, which is the same
		default:
			v, again := t.Commit(ctx, p, x)
			if again == nil {
				return v, nil
			}
			// A conflict or another lost answer is resolved by the next read: the first
			// request may have been applied in between. So is a rejection.
			if errors.Is(again, ErrRejected) {
				rejected = again
			}
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return nil, err
		}
	}
}

// conditionOn returns the version that a transaction requires of a row.
func conditionOn(x Txn, key string) (uint64, bool) {
	for _, c := range x.Conditions {
		if c.Key == key {
			return c.Version, true
		}
	}
	return 0, false
}

// PutAndVerify stores an object and repeats the call while its outcome is unknown, which
// is safe because objects are never changed. Errors: as Objects.Put; ErrUnknownOutcome
// when the context ends first.
func PutAndVerify(ctx context.Context, o Objects, p Priority, name string, data []byte) error {
	err := o.Put(ctx, p, name, data)
	if !errors.Is(err, ErrUnknownOutcome) {
		return err
	}
	wait := newReadBackWait()
	for sleep(ctx, wait.NextBackOff()) {
		again := o.Put(ctx, p, name, data)
		if again == nil || errors.Is(again, ErrConflict) {
			return again
		}
	}
	return err
}

func newReadBackWait() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(backoff.WithInitialInterval(readBackInitial),
		backoff.WithMaxInterval(readBackMax), backoff.WithMaxElapsedTime(0))
}

// sleep reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
