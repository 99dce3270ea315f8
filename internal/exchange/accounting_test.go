package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a pool that counts a connection which is not open any more: after as many such losses as it
// may have connections it would open none for the rest of the process. Requests end in each way in which they
// can: answered, cut off, timed out, cancelled, not sent because of the limit, refused connections, slow ones.
func TestConnectionCountMatchesOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch rand.IntN(6) {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			time.Sleep(30 * time.Millisecond)
		case 2:
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write([]byte("ok"))
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := NewClient(4)
	c.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		switch rand.IntN(5) {
		case 0:
			return nil, errors.New("refused")
		case 1:
			select {
			case <-time.After(25 * time.Millisecond):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return dialTCP(ctx, addr)
	}
	addr := l.Addr().String()
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			for range 150 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rand.IntN(40))*time.Millisecond)
				req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/", nil)
				limit := Limit(func() time.Duration { return time.Duration(rand.IntN(10)) * 10 * time.Millisecond })
				_, _, _ = c.Send(ctx, req, limit)
				cancel()
			}
		})
	}
	wg.Wait()
	s := c.enter(addr)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.dials) == 0
	}, 5*time.Second, 10*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, len(s.idle), s.open, "connections counted as open")
	require.Empty(t, s.waiters)
	require.Empty(t, s.slots)
	require.EqualValues(t, 1, s.users.Load(), "only this test uses the pool")
}
