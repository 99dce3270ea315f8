package coordinator

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// lastWrites bounds the transactions that store what is not stored yet.
	lastWrites = 5
	// announceTimeout bounds the word to the other entry VMs.
	announceTimeout = 250 * time.Millisecond
	// idlePoll is how often the end of a write is looked for.
	idlePoll = 3 * time.Millisecond
)

// Release gives the lease up in order: no order is given any more, leases on minions are
// prolonged, progress is stored, and a successor is named.
func (t *Term) Release(ctx context.Context) error {
	defer t.End(ErrNotCoordinating)
	if err := t.do(ctx, func() {
		t.prolongAll()
		t.leaving = true
	}); err != nil {
		return err
	}
	puts, err := t.storeRest(ctx)
	if err != nil {
		return err
	}
	if err := t.held.Release(ctx, puts); err != nil {
		return err
	}
	t.announce(ctx)
	return nil
}

// storeRest waits for the write under way, stores what is left but for a last write, and
// returns its rows, to give the lease up with.
func (t *Term) storeRest(ctx context.Context) ([]platform.Put, error) {
	for i := range lastWrites {
		var puts []platform.Put
		var after func()
		for busy := true; busy; {
			if err := t.do(ctx, func() {
				if busy = t.journal.writing; !busy {
					puts, after, _ = t.batch()
				}
			}); err != nil {
				return nil, err
			}
			if busy {
				time.Sleep(idlePoll)
			}
		}
		if len(puts) < writeBatch || i == lastWrites-1 {
			return puts, nil
		}
		if err := t.held.Commit(ctx, puts); err != nil {
			return nil, errors.Wrap(err, "coordinator: last write")
		}
		if err := t.do(ctx, after); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// successor returns the member that should coordinate next: of those that answer, one of
// the largest, of these one in another data centre, which is not cut off together with this
// one, and of these the one that started last, because a rolling restart is done with it.
func (t *Term) successor() model.EntryVM {
	var best model.EntryVM
	for name, m := range t.members.byName {
		if m.leaving || m.promised <= t.now-silentMember {
			continue
		}
		b := t.members.byName[best]
		if b == nil || cmp.Or(cmp.Compare(m.row.Cores, b.row.Cores), -cmp.Compare(t.near(m), t.near(b)), cmp.Compare(m.since, b.since), cmp.Compare(best, name)) > 0 {
			best = name
		}
	}
	return best
}

// near returns 1 for a member in this entry VM's data centre, and 0 for others.
func (t *Term) near(m *memberState) int {
	if m.row.DC == t.d.Self.DC {
		return 1
	}
	return 0
}

// yieldAfter is how long a coordinator on a small entry VM waits before it gives the lease
// to a larger one, so that a larger one that restarts again and again gets it less often.
const yieldAfter = 3 * time.Second

// ShouldYield reports whether a larger entry VM should coordinate instead. A coordinator that
// has not loaded the tables yet yields as well: it may be too small to load them.
func (t *Term) ShouldYield(ctx context.Context) bool {
	larger := false
	if err := t.do(ctx, func() {
		m := t.members.byName[t.successor()]
		larger = !t.leaving && t.now > t.began+yieldAfter && m != nil && m.row.Cores > t.d.Cores && t.now > m.since+yieldAfter
	}); err != nil {
		return false
	}
	return larger
}

// announce names the successor to the other entry VMs.
func (t *Term) announce(ctx context.Context) {
	msg := &peer.CoordinatorHeartbeat{From: t.d.Self, Epoch: t.epoch, Addr: t.d.Addr, Released: true, Lease: t.held.Version}
	var remotes []PeerClient
	if err := t.do(ctx, func() {
		for _, m := range t.members.byName {
			remotes = append(remotes, m.remote)
		}
		msg.Successor = t.successor()
	}); err != nil {
		return
	}
	t.log.Info().Str("successor", string(msg.Successor)).Msg("Coordinator: lease given up.")
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	done := make(chan struct{}, len(remotes))
	for _, r := range remotes {
		go func() {
			_, _ = r.CoordinatorHeartbeat(ctx, msg) // who does not hear it reads the lease's row
			done <- struct{}{}
		}()
	}
	for range remotes {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// silentMember is how long ago a member must have answered to be named successor.
const silentMember = time.Second

// mayRunUnseen reports whether a run of a job that an earlier coordinator ordered may be
// going on, on a minion that this one has not heard.
func (t *Term) mayRunUnseen(j *jobs.Job) bool {
	for id := range j.MayRunOn() {
		if m := t.minions[id]; m != nil && !m.Polled && t.now <= m.RunsExpireAt && !t.replaced(m) {
			return true
		}
	}
	return false
}
