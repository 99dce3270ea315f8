package exchange

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more connections to a server than allowed: an attempt that is made beside one whose
// SYN may be lost, while the other connections are in use, and that opens at the same time.
func TestAttemptBesideASlowOneStaysWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		n.connectTime = func(dial int) time.Duration {
			switch dial {
			case 1:
				return time.Millisecond
			case 2:
				return redialAfter + 300*time.Millisecond
			}
			return 300 * time.Millisecond
		}
		n.answerTime = func(int, int) time.Duration { return time.Second }
		c := n.client(2)
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { require.NoError(t, post(t, c, serverAddr, 5*time.Second)) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		opened, pending, _ := n.counts()
		require.Equal(t, 2, opened)
		require.Zero(t, pending)
		require.Equal(t, 2, n.mostAtOnce())
	})
}

// Guards against a new attempt that begins before a cancelled one has ended: both may open.
func TestCancelledAttemptCountsUntilItHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		n.connectTime = func(dial int) time.Duration {
			if dial == 1 {
				return redialAfter + 200*time.Millisecond
			}
			return time.Millisecond
		}
		n.answerTime = func(int, int) time.Duration { return 10 * time.Millisecond }
		c := n.client(2)
		c.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return n.dial(context.WithoutCancel(ctx), addr) // it opens just as it is cancelled
		}
		require.NoError(t, post(t, c, serverAddr, time.Second))
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { require.NoError(t, post(t, c, serverAddr, time.Second)) })
		}
		wg.Wait()
		time.Sleep(time.Second)
		opened, pending, _ := n.counts()
		require.Equal(t, 2, opened)
		require.Zero(t, pending)
		require.Equal(t, 2, n.mostAtOnce())
	})
}

// Guards against a connection that is closed as superfluous and opened again by the next request: the
// request that it was opened for has used one that another request returned, which has not ended yet.
func TestConnectionThatNoRequestWaitsForIsKept(t *testing.T) {
	c := NewClient(connectionsPerServer)
	s := c.serverFor(serverAddr)
	for range connectionsPerServer {
		s.slots <- struct{}{}
	}
	client, server := net.Pipe()
	defer server.Close()
	s.dialEnded(&dialing{startedAt: time.Now()}, client, nil, false)
	require.Len(t, s.idle, 1)
}

// Guards against a second pool for a server, with as many connections again: a pool without
// connections is removed while a request that has just looked it up is about to use it.
func TestPoolOfARequestIsNotRemoved(t *testing.T) {
	addr, _, _ := countingServer(t, writeClock)
	c := NewClient(connectionsPerServer)
	s := c.enter(addr)
	c.lastSweep = time.Now().Add(-2 * sweepInterval)
	require.NoError(t, post(t, c, addr, time.Second))
	require.Same(t, s, c.serverFor(addr))
	s.users.Add(-1)
	s.sweep(time.Now().Add(2 * maxIdleTime))
	c.lastSweep = time.Now().Add(-2 * sweepInterval)
	require.NotSame(t, s, c.serverFor(addr))
}
