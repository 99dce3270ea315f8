package coordinator

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/guard"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/succession"
)

const (
	// maxFinalWrites limits the transactions that store the remaining rows before a release.
	maxFinalWrites = 5
	// finalRenewalTimeout bounds the last renewal of run leases, for which the handover waits.
	finalRenewalTimeout = 100 * time.Millisecond
	// announceTimeout bounds the announcement of the successor to the other entry VMs.
	announceTimeout = 250 * time.Millisecond
	// writePollInterval is how often the end of a write in progress is checked.
	writePollInterval = 3 * time.Millisecond
)

// Release hands over the coordinator role in an orderly way: it renews the leases of all runs, stops
// sending orders and ends the calls in progress, stores the remaining progress and when the leases of
// silent minions end, releases the site's lease and announces a successor.
func (t *Term) Release(ctx context.Context) error {
	if err := t.takeReleaseSlot(ctx); err != nil {
		t.path.releaseWanted.Store(true)
		if !t.path.handingOver.Load() { // which ends the term after its last write and the announcement
			t.End(ErrNotCoordinating)
		}
		return err
	}
	defer t.End(ErrNotCoordinating)
	defer func() { <-t.releaseSlot }()
	var renewals *sync.WaitGroup
	if err := t.do(ctx, func() { renewals = t.beginRelease() }); err != nil {
		return err
	}
	renewals.Wait()
	t.orders.Close()
	puts, err := t.flush(ctx)
	if err != nil {
		return err
	}
	err = t.held.Release(ctx, puts)
	if errors.Is(err, platform.ErrRejected) && len(puts) > 0 {
		// The ends in these rows are not acknowledged, so that minions report them to the successor.
		t.log.Warn().Err(err).Int("rows", len(puts)).Msg("Coordinator: the store refused the final write; releasing without it.")
		err = t.held.Release(ctx, nil)
	}
	if err != nil {
		return err
	}
	t.announceSuccessor(ctx, "")
	return nil
}

// beginRelease ends scheduling and writing, and renews the leases of all runs. The returned group is done
// when the minions have answered or not answered in time.
func (t *Term) beginRelease() *sync.WaitGroup {
	renewals := t.renewAllLeases()
	t.releasing = true
	for _, m := range t.minions {
		if m.Recorded && m.FailedPolls > 0 {
			t.writer.newMinions[m] = true
		}
	}
	return renewals
}

// flush waits for the write in progress and stores the remaining rows except the last batch, which
// it returns to be written together with the release of the lease.
func (t *Term) flush(ctx context.Context) ([]platform.Put, error) {
	for i := range maxFinalWrites {
		var b *batch
		for writing := true; writing; {
			if err := t.do(ctx, func() {
				if writing = t.writer.writing; !writing {
					b = t.collectBatch()
				}
			}); err != nil {
				return nil, err
			}
			if writing {
				time.Sleep(writePollInterval)
			}
		}
		if !b.full || i == maxFinalWrites-1 {
			return b.puts, nil
		}
		if err := t.held.Commit(ctx, b.puts); err != nil {
			return nil, errors.Wrap(err, "coordinator: final write")
		}
		if err := t.do(ctx, b.stored); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// chooseSuccessor returns the member that should coordinate next. Among the members that respond
// it prefers those with a good path to the store if that is known, the largest, then those in another data centre, which is not cut off together with
// this one, and then the one that started last, because a rolling restart has already passed it.
func (t *Term) chooseSuccessor() model.EntryVM {
	var best model.EntryVM
	for name, m := range t.members.byName {
		if m.shuttingDown || m.promisedAt <= t.now-maxMemberSilence {
			continue
		}
		b := t.members.byName[best]
		if b == nil || cmp.Or(cmp.Compare(t.pathRank(m), t.pathRank(b)), cmp.Compare(m.row.Cores, b.row.Cores), -cmp.Compare(t.sameDC(m), t.sameDC(b)), cmp.Compare(m.firstSeen, b.firstSeen), cmp.Compare(best, name)) > 0 {
			best = name
		}
	}
	return best
}

// sameDC returns 1 for a member in this entry VM's data centre and 0 for others.
func (t *Term) sameDC(m *memberState) int {
	if m.row.DC == t.deps.Self.DC {
		return 1
	}
	return 0
}

// yieldAfter is how long a coordinator on a small entry VM waits before it hands the lease to a
// larger one, so that a larger one that keeps restarting receives it less often.
const yieldAfter = 3 * time.Second

// ShouldYield reports whether a larger entry VM should coordinate instead. A coordinator that
// has not loaded the tables yet yields as well: it may be too small to load them.
func (t *Term) ShouldYield(ctx context.Context) bool {
	larger := false
	if err := t.do(ctx, func() {
		m := t.members.byName[t.chooseSuccessor()]
		larger = !t.releasing && t.now > t.startedAt+yieldAfter && m != nil && m.row.Cores > t.deps.Cores && t.now > m.firstSeen+yieldAfter && succession.YieldAllowed(t.now, t.lastHandover(), m.reads)
	}); err != nil {
		return false
	}
	return larger
}

// announceSuccessor sends the name of the successor to the other entry VMs. An empty name selects the
// successor of chooseSuccessor.
func (t *Term) announceSuccessor(ctx context.Context, successor model.EntryVM) {
	msg := &peer.CoordinatorHeartbeat{From: t.deps.Self, Epoch: t.epoch, Addr: t.deps.Addr, Released: true, Lease: t.held.Version}
	known := t.knownEvacuations()
	msg.Evacuated, msg.OperatorVersion = known.Names(), evacuation.VersionOf(known)
	var clients []PeerClient
	if err := t.do(ctx, func() {
		for _, m := range t.members.byName {
			clients = append(clients, m.client)
		}
		msg.Successor, msg.HandoverAgeMS = cmp.Or(successor, t.chooseSuccessor()), t.handoverAge()
	}); err != nil {
		return
	}
	t.log.Info().Str("successor", string(msg.Successor)).Msg("Coordinator: lease released.")
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	done := make(chan struct{}, len(clients))
	for _, r := range clients {
		go func() {
			// A member that misses the announcement reads the lease's row.
			_ = guard.Recover(t.log, "announcing the successor", func() { _, _ = r.CoordinatorHeartbeat(ctx, msg) })
			done <- struct{}{}
		}()
	}
	for range clients {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// maxMemberSilence is how recently a member must have answered to be chosen as successor.
const maxMemberSilence = time.Second

// mayRunUnreported reports whether a run that an earlier coordinator ordered may be in progress on
// a minion that has not reported to this one yet.
func (t *Term) mayRunUnreported(j *jobs.Job) bool {
	for id := range j.MayRunOn() {
		m := t.minions[id]
		if m == nil {
			continue
		}
		if !m.Polled && t.now <= m.RunsExpireAt && !t.minionReplaced(m) {
			return true
		}
		if (!m.Polled || m.FailedPolls > 0) && t.startOfJobInDoubt(m, j) {
			return true // also if its machine is listed without a minion, as it may start again under its id
		}
	}
	return false
}
