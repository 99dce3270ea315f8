package entry

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/guard"
	"boragepulley/internal/lease"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

const (
	// operatorTable has the configuration and the maintenance waves.
	operatorTable = "op"
	configKey     = operatorTable + "/config"
	wavePrefix    = operatorTable + "/wave/"
	// operatorWait is how long the store may hold a call; a silent connection is noticed a
	// second later, and a configuration has to be in force within 2 s of a change.
	operatorWait = 1500 * time.Millisecond
	// operatorTimeout bounds the call as a whole.
	operatorTimeout = 4 * time.Second
	// operatorRetry is the pause after a failed call.
	operatorRetry = 200 * time.Millisecond
)

// watchOperators follows what operators write.
func (n *Node) watchOperators() {
	var after uint64
	whole := true
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, operatorTimeout)
		var c platform.Changes
		var err error
		if whole {
			c, err = n.d.Feed.ReadAll(ctx, platform.PriorityConfig, operatorTable)
		} else {
			c, err = n.d.Feed.Changes(ctx, platform.PriorityConfig, operatorTable, after, operatorWait)
		}
		cancel()
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			n.log.Info().Uint64("after", after).Msg("Entry: history gone, operators' rows are read as a whole.")
			whole = true
			continue
		case err != nil:
			if !n.awaitStore() {
				return
			}
			continue
		}
		whole, after = false, max(after, c.Version)
		for _, r := range c.Rows {
			_ = guard.Recover(n.log, "row "+r.Key, func() { n.takeOperatorRow(r) }) // the other rows hold
		}
		n.reached.Store(true)
	}
}

// checkTimeout bounds a read that finds out whether the store is back.
const checkTimeout = 900 * time.Millisecond

// awaitStore returns once the store answers a read; it reports false when the node stops.
// While the store does not answer, only such reads are sent to it, see ProbeByReads.
func (n *Node) awaitStore() bool {
	began := n.d.Now()
	for n.sleep(operatorRetry) {
		ctx, cancel := context.WithTimeout(n.ctx, checkTimeout)
		_, err := n.d.Table.Get(ctx, platform.PriorityConfig, lease.Key)
		cancel()
		if err == nil {
			n.away.Store(0)
			if took := n.d.Now() - began; took > tellAway {
				n.log.Info().Dur("away", took).Msg("Entry: store answers again.")
			}
			return true
		}
		if n.away.CompareAndSwap(0, int64(began)) {
			n.log.Info().Err(err).Msg("Entry: store does not answer.")
		}
	}
	return false
}

// tellAway is how long the store must have been away for its return to be logged.
const tellAway = 500 * time.Millisecond

const (
	// leastComeBack and mostComeBack bound the pause that callers are asked for while the
	// store is away. Callers of the users' sheets try five times: with 1, 1, 2 and 4 s they
	// outlast an outage of 8 s, and the store's return is seen within 4 s.
	leastComeBack = time.Second
	mostComeBack  = 4 * time.Second
)

// comeBack returns when a caller should come back while the store is away: an outage goes on
// for about as long as it has lasted, as far as anybody can tell.
func (n *Node) comeBack() time.Duration {
	since := n.away.Load()
	if since == 0 {
		return leastComeBack
	}
	return min(max(n.d.Now()-time.Duration(since), leastComeBack), mostComeBack)
}

func (n *Node) takeOperatorRow(r platform.Row) {
	switch {
	case r.Key == configKey && r.Value != nil:
		n.takeConfig(r.Value, "store")
	case strings.HasPrefix(r.Key, wavePrefix):
		n.takeWave(r)
	}
}

// takeConfig puts a configuration in force if it is newer.
func (n *Node) takeConfig(value []byte, source string) {
	c, err := n.d.DecodeConfig(value)
	if err != nil {
		n.log.Error().Err(err).Str("source", source).Msg("Entry: unreadable configuration passed over.")
		return
	}
	next := &stored{c, value}
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

func (n *Node) takeWave(r platform.Row) {
	waves := map[int64]site.Wave{}
	if old := n.waves.Load(); old != nil {
		waves = maps.Clone(*old)
	}
	if r.Value == nil {
		return // a wave that operators take back is not part of the protocol
	}
	w, err := n.d.Codec.Wave(r.Value)
	if err != nil {
		n.log.Error().Err(err).Str("row", r.Key).Msg("Entry: unreadable wave passed over.")
		return
	}
	waves[w.ID] = w
	n.waves.Store(&waves)
	n.log.Info().Int64("wave", w.ID).Int("machines", len(w.Machines)).Dur("duration", w.Duration).Int("at_once", w.MaxDown).Msg("Entry: maintenance wave.")
}
