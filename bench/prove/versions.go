package prove

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/internal/model"
)

const (
	// inForceWithin is the target for a new version to be in force everywhere.
	inForceWithin = 3 * time.Second
	// versionPoll is the time between two readings of the version in force at an entry VM;
	// it adds to the measured times.
	versionPoll    = 20 * time.Millisecond
	versionTimeout = 500 * time.Millisecond
)

// Faults of the configuration.
const (
	FaultVersionBack load.FaultKind = "an entry VM went back to an earlier configuration (I10)"
	FaultVersionLate load.FaultKind = "configuration not in force within 3 s where a path exists (I10)"
	FaultApplies     load.FaultKind = "an apply was lost, repeated or decided wrongly (I10)"
)

// versionWatch reads the version in force at every entry VM all the time, from the
// metrics of its daemon, and requires that it never decreases, restarts included.
type versionWatch struct {
	e      *Env
	client *http.Client

	mu   sync.Mutex // guards the fields below
	seen map[model.EntryVM][]versionSeen
	// readAt is when an entry VM last showed a version in force.
	readAt map[model.EntryVM]time.Time
}

type versionSeen struct {
	version uint64
	at      time.Time
}

// watchVersions starts a watch that ends with ctx or with the returned function.
func (e *Env) watchVersions(ctx context.Context) (*versionWatch, func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := &versionWatch{e: e, client: &http.Client{Timeout: versionTimeout}, seen: make(map[model.EntryVM][]versionSeen), readAt: make(map[model.EntryVM]time.Time)}
	var wg sync.WaitGroup
	for _, n := range e.Entries() {
		wg.Go(func() {
			for ctx.Err() == nil {
				w.read(ctx, n)
				e.Wait(ctx, versionPoll)
			}
		})
	}
	return w, func() {
		cancel()
		wg.Wait()
	}
}

// read notes the version of one entry VM. A daemon that has none in force yet, or that
// does not answer, says nothing.
func (w *versionWatch) read(ctx context.Context, n model.EntryVM) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.e.Entry(n).Operator+"/debug/vars", nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+cluster.OperatorToken)
	resp, err := w.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var vars struct {
		Gauges struct {
			Version uint64 `json:"configuration_version"`
		} `json:"control_gauges"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil || vars.Gauges.Version == 0 {
		return
	}
	w.note(n, vars.Gauges.Version)
}

func (w *versionWatch) note(n model.EntryVM, v uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAt[n] = time.Now()
	list := w.seen[n]
	if len(list) > 0 {
		last := list[len(list)-1].version
		if v == last {
			return
		}
		if v < last {
			w.e.Fail(FaultVersionBack, "%s had version %d in force and then %d", n, last, v)
		}
	}
	w.seen[n] = append(list, versionSeen{v, time.Now()})
}

// reached returns when an entry VM was first seen with a version or a later one.
func (w *versionWatch) reached(n model.EntryVM, v uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.seen[n] {
		if s.version >= v {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// awaitInForce waits until a version that was accepted at a time is in force at the
// entry VMs, and requires that it took at most inForceWithin at each. It returns the
// longest time.
func (w *versionWatch) awaitInForce(ctx context.Context, v uint64, accepted time.Time, entries []model.EntryVM) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	var longest time.Duration
	for _, n := range entries {
		took, ok := w.await(ctx, n, v, accepted)
		if !ok {
			w.e.Fail(FaultVersionLate, "version %d is not in force at %s %v after it was accepted", v, n, time.Since(accepted))
			continue
		}
		if took > inForceWithin {
			w.e.Fail(FaultVersionLate, "version %d came into force at %s %v after it was accepted", v, n, took)
		}
		longest = max(longest, took)
	}
	return longest
}

func (w *versionWatch) await(ctx context.Context, n model.EntryVM, v uint64, accepted time.Time) (time.Duration, bool) {
	for {
		if at, ok := w.reached(n, v); ok {
			return max(0, at.Sub(accepted)), true
		}
		if ctx.Err() != nil {
			return 0, false
		}
		w.e.Wait(ctx, versionPoll)
	}
}

// awaitAny waits until an entry VM shows a version in force after a time, and returns
// how long after.
func (w *versionWatch) awaitAny(ctx context.Context, n model.EntryVM, after time.Time) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	for {
		w.mu.Lock()
		at := w.readAt[n]
		w.mu.Unlock()
		if at.After(after) {
			return at.Sub(after), true
		}
		if ctx.Err() != nil {
			return 0, false
		}
		w.e.Wait(ctx, versionPoll)
	}
}
