package explain

import (
	"slices"
	"strings"
	"time"
)

const (
	// before is how long before the first line of a job changes of the store and the coordinator
	// are shown.
	before = 5 * time.Second
	after  = 200 * time.Millisecond
)

// Story is what the logs tell about a job or request.
type Story struct {
	ID  string `json:"id"`
	Job string `json:"job,omitempty"`
	// Outcome is what became of the job; Causes say why, the most important one first.
	Outcome string   `json:"outcome"`
	Causes  []string `json:"causes"`
	// Lines are those that the story needs, by time.
	Lines []Line `json:"lines"`
	// Read and Unreadable count the lines of the input.
	Read       int `json:"lines_read"`
	Unreadable int `json:"lines_unreadable"`
	// Known is false if no line names the id.
	Known bool `json:"known"`
}

// Tell finds the story of a job id or of a caller's Request-Id.
func (l *Logs) Tell(id string) *Story {
	lines := slices.Clone(l.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := &Story{ID: id, Job: id, Read: len(lines) + l.Unreadable, Unreadable: l.Unreadable, Causes: []string{}}
	for i := range lines {
		if lines[i].text("request") == id {
			s.Job = lines[i].text("job")
		}
	}
	b := builder{Story: s, all: lines}
	b.collect()
	b.judge()
	return s
}

// builder collects the lines of a story.
type builder struct {
	*Story
	all  []Line
	own  []Line
	from time.Time
	to   time.Time
}

// isOwn reports whether a line names the request, the job or one of its tasks.
func (b *builder) isOwn(l *Line) bool {
	if l.text("request") == b.ID {
		return true
	}
	if isRead(l) {
		return false
	}
	return b.Job != "" && (l.text("job") == b.Job || strings.HasPrefix(l.text("task"), b.Job+"."))
}

// collect selects the job's lines and those that may explain them.
func (b *builder) collect() {
	minions, service := map[string]bool{}, ""
	for i := range b.all {
		l := &b.all[i]
		if !b.isOwn(l) {
			continue
		}
		b.own = append(b.own, *l)
		if m := l.text("minion"); m != "" {
			minions[m] = true
		}
		if v := l.text("service"); v != "" {
			service = v
		}
	}
	b.Known = len(b.own) > 0
	if !b.Known {
		b.keep(func(l *Line) bool { return l.has("Daemon started") })
		return
	}
	b.from, b.to = b.own[0].Time, b.own[len(b.own)-1].Time
	b.keep(func(l *Line) bool {
		if b.isOwn(l) {
			return true
		}
		if l.Time.Before(b.from.Add(-before)) || l.Time.After(b.to.Add(after)) {
			return false
		}
		switch {
		case isStoreChange(l):
			return true
		case isTermChange(l):
			return true
		case l.has("machines planned"):
			l.Fields = planOf(l, service)
			return service != "" && len(l.Fields) > 0
		}
		return l.text("task") == "" && minions[l.text("minion")]
	})
	b.dropRepeatedPlans()
}

func (b *builder) keep(ok func(*Line) bool) {
	for i := range b.all {
		l := b.all[i]
		if ok(&l) {
			b.Lines = append(b.Lines, l)
		}
	}
}

func isStoreChange(l *Line) bool {
	return l.has("circuit breaker opened") || l.has("circuit breaker closed") || l.has("store does not answer") || l.has("store answers again")
}

func isTermChange(l *Line) bool {
	return l.has("lease taken") || l.has("term began") || l.has("term ended") || l.has("state loaded") || l.has("has become coordinator") || l.has("Daemon started")
}

// planOf returns the part of a plan of machines that concerns one service.
func planOf(l *Line, service string) map[string]any {
	list, _ := l.Fields["services"].([]any)
	for _, x := range list {
		if m, ok := x.(map[string]any); ok && m["service"] == service {
			return map[string]any{"part": "coordinator", "service": service, "have": m["have"], "want": m["want"], "waiting_cores": m["waiting_cores"]}
		}
	}
	return nil
}

// dropRepeatedPlans keeps the plans between the acceptance and the last start: only these can have
// delayed the job.
func (b *builder) dropRepeatedPlans() {
	first, last := b.times()
	b.Lines = slices.DeleteFunc(b.Lines, func(l Line) bool {
		return l.has("machines planned") && (first.IsZero() || l.Time.Before(first.Add(-time.Second)) || l.Time.After(last))
	})
}

// times returns when the job was accepted and when the last of its tasks started.
func (b *builder) times() (accepted, lastStart time.Time) {
	for i := range b.own {
		l := &b.own[i]
		switch {
		case l.text("reason") == "accepted" && accepted.IsZero():
			accepted = l.Time
		case isStart(l):
			lastStart = l.Time
		}
	}
	if lastStart.IsZero() {
		lastStart = b.to
	}
	return accepted, lastStart
}

// isRead reports whether a line is that of a read that succeeded, which explains nothing.
func isRead(l *Line) bool {
	return l.has("Caller: answered") && l.text("method") == "GET" && l.number("status") < 400 && l.Fields["cut"] == nil
}

func isStart(l *Line) bool { return strings.HasSuffix(l.Message, "Coordinator: start.") }

// isEnd reports whether a line allows another start of its task.
func isEnd(l *Line) bool {
	return l.has("run ended") || l.has("run is gone") || l.has("Coordinator: stop.") || l.has("start refused") || l.has("task requeued")
}
