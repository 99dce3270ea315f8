//go:build review3

package main

import (
	"fmt"
	"strings"
	"time"
)

// late: the start of a task is held up on its way to a minion. Its zone is cut off, the minion crashes and starts again
// under its id, and the start reaches it then, behind the cut. By that time the task has been started elsewhere.
func init() {
	cases["late"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		var ms []*minion
		for i := range 8 {
			zone := []string{"hall", "room"}[i%2]
			if i == 7 {
				zone = "bay" // it has this minion only
			}
			m, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", zone, fmt.Sprintf("r%d", i), resources{4000, 8192, 0})
			if err != nil {
				panic(err)
			}
			ms = append(ms, m)
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "hall"}[i])
		}
		s.awaitReady(3)
		for range 4 {
			warm := &job{ID: newID(), Spec: "warm", queue: "cut", key: "key-ward", Steps: []step{{Count: 16, CPU: 1000, Mem: 100, Estimate: 300, PerMin: 2, work: 300 * time.Millisecond}}}
			s.submit(warm)
			s.await("the first job", 20*time.Second, func() bool { st, _ := s.state(warm); return st == "completed" })
		}
		time.Sleep(time.Second)
		m := ms[7]
		j := &job{ID: newID(), Spec: "late", queue: "cut", key: "key-ward", Steps: []step{{Count: 1, CPU: 1000, Mem: 100, Estimate: 6000, Affinity: m.rack, work: 6 * time.Second}}}
		hit := make(chan bool, 1)
		if trouble {
			s.world.mu.Lock()
			m.lateOutlives = true
			m.late = func(op string) time.Duration {
				if op != "run-start" {
					return 0
				}
				m.late = nil
				hit <- true
				return 5100 * time.Millisecond
			}
			s.world.mu.Unlock()
		}
		if ok, _ := s.submit(j); !ok {
			s.finish(2)
		}
		if trouble {
			select {
			case <-hit:
			case <-time.After(10 * time.Second):
				s.note("the start went to another minion")
				s.finish(2)
			}
			at := func(after time.Duration, f func()) {
				time.AfterFunc(after, func() {
					s.world.mu.Lock()
					defer s.world.mu.Unlock()
					f()
				})
			}
			at(50*time.Millisecond, func() {
				m.cut, m.cutStore = true, true
				s.note("CUT    zone bay with %s is cut off from the machines of the system and from the store", m.id)
			})
			at(time.Second, func() {
				m.crash()
				m.down = true
				s.note("CRASH  %s", m.id)
			})
			at(1500*time.Millisecond, func() {
				m.down = false
				m.reset()
				s.note("AGAIN  %s starts again under its id, life %d", m.id, m.lives)
			})
			at(5500*time.Millisecond, func() {
				m.cut = false
				m.beat()
				s.note("HEALED zone bay")
			})
		}
		time.Sleep(16 * time.Second)
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
