package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/settings"
	"boragepulley/standins/fleet"
	"boragepulley/standins/siteplatform"
)

// Guards against a shutdown that takes requests until its time is over and cuts them off, because the
// coordinator's lease cannot be given up without the store's answers.
func TestHandOverWithoutTheStoreLeavesTimeForCallers(t *testing.T) {
	p, err := siteplatform.Start(siteplatform.Site{Capacity: jobs.Resources{CPU: 1000, MemoryMB: 1000}, Config: map[string]any{"version": 1}, Heartbeat: time.Second})
	require.NoError(t, err)
	defer p.Close()
	var lost atomic.Bool
	store, err := p.AddStoreClient(func(string) fleet.Fault {
		if lost.Load() {
			return fleet.Lose
		}
		return fleet.None
	}, nil)
	require.NoError(t, err)
	const grace = 4 * time.Second
	s, err := NewSite(&settings.Site{Name: "e1", DC: "a", CallerListen: "127.0.0.1:0", ReadyListen: "127.0.0.2:0", PeerListen: "127.0.0.3:0", MetricsListen: "127.0.0.4:0",
		PeerAddr: "127.0.0.3:1", StoreURL: "http://" + store, StoreWrites: 600, StoreReads: 2000, MachinesAddr: p.MachinesAddr(), Cores: 1, LinkMbps: 1000,
		TerminationGrace: grace, MaxMinionLease: 6 * time.Second, MachineOrderGap: time.Second, Retention: time.Minute}, zerolog.Nop())
	require.NoError(t, err)
	callers := s.lis[s.set.CallerListen].Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	require.Eventually(t, func() bool { return s.node.Ready() && p.Row("lease/site") != nil }, time.Minute, 10*time.Millisecond)
	time.Sleep(100 * time.Millisecond) // the term has begun
	lost.Store(true)
	stop()
	// A request that is on its way when the time is over.
	time.Sleep(grace - siteCloseMargin - 200*time.Millisecond)
	if conn, err := net.Dial("tcp", callers); err == nil {
		defer conn.Close()
		_, err = conn.Write([]byte("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"))
		require.NoError(t, err)
	}
	require.NoError(t, <-done)
}
