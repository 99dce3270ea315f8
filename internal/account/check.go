package account

import (
	"fmt"
	"slices"
	"time"

	"boragepulley/internal/model"
)

// Names of the consistency checks of a report.
const (
	CheckEachJobOnce     = "each job appears once"
	CheckTotalsAddUp     = "totals add up"
	CheckGroupsAddUp     = "groups add up to the total"
	CheckReasonsAddUp    = "reasons add up to the refusals, cancellations and unknown outcomes"
	CheckNoContradiction = "no job is reported both as run and as not run"
	CheckReasonGiven     = "every refusal, cancellation and unknown outcome has a reason"
	CheckAccepted        = "every job was refused on arrival, has its acceptance on record, or lies in a gap"
)

// runChecks checks the report. gaps are those of the whole account, also if the report is of a part.
func (r *Report) runChecks(gaps []Gap) {
	r.Checks = []Check{
		r.checkEachJobOnce(),
		{Name: CheckTotalsAddUp, OK: r.Total.consistent() && r.Total.Accepted == len(r.All)},
		r.checkGroups(),
		r.checkReasons(),
		r.checkEachJob(CheckNoContradiction, func(j *Job) bool { return !j.Contradictory }),
		r.checkEachJob(CheckReasonGiven, hasReason),
		r.checkEachJob(CheckAccepted, func(j *Job) bool { return hasAcceptance(j) || inGap(gaps, j) }),
	}
}

func (r *Report) checkEachJobOnce() Check {
	seen := make(map[model.JobID]bool, len(r.All))
	for _, j := range r.All {
		if seen[j.ID] {
			return Check{Name: CheckEachJobOnce, Detail: string(j.ID)}
		}
		seen[j.ID] = true
	}
	return Check{Name: CheckEachJobOnce, OK: true}
}

func (r *Report) checkGroups() Check {
	var sum Counts
	for _, g := range r.Groups {
		sum.addCounts(g.Counts)
	}
	return Check{Name: CheckGroupsAddUp, OK: sum == r.Total}
}

func (r *Report) checkReasons() Check {
	n := 0
	for _, w := range r.Reasons {
		n += w.Jobs
	}
	return Check{Name: CheckReasonsAddUp, OK: n == r.Total.Refused+r.Total.Cancelled+r.Total.Unknown}
}

func (r *Report) checkEachJob(name string, ok func(*Job) bool) Check {
	bad := 0
	first := model.JobID("")
	for _, j := range r.All {
		if ok(j) {
			continue
		}
		if bad == 0 {
			first = j.ID
		}
		bad++
	}
	if bad > 0 {
		return Check{Name: name, Detail: fmt.Sprintf("%d jobs, the first is %s", bad, first)}
	}
	return Check{Name: name, OK: true}
}

func hasReason(j *Job) bool {
	switch j.State {
	case model.StateRefused, model.StateCancelled, model.StateUnknown:
		return j.Reason != model.ReasonNone
	}
	return true
}

// inGap reports whether the job was accepted in a gap of its entry VM. Its id has the time of the
// acceptance in whole milliseconds.
func inGap(gaps []Gap, j *Job) bool {
	entry, err := j.ID.Entry()
	if err != nil {
		return false
	}
	from := j.ID.AcceptedAt()
	to := from.Add(time.Millisecond)
	return slices.ContainsFunc(gaps, func(g Gap) bool {
		return g.Entry == entry && !to.Before(g.From) && !from.After(g.To)
	})
}

// hasAcceptance reports whether the records of a job include its beginning: either its
// acceptance, or nothing but a refusal on arrival.
func hasAcceptance(j *Job) bool {
	refusedOnly := true
	for _, s := range j.Steps {
		if s.State == model.StateAccepted {
			return true
		}
		refusedOnly = refusedOnly && s.State == model.StateRefused
	}
	return refusedOnly
}
