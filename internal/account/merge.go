package account

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// Job is what the stored facts say about one job.
type Job struct {
	ID        model.JobID   `json:"job"`
	Queue     model.Queue   `json:"queue"`
	Team      model.Team    `json:"team,omitempty"`
	RequestID string        `json:"request_id,omitempty"`
	Entry     model.EntryVM `json:"entry"`
	State     model.State   `json:"state"`
	Reason    model.Reason  `json:"reason,omitempty"`
	Detail    string        `json:"detail,omitempty"`
	Minion    model.VM      `json:"minion,omitempty"`
	Attempts  int           `json:"attempts"`
	Accepted  time.Time     `json:"accepted"`
	Finished  time.Time     `json:"finished,omitzero"`
	// Steps lists all distinct records in chronological order.
	Steps []model.Record `json:"steps,omitempty"`
	// Lost is set if the entry VM was lost while the job was not final.
	Lost bool `json:"lost,omitempty"`
	// Contradictory is set if the records say both that the job ran and that it did not.
	Contradictory bool `json:"contradictory,omitempty"`

	// incarnation is the process that accepted the job.
	incarnation model.Incarnation
}

// Merged is the union of all batches. It contains each job once, regardless of the order,
// repetition or overlap of the batches.
type Merged struct {
	Jobs   map[model.JobID]*Job
	Events []model.FleetEvent
	// Owners maps the incarnation of each process to its coverage.
	Owners map[model.Incarnation]*OwnerCoverage
}

// OwnerCoverage describes which facts of one process are stored.
type OwnerCoverage struct {
	Owner
	// ranges are the sequence ranges of the stored batches.
	ranges []seqRange
	// confirmedUntil is the time up to which the facts are complete according to the
	// incarnation row or a replica store, provided that no sequence number is missing.
	confirmedUntil time.Time
	// lastSequence is the last sequence number that is known to exist.
	lastSequence uint64
	Started      time.Time
	Closed       bool
	// GoneSeen is when the end of the process was noticed; zero if it was not.
	GoneSeen time.Time
	// goneSeenBy holds the latest time at which each entry VM noticed the end. A later notice by
	// the same entry VM replaces one that was wrong.
	goneSeenBy map[model.EntryVM]time.Time
}

type seqRange struct {
	first, last uint64
	coversUntil time.Time
}

type eventKey struct {
	inc model.Incarnation
	e   model.FleetEvent
}

// merger merges batches incrementally.
type merger struct {
	merged Merged
	seen   map[model.JobID]map[model.Record]bool
	events map[eventKey]bool
}

func newMerger() *merger {
	return &merger{
		merged: Merged{
			Jobs:   make(map[model.JobID]*Job),
			Owners: make(map[model.Incarnation]*OwnerCoverage),
		},
		seen:   make(map[model.JobID]map[model.Record]bool),
		events: make(map[eventKey]bool),
	}
}

// Merge returns the union of batches, incarnation rows and coverages.
func Merge(batches []Batch, rows []IncarnationRow, coverages []Coverage) Merged {
	m := newMerger()
	for _, r := range rows {
		m.addRow(r)
	}
	for _, c := range coverages {
		m.addCoverage(c)
	}
	for _, b := range batches {
		m.addBatch(b)
	}
	m.finalize()
	return m.merged
}

func (m *merger) ownerCoverage(o Owner) *OwnerCoverage {
	c := m.merged.Owners[o.Incarnation]
	if c == nil {
		c = &OwnerCoverage{Owner: o, Started: o.Incarnation.StartedAt(), goneSeenBy: make(map[model.EntryVM]time.Time)}
		m.merged.Owners[o.Incarnation] = c
	}
	return c
}

func (m *merger) addRow(r IncarnationRow) {
	c := m.ownerCoverage(r.Owner)
	c.Started = r.Started
	c.Closed = c.Closed || r.Closed
	c.lastSequence = max(c.lastSequence, r.LastSequence)
	c.confirmedUntil = laterOf(c.confirmedUntil, r.StoredUntil)
}

func (m *merger) addCoverage(v Coverage) {
	c := m.ownerCoverage(v.Owner)
	c.confirmedUntil = laterOf(c.confirmedUntil, v.CoversUntil)
	c.lastSequence = max(c.lastSequence, v.LastSequence)
	if v.GoneSeen.After(c.goneSeenBy[v.StoredBy]) {
		c.goneSeenBy[v.StoredBy] = v.GoneSeen
	}
}

// firstGoneSeen returns the earliest notice of the process's end. Notices from before the last sign
// of life are used only if there is no other: they were wrong, or a clock is set wrong.
func (c *OwnerCoverage) firstGoneSeen() time.Time {
	alive := c.confirmedUntil
	for _, r := range c.ranges {
		alive = laterOf(alive, r.coversUntil)
	}
	var first, latest time.Time
	for _, t := range c.goneSeenBy {
		latest = laterOf(latest, t)
		if !t.Before(alive) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return timeOr(first, latest)
}

func (m *merger) addBatch(b Batch) {
	c := m.ownerCoverage(b.Owner)
	if b.FactCount() > 0 {
		c.ranges = append(c.ranges, seqRange{b.First, b.Last, b.CoversUntil})
		c.lastSequence = max(c.lastSequence, b.Last)
	}
	for _, r := range b.Records {
		m.addRecord(r, b.Incarnation)
	}
	for _, e := range b.Events {
		k := eventKey{b.Incarnation, e}
		if !m.events[k] {
			m.events[k] = true
			m.merged.Events = append(m.merged.Events, e)
		}
	}
}

func (m *merger) addRecord(r model.Record, inc model.Incarnation) {
	r.Time = r.Time.Round(0).UTC()
	seen := m.seen[r.Job]
	if seen == nil {
		seen = make(map[model.Record]bool, 4)
		m.seen[r.Job] = seen
		m.merged.Jobs[r.Job] = &Job{ID: r.Job, incarnation: inc}
	}
	if r.State == model.StateAccepted {
		m.merged.Jobs[r.Job].incarnation = inc
	}
	if seen[r] {
		return
	}
	seen[r] = true
	j := m.merged.Jobs[r.Job]
	j.Steps = append(j.Steps, r)
}

func (m *merger) finalize() {
	for _, c := range m.merged.Owners {
		c.GoneSeen = c.firstGoneSeen()
	}
	for _, j := range m.merged.Jobs {
		j.deriveState()
	}
	slices.SortFunc(m.merged.Events, func(a, b model.FleetEvent) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Object, b.Object), cmp.Compare(a.To, b.To))
	})
}

// deriveState derives the job's fields from its steps. The result depends only on the set
// of steps, not on their original order.
func (j *Job) deriveState() {
	slices.SortFunc(j.Steps, func(a, b model.Record) int {
		return cmp.Or(
			a.Time.Compare(b.Time),
			cmp.Compare(a.State.Rank(), b.State.Rank()),
			cmp.Compare(a.State, b.State),
			cmp.Compare(a.Attempt, b.Attempt),
			cmp.Compare(a.Reason, b.Reason),
			cmp.Compare(a.Minion, b.Minion),
			cmp.Compare(a.Entry, b.Entry),
			cmp.Compare(a.Detail, b.Detail),
		)
	})
	var ran, notRun bool
	for _, r := range j.Steps {
		j.applyStep(r)
		ran = ran || r.State == model.StateRan
		notRun = notRun || r.State == model.StateRefused || r.State == model.StateCancelled
	}
	j.Contradictory = ran && notRun
}

func (j *Job) applyStep(r model.Record) {
	j.Queue = cmp.Or(j.Queue, r.Queue)
	j.Team = cmp.Or(j.Team, r.Team)
	j.RequestID = cmp.Or(j.RequestID, r.RequestID)
	j.Entry = cmp.Or(j.Entry, r.Entry)
	j.Attempts = max(j.Attempts, r.Attempt)
	if j.Accepted.IsZero() {
		j.Accepted = r.Time
	}
	if r.State.Rank() < j.State.Rank() {
		return
	}
	j.State, j.Reason, j.Detail = r.State, r.Reason, r.Detail
	j.Minion = cmp.Or(r.Minion, j.Minion)
	if r.State.Final() || r.State == model.StateUnknown {
		j.Finished = r.Time
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
