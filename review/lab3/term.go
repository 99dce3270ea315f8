//go:build review3

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// term: a search. Requesters with open channels call an entry VM that gets SIGTERM; none of their whole requests may
// end without an answer.
func init() {
	cases["term"] = func(s *site, trouble bool) {
		s.configure(map[string]string{"cut": "carve"}, []string{"carve"}, "", []map[string]any{{"name": "ward", "api_keys": []string{"key-ward"}, "weight": 10, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}}})
		for i := range 4 {
			if _, err := s.addMachine(fmt.Sprintf("m%d", i), "carve", "hall", "r0", resources{40000, 81920, 0}); err != nil {
				panic(err)
			}
		}
		for i := range 3 {
			s.addDaemon(fmt.Sprintf("front-%d", i), []string{"hall", "room", "bay"}[i])
		}
		s.awaitReady(3)
		d := s.daemons[0]
		if os.Getenv("LEADER") != "" {
			d = s.holder()
		}
		var termAt time.Time
		var mu sync.Mutex
		lost, total := 0, 0
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for k := range 60 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					c, err := net.Dial("tcp", d.front)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					br := bufio.NewReader(c)
					for {
						select {
						case <-stop:
							c.Close()
							return
						default:
						}
						id := newID()
						head, body := "", ""
						switch k % 3 {
						case 0:
							head = fmt.Sprintf("GET /cut/%s HTTP/1.1\r\nHost: jobs.example\r\nApi-Key: key-ward\r\n\r\n", id)
						default:
							s.world.mu.Lock()
							s.jobs[id] = &job{ID: id, Spec: "x", queue: "cut", key: "key-ward", Steps: []step{{Count: 1, CPU: 10, work: 50 * time.Millisecond}}}
							body = string(jsonText(s.jobs[id]))
							s.world.mu.Unlock()
							head = fmt.Sprintf("POST /cut/%s HTTP/1.1\r\nHost: jobs.example\r\nApi-Key: key-ward\r\nContent-Length: %d\r\n\r\n", id, len(body))
						}
						text := head + body
						if k%5 == 0 {
							_, _ = c.Write([]byte(text[:len(text)/2]))
							time.Sleep(time.Duration(rand.IntN(1200)) * time.Millisecond)
							text = text[len(text)/2:]
						}
						_, werr := c.Write([]byte(text))
						sent := time.Now()
						c.SetReadDeadline(sent.Add(4 * time.Second))
						r, err := http.ReadResponse(br, nil)
						mu.Lock()
						total++
						if err != nil && werr == nil {
							lost++
							s.note("NO ANSWER kind %d, sent %v after SIGTERM, ended %v after its last byte: %v", k, sent.Sub(termAt).Round(time.Millisecond), time.Since(sent).Round(time.Millisecond), err)
						}
						mu.Unlock()
						if err != nil {
							break
						}
						r.Body.Close()
						if r.Close {
							break
						}
						time.Sleep(time.Duration(rand.IntN([]int{10, 100, 900}[k%3])) * time.Millisecond)
					}
					c.Close()
				}
			})
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		if trouble {
			s.signal(d, syscall.SIGTERM)
			select {
			case <-d.exited:
			case <-time.After(7 * time.Second):
				s.note("still there after grace")
			}
		}
		time.Sleep(500 * time.Millisecond)
		close(stop)
		wg.Wait()
		s.note("requests %d, without answer %d", total, lost)
		fmt.Println("requests", total, "without answer", lost)
	}
}
