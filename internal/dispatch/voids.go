package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/platform"
)

// release marks a claim as released in the background, retrying until the table accepts
// the write. The job of the claim must have ended without running.
func (c *claimer) release(cl claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked(cl)
}

func (c *claimer) releaseLocked(cl claim) {
	if len(c.releases) >= maxReleases {
		c.log.Warn().Str("job", string(cl.row.Job)).Msg("too many claims wait for their release; this request id remains claimed")
		return
	}
	c.releases = append(c.releases, cl)
	if !c.releasing {
		c.releasing = true
		c.markBusyLocked()
		go c.releaseLoop()
	}
}

// markBusyLocked records that a goroutine has work.
func (c *claimer) markBusyLocked() {
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
}

// markIdleLocked wakes up flush if neither goroutine has work left.
func (c *claimer) markIdleLocked() {
	if !c.claiming && !c.releasing {
		close(c.idle)
		c.idle = nil
	}
}

// flush waits until no claim is pending and no release is left. It returns ctx's error if
// ctx ends first.
func (c *claimer) flush(ctx context.Context) error {
	c.mu.Lock()
	done := c.idle
	c.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *claimer) releaseLoop() {
	delay := releaseFirstDelay
	for {
		batch := c.nextReleases()
		if batch == nil {
			return
		}
		failed := c.releaseBatch(batch)
		if len(failed) == 0 {
			delay = releaseFirstDelay
			time.Sleep(claimInterval)
			continue
		}
		c.mu.Lock()
		c.releases = append(failed, c.releases...)
		c.mu.Unlock()
		time.Sleep(jitter(delay))
		delay = min(2*delay, releaseMaxDelay)
	}
}

// nextReleases returns a batch of claims with distinct keys, or nil if none is left; the
// loop then ends.
func (c *claimer) nextReleases() []claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.releases) == 0 {
		c.releasing = false
		c.markIdleLocked()
		return nil
	}
	var batch, rest []claim
	seen := map[string]bool{}
	for _, v := range c.releases {
		if len(batch) < claimBatch && !seen[v.key] {
			seen[v.key] = true
			batch = append(batch, v)
			continue
		}
		rest = append(rest, v)
	}
	c.releases = rest
	return batch
}

// releaseBatch releases claims in one transaction and returns those to retry.
func (c *claimer) releaseBatch(batch []claim) (failed []claim) {
	var txn platform.Txn
	var sent []claim
	for _, v := range batch {
		if v.version == 0 {
			row, cur, err := c.get(v.key)
			if errors.Is(err, errClaimMalformed) {
				// No claim of this process: those are well-formed. With the row in place a delayed
				// write of the claim fails.
				c.log.Error().Err(err).Str("job", string(v.row.Job)).Msg("claim not released; its request id remains claimed")
				continue
			}
			if err != nil {
				failed = append(failed, v)
				continue
			}
			if row.Version != 0 && (cur.Job != v.row.Job || cur.Released) {
				continue
			}
			// A missing row is inserted as released, so that the condition of a delayed
			// write of the claim fails.
			v.version = row.Version
		}
		row := v.row
		row.Released = true
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: v.key, Version: v.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: v.key, Value: row.encode()})
		sent = append(sent, v)
	}
	if len(sent) == 0 {
		return failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	if _, err := c.table.Commit(ctx, platform.PriorityClaim, txn); err != nil {
		c.log.Warn().Err(err).Int("claims", len(sent)).Msg("claims not released; retrying")
		for _, v := range sent {
			if errors.Is(err, platform.ErrConflict) || !certainlyNotStored(err) {
				v.version = 0 // forces another read of the row
			}
			failed = append(failed, v)
		}
	}
	return failed
}
