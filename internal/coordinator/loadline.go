package coordinator

import "time"

// loadLogInterval is how often the work of the term is logged while its loop is busy.
const loadLogInterval = time.Second

// loadCounts counts what the term did since the last line about it.
type loadCounts struct {
	since time.Duration
	// iterations of the loop handled events, which include queries of callers about jobs. busy is how
	// long they took, planning the part of the scheduling runs, which number plans.
	iterations, events, queries, plans int
	busy, planning                     time.Duration
	// polls were answered; they listed ends, of which newEnds for the first time, and running runs.
	polls, ends, newEnds, running int
	// starts were ordered, unanswered is the number of start orders without an answer in time.
	starts, unanswered int
	// orderChecks is how many pending orders were looked at.
	orderChecks int
	// writes were made with rows in all, which took writing in all.
	writes, rows int
	writing      time.Duration
}

// reportLoad logs the work of the term once a second while its loop takes a tenth of the time or more.
func (t *Term) reportLoad() {
	l := &t.load
	passed := t.now - l.since
	if passed < loadLogInterval {
		return
	}
	if l.since != 0 && l.busy > passed/10 {
		t.log.Info().Dur("during", passed).Dur("busy", l.busy).Int("iterations", l.iterations).Int("events", l.events).Int("queries", l.queries).
			Int("plans", l.plans).Dur("planning", l.planning).Int("polls", l.polls).Int("ends_listed", l.ends).Int("ends_new", l.newEnds).Int("running_listed", l.running).
			Int("starts", l.starts).Int("starts_unanswered", l.unanswered).Int("starts_pending", len(t.pendingStarts)).
			Int("order_checks", l.orderChecks).Int("writes", l.writes).Int("rows", l.rows).Dur("writing", l.writing).Int("progress_unstored", t.registry.UnsavedCount()).Int("jobs_open", len(t.registry.Open())).
			Dur("poll_gap", t.pollGap).Msg("Coordinator: load.")
	}
	*l = loadCounts{since: t.now}
}
