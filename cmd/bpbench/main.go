// Command bpbench runs experiments with the whole system as real processes on loopback.
//
// Exit codes: 0 if every promise held, 1 if one was broken or a step failed, 2 for a
// wrong command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"boragepulley/bench/demo"
	"boragepulley/bench/measure"
	"boragepulley/bench/poolmodel"
	"boragepulley/bench/prove"
	"boragepulley/bench/prove/mutants"
	"boragepulley/bench/sitefaults"
	"boragepulley/bench/up"
)

type cli struct {
	Bin  string `default:"bin" type:"existingdir" help:"Folder of the programs."`
	Dir  string `help:"Folder for logs and settings; default: a new temporary folder."`
	Seed uint64 `default:"1" help:"Seed of everything random in the load and the faults."`

	Demo  demoCmd  `cmd:"" help:"Run the whole path once and compare the report with the callers."`
	Up    upCmd    `cmd:"" help:"Run a small site until interrupted, for trying things by hand."`
	Prove proveCmd `cmd:"" help:"Show the invariants under injected faults."`
	Pools poolsCmd `cmd:"" help:"Compare policies for moves between pools in a model of both sites."`

	SiteFaults siteFaultsCmd `cmd:"" help:"Run the site path against a stand-in of the users' platform under faults."`

	Measure measureCmd `cmd:"" help:"Measure the system and its packages."`
	Mutants mutantsCmd `cmd:"" help:"Show that the scenarios notice a daemon with a broken rule."`
}

type measureCmd struct {
	Only    []string `help:"Run only these experiments."`
	Results string   `default:"run/measurements.jsonl" help:"File to which one JSON line per figure is appended; empty: none."`
}

func (m measureCmd) Run(ctx context.Context, c *cli) error {
	if dir := filepath.Dir(m.Results); m.Results != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
	}
	return measure.Run(ctx, measure.Options{Bin: c.Bin, Dir: c.Dir, Seed: c.Seed, Results: m.Results, Only: m.Only, Out: os.Stdout})
}

type mutantsCmd struct {
	Module   string   `default:"." type:"existingdir" help:"Root of the module."`
	Mutant   []string `help:"Run only these mutants."`
	Parallel int      `default:"2" help:"Mutants at the same time."`
}

func (m mutantsCmd) Run(ctx context.Context, c *cli) error {
	_, err := mutants.Run(ctx, mutants.Options{Module: m.Module, Bin: c.Bin, Dir: c.Dir, Only: m.Mutant, Parallel: m.Parallel, Out: os.Stdout})
	return err
}

type upCmd struct {
	Load bool `help:"Put a light load on the site."`
}

func (u upCmd) Run(ctx context.Context, c *cli) error {
	return up.Run(ctx, up.Options{Bin: c.Bin, Dir: c.Dir, Seed: c.Seed, Load: u.Load}, os.Stdout)
}

type proveCmd struct {
	Duration time.Duration `default:"60s" help:"Duration of the long scenarios."`
	Scenario []string      `help:"Run only these scenarios."`
	Runs     int           `default:"1" help:"Runs, with consecutive seeds."`
}

func (p proveCmd) Run(ctx context.Context, c *cli) error {
	for i := range p.Runs {
		o := prove.Options{Bin: c.Bin, Dir: c.Dir, Seed: c.Seed + uint64(i), Duration: p.Duration, Out: os.Stdout}
		if _, err := prove.Run(ctx, o, p.Scenario); err != nil {
			return err
		}
	}
	return nil
}

type siteFaultsCmd struct {
	Duration time.Duration `default:"60s" help:"Duration of the traffic and the faults."`
	Runs     int           `default:"1" help:"Runs, with consecutive seeds."`
	NoFaults bool          `help:"Inject no faults."`
	Only     string        `help:"Inject only these kinds of faults, or those of groups: single, series, network, clocks, overlap."`
	Overload bool          `help:"Ask each service in turn for more than its machines can run."`
	Failed   bool          `help:"Play the seeds that once broke a rule, with their options, in place of --seed and --runs."`
}

// maxPrinted bounds the broken rules that are printed of a run.
const maxPrinted = 10

func (s siteFaultsCmd) Run(ctx context.Context, c *cli) error {
	broken := 0
	var all []sitefaults.Options
	for i := range s.Runs {
		all = append(all, sitefaults.Options{Seed: c.Seed + uint64(i), NoFaults: s.NoFaults, Overload: s.Overload, Only: s.Only})
	}
	if s.Failed {
		all = nil
		for _, x := range sitefaults.Regressions {
			all = append(all, sitefaults.Options{Seed: x.Seed, Overload: x.Overload, Only: x.Only})
		}
	}
	for _, o := range all {
		o.Bin, o.Dir, o.Duration = c.Bin, filepath.Join(c.Dir, fmt.Sprint("seed-", o.Seed)), s.Duration
		r, err := sitefaults.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Println(r)
		for i, f := range r.Faults {
			if i == maxPrinted {
				fmt.Printf("    and %d more\n", len(r.Faults)-i)
				break
			}
			fmt.Println("   ", f)
		}
		if !r.OK() {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d runs broke a rule", broken, len(all))
	}
	return nil
}

type poolsCmd struct {
	Site   string `default:"both" enum:"alexandria,aarhus,both" help:"Site: alexandria, aarhus or both."`
	Tuning bool   `help:"Run the profile that the policy's constants are tried on in place of the reported ones."`
}

func (p poolsCmd) Run(c *cli) error {
	names, profiles := []string{p.Site}, poolmodel.Profiles
	if p.Site == "both" {
		names = []string{"alexandria", "aarhus"}
	}
	if p.Tuning {
		profiles = []poolmodel.Profile{poolmodel.Tuning}
	}
	return poolmodel.Compare(os.Stdout, names, profiles, c.Seed)
}

type demoCmd struct{}

func (demoCmd) Run(ctx context.Context, c *cli) error {
	return demo.Run(ctx, demo.Options{Bin: c.Bin, Dir: c.Dir, Seed: c.Seed}, os.Stdout)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("bpbench"), kong.Description("Load and experiment tool of boragepulley."))
	os.Exit(run(k, &c))
}

func run(k *kong.Context, c *cli) int {
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "bpbench-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		c.Dir = dir
	}
	fmt.Printf("seed %d, logs in %s\n", c.Seed, c.Dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
