// Package proc starts, pauses and ends the processes of an experiment. It signals
// only processes that it started itself, by their process id.
package proc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Errors of this package.
var (
	// ErrNotReady means that a process ended or printed nothing before its ready line was due.
	ErrNotReady = errors.New("proc: process not ready")
	// ErrStillRunning means that a process did not end in time.
	ErrStillRunning = errors.New("proc: process still running")
)

// Spec says what to start.
type Spec struct {
	// Name names the process and its log file.
	Name string
	Path string
	Args []string
	// LogDir is where "<name>.log" is appended to.
	LogDir string
	// ReadyWithin bounds the wait for the first line on standard output; 0: do not wait.
	ReadyWithin time.Duration
	// Ready, if set, receives the ready line as JSON.
	Ready any
}

// Process is a process of the experiment.
type Process struct {
	spec Spec
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}

	mu   sync.Mutex
	err  error  // result of Wait, valid once done is closed
	end  string // how the process ended, valid once done is closed
	sent string // the last signal sent from here that ends a process
}

// Start starts a process and waits for its ready line if the spec asks for one.
// Errors: ErrNotReady, or the error of starting.
func Start(s Spec) (*Process, error) {
	if err := os.MkdirAll(s.LogDir, 0o755); err != nil {
		return nil, errors.Wrap(err, "proc: log folder")
	}
	log, err := os.OpenFile(filepath.Join(s.LogDir, s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "proc: log file")
	}
	cmd := exec.Command(s.Path, s.Args...)
	cmd.Stderr = log
	// The children end with the experiment, even if it is killed. They have process groups
	// of their own, so that signals of the terminal and of job control reach them only
	// from here: a group that is orphaned while one of its processes is paused is hung up.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "proc: standard output")
	}
	if err := startOnKeptThread(cmd); err != nil {
		return nil, errors.Wrapf(err, "proc: start %s", s.Name)
	}
	p := &Process{spec: s, cmd: cmd, log: log, done: make(chan struct{})}
	first := make(chan []byte, 1)
	go p.collect(stdout, first)
	if s.ReadyWithin == 0 {
		return p, nil
	}
	return p, p.awaitReady(first)
}

// starts holds commands to start on a thread that never ends: the kernel sends the
// parent-death signal when the thread that started the child ends, not the process, and
// the runtime may end a thread at any time.
var starts = sync.OnceValue(func() chan<- func() {
	ch := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range ch {
			f()
		}
	}()
	return ch
})

func startOnKeptThread(cmd *exec.Cmd) error {
	done := make(chan error, 1)
	starts() <- func() { done <- cmd.Start() }
	return <-done
}

func (p *Process) collect(stdout io.Reader, first chan<- []byte) {
	r := bufio.NewReader(stdout)
	if line, err := r.ReadBytes('\n'); err == nil {
		first <- line
		_, _ = p.log.Write(line)
	}
	_, _ = io.Copy(p.log, r)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.end = describeEnd(p.cmd.ProcessState, err, p.sent)
	p.writeEnd(p.end)
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// describeEnd says how a process ended, and whether a signal from here was meant to end it.
func describeEnd(state *os.ProcessState, err error, sent string) string {
	how := fmt.Sprint(err)
	if state != nil {
		how = state.String()
	}
	if sent == "" {
		return how + ", not ended from here"
	}
	return how + ", after " + sent + " from here"
}

// writeEnd adds the end of the process to its log.
func (p *Process) writeEnd(end string) {
	log := zerolog.New(p.log)
	log.Info().Str("part", "bench").Str("process", p.spec.Name).Int("pid", p.cmd.Process.Pid).
		Int64("time", time.Now().UnixMilli()).Msg("process ended: " + end)
}

// End says how the process ended; empty while it runs.
func (p *Process) End() string {
	if p.Running() {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.end
}

func (p *Process) awaitReady(first <-chan []byte) error {
	select {
	case line := <-first:
		if p.spec.Ready == nil {
			return nil
		}
		return errors.Wrapf(json.Unmarshal(line, p.spec.Ready), "proc: ready line of %s", p.spec.Name)
	case <-p.done:
		return errors.Wrapf(ErrNotReady, "%s ended: %s", p.spec.Name, p.End())
	case <-time.After(p.spec.ReadyWithin):
		p.Kill()
		return errors.Wrapf(ErrNotReady, "%s: no ready line", p.spec.Name)
	}
}

// Ended reports whether a signal from here was to end the process.
func (p *Process) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent != ""
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.spec.Name }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once (SIGKILL) and waits for its end.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL) // fails if it has ended
	<-p.done
}

// Pause stops the process (SIGSTOP) without ending it.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process (SIGCONT).
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// HangUp sends SIGHUP.
func (p *Process) HangUp() error { return p.signal(syscall.SIGHUP) }

// Terminate asks the process to stop gracefully (SIGTERM) and waits for its end.
// Errors: ErrStillRunning after the time, or the exit status if it is not 0.
func (p *Process) Terminate(within time.Duration) error {
	if err := p.SendTerminate(); err != nil {
		return err
	}
	return p.Await(within)
}

// Await waits for the end of the process. Errors are those of Terminate.
func (p *Process) Await(within time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrapf(p.err, "proc: %s", p.spec.Name)
	case <-time.After(within):
		return errors.Wrapf(ErrStillRunning, "%s after %v", p.spec.Name, within)
	}
}

// SendTerminate sends SIGTERM and does not wait.
func (p *Process) SendTerminate() error { return p.signal(syscall.SIGTERM) }

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("proc: %s has ended: %s", p.spec.Name, p.End())
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.mu.Lock()
		p.sent = s.String()
		p.mu.Unlock()
	}
	return errors.Wrapf(p.cmd.Process.Signal(s), "proc: signal %s", p.spec.Name)
}

// Usage is the processor time and memory of a process.
type Usage struct {
	// CPU is the processor time used since start.
	CPU time.Duration
	// ResidentBytes is the resident set size.
	ResidentBytes int64
}
