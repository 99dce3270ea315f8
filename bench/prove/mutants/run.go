package mutants

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/bench/prove"
)

// Errors of this package.
var (
	// ErrNotNoticed means that a scenario passed, or failed for another reason, with a
	// mutant that it must notice.
	ErrNotNoticed = errors.New("mutants: not noticed")
	// ErrEdit means that an edit's text does not occur exactly once in its file.
	ErrEdit = errors.New("mutants: edit does not apply")
)

// Options of a run.
type Options struct {
	// Module is the root of the module.
	Module string
	// Bin has the unchanged programs, of which the stand-ins are used.
	Bin string
	// Dir receives the copies of the module, logs and settings.
	Dir string
	// Only are the names of the mutants to run; empty selects all.
	Only []string
	// Parallel scenarios, at least 1.
	Parallel int
	Out      io.Writer
}

// Result of one mutant.
type Result struct {
	Mutant Mutant
	// Noticed is set if the scenario found a fault of the expected kind.
	Noticed bool
	// Faults counts all faults by kind.
	Faults map[load.FaultKind]int
	// Err is set if the mutant could not be built or the scenario ended early.
	Err error
}

// Run runs the mutants and reports each. Errors: ErrNotNoticed.
func Run(ctx context.Context, o Options) ([]Result, error) {
	list := chosen(o.Only)
	if len(list) == 0 {
		return nil, errors.New("mutants: no mutant has this name")
	}
	out := make([]Result, len(list))
	slots := make(chan struct{}, max(o.Parallel, 1))
	var wg sync.WaitGroup
	var mu sync.Mutex // guards o.Out
	for i, m := range list {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = runOne(ctx, o, i, m)
			mu.Lock()
			defer mu.Unlock()
			report(o.Out, out[i])
		})
	}
	wg.Wait()
	missed := 0
	for _, r := range out {
		if !r.Noticed {
			missed++
		}
	}
	fmt.Fprintf(o.Out, "%d noticed, %d not noticed\n", len(out)-missed, missed)
	if missed > 0 {
		return out, ErrNotNoticed
	}
	return out, nil
}

func chosen(only []string) []Mutant {
	if len(only) == 0 {
		return All()
	}
	var out []Mutant
	for _, m := range All() {
		for _, n := range only {
			if m.Name == n {
				out = append(out, m)
			}
		}
	}
	return out
}

func report(w io.Writer, r Result) {
	verdict := "noticed"
	if !r.Noticed {
		verdict = "NOT NOTICED"
	}
	fmt.Fprintf(w, "%s: %q by %s, seed %d; expected %q, found %v", verdict, r.Mutant.Name, r.Mutant.Scenario, r.Mutant.Seed, r.Mutant.Expect, r.Faults)
	if r.Err != nil {
		fmt.Fprintf(w, "; %v", r.Err)
	}
	fmt.Fprintln(w)
}

func runOne(ctx context.Context, o Options, index int, m Mutant) Result {
	r := Result{Mutant: m, Faults: make(map[load.FaultKind]int)}
	dir := filepath.Join(o.Dir, fmt.Sprintf("mutant-%d", index+1))
	bin, err := build(ctx, o, dir, m)
	if err != nil {
		r.Err = err
		return r
	}
	s, ok := prove.Find(m.Scenario)
	if !ok {
		r.Err = errors.Errorf("mutants: no scenario %s", m.Scenario)
		return r
	}
	got := prove.RunScenario(ctx, s, prove.Options{Bin: bin, Dir: dir, Seed: m.Seed, Out: io.Discard})
	for _, f := range got.Faults {
		r.Faults[f.Kind]++
	}
	if got.Error != "" {
		r.Err = errors.New(got.Error)
	}
	r.Noticed = r.Faults[m.Expect] > 0
	return r
}

// build copies the module, applies the edits and builds the daemon. It returns a folder
// with that daemon and the unchanged stand-ins. Errors: ErrEdit, or a failed build.
func build(ctx context.Context, o Options, dir string, m Mutant) (bin string, err error) {
	src := filepath.Join(dir, "module")
	if err := copyModule(o.Module, src); err != nil {
		return "", err
	}
	for _, e := range m.Edits {
		if err := e.apply(src); err != nil {
			return "", err
		}
	}
	bin = filepath.Join(dir, "bin")
	if err := os.MkdirAll(bin, 0o755); err != nil {
		return "", errors.Wrap(err, "mutants: folder")
	}
	standin, err := filepath.Abs(filepath.Join(o.Bin, "standin"))
	if err != nil {
		return "", errors.Wrap(err, "mutants: stand-ins")
	}
	if err := os.Symlink(standin, filepath.Join(bin, "standin")); err != nil {
		return "", errors.Wrap(err, "mutants: stand-ins")
	}
	out, err := filepath.Abs(filepath.Join(bin, "boragepulleyd"))
	if err != nil {
		return "", errors.Wrap(err, "mutants: folder")
	}
	// Without paths in the objects, unchanged packages come from the build cache.
	cmd := exec.CommandContext(ctx, "go", "build", "-trimpath", "-o", out, "./cmd/boragepulleyd")
	cmd.Dir = src
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "mutants: build: %s", text)
	}
	return bin, nil
}

// apply replaces the text in the copy of the module. Error: ErrEdit.
func (e Edit) apply(module string) error {
	path := filepath.Join(module, e.File)
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "mutants: read")
	}
	if n := strings.Count(string(data), e.Old); n != 1 {
		return errors.Wrapf(ErrEdit, "%s has %d times: %s", e.File, n, e.Old)
	}
	return errors.Wrap(os.WriteFile(path, []byte(strings.Replace(string(data), e.Old, e.New, 1)), 0o644), "mutants: write")
}

// copyModule copies what a build of the daemon needs: the root's files, cmd and internal.
func copyModule(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			top, _, _ := strings.Cut(rel, string(filepath.Separator))
			if top == "." || top == "cmd" || top == "internal" {
				return os.MkdirAll(filepath.Join(to, rel), 0o755)
			}
			return filepath.SkipDir
		}
		if !d.Type().IsRegular() || strings.HasSuffix(rel, "_test.go") || rel == ".git" {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), data, 0o644)
	})
}
