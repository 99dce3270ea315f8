//go:build review3

package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// grey: one of eight minions fails all that it starts for some seconds, while a wide job runs. All tasks of the job
// can be done on the others. The job has to end, and so have the jobs that come after it.
func init() {
	cases["grey"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 8 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/4), resources{64000, 131072, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		n, c := 2450, 8
		if v := os.Getenv("STEPS"); v != "" {
			n, _ = strconv.Atoi(v)
		}
		j := &job{ID: newID(), Spec: "wide", queue: "cut", key: "key-ward"}
		for range n {
			j.Steps = append(j.Steps, step{Count: c, CPU: 500, Mem: 10, Estimate: 100, work: 100 * time.Millisecond})
		}
		s.note("the body has %d bytes", len(jsonText(j)))
		if trouble {
			s.world.mu.Lock()
			s.minions[3].grey = true
			s.note("GREY   %s fails all that it starts", s.minions[3].id)
			s.world.mu.Unlock()
			time.AfterFunc(6500*time.Millisecond, func() {
				s.world.mu.Lock()
				s.minions[3].grey = false
				s.note("SOUND  %s", s.minions[3].id)
				s.world.mu.Unlock()
			})
		}
		if ok, _ := s.submit(j); !ok {
			s.finish(2)
		}
		var small []*job
		last := 0
		for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
			if len(small) < 5 {
				o := &job{ID: newID(), Spec: "small", queue: "cut", key: "key-ward", Steps: []step{{Count: 4, CPU: 1000, Mem: 100, Estimate: 300, work: 300 * time.Millisecond}}}
				if ok, _ := s.submit(o); ok {
					small = append(small, o)
				}
			}
			st, _ := s.state(j)
			s.world.mu.Lock()
			done, failed, running, listed := map[string]bool{}, 0, 0, 0
			for _, e := range s.events {
				if e.kind == "end" && e.how == "done" {
					done[e.task] = true
				}
				if e.kind == "end" && e.how == "failed" {
					failed++
				}
			}
			for _, m := range s.minions {
				running += len(m.runs)
				listed += len(m.ends)
			}
			s.world.mu.Unlock()
			text := ""
			for _, o := range small {
				x, _ := s.state(o)
				text += x + " "
			}
			s.note("state %s, %d tasks of %d done (%d more), %d failed runs, %d running, %d ends not taken note of; small: %s", st, len(done), n*c, len(done)-last, failed, running, listed, text)
			last = len(done)
			if st == "completed" {
				return
			}
		}
	}
}
