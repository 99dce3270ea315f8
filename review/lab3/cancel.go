//go:build review3

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// cancel: the answer to the write of a job is lost and the write is carried out seconds later. The requester leaves
// before its deadline and cancels the job, which is acknowledged. The job must not run after that.
func init() {
	cases["cancel"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 4 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", fmt.Sprintf("r%d", i/2), resources{4000, 8192, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		warm := &job{ID: newID(), Spec: "warm", queue: "cut", key: "key-ward", Steps: []step{{Count: 8, CPU: 1000, Mem: 100, Estimate: 300, PerMin: 2, work: 300 * time.Millisecond}}}
		s.submit(warm)
		s.await("the first job", 20*time.Second, func() bool { st, _ := s.state(warm); return st == "completed" })
		time.Sleep(4 * time.Second) // calm for contact_ms before

		j := &job{ID: newID(), Spec: "cancelled", queue: "cut", key: "key-ward", Steps: []step{{Count: 2, CPU: 1000, Mem: 100, Estimate: 500, work: 500 * time.Millisecond}}}
		s.world.mu.Lock()
		s.jobs[j.ID] = j
		s.world.mu.Unlock()
		const lateBy = 5500 * time.Millisecond
		var h *daemon
		if h = s.holder(); h == nil {
			s.finish(2)
		}
		var d *daemon
		for _, x := range s.daemons {
			if x != h {
				d = x
			}
		}
		lost := make(chan bool, 1)
		if trouble {
			// The store loses the answers to the writes of one machine for 0.4 s.
			until := time.Now().Add(400 * time.Millisecond)
			s.st.decide = func(write bool, client string) (fault, time.Duration) {
				if !write || time.Now().After(until) || !strings.HasSuffix(client, "/"+d.name) {
					return faultNone, 0
				}
				s.note("STORE  the answer to a write of %s is lost; it is carried out %v later", client, lateBy)
				select {
				case lost <- true:
				default:
				}
				return faultLate, lateBy
			}
		}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(300*time.Millisecond, leave)
		status, _ := s.call(ctx, d, "POST", "/cut/"+j.ID, j.key, jsonText(j))
		s.note("POST   job %s at %s: %d (the requester leaves after 300 ms)", j.ID, d.name, status)
		if trouble && len(lost) == 0 {
			s.finish(2)
		}
		var acked time.Time
		for range 5 {
			time.Sleep(200 * time.Millisecond)
			x := s.pick()
			status, _ := s.call(context.Background(), x, "DELETE", "/cut/"+j.ID, j.key, nil)
			s.note("DELETE job %s at %s: %d", j.ID, x.name, status)
			if status/100 == 2 || status == 410 {
				acked = time.Now()
				break
			}
		}
		if acked.IsZero() {
			s.finish(2)
		}
		time.Sleep(12 * time.Second)
		st, status := s.state(j)
		s.note("GET    job %s: %d %q", j.ID, status, st)
		s.world.mu.Lock()
		for _, e := range s.events {
			if e.kind == "start" && strings.HasPrefix(e.task, j.ID) && e.at.After(acked.Add(3*time.Second)) {
				s.breaks("UNASKED: %s starts on %s %v after the cancelling of its job was acknowledged", e.task, e.minion, e.at.Sub(acked).Round(time.Millisecond))
			}
		}
		s.world.mu.Unlock()
	}
}
