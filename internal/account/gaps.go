package account

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// recordDelay is how much later than its own time a fact may enter a batch. Gaps
// start this much earlier than the time that a batch claims to cover.
const recordDelay = 100 * time.Millisecond

// Gap is a window in which facts of one entry VM may be missing.
type Gap struct {
	Owner
	From time.Time `json:"from"`
	// To is when the process was seen to be gone, or the time of the report.
	To time.Time `json:"to"`
	// Cause says why facts may be missing.
	Cause GapCause `json:"cause"`
}

// GapCause says why facts may be missing.
type GapCause string

const (
	// GapLost: the process ended without storing everything.
	GapLost GapCause = "entry_vm_lost"
	// GapBatchMissing: a batch that must have existed is not stored.
	GapBatchMissing GapCause = "batch_missing"
	// GapNotStored: the process is alive but has facts that are not stored yet.
	GapNotStored GapCause = "not_stored_yet"
	// GapNotReached: the process did not answer for the report, and nothing shows that it
	// has ended; its facts may still come.
	GapNotReached GapCause = "entry_vm_not_reached"
)

// FindGaps returns the gaps of all processes at the time of the input.
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
	contiguous, until, whole := c.contiguous()
	g := Gap{Owner: c.Owner, From: cmpTime(until, c.Started).Add(-recordDelay), To: in.Now}
	if !c.GoneSeen.IsZero() && !alive {
		g.To = later(c.GoneSeen, g.From)
	}
	switch {
	case !whole || contiguous < c.lastSequence:
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

// contiguous returns the last sequence without a hole before it, the time that is
// covered until there, and whether no stored sequence lies behind a hole.
func (c *OwnerCoverage) contiguous() (last uint64, until time.Time, whole bool) {
	slices.SortFunc(c.ranges, func(a, b seqRange) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.last, b.last))
	})
	whole = true
	for _, r := range c.ranges {
		if r.first > last+1 {
			whole = false
			break
		}
		if r.last > last {
			last, until = r.last, r.until
		}
	}
	if whole && last >= c.lastSequence {
		until = later(until, c.known)
	}
	return last, until, whole
}

func cmpTime(t, fallback time.Time) time.Time {
	if t.IsZero() {
		return fallback
	}
	return t
}

// markLost sets Lost on jobs that are not final and whose process is gone. A lost
// job's outcome is unknown: the entry VM may have dispatched it after its last stored
// fact.
func (m *Merged) markLost(in ReportInput) {
	for _, j := range m.Jobs {
		if j.State.Final() || j.State == model.StateUnknown {
			continue
		}
		if c := m.Owners[j.incarnation]; j.stored() || (c != nil && !c.ended(in)) {
			continue
		}
		j.Lost = true
		j.State = model.StateUnknown
		j.Reason = ReasonEntryLost
	}
}

// ReasonEntryLost marks jobs whose entry VM was lost before their outcome was stored.
const ReasonEntryLost model.Reason = "entry_vm_lost"

// stored reports whether the job is a task whose row was stored: it outlives the process
// that accepted it.
func (j *Job) stored() bool {
	return slices.ContainsFunc(j.Steps, func(r model.Record) bool { return r.Reason == model.ReasonTaskStored })
}
