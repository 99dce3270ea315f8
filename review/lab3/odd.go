//go:build review3

package main

import (
	"fmt"
	"os"
	"time"
)

// odd: a search. Valid jobs of unusual shapes, each alone, which must end.
func init() {
	cases["odd"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 6 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{64000, 131072, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 2 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room"}[i])
		}
		s.awaitReady(2)
		j := &job{ID: newID(), Spec: "odd", queue: "cut", key: "key-ward"}
		now := time.Now().UnixMilli()
		w := 20 * time.Millisecond
		switch os.Getenv("SHAPE") {
		case "wide":
			j.Steps = []step{{Count: 20000, work: w}}
		case "often":
			j.Steps, j.Repeat, j.First, j.Interval = []step{{Count: 1, work: w}}, 15000, now, 1
		case "often2":
			j.Steps, j.Repeat, j.First, j.Interval = []step{{Count: 1, work: 900 * time.Millisecond}, {Count: 1, After: []int{0}, work: w}}, 3000, now, 5
		case "chain":
			for i := range 100 {
				st := step{Count: 50, CPU: 100, work: w}
				if i > 0 {
					st.After = []int{i - 1}
				}
				j.Steps = append(j.Steps, st)
			}
		case "steps-often":
			for range 60 {
				j.Steps = append(j.Steps, step{Count: 2, CPU: 10, work: w})
			}
			j.Repeat, j.First, j.Interval = 100, now, 50
		case "gang":
			j.Steps = []step{{Count: 300, CPU: 100, Gang: true, work: 500 * time.Millisecond}, {Count: 3, After: []int{0}, work: w}}
		case "per":
			j.Steps = []step{{Count: 100, CPU: 100, PerMin: 1, work: w}}
		case "after":
			for i := range 300 {
				st := step{Count: 1, CPU: 100, work: w}
				for k := range i {
					st.After = append(st.After, k)
				}
				j.Steps = append(j.Steps, st)
			}
		case "fails":
			j.Steps = []step{{Count: 3000, failing: 2, work: w}}
		case "fails-steps":
			for range 600 {
				j.Steps = append(j.Steps, step{Count: 10, failing: 2, work: w})
			}
		case "old":
			j.Steps, j.Repeat, j.First, j.Interval = []step{{Count: 2, CPU: 10, work: w}}, 50, now-86400000*30, 3600000
		case "steps":
			for range 12500 {
				j.Steps = append(j.Steps, step{Count: 1, work: w})
			}
		}
		s.note("the body has %d bytes", len(jsonText(j)))
		if ok, _ := s.submit(j); !ok {
			fmt.Println("not accepted")
			s.finish(2)
		}
		began := time.Now()
		for time.Since(began) < 70*time.Second {
			if st, _ := s.state(j); st == "completed" || st == "failed" {
				fmt.Println(os.Getenv("SHAPE"), st, time.Since(began))
				s.world.mu.Lock()
				n := 0
				for _, e := range s.events {
					if e.kind == "end" && e.how == "done" {
						n++
					}
				}
				s.twice()
				s.world.mu.Unlock()
				fmt.Println("done", n)
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.world.mu.Lock()
		n, runs := 0, 0
		for _, e := range s.events {
			if e.kind == "end" && e.how == "done" {
				n++
			}
		}
		for _, m := range s.minions {
			runs += len(m.runs)
		}
		s.breaks("LOST %s: not ended, %d done, %d running", os.Getenv("SHAPE"), n, runs)
		s.world.mu.Unlock()
	}
}
