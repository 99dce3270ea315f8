package relay

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/standins/fleet"
)

// rejectingView rejects all writes for good.
type rejectingView struct{ *fleet.View }

func (rejectingView) Commit(context.Context, platform.Priority, platform.Txn) (map[string]uint64, error) {
	return nil, errors.WithStack(platform.ErrRejected)
}

// Guards against a write that the store refuses for good and that is repeated, as one with an unknown outcome,
// because it was relayed.
func TestRejectionIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, rows := newStores(func(string) fleet.Fault { return fleet.Refuse })
		p.Table = rejectingView{&fleet.View{Store: rows}}
		_, err := s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrRejected)
		require.NotErrorIs(t, err, platform.ErrUnknownOutcome)
		require.ErrorIs(t, errorFromReply(&peer.StoreReply{Failure: "of a later version"}), platform.ErrUnknownOutcome)
	})
}
