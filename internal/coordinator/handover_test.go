package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/standins/fleet"
)

// panickingPeer fails unexpectedly on the announcement of a successor.
type panickingPeer struct{}

func (panickingPeer) CoordinatorHeartbeat(_ context.Context, m *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error) {
	if m.Released {
		panic("unexpected")
	}
	return &peer.CoordinatorHeartbeatReply{}, nil
}

// Guards against an unexpected error in the announcement of a successor that ends the process, before its
// callers have their answers.
func TestUnexpectedErrorInTheAnnouncementFailsNoHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		ts.store.Put(MemberTable+"/e2", []byte(`{"a":"b","d":"dc","i":"1"}`))
		d := ts.deps("e1", &fleet.View{Store: ts.store})
		d.Dial = func(model.EntryVM, string) PeerClient { return panickingPeer{} }
		term := Start(d, ts.acquire(d).WithTable(d.Table))
		defer endTerm(term)
		sleep(2 * time.Second)
		began := time.Now()
		require.NoError(t, term.Release(t.Context()))
		require.Less(t, time.Since(began), announceTimeout)
	})
}
