package control

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

func (cl *cluster) token(n model.EntryVM) model.Token { return cl.nodes[n].control.Snapshot().Token }

// Guards against two coordinators after a simultaneous start.
func TestLeaseRace(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 5}, func(cl *cluster) {
		cl.startAll()
		entry := cl.awaitCoordinator("a", 3*time.Second)
		for range 500 {
			cl.advance(10 * time.Millisecond)
			require.Equal(t, []model.EntryVM{entry}, cl.coordinators("a"))
		}
		for _, p := range cl.peers {
			require.Equal(t, entry, cl.nodes[p.Name].control.Snapshot().Coordinator)
			require.Equal(t, model.Token{Epoch: 1}, cl.token(p.Name))
		}
	})
}

// Guards against an entry VM that is marked as gone while it runs. Connections are refused
// just before its process starts, and the refusals are handled after its first message; the last
// attempts can still be refused after that message.
func TestRefusalBeforeRestartIsIgnored(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.startAll()
		cl.awaitCoordinator("a", 3*time.Second)
		cl.advance(time.Second)
		first, second := cl.nodes[cl.peers[0].Name], cl.peers[1].Name
		refused := func(from, to time.Duration) (status MemberStatus) {
			done := make(chan struct{})
			first.control.post(func() {
				m := first.control.byName[second]
				first.control.onRefused(m, m.lastMessage.Add(from), m.lastMessage.Add(to))
				status = m.status
				close(done)
			})
			<-done
			return status
		}
		require.Equal(t, MemberAlive, refused(-100*time.Millisecond, -time.Millisecond))
		require.Equal(t, MemberAlive, refused(-time.Millisecond, 99*time.Millisecond))
		require.Equal(t, MemberGone, refused(time.Millisecond, 101*time.Millisecond))
	})
}

// Guards against a running entry VM whose messages are ignored for ever, so that its requests
// wait until their deadlines, because connections to it were refused for a moment.
func TestRefusedEntryVMReturns(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		coord := cl.startServing(8, 100)
		other := cl.peers[0].Name
		if other == coord {
			other = cl.peers[1].Name
		}
		status := func() MemberStatus { return cl.nodes[coord].control.Snapshot().Peers[other].Status }
		cl.nodes[other].setDead(true)
		cl.eventually(3*time.Second, func() bool { return status() == MemberGone }, "refused entry VM not marked as gone")
		cl.nodes[other].setDead(false)
		cl.eventually(time.Second, func() bool { return status() == MemberAlive }, "running entry VM still taken for gone")
		p, reason := cl.acquire(other, "t", time.Second)
		require.NotNil(t, p, reason)
	})
}

// Guards against the loss of a restarted entry VM because a delayed message of the process
// before it arrives after its first one.
func TestDelayedMessageOfEarlierProcess(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		coord := cl.startServing(8, 100)
		other := cl.peers[0].Name
		if other == coord {
			other = cl.peers[1].Name
		}
		inc := func() model.Incarnation { return cl.nodes[coord].control.Snapshot().Peers[other].Incarnation }
		running := inc()
		hb := peer.Heartbeat{From: peer.Sender{Entry: other, DC: "a", Incarnation: "earlier"}}
		_, err := cl.nodes[coord].control.Handler().Heartbeat(context.Background(), &hb)
		require.NoError(t, err)
		cl.eventually(2*time.Second, func() bool { return inc() == running }, "messages of the running process are ignored")
		p, reason := cl.acquire(other, "t", time.Second)
		require.NotNil(t, p, reason)
	})
}

// Guards against a coordinator that grants permits, or dispatches with a permit that it
// holds, after it was paused for longer than the lease TTL.
func TestPausedHolderIsRejected(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(8, 100)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		cl.nodes[old].pause()
		start := time.Now()
		next := cl.awaitCoordinator("a", 2200*time.Millisecond)
		require.NotEqual(t, old, next)
		p, reason := cl.acquire(next, "t", time.Second)
		require.NotNil(t, p, reason)
		require.Less(t, time.Since(start), 2500*time.Millisecond)

		cl.advance(3 * time.Second)
		first := make(chan *model.Permit, 1)
		go func() {
			p, _ := cl.acquire(old, "t", 5*time.Second)
			first <- p
		}()
		cl.advance(100 * time.Millisecond) // now it waits for the paused control goroutine
		cl.nodes[old].resume()
		require.Equal(t, cl.token(next), (<-first).Token)
		require.NotEqual(t, model.ReasonNone, cl.nodes[old].control.CheckPermit(held, "key-t"))
		for range 200 {
			cl.advance(10 * time.Millisecond)
			require.Equal(t, []model.EntryVM{next}, cl.coordinators("a"))
		}
		require.Equal(t, cl.token(next), cl.token(old))
		p, reason = cl.acquire(old, "t", time.Second)
		require.NotNil(t, p, reason)
		require.Equal(t, cl.token(next), p.Token)
		require.Equal(t, model.ReasonNone, cl.nodes[old].control.CheckPermit(p, "key-t"))
	})
}

// Guards against a follower that dispatches with a permit that it got before it was paused.
func TestPausedFollowerGetsNewPermit(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		entry := cl.startServing(8, 100)
		follower := cl.otherNodes(entry)[0]
		held, reason := cl.acquire(follower, "t", time.Second)
		require.NotNil(t, held, reason)
		held.NotAfter = time.Now().Add(time.Hour) // the permit must become invalid only because of the pause
		cl.nodes[follower].pause()
		cl.advance(4 * time.Second)
		cl.nodes[follower].resume()
		require.Equal(t, model.ReasonNoCoordinator, cl.nodes[follower].control.CheckPermit(held, "key-t"))
		cl.advance(time.Second)
		require.Equal(t, model.ReasonPermitExpired, cl.nodes[follower].control.CheckPermit(held, "key-t"))
		cl.nodes[follower].control.Release(held, peer.AttemptUnused)
		p, reason := cl.acquire(follower, "t", time.Second)
		require.NotNil(t, p, reason)
		require.Equal(t, model.ReasonNone, cl.nodes[follower].control.CheckPermit(p, "key-t"))
	})
}

// Guards against a lease holder that steps down, or takes the lease twice, when the answers
// to its lease writes are lost.
func TestLostLeaseAnswers(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		cl.store.loseAnswer = func(x platform.Txn) bool { return strings.HasPrefix(x.Puts[0].Key, "coordinator/") }
		entry := cl.startAndAwaitCoordinator()
		for range 300 {
			cl.advance(20 * time.Millisecond)
			require.Equal(t, []model.EntryVM{entry}, cl.coordinators("a"))
		}
		require.Equal(t, model.Token{Epoch: 1}, cl.token(entry))
		require.Greater(t, cl.store.commits["coordinator/a"], 10)
	})
}

func (cl *cluster) startAndAwaitCoordinator() model.EntryVM {
	cl.startAll()
	return cl.awaitCoordinator("a", 3*time.Second)
}

// Guards against a data centre that stops serving when the table fails, and against two
// coordinators when the coordinator dies during that failure.
func TestLocalSuccession(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(8, 100)
		cl.store.setDown(true)
		for range 300 {
			cl.advance(20 * time.Millisecond)
			require.Equal(t, []model.EntryVM{old}, cl.coordinators("a"), "confirmations must replace the lease in the table")
		}
		cl.nodes[old].kill()
		next := cl.awaitCoordinator("a", 3*time.Second)
		require.Equal(t, cl.otherNodes(old)[0], next, "the entry VM with the lowest name takes over")
		require.Equal(t, model.Token{Epoch: 1, Succession: 1}, cl.token(next))
		p, reason := cl.acquire(cl.otherNodes(old, next)[0], "t", time.Second)
		require.NotNil(t, p, reason)

		cl.store.setDown(false)
		cl.eventually(5*time.Second, func() bool { return cl.token(next) == model.Token{Epoch: 2} }, "the successor does not take the lease")
		require.Equal(t, []model.EntryVM{next}, cl.coordinators("a"))
		var row leaseRow
		require.NoError(t, json.Unmarshal(cl.store.row("coordinator/a").Value, &row))
		require.Equal(t, next, row.Holder)
	})
}

// Guards against a paused holder that resumes while a local successor serves.
func TestLocalSuccessionOfPausedHolder(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(8, 100)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		cl.store.setDown(true)
		cl.advance(3 * time.Second)
		cl.nodes[old].pause()
		next := cl.awaitCoordinator("a", 6*time.Second)
		require.NotEqual(t, old, next)
		for range 100 {
			cl.advance(10 * time.Millisecond)
			require.Equal(t, []model.EntryVM{next}, cl.coordinators("a"))
		}
		// Only the old holder can reach the table again, and its row is unchanged.
		cl.nodes[old].resume()
		cl.store.setDown(false)
		for _, n := range cl.otherNodes(old) {
			cl.nodes[n].cutFromStore.Store(true)
		}
		require.NotEqual(t, model.ReasonNone, cl.nodes[old].control.CheckPermit(held, "key-t"))
		for range 300 {
			cl.advance(10 * time.Millisecond)
			require.LessOrEqual(t, len(cl.coordinators("a")), 1)
		}
		for _, n := range cl.otherNodes(old) {
			cl.nodes[n].cutFromStore.Store(false)
		}
		entry := cl.awaitCoordinator("a", 5*time.Second)
		p, reason := cl.acquire(entry, "t", time.Second)
		require.NotNil(t, p, reason)
	})
}

// Guards against a graceful shutdown after which the data centre has no coordinator until
// the lease expires.
func TestGracefulShutdownHandsOverRole(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		old := cl.startServing(8, 100)
		held, reason := cl.acquire(old, "t", time.Second)
		require.NotNil(t, held, reason)
		require.NoError(t, cl.nodes[old].control.BeginShutdown(cl.t.Context()))
		require.False(t, cl.nodes[old].control.Snapshot().Ready)
		next := cl.awaitCoordinator("a", 700*time.Millisecond)
		require.NotEqual(t, old, next)
		s, err := cl.nodes[next].control.CoordinatorStatus(cl.t.Context())
		require.NoError(t, err)
		require.Len(t, s.Permits, 1, "the entry VM that shuts down still holds its permit")
		cl.nodes[old].control.Release(held, peer.AttemptOK)
		cl.eventually(time.Second, func() bool { return cl.nodes[old].control.PendingReleases() == 0 }, "release not confirmed")
	})
}

// Guards against a data centre without a coordinator while the table answers reads but
// writes have no effect.
func TestTableThatDropsWrites(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 3}, func(cl *cluster) {
		old := cl.startServing(8, 100)
		cl.store.mu.Lock()
		cl.store.dropWrites = true
		cl.store.mu.Unlock()
		for range 300 {
			cl.advance(20 * time.Millisecond)
			require.Equal(t, []model.EntryVM{old}, cl.coordinators("a"))
		}
		cl.nodes[old].kill()
		next := cl.awaitCoordinator("a", 5*time.Second)
		p, reason := cl.acquire(next, "t", time.Second)
		require.NotNil(t, p, reason)
		cl.store.mu.Lock()
		cl.store.dropWrites = false
		cl.store.mu.Unlock()
		cl.eventually(5*time.Second, func() bool { return cl.token(next) == model.Token{Epoch: 2} }, "the successor does not take the lease")
	})
}
