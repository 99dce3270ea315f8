package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/settings"
)

// tcpHandler handles only the control messages.
type tcpHandler struct {
	peer.ControlHandler
	peer.JobHandler
	peer.RecordHandler
}

// Runs election, configuration, permits and the death of the coordinator over loopback
// TCP. Guards against differences between the fake network of the other tests and the real
// one.
func TestOverTCP(t *testing.T) {
	cl := newCluster(t, map[model.DataCentre]int{"a": 3})
	lis := map[model.EntryVM]net.Listener{}
	for i := range cl.peers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		cl.peers[i].Addr = l.Addr().String()
		lis[cl.peers[i].Name] = l
	}
	servers := map[model.EntryVM]*peer.Server{}
	for _, p := range cl.peers {
		n := cl.nodes[p.Name]
		cl.dial = func(self peer.Sender, to settings.Peer) PeerClient {
			return peer.NewClient(self, to.Name, to.Addr, zerolog.Nop())
		}
		cl.start(p.Name)
		srv, l := peer.NewServer(tcpHandler{ControlHandler: n.control.Handler()}, nil, zerolog.Nop()), lis[p.Name]
		servers[p.Name] = srv
		go func() { _ = srv.Serve(l) }()
	}
	defer func() {
		for _, p := range cl.peers {
			cl.nodes[p.Name].control.Stop()
			servers[p.Name].Close()
		}
	}()
	poll := func(ok func() bool, msg string) {
		t.Helper()
		require.Eventually(t, ok, 20*time.Second, 10*time.Millisecond, msg)
	}
	at := func() model.EntryVM {
		for _, n := range cl.coordinators("a") {
			return n
		}
		return ""
	}
	poll(func() bool { return at() != "" }, "no coordinator")
	cl.addSite("v1", 8, map[model.Team]int{"t": 100})
	old := at()
	_, err := cl.apply(old, "v1", 0)
	require.NoError(t, err)
	poll(func() bool { return cl.nodes[old].control.ConfigStatus(t.Context(), 1).Everywhere() }, "configuration not in force")
	others := cl.otherNodes(old)
	try := func(n model.EntryVM) *model.Permit {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		r, err := cl.nodes[n].control.Acquire(ctx, Attempt{Number: 1, Request: model.Request{Job: model.NewJobID(time.Now(), n),
			Queue: "quotes", Team: "t", KeyID: "key-t", Deadline: time.Now().Add(10 * time.Second)}})
		require.NoError(t, err)
		require.NotNil(t, r.Permit, "%+v", r)
		return r.Permit
	}
	p := try(others[0])
	poll(func() bool { return cl.nodes[others[0]].control.CheckPermit(p, "key-t") != model.ReasonNoCoordinator }, "coordinator not heard")

	cl.nodes[old].setDead(true)
	servers[old].Close()
	cl.nodes[old].control.Stop()
	start := time.Now()
	poll(func() bool { return at() != "" && at() != old }, "no successor")
	t.Logf("takeover after a kill: %v", time.Since(start))
	require.NotNil(t, try(others[1]))
	s, err := cl.nodes[at()].control.CoordinatorStatus(t.Context())
	require.NoError(t, err)
	require.Len(t, s.Permits, 2)
}
