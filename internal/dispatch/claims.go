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
	// claimSpacing allows 20 claim transactions per second.
	claimSpacing = 50 * time.Millisecond
	// claimBatch bounds the claims of one transaction.
	claimBatch = 100
	// claimSingles is the size below which a batch in conflict is resolved row by row.
	// Larger ones are halved, which costs fewer calls than reading every row.
	claimSingles = 4
	// claimTries bounds the attempts to learn the fate of one claim.
	claimTries = 3
	// claimCallTimeout bounds one call to the table.
	claimCallTimeout = 2 * time.Second
	// Back-off of the attempts to void claims while the table is down.
	voidFirstDelay = 250 * time.Millisecond
	voidMaxDelay   = 5 * time.Second
	// maxVoids bounds the claims that wait to be voided. A claim that is dropped stays
	// valid, which blocks its request id but can never cause a second run.
	maxVoids = 10_000
)

var errClaimUnknown = errors.New("the table does not tell whether the claim was stored")

// claimRow is the value of the table row "claim/<team>/<hash of id>".
type claimRow struct {
	Job model.JobID `json:"job"`
	// Fingerprint identifies queue, kind and body of the request.
	Fingerprint string `json:"fp"`
	// Void is set once the job certainly did not and will not run.
	Void bool `json:"void,omitempty"`
}

// claimKey returns the row key of a request's claim. Queues open to all have no team;
// their ids are separate per queue.
func claimKey(r model.Request) string {
	id := r.RequestID
	if r.Team == "" {
		id = string(r.Queue) + "\x00" + id
	}
	h := sha256.Sum256([]byte(id))
	return "claim/" + string(r.Team) + "/" + hex.EncodeToString(h[:16])
}

// claimResult says whether a claim is held, is taken by another job (row), or is
// neither (err).
type claimResult struct {
	held    bool
	taken   bool
	version uint64
	row     claimRow
	err     error
}

// claimAsk is one claim on its way to the table.
type claimAsk struct {
	key  string
	row  claimRow
	done chan claimResult
	// abandoned is set if the job no longer waits; guarded by the claimer's lock.
	abandoned bool
	// maybe is set while a write with a lost answer may have stored the claim; owned by
	// the claimer's goroutine.
	maybe bool
}

// claimer batches claims into transactions: while one is on its way, the next one
// collects. Its goroutines exist only while there is work.
type claimer struct {
	table platform.Table
	log   zerolog.Logger

	mu       sync.Mutex // guards the fields below
	pending  []*claimAsk
	claiming bool
	voids    []claim
	voiding  bool
	// settled is closed when neither goroutine has work left; nil while both are idle.
	settled chan struct{}

	// nextTxn is when the next claim transaction may start; owned by the claim goroutine,
	// of which there is at most one at a time.
	nextTxn time.Time
}

func newClaimer(t platform.Table, log zerolog.Logger) *claimer {
	return &claimer{table: t, log: log}
}

// claim inserts the row unless it exists, and waits until ctx ends. If ctx ends first,
// the claim is voided as soon as its fate is known.
func (c *claimer) claim(ctx context.Context, key string, row claimRow) claimResult {
	ask := &claimAsk{key: key, row: row, done: make(chan claimResult, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, ask)
	if !c.claiming {
		c.claiming = true
		c.busyLocked()
		go c.claimLoop()
	}
	c.mu.Unlock()
	select {
	case res := <-ask.done:
		return res
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case res := <-ask.done:
		return res
	default:
		ask.abandoned = true
		return claimResult{err: context.Cause(ctx)}
	}
}

func (c *claimer) claimLoop() {
	for {
		c.awaitTurn()
		batch := c.nextBatch()
		if len(batch) == 0 {
			return
		}
		c.resolve(batch)
	}
}

// awaitTurn waits until the next transaction may start, so that claims which arrive
// meanwhile are part of it.
func (c *claimer) awaitTurn() {
	c.mu.Lock()
	waiting := len(c.pending) > 0
	c.mu.Unlock()
	if waiting {
		time.Sleep(time.Until(c.nextTxn))
	}
}

// nextBatch takes up to claimBatch claims with different keys: a transaction cannot
// insert a row twice.
func (c *claimer) nextBatch() []*claimAsk {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*claimAsk
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
		c.quietLocked()
	}
	return batch
}

// resolve commits a batch and delivers a result for each of its claims.
func (c *claimer) resolve(batch []*claimAsk) {
	groups := [][]*claimAsk{batch}
	for tries := 0; len(groups) > 0; {
		g := groups[0]
		groups = groups[1:]
		versions, err := c.commit(g)
		switch {
		case err == nil:
			for _, a := range g {
				c.deliver(a, claimResult{held: true, version: versions[a.key]})
			}
		case errors.Is(err, platform.ErrConflict) && len(g) > claimSingles:
			groups = append([][]*claimAsk{g[:len(g)/2], g[len(g)/2:]}, groups...)
		case errors.Is(err, platform.ErrConflict):
			c.resolveEach(g)
		case certainlyNotStored(err):
			c.fail(g, err)
		default:
			tries++
			if c.readBack(g, tries) {
				groups = append([][]*claimAsk{g}, groups...)
			}
		}
	}
}

func certainlyNotStored(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrBudget)
}

func (c *claimer) commit(g []*claimAsk) (map[string]uint64, error) {
	txn := platform.Txn{}
	for _, a := range g {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: a.key})
		txn.Puts = append(txn.Puts, platform.Put{Key: a.key, Value: a.row.encode()})
	}
	versions, err := c.commitTxn(txn)
	if err != nil && !errors.Is(err, platform.ErrConflict) && !certainlyNotStored(err) {
		for _, a := range g {
			a.maybe = true
		}
	}
	return versions, err
}

func (c *claimer) commitTxn(txn platform.Txn) (map[string]uint64, error) {
	time.Sleep(time.Until(c.nextTxn))
	c.nextTxn = time.Now().Add(claimSpacing)
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
		return row, v, errors.Wrapf(err, "row %s", key)
	}
	return row, v, nil
}

// readBack learns from one row what became of a whole transaction whose answer was
// lost. It reports whether the group must be committed again: a write that may still
// arrive then fails on its conditions, or makes the repetition fail on them.
func (c *claimer) readBack(g []*claimAsk, tries int) (again bool) {
	row, v, err := c.get(g[0].key)
	switch {
	case err != nil:
		c.fail(g, err)
	case row.Version != 0 && v.Job == g[0].row.Job && !v.Void:
		for _, a := range g {
			a.maybe = false
			c.deliver(a, claimResult{held: true})
		}
	case tries >= claimTries:
		c.fail(g, errClaimUnknown)
	default:
		return true
	}
	return false
}

// resolveEach reads the rows of a small group in conflict, takes over void claims and
// inserts missing ones.
func (c *claimer) resolveEach(g []*claimAsk) {
	for _, a := range g {
		c.deliver(a, c.resolveOne(a))
	}
}

func (c *claimer) resolveOne(a *claimAsk) claimResult {
	last := errClaimUnknown
	for range claimTries {
		row, v, err := c.get(a.key)
		switch {
		case err != nil:
			return claimResult{err: err}
		case row.Version != 0 && v.Job == a.row.Job && !v.Void:
			a.maybe = false
			return claimResult{held: true, version: row.Version}
		case row.Version != 0 && !v.Void:
			// A row of another job also fails the conditions of a write of ours that may
			// still be on its way.
			a.maybe = false
			return claimResult{taken: true, row: v}
		}
		versions, err := c.commitTxn(platform.Txn{
			Conditions: []platform.Condition{{Key: a.key, Version: row.Version}},
			Puts:       []platform.Put{{Key: a.key, Value: a.row.encode()}},
		})
		switch {
		case err == nil:
			a.maybe = false
			return claimResult{held: true, version: versions[a.key]}
		case certainlyNotStored(err):
			return claimResult{err: err}
		case !errors.Is(err, platform.ErrConflict):
			a.maybe = true
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

func (c *claimer) fail(g []*claimAsk, err error) {
	for _, a := range g {
		c.deliver(a, claimResult{err: err})
	}
}

// deliver gives a claim's result to its job. A claim that the job does not use but
// that is or may be stored is voided.
func (c *claimer) deliver(a *claimAsk, res claimResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.abandoned {
		a.done <- res
	}
	if (res.held && a.abandoned) || (res.err != nil && a.maybe) {
		c.voidLocked(claim{key: a.key, row: a.row, version: res.version})
	}
}
