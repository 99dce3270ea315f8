package proc

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// clockTicks is the kernel's USER_HZ, the unit of processor times in /proc.
const clockTicks = 100

// AtWork reports whether one of the process's threads runs or waits for a processor.
func (p *Process) AtWork() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false
	}
	for _, name := range threads {
		stat, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		if i := strings.LastIndexByte(string(stat), ')'); i >= 0 && strings.HasPrefix(string(stat[i+1:]), " R") {
			return true
		}
	}
	return false
}

// QueueWait returns for how long each thread of the process has waited for a processor since its
// start, by thread id.
func (p *Process) QueueWait() map[string]time.Duration {
	out := map[string]time.Duration{}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.PID()))
	if err != nil {
		return out
	}
	for _, name := range threads {
		stat, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		const waited = 1 // the fields are the times on a processor and waiting, in nanoseconds, and a count
		if fields := strings.Fields(string(stat)); len(fields) > waited {
			if ns, err := strconv.ParseInt(fields[waited], 10, 64); err == nil {
				out[name] = time.Duration(ns)
			}
		}
	}
	return out
}

// Usage reads the processor time and memory of a running process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, errors.Wrap(err, "proc: usage")
	}
	// The command name, in parentheses, may hold spaces; the fields follow it.
	text := string(stat)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return Usage{}, errors.Errorf("proc: short stat line of %s", p.Name())
	}
	var ticks, pages int64
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "proc: processor time")
		}
		ticks += n
	}
	if pages, err = strconv.ParseInt(fields[residentPages], 10, 64); err != nil {
		return Usage{}, errors.Wrap(err, "proc: resident pages")
	}
	return Usage{
		CPU:           time.Duration(ticks) * time.Second / clockTicks,
		ResidentBytes: pages * int64(os.Getpagesize()),
	}, nil
}
