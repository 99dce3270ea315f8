package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against memory of a message that is taken before it is held, is held for good once the message
// was read or lost, or is taken although there is no room.
func TestMessagesAreHeldWhileTheyAreReceived(t *testing.T) {
	const most = 300 << 10
	noRoom := errors.New("no room")
	held, highest := 0, 0
	c := codec{read: func(int) {}, wrote: func(int) {},
		hold: func(n int) error {
			if held+n > most {
				return noRoom
			}
			held += n
			highest = max(highest, held)
			return nil
		},
		release: func(n int) { held -= n }}
	read := func(announced int, text string) error {
		var v json.RawMessage
		frame := append(binary.AppendUvarint(nil, uint64(announced)), text...)
		err := c.ReadObject(bufio.NewReader(bytes.NewReader(frame)), &v)
		require.Zero(t, held)
		return err
	}
	for _, n := range []int{2, 64 << 10, 64<<10 + 1, 200 << 10, most} {
		highest = 0
		require.NoError(t, read(n, `"`+strings.Repeat("x", n-2)+`"`), "%d bytes", n)
		require.Equal(t, n, highest)
	}
	require.ErrorIs(t, read(most+1, `"`+strings.Repeat("x", most-1)+`"`), noRoom)
	highest = 0
	require.Error(t, read(MaxMessage, strings.Repeat("x", 100<<10)))
	require.Equal(t, 128<<10, highest, "an announced length takes no memory by itself")
	require.ErrorIs(t, read(MaxMessage+1, ""), ErrMalformed)
}
