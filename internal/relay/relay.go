// Package relay sends store calls through another entry VM when the platform's store
// rejects the calls of this one, or cannot be reached from it, but serves others. Each call
// is tried directly first and is passed to a peer only if it certainly had no effect. The
// peer makes the call directly or not at all, so that a call is never relayed twice.
//
// A write that a peer does not answer has an unknown outcome, so that its caller cannot be told
// that nothing was done. In a data centre that is cut off, most peers do not answer. A write is
// therefore passed only to a peer that has just answered, if need be a read made for that purpose.
package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// maxPeers is the maximum number of peers that a call is tried through. Up to a third of
	// a site's entry VMs are rejected at the same time, so that both fail in one of nine cases.
	maxPeers = 2
	// relayTimeout limits a call through one peer.
	relayTimeout = 1200 * time.Millisecond
	// contactTTL is for how long after an answer a peer counts as reachable.
	contactTTL = 200 * time.Millisecond
	// probeTimeout limits the read that finds out whether a peer can be reached and reaches the
	// store. It usually takes 10 ms.
	probeTimeout = 300 * time.Millisecond
	// silentTTL is for how long no write is passed to a peer that did not answer.
	silentTTL = 500 * time.Millisecond
	// maxRelayedWait is how long a relayed request for changes may wait for one at the store. It
	// must fit into relayTimeout.
	maxRelayedWait = 300 * time.Millisecond
)

// PeerClient is the connection to another entry VM that makes store calls on behalf of this one.
type PeerClient interface {
	Store(ctx context.Context, m *peer.StoreCall) (*peer.StoreReply, error)
}

// Store accesses the platform's store directly or through peers. Errors are those of
// platform.Table and platform.Feed.
type Store struct {
	Self  peer.Sender
	Table platform.Table
	Feed  platform.Feed
	// Peers returns the connections to the other entry VMs. They are comparable.
	Peers func() []PeerClient
	// RemotePeers, if set, returns those of Peers that are known to be in another data centre.
	RemotePeers func() []PeerClient
	// OnFailure, if set, is called after a call that the store did not answer, unless peers have answered
	// such calls lately. It must not block.
	OnFailure func()
	// OnPeersAsked, if set, is called when a probe has asked peers, while it may still await the store's answer.
	OnPeersAsked func()
	// Background runs f, which ends soon after its context does. If unset, f runs in its own goroutine.
	Background func(f func(ctx context.Context))

	// served is when the latest call began that the store has answered, directly or through a peer, and
	// relayed when a peer answered last.
	served, relayed instant
	// probeFailed is set if the last probe failed.
	probeFailed atomic.Bool

	mu sync.Mutex
	// contacts holds how each peer answered last.
	contacts map[PeerClient]contact // guarded by mu
}

// contact is how a peer answered last.
type contact struct {
	// calledAt is when the last call ended.
	calledAt time.Time
	// at is when the last call ended that shows whether it can make calls at the store.
	at time.Time
	// ok is set if it answered and could make the call at the store.
	ok bool
	// answered is set if it answered.
	answered bool
	// answeredAt is when it answered last, zero if it never did.
	answeredAt time.Time
	// reached is when the peer last made a call at the store, zero if it never did.
	reached time.Time
	// silentSince is when the first probe began, and silentUntil when the last one ended, that the peer did
	// not answer, without an answer or a long pause in between. Zero if it is not silent.
	silentSince, silentUntil time.Time
}

var (
	_ platform.Table = (*Store)(nil)
	_ platform.Feed  = (*Store)(nil)
)

// noEffect reports whether a failed call certainly had no effect, so that it may be retried
// through a peer.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited)
}

// Route tells how the store calls of one operation were made.
type Route struct{ relayed atomic.Bool }

// Relayed reports whether a direct call failed without effect, so that a relay was needed.
func (r *Route) Relayed() bool { return r.relayed.Load() }

type routeKey struct{}

// WithRoute returns a context whose store calls are recorded in the returned Route.
func WithRoute(ctx context.Context) (context.Context, *Route) {
	r := &Route{}
	return context.WithValue(ctx, routeKey{}, r), r
}

// mayRelay reports whether a call that was tried directly may be passed to a peer, and records its outcome. A
// call that its own caller gave up says nothing about the store.
func (s *Store) mayRelay(ctx context.Context, began time.Time, err error) bool {
	if err == nil || !noEffect(err) {
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			s.served.advance(began)
		}
		return false
	}
	if s.OnFailure != nil && !errors.Is(ctx.Err(), context.Canceled) && time.Since(s.relayed.get()) > relayedTTL {
		s.OnFailure()
	}
	return true
}

// callPeer makes a call through a peer. ok is false if no peer could make it either; the caller
// then returns the error of the direct call.
func (s *Store) callPeer(ctx context.Context, m *peer.StoreCall) (a *peer.StoreReply, ok bool, err error) {
	if r, ok := ctx.Value(routeKey{}).(*Route); ok {
		r.relayed.Store(true)
	}
	m.From = s.Self
	peers := s.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers[:min(len(peers), maxPeers)] {
		if ctx.Err() != nil {
			return nil, false, nil
		}
		if m.Commit != nil && !s.reachable(ctx, p, m) {
			continue
		}
		a, err := s.ask(ctx, p, m, relayTimeout)
		switch {
		case err != nil && m.Commit != nil && !notHandled(err):
			return nil, true, errors.Wrap(platform.ErrUnknownOutcome, err.Error())
		case err != nil || a.Failure == peer.StoreUnavailable:
			continue
		}
		s.relayed.advance(time.Now())
		return a, true, errorFromReply(a)
	}
	return nil, false, nil
}

// ask makes one call through one peer, and records how the peer answered. A call that its own caller
// ended says nothing about the peer.
func (s *Store) ask(ctx context.Context, p PeerClient, m *peer.StoreCall, timeout time.Duration) (*peer.StoreReply, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	a, err := p.Store(bounded, m)
	if err != nil && ctx.Err() != nil {
		return a, err
	}
	if err == nil && a.Failure != peer.StoreUnavailable && a.Failure != peer.StoreUnknown {
		s.served.advance(began)
	}
	s.mu.Lock()
	_, known := s.contacts[p]
	s.mu.Unlock()
	var peers []PeerClient
	if !known {
		peers = s.Peers()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.contacts == nil {
		s.contacts = map[PeerClient]contact{}
	}
	if !known { // only then can there be more than before
		maps.DeleteFunc(s.contacts, func(k PeerClient, _ contact) bool { return !slices.Contains(peers, k) })
	}
	s.contacts[p] = s.contacts[p].next(began, time.Now(), m.WithinMS > 0, a, err)
	return a, err
}

// reachable reports whether a write may be passed to a peer: it has just answered, or answers a read
// of the write's first row.
func (s *Store) reachable(ctx context.Context, p PeerClient, m *peer.StoreCall) bool {
	s.mu.Lock()
	last := s.contacts[p]
	s.mu.Unlock()
	switch age := time.Since(last.at); {
	case last.ok && age < contactTTL:
		return true
	case !last.ok && age < silentTTL, len(m.Commit.Puts) == 0:
		return false
	}
	a, err := s.ask(ctx, p, &peer.StoreCall{From: m.From, Priority: m.Priority, Get: m.Commit.Puts[0].Key}, probeTimeout)
	return err == nil && a.Failure != peer.StoreUnavailable
}

// notHandled reports whether the peer certainly did not handle a message.
func notHandled(err error) bool {
	for _, e := range []error{peer.ErrRefused, peer.ErrNotConnected, peer.ErrTooLarge, peer.ErrBusy} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// errorFromReply converts the failure in a reply to an error of package platform.
func errorFromReply(a *peer.StoreReply) error {
	switch a.Failure {
	case "":
		return nil
	case peer.StoreConflict:
		return &platform.ConflictError{Rows: fromWireRows(a.Rows)}
	case peer.StoreHistoryGone:
		return errors.Wrap(platform.ErrHistoryGone, a.Detail)
	case peer.StoreRejected:
		return errors.Wrap(platform.ErrRejected, a.Detail)
	}
	return errors.Wrap(platform.ErrUnknownOutcome, a.Detail)
}

func fromWireRows(in []peer.StoreRow) []platform.Row {
	out := make([]platform.Row, len(in))
	for i, r := range in {
		out[i] = platform.Row{Key: r.Key, Version: r.Version, Value: r.Value}
		switch {
		case r.Removed:
			out[i].Value = nil
		case r.Value == nil:
			out[i].Value = []byte{} // the encoding leaves out an empty value; nil means removed
		}
	}
	return out
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, p platform.Priority, key string) (platform.Row, error) {
	began := time.Now()
	r, err := s.Table.Get(ctx, p, key)
	if !s.mayRelay(ctx, began, err) {
		return r, err
	}
	if a, ok, rerr := s.callPeer(ctx, &peer.StoreCall{Priority: int(p), Get: key}); ok {
		if rerr != nil || len(a.Rows) != 1 {
			return r, errors.Wrap(platform.ErrUnavailable, "peer returned no row")
		}
		return fromWireRows(a.Rows)[0], nil
	}
	return r, err
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, p platform.Priority, prefix string, limit int) ([]platform.Row, error) {
	began := time.Now()
	r, err := s.Table.Scan(ctx, p, prefix, limit)
	if !s.mayRelay(ctx, began, err) {
		return r, err
	}
	if a, ok, rerr := s.callPeer(ctx, &peer.StoreCall{Priority: int(p), Scan: &peer.StoreScan{Prefix: prefix, Limit: limit}}); ok && rerr == nil {
		return fromWireRows(a.Rows), nil
	}
	return r, err
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, p platform.Priority, t platform.Txn) (map[string]uint64, error) {
	began := time.Now()
	v, err := s.Table.Commit(ctx, p, t)
	if !s.mayRelay(ctx, began, err) {
		return v, err
	}
	x := &peer.StoreTxn{}
	for _, c := range t.Conditions {
		x.Conditions = append(x.Conditions, peer.StoreRow{Key: c.Key, Version: c.Version})
	}
	for _, w := range t.Puts {
		x.Puts = append(x.Puts, peer.StoreRow{Key: w.Key, Value: w.Value, Removed: w.Value == nil})
	}
	a, ok, rerr := s.callPeer(ctx, &peer.StoreCall{Priority: int(p), Commit: x})
	if !ok {
		return v, err
	}
	if rerr != nil {
		return nil, rerr
	}
	versions := make(map[string]uint64, len(a.Rows))
	for _, r := range a.Rows {
		versions[r.Key] = r.Version
	}
	return versions, nil
}

// ReadAll implements platform.Feed.
func (s *Store) ReadAll(ctx context.Context, p platform.Priority, table string) (platform.Changes, error) {
	began := time.Now()
	c, err := s.Feed.ReadAll(ctx, p, table)
	if !s.mayRelay(ctx, began, err) {
		return c, err
	}
	if a, ok, rerr := s.callPeer(ctx, &peer.StoreCall{Priority: int(p), ReadAll: table}); ok && rerr == nil {
		return platform.Changes{Rows: fromWireRows(a.Rows), Version: a.Version}, nil
	}
	return c, err
}

// Changes implements platform.Feed. Through a peer it waits at most maxRelayedWait.
func (s *Store) Changes(ctx context.Context, p platform.Priority, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	began := time.Now()
	c, err := s.Feed.Changes(ctx, p, table, after, wait)
	if !s.mayRelay(ctx, began, err) {
		return c, err
	}
	m := &peer.StoreChanges{Table: table, After: after, WaitMS: min(wait, maxRelayedWait).Milliseconds()}
	a, ok, rerr := s.callPeer(ctx, &peer.StoreCall{Priority: int(p), Changes: m})
	switch {
	case !ok:
		return c, err
	case errors.Is(rerr, platform.ErrHistoryGone):
		return c, rerr
	case rerr != nil:
		return c, errors.Wrap(platform.ErrUnavailable, rerr.Error())
	}
	return platform.Changes{Rows: fromWireRows(a.Rows), Version: a.Version}, nil
}

// Serve makes a call on behalf of a peer. It calls the store directly only.
func (s *Store) Serve(ctx context.Context, m *peer.StoreCall) *peer.StoreReply {
	var a peer.StoreReply
	var err error
	p := platform.Priority(m.Priority)
	switch {
	case m.Commit != nil:
		err = s.serveCommit(ctx, p, m.Commit, &a)
	case m.Scan != nil:
		var rows []platform.Row
		rows, err = s.Table.Scan(ctx, p, m.Scan.Prefix, m.Scan.Limit)
		a.Rows = toWireRows(rows)
	case m.Changes != nil:
		var c platform.Changes
		c, err = s.Feed.Changes(ctx, p, m.Changes.Table, m.Changes.After, time.Duration(m.Changes.WaitMS)*time.Millisecond)
		a.Rows, a.Version = toWireRows(c.Rows), c.Version
	case m.ReadAll != "":
		var c platform.Changes
		c, err = s.Feed.ReadAll(ctx, p, m.ReadAll)
		a.Rows, a.Version = toWireRows(c.Rows), c.Version
	default:
		var r platform.Row
		r, err = s.serveGet(ctx, p, m)
		a.Rows = toWireRows([]platform.Row{r})
	}
	if err != nil {
		a = peer.StoreReply{Failure: classify(err), Detail: err.Error()}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			a.Rows = toWireRows(conflict.Rows)
		}
	}
	return &a
}

func (s *Store) serveCommit(ctx context.Context, p platform.Priority, x *peer.StoreTxn, a *peer.StoreReply) error {
	var t platform.Txn
	for _, c := range x.Conditions {
		t.Conditions = append(t.Conditions, platform.Condition{Key: c.Key, Version: c.Version})
	}
	for _, w := range x.Puts {
		put := platform.Put{Key: w.Key, Value: w.Value}
		if w.Removed {
			put.Value = nil
		}
		t.Puts = append(t.Puts, put)
	}
	v, err := s.Table.Commit(ctx, p, t)
	for key, version := range v {
		a.Rows = append(a.Rows, peer.StoreRow{Key: key, Version: version})
	}
	return err
}

func classify(err error) peer.StoreFailure {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return peer.StoreConflict
	case errors.Is(err, platform.ErrHistoryGone):
		return peer.StoreHistoryGone
	case errors.Is(err, platform.ErrRejected):
		return peer.StoreRejected
	case noEffect(err):
		return peer.StoreUnavailable
	}
	return peer.StoreUnknown
}

func toWireRows(in []platform.Row) []peer.StoreRow {
	out := make([]peer.StoreRow, len(in))
	for i, r := range in {
		out[i] = peer.StoreRow{Key: r.Key, Version: r.Version, Value: r.Value, Removed: r.Value == nil}
	}
	return out
}
