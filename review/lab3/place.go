//go:build review3

package main

import (
	"fmt"
	"time"
)

// place: a search. Jobs whose steps ask for places that are scarce, missing or in more than one rack, in calm. All
// that can be done at all have to end.
func init() {
	cases["place"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 6 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{8000, 16384, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		w := 400 * time.Millisecond
		shapes := map[string][]step{
			"rack-wide":    {{Count: 10, CPU: 3000, Gang: true, SameRack: true, work: w}},
			"rack-all":     {{Count: 12, CPU: 4000, Gang: true, SameRack: true, work: w}},
			"rack-tasks":   {{Count: 20, CPU: 4000, SameRack: true, work: w}},
			"near-missing": {{Count: 4, CPU: 2000, Affinity: "r77", work: w}},
			"near-small":   {{Count: 12, CPU: 4000, Affinity: "r1", work: w}},
			"near-gang":    {{Count: 12, CPU: 4000, Gang: true, Affinity: "r1", work: w}},
			"label":        {{Count: 9, CPU: 4000, Label: "r1", work: w}},
			"label-gang":   {{Count: 4, CPU: 4000, Gang: true, Label: "r1", work: w}},
			"label-per":    {{Count: 2, CPU: 4000, PerMin: 1, Label: "r1", work: w}},
			"per-gang":     {{Count: 6, CPU: 4000, PerMin: 1, Gang: true, work: w}},
			"per-rack":     {{Count: 6, CPU: 4000, PerMin: 1, Gang: true, SameRack: true, work: w}},
			"whole":        {{Count: 6, CPU: 8000, Mem: 16384, work: w}},
			"whole-gang":   {{Count: 6, CPU: 8000, Mem: 16384, Gang: true, work: w}},
			"copies":       {{Count: 6, CPU: 2000, Spec: true, work: w}},
			"copies-gang":  {{Count: 6, CPU: 2000, Spec: true, Gang: true, work: w}},
			"fills":        {{Count: 6, CPU: 2000, Fills: true, work: w}},
			"fills-whole":  {{Count: 6, CPU: 8000, Fills: true, work: w}},
			"saves-gang":   {{Count: 4, CPU: 2000, Gang: true, Saves: true, failing: 1, work: 3 * w}},
			"nothing":      {{Count: 5, work: w}},
			"chain":        {{Count: 2, CPU: 8000, Gang: true, work: w}, {Count: 6, CPU: 8000, Gang: true, After: []int{0}, work: w}, {Count: 1, CPU: 10, After: []int{0, 1}, work: w}},
		}
		play := func(names []string) {
			var list []*job
			for _, n := range names {
				j := &job{ID: newID(), Spec: n, queue: "cut", key: "key-ward", Steps: shapes[n]}
				if ok, _ := s.submit(j); !ok {
					s.note("NOT ACCEPTED %s", n)
					fmt.Println("not accepted:", n)
					continue
				}
				list = append(list, j)
			}
			began := time.Now()
			for time.Since(began) < 14*time.Second && len(list) > 0 {
				var left []*job
				for _, j := range list {
					st, _ := s.state(j)
					switch st {
					case "completed":
					case "failed", "cancelled":
						fmt.Println(j.Spec, st)
					default:
						left = append(left, j)
					}
				}
				list = left
				time.Sleep(50 * time.Millisecond)
			}
			for _, j := range list {
				st, _ := s.state(j)
				fmt.Println(j.Spec, "is", st, "after", time.Since(began), "beside", len(names)-1)
				s.cancel(j)
			}
		}
		var names []string
		for n := range shapes {
			names = append(names, n)
			play([]string{n})
		}
		play(names)
		s.world.mu.Lock()
		s.twice()
		s.order()
		s.world.mu.Unlock()
	}
}
