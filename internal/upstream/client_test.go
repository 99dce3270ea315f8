package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testCall(addr string) Call {
	return Call{Job: "job-e1", Attempt: 2, Minion: "m1", Addr: addr, Body: []byte("in"), Deadline: time.Now().Add(5 * time.Second)}
}

// rawMinion accepts connections and passes each request to reply. It closes the
// connection when reply returns false.
func rawMinion(t *testing.T, reply func(c net.Conn, r *http.Request, conn int) bool) (addr string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns = &atomic.Int32{}
	var wg sync.WaitGroup
	t.Cleanup(func() { l.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			wg.Go(func() { serveRaw(c, n, reply) })
		}
	})
	return l.Addr().String(), conns
}

func serveRaw(c net.Conn, n int, reply func(net.Conn, *http.Request, int) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !reply(c, r, n) {
			return
		}
	}
}

func writeAnswer(w io.Writer, job, attempt, digest string, length int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Job-Id: %s\r\nX-Attempt: %s\r\nX-Digest: %s\r\nContent-Length: %d\r\n\r\n%s",
		job, attempt, digest, length, body)
}

func goodAnswer(w io.Writer) { writeAnswer(w, "job-e1", "2", Digest([]byte("out")), 3, "out") }

// Guards against accepting an answer that is truncated, corrupted or for another attempt,
// and against reporting a job as not started when the minion did not say so.
func TestAnswerClasses(t *testing.T) {
	digest := Digest([]byte("out"))
	cases := map[string]struct {
		reply func(c net.Conn)
		want  error
	}{
		"complete":        {func(c net.Conn) { goodAnswer(c) }, nil},
		"continue first":  {func(c net.Conn) { io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); goodAnswer(c) }, nil},
		"truncated":       {func(c net.Conn) { writeAnswer(c, "job-e1", "2", digest, 4, "out") }, ErrAnswerIncomplete},
		"wrong job":       {func(c net.Conn) { writeAnswer(c, "other-e1", "2", digest, 3, "out") }, ErrAnswerIncomplete},
		"earlier attempt": {func(c net.Conn) { writeAnswer(c, "job-e1", "1", digest, 3, "out") }, ErrAnswerIncomplete},
		"wrong digest":    {func(c net.Conn) { writeAnswer(c, "job-e1", "2", digest, 3, "0ut") }, ErrAnswerIncomplete},
		"no digest":       {func(c net.Conn) { writeAnswer(c, "job-e1", "2", "", 3, "out") }, ErrAnswerIncomplete},
		"too large":       {func(c net.Conn) { writeAnswer(c, "job-e1", "2", digest, 1025, "out") }, ErrAnswerIncomplete},
		"no length": {func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Job-Id: job-e1\r\nX-Attempt: 2\r\nX-Digest: %s\r\n\r\nout", digest)
		}, ErrAnswerIncomplete},
		"chunked": {func(c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Job-Id: job-e1\r\nX-Attempt: 2\r\nX-Digest: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nout\r\n0\r\n\r\n", digest)
		}, ErrAnswerIncomplete},
		"garbage":     {func(c net.Conn) { io.WriteString(c, "garbage\r\n\r\n") }, ErrAnswerIncomplete},
		"head cut":    {func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Job") }, ErrAnswerIncomplete},
		"no answer":   {func(net.Conn) {}, ErrAnswerLost},
		"not started": {func(c net.Conn) { refuse(c, "X-Not-Started: true\r\n") }, ErrNotStarted},
		"not started, other attempt": {func(c net.Conn) {
			refuse(c, "X-Not-Started: true\r\nX-Job-Id: job-e1\r\nX-Attempt: 1\r\n")
		}, ErrAnswerIncomplete},
		"503 without header": {func(c net.Conn) { refuse(c, "") }, ErrAnswerIncomplete},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := rawMinion(t, func(c net.Conn, _ *http.Request, _ int) bool { tc.reply(c); return false })
			cl := New(Options{MaxAnswer: 1024})
			defer cl.Close()
			a, err := cl.Run(context.Background(), testCall(addr))
			if tc.want == nil {
				require.NoError(t, err)
				require.Equal(t, "out", string(a.Body))
				return
			}
			require.ErrorIs(t, err, tc.want)
			for _, other := range []error{ErrNotReached, ErrNotStarted, ErrAnswerLost, ErrAnswerIncomplete} {
				require.Equal(t, other == tc.want, errors.Is(err, other), "one class only: %v", err)
			}
		})
	}
}

func refuse(w io.Writer, header string) {
	fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", header)
}

// Guards against a request with a wrong method, path, header or body, and against a line
// break in a value that adds a header.
func TestRequestOnTheWire(t *testing.T) {
	addr, _ := rawMinion(t, func(c net.Conn, r *http.Request, _ int) bool {
		b, _ := io.ReadAll(r.Body)
		if r.Method != "POST" || r.URL.Path != "/run" || r.Header.Get("X-Job-Id") != "job-e1" || r.Header.Get("X-Attempt") != "2" ||
			r.Header.Get("X-Deadline-Ms") == "" || r.Header.Get("Content-Type") != "a/bEvil: 1" || string(b) != "in" {
			return false
		}
		goodAnswer(c)
		return true
	})
	cl := New(Options{})
	defer cl.Close()
	call := testCall(addr)
	call.ContentType = "a/b\r\nEvil: 1"
	_, err := cl.Run(context.Background(), call)
	require.NoError(t, err)
}

// Guards against reporting that the job may have run although the connection was refused
// or BeforeSend stopped the call, and against sending the request after BeforeSend failed.
func TestNotReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	cl := New(Options{})
	defer cl.Close()
	_, err = cl.Run(context.Background(), testCall(addr))
	require.ErrorIs(t, err, ErrNotReached)

	addr, _ = rawMinion(t, func(net.Conn, *http.Request, int) bool { t.Error("request was sent"); return false })
	dials := 0
	cl = New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		dials++
		return dialTCP(ctx, addr)
	}})
	defer cl.Close()
	call := testCall(addr)
	stop := errors.New("stop")
	call.BeforeSend = func() error { return stop }
	for range 2 {
		_, err = cl.Run(context.Background(), call)
		require.ErrorIs(t, err, ErrNotReached)
		require.ErrorIs(t, err, stop)
	}
	require.Equal(t, 1, dials, "an unused connection stays in the pool")
}

// Guards against a request that is sent although the last check fails, and against a check that runs
// before the connection is open and the call was announced.
func TestLastCheck(t *testing.T) {
	addr, _ := rawMinion(t, func(c net.Conn, _ *http.Request, _ int) bool { goodAnswer(c); return true })
	cl := New(Options{})
	defer cl.Close()
	stop := errors.New("stop")
	for _, want := range []error{stop, nil} {
		var steps []string
		call := testCall(addr)
		call.BeforeSend = func() error { steps = append(steps, "announced"); return nil }
		call.LastCheck = func() error { steps = append(steps, "checked"); return want }
		_, err := cl.Run(context.Background(), call)
		require.ErrorIs(t, err, want)
		require.Equal(t, want != nil, errors.Is(err, ErrNotReached))
		require.Equal(t, []string{"announced", "checked"}, steps)
	}
}

// Guards against reporting ErrNotReached after part of a request was sent, and against
// losing the rejection of a minion that answers before it has read the body.
func TestPartlyWrittenRequest(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		want  error
	}{
		"closed":  {"", ErrAnswerLost},
		"refused": {"HTTP/1.1 503 Service Unavailable\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n", ErrNotStarted},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.ReadFull(conn, make([]byte, 10))
				if c.reply != "" {
					io.WriteString(conn, c.reply)
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			cl := New(Options{})
			defer cl.Close()
			call := testCall(l.Addr().String())
			call.Body = make([]byte, 8<<20) // more than the socket buffers hold
			_, err = cl.Run(context.Background(), call)
			require.ErrorIs(t, err, c.want)
			require.NotErrorIs(t, err, ErrNotReached)
		})
	}
}

// Guards against a silent retry of a request whose connection the minion closes after
// reading it, and against reusing a failed connection.
func TestNoHiddenRetry(t *testing.T) {
	var requests atomic.Int32
	addr, conns := rawMinion(t, func(c net.Conn, _ *http.Request, conn int) bool {
		if requests.Add(1) == 2 {
			return false
		}
		goodAnswer(c)
		return true
	})
	cl := New(Options{})
	defer cl.Close()
	for i, want := range []error{nil, ErrAnswerLost, nil} {
		_, err := cl.Run(context.Background(), testCall(addr))
		require.ErrorIs(t, err, want, "call %d", i)
	}
	require.EqualValues(t, 3, requests.Load())
	require.EqualValues(t, 2, conns.Load())
}

// Guards against sending a request on a pooled connection that the minion has closed.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	addr, conns := rawMinion(t, func(c net.Conn, _ *http.Request, _ int) bool {
		goodAnswer(c)
		c.Close()
		closed <- struct{}{}
		return false
	})
	cl := New(Options{})
	defer cl.Close()
	for range 2 {
		_, err := cl.Run(context.Background(), testCall(addr))
		require.NoError(t, err)
		<-closed
		// Nothing signals that the minion's close has arrived over loopback, so poll for it.
		require.Eventually(t, func() bool {
			p := cl.pool(addr)
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.idle) == 1 && !p.idle[0].usable()
		}, 5*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 2, conns.Load())
}

func openCount(cl *Client, addr string) int {
	p := cl.pool(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Guards against exceeding the connection limit of a minion, and against a coordinator
// that cannot query a minion whose connections are busy.
func TestConnectionBound(t *testing.T) {
	release := make(chan struct{})
	var running, maxRunning atomic.Int32
	m := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			fmt.Fprint(w, `{"busy":2,"slots":8,"jobs":[{"id":"job-e1","attempt":2}]}`)
			return
		}
		for now, seen := running.Add(1), maxRunning.Load(); now > seen && !maxRunning.CompareAndSwap(seen, now); seen = maxRunning.Load() {
		}
		<-release
		running.Add(-1)
		w.Header().Set("X-Job-Id", "job-e1")
		w.Header().Set("X-Attempt", "2")
		w.Header().Set("X-Digest", Digest(nil))
	}))
	defer m.Close()
	addr := strings.TrimPrefix(m.URL, "http://")
	cl := New(Options{Connections: 3})
	defer cl.Close()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			call := testCall(addr)
			call.FreshConnection = i%2 == 0
			_, err := cl.Run(context.Background(), call)
			if err != nil {
				t.Error(err)
			}
		})
	}
	require.Eventually(t, func() bool { return running.Load() == 2 }, 5*time.Second, time.Millisecond)
	st, err := cl.Status(context.Background(), addr)
	require.NoError(t, err)
	require.Equal(t, Status{Busy: 2, Slots: 8, Jobs: []RunningJob{{ID: "job-e1", Attempt: 2}}}, st)
	require.LessOrEqual(t, openCount(cl, addr), 3)
	close(release)
	wg.Wait()
	require.EqualValues(t, 2, maxRunning.Load())

	cl.SetLimits(1, nil)
	call := testCall(addr)
	_, err = cl.Run(context.Background(), call)
	require.NoError(t, err)
	require.LessOrEqual(t, openCount(cl, addr), 1)
}

// Guards against FreshConnection reusing a pooled connection.
func TestFreshConnection(t *testing.T) {
	addr, conns := rawMinion(t, func(c net.Conn, _ *http.Request, _ int) bool { goodAnswer(c); return true })
	cl := New(Options{})
	defer cl.Close()
	for i, fresh := range []bool{false, false, true} {
		call := testCall(addr)
		call.FreshConnection = fresh
		_, err := cl.Run(context.Background(), call)
		require.NoError(t, err, i)
	}
	require.EqualValues(t, 2, conns.Load())
}

// pipeDialer connects to minions over net.Pipe, so that synctest controls time. It also
// returns the number of connections dialled.
func pipeDialer(serve func(c net.Conn, n int)) (func(context.Context, string) (net.Conn, error), *int) {
	n := new(int)
	return func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		*n++
		k := *n
		go serve(b, k)
		return a, nil
	}, n
}

// Guards against waiting forever on a connection without an answer, and against reusing it.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial, dials := pipeDialer(func(c net.Conn, n int) {
			serveRaw(c, n, func(c net.Conn, r *http.Request, n int) bool {
				switch {
				case n == 1:
					return true // reads the request and never answers
				case r.URL.Path == "/status":
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				default:
					goodAnswer(c)
				}
				return true
			})
		})
		cl := New(Options{Dial: dial, LateAnswer: time.Second})
		start := time.Now()
		call := testCall("m")
		_, err := cl.Run(context.Background(), call)
		require.ErrorIs(t, err, ErrAnswerLost)
		require.Equal(t, call.Deadline.Add(time.Second), time.Now())
		require.Less(t, time.Since(start), 10*time.Second)
		_, err = cl.Run(context.Background(), testCall("m"))
		require.NoError(t, err)
		require.Equal(t, 2, *dials)

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = cl.Status(ctx, "m")
		require.NoError(t, err)
		time.Sleep(2 * DefaultIdleTimeout)
		synctest.Wait()
		require.Zero(t, openCount(cl, "m"), "idle connections are closed after the idle timeout")
	})
}

// Guards against a status request that fails because its pooled connection no longer
// delivers data although the minion answers on new ones.
func TestStatusOnSilentPooledConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int32
		dial, dials := pipeDialer(func(c net.Conn, n int) {
			serveRaw(c, n, func(c net.Conn, _ *http.Request, _ int) bool {
				if requests.Add(1) != 2 {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"busy\":3}")
				}
				return true
			})
		})
		cl := New(Options{Dial: dial})
		for range 2 {
			st, err := cl.Status(context.Background(), "m")
			require.NoError(t, err)
			require.Equal(t, 3, st.Busy)
		}
		require.Equal(t, 2, *dials)
		cl.Close()
	})
}
