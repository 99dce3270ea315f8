//go:build review3

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
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
		const traffic, finish = 20 * time.Second, 14 * time.Second
		var shown time.Time
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
			for end := time.Now().Add(traffic); time.Now().Before(end); {
				o := &job{ID: newID(), Spec: "small", queue: "cut", key: "key-ward", Steps: []step{{Count: 4, CPU: 1000, Mem: 100, Estimate: 300, work: 300 * time.Millisecond}}}
				if ok, _ := s.submit(o); ok {
					s.world.mu.Lock()
					small = append(small, o)
					s.world.mu.Unlock()
				}
				time.Sleep(3 * time.Second)
			}
		}()
		handedIn := time.Now()
		last, idle := 0, time.Now()
		var broken bool
		for end := handedIn.Add(60 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			s.world.mu.Lock()
			done, running, listed := map[string]bool{}, 0, 0
			var cpu, room int64
			for _, e := range s.events {
				if e.kind == "end" && e.how == "done" && strings.HasPrefix(e.task, j.ID) {
					done[e.task] = true
				}
			}
			for _, m := range s.minions {
				room += m.capacity.CPU
				listed += len(m.ends)
				for _, r := range m.runs {
					cpu += r.need.CPU
					if strings.HasPrefix(r.task, j.ID) {
						running++
					}
				}
			}
			s.world.mu.Unlock()
			now := time.Now()
			if running > 0 || len(done) == n || 2*cpu >= room {
				idle = now
			}
			// finish_s (14 s) after the end of the traffic, 3 s with nothing of the job running.
			if !broken && now.Sub(handedIn) > traffic+finish && now.Sub(idle) >= 3*time.Second {
				broken = true
				s.world.mu.Lock()
				s.breaks("LOST: %v after the end of the traffic, nothing of job %s has run for %v; %d of its %d tasks have ended done, all others' turn has come, and %d of %d thousandths of a core are in use",
					now.Sub(handedIn.Add(traffic)).Round(100*time.Millisecond), j.ID, now.Sub(idle).Round(100*time.Millisecond), len(done), n, cpu, room)
				s.world.mu.Unlock()
			}
			if now.Sub(shown) < time.Second {
				continue
			}
			shown = now
			st, _ := s.state(j)
			s.note("state %s, %d of %d tasks done (%d more), %d running, %d ends listed and not taken note of", st, len(done), n, len(done)-last, running, listed)
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
			if st == "completed" && now.Sub(handedIn) > traffic {
				return
			}
		}
	}
}
