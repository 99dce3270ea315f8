package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/account"
	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/dispatch"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/settings"
	"boragepulley/internal/upstream"
)

// Guards against record copies that stay with an entry VM that is gone, and against copies that are
// all in one data centre.
func TestCopierTarget(t *testing.T) {
	peers := map[model.EntryVM]control.PeerState{
		"a-1": {DC: "a", Status: control.MemberAlive},
		"a-3": {DC: "a", Status: control.MemberAlive},
		"b-1": {DC: "b", Status: control.MemberAlive},
		"c-1": {DC: "c", Status: control.MemberAlive},
	}
	snapshot := func() *control.Snapshot { return &control.Snapshot{Peers: peers} }
	l := &links{self: peer.Sender{Entry: "a-2", DC: "a"}}
	near, far := &copier{links: l, snapshot: snapshot}, &copier{links: l, snapshot: snapshot, far: true}
	requireTargets := func(n, f model.EntryVM, why string) {
		t.Helper()
		require.Equal(t, n, near.Target(), why)
		require.Equal(t, f, far.Target(), why)
	}
	set := func(n model.EntryVM, s control.MemberStatus) {
		peers[n] = control.PeerState{DC: peers[n].DC, Status: s}
	}
	requireTargets("a-3", "c-1", "all alive")
	set("a-3", control.MemberSuspect)
	set("c-1", control.MemberSuspect)
	requireTargets("a-1", "b-1", "a target that is not alive is replaced")
	set("a-3", control.MemberAlive)
	set("c-1", control.MemberAlive)
	requireTargets("a-1", "b-1", "a living target is kept")
	set("a-1", control.MemberGone)
	set("a-3", control.MemberGone)
	requireTargets("", "b-1", "alone in its data centre")
	set("b-1", control.MemberGone)
	set("c-1", control.MemberGone)
	requireTargets("", "", "alone")
}

// Guards against a forward that may have arrived being taken for one that did not.
func TestForwardErrors(t *testing.T) {
	for _, e := range []error{peer.ErrRefused, peer.ErrNotConnected, peer.ErrTooLarge, peer.ErrBusy} {
		require.True(t, certainlyNotSent(errors.Wrap(e, "x")))
	}
	for _, e := range []error{peer.ErrNoAnswer, peer.ErrRemote, context.DeadlineExceeded, peer.ErrMalformed} {
		require.False(t, certainlyNotSent(errors.Wrap(e, "x")))
	}
	_, err := (&links{}).Forward(t.Context(), "nobody", peer.Forward{})
	require.ErrorIs(t, err, dispatch.ErrForwardNotSent)
}

// Guards against a cancellation that another entry VM did not make.
func TestCancelOutcome(t *testing.T) {
	reply := func(found, denied bool, s model.State) *peer.JobGetReply {
		return &peer.JobGetReply{Found: found, Denied: denied, Result: model.Result{State: s}}
	}
	require.NoError(t, cancelError(reply(true, false, model.StateCancelled)))
	require.ErrorIs(t, cancelError(reply(true, false, model.StateDispatched)), dispatch.ErrNotCancellable)
	require.ErrorIs(t, cancelError(reply(true, true, "")), dispatch.ErrNotOwner)
	require.ErrorIs(t, cancelError(reply(false, false, "")), dispatch.ErrNoSuchJob)
}

// Guards against an apply of unknown outcome that the operator is told did not happen.
func TestApplyErrors(t *testing.T) {
	require.ErrorIs(t, applyError(errors.Wrap(platform.ErrUnavailable, "x")), operator.ErrNotApplied)
	require.ErrorIs(t, applyError(errors.Wrap(platform.ErrRateLimited, "x")), operator.ErrNotApplied)
	require.ErrorIs(t, applyError(control.ErrApplyUnknown), operator.ErrOutcomeUnknown)
	require.ErrorIs(t, applyError(errors.New("anything else")), operator.ErrOutcomeUnknown)
	var c *operator.ConflictError
	require.ErrorAs(t, applyError(&control.ConflictError{Head: config.Head{Version: 7}}), &c)
	require.Equal(t, uint64(7), c.Head.Version)
}

// storeOnly keeps the names of stored objects.
type storeOnly struct{ names chan string }

func (s storeOnly) Put(_ context.Context, _ platform.Priority, name string, _ []byte) error {
	s.names <- name
	return nil
}
func (storeOnly) Get(context.Context, platform.Priority, string) ([]byte, error) {
	return nil, platform.ErrNotFound
}
func (storeOnly) List(context.Context, platform.Priority, string) ([]string, error) { return nil, nil }

// Guards against the copies of a replaced process that nobody stores, because the new
// process took over its name before it was seen as gone.
func TestReplacedIncarnationIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inc atomic.Value
		inc.Store(model.Incarnation("old"))
		store := storeOnly{make(chan string, 10)}
		h := account.NewReplicaStore("a-2", store, zerolog.Nop())
		b := account.Batch{Owner: account.Owner{Entry: "a-1", DC: "a", Incarnation: "old"}, First: 1, Last: 1,
			Records: []model.Record{{Job: "j"}}}
		payload, err := b.Encode()
		require.NoError(t, err)
		require.NoError(t, h.Hold(1, payload))
		snapshot := func() *control.Snapshot {
			return &control.Snapshot{Peers: map[model.EntryVM]control.PeerState{
				"a-1": {Incarnation: inc.Load().(model.Incarnation), Status: control.MemberAlive},
			}}
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go watchMembers(ctx, snapshot, h)
		go h.Run(ctx)
		time.Sleep(5 * time.Second)
		require.Empty(t, store.names)
		inc.Store(model.Incarnation("new"))
		time.Sleep(2 * time.Second)
		require.Equal(t, b.ObjectName(), <-store.names)
	})
}

// Guards against settings that pass the check but cannot start a daemon, and against a
// listener that stays open after a failed start.
func TestNewReportsAddressInUse(t *testing.T) {
	set := &settings.Settings{
		Name: "a-1", DC: "a", CallerListen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", PeerListen: "256.0.0.1:1",
		OperatorToken: "0123456789abcdef", PlatformURL: "http://127.0.0.1:1", SiteWritesPerSecond: 10, SiteReadsPerSecond: 10,
		Peers: []settings.Peer{{Name: "a-1", DC: "a", Addr: "127.0.0.1:1"}},
	}
	_, err := New(set, zerolog.Nop())
	require.ErrorContains(t, err, "daemon: listen")
}

// Guards against connections of a minion that are used up by ones that are closing, and
// against entry VMs that together open more than the minion has.
func TestConnectionBound(t *testing.T) {
	vm := config.VM{Slots: 8, Connections: 64}
	require.Equal(t, upstream.Limit{Open: 12, Total: 32}, connectionBound(vm, 2))
	require.Equal(t, upstream.Limit{Open: 8, Total: 8}, connectionBound(vm, 8))
	require.Equal(t, upstream.Limit{Open: 4, Total: 4}, connectionBound(config.VM{Slots: 8, Connections: 8}, 2))
}
