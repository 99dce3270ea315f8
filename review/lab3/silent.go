//go:build review3

package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// silent: a search. All open channels of the system's machines go silent at once, and new ones work.
func init() {
	cases["silent"] = func(s *site, trouble bool) {
		tenants := []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}}
		queues := map[string]string{"cut": "carve"}
		s.configure(queues, []string{"carve"}, "", tenants)
		var ps []*proxy
		var pmu sync.Mutex
		mk := func(to string) string {
			p := newProxy(to)
			pmu.Lock()
			ps = append(ps, p)
			pmu.Unlock()
			return p.addr
		}
		which := os.Getenv("WHICH")
		if which == "" || which == "minions" {
			s.via = mk
		}
		for i := range 6 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{8000, 16384, 0}); err != nil {
				panic(err)
			}
		}
		direct, cloud := s.storeURL, s.cloudURL
		for i := range 4 {
			if which == "" || which == "store" {
				s.storeURL = mk(direct)
			}
			s.cloudURL = mk(cloud)
			d := &daemon{name: fmt.Sprintf("front-%d", i), zone: []string{"hall", "room", "bay", "hall"}[i], front: freeAddr(), ready: freeAddr(), peer: freeAddr(), metrics: freeAddr(), storeAddr: s.storeURL, cloudAddr: s.cloudURL}
			if which == "" || which == "peers" {
				d.peerAddr = mk(d.peer)
			}
			d.settings, d.log = s.dir+"/"+d.name+".toml", s.dir+"/"+d.name+".log"
			s.mu2.Lock()
			s.daemons = append(s.daemons, d)
			s.mu2.Unlock()
			s.launch(d)
		}
		s.awaitReady(4)
		type res struct {
			at, took time.Duration
			what     string
			status   int
		}
		var mu sync.Mutex
		var all []res
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for k := range 6 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					d := s.daemons[k%4]
					j := &job{ID: newID(), Spec: "x", queue: "cut", key: "key-ward", Steps: []step{{Count: 2, CPU: 500, work: 700 * time.Millisecond}}}
					s.world.mu.Lock()
					s.jobs[j.ID] = j
					s.world.mu.Unlock()
					t := time.Now()
					st, _ := s.call(context.Background(), d, "POST", "/cut/"+j.ID, j.key, jsonText(j))
					mu.Lock()
					all = append(all, res{time.Since(s.world.began), time.Since(t), "POST", st})
					mu.Unlock()
					t = time.Now()
					if st == 200 && k == 0 {
						st, _ = s.call(context.Background(), d, "DELETE", "/cut/"+j.ID, j.key, nil)
						mu.Lock()
						all = append(all, res{time.Since(s.world.began), time.Since(t), "DELETE", st})
						mu.Unlock()
					}
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
		time.Sleep(4 * time.Second)
		for round := range 3 {
			if trouble {
				n := 0
				pmu.Lock()
				for _, p := range ps {
					n += p.stall()
				}
				pmu.Unlock()
				s.note("SILENT %d connections", n)
			}
			delay := []time.Duration{3000, 1000, 100}[round] * time.Millisecond
			time.Sleep(delay)
			q := fmt.Sprintf("new%d", round)
			queues[q] = "carve"
			s.configure(queues, []string{"carve"}, "", tenants)
			acked := time.Now()
			for _, d := range s.daemons {
				wg.Go(func() {
					for time.Since(acked) < 9*time.Second {
						st, _ := s.call(context.Background(), d, "GET", "/"+q+"/0123456789abcdef", "key-ward", nil)
						if st == 410 || st == 200 {
							s.note("CONFIG %s at %s after %v", q, d.name, time.Since(acked).Round(10*time.Millisecond))
							return
						}
						time.Sleep(50 * time.Millisecond)
					}
					s.note("CONFIG %s at %s not in 9 s", q, d.name)
				})
			}
			time.Sleep(10 * time.Second)
		}
		close(stop)
		wg.Wait()
		for _, r := range all {
			if r.took > 500*time.Millisecond || r.status != 200 {
				s.note("SLOW   %s at %v took %v: %d", r.what, r.at.Round(time.Millisecond), r.took.Round(time.Millisecond), r.status)
			}
		}
		s.world.mu.Lock()
		s.twice()
		s.world.mu.Unlock()
	}
}
