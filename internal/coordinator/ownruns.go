package coordinator

import (
	"boragepulley/internal/jobs"
	"boragepulley/internal/runspan"
)

// ownRuns are the run numbers that this term may use. Those of earlier and later terms are all lower and
// higher, see runspan.
type ownRuns struct {
	spans runspan.Spans
	// first and last are the lowest and the highest number of the tokens that the stored lease names.
	first, last int
	// highest is the highest number that the term has given to a run.
	highest int
}

func (o *ownRuns) init(spans runspan.Spans, epoch uint64) {
	if spans == 0 {
		spans = runspan.Size
	}
	o.spans, o.first, o.last = spans, spans.First(epoch), spans.Last(epoch)
}

// give records the number of a run that is to be ordered. It reports whether the run may be ordered now; if
// not, the next write of the lease makes the number the term's own.
func (o *ownRuns) give(run int) bool {
	o.highest = max(o.highest, run)
	return run <= o.last
}

// stored records the highest token that the stored lease names.
func (o *ownRuns) stored(token uint64) { o.last = max(o.last, o.spans.Last(token)) }

// maxUnownedRuns is how far the number of a reported run may be above the last own one: a version that reserved no
// numbers, or an orphaned run, may be ahead of it.
const maxUnownedRuns = 1 << 30

// plausible reports whether a coordinator can have given a run the number that a minion reports. Others are
// ignored, because the numbers of all later runs would have to be higher.
func (o *ownRuns) plausible(run int) bool { return run <= o.last+maxUnownedRuns }

// reportedTask returns the task of a run that a minion reports, or nil if there is none or the number of the run
// cannot be right.
func (t *Term) reportedTask(name string, run int) *jobs.Task {
	if !t.ownRuns.plausible(run) {
		counters.Add("odd_run_numbers", 1)
		t.log.Warn().Str("task", name).Int("run", run).Int("last_own", t.ownRuns.last).Msg("Coordinator: ignoring a run whose number no coordinator can have used.")
		return nil
	}
	return t.taskByName(name)
}

// reserveRuns adds to the next write the tokens whose run numbers will be needed soon.
func (t *Term) reserveRuns() {
	o := &t.ownRuns
	before := t.held.LastToken()
	if t.held.Reserve(o.spans.Wanted(o.highest)); t.held.LastToken() == before {
		return
	}
	counters.Add("run_numbers_reserved", 1)
	t.log.Info().Int("highest_run", o.highest).Int("last_own", o.last).Uint64("token", t.held.LastToken()).Msg("Coordinator: reserving more run numbers.")
}

// runReserved reports whether the number of a task's run is the term's own.
func (t *Term) runReserved(task *jobs.Task) bool { return task.Run <= t.ownRuns.last }
