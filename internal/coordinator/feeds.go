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
	// feedWait is how long the store may hold a call for changes.
	feedWait = time.Second
	// jobFeedGap is the least time between two reads of new jobs: entry VMs offer them
	// directly, the feed brings those whose offer was lost.
	jobFeedGap = 400 * time.Millisecond
	// minionFeedGap is the least time between two reads of the list of minions.
	minionFeedGap = 50 * time.Millisecond
	// feedRetry is the pause after a failed call.
	feedRetry = 150 * time.Millisecond
	// feedCallTimeout covers a slow store.
	feedCallTimeout = 3 * time.Second
	// cancelSuffix ends the key of a row that cancels a job.
	cancelSuffix = ".cancel"
)

// CancelKey returns the key of the row that cancels a job.
func CancelKey(id jobs.ID) string { return JobKey(id) + cancelSuffix }

// feed follows one table.
type feed struct {
	table   string
	after   uint64
	gap     time.Duration
	reading bool
	next    time.Duration
	// lost is set when the history is gone and the table has to be read as a whole.
	lost bool
	take func(rows []platform.Row, whole bool)
}

type feeds struct{ jobs, minions feed }

func (f *feeds) begin(jobsAfter, minionsAfter uint64) {
	f.jobs.after, f.minions.after = jobsAfter, minionsAfter
}

// followFeeds asks for changes of the tables that others write.
func (t *Term) followFeeds() {
	if t.feeds.jobs.table == "" {
		t.feeds.jobs.table, t.feeds.jobs.gap, t.feeds.jobs.take = platform.JobTable, jobFeedGap, t.takeJobs
		t.feeds.minions.table, t.feeds.minions.gap, t.feeds.minions.take = minionList, minionFeedGap, t.takeMinions
	}
	for _, f := range []*feed{&t.feeds.jobs, &t.feeds.minions} {
		if f.reading || t.now < f.next {
			continue
		}
		f.reading = true
		whole, after, table := f.lost, f.after, f.table
		t.async(feedCallTimeout, func(ctx context.Context) func() {
			var c platform.Changes
			var err error
			if whole {
				c, err = t.d.Feed.ReadAll(ctx, platform.PriorityConfig, table)
			} else {
				c, err = t.d.Feed.Changes(ctx, platform.PriorityConfig, table, after, feedWait)
			}
			return func() { t.fed(f, c, whole, err) }
		})
	}
}

func (t *Term) fed(f *feed, c platform.Changes, whole bool, err error) {
	f.reading = false
	switch {
	case errors.Is(err, platform.ErrHistoryGone):
		t.log.Info().Str("table", f.table).Uint64("after", f.after).Msg("Coordinator: history gone, table is read as a whole.")
		f.lost = true
		return
	case err != nil:
		f.next = t.now + feedRetry
		return
	}
	f.lost = false
	f.after = max(f.after, c.Version)
	f.next = t.now + f.gap
	f.take(c.Rows, whole)
}

// takeJobs adds new jobs and cancels.
func (t *Term) takeJobs(rows []platform.Row, _ bool) {
	for _, r := range rows {
		id := suffix(r.Key)
		if r.Value == nil {
			continue
		}
		if base, ok := strings.CutSuffix(id, cancelSuffix); ok {
			if j := t.book.Get(jobs.ID(base)); j != nil {
				j.HasCancel = true
				t.cancel(j)
			}
			continue
		}
		t.addRow(id, r.Value, false)
	}
}

// takeMinions notes changes of the list of minions; what a whole reading lacks has left.
func (t *Term) takeMinions(rows []platform.Row, whole bool) {
	seen := map[string]bool{}
	for _, r := range rows {
		seen[suffix(r.Key)] = true
		t.listMinion(suffix(r.Key), r.Value)
	}
	if !whole {
		return
	}
	for id := range t.minions {
		if !seen[string(id)] {
			t.listMinion(string(id), nil)
		}
	}
}
