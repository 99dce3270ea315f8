package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawServer starts a server that answers each request with what write sends, and then closes.
func rawServer(t testing.TB, write func(w io.Writer)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					write(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a server whose endless header fills the memory of the process.
func TestEndlessHeaderIsNoAnswer(t *testing.T) {
	var sent int
	addr := rawServer(t, func(w io.Writer) {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX: ")
		block := bytes.Repeat([]byte("x"), 64<<10)
		for sent < 256<<20 {
			n, err := w.Write(block)
			if sent += n; err != nil {
				return
			}
		}
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.ErrorIs(t, post(t, NewClient(1), addr, 20*time.Second), ErrNoAnswer)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(32<<20))
}

// Guards against answers that crash the client, that are longer than the limit, or whose connection is
// used again although bytes of them are left.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = server.Write(data)
			}
		}()
		c := NewClient(1)
		c.dial = func(context.Context, string) (net.Conn, error) { return client, nil }
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/", bytes.NewReader(nil))
		require.NoError(t, err)
		_, body, err := c.Send(ctx, req, nil)
		if err != nil {
			require.True(t, errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent), err)
			return
		}
		require.LessOrEqual(t, len(body), maxResponseBytes)
		for _, idle := range c.serverFor("127.0.0.1:1").idle {
			require.Zero(t, idle.r.Buffered())
		}
	})
}
