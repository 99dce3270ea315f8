package coordinator

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

// Tables of the coordinator's rows.
const (
	// progressTable has a row for each job with progress.
	progressTable = "progress"
	// minionTable has a row for each minion that may run tasks.
	minionTable = "minion"
	// minionList is the platform's list of minions.
	minionList = "servers"
	// dutyTable has one row, see dutyKey.
	dutyTable = "duty"
	// MemberTable has a row for each entry VM.
	MemberTable = "entry"
)

const (
	// loadTimeout bounds one attempt to read the tables. Jobs in a final state have small rows,
	// so that 500 open jobs of 3 KB and 5,000 others have 2 MB: 2 s on a link of 10 Mbit/s.
	loadTimeout = 8 * time.Second
	// loadPause is the pause after a failed attempt.
	loadPause = 200 * time.Millisecond
)

// JobKey returns the key of a job's row.
func JobKey(id jobs.ID) string { return platform.JobTable + "/" + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id jobs.ID) string { return progressTable + "/" + string(id) }

func minionKey(id jobs.Minion) string { return minionTable + "/" + string(id) }

// suffix returns a key without its table.
func suffix(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	return rest
}

// minionRow is what a successor must know of a minion to ask it for its runs.
type minionRow struct {
	Addr    string        `json:"a"`
	Service model.Service `json:"s"`
}

// tables are the rows that a term begins with.
type tables struct{ jobs, progress, recorded, listed, duties platform.Changes }

// load reads the tables until it succeeds or the term ends.
func (t *Term) load() {
	for t.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(t.ctx, loadTimeout)
		x, err := t.readTables(ctx)
		cancel()
		if err == nil {
			t.post(func() { t.begin(x) })
			return
		}
		t.log.Warn().Err(err).Msg("Coordinator: tables not read yet.")
		select {
		case <-time.After(loadPause):
		case <-t.ctx.Done():
		}
	}
}

// readTables reads all tables at once: a store that is slow by a factor of 60 takes a
// quarter of a second for each, in which leases run out. Progress does not change after
// the lease was taken, and jobs that are accepted during the reading come with the feed.
func (t *Term) readTables(ctx context.Context) (x tables, err error) {
	var g errgroup.Group
	read := func(table string, to *platform.Changes) {
		g.Go(func() (err error) {
			*to, err = t.d.Feed.ReadAll(ctx, platform.PriorityClaim, table)
			return err
		})
	}
	read(minionList, &x.listed)
	read(minionTable, &x.recorded)
	read(platform.JobTable, &x.jobs)
	read(progressTable, &x.progress)
	read(dutyTable, &x.duties)
	return x, g.Wait()
}

// unseenUntil returns when runs that earlier coordinators ordered are over, heard of or
// not: the longest lease that they gave, on a slow clock, after the last moment at which
// they could give one.
func (t *Term) unseenUntil() time.Duration {
	if t.epoch == 1 {
		return 0
	}
	last := t.began
	if !t.d.PredecessorStopped {
		// It may go on by the promises of other entry VMs.
		last += lease.TTL
	}
	return last + leaseSpan + leaseSpan/20
}

// begin takes the tables over.
func (t *Term) begin(x tables) {
	unseen := t.unseenUntil()
	for _, r := range x.duties.Rows {
		t.takeDuties(r.Value)
	}
	for _, r := range x.recorded.Rows {
		var v minionRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			t.log.Error().Err(err).Str("row", r.Key).Msg("Coordinator: unreadable minion row passed over.")
			continue
		}
		id := jobs.Minion(suffix(r.Key))
		m := holding.New(site.MinionEntry{ID: id, Addr: v.Addr, Service: v.Service}, unseen)
		m.Recorded = true
		t.minions[id] = m
	}
	for _, r := range x.listed.Rows {
		t.listMinion(suffix(r.Key), r.Value)
	}
	var cancels []jobs.ID
	for _, r := range x.jobs.Rows {
		id := suffix(r.Key)
		if base, ok := strings.CutSuffix(id, cancelSuffix); ok {
			cancels = append(cancels, jobs.ID(base))
			continue
		}
		t.addRow(id, r.Value, t.epoch > 1)
	}
	for _, r := range x.progress.Rows {
		id := jobs.ID(suffix(r.Key))
		j := t.book.Get(id)
		if j == nil {
			t.journal.spent[id] = true // the job was forgotten
			continue
		}
		if err := t.book.Restore(j, r.Value); err != nil {
			t.log.Error().Err(err).Str("job", string(id)).Msg("Coordinator: unreadable progress passed over.")
		}
		if j.State().Final() {
			t.endedRow(j)
		}
	}
	for _, j := range t.book.Open() {
		// Nothing of a job without progress was ever started.
		j.Inherited = j.Inherited && j.HasProgress
	}
	for _, id := range cancels {
		if j := t.book.Get(id); j != nil {
			j.HasCancel = true
			t.cancel(j)
		}
	}
	t.feeds.begin(x.jobs.Version, x.listed.Version)
	t.loaded, t.dirty = true, true
	t.log.Info().Int("jobs", t.book.Len()).Int("open", len(t.book.Open())).Int("minions", len(t.minions)).
		Dur("after", t.now-t.began).Msg("Coordinator: state loaded.")
}

// addRow adds an accepted job from its row.
func (t *Term) addRow(id string, value []byte, inherited bool) *jobs.Job {
	if j := t.book.Get(jobs.ID(id)); j != nil {
		return j
	}
	var a jobs.Accepted
	if err := json.Unmarshal(value, &a); err != nil || !a.Final.Final() && a.Spec.Check() != nil {
		t.log.Error().Err(err).Str("job", id).Msg("Coordinator: unreadable job row passed over.")
		return nil
	}
	a.ID = jobs.ID(id)
	j := t.book.Add(a, t.now)
	if j.State().Final() {
		return j
	}
	j.Inherited = inherited
	if !inherited {
		t.noteDemand(j)
	}
	if inherited {
		// Callers count from their first attempt. The accepting clock may be off, so its
		// difference to ours is used within bounds.
		age := min(max(time.Since(a.AcceptedAt), 0), time.Minute)
		j.LearnedAt = t.now - age
	}
	t.dirty = true
	return j
}
