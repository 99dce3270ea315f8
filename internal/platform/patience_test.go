package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls that are given up though the platform is only slow, and against a
// second of waiting for each lost answer of a fast one.
func TestPatienceFollowsThePlatform(t *testing.T) {
	const least = 200 * time.Millisecond
	p := &patience{least: least, longest: 900 * time.Millisecond}
	require.Equal(t, p.longest, p.limit(), "nothing is known yet")
	for range 20 {
		p.answered(8 * time.Millisecond)
	}
	require.Equal(t, least, p.limit())
	p.unanswered()
	p.unanswered()
	require.Equal(t, 4*least, p.limit())
	p.unanswered()
	require.Equal(t, p.longest, p.limit())
	for range 3 {
		p.answered(450 * time.Millisecond) // the store is 50 times slower
	}
	require.Greater(t, p.limit(), 600*time.Millisecond)
	for range 200 {
		p.answered(8 * time.Millisecond)
	}
	require.Equal(t, least, p.limit())
}

// Guards against a small call that waits as long as a large one for an answer that is lost.
func TestLostAnswerIsNoticedSoon(t *testing.T) {
	var lose atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if lose.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	const longest = time.Minute
	c, err := NewClient(Options{BaseURL: s.URL, WritesPerSecond: 1000, ReadsPerSecond: 1000, CallTimeout: longest, MinSmallCallTimeout: 2 * time.Second})
	require.NoError(t, err)
	defer c.Close()
	write := Call{Op: "write", Write: true, Small: true, Method: http.MethodPost, Path: "/", In: struct{}{}, Classify: func(Answer) CallResult { return CallResult{} }}
	for range 10 {
		require.NoError(t, c.Do(t.Context(), write))
	}
	lose.Store(true)
	began := time.Now()
	require.ErrorIs(t, c.Do(t.Context(), write), ErrUnknownOutcome)
	require.Less(t, time.Since(began), longest/2)
	lose.Store(false)
	require.NoError(t, c.Do(t.Context(), write))
}
