package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/platform"
)

// void marks a claim as void when the table allows it. The claim's job must have ended
// without a run.
func (c *claimer) void(v claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voidLocked(v)
}

func (c *claimer) voidLocked(v claim) {
	if len(c.voids) >= maxVoids {
		c.log.Warn().Str("job", string(v.row.Job)).Msg("too many claims wait to be voided; this request id stays used")
		return
	}
	c.voids = append(c.voids, v)
	if !c.voiding {
		c.voiding = true
		c.busyLocked()
		go c.voidLoop()
	}
}

// busyLocked notes that a goroutine has work.
func (c *claimer) busyLocked() {
	if c.settled == nil {
		c.settled = make(chan struct{})
	}
}

// quietLocked notes that a goroutine has no work left.
func (c *claimer) quietLocked() {
	if !c.claiming && !c.voiding {
		close(c.settled)
		c.settled = nil
	}
}

// flush waits until no claim is on its way or waits to be voided. Error: ctx's.
func (c *claimer) flush(ctx context.Context) error {
	c.mu.Lock()
	done := c.settled
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

func (c *claimer) voidLoop() {
	delay := voidFirstDelay
	for {
		batch := c.nextVoids()
		if batch == nil {
			return
		}
		left := c.voidBatch(batch)
		if len(left) == 0 {
			delay = voidFirstDelay
			time.Sleep(claimSpacing)
			continue
		}
		c.mu.Lock()
		c.voids = append(left, c.voids...)
		c.mu.Unlock()
		time.Sleep(jitter(delay))
		delay = min(2*delay, voidMaxDelay)
	}
}

// nextVoids takes a batch with different keys, or ends the loop and returns nil.
func (c *claimer) nextVoids() []claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.voids) == 0 {
		c.voiding = false
		c.quietLocked()
		return nil
	}
	var batch, rest []claim
	seen := map[string]bool{}
	for _, v := range c.voids {
		if len(batch) < claimBatch && !seen[v.key] {
			seen[v.key] = true
			batch = append(batch, v)
			continue
		}
		rest = append(rest, v)
	}
	c.voids = rest
	return batch
}

// voidBatch voids claims in one transaction and returns those to try again.
func (c *claimer) voidBatch(batch []claim) (left []claim) {
	var txn platform.Txn
	var sent []claim
	for _, v := range batch {
		if v.version == 0 {
			row, cur, err := c.get(v.key)
			if err != nil {
				left = append(left, v)
				continue
			}
			if row.Version != 0 && (cur.Job != v.row.Job || cur.Void) {
				continue
			}
			// A missing row is inserted as void: a claim write that is still on its way
			// then fails on its condition.
			v.version = row.Version
		}
		row := v.row
		row.Void = true
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: v.key, Version: v.version})
		txn.Puts = append(txn.Puts, platform.Put{Key: v.key, Value: row.encode()})
		sent = append(sent, v)
	}
	if len(sent) == 0 {
		return left
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	if _, err := c.table.Commit(ctx, platform.PriorityClaim, txn); err != nil {
		c.log.Warn().Err(err).Int("claims", len(sent)).Msg("claims not voided; trying again")
		for _, v := range sent {
			if errors.Is(err, platform.ErrConflict) || !certainlyNotStored(err) {
				v.version = 0 // read the row again
			}
			left = append(left, v)
		}
	}
	return left
}
