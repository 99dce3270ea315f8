package integration

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/bench/cluster"
)

// Guards against an entry VM that is ended by SIGHUP or SIGTERM while it reads its settings.
func TestSignalsWhileStarting(t *testing.T) {
	for _, mode := range [][]string{{"--site"}, nil} {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			fifo := filepath.Join(t.TempDir(), "settings.toml")
			require.NoError(t, syscall.Mkfifo(fifo, 0o600))
			cmd := exec.Command(filepath.Join(bin, "boragepulleyd"), append(mode, fifo)...)
			require.NoError(t, cmd.Start())
			settings, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns once the daemon has opened it
			require.NoError(t, err)
			require.NoError(t, cmd.Process.Signal(s))
			_, err = settings.WriteString("no settings")
			require.NoError(t, err)
			require.NoError(t, settings.Close())
			_ = cmd.Wait() // the exit code tells
			require.Equal(t, 2, cmd.ProcessState.ExitCode(), "%v %v: %v", mode, s, cmd.ProcessState)
		}
	}
}

// Guards against an entry VM that SIGHUP ends, without a log line: it arrives when the terminal
// that started the daemon closes, or from a supervisor that expects a reload.
func TestHangUpIsLogged(t *testing.T) {
	const wait = time.Minute
	ports := cluster.NewPorts()
	defer ports.Close()
	var addr [4]string // callers, operators, peers, and a platform that refuses connections
	for i := range addr {
		var err error
		addr[i], err = ports.Next()
		require.NoError(t, err)
	}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `name = "e1"
data_centre = "dc-1"
caller_listen = %q
operator_listen = %q
peer_listen = %q
platform_url = "http://%s"
operator_token = "0123456789abcdef"
[[peer]]
name = "e1"
data_centre = "dc-1"
address = %q
`, addr[0], addr[1], addr[2], addr[3], addr[2]), 0o600))
	out, err := os.CreateTemp(t.TempDir(), "log")
	require.NoError(t, err)
	defer out.Close()
	cmd := exec.Command(filepath.Join(bin, "boragepulleyd"), settings)
	cmd.Stderr = out
	ready, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	ended := make(chan struct{})
	defer func() {
		_ = cmd.Process.Kill()
		<-ended
	}()
	lines := bufio.NewReader(ready)
	line, err := lines.ReadString('\n')
	go func() {
		defer close(ended)
		_ = cmd.Wait() // the test looks at its state
	}()
	require.NoError(t, err)
	require.Contains(t, line, "ready")

	logged := func() int {
		text, err := os.ReadFile(out.Name())
		require.NoError(t, err)
		return strings.Count(string(text), "SIGHUP; settings are read at start only")
	}
	for i := range 2 {
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		deadline := time.After(wait)
		for logged() <= i {
			select {
			case <-ended:
				require.Fail(t, "the daemon ended", "%v", cmd.ProcessState)
			case <-deadline:
				require.Fail(t, "no log line")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}
