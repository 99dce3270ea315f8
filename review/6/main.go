//go:build review2

// The script of case 6: a task that lasts and restarted more than 1,000 times under one coordinator runs
// twice after a takeover.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/review/lab2"
	"boragepulley/standins/fleet"
	"boragepulley/standins/siteplatform"
)

const (
	minions = 6
	steady  = 19
	// loops is the run up to which the tasks of the bad job fail.
	loops = 1060
	bad   = "00000000000000bd"
)

type watch struct {
	mu      sync.Mutex
	running map[string]map[jobs.Minion]int // task -> minion -> run
	run     int
	on      jobs.Minion
	healed  bool
	twice   []string
}

func (w *watch) event(e fleet.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[e.Task]
	if r == nil {
		r = map[jobs.Minion]int{}
		w.running[e.Task] = r
	}
	switch e.Kind {
	case fleet.RunBegan:
		for id, run := range r {
			if id != e.Minion {
				w.twice = append(w.twice, fmt.Sprintf("%s: run %d begins on %s while run %d is in progress on %s", e.Task, e.Run, e.Minion, run, id))
			}
		}
		r[e.Minion] = e.Run
		if strings.HasPrefix(e.Task, bad) {
			w.run, w.on = e.Run, e.Minion
		}
	case fleet.RunEnded:
		delete(r, e.Minion)
	}
}

func (w *watch) work(task string, run int) (time.Duration, jobs.End) {
	if !strings.HasPrefix(task, bad) {
		return 0, jobs.EndDone
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healed = w.healed || run > loops
	if !w.healed {
		return 5 * time.Millisecond, jobs.EndFailed
	}
	return 0, jobs.EndDone
}

func (w *watch) state() (run int, on jobs.Minion, twice []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.run, w.on, append([]string(nil), w.twice...)
}

// need returns what a task or the task of a job needs, as on the sheets: about 6 cores, 17 to 52 GB.
func need(name string) jobs.Resources {
	if strings.HasPrefix(name, bad) {
		return jobs.Resources{CPU: 6000, MemoryMB: 50000}
	}
	return jobs.Resources{CPU: 6000, MemoryMB: 17000}
}

func machineOf(id jobs.Minion) string { return siteplatform.MachineOf(id) }

func main() {
	w := &watch{running: map[string]map[jobs.Minion]int{}}
	l, err := lab2.Start(lab2.Options{Record: os.Args[1], Entries: 3, Machines: lab2.Machines(minions), Config: lab2.Config("lasting"),
		Work: w.work, Need: need, OnEvent: w.event, StopTime: 400 * time.Millisecond})
	if err != nil {
		lab2.Fail("%v", err)
	}
	job := func(id string) map[string]any {
		r := need(id)
		return map[string]any{"spec": "payload", "steps": []map[string]any{{"count": 1, "cpu": r.CPU, "mem_mb": r.MemoryMB, "estimate_ms": 900, "long_running": true, "image": "img", "may_miss": 1}}}
	}
	for i := range steady {
		id := fmt.Sprintf("%016x", 0x1000+i)
		if !l.Submit("/lasting/"+id, job(id)) {
			lab2.Fail("job not accepted")
		}
	}
	if !l.Submit("/lasting/"+bad, job(bad)) {
		lab2.Fail("job not accepted")
	}
	began := time.Now()
	for run := 0; run <= loops; run, _, _ = w.state() {
		if time.Since(began) > 90*time.Second {
			l.Close("could not run: too few restarts")
			os.Exit(lab2.NotRun)
		}
		time.Sleep(50 * time.Millisecond)
	}
	run, on, _ := w.state()
	l.Note("the bad job recovers with run %d on %s after %.1f s", run, on, time.Since(began).Seconds())
	// Planned work, also without the trouble: three other machines have their upkeep, one after the other, so
	// their minions are new.
	var fresh []string
	for i := 0; len(fresh) < 3; i++ {
		if name := fmt.Sprintf("m%d", i); name != machineOf(on) {
			fresh = append(fresh, name)
		}
	}
	if err := l.Platform.AskWave(siteplatform.Wave{Wave: 1, Machines: fresh, DurationS: 30, Cap: 1}); err != nil {
		lab2.Fail("%v", err)
	}
	for end := time.Now().Add(30 * time.Second); l.Platform.Waves()[0] != "completed"; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			l.Close("could not run: the wave was not completed")
			os.Exit(lab2.NotRun)
		}
	}
	l.Note("the wave is completed")
	time.Sleep(2 * time.Second)
	if r, m, _ := w.state(); r != run || m != on {
		l.Close("could not run: the task was moved by the wave")
		os.Exit(lab2.NotRun)
	}
	c := l.Coordinator()
	if c == nil {
		l.Close("could not run: no coordinator")
		os.Exit(lab2.NotRun)
	}
	if l.Trouble {
		link := l.Proxy.Link(machineOf(on))
		l.Note("the link of minion %s is cut", on)
		if err := link.Blackhole(); err != nil {
			lab2.Fail("%v", err)
		}
		c.Kill(300 * time.Millisecond)
		time.Sleep(5300 * time.Millisecond)
		link.ResetOpen()
		if err := link.Heal(); err != nil {
			lab2.Fail("%v", err)
		}
		l.Note("the link of minion %s is healed", on)
	}
	time.Sleep(6 * time.Second)
	_, _, twice := w.state()
	if len(twice) > 0 {
		l.Close("BROKEN TWICE: " + strings.Join(twice, "; "))
		os.Exit(lab2.Broken)
	}
	l.Close("held")
}
