//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the site, from SYSTEM.md.
const (
	finishS   = 14 * time.Second
	visibleMS = 3 * time.Second
	contactMS = 3 * time.Second
)

// open starts a deployment of three entry VMs and some minions of 16 cores.
func open(recordFile string, minionCount int, capCPU int64) (*stage, error) {
	s, err := newStage(recordFile, siteConfig(capCPU))
	if err != nil {
		return nil, err
	}
	for i := range minionCount {
		zone := fmt.Sprintf("zone-%d", i%3+1)
		if err := s.minions.add(fmt.Sprintf("i-%d", i+1), service, zone, zone+"-r1", need{16000, 32768}); err != nil {
			s.close()
			return nil, err
		}
	}
	go s.minions.run()
	if err := s.addEntries(3); err != nil {
		s.close()
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		s.close()
		return nil, err
	}
	if j := plain(0); !s.submit(j) || !s.completes(j.ID, 15*time.Second) {
		s.close()
		return nil, errors.New("the first job was not run")
	}
	s.rec.say("the deployment runs jobs")
	return s, nil
}

// plain is a short job of two tasks.
func plain(n int) job {
	return job{ID: jobID(n), Spec: "run 300 ms", Steps: []step{{Count: 2, CPU: 1000, MemMB: 256, Estimate: 300}}}
}

func (s *stage) completes(id string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if s.state(id) == "completed" {
			return true
		}
	}
	return false
}

// owed are plain jobs that were accepted.
type owed struct {
	id       string
	accepted time.Time
}

// submitPlain hands plain jobs in, one each pause.
func (s *stage) submitPlain(from, n int, pause time.Duration) (out []owed) {
	for i := range n {
		j := plain(from + i)
		if s.submit(j) {
			out = append(out, owed{j.ID, time.Now()})
		}
		time.Sleep(pause)
	}
	return out
}

// lostSpan is how long a job may have nothing running while it could run, by the rule LOST.
const lostSpan = 3 * time.Second

// stuckJobs looks at the jobs for a little longer than lostSpan and returns those that had nothing running all
// the while, though a task's turn had come, there was capacity for the job twice over and under half of the
// service's capacity was in use. All tasks of these jobs may start at once, and their tenant has no cap.
func (s *stage) stuckJobs(jobs []owed) map[string]bool {
	stuck := map[string]bool{}
	for _, j := range jobs {
		stuck[j.id] = true
	}
	var capacity need
	for _, m := range s.minions.list {
		capacity.cpu, capacity.mem = capacity.cpu+m.capacity.cpu, capacity.mem+m.capacity.mem
	}
	most := need{}
	for end := time.Now().Add(lostSpan + 200*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		active, used := s.minions.activeJobs()
		most.cpu, most.mem = max(most.cpu, used.cpu), max(most.mem, used.mem)
		for _, j := range jobs {
			var whole need
			tasks := 0
			for _, x := range plain(0).Steps {
				whole.cpu, whole.mem = whole.cpu+int64(x.Count)*x.CPU, whole.mem+int64(x.Count)*x.MemMB
				tasks += x.Count
			}
			room := used.cpu+2*whole.cpu <= capacity.cpu && used.mem+2*whole.mem <= capacity.mem
			half := 2*used.cpu < capacity.cpu && 2*used.mem < capacity.mem
			if active[j.id] || s.minions.doneOf(j.id) >= tasks || !room || !half {
				delete(stuck, j.id)
			}
		}
	}
	s.rec.say("for %.1f s the minions used at most %d of %d thousandths of a core; %d of %d jobs had nothing running and could run all the while", lostSpan.Seconds(), most.cpu, capacity.cpu, len(stuck), len(jobs))
	return stuck
}

// judgeLost applies the rule LOST to plain jobs, once finish_s has passed after the end of the traffic: one isn't
// known or gets no answer in time, or one is stuck.
func (s *stage) judgeLost(jobs []owed) error {
	stuck := s.stuckJobs(jobs)
	states, notKnown := map[string]int{}, 0
	for _, j := range jobs {
		state := s.state(j.id)
		states[state]++
		if state == "" || state == "410" {
			notKnown++
		}
	}
	s.rec.say("%d accepted jobs; states %v; %d not known or without an answer; %d stuck", len(jobs), states, notKnown, len(stuck))
	if notKnown > 0 || len(stuck) > 0 {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	if states["completed"] != len(jobs) {
		return errors.New("some job is late, but not lost")
	}
	return nil
}

// playSteps hands in one job of 40 steps that run one after the other. With the trouble each step names
// all earlier ones in `after`, otherwise the one before it, which means the same.
func playSteps(recordFile string, trouble bool) error {
	s, err := open(recordFile, 6, 0)
	if err != nil {
		return err
	}
	defer s.close()
	long := job{ID: jobID(1000), Spec: "run 50 ms"}
	for i := range 40 {
		x := step{Count: 1, CPU: 500, MemMB: 64, Estimate: 50}
		for a := range i {
			if trouble || a == i-1 {
				x.After = append(x.After, a)
			}
		}
		long.Steps = append(long.Steps, x)
	}
	s.rec.say("the job of 40 steps is accepted: %t", s.submit(long))
	accepted := s.submitPlain(1, 20, 200*time.Millisecond)
	time.Sleep(finishS)
	s.rec.say("the job of 40 steps: %s, %d of 40 tasks started", s.state(long.ID), len(s.minions.startsOf(long.ID)))
	s.reportLeases()
	verdict := s.judgeLost(accepted)
	if trouble {
		s.cancelAndRestart(long.ID, accepted)
	}
	return verdict
}

// cancelAndRestart shows what helps afterwards. It changes nothing in the verdict.
func (s *stage) cancelAndRestart(id string, plain []owed) {
	status, _ := s.call(s.entries[0], http.MethodDelete, "/q/"+id, nil)
	s.rec.say("afterwards: DELETE of the job of 40 steps is answered with %d; all entry VMs are restarted", status)
	for _, e := range s.entries {
		s.kill(e)
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range s.entries {
		if err := s.startEntry(e); err != nil {
			s.rec.say("%s: not started: %v", e.name, err)
		}
	}
	time.Sleep(10 * time.Second)
	states := map[string]int{}
	for _, j := range plain {
		states[s.state(j.id)]++
	}
	s.rec.say("afterwards: states of the plain jobs 10 s after the restart: %v", states)
}

// playSchedule hands in a job of four steps that repeats each hour since 75 days. With the trouble it
// repeats 5,000 times, otherwise 4,000 times.
func playSchedule(recordFile string, trouble bool) error {
	s, err := open(recordFile, 12, 0)
	if err != nil {
		return err
	}
	defer s.close()
	hourly := job{ID: jobID(1000), Spec: "run 40 ms", Repeat: 4000, FirstRun: time.Now().Add(-75 * 24 * time.Hour).UnixMilli(), Interval: time.Hour.Milliseconds()}
	if trouble {
		hourly.Repeat = 5000
	}
	for i := range 4 {
		x := step{Count: 1, CPU: 500, MemMB: 64, Estimate: 40}
		if i > 0 {
			x.After = []int{i - 1}
		}
		hourly.Steps = append(hourly.Steps, x)
	}
	s.rec.say("the hourly job of %d occurrences is accepted: %t", hourly.Repeat, s.submit(hourly))
	begun, last := 0, time.Now()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && time.Since(last) < 8*time.Second; time.Sleep(200 * time.Millisecond) {
		if n := len(s.minions.startsOf(hourly.ID)); n > begun {
			begun, last = n, time.Now()
		}
	}
	s.rec.say("of the hourly job %d tasks have started, the last one %.1f s ago; its stored progress takes %d bytes", begun, time.Since(last).Seconds(), s.store.size("progress"))
	accepted := s.submitPlain(1, 20, 200*time.Millisecond)
	time.Sleep(finishS)
	s.reportLeases()
	s.store.mu.Lock()
	s.rec.say("transactions that the store refused with 400: %v", s.store.refused)
	s.store.mu.Unlock()
	return s.judgeLost(accepted)
}

// playHour hands in hourly jobs of four steps that repeat 4,000 times, one a second, which are all due at the
// same time after that: 25 with the trouble, otherwise ten.
func playHour(recordFile string, trouble bool) error {
	s, err := open(recordFile, 12, 0)
	if err != nil {
		return err
	}
	defer s.close()
	count := 10
	if trouble {
		count = 25
	}
	due := time.Now().Add(28 * time.Second)
	taken := 0
	for i := range count {
		hourly := job{ID: jobID(1000 + i), Spec: "run 300 ms", Repeat: 4000, FirstRun: due.UnixMilli(), Interval: time.Hour.Milliseconds()}
		for k := range 4 {
			x := step{Count: 1, CPU: 500, MemMB: 64, Estimate: 300}
			if k > 0 {
				x.After = []int{k - 1}
			}
			hourly.Steps = append(hourly.Steps, x)
		}
		if s.submit(hourly) {
			taken++
		}
		time.Sleep(time.Second)
	}
	s.rec.say("%d hourly jobs are accepted", taken)
	time.Sleep(time.Until(due.Add(2 * time.Second)))
	accepted := s.submitPlain(1, 20, 200*time.Millisecond)
	time.Sleep(finishS)
	begun := 0
	for i := range count {
		begun += len(s.minions.startsOf(jobID(1000 + i)))
	}
	s.rec.say("of the %d tasks of the hourly jobs that were due, %d have started", 4*taken, begun)
	s.reportLeases()
	s.store.mu.Lock()
	s.rec.say("transactions that the store refused with 400: %v", s.store.refused)
	s.store.mu.Unlock()
	return s.judgeLost(accepted)
}

func (s *stage) reportLeases() {
	for _, e := range s.entries {
		s.rec.line("%s: process runs: %t, %d MB", e.name, e.running(), e.residentMB())
	}
}

// playGang hands in a gang of four tasks of 4 s. With the trouble the minion of one of them is lost for good
// while they work. The other nine minions have room for the gang several times over.
func playGang(recordFile string, trouble bool) error {
	s, err := open(recordFile, 10, 0)
	if err != nil {
		return err
	}
	defer s.close()
	gang := job{ID: jobID(1000), Spec: "run 4000 ms", Steps: []step{{Count: 4, CPU: 4000, MemMB: 1024, Estimate: 4000, Gang: true, Max: 1}}}
	if !s.submit(gang) {
		return errors.New("the gang was not accepted")
	}
	accepted := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if n, _ := s.minions.running(); n != 4 {
		return errors.New("the gang did not begin")
	}
	lost := time.Now()
	if trouble {
		m := s.minions.busy()[0]
		s.rec.say("%s is lost for good", m.id)
		m.lose()
	}
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end) && s.state(gang.ID) != "completed"; {
		time.Sleep(500 * time.Millisecond)
	}
	// The runs of the lost minion are over when their leases are, max_hold_ms later at most.
	calm := lost.Add(maxHold + contactMS + gangTimeout)
	alone, late := s.minions.aloneAfter(calm)
	s.rec.say("the gang's job is %s %.1f s after its acceptance; %d runs ended alone, %d of them of runs that began over %.0f s after the loss",
		s.state(gang.ID), time.Since(accepted).Seconds(), alone, late, calm.Sub(lost).Seconds())
	if late > 0 {
		return fmt.Errorf("GANG: %w", errBroken)
	}
	if s.state(gang.ID) != "completed" {
		return errors.New("the gang did not complete, without a run that ended alone")
	}
	return nil
}

// playMemory hands in many hourly jobs of four steps, 5,000 times each, that are due from next week on. The
// platform kills a process that exceeds its memory and starts it again after half a second.
func playMemory(recordFile string, trouble bool) error {
	s, err := open(recordFile, 6, 0)
	if err != nil {
		return err
	}
	defer s.close()
	kills := map[string]int{}
	peak := map[string]int{}
	taken := 0 // guarded by mu
	var mu sync.Mutex
	stop := make(chan struct{})
	var watch sync.WaitGroup
	for _, e := range s.entries {
		watch.Go(func() {
			for {
				mb := e.residentMB()
				mu.Lock()
				peak[e.name] = max(peak[e.name], mb)
				mu.Unlock()
				if mb > memoryMB || !e.running() {
					s.rec.line("%s: process ends by itself, at %d MB of %d", e.name, mb, memoryMB)
					s.kill(e)
					mu.Lock()
					if len(kills) == 0 {
						s.rec.say("the first end of a process, with %d hourly jobs accepted", taken)
					}
					kills[e.name]++
					mu.Unlock()
					time.Sleep(500 * time.Millisecond)
					if err := s.startEntry(e); err != nil {
						s.rec.line("%s: not started again: %v", e.name, err)
						return
					}
				}
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	count := 2
	if trouble {
		count = 60
	}
	for i := range count {
		hourly := job{ID: jobID(1000 + i), Spec: "run 40 ms", Repeat: 5000, FirstRun: time.Now().Add(7 * 24 * time.Hour).UnixMilli(), Interval: time.Hour.Milliseconds()}
		for k := range 4 {
			x := step{Count: 1, CPU: 500, MemMB: 64, Estimate: 40}
			if k > 0 {
				x.After = []int{k - 1}
			}
			hourly.Steps = append(hourly.Steps, x)
		}
		if s.submit(hourly) {
			mu.Lock()
			taken++
			mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.rec.say("%d hourly jobs are accepted", taken)
	accepted := s.submitPlain(1, 20, 200*time.Millisecond)
	time.Sleep(finishS)
	err = s.judgeLost(accepted)
	close(stop)
	watch.Wait()
	s.rec.say("processes that ended because of their memory: %v; most memory in MB: %v", kills, peak)
	thrice := 0
	for _, n := range kills {
		if n >= 3 {
			thrice++
		}
	}
	if !errors.Is(err, errBroken) && thrice >= 2 {
		return fmt.Errorf("Fault: %w", errBroken)
	}
	return err
}

// playPending fills all minions but one, which answers starts with 503, and asks how many jobs are pending.
func playPending(recordFile string, trouble bool) error {
	s, err := open(recordFile, 12, 0)
	if err != nil {
		return err
	}
	defer s.close()
	for i := range 11 {
		j := job{ID: jobID(3000 + i), Spec: "run 40000 ms", Steps: []step{{Count: 1, CPU: 16000, MemMB: 1024, Estimate: 40000}}}
		if !s.submit(j) {
			return errors.New("a job was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	free := s.minions.free()
	if len(free) != 1 {
		return errors.New("the minions are not full")
	}
	if trouble {
		s.rec.say("%s begins to answer starts with 503", free[0].id)
		free[0].unhealthy.Store(true)
	}
	var ids []string
	for i := range 12 {
		j := job{ID: jobID(4000 + i), Spec: "run 20000 ms", Steps: []step{{Count: 1, CPU: 1600, MemMB: 256, Estimate: 20000}}}
		if !s.submit(j) {
			return errors.New("a job was not accepted")
		}
		ids = append(ids, j.ID)
	}
	accepted := time.Now()
	time.Sleep(4 * time.Second)
	states := []string{}
	for _, id := range ids {
		states = append(states, s.state(id))
	}
	s.rec.say("4 s later their states are: %s; starts answered with 503: %d", strings.Join(states, " "), s.minions.refusals())
	time.Sleep(time.Until(accepted.Add(visibleMS + 2*time.Second + 100*time.Millisecond)))
	broken := 0
	for _, e := range s.entries {
		waiting := 0
		for _, id := range ids {
			if len(s.minions.startsOf(id)) == 0 {
				waiting++
			}
		}
		status, data := s.call(e, http.MethodGet, "/q/", nil)
		var a struct {
			Pending *int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal(data, &a) != nil || a.Pending == nil {
			s.rec.say("%s gives no count: %d", e.name, status)
			continue
		}
		s.rec.say("%s: %d jobs were accepted over 5 s ago and haven't begun; it says pending %d", e.name, waiting, *a.Pending)
		if *a.Pending*2 < waiting {
			broken++
		}
	}
	free[0].unhealthy.Store(false)
	if broken > 0 {
		return fmt.Errorf("MIXED: %w", errBroken)
	}
	return nil
}
