package load

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that did not open being judged as a request that was cut off, and
// against a request that was cut off being judged as one that was never sent.
func TestBrokenVerdict(t *testing.T) {
	get := func(ctx context.Context, addr string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	require.Equal(t, SawBroken, brokenVerdict(get(t.Context(), l.Addr().String())))
	require.NoError(t, l.Close())
	require.Equal(t, SawUnsent, brokenVerdict(get(t.Context(), l.Addr().String())), "refused")

	_, err = (&net.Dialer{Deadline: time.Now().Add(-time.Second)}).DialContext(t.Context(), "tcp", l.Addr().String())
	require.Equal(t, SawUnsent, brokenVerdict(err), "timed out")
}
