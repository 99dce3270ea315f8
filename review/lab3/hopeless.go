//go:build review3

package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

// hopeless: a search. A job that can never be done, or not yet, beside ordinary jobs, in calm. The ordinary ones have
// to end.
func init() {
	cases["hopeless"] = func(s *site, trouble bool) {
		low := os.Getenv("LOW") // a queue of lower priority on the service of the other one, or none
		read := "proof"
		if low != "" {
			read = "carve"
			s.priority = map[string]int{low: 2}
		}
		s.configure(map[string]string{"cut": "carve", "read": read}, []string{"carve", "proof"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "floor", "api_keys": []string{"key-floor"}, "weight": 5, "cap": map[string]any{"cpu": 8000, "mem_mb": 0, "gpu": 0}}})
		for i := range 6 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{8000, 16384, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			if _, err := s.addMachine(fmt.Sprintf("p%d", i), "proof", "bay", "r9", resources{8000, 16384, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		w := 300 * time.Millisecond
		type shape struct {
			key   string
			steps []step
		}
		shapes := map[string]shape{
			"last-too-big":       {"key-ward", []step{{Count: 2, CPU: 9000, Lasts: true}}},
			"last-mem":           {"key-ward", []step{{Count: 2, Mem: 20000, Lasts: true}}},
			"last-label":         {"key-ward", []step{{Count: 2, CPU: 1000, Label: "nowhere", Lasts: true}}},
			"last-label-wide":    {"key-ward", []step{{Count: 100, CPU: 1000, Label: "r0", Lasts: true}}},
			"last-per":           {"key-ward", []step{{Count: 20, CPU: 100, PerMin: 1, Lasts: true}}},
			"last-per-big":       {"key-ward", []step{{Count: 20, CPU: 2000, PerMin: 1, Lasts: true}}},
			"last-near":          {"key-ward", []step{{Count: 2, CPU: 2000, Affinity: "r55", Lasts: true}}},
			"last-rack":          {"key-ward", []step{{Count: 5, CPU: 3000, SameRack: true, Lasts: true}}},
			"last-gang-per":      {"key-ward", []step{{Count: 7, CPU: 500, PerMin: 1, Gang: true, Lasts: true}}},
			"last-gang-rack":     {"key-ward", []step{{Count: 5, CPU: 4000, Gang: true, SameRack: true, Lasts: true}}},
			"last-gang-label":    {"key-ward", []step{{Count: 3, CPU: 4000, Gang: true, Label: "r1", Lasts: true}}},
			"last-cap":           {"key-floor", []step{{Count: 3, CPU: 4000, Lasts: true}}},
			"last-gang-cap":      {"key-floor", []step{{Count: 5, CPU: 2500, Gang: true, Lasts: true}}},
			"last-fills-big":     {"key-ward", []step{{Count: 3, CPU: 9000, Fills: true, Lasts: true}}},
			"last-gpu-miss":      {"key-ward", []step{{Count: 3, CPU: 9000, MayMiss: 1, Lasts: true}}},
			"gang-too-wide":      {"key-ward", []step{{Count: 30, CPU: 4000, Gang: true, work: w}}},
			"gang-per":           {"key-ward", []step{{Count: 7, CPU: 4000, PerMin: 1, Gang: true, work: w}}},
			"gang-label":         {"key-ward", []step{{Count: 5, CPU: 4000, Gang: true, Label: "r1", work: w}}},
			"gang-cap":           {"key-floor", []step{{Count: 5, CPU: 4000, Gang: true, work: w}}},
			"gang-300":           {"key-ward", []step{{Count: 3000, CPU: 100, Gang: true, work: w}}},
			"too-big":            {"key-ward", []step{{Count: 300, CPU: 9000, work: w}}},
			"label":              {"key-ward", []step{{Count: 3000, CPU: 100, Label: "nowhere", work: w}}},
			"many-label":         {"key-ward", nil},
			"cap":                {"key-floor", []step{{Count: 3000, CPU: 8500, work: w}}},
			"always-fails":       {"key-ward", []step{{Count: 30, CPU: 500, failing: 99, work: 10 * time.Millisecond}}},
			"last-always-fails":  {"key-ward", []step{{Count: 30, CPU: 500, failing: 9999, Lasts: true}}},
			"gang-always-fails":  {"key-ward", []step{{Count: 6, CPU: 500, Gang: true, failing: 99, work: 10 * time.Millisecond}}},
			"last-then-never":    {"key-ward", []step{{Count: 1, CPU: 500, Lasts: true}, {Count: 3, CPU: 500, After: []int{0}, work: w}}},
			"last-gang-two":      {"key-ward", []step{{Count: 6, CPU: 5000, Gang: true, Lasts: true}, {Count: 6, CPU: 5000, Gang: true, Lasts: true}}},
			"last-whole":         {"key-ward", []step{{Count: 7, CPU: 5000, Lasts: true}}},
			"last-gang-preempts": {"key-ward", []step{{Count: 12, CPU: 4000, Gang: true, Lasts: true, MayMiss: 1}}},
		}
		var names []string
		for n := range shapes {
			if o := os.Getenv("SHAPE"); o == "" || strings.Contains(n, o) {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		for _, n := range names {
			sh := shapes[n]
			if n == "many-label" {
				for range 300 {
					sh.steps = append(sh.steps, step{Count: 10, CPU: 100, Label: "nowhere", work: w})
				}
			}
			var hs []*job
			for range 2 {
				h := &job{ID: newID(), Spec: n, queue: "cut", key: sh.key, Steps: sh.steps}
				if ok, _ := s.submit(h); !ok {
					fmt.Println("not accepted:", n)
				} else {
					hs = append(hs, h)
				}
			}
			time.Sleep(500 * time.Millisecond)
			var list []*job
			queues := []string{"cut", "read"}
			if low != "" {
				queues[0] = "read"
			}
			for i := range 8 {
				st := []step{{Count: 2, CPU: 1000, Mem: 100, Estimate: 300, work: w}}
				if low != "" {
					st[0].Count, st[0].CPU, st[0].work, st[0].Estimate = 4, 1500, 1500*time.Millisecond, 1500
				}
				if i%2 == 0 {
					st = append(st, step{Count: 2, CPU: 500, After: []int{0}, work: w})
				}
				o := &job{ID: newID(), Spec: "small", queue: queues[i/4], key: []string{"key-ward", "key-floor"}[i%4/2], Steps: st}
				if strings.HasSuffix(n, "cap") {
					o.key = "key-ward"
				}
				if ok, _ := s.submit(o); ok {
					list = append(list, o)
				} else {
					fmt.Println("beside", n, "an ordinary job is not accepted")
				}
			}
			began := time.Now()
			for time.Since(began) < 14*time.Second && len(list) > 0 {
				var left []*job
				for _, o := range list {
					if st, _ := s.state(o); st != "completed" {
						left = append(left, o)
					}
				}
				list = left
				time.Sleep(50 * time.Millisecond)
			}
			s.note("beside %s: %d left after %v", n, len(list), time.Since(began))
			if len(list) > 0 || time.Since(began) > 8*time.Second {
				fmt.Println("beside", n, len(list), "ordinary jobs are left after", time.Since(began).Round(time.Millisecond))
			}
			for _, h := range append(hs, list...) {
				s.cancel(h)
			}
			time.Sleep(600 * time.Millisecond)
		}
	}
}
