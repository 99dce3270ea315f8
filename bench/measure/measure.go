package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// ErrNoExperiment means that no experiment has one of the given names.
var ErrNoExperiment = errors.New("measure: no such experiment")

// Options of a run.
type Options struct {
	// Bin is the folder of the programs, Dir receives logs and settings.
	Bin, Dir string
	Seed     uint64
	// Results is the file to which figures are appended; empty: none.
	Results string
	// Only names the experiments to run; empty: all.
	Only []string
	Out  io.Writer
}

// Experiment is one measurement.
type Experiment struct {
	Name string
	// Shows says what is measured, for people.
	Shows string
	Run   func(ctx context.Context, e *Env) error
}

// All returns every experiment in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"path", "throughput and latency of one entry daemon against a direct call to the same minion", path},
		{"control-cost", "processor time, memory and messages of a daemon by size of the fleet", controlCost},
		{"config-spread", "time from the acceptance of a configuration until it is in force everywhere", configSpread},
		{"shares", "closeness to shares, and capacity that limits leave unused", shares},
		{"takeover", "time until the next grant after the loss of a coordinator", takeover},
		{"claims", "store writes and latency of non-idempotent requests with ids", claims},
		{"account", "objects and bytes per job, time of a report", accountCost},
		{"pure", "processor time of the pure packages by size", pure},
	}
}

// Params identify a figure within its experiment.
type Params map[string]any

// Figure is one line of the results file.
type Figure struct {
	Experiment string    `json:"experiment"`
	Name       string    `json:"name"`
	Params     Params    `json:"params,omitempty"`
	Value      float64   `json:"value"`
	Unit       string    `json:"unit"`
	Command    string    `json:"command"`
	Seed       uint64    `json:"seed"`
	Time       time.Time `json:"time"`
	Cores      int       `json:"cores"`
	// MemoryMB is the machine's memory, Load1 its load average over the last minute.
	MemoryMB int64   `json:"memory_mb"`
	Load1    float64 `json:"load1"`
}

// Env is what an experiment works with.
type Env struct {
	Options
	name    string
	results io.Writer
}

// Run runs the experiments one after the other. Errors: ErrNoExperiment, or those of the
// experiments that failed.
func Run(ctx context.Context, o Options) error {
	chosen, err := choose(o.Only)
	if err != nil {
		return err
	}
	e := &Env{Options: o, results: io.Discard}
	if o.Results != "" {
		f, err := os.OpenFile(o.Results, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "measure: results")
		}
		defer f.Close()
		e.results = f
	}
	var failed []string
	for _, x := range chosen {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		e.name = x.Name
		start := time.Now()
		fmt.Fprintf(o.Out, "\n%s: %s\n%s, seed %d, %d cores, %d MB, load %.1f\n", x.Name, x.Shows,
			start.UTC().Format(time.RFC3339), o.Seed, runtime.NumCPU(), memoryMB(), load1())
		if err := x.Run(ctx, e); err != nil {
			fmt.Fprintf(o.Out, "%s FAILED: %v\n", x.Name, err)
			failed = append(failed, x.Name)
		}
		fmt.Fprintf(o.Out, "%s took %.0f s\n", x.Name, time.Since(start).Seconds())
	}
	if len(failed) > 0 {
		return errors.Errorf("measure: failed: %s", strings.Join(failed, ", "))
	}
	return nil
}

func choose(names []string) ([]Experiment, error) {
	all := All()
	if len(names) == 0 {
		return all, nil
	}
	var out []Experiment
	for _, n := range names {
		i := slices.IndexFunc(all, func(x Experiment) bool { return x.Name == n })
		if i < 0 {
			return nil, errors.Wrap(ErrNoExperiment, n)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// Record appends a figure to the results file.
func (e *Env) Record(name string, p Params, value float64, unit string) {
	f := Figure{
		Experiment: e.name, Name: name, Params: p, Value: value, Unit: unit,
		Command: fmt.Sprintf("bpbench --seed %d measure --only %s", e.Seed, e.name), Seed: e.Seed,
		Time: time.Now().UTC().Truncate(time.Second), Cores: runtime.NumCPU(), MemoryMB: memoryMB(), Load1: load1(),
	}
	line, err := json.Marshal(f)
	if err != nil {
		fmt.Fprintf(e.Out, "figure %s %v not recorded: %v\n", name, p, err)
		return
	}
	if _, err := e.results.Write(append(line, '\n')); err != nil {
		fmt.Fprintf(e.Out, "figure %s %v not recorded: %v\n", name, p, err)
	}
}

// table prints rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func (e *Env) table(columns ...string) *table {
	t := &table{tabwriter.NewWriter(e.Out, 2, 4, 2, ' ', tabwriter.AlignRight)}
	t.row(columns...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")+"\t") }

func (t *table) flush() { _ = t.w.Flush() }

// num formats a figure with three significant digits.
func num(v float64) string {
	if v >= 100 || v <= -100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func memoryMB() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var kb int64
		if _, err := fmt.Sscanf(s.Text(), "MemTotal: %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

func load1() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	v, _, _ := strings.Cut(string(data), " ")
	f, _ := strconv.ParseFloat(v, 64)
	return f
}
