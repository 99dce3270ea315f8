//go:build review3

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// feed: the leader is killed, on machines with a link of 10 Mbit/s. The next one reads its tables for some seconds. Jobs
// that are accepted meanwhile, and cancellings, reach it only as changes of the store's table of jobs.
func init() {
	cases["feed"] = func(s *site, trouble bool) {
		number := func(name string, otherwise float64) float64 {
			if v, err := strconv.ParseFloat(os.Getenv("LAB_"+name), 64); err == nil {
				return v // for searches
			}
			return otherwise
		}
		s.kind = kind{1200, 6000, 0.192, 10, 184, 10000}
		maxHold, stopTime, gangTimeout, restoreTime = 10*time.Second, 200*time.Millisecond, 4*time.Second, 600*time.Millisecond
		s.st.keeps = 20 * time.Second
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 1000, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 16 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", []string{"hall", "room", "bay"}[i%3], fmt.Sprintf("r%d", i/4), resources{64000, 131072, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 6 {
			p := newProxy(s.storeURL)
			p.down, p.up = &bandwidth{rate: s.kind.mbps * 1e6 / 8}, &bandwidth{rate: s.kind.mbps * 1e6 / 8}
			s.addDaemonVia(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i%3], p.addr)
		}
		s.st.onFeed = func(client, table string, after uint64, rows, bytes int) {
			if table == "job" && bytes > 200000 {
				s.note("FEED   %s, after %d: %d rows, %d bytes", client, after, rows, bytes)
			}
		}
		s.awaitReady(6)
		var lasting []*job
		for range 10 {
			j := &job{ID: newID(), Spec: "lasts", queue: "cut", key: "key-ward", Steps: []step{{Count: 3, CPU: 1000, Mem: 100, Estimate: 1000, Lasts: true}}}
			if ok, _ := s.submit(j); !ok {
				s.finish(2)
			}
			lasting = append(lasting, j)
		}
		time.Sleep(2 * time.Second)
		type handed struct {
			j        *job
			accepted bool
			at       time.Time
		}
		var mu sync.Mutex
		var all []*handed
		var wg sync.WaitGroup
		text := strings.Repeat("x", int(number("SPEC", 2400)))
		hand := func(d time.Duration, perSecond float64) {
			tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer tick.Stop()
			for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
				h := &handed{j: &job{ID: newID(), Spec: text, queue: "cut", key: "key-ward", Steps: []step{{Count: 2, CPU: 1000, Mem: 100, Estimate: 300, work: 300 * time.Millisecond}}}}
				mu.Lock()
				all = append(all, h)
				mu.Unlock()
				wg.Go(func() {
					ok, _ := s.submit(h.j)
					mu.Lock()
					h.accepted, h.at = ok, time.Now()
					mu.Unlock()
				})
			}
		}
		seconds := func(name string, otherwise float64) time.Duration {
			return time.Duration(number(name, otherwise) * float64(time.Second))
		}
		// Jobs that are due much later make the tables longer.
		for i := range int(number("TIMED", 1750)) {
			j := &job{ID: newID(), Spec: text, queue: "cut", key: "key-ward", Repeat: 1, First: time.Now().Add(10 * time.Minute).UnixMilli(), Interval: 1000,
				Steps: []step{{Count: 2, CPU: 1000, Mem: 100, Estimate: 300, work: 300 * time.Millisecond}}}
			wg.Go(func() { s.submit(j) })
			if i%2 == 1 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		wg.Wait()
		s.note("the jobs before were of one occurrence, due 10 minutes later; each job has one step of two tasks and a spec of %d bytes", len(text))
		hand(seconds("T1", 6), number("RATE1", 80))
		if trouble {
			old := s.holder()
			if old == nil {
				s.finish(2)
			}
			s.signal(old, syscall.SIGKILL)
			time.AfterFunc(3500*time.Millisecond, func() { s.launch(old) })
			if x := number("SLOW", 0); x > 0 {
				s.st.slow.Store(int64(float64(storeTime) * (x - 1)))
				s.note("STORE  its answers take %v times as long", x)
				time.AfterFunc(4500*time.Millisecond, func() {
					s.st.slow.Store(0)
					s.note("STORE  not slow any more")
				})
			}
		}
		cancelled := map[*job]time.Time{}
		time.AfterFunc(seconds("CANCEL", 7), func() {
			for _, j := range lasting[:6] {
				if s.cancel(j) {
					mu.Lock()
					cancelled[j] = time.Now()
					mu.Unlock()
				}
			}
		})
		hand(seconds("T2", 4), number("RATE1", 80))
		hand(seconds("T3", 6), number("RATE3", 110))
		hand(seconds("T4", 0), number("RATE1", 80))
		wg.Wait()
		s.note("QUIET")
		time.Sleep(14*time.Second + seconds("WAIT", 0))
		// For 3 s: which jobs have nothing running, how much of the service's capacity is in use at most, and whether
		// there is room for a task twice over all the while.
		mu.Lock()
		waiting := map[string]bool{}
		accepted := 0
		for _, h := range all {
			if h.accepted {
				accepted++
				waiting[h.j.ID] = true
			}
		}
		mu.Unlock()
		most, room := 0.0, true
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			s.world.mu.Lock()
			var used, all int64
			roomy := false
			for _, m := range s.world.minions {
				var on int64
				for _, r := range m.runs {
					on += r.need.CPU
					delete(waiting, r.name.job)
				}
				used, all = used+on, all+m.capacity.CPU
				roomy = roomy || m.capacity.CPU-on >= 2*1000
			}
			most, room = max(most, float64(used)/float64(all)), room && roomy
			s.world.mu.Unlock()
		}
		s.world.mu.Lock()
		begun, done := map[string]bool{}, map[string]map[string]bool{}
		for _, e := range s.events {
			n, _ := parseTask(e.task)
			switch {
			case e.kind == "start":
				begun[n.job] = true
			case e.how == "done":
				if done[n.job] == nil {
					done[n.job] = map[string]bool{}
				}
				done[n.job][e.task] = true
			}
		}
		s.world.mu.Unlock()
		idle, never := 0, 0
		for id := range waiting {
			if len(done[id]) == 2 {
				continue // both of its tasks have ended as done
			}
			idle++
			if !begun[id] {
				never++
			}
			if idle <= 3 {
				st, status := s.state(&job{ID: id, queue: "cut", key: "key-ward"})
				s.note("GET    job %s: %q %d", id, st, status)
			}
		}
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		s.note("handed in %d, accepted %d; with nothing running for 3 s and not done: %d, of which %d never began; capacity in use at most %.3f, room for a task twice over: %v",
			len(all), accepted, idle, never, most, room)
		if idle > 0 && most < 0.5 && room {
			s.breaks("LOST: %d of %d accepted jobs have had nothing running for 3 s, %v after the end of the traffic", idle, accepted, 17*time.Second+seconds("WAIT", 0))
		}
		for j, at := range cancelled {
			for _, m := range s.world.minions {
				for _, r := range m.runs {
					if r.name.job == j.ID {
						s.breaks("UNASKED: %s runs %v after the cancelling of its job was acknowledged", r.task, time.Since(at).Round(time.Millisecond))
					}
				}
			}
		}
		if len(cancelled) < 6 {
			s.note("only %d jobs were cancelled", len(cancelled))
		}
	}
}
