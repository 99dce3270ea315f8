package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/minion"
)

const (
	testConnections = 8
	testSlots       = 3
	// testMinionIdle is the stand-in minion's own timeout.
	testMinionIdle = 2 * time.Second
	// silentRun is the time of a run that may go to a silent connection.
	silentRun = 300 * time.Millisecond
)

// silenceable starts a minion behind a proxy.
func silenceable(t *testing.T) (*minion.Minion, *faultproxy.Link) {
	t.Helper()
	m, err := minion.Start(minion.Options{Name: "m1", Addr: "127.0.0.1:0", Slots: testSlots, Connections: testConnections, IdleTimeout: testMinionIdle})
	require.NoError(t, err)
	t.Cleanup(m.Close)
	p := faultproxy.New()
	t.Cleanup(p.Close)
	l, err := p.Add(faultproxy.LinkSpec{Name: "m1", Listen: "127.0.0.1:0", Target: m.Addr()})
	require.NoError(t, err)
	return m, l
}

// tryRuns runs n jobs in parallel and returns how many were answered within the time.
func tryRuns(cl *Client, addr string, n int, within time.Duration, fresh bool) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range n {
		wg.Go(func() {
			call := testCall(addr)
			call.Job, call.FreshConnection = model.JobID(fmt.Sprintf("job-%d-e1", i)), fresh
			call.Body = []byte(`{"run_ms":20}`)
			call.Deadline = time.Now().Add(within)
			if _, err := cl.Run(context.Background(), call); err == nil {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	wg.Wait()
	return answered
}

// Guards against more connections at a minion than it accepts, because the clients of two entry
// VMs replace connections that went silent while the minion keeps them open, and against a minion
// that stays unused after its own timeout has closed them.
func TestSilencedConnectionsCountAgainstTheBound(t *testing.T) {
	m, l := silenceable(t)
	var clients []*Client
	for range 2 {
		cl := New(Options{Connections: testConnections / 2, LateAnswer: 100 * time.Millisecond})
		t.Cleanup(cl.Close)
		clients = append(clients, cl)
	}
	round := func() (answered int) {
		var wg sync.WaitGroup
		counts := make([]int, len(clients))
		for i, cl := range clients {
			wg.Go(func() { counts[i] = tryRuns(cl, l.Addr(), 1, silentRun, false) })
		}
		wg.Wait()
		return counts[0] + counts[1]
	}
	for range 6 {
		l.SilenceOpen()
		round()
		round()
	}
	require.Zero(t, m.Stats().ConnectionViolations)
	require.Eventually(t, func() bool { return round() == 2 }, time.Minute, 50*time.Millisecond,
		"the minion is used again")
	require.Zero(t, m.Stats().ConnectionViolations)
}

// Guards against more connections than the minion accepts while it is slow to end a run that the
// client has given up.
func TestGivenUpRunCountsAgainstTheBound(t *testing.T) {
	m, l := silenceable(t)
	cl := New(Options{Connections: testConnections, LateAnswer: time.Millisecond})
	t.Cleanup(cl.Close)
	m.SetFaults(minion.Faults{Faults: []minion.Fault{{Kind: minion.FaultLate, DelayMS: 60_000}}})
	for range 4 {
		tryRuns(cl, l.Addr(), testSlots, silentRun, true)
	}
	require.Zero(t, m.Stats().ConnectionViolations)
	require.NoError(t, m.Reboot(100*time.Millisecond))
	m.SetFaults(minion.Faults{})
	require.Eventually(t, func() bool { return tryRuns(cl, l.Addr(), 1, silentRun, true) == 1 }, time.Minute, 10*time.Millisecond)
}

// Guards against a fresh connection that is opened before the minion has noticed the end of the
// one that it replaces.
func TestReplacedConnectionsStayWithinTheBound(t *testing.T) {
	m, l := silenceable(t)
	cl := New(Options{Connections: testConnections, DialTimeout: time.Minute}) // the verdict does not depend on the speed of the machine
	t.Cleanup(cl.Close)
	for range 50 {
		require.Equal(t, testSlots, tryRuns(cl, l.Addr(), testSlots, time.Minute, true))
	}
	require.Zero(t, m.Stats().ConnectionViolations)
}

// Guards against places that stay taken after the process of a minion has ended.
func TestRefusedDialFreesThePlaces(t *testing.T) {
	m, _ := silenceable(t)
	cl := New(Options{Connections: 2, LateAnswer: time.Millisecond, SilentTimeout: time.Hour})
	t.Cleanup(cl.Close)
	_, err := cl.Status(context.Background(), m.Addr())
	require.NoError(t, err)
	p := cl.pool(m.Addr())
	p.mu.Lock()
	p.idle[0].lost = true // the kernel gave it up
	p.closeOldestLocked()
	require.Len(t, p.closing, 1)
	p.mu.Unlock()
	m.Kill()
	_, err = cl.Status(context.Background(), m.Addr())
	require.ErrorIs(t, err, ErrNotReached)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(t, p.closing)
}

// Guards against taking the kernel's giving up of a silent connection for the minion's close: the
// error is reported once, and reads after it look like an end.
func TestConnectionGivenUpByTheKernelIsNotClosed(t *testing.T) {
	for _, tc := range []struct {
		err  error
		lost bool
	}{
		{fmt.Errorf("read: %w", &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}), true},
		{io.EOF, false},
		{syscall.ECONNRESET, false},
		{errors.New("garbage"), false},
		{http.ErrBodyReadAfterClose, false},
	} {
		var c conn
		c.noteError(tc.err)
		c.noteError(nil)
		require.Equal(t, tc.lost, c.lost, "%v", tc.err)
	}
}

// mutedConn is a connection whose close does not reach the other side.
type mutedConn struct{ net.Conn }

func (mutedConn) CloseWrite() error { return nil }

// Guards against a place that is given away before the minion's own timeout, or not at all if the
// minion's close never arrives.
func TestUnconfirmedCloseLastsForTheSilentTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, dials := pipeDialer(func(c net.Conn, n int) {
			serveRaw(c, n, func(net.Conn, *http.Request, int) bool { return true }) // never answers
		})
		cl := New(Options{Connections: 1, LateAnswer: time.Second, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			return mutedConn{c}, err
		}})
		defer cl.Close()
		call := testCall("m")
		_, err := cl.Run(context.Background(), call)
		require.ErrorIs(t, err, ErrAnswerLost)
		gaveUp := time.Now()
		second := testCall("m")
		second.Deadline = gaveUp.Add(time.Hour)
		sent := gaveUp
		second.BeforeSend = func() error { sent = time.Now(); return errors.New("stop") }
		_, err = cl.Run(context.Background(), second)
		require.ErrorIs(t, err, ErrNotReached)
		require.Equal(t, DefaultSilentTimeout, sent.Sub(gaveUp))
		require.Equal(t, 2, *dials)
	})
}
