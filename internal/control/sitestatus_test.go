package control

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

func (l *link) DCStatus(ctx context.Context, m *peer.DCStatus) (*peer.DCStatusReply, error) {
	return send(ctx, l, peer.MethodDCStatus, m, peer.ControlHandler.DCStatus)
}

// Guards against a status that also counts a replaced coordinator, or that leaves out a
// data centre without a coordinator.
func TestMergeStatusKeepsHighestToken(t *testing.T) {
	reply := func(dc model.DataCentre, e model.EntryVM, epoch uint64, running int) *peer.DCStatusReply {
		return &peer.DCStatusReply{From: peer.Sender{Entry: e, DC: dc}, Coordinator: true,
			Token: model.Token{Epoch: epoch}, Running: map[model.Team]int{"t": running}}
	}
	s := mergeStatus([]model.DataCentre{"a", "b", "c"}, []*peer.DCStatusReply{
		reply("a", "a-1", 4, 3), reply("a", "a-2", 5, 2), reply("b", "b-1", 1, 1),
	})
	require.Equal(t, 3, s.Running["t"])
	require.Equal(t, []DCCoordinator{
		{DC: "a", Entry: "a-2", Token: model.Token{Epoch: 5}},
		{DC: "b", Entry: "b-1", Token: model.Token{Epoch: 1}},
		{DC: "c"},
	}, s.Coordinators)
}

// Guards against progress of a wave that seems to include a data centre whose coordinator does not
// know it yet.
func TestMergeStatusNamesTheDataCentresOfAWave(t *testing.T) {
	s := mergeStatus([]model.DataCentre{"a", "b", "c"}, []*peer.DCStatusReply{
		{From: peer.Sender{Entry: "a-1", DC: "a"}, Coordinator: true, Waves: []peer.WaveStatus{{Name: "w", Done: 1, Total: 2}}},
		{From: peer.Sender{Entry: "b-1", DC: "b"}, Coordinator: true},
		{From: peer.Sender{Entry: "c-1", DC: "c"}, Coordinator: true, Waves: []peer.WaveStatus{{Name: "w", Done: 2, Total: 2}}},
	})
	require.Equal(t, []peer.WaveStatus{{Name: "w", Done: 3, Total: 4}}, s.Waves)
	require.Equal(t, []model.DataCentre{"a", "c"}, s.WavesFrom["w"])
}

// panickingPeer is a peer whose answers can't be handled.
type panickingPeer struct{ PeerClient }

func (panickingPeer) DCStatus(context.Context, *peer.DCStatus) (*peer.DCStatusReply, error) {
	panic("x")
}

func (panickingPeer) ConfigGet(context.Context, *peer.ConfigGet) (*peer.ConfigGetReply, error) {
	panic("x")
}

// Guards against a process that ends because an answer to an operator's question panicked.
func TestUnexpectedErrorInAStatusEndsNothingElse(t *testing.T) {
	inBubble(t, map[model.DataCentre]int{"a": 2}, func(cl *cluster) {
		entry := cl.startServing(8, 100)
		c := cl.nodes[entry].control
		for name, r := range c.peerClients {
			c.peerClients[name] = panickingPeer{r}
		}
		ctx := context.Background()
		require.Equal(t, []DCCoordinator{{DC: "a", Entry: entry, Token: model.Token{Epoch: 1}}}, c.SiteStatus(ctx).Coordinators)
		s := c.ConfigStatus(ctx, 1)
		require.Equal(t, 1, s.InForce)
		require.Len(t, s.Missing, 1)
		require.Contains(t, s.Missing[0].Reason, "panic")
	})
}
