// Package integration runs a fixed list of scenarios with real processes and fixed
// seeds. It is left out with -short.
package integration

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/bench/load"
	"boragepulley/bench/prove"
)

const (
	// parallel is the number of scenarios at the same time.
	parallel = 3
	// stormTime is the duration of the storm here.
	stormTime = 20 * time.Second
)

// scenarios are run with these seeds, the longest first.
var scenarios = []struct {
	name string
	seed uint64
}{
	{"minion-all-bad", 1},
	{"wave-faults", 1},
	{"wave", 1},
	{"storm", 2},
	{"limits-faults", 1},
	{"limits-move", 1},
	{"slots-takeover", 1},
	{"minion-faults", 1},
	{"cut-both", 1},
	{"store-down", 1},
	{"config-restart", 1},
	{"config-restart", 4711}, // a process without a row, whose holder ended with it
	{"once-faults", 1},
	{"records-copied", 1},
	{"data-centre-killed-store-down", 1},
	{"data-centre-killed", 1},
	{"rolling-restart", 1},
	{"coordinator-paused", 1},
	{"drain-cut", 1},
	{"key-paused", 1},
	{"key-isolated", 1},
	{"once-killed", 1},
	{"config-cut", 1},
	{"key-withdrawn", 1},
	{"coordinator-killed", 1},
	{"silent-connections", 1},
	{"caller-bodies", 1},
	{"minion-ejected", 1},
	{"answers-lost", 1},
	{"caller-waves", 1},
	{"config-burst", 1},
	{"config-race", 1},
	{"config-answers-lost", 1},
}

// bin is the folder of the programs under test.
var bin string

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "integration-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/...")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}

// Guards every invariant against real processes under faults; each scenario says which
// ones. Its log folder is kept if it fails.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("needs minutes")
	}
	slots := make(chan struct{}, parallel)
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s, ok := prove.Find(c.name)
			require.True(t, ok, "no such scenario")
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			run(t, s, c.seed)
		})
	}
}

func run(t *testing.T, s prove.Scenario, seed uint64) {
	dir, err := os.MkdirTemp("", "integration-"+s.Name+"-")
	require.NoError(t, err)
	var story syncBuffer
	r := prove.RunScenario(t.Context(), s, prove.Options{Bin: bin, Dir: dir, Seed: seed, Duration: stormTime, Out: &story})
	if r.OK() {
		_ = os.RemoveAll(dir)
		return
	}
	t.Errorf("scenario %s, seed %d, logs in %s\n%s%s\n%s", s.Name, seed, dir, story.String(), r.Error, strings.Join(load.Summarize(r.Faults), "\n"))
}

// syncBuffer is a buffer that several goroutines of a scenario write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}
