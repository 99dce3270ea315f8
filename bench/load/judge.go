package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"boragepulley/internal/account"
	"boragepulley/internal/model"
	"boragepulley/standins/minion"
	"boragepulley/standins/worker"
)

// maxFaultsListed bounds the faults of one kind that are listed in full.
const maxFaultsListed = 10

// FaultKind names a promise that was broken.
type FaultKind string

const (
	FaultWrongAnswer     FaultKind = "answer not whole or not to its own request (I5)"
	FaultFalseRefusal    FaultKind = "refusal says not run, but the job ran (I6)"
	FaultRanTwice        FaultKind = "non-idempotent request ran more than once (I7)"
	FaultNoRun           FaultKind = "caller got an answer of a job that never ran"
	FaultReportMissing   FaultKind = "job missing from the report, outside any gap"
	FaultReportDiffers   FaultKind = "report disagrees with what the caller saw"
	FaultCutOff          FaultKind = "request cut off by a planned stop (I9)"
	FaultDuplicateAnswer FaultKind = "one job answered two requests"
	FaultMinionLimits    FaultKind = "slots or connections of a minion exceeded"
	FaultWorkerLimits    FaultKind = "cores, memory or accelerators of a worker exceeded"
	FaultTaskOpen        FaultKind = "accepted task did not end"
)

// Fault is one broken promise.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	Detail string    `json:"detail"`
}

// Verdicts counts what the callers saw.
func Verdicts(seen []Seen) map[Verdict]int {
	out := make(map[Verdict]int)
	for _, s := range seen {
		out[s.Verdict]++
	}
	return out
}

// Reasons counts the requests that did not run, or of unknown outcome, by reason.
func Reasons(seen []Seen) map[model.Reason]int {
	out := make(map[model.Reason]int)
	for _, s := range seen {
		if s.Verdict == SawNotRun || s.Verdict == SawUnknown {
			out[s.Reason]++
		}
	}
	return out
}

// Runs is how often each job was started at the minions.
type Runs map[model.JobID]int

// JudgeRuns compares the callers' account with the minions' run counts.
func JudgeRuns(seen []Seen, runs Runs) []Fault {
	var out []Fault
	byRequest := make(map[string]map[model.JobID]bool)
	answered := make(map[model.JobID]int64)
	for _, s := range seen {
		n := runs[s.Job]
		switch {
		case s.Verdict == SawWrong:
			out = append(out, fault(FaultWrongAnswer, s))
		case s.Verdict == SawNotRun && s.Job != "" && s.Reason != model.ReasonDuplicateID && n > 0:
			out = append(out, fault(FaultFalseRefusal, s))
		case s.Verdict == SawRan && n == 0:
			out = append(out, fault(FaultNoRun, s))
		}
		if !s.Idempotent && n > 1 {
			out = append(out, fault(FaultRanTwice, s))
		}
		if s.Verdict == SawRan && s.RequestID == "" {
			if other, dup := answered[s.Job]; dup {
				out = append(out, Fault{FaultDuplicateAnswer, fmt.Sprintf("%s answered requests %d and %d", s.Job, other, s.Number)})
			}
			answered[s.Job] = s.Number
		}
		if !s.Idempotent && s.RequestID != "" && s.Job != "" && n > 0 {
			k := s.Team + "/" + s.RequestID
			if byRequest[k] == nil {
				byRequest[k] = make(map[model.JobID]bool)
			}
			byRequest[k][s.Job] = true
		}
	}
	for k, jobs := range byRequest {
		if len(jobs) > 1 {
			out = append(out, Fault{FaultRanTwice, fmt.Sprintf("request id %s ran as %d jobs", k, len(jobs))})
		}
	}
	return out
}

// JudgeReport compares the callers' account with the system's report.
//
// Every job that the report calls refused or cancelled must have run nowhere.
func JudgeReport(seen []Seen, r *account.Report, runs Runs) []Fault {
	var out []Fault
	jobs := make(map[model.JobID]*account.Job, len(r.Jobs()))
	for _, j := range r.Jobs() {
		jobs[j.ID] = j
		if n := runs[j.ID]; n > 0 && (j.State == model.StateRefused || j.State == model.StateCancelled) {
			out = append(out, Fault{FaultFalseRefusal, fmt.Sprintf("report: %s %s %s, started %d times", j.ID, j.State, j.Reason, n)})
		}
	}
	for _, s := range seen {
		if s.Job == "" {
			continue
		}
		j := jobs[s.Job]
		if j == nil {
			if !inGap(r.Gaps, s) {
				out = append(out, fault(FaultReportMissing, s))
			}
			continue
		}
		if !agrees(s, j) {
			out = append(out, Fault{FaultReportDiffers, fmt.Sprintf("%s; report: %s %s", describe(s), j.State, j.Reason)})
		}
	}
	return out
}

// agrees reports whether the report's job is compatible with what the caller saw. The
// report may know more than a caller who saw unknown, but never less, unless the job's
// entry VM was lost.
func agrees(s Seen, j *account.Job) bool {
	if j.Lost {
		return true
	}
	switch s.Verdict {
	case SawRan:
		return j.State == model.StateRan
	case SawNotRun:
		return s.Reason == model.ReasonDuplicateID || j.State == model.StateRefused || j.State == model.StateCancelled
	case SawUnknown:
		// At its deadline the caller of a job that was handed on is told that the outcome is
		// not known; the other entry VM can still refuse it after that. JudgeReport checks
		// that such a refusal is true.
		switch j.State {
		case model.StateUnknown, model.StateRan, model.StateDispatched, model.StateRefused, model.StateCancelled:
			return true
		}
		return false
	}
	return true
}

// inGap reports whether the job was accepted in a gap of its entry VM. The answer can
// come through another entry VM, and long after, if the request repeats an earlier one.
func inGap(gaps []account.Gap, s Seen) bool {
	owner, err := s.Job.Entry()
	if err != nil {
		return false
	}
	id, err := ulid.ParseStrict(strings.TrimSuffix(string(s.Job), "-"+string(owner)))
	if err != nil {
		return false
	}
	// The id has the time of the acceptance in whole milliseconds.
	from := ulid.Time(id.Time())
	to := from.Add(time.Millisecond)
	for _, g := range gaps {
		if g.Entry == owner && !to.Before(g.From) && !from.After(g.To) {
			return true
		}
	}
	return false
}

func fault(k FaultKind, s Seen) Fault { return Fault{k, describe(s)} }

func describe(s Seen) string {
	return fmt.Sprintf("request %d on %s by %s at %s: %s %s, job %s, %s", s.Number, s.Queue, s.Team, s.Entry, s.Verdict, s.Reason, s.Job, s.Detail)
}

// Summarize groups faults by kind and lists at most a few of each.
func Summarize(faults []Fault) []string {
	byKind := make(map[FaultKind][]string)
	for _, f := range faults {
		byKind[f.Kind] = append(byKind[f.Kind], f.Detail)
	}
	kinds := make([]string, 0, len(byKind))
	for k := range byKind {
		kinds = append(kinds, string(k))
	}
	sort.Strings(kinds)
	var out []string
	for _, k := range kinds {
		details := byKind[FaultKind(k)]
		out = append(out, fmt.Sprintf("%d x %s", len(details), k))
		for _, d := range details[:min(len(details), maxFaultsListed)] {
			out = append(out, "    "+d)
		}
	}
	return out
}

// JudgeMinions finds minions whose slots or connections were exceeded.
func JudgeMinions(stats []minion.Stats) []Fault {
	var out []Fault
	for _, s := range stats {
		if s.SlotViolations > 0 || s.ConnectionViolations > 0 {
			out = append(out, Fault{FaultMinionLimits, fmt.Sprintf("%s: %d times over its slots, %d over its connections",
				s.Name, s.SlotViolations, s.ConnectionViolations)})
		}
	}
	return out
}

// CutOff is the fault of a request whose connection broke in a planned stop.
func CutOff(s Seen) Fault { return fault(FaultCutOff, s) }

// JudgeWorkers finds workers that were asked for more than they have.
func JudgeWorkers(stats []worker.Stats) []Fault {
	var out []Fault
	for _, s := range stats {
		if s.Violations > 0 {
			out = append(out, Fault{FaultWorkerLimits, fmt.Sprintf("%s: %d times", s.Name, s.Violations)})
		}
	}
	return out
}

// JudgeTasks finds accepted tasks whose end their callers did not learn.
func JudgeTasks(seen []Seen) []Fault {
	var out []Fault
	for _, s := range seen {
		if s.Task != nil && s.Open {
			out = append(out, fault(FaultTaskOpen, s))
		}
	}
	return out
}
