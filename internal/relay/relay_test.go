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

// served is a peer that makes calls at its own view of the store.
type served struct {
	*Store
	calls int
	err   error
}

type peerOf struct{ s *served }

func (p peerOf) Store(ctx context.Context, m *peer.StoreCall) (*peer.StoreAnswer, error) {
	p.s.calls++
	if p.s.err != nil {
		return nil, p.s.err
	}
	return p.s.Store.Serve(ctx, m), nil
}

func site(fault func(string) fleet.Fault) (s *Store, p *served, rows *fleet.Store) {
	rows = fleet.NewStore()
	far := &fleet.View{Store: rows}
	p = &served{Store: &Store{Table: far, Feed: far, Peers: func() []Peer { return nil }}}
	near := &fleet.View{Store: rows, Fault: fault}
	s = &Store{Table: near, Feed: near, Peers: func() []Peer { return []Peer{peerOf{p}} }}
	return s, p, rows
}

func txn() platform.Txn {
	return platform.Txn{Conditions: []platform.Condition{{Key: "t/1"}}, Puts: []platform.Put{{Key: "t/1", Value: []byte(`"v"`)}}}
}

// Guards against an entry VM that rejects callers while the store turns only it away.
func TestCallsGoThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, rows := site(func(string) fleet.Fault { return fleet.Refuse })
		ctx := context.Background()
		v, err := s.Commit(ctx, 0, txn())
		require.NoError(t, err)
		require.Equal(t, rows.Row("t/1").Version, v["t/1"])
		_, err = s.Commit(ctx, 0, txn())
		require.ErrorIs(t, err, platform.ErrConflict)
		r, err := s.Get(ctx, 0, "t/1")
		require.NoError(t, err)
		require.Equal(t, `"v"`, string(r.Value))
		missing, err := s.Get(ctx, 0, "t/2")
		require.NoError(t, err)
		require.Zero(t, missing.Version)
		c, err := s.ReadAll(ctx, 0, "t")
		require.NoError(t, err)
		require.Len(t, c.Rows, 1)
		rows.Compact()
		_, err = s.Changes(ctx, 0, "t", 0, 0)
		require.ErrorIs(t, err, platform.ErrHistoryGone)
		require.Equal(t, 6, p.calls)
	})
}

// Guards against a write that is made twice: one whose answer was lost must not go
// another way.
func TestUnknownOutcomesDoNotTravel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := site(func(string) fleet.Fault { return fleet.Lose })
		_, err := s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		require.Zero(t, p.calls)
	})
}

// Guards against a refusal that may be untrue: without an answer of the peer the write may
// have been made.
func TestPeerWithoutAnswerLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := site(func(string) fleet.Fault { return fleet.Refuse })
		p.err = errors.Wrap(peer.ErrNoAnswer, "test")
		_, err := s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		p.err = errors.Wrap(peer.ErrRefused, "test")
		_, err = s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}
