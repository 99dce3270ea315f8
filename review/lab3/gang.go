//go:build review3

package main

import (
	"fmt"
	"os"
	"time"
)

// gang: a minion is cut off from all machines of the system just after it has begun its member of a gang, the gang ends
// as done, and the minion starts again under its id behind the cut. Three rounds, one after the other.
func init() {
	cases["gang"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		var ms []*minion
		for i := range 6 {
			m, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{4000, 8192, 0})
			if err != nil {
				panic(err)
			}
			ms = append(ms, m)
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		warm := &job{ID: newID(), Spec: "warm", queue: "cut", key: "key-ward", Steps: []step{{Count: 8, CPU: 1000, Mem: 100, Estimate: 300, PerMin: 2, work: 300 * time.Millisecond}}}
		s.submit(warm)
		s.await("the first job", 20*time.Second, func() bool { st, _ := s.state(warm); return st == "completed" })
		for range 3 {
			time.Sleep(time.Second)
			s.gangRound(ms, trouble)
		}
		s.world.mu.Lock()
		s.twice()
		s.world.mu.Unlock()
	}
}

// mute: a minion answers no request any more, though it carries them out, and is started again under its id some
// seconds later. A gang that began meanwhile has ended as done by then. Four rounds, each with another minion.
func init() {
	cases["mute"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		var ms []*minion
		for i := range 10 {
			m, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{4000, 8192, 0})
			if err != nil {
				panic(err)
			}
			ms = append(ms, m)
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		warm := &job{ID: newID(), Spec: "warm", queue: "cut", key: "key-ward", Steps: []step{{Count: 20, CPU: 1000, Mem: 100, Estimate: 300, PerMin: 2, work: 300 * time.Millisecond}}}
		s.submit(warm)
		s.await("the first job", 20*time.Second, func() bool { st, _ := s.state(warm); return st == "completed" })
		gap := 200 * time.Millisecond
		if v, err := time.ParseDuration(os.Getenv("GAP")); err == nil {
			gap = v
		}
		at := func(after time.Duration, f func()) {
			time.AfterFunc(after, func() {
				s.world.mu.Lock()
				defer s.world.mu.Unlock()
				f()
			})
		}
		for round := range 4 {
			time.Sleep(4 * time.Second)
			m := ms[round]
			if trouble {
				s.world.mu.Lock()
				m.mute = true
				s.note("MUTE   %s answers no request", m.id)
				s.world.mu.Unlock()
				at(2500*time.Millisecond, func() {
					m.crash()
					m.down = true
					s.note("CRASH  %s ends", m.id)
				})
				at(2800*time.Millisecond, func() {
					m.reset()
					m.down = false
					m.beat()
					s.note("AGAIN  %s starts again under its id, life %d, and still answers no request", m.id, m.lives)
				})
				at(3600*time.Millisecond, func() {
					m.mute = false
					s.note("SOUND  %s answers", m.id)
				})
			}
			time.Sleep(gap)
			j := &job{ID: newID(), Spec: "gang", queue: "cut", key: "key-ward", Steps: []step{{Count: 10, CPU: 2500, Mem: 1000, Estimate: 1000, Gang: true, work: time.Second}}}
			if ok, _ := s.submit(j); !ok {
				s.finish(2)
			}
			var shown time.Time
			for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if st, _ := s.state(j); st == "completed" && shown.IsZero() {
					shown = time.Now()
					s.note("GET    job %s is shown as completed", j.ID)
				}
			}
			s.world.mu.Lock()
			for _, e := range s.events {
				if e.kind == "start" && e.task[:16] == j.ID && !shown.IsZero() && e.at.After(shown.Add(time.Second)) {
					s.breaks("TWICE: %s starts %v after its job was shown as completed", e.task, e.at.Sub(shown).Round(time.Millisecond))
				}
			}
			s.world.mu.Unlock()
		}
		s.world.mu.Lock()
		s.twice()
		s.world.mu.Unlock()
	}
}

// oneway: as gang, with a cut that begins a second before the gang is handed in and loses what the minion sends.
func init() {
	cases["oneway"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		var ms []*minion
		for i := range 6 {
			m, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{4000, 8192, 0})
			if err != nil {
				panic(err)
			}
			ms = append(ms, m)
		}
		for i := range 4 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i%3])
		}
		s.awaitReady(4)
		warm := &job{ID: newID(), Spec: "warm", queue: "cut", key: "key-ward", Steps: []step{{Count: 24, CPU: 1000, Mem: 100, Estimate: 300, PerMin: 4, work: 300 * time.Millisecond}}}
		s.submit(warm)
		s.await("the first job", 20*time.Second, func() bool { st, _ := s.state(warm); return st == "completed" })
		gap := 200 * time.Millisecond
		if v, err := time.ParseDuration(os.Getenv("GAP")); err == nil {
			gap = v
		}
		for round := range 4 {
			time.Sleep(1500 * time.Millisecond)
			m := ms[round]
			if trouble {
				s.world.mu.Lock()
				m.cut, m.oneWay, m.cutAt = true, true, time.Now()
				s.note("CUT    what %s sends to the machines of the system is lost", m.id)
				s.world.mu.Unlock()
			}
			time.Sleep(gap)
			j := &job{ID: newID(), Spec: "gang", queue: "cut", key: "key-ward", Steps: []step{{Count: 6, CPU: 2500, Mem: 1000, Estimate: 1000, Gang: true, work: time.Second}}}
			if ok, _ := s.submit(j); !ok {
				s.finish(2)
			}
			if trouble {
				time.AfterFunc(3*time.Second, func() {
					s.world.mu.Lock()
					m.crash()
					m.reset()
					m.beat()
					s.note("CRASH  %s ends and starts again behind the cut, life %d", m.id, m.lives)
					s.world.mu.Unlock()
				})
				time.AfterFunc(3500*time.Millisecond, func() {
					s.world.mu.Lock()
					m.cut = false
					s.note("HEALED %s", m.id)
					s.world.mu.Unlock()
				})
			}
			var shown time.Time
			for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if st, _ := s.state(j); st == "completed" && shown.IsZero() {
					shown = time.Now()
					s.note("GET    job %s is shown as completed", j.ID)
				}
			}
			s.world.mu.Lock()
			for _, e := range s.events {
				if e.kind == "start" && e.task[:16] == j.ID && !shown.IsZero() && e.at.After(shown.Add(time.Second)) {
					s.breaks("TWICE: %s starts %v after its job was shown as completed", e.task, e.at.Sub(shown).Round(time.Millisecond))
				}
			}
			s.world.mu.Unlock()
		}
	}
}

// gangRound hands in one gang and, with trouble, cuts off the minion that begins the first of its members.
func (s *site) gangRound(ms []*minion, trouble bool) {
	j := &job{ID: newID(), Spec: "gang", queue: "cut", key: "key-ward", Steps: []step{{Count: 3, CPU: 3000, Mem: 1000, Estimate: 1200, Gang: true, work: 1200 * time.Millisecond}}}
	cutAt := make(chan *minion, 1)
	if trouble {
		s.world.mu.Lock()
		for _, m := range ms {
			m.onStart = func(task string, _ int) {
				if task[:16] != j.ID {
					return
				}
				for _, x := range ms {
					x.onStart = nil
				}
				m.cut, m.cutStore = true, os.Getenv("CUT_STORE") == "1"
				s.note("CUT    %s is cut off from all machines of the system; it runs on", m.id)
				cutAt <- m
			}
		}
		s.world.mu.Unlock()
	}
	if ok, _ := s.submit(j); !ok {
		s.finish(2)
	}
	if trouble {
		m := <-cutAt
		time.AfterFunc(2500*time.Millisecond, func() {
			s.world.mu.Lock()
			m.crash()
			m.reset()
			m.beat()
			s.note("CRASH  %s ends and starts again behind the cut, life %d", m.id, m.lives)
			s.world.mu.Unlock()
		})
		time.AfterFunc(3*time.Second, func() {
			s.world.mu.Lock()
			m.cut = false
			m.beat()
			s.note("HEALED %s", m.id)
			s.world.mu.Unlock()
		})
	}
	var shown time.Time
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if st, _ := s.state(j); st == "completed" && shown.IsZero() {
			shown = time.Now()
			s.note("GET    job %s is shown as completed", j.ID)
		}
	}
	if shown.IsZero() {
		s.note("the job was not shown as completed in time")
		return
	}
	s.world.mu.Lock()
	for _, e := range s.events {
		if e.kind == "start" && e.task[:16] == j.ID && e.at.After(shown.Add(time.Second)) {
			s.breaks("TWICE: %s starts %v after its job was shown as completed", e.task, e.at.Sub(shown).Round(time.Millisecond))
		}
	}
	s.world.mu.Unlock()
}
