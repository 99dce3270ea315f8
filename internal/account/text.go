package account

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const timeLayout = "2006-01-02 15:04:05.000Z07:00"

// WriteText writes the report as plain text.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "Report of %s", r.Time.UTC().Format(timeLayout))
	if !r.From.IsZero() {
		fmt.Fprintf(t, ", jobs since %s", r.From.UTC().Format(timeLayout))
	}
	fmt.Fprint(t, "\n\nqueue\tteam\taccepted\tran\trefused\tcancelled\tunknown\topen\n")
	for _, g := range r.Groups {
		writeCounts(t, string(g.Queue), cmp.Or(string(g.Team), "(none)"), g.Counts)
	}
	writeCounts(t, "total", "", r.Total)
	if len(r.Reasons) > 0 {
		fmt.Fprint(t, "\nstate\treason\tjobs\n")
		for _, y := range r.Reasons {
			fmt.Fprintf(t, "%s\t%s\t%d\n", y.State, y.Reason, y.Jobs)
		}
	}
	r.writeGaps(t)
	fmt.Fprint(t, "\nchecks\n")
	for _, c := range r.Checks {
		fmt.Fprintf(t, "%s\t%s\t%s\n", verdict(c.OK), c.Name, c.Detail)
	}
	fmt.Fprintf(t, "\nfleet events: %d\n", len(r.Events))
	return t.Flush()
}

func (r *Report) writeGaps(w io.Writer) {
	if len(r.Gaps) == 0 {
		fmt.Fprint(w, "\nNo gaps: every entry VM stored all its facts.\n")
		return
	}
	fmt.Fprint(w, "\nGaps: facts may be missing in these windows.\nentry VM\tfrom\tto\tlength\tcause\n")
	for _, g := range r.Gaps {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", g.Entry, g.From.UTC().Format(timeLayout), g.To.UTC().Format(timeLayout),
			g.To.Sub(g.From).Round(time.Millisecond), g.Cause)
	}
}

func writeCounts(w io.Writer, queue, team string, c Counts) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", queue, team, c.Accepted, c.Ran, c.Refused, c.Cancelled, c.Unknown, c.Open)
}

func verdict(ok bool) string {
	if ok {
		return "ok"
	}
	return "FAILED"
}

// WriteText writes the job and all its steps as plain text.
func (j *Job) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "job\t%s\nqueue\t%s\nteam\t%s\nstate\t%s\noutcome\t%s\n", j.ID, j.Queue, cmp.Or(string(j.Team), "(none)"), j.State, j.State.Outcome())
	if j.RequestID != "" {
		fmt.Fprintf(t, "request id\t%s\n", j.RequestID)
	}
	if j.Reason != "" {
		fmt.Fprintf(t, "reason\t%s\n", j.Reason)
	}
	fmt.Fprint(t, "\ntime\tentry VM\tstate\tattempt\tminion\treason\tdetail\n")
	for _, s := range j.Steps {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", s.Time.UTC().Format(timeLayout), s.Entry, s.State, s.Attempt, s.Minion, s.Reason, s.Detail)
	}
	return t.Flush()
}
