package account

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// readParallelism is the maximum number of concurrent object reads for one report.
const readParallelism = 8

// Counts are numbers of jobs by outcome.
type Counts struct {
	Accepted  int `json:"accepted"`
	Ran       int `json:"ran"`
	Refused   int `json:"refused"`
	Cancelled int `json:"cancelled"`
	Unknown   int `json:"unknown"`
	// Open jobs are waiting or running at the time of the report, or their entry VM was
	// not reached.
	Open int `json:"open"`
}

func (c *Counts) add(s model.State) {
	c.Accepted++
	switch s {
	case model.StateRan:
		c.Ran++
	case model.StateRefused:
		c.Refused++
	case model.StateCancelled:
		c.Cancelled++
	case model.StateUnknown:
		c.Unknown++
	default:
		c.Open++
	}
}

func (c *Counts) addCounts(o Counts) {
	c.Accepted += o.Accepted
	c.Ran += o.Ran
	c.Refused += o.Refused
	c.Cancelled += o.Cancelled
	c.Unknown += o.Unknown
	c.Open += o.Open
}

func (c *Counts) consistent() bool {
	return c.Accepted == c.Ran+c.Refused+c.Cancelled+c.Unknown+c.Open
}

// Group holds the counts of one queue and team.
type Group struct {
	Queue model.Queue `json:"queue"`
	Team  model.Team  `json:"team,omitempty"`
	Counts
}

// ReasonCount is the number of jobs that ended in a state for a reason.
type ReasonCount struct {
	State  model.State  `json:"state"`
	Reason model.Reason `json:"reason"`
	Jobs   int          `json:"jobs"`
}

// Check is the result of one consistency check of the report.
type Check struct {
	Name   string `json:"name"`
	OK     bool   `json:"ok"`
	Detail string `json:"detail,omitempty"`
}

// Report lists all jobs with totals, the events of the fleet, the gaps in these data, and
// the results of the consistency checks.
type Report struct {
	Time    time.Time     `json:"time"`
	From    time.Time     `json:"from,omitzero"`
	Total   Counts        `json:"total"`
	Groups  []Group       `json:"groups"`
	Reasons []ReasonCount `json:"reasons"`
	// Gaps are the periods in which facts may be missing. A report without gaps is complete.
	Gaps   []Gap              `json:"gaps"`
	Checks []Check            `json:"checks"`
	Events []model.FleetEvent `json:"events"`
	// Unknown lists the jobs whose outcome is unknown.
	Unknown []*Job `json:"-"`
	// All lists each job once, in order of acceptance.
	All []*Job `json:"jobs"`
}

// OK reports whether every check has passed. A report with gaps can be OK, because it
// states where facts may be missing.
func (r *Report) OK() bool {
	for _, c := range r.Checks {
		if !c.OK {
			return false
		}
	}
	return true
}

// Jobs returns each job once, in order of acceptance.
func (r *Report) Jobs() []*Job { return r.All }

// Job returns the job with the given id, or nil.
func (r *Report) Job(id model.JobID) *Job {
	for _, j := range r.All {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// ReportInput is the data from which a report is built.
type ReportInput struct {
	Batches   []Batch
	Rows      []IncarnationRow
	Coverages []Coverage
	// Live contains the incarnations that are running. The value is true if all facts of the
	// incarnation are in this input, because it stored them or returned them to the report.
	Live map[model.Incarnation]bool
	// Gone contains the entry VMs whose processes other than those in Live have certainly
	// ended: a newer process replied there, or members of the data centre saw the old one end.
	Gone map[model.EntryVM]bool
	Now  time.Time
}

// Build returns the report for the input.
func Build(in ReportInput) *Report {
	m := Merge(in.Batches, in.Rows, in.Coverages)
	m.markLost(in)
	r := &Report{Time: in.Now, Events: m.Events}
	for _, j := range m.Jobs {
		r.All = append(r.All, j)
	}
	slices.SortFunc(r.All, func(a, b *Job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	if len(r.All) > 0 {
		r.From = r.All[0].Accepted
	}
	r.countJobs()
	r.Gaps = FindGaps(m.Owners, in)
	r.runChecks(r.Gaps)
	return r
}

// Between returns the report of the jobs accepted and the events that happened at or after
// from and before to; a zero time leaves that side of the period open. It includes the gaps
// that overlap the period.
func (r *Report) Between(from, to time.Time) *Report {
	if from.IsZero() && to.IsZero() {
		return r
	}
	in := func(t time.Time) bool { return !t.Before(from) && (to.IsZero() || t.Before(to)) }
	out := &Report{Time: r.Time, From: from}
	for _, j := range r.All {
		if in(j.Accepted) {
			out.All = append(out.All, j)
		}
	}
	for _, e := range r.Events {
		if in(e.Time) {
			out.Events = append(out.Events, e)
		}
	}
	for _, g := range r.Gaps {
		if !g.To.Before(from) && (to.IsZero() || g.From.Before(to)) {
			out.Gaps = append(out.Gaps, g)
		}
	}
	out.countJobs()
	out.runChecks(r.Gaps)
	return out
}

func (r *Report) countJobs() {
	type groupKey struct {
		q model.Queue
		t model.Team
	}
	type reasonKey struct {
		s model.State
		r model.Reason
	}
	groups := make(map[groupKey]*Group)
	reasons := make(map[reasonKey]int)
	for _, j := range r.All {
		r.Total.add(j.State)
		k := groupKey{j.Queue, j.Team}
		if groups[k] == nil {
			groups[k] = &Group{Queue: j.Queue, Team: j.Team}
		}
		groups[k].add(j.State)
		switch j.State {
		case model.StateRefused, model.StateCancelled, model.StateUnknown:
			reasons[reasonKey{j.State, j.Reason}]++
		}
		if j.State == model.StateUnknown {
			r.Unknown = append(r.Unknown, j)
		}
	}
	for _, g := range groups {
		r.Groups = append(r.Groups, *g)
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Team, b.Team))
	})
	for k, n := range reasons {
		r.Reasons = append(r.Reasons, ReasonCount{k.s, k.r, n})
	}
	slices.SortFunc(r.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.Reason, b.Reason))
	})
}

// Load reads all stored data for a report. If any object cannot be read it returns an error
// instead of a partial input: that of platform.Table or platform.Objects, or ErrMalformed.
func Load(ctx context.Context, s platform.Services) (ReportInput, error) {
	rows, err := loadRows(ctx, s.Table)
	if err != nil {
		return ReportInput{}, err
	}
	// Rows and coverages say that batches exist, which are stored before them. Batches are read
	// last, so that none is stored unseen between the two reads.
	coverages, err := loadObjects(ctx, s.Objects, coveragePrefix, decodeCoverage)
	if err != nil {
		return ReportInput{}, err
	}
	batches, err := loadObjects(ctx, s.Objects, objectPrefix, DecodeBatch)
	if err != nil {
		return ReportInput{}, err
	}
	return ReportInput{Batches: batches, Rows: rows, Coverages: coverages}, nil
}

func loadRows(ctx context.Context, t platform.Table) ([]IncarnationRow, error) {
	rows, err := t.Scan(ctx, platform.PriorityBackground, incarnationRowPrefix, 0)
	if err != nil {
		return nil, errors.Wrap(err, "account: read incarnations")
	}
	out := make([]IncarnationRow, 0, len(rows))
	for _, row := range rows {
		var r IncarnationRow
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return nil, errors.Wrapf(ErrMalformed, "row %s: %v", row.Key, err)
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeCoverage(data []byte) (Coverage, error) {
	var c Coverage
	err := decode(data, &c)
	return c, err
}

func loadObjects[T any](ctx context.Context, o platform.Objects, prefix string, decodeObject func([]byte) (T, error)) ([]T, error) {
	names, err := o.List(ctx, platform.PriorityBackground, prefix)
	if err != nil {
		return nil, errors.Wrapf(err, "account: list %s", prefix)
	}
	out := make([]T, len(names))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(readParallelism)
	for i, name := range names {
		g.Go(func() error {
			data, err := o.Get(ctx, platform.PriorityBackground, name)
			if err != nil {
				return errors.Wrapf(err, "account: read %s", name)
			}
			out[i], err = decodeObject(data)
			return errors.Wrapf(err, "account: %s", name)
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return out, nil
}
