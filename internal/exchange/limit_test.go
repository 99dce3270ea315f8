package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeBody exceeds the socket buffers of both ends, so that a part of it stays with the sender
// until the receiver reads.
const largeBody = 32 << 20

// slowReader accepts one connection and reads nothing from it before the returned function is
// called, which returns all that arrives.
func slowReader(t *testing.T) (addr string, readAll func() []byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	return l.Addr().String(), func() []byte {
		c := <-accepted
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		var got bytes.Buffer
		_, _ = io.Copy(&got, c) // ends with a reset
		return got.Bytes()
	}
}

// Guards against a write that goes on after its limit, while the receiver takes nothing: the request
// would arrive whole after the lease of its sender has ended.
func TestRequestCutShortByItsLimitIsNotDeliveredLater(t *testing.T) {
	addr, readAll := slowReader(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", bytes.NewReader(make([]byte, largeBody)))
	require.NoError(t, err)
	began := time.Now()
	_, _, err = NewClient(1).Send(context.Background(), req, func() time.Duration { return 50 * time.Millisecond })
	require.ErrorIs(t, err, ErrNoAnswer)
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond)
	require.Less(t, len(readAll()), largeBody, "the whole request arrived after its sender had given it up")
}

// Guards against a request that is delivered after its sender has given it up: a network that delivers
// nothing for a while makes the sender's kernel keep what was written, and a close would let it
// deliver that as soon as the network recovers. A reset discards it.
func TestGivenUpRequestIsResetNotClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	end := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			end <- err
			return
		}
		defer c.Close()
		_, err = io.Copy(io.Discard, c)
		end <- err
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", bytes.NewReader([]byte("{}")))
	require.NoError(t, err)
	_, _, err = NewClient(1).Send(context.Background(), req, func() time.Duration { return 50 * time.Millisecond })
	require.ErrorIs(t, err, ErrNoAnswer)
	require.ErrorContains(t, <-end, "connection reset")
}

// Guards against a request that is written although its limit has passed while its sender waited
// for a connection or was suspended, and against losing the connection to it.
func TestRequestBeyondItsLimitIsNotSent(t *testing.T) {
	addr, opened, _ := countingServer(t, writeClock)
	c := NewClient(1)
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", nil)
		require.NoError(t, err)
		_, _, err = c.Send(context.Background(), req, func() time.Duration { return 0 })
		require.ErrorIs(t, err, ErrLimitReached)
	}
	require.NoError(t, post(t, c, addr, time.Second))
	require.EqualValues(t, 1, opened.Load())
}
