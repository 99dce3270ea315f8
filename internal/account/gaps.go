package account

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// maxRecordDelay is the maximum delay between the time of a fact that was not announced with
// Begin and its addition to a batch. Gaps start this much before the time up to which the batches are complete.
const maxRecordDelay = 100 * time.Millisecond

// Gap is a period in which facts of one process may be missing.
type Gap struct {
	Owner
	From time.Time `json:"from"`
	// To is when the end of the process was noticed, or the time of the report.
	To time.Time `json:"to"`
	// Cause is the reason why facts may be missing.
	Cause GapCause `json:"cause"`
}

// GapCause is the reason why facts may be missing.
type GapCause string

const (
	// GapLost: the process ended without storing all its facts.
	GapLost GapCause = "entry_vm_lost"
	// GapBatchMissing: a batch that must have existed is not stored.
	GapBatchMissing GapCause = "batch_missing"
	// GapNotStored: the process is running and has facts that are not stored yet.
	GapNotStored GapCause = "not_stored_yet"
	// GapNotReached: the process did not respond to the report, and there is no evidence
	// that it has ended; it may still store its facts.
	GapNotReached GapCause = "entry_vm_not_reached"
)

// FindGaps returns the gaps of all processes.
func FindGaps(owners map[model.Incarnation]*OwnerCoverage, in ReportInput) []Gap {
	var out []Gap
	for _, c := range owners {
		if g, ok := c.gap(in); ok {
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b Gap) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

// ended reports whether the process has certainly ended.
func (c *OwnerCoverage) ended(in ReportInput) bool {
	_, alive := in.Live[c.Incarnation]
	return !alive && (in.Gone[c.Entry] || !c.GoneSeen.IsZero())
}

func (c *OwnerCoverage) gap(in ReportInput) (Gap, bool) {
	flushed, alive := in.Live[c.Incarnation]
	contiguous, until, complete := c.contiguous()
	g := Gap{Owner: c.Owner, From: timeOr(until, c.Started).Add(-maxRecordDelay), To: in.Now}
	if !c.GoneSeen.IsZero() && !alive {
		g.To = laterOf(c.GoneSeen, g.From)
	}
	switch {
	case !complete || contiguous < c.lastSequence:
		g.Cause = GapBatchMissing
		return g, true
	case c.Closed || (alive && flushed):
		return Gap{}, false
	case alive:
		g.Cause = GapNotStored
	case !c.ended(in):
		g.Cause = GapNotReached
	default:
		g.Cause = GapLost
	}
	return g, true
}

// contiguous returns the end of the uninterrupted sequence from 1 on, the time that it
// covers, and whether it includes all stored batches.
func (c *OwnerCoverage) contiguous() (last uint64, until time.Time, complete bool) {
	slices.SortFunc(c.ranges, func(a, b seqRange) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.last, b.last))
	})
	complete = true
	for _, r := range c.ranges {
		if r.first > last+1 {
			complete = false
			break
		}
		if r.last > last {
			last, until = r.last, r.coversUntil
		}
	}
	if complete && last >= c.lastSequence {
		until = laterOf(until, c.confirmedUntil)
	}
	return last, until, complete
}

func timeOr(t, fallback time.Time) time.Time {
	if t.IsZero() {
		return fallback
	}
	return t
}

// markLost sets Lost on jobs that are not in a final state and whose process has ended.
// The outcome of a lost job is unknown, because the entry VM may have dispatched it after
// its last stored fact.
func (m *Merged) markLost(in ReportInput) {
	for _, j := range m.Jobs {
		if j.State.Final() || j.State == model.StateUnknown {
			continue
		}
		if c := m.Owners[j.incarnation]; j.isStoredTask() || (c != nil && !c.ended(in)) {
			continue
		}
		j.Lost = true
		j.State = model.StateUnknown
		j.Reason = model.ReasonEntryLost
	}
}

// isStoredTask reports whether the job is a task whose row was stored. Such a task continues
// after the process that accepted it has ended.
func (j *Job) isStoredTask() bool {
	return slices.ContainsFunc(j.Steps, func(r model.Record) bool { return r.Reason == model.ReasonTaskStored })
}
