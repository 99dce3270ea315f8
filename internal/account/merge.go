package account

import (
	"cmp"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// Job is the merged account of one job.
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
	// Steps are all distinct records in order of time.
	Steps []model.Record `json:"steps,omitempty"`
	// Lost is set if the entry VM was lost while the job was not final.
	Lost bool `json:"lost,omitempty"`
	// Contradictory is set if the records say both that the job ran and that it did not.
	Contradictory bool `json:"contradictory,omitempty"`

	// incarnation is the process that accepted the job.
	incarnation model.Incarnation
}

// Merged is the union of all batches: each job once, whatever the order, number of
// copies or overlap of the batches.
type Merged struct {
	Jobs   map[model.JobID]*Job
	Events []model.FleetEvent
	// Owners lists what is known of each process, by incarnation.
	Owners map[model.Incarnation]*OwnerCoverage
}

// OwnerCoverage is what the stored batches say of one process.
type OwnerCoverage struct {
	Owner
	// ranges are the stored sequence ranges.
	ranges []seqRange
	// known is how far the incarnation row or a holder vouches for the time of an
	// uninterrupted sequence.
	known time.Time
	// lastSequence is the last sequence that is known to exist.
	lastSequence uint64
	Started      time.Time
	Closed       bool
	GoneSeen     time.Time
}

type seqRange struct {
	first, last uint64
	until       time.Time
}

type eventKey struct {
	inc model.Incarnation
	e   model.FleetEvent
}

// merger accumulates batches.
type merger struct {
	m      Merged
	seen   map[model.JobID]map[model.Record]bool
	events map[eventKey]bool
}

func newMerger() *merger {
	return &merger{
		m: Merged{
			Jobs:   make(map[model.JobID]*Job),
			Owners: make(map[model.Incarnation]*OwnerCoverage),
		},
		seen:   make(map[model.JobID]map[model.Record]bool),
		events: make(map[eventKey]bool),
	}
}

// Merge returns the union of batches, incarnation rows and holders' coverage.
func Merge(batches []Batch, rows []IncarnationRow, covers []Coverage) Merged {
	g := newMerger()
	for _, r := range rows {
		g.addRow(r)
	}
	for _, c := range covers {
		g.addCoverage(c)
	}
	for _, b := range batches {
		g.addBatch(b)
	}
	g.finish()
	return g.m
}

func (g *merger) owner(o Owner) *OwnerCoverage {
	c := g.m.Owners[o.Incarnation]
	if c == nil {
		c = &OwnerCoverage{Owner: o, Started: o.Incarnation.StartedAt()}
		g.m.Owners[o.Incarnation] = c
	}
	return c
}

func (g *merger) addRow(r IncarnationRow) {
	c := g.owner(r.Owner)
	c.Started = r.Started
	c.Closed = c.Closed || r.Closed
	c.lastSequence = max(c.lastSequence, r.LastSequence)
	c.known = later(c.known, r.StoredUntil)
}

func (g *merger) addCoverage(v Coverage) {
	c := g.owner(v.Owner)
	c.known = later(c.known, v.CoversUntil)
	if !v.GoneSeen.IsZero() && (c.GoneSeen.IsZero() || v.GoneSeen.Before(c.GoneSeen)) {
		c.GoneSeen = v.GoneSeen
	}
}

func (g *merger) addBatch(b Batch) {
	c := g.owner(b.Owner)
	if b.FactCount() > 0 {
		c.ranges = append(c.ranges, seqRange{b.First, b.Last, b.CoversUntil})
		c.lastSequence = max(c.lastSequence, b.Last)
	}
	for _, r := range b.Records {
		g.addRecord(r, b.Incarnation)
	}
	for _, e := range b.Events {
		k := eventKey{b.Incarnation, e}
		if !g.events[k] {
			g.events[k] = true
			g.m.Events = append(g.m.Events, e)
		}
	}
}

func (g *merger) addRecord(r model.Record, inc model.Incarnation) {
	r.Time = r.Time.Round(0).UTC()
	seen := g.seen[r.Job]
	if seen == nil {
		seen = make(map[model.Record]bool, 4)
		g.seen[r.Job] = seen
		g.m.Jobs[r.Job] = &Job{ID: r.Job, incarnation: inc}
	}
	if r.State == model.StateAccepted {
		g.m.Jobs[r.Job].incarnation = inc
	}
	if seen[r] {
		return
	}
	seen[r] = true
	j := g.m.Jobs[r.Job]
	j.Steps = append(j.Steps, r)
}

func (g *merger) finish() {
	for _, j := range g.m.Jobs {
		j.settle()
	}
	slices.SortFunc(g.m.Events, func(a, b model.FleetEvent) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Object, b.Object), cmp.Compare(a.To, b.To))
	})
}

// settle derives the job's fields from its steps. The result depends only on the
// set of steps, not on their order.
func (j *Job) settle() {
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
		j.absorb(r)
		ran = ran || r.State == model.StateRan
		notRun = notRun || r.State == model.StateRefused || r.State == model.StateCancelled
	}
	j.Contradictory = ran && notRun
}

func (j *Job) absorb(r model.Record) {
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

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
