package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
)

// Guards against messages that crash the decoder, and against accepting messages without a
// sender.
func FuzzDecodeMessages(f *testing.F) {
	names := make([]string, 0, len(routes))
	for n := range routes {
		names = append(names, n)
	}
	msgs := []any{&Heartbeat{From: testSender}, &Register{From: testSender}, &Acquire{From: testSender},
		&CancelAcquire{From: testSender}, &Release{From: testSender}, &Forward{From: testSender, Body: []byte("x")},
		&ConfigOffer{From: testSender}, &ConfigGet{From: testSender}, &Usage{From: testSender},
		&AllotmentAsk{From: testSender}, &JobGet{From: testSender}, &JobCancel{From: testSender},
		&HoldRecords{From: testSender}, &DropRecords{From: testSender}, &PullRecords{From: testSender}, &DCStatus{From: testSender}, &TaskOffer{From: testSender}, &TaskCancel{From: testSender},
		&Ping{From: testSender}}
	require.Len(f, msgs, len(names))
	for _, m := range msgs {
		b, err := json.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte(`{"from":{"entry":"","inc":"x"}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, n := range names {
			m, from, err := routes[n].decode(data)
			if err != nil {
				require.ErrorIs(t, err, ErrMalformed)
				continue
			}
			require.NotEmpty(t, from.Entry)
			again, err := json.Marshal(m)
			require.NoError(t, err)
			_, from2, err := routes[n].decode(again)
			require.NoError(t, err)
			require.Equal(t, from, from2)
		}
	})
}

// Guards against frames with a false length that exhaust memory, crash the read loop or
// count more bytes than were received.
func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	c := codec{read: func(int) {}, wrote: func(int) {}}
	require.NoError(f, c.WriteObject(&buf, map[string]int{"a": 1}))
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0x01, '{'})
	f.Add([]byte{0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		var req jsonrpc2.Request
		size := -1
		c := codec{read: func(n int) { size = n }}
		err := c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &req)
		require.LessOrEqual(t, size, len(data))
		if err == nil {
			require.Positive(t, size)
		}
	})
}
