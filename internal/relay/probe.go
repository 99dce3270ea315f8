package relay

import (
	"context"
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
	// probeDelay is how long a probe waits for the store's own answer, which usually takes 5 to 10 ms, before
	// it asks peers.
	probeDelay = 150 * time.Millisecond
	// probeRepeatDelay is the same after a failed probe, when it matters how soon peers turn out to be silent.
	probeRepeatDelay = 30 * time.Millisecond
	// probeWithin is when a peer answers a probe at the latest, whether or not the store has answered it. A
	// peer that waits for the store can thus be told from one that cannot be reached.
	probeWithin = 150 * time.Millisecond
	// peerProbeTimeout allows for the way to the peer and back.
	peerProbeTimeout = 300 * time.Millisecond
	// probePause is the pause before peers are asked again while the store's own answer is awaited.
	probePause = 50 * time.Millisecond
	// probePeers is how many peers a probe asks, and probeSilent how many of them are peers that have not
	// answered lately, so that it shows soon whether they stay silent.
	probePeers  = 3
	probeSilent = 2
	// silenceGap is the longest pause between two unanswered probes of a peer that count as one silence. A
	// peer that is silent is asked again with the next probe, at most 1.5 s later.
	silenceGap = 2 * time.Second
	// reachedTTL is for how long after a peer made a call at the store it counts as reaching the store.
	reachedTTL = 2 * time.Second
	// answeredTTL is for how long after its answer a peer counts as having answered lately. Within it, several
	// rounds of probes ask peers.
	answeredTTL = 2 * time.Second
	// relayedTTL is for how long after a call through a peer a failed direct call is not reported to OnFailure.
	relayedTTL = 2 * time.Second
	// backgroundGetTimeout bounds a read that goes on after its caller was answered. A store that is slow by
	// a factor of 60 answers in 0.5 s.
	backgroundGetTimeout = 900 * time.Millisecond
)

// Contact is how a peer answered probes and other calls.
type Contact struct {
	// Answered is set if it answered the last call.
	Answered bool
	// AnsweredLately is set if it answered a call within the last seconds.
	AnsweredLately bool
	// SilentFor is from the beginning of the first to the end of the last probe that it did not answer.
	SilentFor time.Duration
	// ReachesStore is set if it made a call at the store within the last seconds.
	ReachesStore bool
}

// instant is a point in time that goroutines share. The zero value is a time long ago.
type instant struct{ p atomic.Pointer[time.Time] }

// advance sets the time unless it is later already.
func (i *instant) advance(t time.Time) {
	for {
		old := i.p.Load()
		if old != nil && !t.After(*old) || i.p.CompareAndSwap(old, &t) {
			return
		}
	}
}

func (i *instant) get() time.Time {
	if t := i.p.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// next returns the contact after a further call. Only a probe shows that a peer is silent: a peer may take as
// long over any other call as the store takes.
func (c contact) next(began, ended time.Time, probe bool, a *peer.StoreReply, err error) contact {
	c.calledAt = ended
	ok := err == nil && a.Failure != peer.StoreUnavailable
	// A peer answers a probe before its own read of the store ends. "Unavailable" then does not mean that it
	// could not make a call that waits for longer, also if an earlier call through it failed.
	if late := probe && err == nil && !ok; !late {
		c.at, c.ok = ended, ok
	}
	if c.answered = !unanswered(err); c.answered {
		c.answeredAt = ended
	}
	switch {
	case c.answered, ended.Sub(began) > silenceGap: // this process was suspended meanwhile
		c.silentSince, c.silentUntil = time.Time{}, time.Time{}
	case probe && (c.silentSince.IsZero() || began.Sub(c.silentUntil) > silenceGap):
		c.silentSince, c.silentUntil = began, ended
	case probe:
		c.silentUntil = ended
	}
	if ok && a.Failure != peer.StoreUnknown {
		c.reached = ended
	}
	return c
}

// unanswered reports whether an error means that the peer did not answer. A peer that answers with an error,
// or has too many calls in progress, can be reached.
func unanswered(err error) bool {
	return errors.Is(err, peer.ErrNoAnswer) || errors.Is(err, peer.ErrRefused) || errors.Is(err, peer.ErrNotConnected)
}

// LastServed returns when the latest call began that the store has answered, directly or through a peer; zero if
// none. An answer that took long thus does not speak for the time since.
func (s *Store) LastServed() time.Time { return s.served.get() }

// Contact returns how a peer answered.
func (s *Store) Contact(p PeerClient) Contact {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.contacts[p]
	return Contact{
		Answered: c.answered, AnsweredLately: !c.answeredAt.IsZero() && time.Since(c.answeredAt) < answeredTTL,
		SilentFor:    c.silentUntil.Sub(c.silentSince),
		ReachesStore: !c.reached.IsZero() && time.Since(c.reached) < reachedTTL,
	}
}

// ForgetSilence forgets which peers did not answer. It is for a process that was suspended, which cannot
// tell an answer that did not come from one that it did not read in time.
func (s *Store) ForgetSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, c := range s.contacts {
		c.silentSince, c.silentUntil = time.Time{}, time.Time{}
		s.contacts[p] = c
	}
}

// Probe reads a row to find out whether the store can be reached. If it does not answer at once, or did not
// answer the probe before, a few peers are asked as well. They are asked again until it answers, unless all
// have answered that they do not reach it either: each such answer costs a read of a store that is away or
// slow. No peer is asked after the store's rate limit. It fails if neither the store nor a peer answers before
// ctx ends.
func (s *Store) Probe(ctx context.Context, p platform.Priority, key string) (err error) {
	defer func() { s.probeFailed.Store(err != nil) }()
	began := time.Now()
	direct := s.getInBackground(p, key)
	delay := probeDelay
	if s.probeFailed.Load() {
		delay = probeRepeatDelay
	}
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	for asked := false; ; asked = true {
		select {
		case r := <-direct:
			switch {
			case r.err == nil:
				s.served.advance(began)
				return nil
			case asked || errors.Is(r.err, platform.ErrThrottled):
				return r.err
			}
			if reached, _ := s.probePeers(ctx, p, key); reached {
				return nil
			}
			return r.err
		case <-hedge.C:
			reached, again := s.probePeers(ctx, p, key)
			if reached {
				return nil
			}
			if end, ok := ctx.Deadline(); again && (!ok || time.Until(end) >= peerProbeTimeout) {
				hedge.Reset(probePause)
			}
		case <-ctx.Done():
			return errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
	}
}

type getResult struct {
	row platform.Row
	err error
}

// getInBackground reads a row directly. The read goes on when nobody waits for it any more, so that the
// client's circuit breaker learns its outcome.
func (s *Store) getInBackground(p platform.Priority, key string) <-chan getResult {
	done := make(chan getResult, 1)
	run := s.Background
	if run == nil {
		run = func(f func(context.Context)) { go f(context.Background()) }
	}
	run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, backgroundGetTimeout)
		defer cancel()
		r, err := s.Table.Get(ctx, p, key)
		done <- getResult{r, err}
	})
	return done
}

// probePeers reports whether a peer can read a row, and whether asking again may tell more: it does not if
// all answered that the store is unavailable. It returns when all that were asked have answered or taken too long.
func (s *Store) probePeers(ctx context.Context, p platform.Priority, key string) (reached, again bool) {
	var wg sync.WaitGroup
	var readable, undecided atomic.Bool
	for _, c := range s.peersToProbe() {
		wg.Go(func() {
			a, err := s.ask(ctx, c, &peer.StoreCall{From: s.Self, Priority: int(p), Get: key, WithinMS: probeWithin.Milliseconds()}, peerProbeTimeout)
			switch {
			case err != nil || a.Failure != "" && a.Failure != peer.StoreUnavailable:
				undecided.Store(true)
			case a.Failure == "":
				readable.Store(true)
			}
		})
	}
	wg.Wait()
	if s.OnPeersAsked != nil {
		s.OnPeersAsked()
	}
	return readable.Load(), undecided.Load()
}

// peersToProbe returns the peers that the next probe asks: those that have been silent the longest, and
// otherwise those that were not called for the longest time. While any is silent, at least one of another data
// centre that is not silent is among them, so that it soon shows whether none answers there.
func (s *Store) peersToProbe() []PeerClient {
	peers := s.Peers()
	var remote []PeerClient
	if s.RemotePeers != nil {
		remote = s.RemotePeers()
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var silent, others []PeerClient
	for _, p := range peers {
		if c := s.contacts[p]; !c.silentSince.IsZero() && now.Sub(c.silentUntil) <= silenceGap {
			silent = append(silent, p)
		} else {
			others = append(others, p)
		}
	}
	slices.SortStableFunc(silent, func(a, b PeerClient) int { return s.contacts[a].silentSince.Compare(s.contacts[b].silentSince) })
	slices.SortStableFunc(others, func(a, b PeerClient) int { return s.contacts[a].calledAt.Compare(s.contacts[b].calledAt) })
	first := min(len(silent), max(probeSilent, probePeers-len(others)))
	first = min(first, probePeers)
	rest := min(len(others), probePeers-first)
	chosen := append(silent[:first:first], others[:rest]...)
	isRemote := func(p PeerClient) bool { return slices.Contains(remote, p) }
	if len(silent) > 0 && !slices.ContainsFunc(others[:rest], isRemote) {
		if k := slices.IndexFunc(others[rest:], isRemote); k >= 0 {
			chosen = append(chosen, others[rest+k])
		}
	}
	return chosen
}

// serveGet reads a row on behalf of a peer.
func (s *Store) serveGet(ctx context.Context, p platform.Priority, m *peer.StoreCall) (platform.Row, error) {
	if m.WithinMS <= 0 {
		return s.Table.Get(ctx, p, m.Get)
	}
	within := time.NewTimer(time.Duration(min(m.WithinMS, backgroundGetTimeout.Milliseconds())) * time.Millisecond)
	defer within.Stop()
	select {
	case r := <-s.getInBackground(p, m.Get):
		return r.row, r.err
	case <-within.C:
		return platform.Row{}, errors.Wrap(platform.ErrUnavailable, "the store has not answered in time")
	case <-ctx.Done():
		return platform.Row{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
}
