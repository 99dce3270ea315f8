package faultproxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silenceWait is how long a test waits for data that must not arrive.
const silenceWait = 100 * time.Millisecond

// echoServer sends back what it receives.
func echoServer(t *testing.T, addr string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	return ln
}

func testLink(t *testing.T) (*Proxy, *Link) {
	t.Helper()
	p := New()
	t.Cleanup(p.Close)
	l, err := p.Add(LinkSpec{Name: "a-b", Listen: "127.0.0.1:0", Target: echoServer(t, "127.0.0.1:0").Addr().String()})
	require.NoError(t, err)
	return p, l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// echoes reports whether a connection answers within the wait.
func echoes(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

func requireSilent(t *testing.T, c net.Conn) {
	t.Helper()
	var timeout net.Error
	err := echoes(c, silenceWait)
	require.ErrorAs(t, err, &timeout, "want silence, neither data nor a close")
	require.True(t, timeout.Timeout())
}

// Guards against a cut that leaves connections open or accepts new ones, and against a
// link that stays down after it is healed.
func TestCutAndHeal(t *testing.T) {
	_, l := testLink(t)
	c := dial(t, l)
	require.NoError(t, echoes(c, 10*time.Second))
	l.Cut()
	require.ErrorIs(t, echoes(c, 10*time.Second), syscall.ECONNRESET)
	_, err := net.Dial("tcp", l.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, l.Heal())
	require.NoError(t, echoes(dial(t, l), 10*time.Second))
}

// Guards against open connections that recover or learn of a close after a middlebox lost
// their state, and against new ones that do not work.
func TestSilenceOpen(t *testing.T) {
	_, l := testLink(t)
	old := dial(t, l)
	require.NoError(t, echoes(old, 10*time.Second))
	l.SilenceOpen()
	requireSilent(t, old)
	require.NoError(t, echoes(dial(t, l), 10*time.Second))
	require.NoError(t, l.Heal())
	requireSilent(t, old)
	require.Equal(t, 1, l.Status().Silent)
}

// Guards against a blackhole that refuses or answers, and connections of its time that
// work after it.
func TestBlackholeAndHeal(t *testing.T) {
	_, l := testLink(t)
	require.NoError(t, l.Blackhole())
	c := dial(t, l)
	requireSilent(t, c)
	require.NoError(t, l.Heal())
	requireSilent(t, c)
	require.NoError(t, echoes(dial(t, l), 10*time.Second))
}

// Guards against silent connections that stay in the proxy after both ends closed them.
func TestSilentConnectionEnds(t *testing.T) {
	_, l := testLink(t)
	require.NoError(t, l.Blackhole())
	c := dial(t, l)
	requireSilent(t, c)
	c.Close()
	require.Eventually(t, func() bool { return l.Status().Open == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a delay that is not applied or loses bytes.
func TestDelay(t *testing.T) {
	_, l := testLink(t)
	c := dial(t, l)
	l.SetDelay(20 * time.Millisecond)
	start := time.Now()
	require.NoError(t, echoes(c, 10*time.Second))
	require.GreaterOrEqual(t, time.Since(start), 40*time.Millisecond)
	want := bytes.Repeat([]byte("0123456789"), 100_000)
	go func() { _, _ = c.Write(want) }()
	got := make([]byte, len(want))
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got))
}

// Guards against a proxy that accepts connections for a process that is gone: clients take
// only a refused connection as proof of that.
func TestRefusesWhileTargetIsGone(t *testing.T) {
	p := New()
	defer p.Close()
	target := echoServer(t, "127.0.0.1:0")
	addr := target.Addr().String()
	l, err := p.Add(LinkSpec{Name: "a", Listen: "127.0.0.1:0", Target: addr})
	require.NoError(t, err)
	target.Close()
	// The reset of the first connection can come before or after its dial returns.
	c, err := net.Dial("tcp", l.Addr())
	if err == nil {
		err = echoes(c, 10*time.Second)
		c.Close()
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
	refused := func() bool {
		c, err := net.Dial("tcp", l.Addr())
		if err == nil {
			c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	require.Eventually(t, refused, 10*time.Second, time.Millisecond)
	echoServer(t, addr)
	require.Eventually(t, func() bool { return !refused() }, 10*time.Second, time.Millisecond)
	require.NoError(t, echoes(dial(t, l), 10*time.Second))
}

// Guards against admin actions that miss links or accept misspelt actions.
func TestAdmin(t *testing.T) {
	p, l := testLink(t)
	srv := httptest.NewServer(p.Admin())
	defer srv.Close()
	post := func(c Command) int {
		b, err := json.Marshal(c)
		require.NoError(t, err)
		res, err := http.Post(srv.URL+"/actions", "application/json", bytes.NewReader(b))
		require.NoError(t, err)
		res.Body.Close()
		return res.StatusCode
	}
	require.Equal(t, http.StatusOK, post(Command{Prefixes: []string{"a-"}, Action: ActionCut}))
	require.Equal(t, ModeCut, l.Status().Mode)
	require.Equal(t, http.StatusOK, post(Command{Prefixes: []string{"a-b"}, Action: ActionHeal}))
	require.Equal(t, ModeUp, l.Status().Mode)
	require.Equal(t, http.StatusBadRequest, post(Command{Prefixes: []string{"a-"}, Action: "cutt"}))
	require.Equal(t, http.StatusBadRequest, post(Command{Prefixes: []string{"x"}, Action: ActionCut}))
}
