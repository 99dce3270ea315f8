//go:build review3

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// weird: a search. Bodies of valid form with extreme numbers, and bodies that are no jobs, beside ordinary jobs, in
// calm. No process may end or stand still, and the ordinary jobs have to end.
func init() {
	cases["weird"] = func(s *site, trouble bool) {
		seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
		r := rand.New(rand.NewPCG(seed, 9))
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "floor", "api_keys": []string{"key-floor"}, "weight": 1, "cap": map[string]any{"cpu": 9000, "mem_mb": 9000, "gpu": 0}}})
		for i := range 6 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{8000, 16384, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		big := []int64{0, 1, 2, 100, 8000, 8001, 100000, 1 << 31, 1 << 32, 1 << 53, 1<<62 - 1, 1 << 62, 1<<63 - 1, -1, -1 << 62, 9223372036854, 9223372036855}
		pick := func() int64 {
			if r.IntN(12) > 0 {
				return int64(r.IntN(2000))
			}
			return big[r.IntN(len(big))]
		}
		answers := map[int]int{}
		var mu sync.Mutex
		end := time.Now().Add(40 * time.Second)
		for time.Now().Before(end) {
			var wg sync.WaitGroup
			for range 12 {
				j := &job{ID: newID(), Spec: "weird", queue: "cut", key: []string{"key-ward", "key-floor", "key-floor"}[r.IntN(3)]}
				for i := range 1 + r.IntN(4) {
					st := step{Count: 1 + r.IntN(5), CPU: pick(), Mem: pick(), Estimate: pick(), Gang: r.IntN(4) == 0, Saves: r.IntN(5) == 0, SameRack: r.IntN(5) == 0, PerMin: int(pick()), MayMiss: int(pick()), work: 100 * time.Millisecond}
					if r.IntN(6) == 0 {
						st.Count = int(pick())
					}
					if r.IntN(8) == 0 {
						st.Label = "nowhere"
					}
					if i > 0 && r.IntN(3) == 0 {
						st.After = []int{r.IntN(i + 1)}
					}
					if r.IntN(10) == 0 {
						st.Lasts = true
						st.work = 0
					}
					st.Fills = r.IntN(8) == 0
					j.Steps = append(j.Steps, st)
				}
				if r.IntN(3) == 0 {
					j.Repeat, j.First, j.Interval = int(pick()), pick(), pick()
					if r.IntN(12) > 0 {
						j.First = time.Now().UnixMilli() + int64(r.IntN(2000))
					}
				}
				body := jsonText(j)
				switch r.IntN(12) {
				case 0:
					body = []byte(strings.Replace(string(body), `"count":`, `"count":1e3,"x":`, 1))
				case 1:
					body = body[:r.IntN(len(body))]
				case 2:
					body = []byte(strings.Repeat("[", 20000))
				case 3:
					body = []byte(strings.Replace(string(body), `"spec":"weird"`, `"spec":"`+strings.Repeat("w", 3999+r.IntN(3))+`"`, 1))
					j.Spec = strings.Repeat("w", strings.Count(string(body[:4100]), "w"))
				}
				s.world.mu.Lock()
				s.jobs[j.ID] = j
				s.world.mu.Unlock()
				d := s.pick()
				cancel := r.IntN(2) == 0 || j.Repeat > 0
				for _, st := range j.Steps {
					cancel = cancel || st.Lasts
				}
				wg.Go(func() {
					status, _ := s.call(context.Background(), d, "POST", "/cut/"+j.ID, j.key, body)
					mu.Lock()
					answers[status]++
					mu.Unlock()
					if len(body) < 4096 {
						s.note("BODY   %s %s %d %s", j.ID, j.key, status, body)
					}
					if cancel {
						time.Sleep(300 * time.Millisecond)
						s.cancel(j)
					}
				})
			}
			wg.Go(func() {
				o := &job{ID: newID(), Spec: "small", queue: "cut", key: "key-ward", Steps: []step{{Count: 2, CPU: 1000, Mem: 100, Estimate: 300, work: 100 * time.Millisecond}}}
				began := time.Now()
				if ok, _ := s.submit(o); !ok {
					s.note("ordinary job not accepted")
					return
				}
				for time.Since(began) < 15*time.Second {
					if st, _ := s.state(o); st == "completed" {
						s.note("ordinary job done after %v", time.Since(began))
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
				st, status := s.state(o)
				fmt.Println("ordinary job", o.ID, st, status, "after 15 s")
				s.cancel(o)
			})
			wg.Wait()
		}
		s.mu2.Lock()
		for _, d := range s.daemons {
			if !d.alive {
				fmt.Println(d.name, "has ended")
			}
		}
		s.mu2.Unlock()
		fmt.Println(answers)
	}
}
