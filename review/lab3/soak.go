//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soak: many jobs of all kinds under random disruptions, to look for broken rules. It is not a case.
func init() {
	cases["soak"] = func(s *site, trouble bool) {
		seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
		r := rand.New(rand.NewPCG(seed, 7))
		var rmu sync.Mutex
		rnd := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return r.IntN(n) }
		kinds := os.Getenv("FAULTS")    // empty: all
		more := os.Getenv("MORE") != "" // jobs and disruptions of the last sitting
		s.anyClock = os.Getenv("CLOCKS") != ""
		services := []string{"carve", "proof", "spare"}
		s.configure(map[string]string{"cut": "carve", "read": "proof"}, services, "spare", []map[string]any{
			{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "floor", "api_keys": []string{"key-floor"}, "weight": 5, "cap": map[string]any{"cpu": 60000, "mem_mb": 0, "gpu": 0}}})
		var ms []*minion
		for i := range 14 {
			m, err := s.addMachine(fmt.Sprintf("m%d", i), services[i%3], []string{"hall", "room", "bay"}[i%3], fmt.Sprintf("r%d", i/4), resources{8000, 16384, 0})
			if err != nil {
				panic(err)
			}
			if i%4 == 1 {
				m.rate = 0.98
			}
			m.lateOutlives = os.Getenv("OUTLIVE") != ""
			ms = append(ms, m)
		}
		proxies := map[*daemon]*proxy{}
		for i := range 4 {
			p := newProxy(s.storeURL)
			s.storeURL = p.addr
			d := s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay", "hall"}[i])
			s.storeURL = p.to
			proxies[d] = p
		}
		var pmu sync.Mutex
		proxyOf := func(d *daemon) *proxy { pmu.Lock(); defer pmu.Unlock(); return proxies[d] }
		s.awaitReady(4)
		type handed struct {
			j                   *job
			accepted, rejected  bool
			at, cancelAt, shown time.Time
			cancelled           bool
			wrong, odd          string
			first               time.Time // when it was first shown as completed
		}
		var hmu sync.Mutex
		var all []*handed
		var wg sync.WaitGroup
		begin := time.Now()
		length := 60 * time.Second
		if more {
			length = 45 * time.Second
		}
		mk := func() *job {
			q := []string{"cut", "read"}[rnd(2)]
			j := &job{ID: newID(), queue: q, key: []string{"key-ward", "key-floor"}[rnd(2)]}
			j.Spec = "spec-" + j.ID
			ms := func(lo, hi int) time.Duration { return time.Duration(lo+rnd(hi-lo)) * time.Millisecond }
			n := 1 + rnd(3)
			if os.Getenv("MIX") == "gang" {
				for i := range n {
					st := step{Count: 2 + rnd(3), CPU: int64(200 + rnd(1500)), Mem: 100, Estimate: 500, Gang: true, work: ms(50, 1200), Saves: rnd(3) == 0}
					if i > 0 {
						st.After = []int{i - 1}
					}
					j.Steps = append(j.Steps, st)
				}
				return j
			}
			if more && rnd(16) == 0 {
				j.key = "key-ward"
				j.Steps = []step{{Count: 1 + rnd(4), CPU: int64(200 + rnd(900)), Mem: 100, Estimate: 800, Lasts: true, MayMiss: rnd(2), Saves: rnd(2) == 0}}
				return j
			}
			for i := range n {
				st := step{Count: 1 + rnd(6), CPU: int64(200 + rnd(900)), Mem: 100, Estimate: 800, work: ms(200, 1500)}
				if i > 0 && rnd(4) > 0 {
					st.After = []int{i - 1}
				}
				switch rnd(6) {
				case 0, 1:
					st.Gang = true
					st.Count = 2 + rnd(5)
					st.CPU = int64(200 + rnd(3000))
					st.Saves = rnd(2) == 0
					if st.Saves {
						st.work = ms(800, 3000)
					}
				case 2:
					st.Saves = true
					st.work = ms(1000, 2500)
				case 3:
					st.PerMin = 1 + rnd(2)
					st.Count = min(st.Count, 4)
				case 4:
					if rnd(3) == 0 {
						st.failing = 1
					}
				}
				if more && !st.Gang {
					switch rnd(8) {
					case 0:
						st.Spec = true
					case 1:
						st.Fills = true
					case 2:
						st.Label = "a"
					case 3:
						st.Affinity = fmt.Sprintf("r%d", rnd(4))
					}
				}
				j.Steps = append(j.Steps, st)
			}
			if rnd(5) == 0 {
				j.Repeat, j.First, j.Interval = 2+rnd(4), time.Now().UnixMilli()+int64(rnd(4000)), int64(500+rnd(3000))
				for i := range j.Steps {
					j.Steps[i].failing = 0
				}
			}
			return j
		}
		for range 5 {
			wg.Go(func() {
				for time.Since(begin) < length {
					h := &handed{j: mk()}
					hmu.Lock()
					all = append(all, h)
					hmu.Unlock()
					s.note("BODY   %s %s %s %s", h.j.ID, h.j.queue, h.j.key, jsonText(h.j))
					a, r := s.submit(h.j)
					hmu.Lock()
					h.accepted, h.rejected, h.at = a, r, time.Now()
					hmu.Unlock()
					if h.accepted && rnd(8) == 0 {
						time.Sleep(time.Duration(rnd(1500)) * time.Millisecond)
						hmu.Lock()
						h.cancelled = true
						hmu.Unlock()
						if s.cancel(h.j) {
							h.cancelAt = time.Now()
						}
					}
					time.Sleep(time.Duration(900+rnd(1200)) * time.Millisecond)
				}
			})
		}
		// States that are shown while the faults go on.
		for range 3 {
			wg.Go(func() {
				for time.Since(begin) < length {
					time.Sleep(time.Duration(20+rnd(200)) * time.Millisecond)
					hmu.Lock()
					if len(all) == 0 {
						hmu.Unlock()
						continue
					}
					h := all[rnd(len(all))]
					old, accepted, cancelled := time.Since(h.at), h.accepted, h.cancelled
					hmu.Unlock()
					if !accepted || h.j.Steps[0].Lasts {
						continue
					}
					asked := time.Now()
					st, status := s.state(h.j)
					hmu.Lock()
					if !cancelled && !h.cancelled && old > 3*time.Second && (status == 410 || st == "failed" || st == "cancelled") {
						s.note("SHOWN? job %s, asked at %d, is shown as %q, %d", h.j.ID, asked.Sub(s.world.began).Milliseconds(), st, status)
						if h.odd == "" {
							h.odd = fmt.Sprintf("%s %d", st, status)
						}
					}
					if st == "completed" && h.first.IsZero() {
						h.first = time.Now()
					}
					if st != "" && st != "completed" && !h.first.IsZero() && asked.After(h.first) {
						s.note("SHOWN? job %s is shown as %q after it was shown as completed", h.j.ID, st)
					}
					hmu.Unlock()
				}
			})
		}
		stopFaults := make(chan struct{})
		pace := time.Duration(1)
		if os.Getenv("MIX") == "gang" {
			pace = 3
		}
		has := func(k string) bool { return kinds == "" || strings.Contains(kinds, k) }
		var fw sync.WaitGroup
		if trouble {
			lose := struct {
				sync.Mutex
				f     fault
				share int
				until time.Time
				who   string
			}{}
			s.st.decide = func(write bool, client string) (fault, time.Duration) {
				lose.Lock()
				defer lose.Unlock()
				if time.Now().After(lose.until) || lose.who != "" && !strings.Contains(client, lose.who) || rnd(100) >= lose.share {
					return faultNone, 0
				}
				if !write && (lose.f == faultLate || lose.f == faultLost) {
					return faultNone, 0
				}
				return lose.f, time.Duration(1000+rnd(5000)) * time.Millisecond
			}
			loop := func(kind string, pause int, f func()) {
				if !has(kind) {
					return
				}
				fw.Go(func() {
					for {
						select {
						case <-stopFaults:
							return
						case <-time.After(time.Duration(1000+rnd(pause)) / pace * time.Millisecond):
						}
						f()
					}
				})
			}
			loop("cut", 3000, func() {
				m := ms[rnd(len(ms))]
				reborn := rnd(2) == 0
				d := time.Duration(300+rnd(5000)) * time.Millisecond
				s.world.mu.Lock()
				if m.down || m.cut || m.state != "up" {
					s.world.mu.Unlock()
					return
				}
				m.cut, m.cutStore = true, rnd(2) == 0 && os.Getenv("OUTLIVE") == ""
				id := m.id
				s.note("CUT    %s for %v, reborn %v", m.id, d, reborn)
				s.world.mu.Unlock()
				if reborn {
					time.Sleep(time.Duration(rnd(int(d))))
					s.world.mu.Lock()
					if m.id == id && m.state == "up" {
						m.crash()
						m.reset()
						s.note("REBORN %s life %d", m.id, m.lives)
					}
					s.world.mu.Unlock()
				}
				time.Sleep(d / 2)
				s.world.mu.Lock()
				m.cut = false
				m.beat()
				s.note("HEALED %s", m.id)
				s.world.mu.Unlock()
			})
			loop("crash", 3000, func() {
				m := ms[rnd(len(ms))]
				s.world.mu.Lock()
				if m.down || m.cut || m.state != "up" {
					s.world.mu.Unlock()
					return
				}
				id := m.id
				m.crash()
				m.down = true
				s.note("CRASH  %s", m.id)
				s.world.mu.Unlock()
				time.Sleep(time.Duration(50+rnd(3000)) * time.Millisecond)
				s.world.mu.Lock()
				if m.id == id {
					m.down = false
					m.reset()
					m.beat()
					s.note("AGAIN  %s life %d", m.id, m.lives)
				} else {
					m.down = false
				}
				s.world.mu.Unlock()
			})
			loop("late", 5000, func() {
				s.world.mu.Lock()
				end := time.Now().Add(5 * time.Second)
				for _, m := range ms {
					m.late = func(op string) time.Duration {
						if time.Now().After(end) || rnd(100) >= 20 || op == "hold" && rnd(4) > 0 {
							return 0
						}
						return time.Duration(2000+rnd(10000)) * time.Millisecond
					}
				}
				s.note("LATE   orders for 5 s")
				s.world.mu.Unlock()
				time.Sleep(5 * time.Second)
			})
			loop("mute", 2000, func() {
				m := ms[rnd(len(ms))]
				s.world.mu.Lock()
				if m.down || m.cut || m.mute || m.state != "up" {
					s.world.mu.Unlock()
					return
				}
				m.mute = true
				id := m.id
				s.note("MUTE   %s", m.id)
				s.world.mu.Unlock()
				time.Sleep(time.Duration(500+rnd(3000)) * time.Millisecond)
				s.world.mu.Lock()
				if m.id == id && m.state == "up" && !m.down && rnd(3) > 0 {
					m.crash()
					m.reset()
					m.beat()
					s.note("REBORN %s life %d, mute", m.id, m.lives)
				}
				s.world.mu.Unlock()
				time.Sleep(time.Duration(rnd(1500)) * time.Millisecond)
				s.world.mu.Lock()
				m.mute = false
				s.note("SOUND  %s", m.id)
				s.world.mu.Unlock()
			})
			loop("answers", 4000, func() {
				s.world.mu.Lock()
				end := time.Now().Add(5 * time.Second)
				for _, m := range ms {
					m.loses = func(op string) bool { return time.Now().Before(end) && rnd(100) < 10 }
				}
				s.note("LOST   answers for 5 s")
				s.world.mu.Unlock()
				time.Sleep(5 * time.Second)
			})
			loop("kill", 6000, func() {
				d := s.daemons[rnd(len(s.daemons))]
				if h := s.holder(); h != nil && rnd(2) == 0 {
					d = h
				}
				s.mu2.Lock()
				alive := d.alive
				s.mu2.Unlock()
				if !alive {
					return
				}
				sig := syscall.SIGKILL
				if rnd(3) == 0 {
					sig = syscall.SIGTERM
				}
				if d.gone {
					return
				}
				s.signal(d, sig)
				select {
				case <-d.exited:
				case <-time.After(6 * time.Second):
					s.signal(d, syscall.SIGKILL)
					<-d.exited
				}
				time.Sleep(time.Duration(300+rnd(3000)) * time.Millisecond)
				if !d.gone {
					s.launch(d)
				}
			})
			loop("freeze", 8000, func() {
				d := s.daemons[rnd(len(s.daemons))]
				if h := s.holder(); h != nil && rnd(2) == 0 {
					d = h
				}
				s.signal(d, syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rnd(4000)) * time.Millisecond)
				s.signal(d, syscall.SIGCONT)
			})
			loop("storecut", 8000, func() {
				d := s.daemons[rnd(len(s.daemons))]
				if h := s.holder(); h != nil && rnd(2) == 0 {
					d = h
				}
				s.note("STORE  %s cut from the store", d.name)
				proxyOf(d).set(true)
				time.Sleep(time.Duration(500+rnd(5000)) * time.Millisecond)
				proxyOf(d).set(false)
				s.note("STORE  %s reaches the store", d.name)
			})
			loop("store", 9000, func() {
				lose.Lock()
				lose.f = []fault{faultLate, faultLost, faultBusy, faultSilent}[rnd(4)]
				lose.share = 35
				if lose.f >= faultSilent {
					lose.share = 100
				}
				lose.until = time.Now().Add(time.Duration(1000+rnd(3500)) * time.Millisecond)
				lose.who = ""
				if rnd(3) == 0 {
					lose.who = fmt.Sprintf("front-%d", rnd(4))
				}
				s.note("STORE  fault %d, share %d, who %q until %v", lose.f, lose.share, lose.who, time.Until(lose.until))
				lose.Unlock()
				time.Sleep(4 * time.Second)
			})
			if more {
				s.soakMore(ms, rnd, loop, services, func(name, zone string) {
					p := newProxy(s.storeURL)
					pmu.Lock()
					d := s.addDaemonVia(name, zone, p.addr)
					proxies[d] = p
					pmu.Unlock()
				})
			}
			n := int64(0)
			loop("wave", 9000, func() {
				n++
				v := &wave{Wave: n, Duration: 20, Cap: 2, begun: map[string]bool{}}
				for _, m := range ms {
					if rnd(3) == 0 {
						v.Machines = append(v.Machines, m.machine)
					}
				}
				if len(v.Machines) == 0 {
					return
				}
				s.world.mu.Lock()
				s.waves[n] = v
				s.world.mu.Unlock()
				s.st.put(rowName{"op", "", fmt.Sprintf("wave/%d", n)}, jsonText(v))
				s.note("WAVE   %d %v", n, v.Machines)
			})
		}
		wg.Wait()
		close(stopFaults)
		fw.Wait()
		s.note("QUIET")
		s.lasting(func(f func(j *job)) {
			for _, h := range all {
				if h.accepted && !h.cancelled && h.j.Steps[0].Lasts {
					h.cancelled = true
					f(h.j)
				}
			}
		})
		// All jobs that nobody has cancelled end.
		end := time.Now().Add(35 * time.Second)
		for {
			open := 0
			hmu.Lock()
			list := append([]*handed{}, all...)
			hmu.Unlock()
			var pw sync.WaitGroup
			slots := make(chan struct{}, 16)
			var omu sync.Mutex
			for _, h := range list {
				if !h.accepted || !h.shown.IsZero() || h.cancelled {
					continue
				}
				pw.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					st, status := s.state(h.j)
					omu.Lock()
					defer omu.Unlock()
					switch {
					case status == 410:
						h.wrong = "410"
						h.shown = time.Now()
					case st == "completed":
						h.shown = time.Now()
					case st == "failed" || st == "cancelled":
						h.wrong = st
						h.shown = time.Now()
					default:
						open++
					}
				})
			}
			pw.Wait()
			if open == 0 || time.Now().After(end) {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		s.world.mu.Lock()
		defer s.world.mu.Unlock()
		s.twice()
		s.order()
		starts := map[string]int{}
		doneTasks := map[string]bool{}
		for _, e := range s.events {
			n, _ := parseTask(e.task)
			if e.kind == "start" {
				starts[n.job]++
			}
			if e.kind == "end" && e.how == "done" {
				doneTasks[e.task] = true
				if st := s.stepOf(n); st != nil && st.Gang {
					for i := range st.Count {
						doneTasks[fmt.Sprintf("%s.%d.%d.%d", n.job, n.occ, n.step, i)] = true
					}
				}
			}
		}
		for _, h := range all {
			if h.odd != "" && !h.cancelled {
				s.breaks("LOST?: %s was shown as %s", h.j.ID, h.odd)
			}
			switch {
			case h.rejected && !h.accepted && starts[h.j.ID] > 0:
				s.breaks("REFUSED: %s was rejected and %d tasks started", h.j.ID, starts[h.j.ID])
			case h.wrong != "" && h.wrong != "failed":
				s.breaks("LOST: %s is shown as %s", h.j.ID, h.wrong)
			case h.wrong == "failed":
				s.breaks("LOST?: %s is shown as failed", h.j.ID)
			case h.accepted && !h.cancelled && h.shown.IsZero():
				s.breaks("LOST: %s has not ended", h.j.ID)
			case !h.shown.IsZero() && !h.j.Steps[0].Lasts:
				for k := range max(1, h.j.Repeat) {
					for i, st := range h.j.Steps {
						for x := range st.Count {
							if t := fmt.Sprintf("%s.%d.%d.%d", h.j.ID, k, i, x); !doneTasks[t] {
								s.breaks("MIXED: %s is completed without %s", h.j.ID, t)
							}
						}
					}
				}
			}
			if !h.cancelAt.IsZero() {
				for _, e := range s.events {
					if e.kind == "start" && strings.HasPrefix(e.task, h.j.ID) && e.at.After(h.cancelAt.Add(3*time.Second)) {
						s.breaks("UNASKED?: %s starts %v after its job was cancelled", e.task, e.at.Sub(h.cancelAt))
					}
				}
			}
		}
		completed := 0
		for n, v := range s.waves {
			if !strings.Contains(string(s.st.value(rowName{"status", "", fmt.Sprintf("wave/%d", n)})), "completed") {
				continue
			}
			completed++
			for _, m := range v.Machines {
				if !v.begun[m] && s.stays(m) {
					s.breaks("MIXED: wave %d is shown as completed, and %s hasn't begun its upkeep", n, m)
				}
			}
		}
		s.note("jobs %d, events %d, waves %d, completed %d", len(all), len(s.events), len(s.waves), completed)
	}
}
