package relay

import (
	"context"
	stderrors "errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/standins/fleet"
)

// fakePeer is a peer that makes calls through its own view of the store.
type fakePeer struct {
	*Store
	calls atomic.Int64
	// err and writeErr are the errors of all calls and of writes.
	err, writeErr error
}

type fakePeerClient struct{ s *fakePeer }

func (p fakePeerClient) Store(ctx context.Context, m *peer.StoreCall) (*peer.StoreReply, error) {
	p.s.calls.Add(1)
	switch {
	case p.s.err != nil:
		return nil, p.s.err
	case m.Commit != nil && p.s.writeErr != nil:
		return nil, p.s.writeErr
	}
	return p.s.Store.Serve(ctx, m), nil
}

func newStores(fault func(string) fleet.Fault) (s *Store, p *fakePeer, rows *fleet.Store) {
	rows = fleet.NewStore()
	peerView := &fleet.View{Store: rows}
	p = &fakePeer{Store: &Store{Table: peerView, Feed: peerView, Peers: func() []PeerClient { return nil }}}
	localView := &fleet.View{Store: rows, Fault: fault}
	s = &Store{Table: localView, Feed: localView, Peers: func() []PeerClient { return []PeerClient{fakePeerClient{p}} }}
	return s, p, rows
}

func txn() platform.Txn {
	return platform.Txn{Conditions: []platform.Condition{{Key: "t/1"}}, Puts: []platform.Put{{Key: "t/1", Value: []byte(`"v"`)}}}
}

// Guards against an entry VM that rejects callers although only its own store calls are
// rejected and those of its peers succeed.
func TestCallsGoThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, rows := newStores(func(string) fleet.Fault { return fleet.Refuse })
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
		require.EqualValues(t, 7, p.calls.Load(), "one read before the first write")
	})
}

// Guards against a write that is made twice: a write whose answer was lost may have been
// stored and must not be relayed.
func TestUnknownOutcomesAreNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(func(string) fleet.Fault { return fleet.Lose })
		_, err := s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		require.Zero(t, p.calls.Load())
	})
}

// Guards against reporting that a write had no effect when the peer did not answer: the peer
// may have stored it. A refused connection to the peer does mean that it had no effect.
func TestUnansweredPeerCallHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(func(string) fleet.Fault { return fleet.Refuse })
		p.writeErr = errors.Wrap(peer.ErrNoAnswer, "test")
		_, err := s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		p.writeErr = errors.Wrap(peer.ErrRefused, "test")
		time.Sleep(silentTTL)
		_, err = s.Commit(context.Background(), 0, txn())
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

// Guards against an unknown outcome, after which callers cannot try again, for writes that were never
// made: the load is that of a data centre that is cut off from the store and from the other entry
// VMs while callers still reach it.
func TestWritesInACutDataCentreAreKnownToHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, rows := newStores(func(string) fleet.Fault { return fleet.Refuse })
		ctx := context.Background()
		_, err := s.Commit(ctx, 0, txn())
		require.NoError(t, err)
		time.Sleep(contactTTL)
		p.err = errors.Wrap(peer.ErrNoAnswer, "cut off")
		began := time.Now()
		for range 100 {
			_, err := s.Commit(ctx, 0, platform.Txn{Puts: []platform.Put{{Key: "t/2", Value: []byte(`"v"`)}}})
			require.ErrorIs(t, err, platform.ErrUnavailable)
			time.Sleep(20 * time.Millisecond)
		}
		require.Less(t, p.calls.Load(), int64(10), "peers that do not answer are tried seldom")
		require.Less(t, time.Since(began), 3*time.Second)
		p.err = nil
		time.Sleep(silentTTL)
		_, err = s.Commit(ctx, 0, platform.Txn{Puts: []platform.Put{{Key: "t/2", Value: []byte(`"v"`)}}})
		require.NoError(t, err)
		require.Equal(t, `"v"`, string(rows.Row("t/2").Value))
	})
}

// Guards against a peer that is left out because a caller gave up: its deadline says nothing about the
// peer.
func TestImpatientCallerDoesNotLeaveOutAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(func(string) fleet.Fault { return fleet.Refuse })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.err = errors.Wrap(peer.ErrNoAnswer, "the caller gave up")
		_, err := s.ask(ctx, fakePeerClient{p}, &peer.StoreCall{Get: "t/1"}, time.Second)
		require.Error(t, err)
		p.err = nil
		_, err = s.Commit(context.Background(), 0, txn())
		require.NoError(t, err)
	})
}

// Guards against a coordinator that does not notice that its writes need a relay: also one that no peer could
// make did.
func TestRouteTellsOfARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fault := fleet.None
		s, p, _ := newStores(func(string) fleet.Fault { return fault })
		ctx, route := WithRoute(context.Background())
		_, err := s.Commit(ctx, 0, txn())
		require.NoError(t, err)
		require.False(t, route.Relayed())
		fault = fleet.Refuse
		_, err = s.Get(ctx, 0, "t/1")
		require.NoError(t, err)
		require.True(t, route.Relayed())
		p.err = errors.Wrap(peer.ErrNoAnswer, "test")
		time.Sleep(contactTTL)
		ctx, route = WithRoute(context.Background())
		_, err = s.Commit(ctx, 0, txn())
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.True(t, route.Relayed())
	})
}

// Guards against a peer that counts as unreachable because the store answers it late, because of one lost
// answer, or because of an earlier silence, and against one that is cut off and does not.
func TestProbesTellSilentPeersFromThoseWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(func(string) fleet.Fault { return fleet.Refuse })
		client := fakePeerClient{p}
		ctx := context.Background()
		probe := func() error {
			defer time.Sleep(200 * time.Millisecond)
			bounded, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			return s.Probe(bounded, 0, "t/1")
		}
		require.NoError(t, probe())
		require.Equal(t, Contact{Answered: true, AnsweredLately: true, ReachesStore: true}, s.Contact(client))
		time.Sleep(reachedTTL)
		require.Equal(t, Contact{Answered: true}, s.Contact(client))

		// The store keeps the peer waiting.
		p.Table = &fleet.View{Store: fleet.NewStore(), Fault: func(string) fleet.Fault { return fleet.Lose }}
		began := time.Now()
		require.ErrorIs(t, probe(), platform.ErrUnavailable)
		require.Less(t, time.Since(began), 500*time.Millisecond)
		require.Equal(t, Contact{Answered: true, AnsweredLately: true}, s.Contact(client))

		// It does not answer.
		for i, err := range []error{peer.ErrNoAnswer, peer.ErrRefused, peer.ErrNotConnected} {
			p.err = errors.Wrap(err, "test")
			require.ErrorIs(t, probe(), platform.ErrUnavailable)
			require.Equal(t, Contact{AnsweredLately: true, SilentFor: time.Duration(204*i) * time.Millisecond}, s.Contact(client), "it ends with the last probe")
		}
		time.Sleep(time.Hour)
		for range 2 { // the store may keep a peer waiting for longer than the time limit of a relayed call
			p.err = errors.Wrap(peer.ErrNoAnswer, "test")
			_, err := s.Get(ctx, 0, "t/1")
			require.Error(t, err)
			time.Sleep(100 * time.Millisecond)
			require.Less(t, s.Contact(client).SilentFor, time.Second, "only probes count")
		}
		p.err = errors.Wrap(peer.ErrNoAnswer, "test")
		require.ErrorIs(t, probe(), platform.ErrUnavailable)
		require.Zero(t, s.Contact(client).SilentFor, "another silence")
		s.ForgetSilence()
		require.Zero(t, s.Contact(client).SilentFor)
		p.err = errors.Wrap(peer.ErrBusy, "test")
		require.ErrorIs(t, probe(), platform.ErrUnavailable)
		require.Equal(t, Contact{Answered: true, AnsweredLately: true}, s.Contact(client), "it can be reached")
	})
}

// Guards against a silence that is never confirmed because other peers are asked, and against probes that ask
// all peers of a large site.
func TestProbesAskSilentPeersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, answering, _ := newStores(func(string) fleet.Fault { return fleet.Refuse })
		answering.Table = s.Table
		peers := []PeerClient{}
		cut := &fakePeer{Store: answering.Store, err: errors.Wrap(peer.ErrNoAnswer, "cut off")}
		for range 20 {
			peers = append(peers, &fakePeerClient{answering}, &fakePeerClient{cut})
		}
		s.Peers = func() []PeerClient { return append([]PeerClient(nil), peers...) }
		for i := range 10 {
			require.Error(t, s.Probe(context.Background(), 0, "t/1"))
			require.EqualValues(t, probePeers*(i+1), answering.calls.Load()+cut.calls.Load())
			time.Sleep(200 * time.Millisecond)
		}
		longest := time.Duration(0)
		for _, p := range peers {
			longest = max(longest, s.Contact(p).SilentFor)
		}
		require.Greater(t, longest, 1500*time.Millisecond)
		require.Positive(t, answering.calls.Load())
	})
}

// Guards against probes because of calls that their callers gave up, that peers answer, or that the store
// answers with an error.
func TestFailuresAreReportedOnlyIfNobodyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fault := fleet.None
		s, p, _ := newStores(func(string) fleet.Fault { return fault })
		reported := 0
		s.OnFailure = func() { reported++ }
		ctx := context.Background()
		for range 2 {
			_, _ = s.Commit(ctx, 0, txn()) // stored, then a conflict
		}
		require.Zero(t, reported)
		fault = fleet.Lose
		_, err := s.Commit(ctx, 0, txn())
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = s.Get(cancelled, 0, "t/1")
		require.Error(t, err)
		require.Zero(t, reported)
		fault = fleet.Refuse
		for range 100 {
			_, err = s.Get(ctx, 0, "t/1")
			require.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 1, reported, "peers answer such calls")
		p.err = errors.Wrap(peer.ErrNoAnswer, "cut off")
		time.Sleep(relayedTTL + time.Millisecond)
		_, err = s.Get(ctx, 0, "t/1")
		require.Error(t, err)
		require.Equal(t, 2, reported)
	})
}

// Guards against writes that are passed to no peer while the store answers peers more slowly than they answer
// probes.
func TestLateProbeDoesNotLeaveOutAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, rows := newStores(func(string) fleet.Fault { return fleet.Refuse })
		p.Table = &fleet.View{Store: rows, Fault: func(string) fleet.Fault { time.Sleep(200 * time.Millisecond); return fleet.None }}
		ctx := context.Background()
		for _, key := range []string{"t/1", "t/2"} { // before and after the peer's first call other than a probe
			require.ErrorIs(t, s.Probe(ctx, 0, key), platform.ErrUnavailable)
			_, err := s.Commit(ctx, 0, platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte(`"v"`)}}})
			require.NoError(t, err)
		}
	})
}

// failingTable answers reads with an error.
type failingTable struct {
	platform.Table
	err error
}

func (t failingTable) Get(context.Context, platform.Priority, string) (platform.Row, error) {
	return platform.Row{}, t.err
}

// Guards against an entry VM that returns to rotation by probes that the store did not carry out.
func TestOnlyAReadThatSucceedsIsASuccessfulProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(nil)
		p.err = errors.Wrap(peer.ErrNoAnswer, "cut off")
		require.NoError(t, s.Probe(context.Background(), 0, "t/1"))
		served := s.LastServed()
		for _, err := range []error{platform.ErrUnknownOutcome, platform.ErrRejected, platform.ErrUnavailable} {
			time.Sleep(time.Second)
			s.Table = failingTable{err: errors.Wrap(err, "test")}
			require.ErrorIs(t, s.Probe(context.Background(), 0, "t/1"), err)
			require.Equal(t, served, s.LastServed())
		}
	})
}

// Guards against probes that multiply the reads of a store that is away or limits their rate, and against a cut
// that shows later because silent peers are not asked again.
func TestProbesAskAgainOnlyIfPeersAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(func(string) fleet.Fault { return fleet.Lose })
		rounds := 0
		s.OnPeersAsked = func() { rounds++ }
		probe := func() int {
			rounds = 0
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			require.Error(t, s.Probe(ctx, 0, "t/1"))
			return rounds
		}
		p.Table = s.Table
		require.Equal(t, 1, probe(), "it answers that the store is away")
		p.err = errors.Wrap(peer.ErrNoAnswer, "cut off")
		require.Greater(t, probe(), 3)
		s.Table = failingTable{err: errors.Wrap(platform.ErrUnavailable, "test")}
		require.Equal(t, 1, probe())
		s.Table = failingTable{err: stderrors.Join(platform.ErrUnavailable, platform.ErrThrottled)}
		require.Zero(t, probe())
	})
}

// Guards against memory that grows with all entry VMs that ever belonged to the site.
func TestContactsOfFormerPeersAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p, _ := newStores(func(string) fleet.Fault { return fleet.Refuse })
		for range 10 {
			peers := []PeerClient{&fakePeerClient{p}, &fakePeerClient{p}}
			s.Peers = func() []PeerClient { return append([]PeerClient(nil), peers...) }
			for range 5 {
				require.NoError(t, s.Probe(context.Background(), 0, "t/1"))
			}
			require.Len(t, s.contacts, len(peers))
			for _, c := range peers {
				require.True(t, s.Contact(c).AnsweredLately)
			}
		}
	})
}
