//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

// texts: a search. Jobs whose spec and names hold unusual characters; the start must carry the same spec.
func init() {
	cases["texts"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 3 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i), resources{8000, 16384, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 2 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room"}[i])
		}
		s.awaitReady(2)
		specs := []string{"", " ", "\x00", "a\x00b", "<>&'\"\\/", "\u2028\u2029\ufeff", "é😀\U0010ffff", "\t\r\n\x1b\x7f", strings.Repeat("x", 4000), strings.Repeat("é", 2000), strings.Repeat("\x01", 4000), strings.Repeat("\"", 4000), "null", "{\"a\":1}", "\uFFFD", strings.Repeat("<", 4000)}
		for i, spec := range specs {
			for _, n := range []int{1, 3000} {
				j := &job{ID: newID(), Spec: spec, queue: "cut", key: "key-ward"}
				for range n {
					j.Steps = append(j.Steps, step{Count: 1, CPU: 10, work: 10 * time.Millisecond})
				}
				if ok, _ := s.submit(j); !ok {
					fmt.Println("not accepted:", i, n)
					continue
				}
				began, st := time.Now(), ""
				for st != "completed" && time.Since(began) < 10*time.Second {
					st, _ = s.state(j)
					time.Sleep(20 * time.Millisecond)
				}
				if st != "completed" {
					fmt.Println("spec", i, n, "is", st)
				}
			}
		}
	}
}
