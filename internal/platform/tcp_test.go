package platform_test

import (
	"encoding/json"
	"expvar"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/platform"
	"boragepulley/standins/faultproxy"
	standin "boragepulley/standins/platform"
)

// Guards against a client that stays on silent connections, takes a refused connection for
// an unknown outcome, or does not count its calls: real TCP through the fault proxy.
func TestSilentAndRefusedConnections(t *testing.T) {
	server := standin.New(standin.Options{})
	srv := httptest.NewServer(server)
	defer srv.Close()
	p := faultproxy.New()
	defer p.Close()
	l, err := p.Add(faultproxy.LinkSpec{Name: "a-platform", Listen: "127.0.0.1:0", Target: srv.Listener.Addr().String()})
	require.NoError(t, err)
	client, err := platform.NewClient(platform.Options{BaseURL: "http://" + l.Addr(), ClientName: "a/1",
		WritesPerSecond: 100, ReadsPerSecond: 100, CallTimeout: 500 * time.Millisecond})
	require.NoError(t, err)
	defer client.Close()
	tab := client.Services().Table

	_, err = tab.Commit(t.Context(), platform.PriorityLease, put("k", "1", 0))
	require.NoError(t, err)
	// A write succeeds if the link had not accepted one of the idle connections yet: that one is not
	// silent.
	version := uint64(1)
	for range 10 {
		leaveIdleConnections(t, server, tab)
		require.Greater(t, l.Status().Open, 1)
		l.SilenceOpen()
		if _, err = tab.Commit(t.Context(), platform.PriorityLease, put("k", "2", version)); err != nil {
			break
		}
		version++
	}
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	_, err = tab.Get(t.Context(), platform.PriorityLease, "k")
	require.NoError(t, err, "the next call uses a new connection")

	l.Cut()
	_, err = tab.Commit(t.Context(), platform.PriorityLease, put("k", "3", version))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NoError(t, l.Heal())
	_, err = tab.Commit(t.Context(), platform.PriorityLease, put("k", "4", version))
	require.NoError(t, err)

	var counts struct {
		Commits int64                    `json:"calls_commit"`
		Unknown int64                    `json:"errors_unknown_outcome"`
		Latency platform.LatencySnapshot `json:"latency_us"`
	}
	require.NoError(t, json.Unmarshal([]byte(expvar.Get("platform_client").String()), &counts))
	require.GreaterOrEqual(t, counts.Commits, int64(4))
	require.Positive(t, counts.Unknown)
	require.GreaterOrEqual(t, counts.Latency.Max, int64(450_000))
}

// leaveIdleConnections makes concurrent calls, each of which needs a connection.
func leaveIdleConnections(t *testing.T, server *standin.Server, tab platform.Table) {
	server.SetFaults(standin.Faults{DelayMS: 50})
	defer server.SetFaults(standin.Faults{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { _, _ = tab.Get(t.Context(), platform.PriorityLease, "k") })
	}
	wg.Wait()
}
