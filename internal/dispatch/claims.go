package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

const (
	// claimInterval is the minimum time between claim transactions: 20 per second.
	claimInterval = 50 * time.Millisecond
	// claimBatch is the maximum number of claims in one transaction.
	claimBatch = 100
	// maxResolveEach is the largest batch that is resolved row by row after a conflict.
	// Larger ones are halved, which costs fewer calls than reading every row.
	maxResolveEach = 4
	// claimAttempts is the maximum number of attempts to determine whether a claim was stored.
	claimAttempts = 3
	// claimCallTimeout is the timeout of one call to the table.
	claimCallTimeout = 2 * time.Second
	// Back-off between attempts to release claims while the table is unavailable.
	releaseFirstDelay = 250 * time.Millisecond
	releaseMaxDelay   = 5 * time.Second
	// maxReleases is the maximum number of claims that wait for their release. A claim that
	// is dropped from the list remains valid, which blocks its request id but cannot cause a
	// second run.
	maxReleases = 10_000
)

// errClaimMalformed means that a row in place of a claim cannot be decoded.
var errClaimMalformed = errors.New("malformed claim")

var errClaimUnknown = errors.New("it is not known whether the claim was stored")

// claimRow is the value of the table row "claim/<team>/<hash of id>".
type claimRow struct {
	Job model.JobID `json:"job"`
	// Fingerprint identifies queue, kind and body of the request.
	Fingerprint string `json:"fp"`
	// Released is set once the job certainly did not and will not run. Another job may
	// then take over the claim.
	Released bool `json:"void,omitempty"`
}

// claimKey returns the row key of a request's claim. Requests to open queues have no team;
// their request ids are scoped to the queue instead.
func claimKey(r model.Request) string {
	id := r.RequestID
	if r.Team == "" {
		id = string(r.Queue) + "\x00" + id
	}
	h := sha256.Sum256([]byte(id))
	return "claim/" + string(r.Team) + "/" + hex.EncodeToString(h[:16])
}

// claimResult says whether the claim is held by the job or taken by another one (row). If
// it is neither, err says why.
type claimResult struct {
	held    bool
	taken   bool
	version uint64
	row     claimRow
	err     error
}

// claimRequest is one pending claim.
type claimRequest struct {
	key  string
	row  claimRow
	done chan claimResult
	// abandoned is set if the job no longer waits; guarded by the claimer's lock.
	abandoned bool
	// mayBeStored is set while a write of unknown outcome may have stored the claim; owned
	// by the claimer's goroutine.
	mayBeStored bool
}

// claimer batches claims into transactions: claims that arrive during a transaction go
// into the next one. Its goroutines exist only while there is work.
type claimer struct {
	table platform.Table
	log   zerolog.Logger

	mu        sync.Mutex // guards the fields below
	pending   []*claimRequest
	claiming  bool
	releases  []claim
	releasing bool
	// idle is closed when neither goroutine has work left; it is nil while both are idle.
	idle chan struct{}

	// nextTxnAt is the earliest start of the next claim transaction; owned by the claim
	// goroutine, of which there is at most one at a time.
	nextTxnAt time.Time
}

func newClaimer(t platform.Table, log zerolog.Logger) *claimer {
	return &claimer{table: t, log: log}
}

// claim inserts the row unless it exists, and waits for the result. If ctx ends first, the
// claim is released as soon as it is known whether it was stored.
func (c *claimer) claim(ctx context.Context, key string, row claimRow) claimResult {
	req := &claimRequest{key: key, row: row, done: make(chan claimResult, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, req)
	if !c.claiming {
		c.claiming = true
		c.markBusyLocked()
		go c.claimLoop()
	}
	c.mu.Unlock()
	select {
	case res := <-req.done:
		return res
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case res := <-req.done:
		return res
	default:
		req.abandoned = true
		return claimResult{err: context.Cause(ctx)}
	}
}

func (c *claimer) claimLoop() {
	for {
		c.waitForNextTxn()
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		c.commitBatch(batch)
	}
}

// waitForNextTxn waits until the next transaction may start, so that claims that arrive
// meanwhile become part of it.
func (c *claimer) waitForNextTxn() {
	c.mu.Lock()
	waiting := len(c.pending) > 0
	c.mu.Unlock()
	if waiting {
		time.Sleep(time.Until(c.nextTxnAt))
	}
}

// nextBatch removes up to claimBatch claims with distinct keys from the pending ones: a
// transaction cannot insert a row twice.
func (c *claimer) nextBatch() []*claimRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*claimRequest
	seen := map[string]bool{}
	for _, a := range c.pending {
		if a.abandoned {
			continue
		}
		if len(batch) < claimBatch && !seen[a.key] {
			seen[a.key] = true
			batch = append(batch, a)
			continue
		}
		rest = append(rest, a)
	}
	c.pending = rest
	if len(batch) == 0 {
		c.claiming = false
		c.markIdleLocked()
	}
	return batch
}

// commitBatch commits a batch, splitting it on conflicts, and delivers a result for each
// of its claims.
func (c *claimer) commitBatch(batch []*claimRequest) {
	groups := [][]*claimRequest{batch}
	for attempts := 0; len(groups) > 0; {
		g := groups[0]
		groups = groups[1:]
		versions, err := c.commit(g)
		switch {
		case err == nil:
			for _, a := range g {
				c.deliver(a, claimResult{held: true, version: versions[a.key]})
			}
		case errors.Is(err, platform.ErrConflict) && len(g) > maxResolveEach:
			groups = append([][]*claimRequest{g[:len(g)/2], g[len(g)/2:]}, groups...)
		case errors.Is(err, platform.ErrConflict):
			c.resolveEach(g)
		case certainlyNotStored(err):
			c.fail(g, err)
		default:
			attempts++
			if c.readBack(g, attempts) {
				groups = append([][]*claimRequest{g}, groups...)
			}
		}
	}
}

func certainlyNotStored(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

func (c *claimer) commit(g []*claimRequest) (map[string]uint64, error) {
	txn := platform.Txn{}
	for _, a := range g {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: a.key})
		txn.Puts = append(txn.Puts, platform.Put{Key: a.key, Value: a.row.encode()})
	}
	versions, err := c.commitTxn(txn)
	if err != nil && !errors.Is(err, platform.ErrConflict) && !certainlyNotStored(err) {
		for _, a := range g {
			a.mayBeStored = true
		}
	}
	return versions, err
}

func (c *claimer) commitTxn(txn platform.Txn) (map[string]uint64, error) {
	time.Sleep(time.Until(c.nextTxnAt))
	c.nextTxnAt = time.Now().Add(claimInterval)
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	return c.table.Commit(ctx, platform.PriorityClaim, txn)
}

func (c *claimer) get(key string) (platform.Row, claimRow, error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, platform.PriorityClaim, key)
	if err != nil || row.Version == 0 {
		return row, claimRow{}, err
	}
	var v claimRow
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return row, v, errors.Wrapf(errClaimMalformed, "row %s: %v", key, err)
	}
	return row, v, nil
}

// readBack reads one row to determine whether a transaction of unknown outcome took effect.
// It reports whether the group must be committed again. That is safe: if the first write
// still arrives, either it or the repetition fails on its conditions.
func (c *claimer) readBack(g []*claimRequest, attempts int) (retry bool) {
	row, v, err := c.get(g[0].key)
	switch {
	case err != nil:
		c.fail(g, err)
	case row.Version != 0 && v.Job == g[0].row.Job && !v.Released:
		for _, a := range g {
			a.mayBeStored = false
			c.deliver(a, claimResult{held: true})
		}
	case attempts >= claimAttempts:
		c.fail(g, errClaimUnknown)
	default:
		return true
	}
	return false
}

// resolveEach reads the rows of a small group after a conflict, takes over released claims
// and inserts missing ones.
func (c *claimer) resolveEach(g []*claimRequest) {
	for _, a := range g {
		c.deliver(a, c.resolveOne(a))
	}
}

func (c *claimer) resolveOne(a *claimRequest) claimResult {
	last := errClaimUnknown
	for range claimAttempts {
		row, v, err := c.get(a.key)
		switch {
		case err != nil:
			return claimResult{err: err}
		case row.Version != 0 && v.Job == a.row.Job && !v.Released:
			a.mayBeStored = false
			return claimResult{held: true, version: row.Version}
		case row.Version != 0 && !v.Released:
			// With a row of another job in place, the condition of a delayed write of this
			// claim fails.
			a.mayBeStored = false
			return claimResult{taken: true, row: v}
		}
		versions, err := c.commitTxn(platform.Txn{
			Conditions: []platform.Condition{{Key: a.key, Version: row.Version}},
			Puts:       []platform.Put{{Key: a.key, Value: a.row.encode()}},
		})
		switch {
		case err == nil:
			a.mayBeStored = false
			return claimResult{held: true, version: versions[a.key]}
		case certainlyNotStored(err):
			return claimResult{err: err}
		case !errors.Is(err, platform.ErrConflict):
			a.mayBeStored = true
			last = err
		}
	}
	return claimResult{err: last}
}

func (r claimRow) encode() json.RawMessage {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claim row: " + err.Error()) // cannot happen: the row has only strings and a bool
	}
	return b
}

func (c *claimer) fail(g []*claimRequest, err error) {
	for _, a := range g {
		c.deliver(a, claimResult{err: err})
	}
}

// deliver passes a claim's result to its job. A claim that is or may be stored but that the
// job does not use is released.
func (c *claimer) deliver(a *claimRequest, res claimResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.abandoned {
		a.done <- res
	}
	if (res.held && a.abandoned) || (res.err != nil && a.mayBeStored) {
		c.releaseLocked(claim{key: a.key, row: a.row, version: res.version})
	}
}
