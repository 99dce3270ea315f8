package peer

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

// Guards against messages between the entry VMs of a site that crash the decoder, and against accepting
// messages without a sender.
func FuzzDecodeSiteMessages(f *testing.F) {
	msgs := []any{&CoordinatorHeartbeat{From: testSender}, &CoordinatorHeartbeat{From: testSender, OperatorVersion: 7, Evacuated: []model.DataCentre{"a"}}, &JobOffer{From: testSender, Row: json.RawMessage("{}")}, &JobRequest{From: testSender, Job: "00000000000000aa"},
		&SiteConfigGet{From: testSender}, &StoreCall{From: testSender, Commit: &StoreTxn{Puts: []StoreRow{{Key: "job/1", Value: []byte("{}")}}}}, &Ping{From: testSender}}
	for _, m := range msgs {
		b, err := json.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte(`{"from":{"entry":"","inc":"x"}}`))
	f.Add([]byte(`{"from":{"entry":"a","inc":"x"},"commit":{"put":[{"k":7}]}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for name, r := range siteRoutes {
			m, from, err := r.decode(data)
			if err != nil {
				require.ErrorIs(t, err, ErrMalformed)
				continue
			}
			require.NotEmpty(t, from.Entry, name)
			again, err := json.Marshal(m)
			require.NoError(t, err, name)
			_, from2, err := r.decode(again)
			require.NoError(t, err, name)
			require.Equal(t, from, from2)
		}
		for _, reply := range []any{new(CoordinatorHeartbeatReply), new(JobReply), new(SiteConfig), new(StoreReply), new(Empty)} {
			_ = json.Unmarshal(data, reply)
		}
	})
}
