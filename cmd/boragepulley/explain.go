package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"boragepulley/internal/explain"
)

// fromLogs explains a job or request from collected logs alone.
func (c *explainCmd) fromLogs(a *app) error {
	var logs explain.Logs
	for _, path := range c.Logs {
		if err := readLog(&logs, a, path); err != nil {
			return usageError{err}
		}
	}
	s := logs.Tell(c.Job)
	a.print(s, func(p *printer) { p.story(s) })
	if !s.Known {
		return &statusError{exitRefused, ""}
	}
	return nil
}

func readLog(logs *explain.Logs, a *app, path string) error {
	if path == "-" {
		return logs.Read("stdin", a.in)
	}
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer f.Close()
	return logs.Read(filepath.Base(path), f)
}

// story prints a story. Lines of the same kind that follow one another are counted.
func (p *printer) story(s *explain.Story) {
	p.line("id %s, job %s: %s", s.ID, orDash(s.Job), s.Outcome)
	for _, c := range s.Causes {
		p.line("cause: %s", c)
	}
	p.line("%d of %d lines:", len(s.Lines), s.Read)
	for i := 0; i < len(s.Lines); {
		l, n := s.Lines[i], 1
		for i+n < len(s.Lines) && sameKind(l, s.Lines[i+n]) {
			n++
		}
		times := ""
		if n > 1 {
			times = fmt.Sprintf(" (and %d more)", n-1)
		}
		p.line("%s %s %s%s %s", l.Time.Format("15:04:05.000"), l.VM, l.Message, times, fields(l))
		i += n
	}
	if s.Unreadable > 0 {
		p.line("%d lines could not be read", s.Unreadable)
	}
}

// sameKind reports whether two lines differ only in their task, minion or time.
func sameKind(a, b explain.Line) bool {
	if a.VM != b.VM || a.Message != b.Message {
		return false
	}
	for _, k := range []string{"status", "reason", "epoch", "how", "error"} {
		if a.Fields[k] != b.Fields[k] {
			return false
		}
	}
	return !strings.HasSuffix(a.Message, "machines planned.")
}

// fields formats the fields of a line, sorted by name.
func fields(l explain.Line) string {
	names := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		if k != "part" {
			names = append(names, k)
		}
	}
	slices.Sort(names)
	for i, k := range names {
		names[i] = fmt.Sprintf("%s=%v", k, l.Fields[k])
	}
	return strings.Join(names, " ")
}
