package faultproxy

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sinkLink returns a link to a listener whose connections the test accepts.
func sinkLink(t *testing.T, sourceOf func([]byte) string) (*Link, net.Listener) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { target.Close() })
	p := New()
	t.Cleanup(p.Close)
	l, err := p.Add(LinkSpec{Name: "a", Listen: "127.0.0.1:0", Target: target.Addr().String(), SourceOf: sourceOf})
	require.NoError(t, err)
	return l, target
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}

func receive(c net.Conn, n int, within time.Duration) (string, error) {
	buf := make([]byte, n)
	_ = c.SetReadDeadline(time.Now().Add(within))
	got, err := io.ReadFull(c, buf)
	return string(buf[:got]), err
}

// Guards against a link cut in one direction that loses the other one too, or that passes on what it
// holds back before it is healed, or never.
func TestHoldOfOneDirection(t *testing.T) {
	for _, held := range []Direction{ToTarget, ToClient} {
		l, target := sinkLink(t, nil)
		client := dial(t, l)
		server, err := target.Accept()
		require.NoError(t, err)
		defer server.Close()
		l.Hold(held, "")
		send(t, client, "ping")
		send(t, server, "pong")
		stopped, open, lost, kept := server, client, "ping", "pong"
		if held == ToClient {
			stopped, open, lost, kept = client, server, "pong", "ping"
		}
		got, err := receive(open, 4, 10*time.Second)
		require.NoError(t, err)
		require.Equal(t, kept, got)
		_, err = receive(stopped, 4, silenceWait)
		require.Error(t, err)
		require.NoError(t, l.Heal())
		got, err = receive(stopped, 4, 10*time.Second)
		require.NoError(t, err)
		require.Equal(t, lost, got)
	}
}

// Guards against a request that arrives after its sender gave it up and reset the connection.
func TestHeldDataOfAResetConnectionNeverArrives(t *testing.T) {
	l, target := sinkLink(t, nil)
	client := dial(t, l)
	server, err := target.Accept()
	require.NoError(t, err)
	defer server.Close()
	l.Hold(ToTarget, "")
	send(t, client, "order")
	require.NoError(t, client.(*net.TCPConn).SetLinger(0))
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for p := range l.conns {
			return p.broken[ToTarget].Load()
		}
		return false
	}, 10*time.Second, time.Millisecond)
	l.Release(ToTarget, "")
	got, err := receive(server, 5, 10*time.Second)
	require.Error(t, err)
	require.Empty(t, got)
}

// Guards against a cut between two peers that concerns a third one.
func TestHoldOfOneClient(t *testing.T) {
	l, target := sinkLink(t, func(data []byte) string { return string(bytes.TrimSpace(data)) })
	l.Hold(ToTarget, "b")
	for _, name := range []string{"a", "b"} {
		client := dial(t, l)
		server, err := target.Accept()
		require.NoError(t, err)
		defer server.Close()
		send(t, client, name)
		_, err = receive(server, 1, silenceWait)
		require.Equal(t, name == "b", err != nil, name)
	}
}
