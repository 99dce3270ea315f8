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

// Guards against a process whose end leaves no trace: every end is in the log of the process and
// in the error of the next call, with the exit code or the signal and who sent it.
func TestEndIsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		script string
		end    func(p *Process)
		want   string
	}{
		"exit code":           {"exit 3", nil, "exit status 3, not ended from here"},
		"regular end":         {"exit 0", nil, "exit status 0, not ended from here"},
		"signal of another":   {"kill -KILL $$", nil, "signal: killed, not ended from here"},
		"hung up":             {"kill -HUP $$", nil, "signal: hangup, not ended from here"},
		"killed while paused": {"echo up; exec sleep 60", func(p *Process) { _ = p.Pause(); p.Kill() }, "signal: killed, after killed from here"},
		"terminated":          {"echo up; exec sleep 60", func(p *Process) { _ = p.Terminate(10 * time.Second) }, "signal: terminated, after terminated from here"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			p, err := Start(Spec{Name: "child", Path: "/bin/sh", Args: []string{"-c", tc.script}, LogDir: dir})
			require.NoError(t, err)
			if tc.end != nil {
				tc.end(p)
			}
			require.Eventually(t, func() bool { return !p.Running() }, time.Minute, time.Millisecond)
			require.Equal(t, tc.want, p.End())
			log, err := os.ReadFile(dir + "/child.log")
			require.NoError(t, err)
			require.Contains(t, string(log), "process ended: "+tc.want)
			require.ErrorContains(t, p.Resume(), tc.want)
		})
	}
}
