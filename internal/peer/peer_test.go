package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"boragepulley/internal/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testSender = Sender{Entry: "a1", DC: "a", Incarnation: "i1"}

// testHandler answers heartbeats and blocks each Acquire until release is closed.
type testHandler struct {
	Handler
	release  chan struct{}
	acquires atomic.Int32
}

func (h *testHandler) Heartbeat(_ context.Context, m *Heartbeat) (*HeartbeatReply, error) {
	return &HeartbeatReply{Heartbeat: Heartbeat{From: Sender{Entry: "a2", Incarnation: "i2"}, Config: m.Config + 1}}, nil
}

func (h *testHandler) Acquire(ctx context.Context, m *Acquire) (*AcquireReply, error) {
	h.acquires.Add(1)
	select {
	case <-h.release:
		return &AcquireReply{Permit: &model.Permit{Job: m.Request.Job}}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *testHandler) Release(context.Context, *Release) (*Empty, error) {
	return nil, ErrNotCoordinator
}

func startServer(t *testing.T, h Handler) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(h, []model.EntryVM{"a1"}, zerolog.Nop())
	done := make(chan error, 1)
	go func() { done <- s.Serve(lis) }()
	t.Cleanup(func() {
		s.Close()
		require.NoError(t, <-done)
	})
	return lis.Addr().String()
}

func startClient(t *testing.T, addr string) *Client {
	t.Helper()
	c := NewClient(testSender, "a2", addr, zerolog.Nop())
	t.Cleanup(c.Close)
	return c
}

// Guards against a waiting Acquire that delays heartbeats on the same connection.
func TestWaitingAcquireDoesNotDelayHeartbeats(t *testing.T) {
	h := &testHandler{release: make(chan struct{})}
	c := startClient(t, startServer(t, h))
	got := make(chan error, 1)
	go func() {
		_, err := c.Acquire(t.Context(), &Acquire{From: testSender, Wait: 10 * time.Second})
		got <- err
	}()
	require.Eventually(t, func() bool { return h.acquires.Load() == 1 }, 5*time.Second, time.Millisecond)
	r, err := c.Heartbeat(t.Context(), &Heartbeat{From: testSender, Config: 4})
	require.NoError(t, err)
	require.Equal(t, uint64(5), r.Config)
	close(h.release)
	require.NoError(t, <-got)
}

// Guards against errors that lose their type on the wire, and against bytes that are not
// counted under the name of the peer.
func TestErrorsAndCounters(t *testing.T) {
	c := startClient(t, startServer(t, &testHandler{}))
	_, err := c.Release(t.Context(), &Release{From: testSender})
	require.ErrorIs(t, err, ErrNotCoordinator)
	_, err = c.Release(t.Context(), &Release{})
	require.ErrorIs(t, err, ErrMalformed)
	_, err = c.Forward(t.Context(), &Forward{From: testSender, Body: make([]byte, MaxMessage)})
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = c.Heartbeat(t.Context(), &Heartbeat{From: testSender})
	require.NoError(t, err)
	for _, k := range []string{"a2/Heartbeat/sent", "a2/Heartbeat/received", "a1/Heartbeat/received", "a1/Heartbeat/sent"} {
		require.NotNil(t, controlBytes.Get(k), k)
	}
	require.NotNil(t, trafficBytes.Get("a2/Release/sent"))
	require.Nil(t, controlBytes.Get("a2/Release/sent"))
}

// Guards against confusing a process that has exited, whose port refuses connections, with
// a paused one, which accepts them and does not answer.
func TestProbeRefusedOrUnanswered(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	silent := startClient(t, lis.Addr().String())
	_, err = silent.Probe(t.Context(), &Heartbeat{From: testSender})
	require.ErrorIs(t, err, ErrNoAnswer)
	require.NoError(t, lis.Close())
	_, err = silent.Probe(t.Context(), &Heartbeat{From: testSender})
	require.ErrorIs(t, err, ErrRefused)
	_, err = silent.Heartbeat(t.Context(), &Heartbeat{From: testSender})
	require.ErrorIs(t, err, ErrRefused)
}

// stallProxy forwards bytes between a client and a server. After stall, the existing
// connections deliver no data and stay open, while new ones work, as behind a middlebox that
// lost its state.
type stallProxy struct {
	target string
	lis    net.Listener
	mu     sync.Mutex
	conns  []*proxyConn
	wg     sync.WaitGroup
}

type proxyConn struct {
	a, b    net.Conn
	stalled atomic.Bool
}

func startStallProxy(t *testing.T, target string) *stallProxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	v := &stallProxy{target: target, lis: lis}
	v.wg.Add(1)
	go v.accept()
	t.Cleanup(func() {
		lis.Close()
		v.mu.Lock()
		for _, c := range v.conns {
			c.a.Close()
			c.b.Close()
		}
		v.mu.Unlock()
		v.wg.Wait()
	})
	return v
}

func (v *stallProxy) accept() {
	defer v.wg.Done()
	for {
		a, err := v.lis.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", v.target)
		if err != nil {
			a.Close()
			continue
		}
		c := &proxyConn{a: a, b: b}
		v.mu.Lock()
		v.conns = append(v.conns, c)
		v.mu.Unlock()
		v.wg.Add(2)
		go v.pipe(c, a, b)
		go v.pipe(c, b, a)
	}
}

func (v *stallProxy) pipe(c *proxyConn, from, to net.Conn) {
	defer v.wg.Done()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if !c.stalled.Load() {
				to.Close()
			}
			return
		}
		if !c.stalled.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (v *stallProxy) stall() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.conns {
		c.stalled.Store(true)
	}
}

// Guards against calls that keep waiting on a connection that no longer delivers data
// although new connections work.
func TestStalledConnectionIsReplaced(t *testing.T) {
	h := &testHandler{release: make(chan struct{})}
	defer close(h.release)
	v := startStallProxy(t, startServer(t, h))
	c := startClient(t, v.lis.Addr().String())
	got := make(chan error, 1)
	go func() {
		_, err := c.Acquire(t.Context(), &Acquire{From: testSender, Wait: time.Minute})
		got <- err
	}()
	require.Eventually(t, func() bool { return h.acquires.Load() == 1 }, 5*time.Second, time.Millisecond)
	v.stall()
	start := time.Now()
	require.ErrorIs(t, <-got, ErrNoAnswer)
	// The limit is 1.5 s (docs/design.md, D8); the rest allows for a busy machine.
	require.Less(t, time.Since(start), 3*time.Second)
	_, err := c.Heartbeat(t.Context(), &Heartbeat{From: testSender})
	require.NoError(t, err)
}

// Guards against a client that does not reconnect to a peer that was down for a while.
func TestReconnects(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := lis.Addr().String()
	require.NoError(t, lis.Close())
	c := startClient(t, addr)
	_, err = c.Heartbeat(t.Context(), &Heartbeat{From: testSender})
	require.ErrorIs(t, err, ErrRefused)
	lis, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	s := NewServer(&testHandler{}, nil, zerolog.Nop())
	go func() { _ = s.Serve(lis) }()
	defer s.Close()
	require.Eventually(t, func() bool {
		_, err := c.Heartbeat(t.Context(), &Heartbeat{From: testSender})
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a handler that panics and thereby ends the process, or the connection that
// other messages use.
func TestPanicInOneMessage(t *testing.T) {
	c := startClient(t, startServer(t, &testHandler{})) // it does not implement Usage, so that the call panics
	_, err := c.Usage(t.Context(), &Usage{From: testSender})
	require.ErrorIs(t, err, ErrRemote)
	_, err = c.Heartbeat(t.Context(), &Heartbeat{From: testSender})
	require.NoError(t, err)
}
