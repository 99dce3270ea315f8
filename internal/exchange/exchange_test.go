package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingServer starts a server that stands for a minion and counts the connections it accepts.
func countingServer(t *testing.T, handle http.HandlerFunc) (addr string, opened *atomic.Int64, s *httptest.Server) {
	opened = new(atomic.Int64)
	s = httptest.NewUnstartedServer(handle)
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), opened, s
}

// connectionsPerServer is the limit of the clients of these tests.
const connectionsPerServer = 6

// serverFor returns the connection pool of an address.
func (c *Client) serverFor(addr string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poolOf(addr)
}

func writeClock(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"clock_ms":7}`) }

func post(t *testing.T, c *Client, addr string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", strings.NewReader("{}"))
	require.NoError(t, err)
	_, _, err = c.Send(ctx, req, nil)
	return err
}

// Guards against a new connection for each request: connections cost money, and opening one takes
// another round trip.
func TestRequestsShareAConnection(t *testing.T) {
	addr, opened, _ := countingServer(t, writeClock)
	client := NewClient(connectionsPerServer)
	for range 20 {
		require.NoError(t, post(t, client, addr, time.Second))
	}
	require.EqualValues(t, 1, opened.Load())
}

// Guards against a burst of task starts that opens one connection per start.
func TestConnectionsPerServerAreBounded(t *testing.T) {
	addr, opened, _ := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		writeClock(w, r)
	})
	client := NewClient(connectionsPerServer)
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { require.NoError(t, post(t, client, addr, 5*time.Second)) })
	}
	wg.Wait()
	require.LessOrEqual(t, opened.Load(), int64(connectionsPerServer))
}

// Guards against a start order that times out while it waits for a connection and is reported as
// possibly executed. Its task could then not be started elsewhere, although nothing was sent.
func TestRequestWithoutAConnectionIsNotSent(t *testing.T) {
	release := make(chan struct{})
	addr, _, _ := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		writeClock(w, r)
	})
	client := NewClient(connectionsPerServer)
	var wg sync.WaitGroup
	for range connectionsPerServer {
		wg.Go(func() { _ = post(t, client, addr, 5*time.Second) })
	}
	require.Eventually(t, func() bool { return len(client.serverFor(addr).slots) == connectionsPerServer }, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, post(t, client, addr, 20*time.Millisecond), ErrNotSent)
	close(release)
	wg.Wait()
}

// Guards against a request with an unknown outcome because it was written to an idle connection
// that the server had already closed.
func TestClosedConnectionIsNotReused(t *testing.T) {
	addr, opened, s := countingServer(t, writeClock)
	client := NewClient(connectionsPerServer)
	require.NoError(t, post(t, client, addr, time.Second))
	s.CloseClientConnections()
	pool := client.serverFor(addr)
	pool.mu.Lock()
	require.Len(t, pool.idle, 1)
	pool.idle[0].lastUsed = time.Now().Add(-2 * probeAfter)
	c := pool.idle[0]
	pool.mu.Unlock()
	require.Eventually(t, func() bool { return !c.reusable() }, 5*time.Second, time.Millisecond)
	require.NoError(t, post(t, client, addr, time.Second))
	require.EqualValues(t, 2, opened.Load())
}

// Guards against further requests on connections that stopped responding: after one request
// without a response, the idle connections to the same server must not be used either.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var silent atomic.Bool
	addr, opened, _ := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body
			<-r.Context().Done()
			return
		}
		writeClock(w, r)
	})
	client := NewClient(connectionsPerServer)
	require.NoError(t, post(t, client, addr, time.Second))
	silent.Store(true)
	require.ErrorIs(t, post(t, client, addr, 20*time.Millisecond), ErrNoAnswer)
	require.Empty(t, client.serverFor(addr).idle)
	silent.Store(false)
	require.NoError(t, post(t, client, addr, time.Second))
	require.EqualValues(t, 2, opened.Load())
}

// Guards against accepting responses that are truncated, malformed or followed by unrelated
// data, and against reusing the connection that delivered them.
func TestBrokenResponsesAreRejected(t *testing.T) {
	for name, response := range map[string]string{
		"cut body":       "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"clock_ms\":7}",
		"two responses":  "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":7}HTTP/1.1 200 OK\r\n",
		"no HTTP":        "\x00\xff\x00garbage\r\n\r\n",
		"negative":       "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
		"endless header": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 5<<20),
		"too long":       fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n{}", maxResponseBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						_, _ = c.Read(make([]byte, 4096))
						_, _ = io.WriteString(c, response)
					}()
				}
			}()
			client := NewClient(connectionsPerServer)
			err = post(t, client, l.Addr().String(), 2*time.Second)
			if name != "two responses" {
				require.ErrorIs(t, err, ErrNoAnswer)
			}
			require.Empty(t, client.serverFor(l.Addr().String()).idle)
		})
	}
}

// Guards against connections to removed minions that stay open for ever.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	addr, _, _ := countingServer(t, writeClock)
	client := NewClient(connectionsPerServer)
	require.NoError(t, post(t, client, addr, time.Second))
	pool := client.serverFor(addr)
	require.True(t, pool.sweep(time.Now()))
	require.False(t, pool.sweep(time.Now().Add(maxIdleTime+time.Second)))
}
