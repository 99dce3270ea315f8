package relay

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

// Guards against a row with an empty value that counts as removed once it has passed through a peer: the
// existence of an evacuation's row is the request.
func TestEmptyValueIsNoRemoval(t *testing.T) {
	in := []platform.Row{{Key: "op/evacuate/a", Version: 1, Value: []byte{}}, {Key: "op/evacuate/b", Version: 2}, {Key: "op/evacuate/c", Version: 3, Value: []byte("{}")}}
	data, err := json.Marshal(toWireRows(in))
	require.NoError(t, err)
	var wire []peer.StoreRow
	require.NoError(t, json.Unmarshal(data, &wire))
	require.Equal(t, in, fromWireRows(wire))
}
