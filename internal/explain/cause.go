package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// lateStart is the wait from which the start of a task needs a cause.
const lateStart = time.Second

// judge names the outcome and its causes.
func (b *builder) judge() {
	if !b.Known {
		b.Outcome = "no line names this id"
		b.cause("it reached no entry VM of these logs, or the process ended before it decided; the starts of processes are listed")
		return
	}
	var accepted, last, ended, cancelled *Line
	for i := range b.own {
		l := &b.own[i]
		switch {
		case l.has("Caller: answered") && l.text("method") == "POST":
			if accepted == nil && strings.HasPrefix(l.text("reason"), "accepted") {
				accepted = l
			}
			last = l
		case l.has("job ended"):
			ended = l
		case l.has("job cancelled"):
			cancelled = l
		}
	}
	started := slices.ContainsFunc(b.own, func(l Line) bool { return isStart(&l) })
	switch {
	case ended != nil:
		b.Outcome = fmt.Sprintf("%s %.0f ms after it was accepted", ended.text("state"), ended.number("after"))
	case cancelled != nil && accepted != nil:
		b.Outcome = fmt.Sprintf("cancelled %.0f ms after it was accepted", ms(cancelled.Time.Sub(accepted.Time)))
	case cancelled != nil:
		b.Outcome = "cancelled"
	case accepted != nil || started:
		b.Outcome = "accepted; these logs have no end of it"
	case last != nil:
		b.Outcome = fmt.Sprintf("not accepted: the last of its requests got %.0f (%s)", last.number("status"), last.text("reason"))
	default:
		b.Outcome = "no request that hands it in is in these logs"
	}
	b.requests()
	b.takeovers()
	b.starts()
	if len(b.Causes) == 0 {
		b.cause("nothing unusual: no failed request, takeover, late start or lost run")
	}
}

func (b *builder) cause(format string, args ...any) {
	b.Causes = append(b.Causes, fmt.Sprintf(format, args...))
}

// requests explains requests that were not answered with success.
func (b *builder) requests() {
	for i := range b.own {
		l := &b.own[i]
		if !l.has("Caller: answered") {
			continue
		}
		status, at := l.number("status"), stamp(l.Time)
		what := fmt.Sprintf("%s at %s, request %s at %s, got %.0f", l.text("method"), at, l.text("request"), l.VM, status)
		if cut, _ := l.Fields["cut"].(bool); cut {
			what += " after its caller had left"
		}
		switch reason := l.text("reason"); {
		case status < 400 && !strings.Contains(what, "had left"):
		case reason == "store_unavailable":
			b.cause("%s: %s", what, b.storeOutage(l))
		case reason == "may_be_stored":
			b.cause("%s: it is not known whether the job was stored (%s)", what, l.text("error"))
		case reason == "no_configuration":
			b.cause("%s: the process had no configuration yet", what)
		case status == 401 || status == 404:
			b.cause("%s: %s by configuration %.0f, in force there for %.0f ms", what, reason, l.number("config"), l.number("config_age"))
		default:
			b.cause("%s: %s %s", what, reason, l.text("error"))
		}
	}
}

// outageSpread is the time within which all entry VMs notice that the store is away.
const outageSpread = time.Second

// storeOutage tells since when, and for which entry VMs, the store did not answer.
func (b *builder) storeOutage(at *Line) string {
	lost, since, vms := map[string]bool{}, time.Time{}, map[string]bool{}
	// The line was written after the request had waited; the store may have come back with its answer.
	asked := at.Time.Add(-time.Duration(at.number("took") * float64(time.Millisecond)))
	for i := range b.all {
		l := &b.all[i]
		vms[l.VM] = true
		regained := l.has("store answers again") || l.has("circuit breaker closed") || l.has("Daemon started")
		isLost := l.has("circuit breaker opened") || l.has("store does not answer")
		switch {
		case l.Time.After(at.Time.Add(outageSpread)):
		case isLost:
			if l.VM == at.VM && !lost[l.VM] && !l.Time.After(at.Time) {
				since = l.Time
			}
			lost[l.VM] = true
		case regained && l.VM == at.VM && !l.Time.After(asked):
			delete(lost, l.VM)
			since = time.Time{}
		case regained && l.VM != at.VM && !l.Time.After(at.Time):
			delete(lost, l.VM)
		}
	}
	text := "the store did not answer"
	if !since.IsZero() {
		text += fmt.Sprintf(" (%s lost it at %s)", at.VM, stamp(since))
	}
	switch len(lost) {
	case 0:
		return text + "; no entry VM logged its loss"
	case len(vms):
		return text + fmt.Sprintf("; all %d entry VMs had lost it within 1 s, so it was away", len(vms))
	}
	return text + fmt.Sprintf("; %d of %d entry VMs had lost it (%s), so these were cut off or turned away", len(lost), len(vms), strings.Join(sortedKeys(lost), ", "))
}

// takeovers explains changes of the coordinator while the job was open.
func (b *builder) takeovers() {
	accepted, _ := b.times()
	if accepted.IsZero() {
		return
	}
	restarted := map[string]bool{}
	for i := range b.Lines {
		l := &b.Lines[i]
		if l.has("Daemon started") && l.Time.After(accepted) && !l.Time.After(b.to) {
			restarted[l.VM] = true
		}
	}
	if len(restarted) > 0 {
		b.cause("processes started again while the job was open: %s", strings.Join(sortedKeys(restarted), ", "))
	}
	for i := range b.Lines {
		l := &b.Lines[i]
		if l.has("lease taken") && l.Time.After(accepted) && !l.Time.After(b.to) {
			b.cause("takeover at %s: %s became coordinator with epoch %.0f, %.0f ms after the job was accepted", stamp(l.Time), l.VM, l.number("epoch"), ms(l.Time.Sub(accepted)))
		}
	}
}

// starts explains starts that came late and tasks that started more than once.
func (b *builder) starts() {
	runs := runHistory{last: map[string]*Line{}, ends: map[string]string{}, silent: map[string]*Line{}, known: map[float64]bool{}}
	late := map[string]*Line{} // the latest late start of each step
	again := map[string]int{}
	for i := range b.Lines {
		l := &b.Lines[i]
		task := l.text("task")
		if isStart(l) {
			if w := l.number("waited"); w >= ms(lateStart) {
				if step := stepOf(task); late[step] == nil || w > late[step].number("waited") {
					late[step] = l
				}
			}
			if prev := runs.last[task]; prev != nil {
				if why := runs.endOf(prev, l); why != "" {
					again[why]++
				} else {
					b.cause("task %s was started twice (runs %.0f and %.0f) and nothing in these logs ends the first run: keep the logs and report it as a fault", task, prev.number("run"), l.number("run"))
				}
			}
		}
		runs.add(l)
	}
	for _, why := range sortedKeys(again) {
		b.cause("%d tasks were started again: %s", again[why], why)
	}
	for _, step := range sortedKeys(late) {
		l := late[step]
		b.cause("step %s: a task started at %s, %.0f ms after the job was accepted%s", step, stamp(l.Time), l.number("waited"), b.shortage(l.Time))
	}
}

// runHistory is what the lines so far tell about the runs of a job.
type runHistory struct {
	// last is the last start of each task, ends what has ended its run since.
	last map[string]*Line
	ends map[string]string
	// silent are the last lines that gave a minion's runs up.
	silent map[string]*Line
	// known holds the epochs whose coordinator knew all earlier runs of the job.
	known map[float64]bool
}

func (r *runHistory) add(l *Line) {
	task := l.text("task")
	switch {
	case isStart(l):
		r.last[task] = l
		delete(r.ends, task)
	case isEnd(l):
		r.ends[task] = strings.TrimSpace(strings.TrimPrefix(strings.TrimSuffix(l.Message, "."), "Coordinator: ") + " " + l.text("how") + l.text("reason"))
	case l.has("earlier runs of job are known"):
		r.known[l.number("epoch")] = true
	case l.has("leases over"), l.has("removed from the list"):
		r.silent[l.text("minion")] = l
	}
}

// endOf tells why the run of an earlier start could not be in progress at the next one, or "".
func (r *runHistory) endOf(prev, next *Line) string {
	if why := r.ends[prev.text("task")]; why != "" {
		return why
	}
	if lost := r.silent[prev.text("minion")]; lost != nil && !lost.Time.Before(prev.Time) {
		return fmt.Sprintf("minion %s: %s", lost.text("minion"), strings.TrimPrefix(strings.TrimSuffix(lost.Message, "."), "Coordinator: "))
	}
	if next.number("epoch") <= prev.number("epoch") {
		return ""
	}
	if r.known[next.number("epoch")] {
		return "the next coordinator had asked the minions that could run them, or their leases were over"
	}
	if held, _ := prev.Fields["held"].(bool); held {
		return "the first start was held until its minion was stored and was not sent, as the coordinator ended before"
	}
	return ""
}

// shortage tells what the last plan of machines before a time had for the job's service.
func (b *builder) shortage(at time.Time) string {
	text := ""
	for i := range b.Lines {
		l := &b.Lines[i]
		if l.has("machines planned") && !l.Time.After(at) {
			text = fmt.Sprintf("; service %s had %.0f machines and wanted %.0f, %.0f cores of work waited", l.text("service"), l.number("have"), l.number("want"), l.number("waiting_cores"))
		}
	}
	return text
}

// stepOf returns the step of a task "JOB.OCCURRENCE.STEP.INDEX", as "OCCURRENCE.STEP".
func stepOf(task string) string {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task
	}
	return parts[1] + "." + parts[2]
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func stamp(t time.Time) string { return t.Format("15:04:05.000") }

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
