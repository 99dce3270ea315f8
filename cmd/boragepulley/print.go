package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/operator"
)

// printer writes results as text. Write errors are not reported: the exit code is that of
// the command, whether or not somebody reads its output.
type printer struct{ w io.Writer }

// print writes a result as JSON or by the text function.
func (a *app) print(v any, text func(*printer)) {
	if !a.json {
		text(&printer{a.out})
		return
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error    string            `json:"error"`
	ExitCode exitCode          `json:"exit_code"`
	Problem  *operator.Problem `json:"problem,omitempty"`
}

// printError writes the error of a command. Errors without a text were printed before.
func (a *app) printError(w io.Writer, err error, code exitCode) {
	if err.Error() == "" {
		return
	}
	var p *operator.Problem
	errors.As(err, &p)
	if a.json {
		_ = json.NewEncoder(w).Encode(errorOutput{err.Error(), code, p})
		return
	}
	if p != nil {
		(&printer{w}).faults(p.Faults)
	}
	_, _ = fmt.Fprintln(w, "boragepulley:", err)
}

func (p *printer) line(format string, args ...any) { _, _ = fmt.Fprintf(p.w, format+"\n", args...) }

// table writes rows whose cells are separated by tabs.
func (p *printer) table(rows func(t *printer)) {
	t := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	rows(&printer{t})
	_ = t.Flush()
}

func (p *printer) faults(fs config.Faults) {
	for _, f := range fs {
		p.line("%s", f)
	}
}

func (p *printer) check(r checkOutput) {
	p.faults(r.Faults)
	if r.OK {
		p.line("ok: %d files, digest %s", r.Files, r.Digest)
		return
	}
	p.line("%d errors, %d warnings in %d files", len(r.Faults.Errors()), len(r.Faults.Warnings()), r.Files)
}

func (p *printer) plan(r operator.PlanResult) {
	p.faults(r.Warnings)
	for _, c := range r.Changes {
		p.line("%s", c)
	}
	p.line("%d changes to version %d; apply them with --base %d", len(r.Changes), r.BaseVersion, r.BaseVersion)
}

func (p *printer) stored(r operator.ApplyResult) {
	p.faults(r.Warnings)
	again := ""
	if r.Repeated {
		again = " by an earlier try"
	}
	p.line("stored%s: version %d, digest %s, apply id %s", again, r.Version, r.Digest, r.ApplyID)
}

func (p *printer) inForce(o applyOutput) {
	s := o.Configuration
	after := time.Duration(o.WaitedMS) * time.Millisecond
	switch o.State {
	case stateEverywhere:
		p.line("in force everywhere (%d of %d entry VMs) after %s", s.InForce, s.Of, after)
	case stateSuperseded:
		p.line("superseded by version %d of %s", s.Head.Version, s.Head.Operator)
	default:
		p.line("in force at %d of %d entry VMs after %s", s.InForce, s.Of, after)
	}
}

func (p *printer) missing(list []operator.MissingEntry) {
	if len(list) == 0 {
		return
	}
	p.table(func(t *printer) {
		t.line("missing\tdata centre\tversion\tstatus\tsince")
		for _, m := range list {
			t.line("%s\t%s\t%d\t%s\t%s", m.Name, m.DC, m.Version, m.Status, stamp(m.Since))
		}
	})
}

func (p *printer) status(s operator.Status) {
	c := s.Configuration
	p.line("status of %s in %s at %s", s.Entry, s.DC, stamp(s.Time))
	p.configuration(c)
	p.missing(c.Missing)
	p.line("")
	p.table(func(t *printer) {
		t.line("data centre\tcoordinator\ttoken\ttakeover")
		for _, x := range s.Coordinators {
			t.line("%s\t%s\t%s\t%s", x.DC, orDash(x.Entry), x.Token, choose(x.Local, "local", "table"))
		}
	})
	p.line("")
	p.table(func(t *printer) {
		t.line("entry VM\tdata centre\tstatus\tconfiguration\tlast heard\tlisted")
		for _, x := range s.Peers {
			t.line("%s\t%s\t%s\t%d\t%s\t%s", x.Name, x.DC, x.Status, x.Config, stamp(x.LastHeard), orDash(x.Listed))
		}
	})
	p.line("")
	p.table(func(t *printer) {
		t.line("VM\tdata centre\tpool\tstate\tbusy\tslots\twave\theld back")
		for _, x := range s.VMs {
			pool := string(x.Pool)
			if x.MoveTo != "" {
				pool += " -> " + string(x.MoveTo)
			}
			t.line("%s\t%s\t%s\t%s%s%s\t%d\t%d\t%s\t%s", x.Name, x.DC, pool, x.State, choose(x.Ejected, " (ejected)", ""),
				choose(x.Suspect, " (suspect)", ""), x.Busy, x.Slots, orDash(x.Wave), held(x.Held, x.Detail))
		}
	})
	p.waves(s.Waves)
	p.line("")
	p.table(func(t *printer) {
		t.line("team\trunning\twaiting\tlimit\tshare\tused")
		for _, x := range s.Teams {
			t.line("%s\t%d\t%d\t%d\t%d (%.1f%%)\t%.1f%%", x.Name, x.Running, x.Waiting, x.Limit, x.Share, x.SharePercent, x.UsedPercent)
		}
	})
}

func (p *printer) configuration(c operator.ConfigurationStatus) {
	if c.Head.Version == 0 {
		p.line("configuration: none is known")
		return
	}
	state := fmt.Sprintf("in force at %d of %d entry VMs", c.InForce, c.Of)
	if c.Everywhere {
		state = "in force everywhere"
	}
	p.line("configuration: version %d by %s at %s, %s%s", c.Head.Version, c.Head.Operator, stamp(c.Head.Time),
		choose(c.Stored, "stored, ", ""), state)
	if !c.Confirmed {
		p.line("configuration: this entry VM cannot confirm that the version is the newest")
	}
}

func (p *printer) waves(list []operator.WaveStatus) {
	if len(list) == 0 {
		return
	}
	p.line("")
	p.table(func(t *printer) {
		t.line("wave\tdone\tactive\ttotal\tpaused")
		for _, x := range list {
			t.line("%s\t%d\t%d\t%d\t%s", x.Name, x.Done, x.Active, x.Total, orDash(x.Paused))
		}
	})
}

func (p *printer) jobs(r operator.JobList) {
	p.table(func(t *printer) {
		t.line("job\tstate\treason\tqueue\tteam\tminion\tattempts\taccepted")
		for _, j := range r.Jobs {
			t.line("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s", j.Job, j.State, orDash(j.Reason), j.Queue, orDash(j.Team), orDash(j.Minion), j.Attempts, stamp(j.Accepted))
		}
	})
	if r.More {
		p.line("there are more jobs; raise --limit")
	}
	if r.Note != "" {
		p.line("note: %s", r.Note)
	}
}

func (p *printer) explanation(r operator.Explanation) {
	p.line("job %s: %s, outcome %s, queue %s, team %s", r.Job.Job, r.Job.State, r.Outcome, r.Job.Queue, orDash(r.Job.Team))
	p.table(func(t *printer) {
		t.line("time\tentry VM\tstate\treason\tminion\tattempt\tconfiguration\tdetail")
		for _, s := range r.Steps {
			t.line("%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s", stamp(s.Time), s.Entry, s.State, orDash(s.Reason), orDash(s.Minion), s.Attempt, s.Config, s.Detail)
		}
	})
}

func (p *printer) version(r versionOutput) {
	p.line("tool: %s %s %s", r.Tool.Version, r.Tool.Revision, r.Tool.Go)
	if r.Server != nil {
		p.line("server: %s %s %s", r.Server.Version, r.Server.Revision, r.Server.Go)
	}
}

func (p *printer) key(r keyOutput) {
	p.line("Key for the team (shown only now): %s\n", r.Key)
	p.line("Section for the files:\n\n[[key]]\nid = %q\nteam = %q\nsha256 = %q", r.ID, r.Team, r.SHA256)
}

// stamp formats a time in UTC with milliseconds; the zero time is a dash.
func stamp(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

func orDash[T ~string](s T) string { return cmp.Or(string(s), "-") }

func choose(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// held formats why a VM waits.
func held(reason, detail string) string {
	if detail == "" {
		return orDash(reason)
	}
	return reason + ": " + detail
}
