//go:build review3

package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// late: the start of a task is held up on its way to a minion. The minion loses power and starts again under its id
// some seconds later, and the start reaches it then. By that time the task has been started elsewhere.
func init() {
	cases["late"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		var ms []*minion
		for i := range 8 {
			m, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i), resources{4000, 8192, 0})
			if err != nil {
				panic(err)
			}
			m.lateOutlives = true
			ms = append(ms, m)
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		dark, late := 7500*time.Millisecond, 7700*time.Millisecond
		if v, err := time.ParseDuration(os.Getenv("DARK")); err == nil {
			dark = v
		}
		if v, err := time.ParseDuration(os.Getenv("LATE")); err == nil {
			late = v
		}
		for range 4 {
			warm := &job{ID: newID(), Spec: "warm", queue: "cut", key: "key-ward", Steps: []step{{Count: 16, CPU: 1000, Mem: 100, Estimate: 300, PerMin: 2, work: 300 * time.Millisecond}}}
			s.submit(warm)
			s.await("the first job", 20*time.Second, func() bool { st, _ := s.state(warm); return st == "completed" })
		}
		j := &job{ID: newID(), Spec: "late", queue: "cut", key: "key-ward", Steps: []step{{Count: 1, CPU: 1000, Mem: 100, Estimate: 6000, work: 6 * time.Second}}}
		hit := make(chan *minion, 1)
		if trouble {
			s.world.mu.Lock()
			for _, m := range ms {
				m.late = func(op string) time.Duration {
					if op != "run-start" {
						return 0
					}
					for _, x := range ms {
						x.late = nil
					}
					hit <- m
					return late
				}
			}
			s.world.mu.Unlock()
		}
		if ok, _ := s.submit(j); !ok {
			s.finish(2)
		}
		if trouble {
			m := <-hit
			time.Sleep(50 * time.Millisecond)
			s.world.mu.Lock()
			m.crash()
			m.down = true
			s.note("DARK   %s loses power", m.id)
			s.world.mu.Unlock()
			time.Sleep(dark - 50*time.Millisecond)
			s.world.mu.Lock()
			m.down = false
			m.reset()
			m.beat()
			s.note("AGAIN  %s starts under its id, life %d", m.id, m.lives)
			s.world.mu.Unlock()
		}
		time.Sleep(14 * time.Second)
		st, _ := s.state(j)
		s.note("GET    job %s: %q", j.ID, st)
		s.world.mu.Lock()
		s.twice()
		n := 0
		for _, e := range s.events {
			if e.kind == "start" && strings.HasPrefix(e.task, j.ID) {
				n++
			}
		}
		s.note("starts of the task: %d", n)
		s.world.mu.Unlock()
	}
}
