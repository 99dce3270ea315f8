package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// pipeNetwork connects clients to one server under a fake clock.
type pipeNetwork struct {
	// connectTime is how long the n-th dial takes to connect, from 1; answerTime how long the server
	// takes to answer the n-th request on a connection.
	connectTime func(dial int) time.Duration
	answerTime  func(connection, request int) time.Duration

	mu      sync.Mutex
	dials   int        // guarded by mu
	opened  int        // guarded by mu
	pending int        // guarded by mu
	peak    int        // guarded by mu; the highest value of pending
	live    int        // guarded by mu; pending dials and connections that are not closed
	most    int        // guarded by mu; the highest value of live
	servers []net.Conn // guarded by mu
}

// never is longer than any test.
const never = time.Hour

// newPipeNetwork returns a network that connects and answers in a millisecond. It is closed at the
// end of the test.
func newPipeNetwork(t *testing.T) *pipeNetwork {
	n := &pipeNetwork{
		connectTime: func(int) time.Duration { return time.Millisecond },
		answerTime:  func(int, int) time.Duration { return time.Millisecond },
	}
	t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, c := range n.servers {
			_ = c.Close()
		}
	})
	return n
}

func (n *pipeNetwork) client(connections int) *Client {
	c := NewClient(connections)
	c.dial = n.dial
	return c
}

func (n *pipeNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	n.pending++
	n.peak = max(n.peak, n.pending)
	n.live++
	n.most = max(n.most, n.live)
	takes := n.connectTime(n.dials)
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.pending--
		n.mu.Unlock()
	}()
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		n.ended()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opened++
	client, server := net.Pipe()
	n.servers = append(n.servers, server)
	go n.serve(server, n.opened)
	return client, nil
}

// ended counts a dial that failed, or a connection that was closed.
func (n *pipeNetwork) ended() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live--
}

func (n *pipeNetwork) serve(c net.Conn, number int) {
	defer n.ended()
	r := bufio.NewReader(c)
	for i := 1; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(n.answerTime(number, i))
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
			return
		}
	}
}

// counts returns how many connections were opened, how many dials are pending, and how many were
// pending at a time at most.
func (n *pipeNetwork) counts() (opened, pending, peak int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opened, n.pending, n.peak
}

// mostAtOnce returns how many connections were open or being opened at a time at most.
func (n *pipeNetwork) mostAtOnce() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.most
}

// serverAddr is the address of the server in tests with a pipeNetwork.
const serverAddr = "10.0.0.1:80"

// The limits of the coordinator's calls.
const (
	callLimit = 300 * time.Millisecond
	callPause = 200 * time.Millisecond
)

// Guards against a client that never reaches a server whose connections take longer to open than
// one request may take: each request would give up its own attempt and begin a new one.
func TestSlowConnectServesALaterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		n.connectTime = func(int) time.Duration { return time.Second }
		c := n.client(connectionsPerServer)
		began := time.Now()
		for post(t, c, serverAddr, callLimit) != nil {
			require.Less(t, time.Since(began), 2*time.Second, "the server is not reached")
			time.Sleep(callPause)
		}
		for range 10 {
			require.NoError(t, post(t, c, serverAddr, callLimit))
			time.Sleep(callPause)
		}
		opened, _, _ := n.counts()
		require.Equal(t, 1, opened)
	})
}

// Guards against requests that wait for a connection whose SYN was lost, while a new one would open
// at once: TCP sends the SYN again only after a second.
func TestLostSynDelaysNoOtherRequest(t *testing.T) {
	// lossyClient returns a client whose first attempt to connect never ends.
	lossyClient := func(t *testing.T) (*Client, *pipeNetwork) {
		n := newPipeNetwork(t)
		n.connectTime = func(dial int) time.Duration {
			if dial == 1 {
				return never
			}
			return time.Millisecond
		}
		return n.client(connectionsPerServer), n
	}
	t.Run("next request", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, n := lossyClient(t)
			require.ErrorIs(t, post(t, c, serverAddr, callLimit), ErrNotSent)
			time.Sleep(callPause)
			require.NoError(t, post(t, c, serverAddr, 10*time.Millisecond))
			time.Sleep(10 * time.Second)
			opened, pending, _ := n.counts()
			require.Equal(t, 1, opened)
			require.Zero(t, pending)
		})
	})
	t.Run("same request", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c, n := lossyClient(t)
			require.NoError(t, post(t, c, serverAddr, time.Second))
			time.Sleep(10 * time.Second)
			opened, pending, _ := n.counts()
			require.Equal(t, 1, opened)
			require.Zero(t, pending)
		})
	})
}

// Guards against a request that waits for its own slow attempt to connect, while another request
// returns a connection that works.
func TestWaitingRequestTakesAReturnedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		n.connectTime = func(dial int) time.Duration {
			if dial > 1 {
				return time.Second
			}
			return time.Millisecond
		}
		n.answerTime = func(int, int) time.Duration { return 50 * time.Millisecond }
		c := n.client(connectionsPerServer)
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { require.NoError(t, post(t, c, serverAddr, callLimit)) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(time.Second) // the slow attempt ends
	})
}

// Guards against attempts to connect to an unreachable server that add up without a bound, and
// against a server that comes back and is not reached before old attempts have ended.
func TestAttemptsToAnUnreachableServerAreBounded(t *testing.T) {
	for away := 19 * time.Second; away <= 21*time.Second; away += 50 * time.Millisecond {
		t.Run(away.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newPipeNetwork(t)
				var reachable atomic.Bool
				n.connectTime = func(int) time.Duration {
					if reachable.Load() {
						return time.Millisecond
					}
					return never
				}
				c := n.client(connectionsPerServer)
				var wg sync.WaitGroup
				for range 2 * connectionsPerServer {
					wg.Go(func() {
						for !reachable.Load() {
							if err := post(t, c, serverAddr, callLimit); !reachable.Load() {
								require.ErrorIs(t, err, ErrNotSent)
							}
							time.Sleep(callPause)
						}
					})
				}
				time.Sleep(away)
				reachable.Store(true)
				began := time.Now()
				for post(t, c, serverAddr, callLimit) != nil {
					time.Sleep(callPause)
				}
				require.LessOrEqual(t, time.Since(began), callLimit+callPause)
				wg.Wait()
				time.Sleep(10 * time.Second)
				_, pending, peak := n.counts()
				require.LessOrEqual(t, peak, connectionsPerServer)
				require.Zero(t, pending)
			})
		})
	}
}

// Guards against a request that waits until its limit for a server that refuses connections.
func TestRefusedConnectionFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(connectionsPerServer)
		c.dial = func(context.Context, string) (net.Conn, error) {
			time.Sleep(time.Millisecond)
			return nil, errors.WithStack(syscall.ECONNREFUSED)
		}
		began := time.Now()
		var wg sync.WaitGroup
		for range connectionsPerServer {
			wg.Go(func() { require.ErrorIs(t, post(t, c, serverAddr, callLimit), ErrNotSent) })
		}
		wg.Wait()
		require.Less(t, time.Since(began), 10*time.Millisecond)
	})
}

// Guards against the same as TestSlowConnectServesALaterRequest, over TCP.
func TestSlowConnectOverTCP(t *testing.T) {
	addr, _, _ := countingServer(t, writeClock)
	c := NewClient(connectionsPerServer)
	c.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		select {
		case <-time.After(time.Second):
			return dialTCP(ctx, addr)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	const tries = 20
	for range tries {
		if post(t, c, addr, callLimit) == nil {
			return
		}
	}
	require.Fail(t, "the server is not reached")
}
