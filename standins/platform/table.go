package platform

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"boragepulley/internal/platform"
)

// errBadTxn means that a transaction is malformed.
var errBadTxn = errors.New("malformed transaction")

// conflictError carries the current rows of the conditions that did not hold.
type conflictError struct{ rows []platform.Row }

func (e *conflictError) Error() string { return fmt.Sprintf("%d conditions failed", len(e.rows)) }

// table is the transactional table. Row versions come from one sequence, so that a row
// that is deleted and written again never repeats a version.
type table struct {
	mu   sync.Mutex
	seq  uint64                  // guarded by mu
	rows map[string]platform.Row // guarded by mu
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) get(key string) platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key)
}

// row requires mu.
func (t *table) row(key string) platform.Row {
	if r, ok := t.rows[key]; ok {
		return r
	}
	return platform.Row{Key: key}
}

func (t *table) scan(prefix string, limit int) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []platform.Row{}
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

func (t *table) commit(x platform.Txn) (map[string]uint64, error) {
	if err := checkTxn(x); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []platform.Row
	for _, c := range x.Conditions {
		if r := t.row(c.Key); r.Version != c.Version {
			failed = append(failed, r)
		}
	}
	if len(failed) > 0 {
		return nil, &conflictError{rows: failed}
	}
	out := make(map[string]uint64, len(x.Puts))
	for _, p := range x.Puts {
		t.seq++
		if p.Value == nil {
			delete(t.rows, p.Key)
			out[p.Key] = 0
			continue
		}
		t.rows[p.Key] = platform.Row{Key: p.Key, Version: t.seq, Value: bytes.Clone(p.Value)}
		out[p.Key] = t.seq
	}
	return out, nil
}

func checkTxn(x platform.Txn) error {
	if len(x.Puts) == 0 {
		return fmt.Errorf("%w: no puts", errBadTxn)
	}
	seen := map[string]bool{}
	for _, p := range x.Puts {
		if p.Key == "" || seen[p.Key] {
			return fmt.Errorf("%w: empty or repeated key %q", errBadTxn, p.Key)
		}
		seen[p.Key] = true
	}
	return nil
}
