//go:build review3

package main

import (
	"fmt"
	"syscall"
	"time"
)

// Further disruptions of the soak (MORE=1): minions that leave, machines whose address goes to another service, entry
// VMs that are replaced, configurations, a store that is slow or drops its history, and jobs that last.

// soakMore begins them.
func (s *site) soakMore(ms []*minion, rnd func(int) int, loop func(string, int, func()), services []string, add func(name, zone string)) {
	proof := "proof"
	s.world.mu.Lock()
	s.ever = map[string]map[string]bool{"cut": {"carve": true}, "read": {"proof": true}}
	s.world.mu.Unlock()
	ok := func(m *minion) bool { return !m.down && !m.cut && m.state == "up" && !m.draining }
	loop("leave", 6000, func() {
		m := ms[rnd(len(ms))]
		s.world.mu.Lock()
		if !ok(m) {
			s.world.mu.Unlock()
			return
		}
		id := m.id
		m.draining, m.goneAt = true, time.Now().Add(2500*time.Millisecond)
		m.beat()
		s.note("LEAVES %s", m.id)
		s.world.mu.Unlock()
		time.Sleep(2600 * time.Millisecond)
		s.world.mu.Lock()
		if m.id != id || m.state != "up" || !m.draining {
			s.world.mu.Unlock()
			return
		}
		m.crash()
		m.state = "down"
		m.listed = false
		s.st.remove(rowName{"servers", "", id})
		s.note("GONE   %s", id)
		s.world.mu.Unlock()
		time.Sleep(time.Duration(1000+rnd(3000)) * time.Millisecond)
		s.world.mu.Lock()
		m.state = "up"
		m.id = fmt.Sprintf("i-%s-%d", m.machine, m.lives)
		m.reset()
		m.beat()
		s.note("NEW    %s", m.id)
		s.world.mu.Unlock()
	})
	loop("reuse", 9000, func() {
		m := ms[rnd(len(ms))]
		s.world.mu.Lock()
		if !ok(m) {
			s.world.mu.Unlock()
			return
		}
		old := m.id
		m.crash()
		m.state, m.listed = "gone", false
		left := 3*beatInterval - time.Since(m.reported)
		s.note("LOST   %s for good", old)
		s.world.mu.Unlock()
		time.AfterFunc(left, func() { s.st.remove(rowName{"servers", "", old}) })
		time.Sleep(time.Duration(2000+rnd(2000)) * time.Millisecond)
		s.world.mu.Lock()
		m.machine += "x"
		m.pool = services[rnd(len(services))]
		m.state = "up"
		m.id = fmt.Sprintf("i-%s-%d", m.machine, m.lives)
		m.reset()
		m.beat()
		s.note("REUSE  the address of %s is that of %s, of %s", old, m.id, m.pool)
		s.world.mu.Unlock()
	})
	n := 0
	loop("replace", 12000, func() {
		d := s.daemons[rnd(len(s.daemons))]
		if h := s.holder(); h != nil && rnd(2) == 0 {
			d = h
		}
		s.mu2.Lock()
		alive := d.alive && !d.gone
		if alive {
			d.gone = true
		}
		s.mu2.Unlock()
		if !alive {
			return
		}
		s.signal(d, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[rnd(2)])
		time.Sleep(time.Duration(rnd(3000)) * time.Millisecond)
		n++
		add(fmt.Sprintf("front-n%d", n), d.zone)
		select {
		case <-d.exited:
		case <-time.After(7 * time.Second):
			s.signal(d, syscall.SIGKILL)
		}
	})
	loop("config", 7000, func() {
		if rnd(2) == 0 {
			proof = map[string]string{"proof": "carve", "carve": "proof"}[proof]
		}
		s.world.mu.Lock()
		s.ever["read"][proof] = true
		s.world.mu.Unlock()
		s.configure(map[string]string{"cut": "carve", "read": proof, fmt.Sprintf("q%d", rnd(9)): "carve"}, services, "spare", []map[string]any{
			{"name": "ward", "api_keys": []string{"key-ward", fmt.Sprintf("key-%d", rnd(99))}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "floor", "api_keys": []string{"key-floor"}, "weight": 1 + rnd(9), "cap": map[string]any{"cpu": 20000 + rnd(50000), "mem_mb": 0, "gpu": 0}}})
	})
	loop("compact", 5000, func() {
		s.st.compact()
		s.note("STORE  has dropped its history")
	})
	loop("slow", 12000, func() {
		s.note("STORE  slow")
		s.st.slow.Store(int64(200 * time.Millisecond))
		time.Sleep(time.Duration(500+rnd(3500)) * time.Millisecond)
		s.st.slow.Store(0)
		s.note("STORE  not slow any more")
	})
	loop("hup", 8000, func() { s.signal(s.daemons[rnd(len(s.daemons))], syscall.SIGHUP) })
}

// stays reports whether there is a machine of this name. world.mu is held.
func (s *site) stays(name string) bool {
	for _, m := range s.world.minions {
		if m.machine == name {
			return true
		}
	}
	return false
}

// lasting looks at the jobs that last, after the disruptions: 16 s later each of their tasks has a run, and when they
// have been cancelled they have none 5 s later.
func (s *site) lasting(each func(func(j *job))) {
	var list []*job
	each(func(j *job) { list = append(list, j) })
	if len(list) == 0 {
		return
	}
	running := func() map[string]bool {
		out := map[string]bool{}
		for _, m := range s.world.minions {
			if !m.down {
				for t := range m.runs {
					out[t] = true
				}
			}
		}
		return out
	}
	time.Sleep(16 * time.Second)
	s.world.mu.Lock()
	on := running()
	for _, j := range list {
		for i := range j.Steps[0].Count {
			if t := fmt.Sprintf("%s.0.0.%d", j.ID, i); !on[t] {
				s.breaks("LOST?: %s, which lasts, has no run", t)
			}
		}
	}
	s.world.mu.Unlock()
	for _, j := range list {
		if !s.cancel(j) {
			s.note("cancelling of %s not acknowledged", j.ID)
		}
	}
	time.Sleep(5 * time.Second)
	s.world.mu.Lock()
	on = running()
	for _, j := range list {
		for i := range j.Steps[0].Count {
			if t := fmt.Sprintf("%s.0.0.%d", j.ID, i); on[t] {
				s.breaks("UNASKED?: %s runs on after its cancelling", t)
			}
		}
	}
	s.world.mu.Unlock()
}
