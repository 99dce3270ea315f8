package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a data race between a call that gave up and the term that carries it out later; it
// fails under the race detector.
func TestCallThatGaveUpIsCarriedOutLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSite(t, 1)
		term := s.startTerm("e1", nil)
		time.Sleep(time.Second)
		s.submitJob(term, "j", step(1))
		time.Sleep(time.Second)

		// The calls must not wake the term, which would order its accesses after theirs.
		term.post(func() { time.Sleep(200 * time.Millisecond) })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		state, err := term.State(ctx, "j")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Empty(t, state)
		known, err := term.Cancel(ctx, "j")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.False(t, known)
		time.Sleep(time.Second)
		endTerm(term)
	})
}
