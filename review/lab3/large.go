//go:build review3

package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// large: a job of many steps of one short task each, whose body is within the configured limit, is handed in beside
// an ordinary one.
func init() {
	cases["large"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		nm := 8
		if v := os.Getenv("MINIONS"); v != "" {
			nm, _ = strconv.Atoi(v)
		}
		for i := range nm {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{64000, 131072, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		n := 19000
		if v := os.Getenv("STEPS"); v != "" {
			n, _ = strconv.Atoi(v)
		}
		if !trouble {
			n = 9000
		}
		j := &job{ID: newID(), Spec: "large", queue: "cut", key: "key-ward"}
		for range n {
			j.Steps = append(j.Steps, step{Count: 1, work: 20 * time.Millisecond})
		}
		s.note("the body has %d bytes", len(jsonText(j)))
		if ok, _ := s.submit(j); !ok {
			s.finish(2)
		}
		var small []*job
		go func() {
			for {
				o := &job{ID: newID(), Spec: "small", queue: "cut", key: "key-ward", Steps: []step{{Count: 4, CPU: 1000, Mem: 100, Estimate: 300, work: 300 * time.Millisecond}}}
				if ok, _ := s.submit(o); ok {
					s.world.mu.Lock()
					small = append(small, o)
					s.world.mu.Unlock()
				}
				time.Sleep(3 * time.Second)
			}
		}()
		last := 0
		for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
			st, _ := s.state(j)
			s.world.mu.Lock()
			done, running, listed := map[string]bool{}, 0, 0
			for _, e := range s.events {
				if e.kind == "end" && e.how == "done" {
					done[e.task] = true
				}
			}
			for _, m := range s.minions {
				running += len(m.runs)
				listed += len(m.ends)
			}
			s.world.mu.Unlock()
			s.note("state %s, %d of %d tasks done (%d more), %d running, %d ends not taken note of", st, len(done), n, len(done)-last, running, listed)
			last = len(done)
			s.world.mu.Lock()
			list := append([]*job{}, small...)
			s.world.mu.Unlock()
			text := ""
			for _, o := range list {
				x, _ := s.state(o)
				text += x + " "
			}
			s.note("small jobs: %s", text)
			if st == "completed" {
				return
			}
		}
	}
}
