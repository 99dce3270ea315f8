package serve

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that stays down for good because its port was taken while it was down,
// as an outgoing connection of another process takes any free one.
func TestHostWaitsForItsPort(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := NewHost(other.Addr().String())
	defer h.Close()
	h.began = true // it was up, and other has its port now
	time.AfterFunc(200*time.Millisecond, func() { _ = other.Close() })
	require.NoError(t, h.Start(http.NotFoundHandler()))
	resp, err := http.Get("http://" + h.Addr())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against a first start that waits for an address which is not its own.
func TestFirstStartDoesNotWait(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	began := time.Now()
	require.Error(t, NewHost(other.Addr().String()).Start(http.NotFoundHandler()))
	require.Less(t, time.Since(began), portWait/2)
}
