package integration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/bench/sitefaults"
)

// Guards against rules of the users' platform that entry VMs break as real processes: while dials
// to minions time out, connections are reset and entry VMs stand still, no task runs twice and no
// long-running task stays without a run; while the store turns one of them away, the configuration
// changes and two are restarted, no request is cut off and no withdrawn key is accepted; while links lose
// one direction and entry VMs are cut off from each other, minions crash and leave, a coordinator is
// paused beyond its lease, signals arrive in series and malformed messages on every port, no process ends
// by itself and each accepted job answers until its retention ends.
func TestSiteFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("needs seconds")
	}
	for _, x := range []struct {
		seed  uint64
		kinds string
	}{{2, sitefaults.SingleFaults}, {1, sitefaults.SeriesFaults}, {5001, sitefaults.NetworkFaults}, {5001, sitefaults.ClockFaults + "," + sitefaults.OverlapFaults}} {
		t.Run(x.kinds, func(t *testing.T) { runSiteFaults(t, x.seed, x.kinds) })
	}
}

func runSiteFaults(t *testing.T, seed uint64, kinds string) {
	const duration = 8 * time.Second
	dir, err := os.MkdirTemp("", "integration-sitefaults-")
	require.NoError(t, err)
	r, err := sitefaults.Run(t.Context(), sitefaults.Options{Bin: bin, Dir: dir, Seed: seed, Duration: duration, Only: kinds})
	require.NoError(t, err)
	t.Log(r)
	if r.OK() {
		_ = os.RemoveAll(dir)
		return
	}
	t.Errorf("%v; logs in %s, events in %s\n%s", r, dir, filepath.Join(dir, "story.log"), strings.Join(r.Faults, "\n"))
}
