package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// Guards against an apply that is stored twice, or reported as failed, when the answer to
// the write of the head row is lost.
func TestLostHeadAnswer(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
		cl.addSite("v1", 8, nil)
		cl.start("a-1")
		cl.store.loseAnswer = func(x platform.Txn) bool { return x.Puts[0].Key == headKey }
		res, err := cl.apply("a-1", "v1", 0)
		require.NoError(t, err)
		require.Equal(t, uint64(1), res.Version)
		again, err := cl.apply("a-1", "v1", 0)
		require.NoError(t, err)
		require.Equal(t, res, again)
		require.Equal(t, 1, cl.store.commits[headKey])
	})
}

// Guards against two concurrent applies that both succeed or both fail, and against a
// conflict error that does not name the other operator.
func TestConcurrentApplies(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.addSite("v1", 8, nil)
		cl.addSite("v2", 8, nil)
		cl.startAll()
		type outcome struct {
			entry model.EntryVM
			res   ApplyResult
			err   error
		}
		ch := make(chan outcome, 2)
		for entry, text := range map[model.EntryVM]string{"a-1": "v1", "a-2": "v2"} {
			go func() {
				res, err := cl.apply(entry, text, 0)
				ch <- outcome{entry, res, err}
			}()
		}
		x, y := <-ch, <-ch
		if x.err != nil {
			x, y = y, x
		}
		require.NoError(t, x.err)
		var conflict *ConflictError
		require.True(t, errors.As(y.err, &conflict), "%v", y.err)
		require.Equal(t, uint64(1), conflict.Head.Version)
		require.Equal(t, "op-"+string(x.entry), conflict.Head.Operator)
		require.Equal(t, x.res.Time, conflict.Head.Time)
		// A repeated apply is recognised as done after a later version was applied.
		_, err := cl.apply(y.entry, "v1", 1)
		require.NoError(t, err)
		again, err := cl.apply(x.entry, map[model.EntryVM]string{"a-1": "v1", "a-2": "v2"}[x.entry], 0)
		require.NoError(t, err)
		require.Equal(t, uint64(1), again.Version)
		_, err = cl.apply("a-1", "unknown", 2)
		require.ErrorIs(t, err, ErrInvalidConfig)
	})
}

// Guards against a configuration that reverts to an older version when a peer's answer with
// the older version arrives late. The invariant check in the program panics in tests.
func TestConfigNeverStepsBack(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.startServing(8, 10)
		cl.addSite("v2", 8, nil)
		cl.addSite("v3", 8, nil)
		cl.mu.Lock()
		cl.replyDelay = func(_, to model.EntryVM, method string) time.Duration {
			if method == peer.MethodConfigGet && to == "a-1" && cl.store.commits[headKey] == 2 {
				return 1800 * time.Millisecond // a-2 gets version 2 after version 3
			}
			return 0
		}
		cl.mu.Unlock()
		_, err := cl.apply("a-1", "v2", 1)
		require.NoError(t, err)
		cl.advance(300 * time.Millisecond)
		_, err = cl.apply("a-1", "v3", 2)
		require.NoError(t, err)
		cl.awaitConfig(3, 3*time.Second, "a-1", "a-2")
		for range 300 {
			cl.advance(10 * time.Millisecond)
			for _, n := range []model.EntryVM{"a-1", "a-2"} {
				require.Equal(t, uint64(3), cl.nodes[n].control.Snapshot().Document.Version)
			}
		}
	})
}

// Guards against a daemon that restarts while the table is down and serves without a
// configuration, or with an older one than its peers have.
func TestRestartWithoutTable(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.startServing(8, 10)
		cl.nodes["a-2"].kill()
		cl.store.setDown(true)
		cl.advance(time.Second)
		cl.start("a-2")
		cl.advance(2 * time.Second)
		require.Nil(t, cl.nodes["a-2"].control.Snapshot().Site, "a version came into force before the 3 s in which peers are asked")
		require.False(t, cl.nodes["a-2"].control.Snapshot().Ready)
		cl.awaitConfig(1, 2*time.Second, "a-2")
		s := cl.nodes["a-1"].control.ConfigStatus(cl.t.Context(), 1)
		require.True(t, s.Everywhere(), "%+v", s)
		cl.nodes["a-1"].kill()
		cl.nodes["a-2"].kill()
		cl.start("a-2")
		cl.advance(10 * time.Second)
		require.Nil(t, cl.nodes["a-2"].control.Snapshot().Site, "no peer answers, so no version may come into force")
		s = cl.nodes["a-2"].control.ConfigStatus(cl.t.Context(), 1)
		require.Equal(t, 0, s.InForce)
		require.Len(t, s.Missing, 2)
	})
}

// Guards against an isolated data centre that accepts keys that may have been withdrawn, and
// against one that refuses work although its configuration is confirmed.
func TestIsolation(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2, "b": 2}, func(cl *cluster) {
		cl.startServing(8, 10)
		entriesOfB := []model.EntryVM{"b-1", "b-2"}
		current := func() bool {
			return cl.nodes["b-1"].control.Snapshot().Current && cl.nodes["b-2"].control.Snapshot().Current
		}
		requireCurrentFor := func(d time.Duration, want bool, msg string) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				cl.advance(50 * time.Millisecond)
				require.Equal(t, want, current(), msg)
			}
		}
		cl.awaitCoordinator("b", 3*time.Second)
		requireCurrentFor(10*time.Second, true, "healthy")
		for _, n := range entriesOfB {
			cl.nodes[n].cutFromStore.Store(true)
		}
		requireCurrentFor(10*time.Second, true, "the other data centre answers")
		p, reason := cl.acquire("b-1", "t", time.Second)
		require.NotNil(t, p, reason)
		cl.nodes["b-1"].control.Release(p, peer.AttemptUnused)
		partition := func(from, to model.EntryVM) bool { return from[0] != to[0] }
		cl.setDropMessages(partition)
		cl.advance(6 * time.Second)
		requireCurrentFor(5*time.Second, false, "neither the table nor the other data centre answers")
		p, reason = cl.acquire("b-1", "t", time.Second)
		require.NotNil(t, p, reason)
		require.Equal(t, model.ReasonConfigUnconfirmed, cl.nodes["b-1"].control.CheckPermit(p, "key-t"))
		require.True(t, cl.nodes["a-1"].control.Snapshot().Current, "data centre a reads the table")
		for _, n := range entriesOfB {
			cl.nodes[n].cutFromStore.Store(false)
		}
		cl.advance(2 * time.Second)
		requireCurrentFor(10*time.Second, true, "reads the table")
	})
}

// Guards against an apply that never returns while the store is down.
func TestApplyWithoutStore(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 1}, func(cl *cluster) {
		cl.addSite("v1", 8, nil)
		cl.start("a-1")
		cl.store.setDown(true)
		_, err := cl.apply("a-1", "v1", 0)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		ctx, cancel := context.WithCancel(cl.t.Context())
		cancel()
		require.Zero(t, cl.nodes["a-1"].control.ConfigStatus(ctx, 1).InForce)
	})
}
