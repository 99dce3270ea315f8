package proc

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// orphanRole selects what this test program does when a test starts it as a child.
const orphanRole = "PROC_TEST_ORPHAN_ROLE"

func TestMain(m *testing.M) {
	switch os.Getenv(orphanRole) {
	case "command":
		runCommand()
	case "experiment":
		runExperiment()
	default:
		os.Exit(m.Run())
	}
}

// runCommand starts the experiment in its own process group and ends when its standard input does,
// as a shell command that has started tests in the background.
func runCommand() {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), orphanRole+"=experiment")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Start(); err != nil {
		fmt.Println("error:", err)
		os.Exit(1)
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
	os.Exit(0)
}

// runExperiment starts a process and pauses it. Once the command has ended it reports whether the
// process runs, or how it ended.
func runExperiment() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // this process is a member of the group
	p, err := Start(Spec{Name: "child", Path: "/bin/sleep", Args: []string{"60"}, LogDir: os.Getenv("PROC_TEST_DIR")})
	if err == nil {
		err = p.Pause()
	}
	if err != nil {
		fmt.Println("error:", err)
		os.Exit(1)
	}
	command := os.Getppid()
	fmt.Println("paused", p.PID())
	for os.Getppid() == command {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-p.done:
		fmt.Println("ended:", p.End())
	case <-time.After(300 * time.Millisecond):
		fmt.Println("runs")
		p.Kill()
	}
	os.Exit(0)
}

// Guards against a paused process that is hung up because the command that started the experiment
// ends: the kernel sends SIGHUP to a process group that becomes orphaned while a member is stopped.
func TestPausedProcessOutlivesTheCommand(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), orphanRole+"=command", "PROC_TEST_DIR="+t.TempDir())
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	outRead, outWrite, err := os.Pipe()
	require.NoError(t, err)
	defer outRead.Close()
	cmd.Stdout, cmd.Stderr = outWrite, outWrite
	require.NoError(t, cmd.Start())
	require.NoError(t, outWrite.Close())
	require.NoError(t, outRead.SetReadDeadline(time.Now().Add(time.Minute)))
	lines := bufio.NewReader(outRead)
	line, err := lines.ReadString('\n')
	require.NoError(t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "paused ")))
	require.NoError(t, err, line)
	require.Eventually(t, func() bool { return stopped(pid) }, time.Minute, time.Millisecond)

	require.NoError(t, in.Close())
	_ = cmd.Wait()
	line, err = lines.ReadString('\n')
	require.NoError(t, err, "the experiment was ended as well")
	require.Equal(t, "runs\n", line)
}

// stopped reports whether a process is stopped by a signal.
func stopped(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	i := strings.LastIndexByte(string(stat), ')')
	return err == nil && i >= 0 && strings.HasPrefix(string(stat[i+1:]), " T")
}
