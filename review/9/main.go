//go:build review2

// The script of case 9: a job runs after its cancelling was answered with 410, because the write that
// stores it is carried out late.
package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/review/lab2"
	"boragepulley/standins/fleet"
)

const (
	// lostShare of the writes are carried out 1 to 6 s later and not answered, for troubleFor.
	lostShare  = 0.35
	troubleFor = 4 * time.Second
	// leaveShare of the callers leave within half of the objective of 600 ms.
	leaveShare = 0.35
	perSecond  = 48
	cancelMS   = 3 * time.Second
	contactMS  = 3 * time.Second
)

// lossy is a proxy in front of the store that loses answers while on is set.
type lossy struct {
	on   atomic.Bool
	mu   sync.Mutex
	rng  *rand.Rand // guarded by mu
	lost atomic.Int64
}

func (x *lossy) draw() (lost bool, late time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rng.Float64() < lostShare, time.Second + time.Duration(x.rng.Int64N(int64(5*time.Second)))
}

// start returns the address of a proxy of the store.
func (x *lossy) start(store string) (string, error) {
	target := &url.URL{Scheme: "http", Host: store}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if lost, late := x.draw(); r.URL.Path == "/-/rows-tx" && x.on.Load() && lost {
				body, err := io.ReadAll(r.Body)
				if err == nil {
					x.lost.Add(1)
					time.AfterFunc(late, func() {
						if a, err := http.Post(target.String()+"/-/rows-tx", "application/json", bytes.NewReader(body)); err == nil {
							_ = a.Body.Close()
						}
					})
				}
				<-r.Context().Done() // the channel delivers nothing further
				panic(http.ErrAbortHandler)
			}
			proxy.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

type job struct {
	left    bool
	acked   time.Time
	status  int
	started []time.Time
}

type book struct {
	mu   sync.Mutex
	jobs map[string]*job
}

func (b *book) of(id string) *job {
	if b.jobs[id] == nil {
		b.jobs[id] = &job{}
	}
	return b.jobs[id]
}

func (b *book) event(e fleet.Event) {
	if e.Kind != fleet.RunBegan {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id, _, _ := strings.Cut(e.Task, ".")
	j := b.of(id)
	j.started = append(j.started, time.Now())
}

func main() {
	x := &lossy{rng: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7))}
	b := &book{jobs: map[string]*job{}}
	l, err := lab2.Start(lab2.Options{Record: os.Args[1], Entries: 3, Machines: lab2.Machines(9), Config: lab2.Config("short"), OnEvent: b.event,
		Work:     func(string, int) (time.Duration, jobs.End) { return 800 * time.Millisecond, jobs.EndDone },
		Need:     func(string) jobs.Resources { return jobs.Resources{CPU: 3500, MemoryMB: 1024} },
		StopTime: 400 * time.Millisecond, Stores: func(_, store string) (string, error) { return x.start(store) }})
	if err != nil {
		lab2.Fail("%v", err)
	}
	body := map[string]any{"spec": "payload", "steps": []map[string]any{{"count": 2, "cpu": 3500, "mem_mb": 1024, "estimate_ms": 800}}}
	time.Sleep(3 * time.Second)
	if l.Trouble {
		x.on.Store(true)
		l.Note("the store begins to lose answers of writes")
	}
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < troubleFor; i++ {
		id, leaves := fmt.Sprintf("%016x", 0x7000+i), rand.Float64() < leaveShare
		patience := 3 * time.Second
		if leaves {
			patience = 20*time.Millisecond + time.Duration(rand.Int64N(int64(280*time.Millisecond)))
		}
		wg.Go(func() {
			status, _ := l.CallAs(l.Entries[i%3], lab2.Key, "POST", "/short/"+id, body, patience)
			if !leaves || status != 0 {
				return
			}
			// The caller has left without an answer and withdraws the job.
			for n := 1; ; n++ {
				status, _ = l.Call(l.Entries[(i+n)%3], "DELETE", "/short/"+id, nil)
				if status >= 200 && status < 300 || status == 410 {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			j := b.of(id)
			j.left, j.acked, j.status = true, time.Now(), status
		})
		time.Sleep(time.Second / perSecond)
	}
	x.on.Store(false)
	ended := time.Now()
	l.Note("the store answers all writes again; %d were lost", x.lost.Load())
	wg.Wait()
	time.Sleep(12 * time.Second)
	b.mu.Lock()
	var broken []string
	withdrawn := 0
	for id, j := range b.jobs {
		if !j.left {
			continue
		}
		withdrawn++
		for _, at := range j.started {
			if at.After(j.acked.Add(cancelMS)) && at.After(ended.Add(contactMS)) {
				broken = append(broken, fmt.Sprintf("a task of %s starts %.1f s after its cancelling was answered with %d, %.1f s after the end of the trouble", id, at.Sub(j.acked).Seconds(), j.status, at.Sub(ended).Seconds()))
			}
		}
	}
	b.mu.Unlock()
	if len(broken) > 0 {
		l.Close("BROKEN UNASKED: " + strings.Join(broken, "; "))
		os.Exit(lab2.Broken)
	}
	l.Close(fmt.Sprintf("held; %d jobs withdrawn", withdrawn))
}
