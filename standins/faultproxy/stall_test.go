package faultproxy

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stalled link that lets dials through, and against one that stays stalled.
func TestStalledLinkLetsDialsTimeOut(t *testing.T) {
	target := echoServer(t, "127.0.0.1:0")
	p := New()
	defer p.Close()
	l, err := p.Add(LinkSpec{Name: "a", Listen: "127.0.0.1:0", Target: target.Addr().String()})
	require.NoError(t, err)
	before := dial(t, l)
	require.NoError(t, echoes(before, 10*time.Second))
	require.NoError(t, l.Stall())
	_, err = net.DialTimeout("tcp", l.Addr(), 300*time.Millisecond)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.NoError(t, echoes(before, 10*time.Second), "open connections work on")
	require.NoError(t, l.Heal())
	require.NoError(t, echoes(dial(t, l), 10*time.Second))
}

// Guards against a request that is delivered although its sender reset the connection before the
// delayed connection was forwarded.
func TestResetDuringConnectDelay(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	p := New()
	defer p.Close()
	l, err := p.Add(LinkSpec{Name: "a", Listen: "127.0.0.1:0", Target: target.Addr().String()})
	require.NoError(t, err)
	l.SetConnectDelay(200 * time.Millisecond)
	c := dial(t, l)
	_, err = c.Write([]byte("order"))
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.Close())
	// The next connection is forwarded after the first one would have been.
	l.SetConnectDelay(400 * time.Millisecond)
	second := dial(t, l)
	_, err = second.Write([]byte("second"))
	require.NoError(t, err)
	got, err := target.Accept()
	require.NoError(t, err)
	buf := make([]byte, 16)
	n, err := got.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "second", string(buf[:n]))
}

// Guards against a reset that leaves open connections, or that keeps new ones from working.
func TestResetOpen(t *testing.T) {
	target := echoServer(t, "127.0.0.1:0")
	p := New()
	defer p.Close()
	l, err := p.Add(LinkSpec{Name: "a", Listen: "127.0.0.1:0", Target: target.Addr().String()})
	require.NoError(t, err)
	c := dial(t, l)
	require.NoError(t, echoes(c, 10*time.Second))
	l.ResetOpen()
	require.Error(t, echoes(c, 10*time.Second))
	require.NoError(t, echoes(dial(t, l), 10*time.Second))
}
