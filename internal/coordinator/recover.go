package coordinator

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"boragepulley/internal/guard"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

// Tables of the coordinator's rows.
const (
	// progressTable has one row per job with progress.
	progressTable = "progress"
	// minionTable has one row per minion that may run tasks.
	minionTable = "minion"
	// minionListTable is the platform's list of minions.
	minionListTable = "servers"
	// recentOrdersTable has one row, see recentOrdersKey.
	recentOrdersTable = "duty"
	// MemberTable has one row per entry VM.
	MemberTable = "entry"
)

const (
	// loadTimeout bounds one attempt to read the tables. Jobs in a final state have small rows, so
	// 500 open jobs of 3 KB and 5,000 others take 2 MB, which is 2 s on a link of 10 Mbit/s.
	loadTimeout = 8 * time.Second
	// maxLoadTimeout bounds a later attempt, each of which may take twice as long as the one before.
	maxLoadTimeout = 2 * time.Minute
	// loadRetryDelay is the pause after a failed attempt.
	loadRetryDelay = 200 * time.Millisecond
)

// JobKey returns the key of a job's row.
func JobKey(id jobs.ID) string { return platform.JobTable + "/" + string(id) }

// ProgressKey returns the key of a job's progress row.
func ProgressKey(id jobs.ID) string { return progressTable + "/" + string(id) }

func minionKey(id jobs.Minion) string { return minionTable + "/" + string(id) }

// rowID returns a key without its table.
func rowID(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	return rest
}

// minionRow is what a successor must know of a minion in order to poll it.
type minionRow struct {
	Addr    string        `json:"a"`
	Service model.Service `json:"s"`
	// LeasesLeft is, for a minion that did not answer the coordinator of Epoch at its release, how long
	// the leases of its runs lasted at most, in milliseconds. A later coordinator may have granted longer
	// ones.
	LeasesLeft int64  `json:"l,omitempty"`
	Epoch      uint64 `json:"e,omitempty"`
	// Ordered is set while an order for the minion's machine, which ends the minion, may be carried out.
	Ordered bool `json:"o,omitempty"`
	// Incarnation is the last one that the coordinator knew; 0 if it knew none.
	Incarnation int64 `json:"i,omitempty"`
	// LongLeases is set while a lease on the minion may be as long as it grants at most, because an order
	// to an earlier incarnation may have been carried out by this one.
	LongLeases bool `json:"r,omitempty"`
	// InDoubt are the tasks with starts that got no answer, of a minion that did not answer. Any of its
	// incarnations may carry them out.
	InDoubt []string `json:"d,omitempty"`
}

// equal reports whether two rows tell the same.
func (r minionRow) equal(other minionRow) bool {
	inDoubt := slices.Equal(r.InDoubt, other.InDoubt)
	r.InDoubt, other.InDoubt = nil, nil
	return inDoubt && reflect.DeepEqual(r, other)
}

// minionRowOf returns the row of a minion.
func (t *Term) minionRowOf(m *holding.Minion) minionRow {
	row := minionRow{Addr: m.Addr, Service: m.Service, Ordered: m.Ordered || t.now < m.OrderedUntil, Incarnation: m.Incarnation, LongLeases: m.Unfenced || t.now <= m.LongLeasesUntil}
	if m.FailedPolls > 0 {
		row.InDoubt = m.InDoubt.Tasks()
	}
	if t.releasing && m.FailedPolls > 0 {
		row.LeasesLeft, row.Epoch = max(1, (m.RunsExpireAt-t.now).Milliseconds()+1), t.epoch
	}
	return row
}

// unseenUntilOn is unseenUntil for one minion.
func (t *Term) unseenUntilOn(row minionRow) time.Duration {
	if row.LeasesLeft > 0 && row.Epoch == t.held.PreviousEpoch {
		left := time.Duration(row.LeasesLeft) * time.Millisecond
		return t.startedAt + left + left/20
	}
	out := t.unseenUntil()
	if row.LongLeases && out > 0 {
		out += max(0, holding.LongestLease(t.deps.Limits.MaxMinionLease)-runLeaseTTL-runLeaseTTL/20)
	}
	return out
}

// tables are the tables that a term starts from.
type tables struct{ jobs, progress, recorded, listed, recentOrders platform.Changes }

// loadTables reads the tables, with retries until it succeeds or the term ends.
func (t *Term) loadTables() {
	for timeout := loadTimeout; t.ctx.Err() == nil; timeout = min(2*timeout, maxLoadTimeout) {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		rows, err := t.readTables(ctx)
		cancel()
		if err == nil {
			t.post(func() { t.restore(rows) })
			return
		}
		t.log.Warn().Err(err).Dur("timeout", timeout).Msg("Coordinator: tables could not be loaded yet.")
		select {
		case <-time.After(loadRetryDelay):
		case <-t.ctx.Done():
		}
	}
}

// readTables reads all tables concurrently: a store that is 60 times slower than usual takes a
// quarter of a second for each, and the leases of runs expire meanwhile. Progress does not change
// once the lease has been acquired, and the feed delivers jobs that are accepted during the read.
func (t *Term) readTables(ctx context.Context) (rows tables, err error) {
	var g errgroup.Group
	read := func(table string, to *platform.Changes) {
		g.Go(func() (err error) {
			*to, err = t.deps.Feed.ReadAll(ctx, platform.PriorityClaim, table)
			return err
		})
	}
	read(minionListTable, &rows.listed)
	read(minionTable, &rows.recorded)
	read(platform.JobTable, &rows.jobs)
	read(progressTable, &rows.progress)
	read(recentOrdersTable, &rows.recentOrders)
	if t.deps.Evacuations != nil {
		g.Go(func() error { return t.readEvacuations(ctx) })
	}
	return rows, g.Wait()
}

// unseenUntil returns when all runs that earlier coordinators ordered have ended, known or not: the
// duration of the longest lease on a slow clock, after the last time at which they could grant one.
func (t *Term) unseenUntil() time.Duration {
	if t.epoch == 1 {
		return 0
	}
	return t.predecessorSentUntil() + runLeaseTTL + runLeaseTTL/20
}

// predecessorSentUntil returns until when an earlier coordinator could send orders.
func (t *Term) predecessorSentUntil() time.Duration {
	if t.deps.PredecessorStopped {
		return t.startedAt
	}
	return t.startedAt + lease.TTL // on the promises of other entry VMs
}

// restore initialises the term's state from the tables.
func (t *Term) restore(rows tables) {
	for _, r := range rows.recentOrders.Rows {
		t.restoreRecentOrders(r.Value)
	}
	for _, r := range rows.recorded.Rows {
		var v minionRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			t.log.Error().Err(err).Str("row", r.Key).Msg("Coordinator: ignoring unreadable minion row.")
			continue
		}
		id := jobs.Minion(rowID(r.Key))
		m := holding.New(site.MinionEntry{ID: id, Addr: v.Addr, Service: v.Service, Incarnation: v.Incarnation}, t.unseenUntilOn(v))
		m.Recorded = true
		t.inheritInDoubt(m, v.InDoubt)
		if v.LongLeases {
			m.InheritLongLeases(t.epoch, t.now, t.deps.Limits.MaxMinionLease)
		}
		if v.Ordered {
			m.OrderedUntil = t.startedAt + t.machineOrderGap()
		}
		t.minions[id] = m
	}
	for _, r := range rows.listed.Rows {
		t.applyMinionEntry(rowID(r.Key), r.Value)
	}
	var cancels []jobs.ID
	for _, r := range rows.jobs.Rows {
		id := rowID(r.Key)
		if base, ok := strings.CutSuffix(id, cancelSuffix); ok {
			cancels = append(cancels, jobs.ID(base))
			continue
		}
		t.addJobRow(id, r, t.epoch > 1)
	}
	for _, r := range rows.progress.Rows {
		id := jobs.ID(rowID(r.Key))
		j := t.registry.Get(id)
		if j == nil {
			if !t.asideJobs[id] {
				t.writer.obsoleteProgress[id] = true // the job's own row has been removed
			}
			continue
		}
		var err error
		if !t.isolated(j, "restoring the progress of a job", func() { err = t.registry.Restore(j, r.Value) }) {
			continue
		}
		if err != nil {
			t.log.Error().Err(err).Str("job", string(id)).Msg("Coordinator: ignoring unreadable progress row.")
		}
		if j.State().Final() {
			t.queueCompaction(j)
		}
	}
	for _, j := range t.registry.Open() {
		// No task of a job without progress was ever started.
		j.Inherited = j.Inherited && j.HasProgress
	}
	for _, id := range cancels {
		if j := t.registry.Get(id); j != nil {
			j.HasCancel = true
			t.cancel(j)
		}
	}
	t.feeds.startFrom(rows.jobs.Version, rows.listed.Version)
	t.loaded, t.needsPlan = true, true
	t.log.Info().Int("jobs", t.registry.Len()).Int("open", len(t.registry.Open())).Int("minions", len(t.minions)).
		Dur("after", t.now-t.startedAt).Int("first_run", t.ownRuns.first).
		Dur("leases_end_after", t.unseenUntil()-t.startedAt).Msg("Coordinator: state loaded.")
}

// addJobRow adds an accepted job from its row, or a withdrawal. The version of the row may be 0 for a job.
// inherited is set for a job that was accepted under an earlier coordinator.
func (t *Term) addJobRow(id string, row platform.Row, inherited bool) *jobs.Job {
	known := t.registry.Get(jobs.ID(id))
	if known != nil && !known.Withdrawn || t.asideJobs[jobs.ID(id)] {
		return known
	}
	a, err := jobs.DecodeAccepted(row.Value)
	if err == nil && known != nil {
		if a.Withdrawn {
			if row.Version > known.RowVersion { // withdrawn again
				known.RowVersion, known.EndedAt = row.Version, t.now
			}
			return known
		}
		t.registry.Remove(known.ID) // the id is used again, after the withdrawal was removed from the store
	}
	if err == nil && !a.Final.Final() {
		err = a.Spec.Check()
	}
	if err != nil {
		t.log.Error().Err(err).Str("job", id).Msg("Coordinator: ignoring unreadable job row.")
		t.asideJobs[jobs.ID(id)] = true // its progress is kept for a version that reads the row
		return nil
	}
	a.ID, a.RowVersion = jobs.ID(id), row.Version
	var j *jobs.Job
	if failed := guard.Recover(t.log, "adding a job", func() { j = t.registry.Add(a, t.now) }); failed != nil {
		t.asideJobs[a.ID] = true
		t.registry.Remove(a.ID)
		counters.Add("jobs_set_aside", 1)
		return nil
	}
	if j.State().Final() {
		return j
	}
	j.Inherited = inherited
	if !inherited {
		t.publishJobMemory()
		t.recordDemand(j)
	}
	if inherited {
		// The time in which a job should end counts from the caller's first attempt. The clock of
		// the accepting entry VM may be wrong, so the age that it yields is limited.
		age := min(max(time.Since(a.AcceptedAt), 0), time.Minute)
		j.LearnedAt = t.now - age
	}
	t.needsPlan = true
	return j
}
