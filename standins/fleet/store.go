package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/platform"
)

// Fault is what happens to a call of the store or of a minion.
type Fault int

const (
	// None: the call is done and answered.
	None Fault = iota
	// Refuse: nothing is done, and the caller is told.
	Refuse
	// Lose: the call is done and its answer is lost.
	Lose
	// Late: the answer is lost, and the call is carried out later.
	Late
	// Reset: the connection is reset before the call arrives. Only for minions.
	Reset
	// Connecting: no connection is open before the call ends. Only for minions.
	Connecting
)

// lateBy is how much later a call with fault Late is carried out.
const lateBy = 2 * time.Second

// Store is a table with a feed. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row // guarded by mu
	log     []platform.Row          // guarded by mu; changes, oldest first
	oldest  uint64                  // guarded by mu; the feed knows changes after it
	version uint64                  // guarded by mu
	changed chan struct{}           // guarded by mu; closed at the next change
	// Latency is how long a call takes.
	Latency time.Duration
	// CallTimeout is how long a caller waits for a lost answer.
	CallTimeout time.Duration
	refuses     func(p platform.Put) bool // guarded by mu
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]platform.Row{}, changed: make(chan struct{}), Latency: 4 * time.Millisecond, CallTimeout: 900 * time.Millisecond}
}

// SetRefuses sets of which rows the store refuses each transaction that writes them.
func (s *Store) SetRefuses(refuses func(p platform.Put) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

// refusesAny reports whether the store refuses a transaction because of its rows.
func (s *Store) refusesAny(puts []platform.Put) bool {
	s.mu.Lock()
	refuses := s.refuses
	s.mu.Unlock()
	return refuses != nil && slices.ContainsFunc(puts, refuses)
}

// View is the store as one entry VM reaches it.
type View struct {
	*Store
	// Fault decides over a call; op is "get", "scan", "read", "changes" or "commit".
	Fault func(op string) Fault
	// GetFault, if set, decides over the read of a row instead of Fault.
	GetFault func(key string) Fault
}

var (
	_ platform.Table = (*View)(nil)
	_ platform.Feed  = (*View)(nil)
)

// Row returns a row as it is stored.
func (s *Store) Row(key string) platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key]
}

// Put writes a row, as operators and minions do; a nil value removes it.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]platform.Put{{Key: key, Value: value}})
}

// Compact forgets the feed's history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.log = s.version, nil
}

func (s *Store) apply(puts []platform.Put) {
	s.version++
	for _, p := range puts {
		r := platform.Row{Key: p.Key, Version: s.version, Value: p.Value}
		s.log = append(s.log, r)
		if p.Value == nil {
			delete(s.rows, p.Key)
		} else {
			s.rows[p.Key] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// commit applies a transaction if its conditions hold.
func (s *Store) commit(t platform.Txn) (map[string]uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &platform.ConflictError{}
	for _, c := range t.Conditions {
		if s.rows[c.Key].Version != c.Version {
			conflict.Rows = append(conflict.Rows, s.rows[c.Key])
		}
	}
	if len(conflict.Rows) > 0 {
		return nil, conflict
	}
	s.apply(t.Puts)
	out := map[string]uint64{}
	for _, p := range t.Puts {
		out[p.Key] = s.version
	}
	return out, nil
}

// begin passes the time of a call and returns its fault.
func (v *View) begin(ctx context.Context, op string) (Fault, error) {
	f := None
	if v.Fault != nil {
		f = v.Fault(op)
	}
	return v.beginWith(ctx, op, f)
}

// beginWith passes the time of a call that has a fault.
func (v *View) beginWith(ctx context.Context, op string, f Fault) (Fault, error) {
	if err := pause(ctx, v.Latency); err != nil {
		return f, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	if f == Refuse {
		return f, errors.Wrap(platform.ErrUnavailable, "refused")
	}
	if f != None && op != "commit" {
		_ = pause(ctx, v.CallTimeout)
		return f, errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return f, nil
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get implements platform.Table.
func (v *View) Get(ctx context.Context, _ platform.Priority, key string) (platform.Row, error) {
	begin := v.begin
	if v.GetFault != nil {
		begin = func(ctx context.Context, op string) (Fault, error) { return v.beginWith(ctx, op, v.GetFault(key)) }
	}
	if _, err := begin(ctx, "get"); err != nil {
		return platform.Row{Key: key}, err
	}
	r := v.Row(key)
	r.Key = key
	return r, nil
}

// Scan implements platform.Table.
func (v *View) Scan(ctx context.Context, _ platform.Priority, prefix string, limit int) ([]platform.Row, error) {
	if _, err := v.begin(ctx, "scan"); err != nil {
		return nil, err
	}
	rows, _ := v.prefixed(prefix)
	if limit > 0 {
		rows = rows[:min(limit, len(rows))]
	}
	return rows, nil
}

func (s *Store) prefixed(prefix string) ([]platform.Row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Row
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out, s.version
}

// Commit implements platform.Table.
func (v *View) Commit(ctx context.Context, _ platform.Priority, t platform.Txn) (map[string]uint64, error) {
	if err := check(t); err != nil {
		return nil, err
	}
	if v.refusesAny(t.Puts) {
		return nil, errors.Wrap(platform.ErrRejected, "row refused")
	}
	f, err := v.begin(ctx, "commit")
	if err != nil {
		return nil, err
	}
	switch f {
	case Lose:
		_, _ = v.commit(t) // the caller never learns of the outcome
	case Late:
		time.AfterFunc(lateBy, func() { _, _ = v.commit(t) })
	default:
		return v.commit(t)
	}
	_ = pause(ctx, v.CallTimeout)
	return nil, errors.Wrap(platform.ErrUnknownOutcome, "answer lost")
}

// Bounds of a transaction and of a row's value, as the users' store has them.
const (
	maxEntries  = 100
	maxTxBytes  = 1 << 20
	maxRowBytes = 64 << 10
)

// check refuses what the users' store does not take.
func check(t platform.Txn) error {
	if !t.SameShard() {
		return errors.Wrap(platform.ErrRejected, "rows of several shards")
	}
	if len(t.Conditions)+len(t.Puts) > maxEntries {
		return errors.Wrap(platform.ErrRejected, "too many entries")
	}
	written, size := map[string]bool{}, 0
	for _, p := range t.Puts {
		if len(p.Value) > maxRowBytes {
			return errors.Wrapf(platform.ErrRejected, "row %s of %d bytes", p.Key, len(p.Value))
		}
		if size += len(p.Value); size > maxTxBytes {
			return errors.Wrap(platform.ErrRejected, "too many bytes")
		}
		if written[p.Key] {
			return errors.Wrapf(platform.ErrRejected, "row %s twice", p.Key)
		}
		written[p.Key] = true
	}
	return nil
}

// ReadAll implements platform.Feed.
func (v *View) ReadAll(ctx context.Context, _ platform.Priority, table string) (platform.Changes, error) {
	if _, err := v.begin(ctx, "read"); err != nil {
		return platform.Changes{}, err
	}
	rows, version := v.prefixed(table + "/")
	return platform.Changes{Rows: rows, Version: version}, nil
}

// Changes implements platform.Feed.
func (v *View) Changes(ctx context.Context, _ platform.Priority, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	if _, err := v.begin(ctx, "changes"); err != nil {
		return platform.Changes{}, err
	}
	end := time.After(wait)
	for {
		c, next, err := v.since(table, after)
		if err != nil || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-next:
		case <-end:
			return c, nil
		case <-ctx.Done():
			return c, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
	}
}

func (s *Store) since(table string, after uint64) (platform.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return platform.Changes{}, nil, errors.WithStack(platform.ErrHistoryGone)
	}
	c := platform.Changes{Version: s.version}
	for _, r := range s.log {
		if r.Version > after && strings.HasPrefix(r.Key, table+"/") {
			c.Rows = append(c.Rows, r)
		}
	}
	return c, s.changed, nil
}
