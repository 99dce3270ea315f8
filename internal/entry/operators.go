package entry

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/guard"
	"boragepulley/internal/lease"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

const (
	// operatorTable contains the configuration, the maintenance waves and the evacuations.
	operatorTable = evacuation.Table
	configKey     = operatorTable + "/config"
	wavePrefix    = operatorTable + "/wave/"
	// operatorLongPoll is how long the store may delay its response until there are changes. A
	// broken connection is detected up to a second later, and a changed configuration has to be in
	// force within 2 s.
	operatorLongPoll = 1500 * time.Millisecond
	// operatorTimeout bounds the whole call.
	operatorTimeout = 4 * time.Second
	// operatorRetryDelay is the pause after a failed call.
	operatorRetryDelay = 200 * time.Millisecond
)

// followOperators follows the changes of the operators' table.
func (n *Node) followOperators() {
	var after uint64
	readAll := true
	var own *evacuation.State // as read by this function
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, operatorTimeout)
		var c platform.Changes
		var err error
		if readAll {
			c, err = n.deps.Feed.ReadAll(ctx, platform.PriorityConfig, operatorTable)
		} else {
			c, err = n.deps.Feed.Changes(ctx, platform.PriorityConfig, operatorTable, after, operatorLongPoll)
		}
		cancel()
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			n.log.Info().Uint64("after", after).Msg("Entry: change history is gone; reading all operator rows.")
			readAll = true
			continue
		case err != nil:
			n.readFailed.Store(true)
			if !n.awaitStore() {
				return
			}
			continue
		}
		// Evacuations come first: they must be in force within a few seconds.
		_ = guard.Recover(n.log, "evacuations", func() { own = n.followEvacuations(own, c, readAll) })
		readAll, after = false, max(after, c.Version)
		for _, r := range c.Rows {
			_ = guard.Recover(n.log, "row "+r.Key, func() { n.applyOperatorRow(r) }) // a panic in one row must not affect the others
		}
		n.synced.Store(true)
		n.updateReadiness()
	}
}

// storeCheckTimeout bounds a read that checks whether the store answers again.
const storeCheckTimeout = 900 * time.Millisecond

// slowReadInterval is the least time between two ordinary reads while the store does not answer. Each costs up
// to three reads of a store that is away for all; it is longer than storeCheckTimeout, so that there is one at a time.
const slowReadInterval = time.Second

// awaitStore returns once the store answers a read, directly or through a peer. It reports false when the
// node stops. While the store does not answer, only such reads are sent to it, see ProbeOnlyByReads.
//
// Peers answer a probe within 150 ms, also if the store takes longer. After a failed probe, an ordinary read
// is made beside the next ones, because the operators' rows can be followed if it succeeds.
func (n *Node) awaitStore() bool {
	began := n.deps.Now()
	n.readiness.awaiting.Store(true)
	defer n.readiness.awaiting.Store(false)
	n.wakeStoreWatch()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	var answered atomic.Bool
	var nextRead time.Duration
	for n.sleep(operatorRetryDelay) {
		err := n.probeStore()
		if err == nil || answered.Load() {
			n.outageSince.Store(0)
			if took := n.deps.Now() - began; took > minLoggedOutage {
				n.log.Info().Dur("away", took).Msg("Entry: store answers again.")
			}
			return true
		}
		if n.outageSince.CompareAndSwap(0, int64(began)) {
			n.log.Info().Err(err).Msg("Entry: store does not answer.")
		}
		if now := n.deps.Now(); now >= nextRead {
			nextRead = now + slowReadInterval
			n.runOnce("a read of the store", func() {
				ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
				defer cancel()
				if _, err := n.deps.Table.Get(ctx, platform.PriorityConfig, lease.Key); err == nil {
					answered.Store(true)
				}
			})
		}
	}
	return false
}

// minLoggedOutage is the least duration of an outage whose end is logged.
const minLoggedOutage = 500 * time.Millisecond

const (
	// minRetryAfter and maxRetryAfter limit the delay after which callers are asked to retry while
	// the store is unavailable. By the users' specification callers try five times: with delays of
	// 1, 1, 2 and 4 s they outlast an outage of 8 s, and they use the store again within 4 s of its
	// return.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryAfter returns when a caller should retry while the store is unavailable: after as long as
// the outage has lasted so far, which is the best available estimate of its remaining duration.
func (n *Node) retryAfter() time.Duration {
	since := n.outageSince.Load()
	if since == 0 {
		return minRetryAfter
	}
	return min(max(n.deps.Now()-time.Duration(since), minRetryAfter), maxRetryAfter)
}

func (n *Node) applyOperatorRow(r platform.Row) {
	switch {
	case r.Key == configKey && r.Value != nil:
		n.applyConfig(r.Value, "store")
	case strings.HasPrefix(r.Key, wavePrefix):
		n.applyWave(r)
	}
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (n *Node) applyConfig(value []byte, source string) {
	c, err := n.deps.DecodeConfig(value)
	if err != nil {
		n.log.Error().Err(err).Str("source", source).Msg("Entry: ignoring unreadable configuration.")
		return
	}
	c.AppliedAt = time.Now()
	next := &storedConfig{c, value}
	for {
		old := n.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if n.config.CompareAndSwap(old, next) {
			break
		}
	}
	n.log.Info().Uint64("version", c.Version).Int("queues", len(c.Queues)).Int("teams", len(c.Teams)).Str("source", source).Msg("Entry: configuration in force.")
}

func (n *Node) applyWave(r platform.Row) {
	waves := map[int64]site.Wave{}
	if old := n.waves.Load(); old != nil {
		waves = maps.Clone(*old)
	}
	if r.Value == nil {
		return // the protocol does not provide for the removal of a wave
	}
	w, err := n.deps.Codec.Wave(r.Value)
	if err != nil {
		n.log.Error().Err(err).Str("row", r.Key).Msg("Entry: ignoring unreadable wave.")
		return
	}
	waves[w.ID] = w
	n.waves.Store(&waves)
	n.log.Info().Int64("wave", w.ID).Int("machines", len(w.Machines)).Dur("duration", w.Duration).Int("at_once", w.MaxDown).Msg("Entry: maintenance wave received.")
}
