package sitefaults

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/bench/proc"
)

// Guards against a shutdown by the default action of SIGTERM that passes as a graceful one, and
// against other ends that pass as that one.
func TestTellsWhichSignalEndedAProcess(t *testing.T) {
	path, err := exec.LookPath("sleep")
	require.NoError(t, err)
	p, err := proc.Start(proc.Spec{Name: "sleep", Path: path, Args: []string{"60"}, LogDir: t.TempDir()})
	require.NoError(t, err)
	err = p.Terminate(time.Minute)
	require.True(t, endedBy(err, syscall.SIGTERM), err)
	require.False(t, endedBy(err, syscall.SIGKILL))
	require.False(t, endedBy(errors.New("still running"), syscall.SIGTERM))
	require.False(t, endedBy(nil, syscall.SIGTERM))
}
