package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// handoverKey is the row that a coordinator writes when it gives the lease up.
	handoverKey = handoverTable + "/last"
	// maxHandover bounds the row in bytes, below the 64 KB of a row.
	maxHandover = 48 << 10
	// lastWrites bounds the transactions that store what is not stored yet.
	lastWrites = 5
	// announceTimeout bounds the word to the other entry VMs.
	announceTimeout = 250 * time.Millisecond
	// idlePoll is how often the end of a write is looked for.
	idlePoll = 3 * time.Millisecond
)

// handover tells the successor on which minions runs of each open job may be going on, so
// that it waits for these only.
type handover struct {
	// Epoch is that of the coordinator that wrote it.
	Epoch  uint64                    `json:"e"`
	Active map[jobs.ID][]jobs.Minion `json:"a"`
}

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

// storeRest waits for the write under way, stores what is left, and returns the rows to
// give the lease up with. The runs are written down in the same moment in which nothing is
// unstored: an end that came in between would be in neither.
func (t *Term) storeRest(ctx context.Context) ([]platform.Put, error) {
	for range lastWrites {
		var puts []platform.Put
		var after func()
		done := false
		for busy := true; busy; {
			if err := t.do(ctx, func() {
				if busy = t.journal.writing; busy {
					return
				}
				puts, after = t.batch()
				if done = len(t.book.Unsaved()) == 0; done {
					puts = append(puts, t.handoverRow()...)
				}
			}); err != nil {
				return nil, err
			}
			if busy {
				time.Sleep(idlePoll)
			}
		}
		if done {
			return puts, nil
		}
		if err := t.held.Commit(ctx, puts); err != nil {
			return nil, errors.Wrap(err, "coordinator: last write")
		}
		if err := t.do(ctx, after); err != nil {
			return nil, err
		}
	}
	return nil, nil // without the runs; the successor waits for all minions
}

// handoverRow returns the row for the successor; none if it would be too large.
func (t *Term) handoverRow() []platform.Put {
	if !t.loaded {
		return nil // it knows no runs at all
	}
	h := handover{Epoch: t.epoch, Active: map[jobs.ID][]jobs.Minion{}}
	for id, m := range t.minions {
		for x := range m.Tasks {
			j := x.Step.Job.ID
			if !slices.Contains(h.Active[j], id) {
				h.Active[j] = append(h.Active[j], id)
			}
		}
	}
	for _, j := range t.book.Open() {
		if j.Inherited {
			return nil // this term does not know all its runs itself
		}
	}
	value, err := json.Marshal(h)
	if err != nil || len(value) > maxHandover {
		t.log.Warn().Err(err).Int("bytes", len(value)).Msg("Coordinator: handed over without the runs.")
		return nil
	}
	return []platform.Put{{Key: handoverKey, Value: value}}
}

// successor returns the member that should coordinate next: of those that answer, one of
// the largest, and of these the one that started last, because a rolling restart is done
// with it.
func (t *Term) successor() model.EntryVM {
	var best model.EntryVM
	for name, m := range t.members.byName {
		if m.promised <= t.now-silentMember {
			continue
		}
		b := t.members.byName[best]
		if b == nil || cmp.Or(cmp.Compare(m.row.Cores, b.row.Cores), cmp.Compare(m.since, b.since), cmp.Compare(best, name)) > 0 {
			best = name
		}
	}
	return best
}

// yieldAfter is how long a coordinator on a small entry VM waits before it gives the lease
// to a larger one, so that a larger one that restarts again and again gets it less often.
const yieldAfter = 3 * time.Second

// Outgrown reports whether a larger entry VM should coordinate instead. One that has not
// read the tables yet gives way as well: it may be too small to do so.
func (t *Term) Outgrown(ctx context.Context) bool {
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
	msg := &peer.Lead{From: t.d.Self, Epoch: t.epoch, Addr: t.d.Addr, Released: true, Lease: t.held.Version}
	var remotes []Remote
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
			_, _ = r.Lead(ctx, msg) // who does not hear it reads the lease's row
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

// takeHandover reads the row of the coordinator before this one.
func (t *Term) takeHandover(value []byte) {
	var h handover
	if err := json.Unmarshal(value, &h); err != nil {
		t.log.Error().Err(err).Msg("Coordinator: unreadable hand-over passed over.")
		return
	}
	if t.d.Released && h.Epoch+1 == t.epoch {
		t.handed = h.Active
	}
}

// mayRunUnseen reports whether a run of a job that an earlier coordinator ordered may be
// going on, on a minion that this one has not heard.
func (t *Term) mayRunUnseen(j *jobs.Job, now model.Service) bool {
	for id, m := range t.minions {
		switch {
		case m.Looked || t.now > m.Lapses || t.replaced(m):
		case t.handed != nil:
			if slices.Contains(t.handed[j.ID], id) {
				return true
			}
		case m.Service == j.Service || m.Service == now:
			return true
		}
	}
	return false
}
