package control

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

func (cl *cluster) token(n model.EntryVM) model.Token { return cl.nodes[n].c.Snapshot().Token }

// Guards against two coordinators after a simultaneous start.
func TestLeaseRace(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 5}, func(cl *cluster) {
		cl.startAll()
		at := cl.coordinator("a", 3*time.Second)
		for range 500 {
			cl.wait(10 * time.Millisecond)
			require.Equal(t, []model.EntryVM{at}, cl.coordinators("a"))
		}
		for _, p := range cl.peers {
			require.Equal(t, at, cl.nodes[p.Name].c.Snapshot().Coordinator)
			require.Equal(t, model.Token{Epoch: 1}, cl.token(p.Name))
		}
	})
}

// Guards against a process that is noted as gone for ever because connections were refused
// just before it started, and word of that came after its first message.
func TestRefusalsOfTheTimeBeforeAStartSayNothing(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.startAll()
		cl.coordinator("a", 3*time.Second)
		cl.wait(time.Second)
		first, second := cl.nodes[cl.peers[0].Name], cl.peers[1].Name
		refused := func(after time.Duration) (status MemberStatus) {
			done := make(chan struct{})
			first.c.post(func() {
				m := first.c.byName[second]
				first.c.onRefused(m, m.lastMessage.Add(after))
				status = m.status
				close(done)
			})
			<-done
			return status
		}
		require.Equal(t, MemberAlive, refused(-time.Millisecond))
		require.Equal(t, MemberGone, refused(time.Millisecond))
	})
}

// Guards against a coordinator that was paused past its TTL and then grants, or
// dispatches with a permit that it holds.
func TestPausedHolderIsRejected(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.serving(8, 100)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		cl.nodes[old].pause()
		start := time.Now()
		next := cl.coordinator("a", 2200*time.Millisecond)
		require.NotEqual(t, old, next)
		p, reason := cl.acquire(next, "t", time.Second)
		require.NotNil(t, p, reason)
		require.Less(t, time.Since(start), 2500*time.Millisecond)

		cl.wait(3 * time.Second)
		first := make(chan *model.Permit, 1)
		go func() {
			p, _ := cl.acquire(old, "t", 5*time.Second)
			first <- p
		}()
		cl.wait(100 * time.Millisecond) // now it waits for the paused control goroutine
		cl.nodes[old].resume()
		require.Equal(t, cl.token(next), (<-first).Token)
		require.NotEqual(t, model.ReasonNone, cl.nodes[old].c.CheckPermit(held, "key-t"))
		for range 200 {
			cl.wait(10 * time.Millisecond)
			require.Equal(t, []model.EntryVM{next}, cl.coordinators("a"))
		}
		require.Equal(t, cl.token(next), cl.token(old))
		p, reason = cl.acquire(old, "t", time.Second)
		require.NotNil(t, p, reason)
		require.Equal(t, cl.token(next), p.Token)
		require.Equal(t, model.ReasonNone, cl.nodes[old].c.CheckPermit(p, "key-t"))
	})
}

// Guards against a follower that dispatches with a permit from before its own pause.
func TestPausedFollowerGetsNewPermit(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		at := cl.serving(8, 100)
		f := cl.others(at)[0]
		held, reason := cl.acquire(f, "t", time.Second)
		require.NotNil(t, held, reason)
		held.NotAfter = time.Now().Add(time.Hour) // only the pause must make it void
		cl.nodes[f].pause()
		cl.wait(4 * time.Second)
		cl.nodes[f].resume()
		require.Equal(t, model.ReasonNoCoordinator, cl.nodes[f].c.CheckPermit(held, "key-t"))
		cl.wait(time.Second)
		require.Equal(t, model.ReasonPermitExpired, cl.nodes[f].c.CheckPermit(held, "key-t"))
		cl.nodes[f].c.Release(held, peer.AttemptUnused)
		p, reason := cl.acquire(f, "t", time.Second)
		require.NotNil(t, p, reason)
		require.Equal(t, model.ReasonNone, cl.nodes[f].c.CheckPermit(p, "key-t"))
	})
}

// Guards against a holder that gives up, or takes twice, when the answers of its lease
// writes are lost.
func TestLostLeaseAnswers(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.store.lose = func(x platform.Txn) bool { return strings.HasPrefix(x.Puts[0].Key, "coordinator/") }
		at := cl.coordinatorAfterStart()
		for range 300 {
			cl.wait(20 * time.Millisecond)
			require.Equal(t, []model.EntryVM{at}, cl.coordinators("a"))
		}
		require.Equal(t, model.Token{Epoch: 1}, cl.token(at))
		require.Greater(t, cl.store.commits["coordinator/a"], 10)
	})
}

func (cl *cluster) coordinatorAfterStart() model.EntryVM {
	cl.startAll()
	return cl.coordinator("a", 3*time.Second)
}

// Guards against a data centre that stops serving when the table fails, and against
// two coordinators when the coordinator then dies.
func TestLocalSuccession(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.serving(8, 100)
		cl.store.setDown(true)
		for range 300 {
			cl.wait(20 * time.Millisecond)
			require.Equal(t, []model.EntryVM{old}, cl.coordinators("a"), "confirmations must replace the table")
		}
		cl.nodes[old].kill()
		next := cl.coordinator("a", 3*time.Second)
		require.Equal(t, cl.others(old)[0], next, "the lowest living name succeeds")
		require.Equal(t, model.Token{Epoch: 1, Succession: 1}, cl.token(next))
		p, reason := cl.acquire(cl.others(old, next)[0], "t", time.Second)
		require.NotNil(t, p, reason)

		cl.store.setDown(false)
		cl.eventually(5*time.Second, func() bool { return cl.token(next) == model.Token{Epoch: 2} }, "the successor takes the row")
		require.Equal(t, []model.EntryVM{next}, cl.coordinators("a"))
		var row leaseRow
		require.NoError(t, json.Unmarshal(cl.store.row("coordinator/a").Value, &row))
		require.Equal(t, next, row.Holder)
	})
}

// Guards against a paused holder that resumes while a local successor serves.
func TestLocalSuccessionOfPausedHolder(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.serving(8, 100)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		cl.store.setDown(true)
		cl.wait(3 * time.Second)
		cl.nodes[old].pause()
		next := cl.coordinator("a", 6*time.Second)
		require.NotEqual(t, old, next)
		for range 100 {
			cl.wait(10 * time.Millisecond)
			require.Equal(t, []model.EntryVM{next}, cl.coordinators("a"))
		}
		// The table comes back for the old holder only: its row is unchanged.
		cl.nodes[old].resume()
		cl.store.setDown(false)
		for _, n := range cl.others(old) {
			cl.nodes[n].cutFromStore.Store(true)
		}
		require.NotEqual(t, model.ReasonNone, cl.nodes[old].c.CheckPermit(held, "key-t"))
		for range 300 {
			cl.wait(10 * time.Millisecond)
			require.LessOrEqual(t, len(cl.coordinators("a")), 1)
		}
		for _, n := range cl.others(old) {
			cl.nodes[n].cutFromStore.Store(false)
		}
		at := cl.coordinator("a", 5*time.Second)
		p, reason := cl.acquire(at, "t", time.Second)
		require.NotNil(t, p, reason)
	})
}

// Guards against a graceful shutdown that makes the data centre wait for the TTL.
func TestGracefulShutdownHandsOver(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		old := cl.serving(8, 100)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		require.NoError(t, cl.nodes[old].c.BeginShutdown(cl.t.Context()))
		require.False(t, cl.nodes[old].c.Snapshot().Ready)
		next := cl.coordinator("a", 700*time.Millisecond)
		require.NotEqual(t, old, next)
		s, err := cl.nodes[next].c.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Len(t, s.Permits, 1, "the leaving entry VM still holds its permit")
		cl.nodes[old].c.Release(held, peer.AttemptOK)
		cl.eventually(time.Second, func() bool { return cl.nodes[old].c.PendingReleases() == 0 }, "release confirmed")
	})
}

// Guards against a data centre without a coordinator while the table answers reads but
// its writes have no effect.
func TestTableThatOnlyReads(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.serving(8, 100)
		cl.store.mu.Lock()
		cl.store.dropWrites = true
		cl.store.mu.Unlock()
		for range 300 {
			cl.wait(20 * time.Millisecond)
			require.Equal(t, []model.EntryVM{old}, cl.coordinators("a"))
		}
		cl.nodes[old].kill()
		next := cl.coordinator("a", 5*time.Second)
		p, reason := cl.acquire(next, "t", time.Second)
		require.NotNil(t, p, reason)
		cl.store.mu.Lock()
		cl.store.dropWrites = false
		cl.store.mu.Unlock()
		cl.eventually(5*time.Second, func() bool { return cl.token(next) == model.Token{Epoch: 2} }, "the successor takes the row")
	})
}
