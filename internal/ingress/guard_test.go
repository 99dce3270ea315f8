package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// pipes is a listener of connections within the process.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	here, there := net.Pipe()
	p.conns <- there
	return here
}

// serve runs a server under a guard. Its handler reads the body, tells the result on the channel and,
// if there is a body and gate is set, waits for it.
func serve(t *testing.T, l Limits, gate chan struct{}) (p *pipes, g *Guard, results chan string, shutdown func(context.Context) error) {
	p = &pipes{make(chan net.Conn), make(chan struct{})}
	g = newGuard("test", l, DefaultBodyTimeout, zerolog.Nop(), Unbounded().lines)
	results = make(chan string, 16)
	s := &http.Server{ConnContext: ConnContext, ConnState: ConnState, Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := g.ReadBody(r, 200*kib)
		results <- fmt.Sprintf("%d %v", len(body), err)
		switch {
		case err != nil:
			w.Header().Set("Connection", "close")
		case gate != nil:
			<-gate
		}
	}))}
	go func() { _ = s.Serve(g.Listen(p)) }()
	return p, g, results, s.Shutdown
}

func post(c net.Conn, length int, body string) {
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

var roomy = Limits{Connections: 10, Bytes: 400 * kib, ProcessingBytes: 400 * kib}

// Guards against a body that is read wrongly in parts, a limit that is off by one, memory that is not
// given back, and a client that holds a request open for longer than the time limit.
func TestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, g, results, shutdown := serve(t, roomy, nil)
		c := p.dial()
		go io.Copy(io.Discard, c) //nolint:errcheck // ends with the connection
		for _, n := range []int{1, 4 * kib, 32 * kib, 32*kib + 1, 100 * kib, 200 * kib} {
			post(c, n, strings.Repeat("x", n))
			require.Equal(t, fmt.Sprintf("%d <nil>", n), <-results)
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("x", n))
			require.Equal(t, fmt.Sprintf("%d <nil>", n), <-results)
			synctest.Wait()
			open, held := usageOf(g)
			require.Equal(t, 1, open)
			require.Zero(t, held, "between requests")
		}
		post(c, 200*kib+1, "")
		require.Equal(t, "0 "+ErrTooLarge.Error(), <-results)
		for _, withheld := range []int{1, 99 * kib} {
			c := p.dial()
			go io.Copy(io.Discard, c) //nolint:errcheck // ends with the connection
			began := time.Now()
			post(c, 100*kib, strings.Repeat("x", 100*kib-withheld))
			require.Equal(t, "0 "+ErrTimeout.Error(), <-results)
			require.Equal(t, DefaultBodyTimeout, time.Since(began))
		}
		require.NoError(t, shutdown(t.Context()))
		synctest.Wait()
		_, held := usageOf(g)
		require.Zero(t, held)
	})
}

// Guards against a crowd whose unfinished bodies keep an ordinary request from being served, and
// against one that is refused for good while others are served.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{}, 16)
		p, g, results, shutdown := serve(t, roomy, gate)
		dial := func(length int, body string) {
			c := p.dial()
			go io.Copy(io.Discard, c) //nolint:errcheck // ends with the connection
			go post(c, length, body)
		}
		part, whole := strings.Repeat("x", 180*kib-1), strings.Repeat("x", 150*kib)
		const served, closed = "153600 <nil>", "0 ingress: connection closed"
		for range 2 {
			dial(180*kib, part)
			synctest.Wait()
			time.Sleep(10 * time.Millisecond)
		}
		for range 2 { // each takes the place of an unfinished one
			dial(150*kib, whole)
			require.ElementsMatch(t, []string{closed, served}, []string{<-results, <-results})
		}
		// Only requests that are being served hold memory now: one waits for it, and one in vain.
		dial(150*kib, whole)
		time.Sleep(500 * time.Millisecond)
		gate <- struct{}{}
		require.Equal(t, served, <-results)
		dial(150*kib, whole)
		require.Equal(t, "0 "+ErrNoRoom.Error(), <-results)
		for range 2 {
			gate <- struct{}{}
		}
		require.NoError(t, shutdown(t.Context()))
		synctest.Wait()
		_, held := usageOf(g)
		require.Zero(t, held)
	})
}

// Guards against headers that never end and are not accounted for, more connections than the bound,
// and a shutdown that waits for clients that have stalled within a request.
func TestUnfinishedHeadersAndShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, g, _, shutdown := serve(t, Limits{Connections: 3, Bytes: 20 * kib, ProcessingBytes: kib}, nil)
		for range 8 {
			c := p.dial()
			go fmt.Fprintf(c, "GET / HTTP/1.1\r\nX: %s", strings.Repeat("y", 4*kib)) //nolint:errcheck // ends with the connection
			synctest.Wait()
			time.Sleep(time.Millisecond)
		}
		open, held := usageOf(g)
		require.LessOrEqual(t, open, 3)
		require.Positive(t, held)
		require.LessOrEqual(t, held, int64(20*kib))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		go g.Drain(ctx)
		require.NoError(t, shutdown(ctx))
	})
}

// Guards against a body that needs more memory than there is to process it and is never served.
func TestOneRequestMayTakeAllProcessingMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard("test", roomy, 0, zerolog.Nop(), Unbounded().lines)
		release, err := g.Reserve(t.Context(), 200*kib, 1<<40)
		require.NoError(t, err)
		_, err = g.Reserve(t.Context(), smallBody+1, 1)
		require.ErrorIs(t, err, ErrNoRoom)
		small, err := g.Reserve(t.Context(), smallBody, 100*kib)
		require.NoError(t, err, "small ones do not wait for large ones, also with many steps")
		_, err = g.Reserve(t.Context(), smallBody, 1)
		require.ErrorIs(t, err, ErrNoRoom, "their memory is bounded")
		small()
		_, err = g.Reserve(t.Context(), smallBody, 100*kib+1)
		require.ErrorIs(t, err, ErrNoRoom, "one that exceeds it is decoded with the large ones")
		release()
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		release, err = g.Reserve(gone, 1, 1)
		require.NoError(t, err, "room does not depend on the caller's time")
		release()
	})
}

// failing is a listener whose first calls fail.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return f.Listener.Accept()
}

// Guards against a lack of descriptors that ends a listener, and with it the process.
func TestLackOfDescriptorsPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{make(chan net.Conn, 1), make(chan struct{})}
		l := Unbounded().ListenOnly(&failing{p, []error{syscall.EMFILE, syscall.ENFILE}})
		c := make(chan net.Conn, 1)
		go func() { x, _ := l.Accept(); c <- x }()
		here := p.dial()
		defer here.Close()
		require.NotNil(t, <-c)
		require.NoError(t, p.Close())
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = Unbounded().Listen(&failing{p, []error{syscall.EINVAL}}).Accept()
		require.ErrorIs(t, err, syscall.EINVAL)
	})
}

// Guards against a protocol whose own write deadline is replaced by a later one, and a server's answer
// without any.
func TestEarlierWriteDeadlinesStay(t *testing.T) {
	for name, x := range map[string]struct {
		listen func(*Guard, net.Listener) net.Listener
		own    time.Duration
		want   time.Duration
	}{
		"other protocol": {(*Guard).ListenOnly, 1500 * time.Millisecond, 1500 * time.Millisecond},
		"long":           {(*Guard).ListenOnly, time.Minute, time.Minute},
		"HTTP, earlier":  {(*Guard).Listen, time.Second, time.Second},
		"HTTP, later":    {(*Guard).Listen, time.Minute, writeTimeout},
		"HTTP, none":     {(*Guard).Listen, 0, writeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pipes{make(chan net.Conn, 1), make(chan struct{})}
				here := p.dial()
				defer here.Close()
				c, err := x.listen(Unbounded(), p).Accept()
				require.NoError(t, err)
				began := time.Now()
				if x.own > 0 {
					require.NoError(t, c.SetWriteDeadline(began.Add(x.own)))
				}
				_, err = c.Write([]byte("x"))
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				require.Equal(t, x.want, time.Since(began))
			})
		})
	}
}

// Guards against the rest of a body that counts as held by an idle connection, and against a request that
// is closed as stalled while its handler works, because the handler does not read the body.
func TestBodiesThatAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{make(chan net.Conn), make(chan struct{})}
		g := newGuard("test", roomy, DefaultBodyTimeout, zerolog.Nop(), Unbounded().lines)
		gate := make(chan struct{})
		s := &http.Server{ConnContext: ConnContext, ConnState: ConnState, Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-gate
			w.WriteHeader(http.StatusUnauthorized)
		}))}
		go func() { _ = s.Serve(g.Listen(p)) }()
		c := p.dial()
		answered := make(chan string, 1)
		go func() {
			line, _ := bufio.NewReader(c).ReadString('\n')
			answered <- line
			_, _ = io.Copy(io.Discard, c)
		}()
		go post(c, 200*kib, strings.Repeat("x", 200*kib))
		time.Sleep(2 * stalledAfter)
		synctest.Wait()
		require.Empty(t, stalledIn(g), "it is being served")
		gate <- struct{}{}
		require.Contains(t, <-answered, "401")
		synctest.Wait()
		open, held := usageOf(g)
		require.Equal(t, 1, open)
		require.Zero(t, held)
		require.NoError(t, s.Shutdown(t.Context()))
	})
}

// Guards against a message that is refused, or waits for the whole time, although the client that holds
// the memory stalls meanwhile, and against a guarded connection that hides the half-close of TCP.
func TestMessageWaitsForOneThatStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := DerivePeers(96, 8, 24<<20)
		g := newGuard("test", l, 0, zerolog.Nop(), Unbounded().lines)
		p := &pipes{make(chan net.Conn, 2), make(chan struct{})}
		lis := g.ListenOnly(p)
		accept := func() net.Conn {
			here := p.dial()
			t.Cleanup(func() { here.Close() })
			c, err := lis.Accept()
			require.NoError(t, err)
			return c
		}
		first := accept()
		require.NoError(t, g.Hold(first, l.Bytes))
		go func() {
			_, _ = first.Read(make([]byte, 1)) // ends when the guard closes it
			first.Close()
		}()
		time.Sleep(500 * time.Millisecond)
		second := accept()
		began := time.Now()
		require.NoError(t, g.Hold(second, 64*kib))
		require.Equal(t, 500*time.Millisecond, time.Since(began))
		second.Close()
		_, ok := second.(interface{ CloseWrite() error })
		require.True(t, ok)
	})
}

// Guards against a submission that is closed as stalled while it waits for room, or while its refusal is
// being checked.
func TestWaitingForRoomIsNotStalling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		p := &pipes{make(chan net.Conn), make(chan struct{})}
		g := newGuard("test", roomy, DefaultBodyTimeout, zerolog.Nop(), Unbounded().lines)
		s := &http.Server{ConnContext: ConnContext, ConnState: ConnState, Handler: g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = g.ReadBody(r, 200*kib)
			<-gate
		}))}
		go func() { _ = s.Serve(g.Listen(p)) }()
		dial := func(n int) {
			c := p.dial()
			go io.Copy(io.Discard, c) //nolint:errcheck // ends with the connection
			go post(c, n, strings.Repeat("x", n))
		}
		for range 2 {
			dial(190 * kib) // they are served and hold the memory
		}
		synctest.Wait()
		dial(150 * kib)
		for range 8 {
			time.Sleep(roomTimeout/2 - time.Millisecond)
			synctest.Wait()
			require.Empty(t, stalledIn(g))
		}
		close(gate)
		require.NoError(t, s.Shutdown(t.Context()))
	})
}

// usageOf and stalledIn read the book under its lock, because the server's goroutines go on after a check.
func usageOf(g *Guard) (open int, held int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Usage()
}

func stalledIn(g *Guard) []Victim {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Stalled(g.now())
}
