package prove

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
)

// ErrBroken means that a scenario found a broken promise or could not finish.
var ErrBroken = errors.New("prove: promises broken")

// Run runs the scenarios with the given names (all if empty), one after the other.
// Errors: ErrBroken.
func Run(ctx context.Context, o Options, names []string) ([]Result, error) {
	var out []Result
	failed := 0
	for _, s := range All() {
		if len(names) > 0 && !contains(names, s.Name) {
			continue
		}
		fmt.Fprintf(o.Out, "scenario %s, seed %d: %s\n", s.Name, o.Seed, s.Shows)
		r := RunScenario(ctx, s, o)
		out = append(out, r)
		report(o, r)
		if !r.OK() {
			failed++
		}
		if ctx.Err() != nil {
			break
		}
	}
	fmt.Fprintf(o.Out, "%d passed, %d failed\n", len(out)-failed, failed)
	if len(out) == 0 {
		return nil, errors.Wrap(ErrBroken, "no scenario has this name")
	}
	if failed > 0 {
		return out, ErrBroken
	}
	return out, nil
}

func report(o Options, r Result) {
	verdict := "passed"
	if !r.OK() {
		verdict = "FAILED"
	}
	fmt.Fprintf(o.Out, "%s %s, seed %d, %.1f s, callers saw %v, reasons %v\n", verdict, r.Scenario, r.Seed, r.Seconds, r.Requests, r.Reasons)
	if r.Error != "" {
		fmt.Fprintf(o.Out, "    %s\n", r.Error)
	}
	for _, f := range r.Figures {
		fmt.Fprintf(o.Out, "    %s\n", f)
	}
	for _, l := range load.Summarize(r.Faults) {
		fmt.Fprintf(o.Out, "    %s\n", l)
	}
}

func contains(names []string, n string) bool {
	for _, x := range names {
		if x == n {
			return true
		}
	}
	return false
}

// Find returns the scenario with a name.
func Find(name string) (Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}
