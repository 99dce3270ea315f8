package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/platform"
)

const (
	// feedLongPoll is how long the store may delay its response until there are changes.
	feedLongPoll = time.Second
	// jobFeedInterval is the least time between two reads of new jobs. Entry VMs announce stored
	// jobs directly; the feed only delivers those whose announcement was lost.
	jobFeedInterval = 400 * time.Millisecond
	// minionFeedInterval is the least time between two reads of the list of minions.
	minionFeedInterval = 50 * time.Millisecond
	// feedRetryDelay is the pause after a failed call.
	feedRetryDelay = 150 * time.Millisecond
	// feedCallTimeout bounds a call, including feedLongPoll. It allows for a slow store.
	feedCallTimeout = 3 * time.Second
	// cancelSuffix is the key suffix of a row that requests the cancellation of a job.
	cancelSuffix = ".cancel"
)

// CancelKey returns the key of the row that requests the cancellation of a job.
func CancelKey(id jobs.ID) string { return JobKey(id) + cancelSuffix }

// feed follows the changes of one table.
type feed struct {
	table    string
	after    uint64
	interval time.Duration
	reading  bool
	nextRead time.Duration
	// resync is set if the change history is gone and the whole table has to be read.
	resync bool
	apply  func(rows []platform.Row, whole bool)
}

type feeds struct{ jobs, minions feed }

func (f *feeds) startFrom(jobsAfter, minionsAfter uint64) {
	f.jobs.after, f.minions.after = jobsAfter, minionsAfter
}

// pollFeeds requests the changes of tables that are written by others.
func (t *Term) pollFeeds() {
	if t.feeds.jobs.table == "" {
		t.feeds.jobs.table, t.feeds.jobs.interval, t.feeds.jobs.apply = platform.JobTable, jobFeedInterval, t.applyJobRows
		t.feeds.minions.table, t.feeds.minions.interval, t.feeds.minions.apply = minionListTable, minionFeedInterval, t.applyMinionRows
	}
	for _, f := range []*feed{&t.feeds.jobs, &t.feeds.minions} {
		if f.reading || t.now < f.nextRead {
			continue
		}
		f.reading = true
		whole, after, table := f.resync, f.after, f.table
		t.async(feedCallTimeout, func(ctx context.Context) func() {
			var c platform.Changes
			var err error
			if whole {
				c, err = t.deps.Feed.ReadAll(ctx, platform.PriorityConfig, table)
			} else {
				c, err = t.deps.Feed.Changes(ctx, platform.PriorityConfig, table, after, feedLongPoll)
			}
			return func() { t.feedRead(f, c, whole, err) }
		})
	}
}

func (t *Term) feedRead(f *feed, c platform.Changes, whole bool, err error) {
	f.reading = false
	switch {
	case errors.Is(err, platform.ErrHistoryGone):
		t.log.Info().Str("table", f.table).Uint64("after", f.after).Msg("Coordinator: change history is gone; reading the whole table.")
		f.resync = true
		return
	case err != nil:
		f.nextRead = t.now + feedRetryDelay
		return
	}
	f.resync = false
	f.after = max(f.after, c.Version)
	f.nextRead = t.now + f.interval
	f.apply(c.Rows, whole)
}

// applyJobRows adds new jobs and applies cancellation requests.
func (t *Term) applyJobRows(rows []platform.Row, _ bool) {
	for _, r := range rows {
		id := rowID(r.Key)
		if r.Value == nil {
			continue
		}
		if base, ok := strings.CutSuffix(id, cancelSuffix); ok {
			if j := t.registry.Get(jobs.ID(base)); j != nil {
				j.HasCancel = true
				t.cancel(j)
			}
			continue
		}
		t.addJobRow(id, r, false)
	}
}

// applyMinionRows applies changes of the list of minions. If the whole table was read, minions
// that it does not contain have been removed from the list.
func (t *Term) applyMinionRows(rows []platform.Row, whole bool) {
	seen := map[string]bool{}
	for _, r := range rows {
		seen[rowID(r.Key)] = true
		t.applyMinionEntry(rowID(r.Key), r.Value)
	}
	if !whole {
		return
	}
	for id := range t.minions {
		if !seen[string(id)] {
			t.applyMinionEntry(string(id), nil)
		}
	}
}
