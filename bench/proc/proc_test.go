package proc

import (
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against processes of an experiment that outlive it or are reported as ready
// when they are not.
func TestLifecycle(t *testing.T) {
	var ready struct{ Addr string }
	p, err := Start(Spec{Name: "echo", Path: "/bin/sh", Args: []string{"-c", `echo '{"Addr":"x"}'; exec sleep 60`},
		LogDir: t.TempDir(), ReadyWithin: 10 * time.Second, Ready: &ready})
	require.NoError(t, err)
	require.Equal(t, "x", ready.Addr)
	// The resident set is empty for a moment while the shell is replaced by the program.
	require.Eventually(t, func() bool {
		u, err := p.Usage()
		return err == nil && u.ResidentBytes > 0
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, p.Pause())
	require.NoError(t, p.Resume())
	p.Kill()
	require.False(t, p.Running())
	require.Error(t, p.Pause())
}

// Guards against children that are killed because the thread that started them ended.
func TestSurvivesItsThread(t *testing.T) {
	started := make(chan *Process, 1)
	go func() {
		// The thread ends with this goroutine, because it stays locked to it.
		runtime.LockOSThread()
		p, err := Start(Spec{Name: "sleep", Path: "/bin/sleep", Args: []string{"60"}, LogDir: t.TempDir()})
		if err != nil {
			t.Error(err)
		}
		started <- p
	}()
	p := <-started
	require.NotNil(t, p)
	require.Never(t, func() bool { return !p.Running() }, 300*time.Millisecond, 10*time.Millisecond)
	p.Kill()
}

// Guards against waiting for a process that ended before it was ready.
func TestEndedBeforeReady(t *testing.T) {
	dir := t.TempDir()
	_, err := Start(Spec{Name: "false", Path: "/bin/false", LogDir: dir, ReadyWithin: 10 * time.Second})
	require.ErrorIs(t, err, ErrNotReady)
	_, err = os.Stat(dir + "/false.log")
	require.NoError(t, err)
}
