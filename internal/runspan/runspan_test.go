package runspan

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a run number that belongs to two tokens or to none, and against one that falls with the token.
func TestEachNumberBelongsToOneToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Spans(rapid.IntRange(1, 2000).Draw(t, "size"))
		token := rapid.Uint64Range(1, 1<<40).Draw(t, "token")
		require.Equal(t, s.Last(token)+1, s.First(token+1))
		require.Equal(t, int(s), s.Last(token)-s.First(token)+1)
		run := rapid.IntRange(s.First(token), s.Last(token)).Draw(t, "run")
		require.Equal(t, token, s.Token(run))
		require.LessOrEqual(t, s.Wanted(run)-token, uint64(1))
		require.GreaterOrEqual(t, s.Wanted(run), token)
	})
	require.Equal(t, 1, Size.First(1))
}

// Guards against tokens that are reserved although the term has used no number yet.
func TestNoTokenIsWantedBeforeTheFirstRun(t *testing.T) {
	for _, s := range []Spans{1, 2, 3, Size} {
		for _, token := range []uint64{1, 2, 17} {
			require.LessOrEqual(t, s.Wanted(s.First(token)-1), token)
		}
	}
}
