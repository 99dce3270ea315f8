package platform

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against account or background calls that delay a lease renewal when the budget
// is exhausted, and against a rate above the budget.
func TestBudgetPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(10, time.Hour)
		for range 20 {
			require.NoError(t, b.take(t.Context(), PriorityBackground))
		}
		var mu sync.Mutex
		var order []Priority
		served := func() []Priority {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return append([]Priority(nil), order...)
		}
		start := time.Now()
		for _, p := range []Priority{PriorityBackground, PriorityAccount, PriorityClaim, PriorityLease, PriorityLease} {
			go func() {
				if b.take(t.Context(), p) == nil {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, p)
				}
			}()
			synctest.Wait()
		}
		time.Sleep(490 * time.Millisecond)
		require.Len(t, served(), 4, "ten tokens a second")
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, []Priority{PriorityLease, PriorityLease, PriorityClaim, PriorityAccount, PriorityBackground}, served())
		require.Less(t, time.Since(start), time.Second)
	})
}

// Guards against waiting calls that keep a place, or block others, after they gave up.
func TestBudgetLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(1, 1500*time.Millisecond)
		for range 2 {
			require.NoError(t, b.take(t.Context(), PriorityLease))
		}
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan error)
		go func() { left <- b.take(ctx, PriorityLease) }()
		synctest.Wait()
		cancel()
		require.ErrorIs(t, <-left, context.Canceled)
		require.Empty(t, b.waiters)
		results := make(chan error, 2)
		for range 2 {
			go func() { results <- b.take(t.Context(), PriorityConfig) }()
		}
		require.NoError(t, <-results)
		require.ErrorIs(t, <-results, errBudgetWait)
		go func() { results <- b.take(t.Context(), PriorityConfig) }()
		synctest.Wait()
		b.reject(errBreakerOpen)
		require.ErrorIs(t, <-results, errBreakerOpen)
		require.Nil(t, b.timer)
	})
}

// failTimes reports n failures of calls that the breaker allowed.
func failTimes(t *testing.T, b *breaker, n int) {
	t.Helper()
	for range n {
		gen, ok := b.allow(true)
		require.True(t, ok)
		b.report(gen, healthDown)
	}
}

// Guards against a stampede on a service that comes back, and a back-off outside its range.
func TestBreakerProbesOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opened := 0
		b := newBreaker(func() { opened++ }, 0)
		failTimes(t, b, breakerThreshold)
		require.Equal(t, 1, opened)
		for i := range 20 {
			start := time.Now()
			for b.blocked(true) {
				time.Sleep(time.Millisecond)
			}
			wait := time.Since(start)
			require.LessOrEqual(t, wait, 5*time.Second+time.Millisecond)
			require.GreaterOrEqual(t, wait, 250*time.Millisecond)
			if i > 5 {
				require.GreaterOrEqual(t, wait, 2500*time.Millisecond, "the back-off grows")
			}
			gen, ok := b.allow(true)
			require.True(t, ok)
			_, second := b.allow(true)
			require.False(t, second, "one probe at a time")
			b.report(gen, healthDown)
		}
		time.Sleep(5 * time.Second)
		gen, ok := b.allow(true)
		require.True(t, ok)
		b.report(gen, healthUp)
		require.False(t, b.blocked(true))
		failTimes(t, b, breakerThreshold)
		time.Sleep(500 * time.Millisecond)
		require.False(t, b.blocked(true), "the back-off starts again after a success")
	})
}

// Guards against results of calls from before the outage that close or reopen the
// breaker, and against a probe whose caller left and that blocks all later ones.
func TestBreakerIgnoresStaleResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBreaker(nil, 0)
		old, ok := b.allow(true)
		require.True(t, ok)
		failTimes(t, b, breakerThreshold)
		b.report(old, healthUp)
		require.True(t, b.blocked(true))
		time.Sleep(time.Second)
		probe, ok := b.allow(true)
		require.True(t, ok)
		b.report(old, healthUp)
		require.True(t, b.blocked(true), "only the probe decides")
		b.report(probe, healthNeutral)
		probe, ok = b.allow(true)
		require.True(t, ok, "the next call probes after a cancelled probe")
		b.report(probe, healthUp)
		for range breakerThreshold {
			b.report(old, healthDown)
		}
		require.False(t, b.blocked(true))
	})
}

// writeConn is a connection whose writes have a fixed result.
type writeConn struct {
	net.Conn
	before func()
	n      int
	err    error
}

func (c *writeConn) Write([]byte) (int, error) { c.before(); return c.n, c.err }
func (c *writeConn) Close() error              { return nil }

// Guards against a write that is reported as not sent although it left, is under way, or
// leaves later.
func TestFence(t *testing.T) {
	var c *trackedConn
	start := func(n int, err error, before func()) uint64 {
		c = &trackedConn{Conn: &writeConn{n: n, err: err, before: before}}
		return c.count()
	}
	mark := start(1, nil, func() {})
	require.True(t, c.fence(mark))
	_, err := c.Write([]byte("xy"))
	require.ErrorIs(t, err, errFenced)

	mark = start(1, net.ErrClosed, func() {})
	_, err = c.Write([]byte("xy"))
	require.Error(t, err)
	require.False(t, c.fence(mark), "a part of the request left")

	mark = start(0, net.ErrClosed, func() { require.False(t, c.fence(mark), "the write is under way") })
	_, err = c.Write([]byte("xy"))
	require.Error(t, err)
	require.True(t, c.fence(mark), "the connection took no byte")
}

// Guards against callers' writes that find out whether the platform is back: each one on a
// platform that does not answer has an unknown outcome, where nothing need have been sent.
func TestWritesDoNotProbe(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	var writes atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			writes.Add(1)
		}
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	c, err := NewClient(Options{BaseURL: s.URL, WritesPerSecond: 1000, ReadsPerSecond: 1000, CallTimeout: 20 * time.Millisecond, MaxBreakerBackoff: 10 * time.Millisecond, ProbeOnlyByReads: true})
	require.NoError(t, err)
	defer c.Close()
	judge := func(Answer) CallResult { return CallResult{} }
	write := Call{Op: "write", Write: true, Method: http.MethodPost, Path: "/", In: struct{}{}, Classify: judge}
	read := Call{Op: "read", Method: http.MethodGet, Path: "/", Classify: judge}
	for range breakerThreshold {
		require.ErrorIs(t, c.Do(t.Context(), write), ErrUnknownOutcome)
	}
	for range 20 {
		require.ErrorIs(t, c.Do(t.Context(), write), ErrRateLimited)
		require.ErrorIs(t, c.Do(t.Context(), Call{Op: "feed", Method: http.MethodGet, Path: "/", Wait: time.Second, Classify: judge}), ErrRateLimited)
		_ = c.Do(t.Context(), read)
		time.Sleep(2 * time.Millisecond)
	}
	require.EqualValues(t, breakerThreshold, writes.Load())
	silent.Store(false)
	require.Eventually(t, func() bool { return c.Do(t.Context(), read) == nil }, 5*time.Second, time.Millisecond)
	require.NoError(t, c.Do(t.Context(), write))
}
