package main

import (
	"os"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/siteconfig"
	"boragepulley/internal/tomldoc"
	"boragepulley/platform"
)

type checkConfigCmd struct {
	File     string `arg:"" help:"Configuration (JSON) as it is to be written to the platform's store."`
	InForce  string `help:"Configuration in force, to compare with." placeholder:"FILE"`
	RowBytes int64  `help:"Largest value of a row of the store, in bytes." default:"${row_bytes}"`
}

// checkConfigOutput is the JSON output of check-config.
type checkConfigOutput struct {
	OK       bool            `json:"ok"`
	Version  uint64          `json:"version"`
	Findings tomldoc.Faults  `json:"findings"`
	InForce  uint64          `json:"in_force,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"`
}

func (c *checkConfigCmd) Run(a *app) error {
	next, findings, err := parseConfigFile(c.File)
	if err != nil {
		return err
	}
	limits := siteconfig.Limits{RowBytes: c.RowBytes}
	out := checkConfigOutput{Version: next.Version}
	if c.InForce != "" {
		before, _, err := parseConfigFile(c.InForce)
		if err != nil {
			return err
		}
		out.InForce, limits.InForce = before.Version, before.Version
		out.Changes = siteconfig.Diff(&before.Document, &next.Document)
	}
	out.Findings = append(findings, next.Check(limits)...)
	out.Findings.Sort()
	out.OK = !out.Findings.Failed()
	a.print(out, func(p *printer) { p.checkConfig(out) })
	switch {
	case !out.OK:
		return &statusError{exitRefused, ""}
	case len(out.Findings) > 0:
		return &statusError{exitWarnings, ""}
	}
	return nil
}

func parseConfigFile(name string) (*platform.ConfigFile, tomldoc.Faults, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, usageError{errors.Wrap(err, "configuration")}
	}
	f, findings, err := platform.ParseConfigFile(name, text)
	if err != nil {
		return nil, nil, &statusError{exitRefused, err.Error()}
	}
	return f, findings, nil
}

func (p *printer) checkConfig(o checkConfigOutput) {
	p.faults(o.Findings)
	if o.InForce > 0 {
		p.line("version %d, compared with %d in force: %d changes", o.Version, o.InForce, len(o.Changes))
		for _, c := range o.Changes {
			p.line("%s", c)
		}
	}
	p.line("%d errors, %d warnings", len(o.Findings.Errors()), len(o.Findings.Warnings()))
}
