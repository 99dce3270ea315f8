package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an entry VM that is ended by SIGHUP or SIGTERM while it reads its settings.
func TestSignalsWhileStarting(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		fifo := filepath.Join(t.TempDir(), "settings.toml")
		require.NoError(t, syscall.Mkfifo(fifo, 0o600))
		cmd := exec.Command(filepath.Join(bin, "boragepulleyd"), "--site", fifo)
		require.NoError(t, cmd.Start())
		settings, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns once the daemon has opened it
		require.NoError(t, err)
		require.NoError(t, cmd.Process.Signal(s))
		_, err = settings.WriteString("no settings")
		require.NoError(t, err)
		require.NoError(t, settings.Close())
		_ = cmd.Wait() // the exit code tells
		require.Equal(t, 2, cmd.ProcessState.ExitCode(), "%v: %v", s, cmd.ProcessState)
	}
}
