package platform

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against logs that tell when the store was lost but not when it was regained: an entry VM
// that had answered for a minute looked as if it had lost the store all the while.
func TestBreakerLogsLossAndReturn(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	defer s.Close()
	var away atomic.Bool
	away.Store(true)
	var log bytes.Buffer
	c, err := NewClient(Options{BaseURL: s.URL, WritesPerSecond: 1000, ReadsPerSecond: 1000, MaxBreakerBackoff: 10 * time.Millisecond, Log: zerolog.New(&log),
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if away.Load() {
				return nil, errors.New("unreachable")
			}
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}})
	require.NoError(t, err)
	defer c.Close()
	get := func() error { _, err := c.Services().Table.Get(context.Background(), PriorityClaim, "k"); return err }
	for range breakerThreshold {
		require.Error(t, get())
	}
	require.Contains(t, log.String(), "circuit breaker opened")
	require.NotContains(t, log.String(), "circuit breaker closed")
	away.Store(false)
	require.Eventually(t, func() bool { return get() == nil }, 10*time.Second, 5*time.Millisecond)
	require.Contains(t, log.String(), "circuit breaker closed")
	require.Contains(t, log.String(), `"away":`)
}
