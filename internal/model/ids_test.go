package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against job ids that cannot be routed to the entry VM that accepted the job.
func TestJobIDEntry(t *testing.T) {
	id := NewJobID(time.Now(), "entry-a-1")
	e, err := id.Entry()
	require.NoError(t, err)
	require.Equal(t, EntryVM("entry-a-1"), e)
	for _, bad := range []JobID{"", "x", "-", "01J-entry", JobID(string(id)[:26])} {
		_, err := bad.Entry()
		require.Error(t, err, "%q", bad)
	}
}

// Guards against accepting the token of a coordinator that was replaced.
func TestTokenOrder(t *testing.T) {
	require.True(t, Token{Epoch: 1, Succession: 9}.Less(Token{Epoch: 2}))
	require.True(t, Token{Epoch: 2}.Less(Token{Epoch: 2, Succession: 1}))
	require.False(t, Token{Epoch: 2}.Less(Token{Epoch: 2}))
}
