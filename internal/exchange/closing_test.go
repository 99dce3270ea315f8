package exchange

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against one request without an answer that closes connections which have delivered
// responses since that request was written.
func TestUnansweredRequestKeepsConnectionsThatWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		n.answerTime = func(connection, request int) time.Duration {
			if connection == 1 && request > 1 {
				return never
			}
			return 10 * time.Millisecond
		}
		c := n.client(connectionsPerServer)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				time.Sleep(time.Duration(5*(1-i)) * time.Millisecond) // the first connection is used last
				require.NoError(t, post(t, c, serverAddr, callLimit))
			})
		}
		wg.Wait()
		var failed int
		for range 2 {
			wg.Go(func() {
				if post(t, c, serverAddr, callLimit) != nil {
					failed++
				}
			})
		}
		wg.Wait()
		require.Equal(t, 1, failed)
		require.NoError(t, post(t, c, serverAddr, callLimit))
		opened, _, _ := n.counts()
		require.Equal(t, 2, opened)
		time.Sleep(2 * never) // the server's late answer
	})
}

// Guards against a reset of one connection that closes all others to the same server: each of them
// would have to be opened again.
func TestResetConnectionKeepsTheOthers(t *testing.T) {
	var reset atomic.Bool
	var together sync.WaitGroup
	together.Add(3)
	addr, opened, _ := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if reset.CompareAndSwap(true, false) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			return
		}
		if r.URL.Path == "/" {
			writeClock(w, r)
			return
		}
		together.Done()
		together.Wait()
		writeClock(w, r)
	})
	client := NewClient(connectionsPerServer)
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/together", nil)
			require.NoError(t, err)
			_, _, err = client.Send(t.Context(), req, nil)
			require.NoError(t, err)
		})
	}
	wg.Wait()
	reset.Store(true)
	require.ErrorIs(t, post(t, client, addr, 10*time.Second), ErrNoAnswer)
	for range 5 {
		require.NoError(t, post(t, client, addr, 10*time.Second))
	}
	require.EqualValues(t, 3, opened.Load())
}
