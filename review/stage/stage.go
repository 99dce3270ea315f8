//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the text of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// listen serves h on a free loopback port.
func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// freePort returns a port that is free now. It lies below those that the kernel gives to outgoing
// connections, so that it is still free when the process listens.
func freePort() (int, error) {
	for range 200 {
		port := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// entry is one entry VM: the program of the deploy file.
type entry struct {
	name, settings, log, front, ready string
	mu                                sync.Mutex
	cmd                               *exec.Cmd     // guarded by mu
	done                              chan struct{} // closed once the process has ended
}

// stage is a small deployment with stand-ins.
type stage struct {
	rec     *record
	dir     string
	store   *store
	minions *minions
	entries []*entry
	run     []string // the command of the deploy file
	client  *http.Client

	mu    sync.Mutex
	needs map[string][]need // guarded by mu; by job, for each step
	gangs map[string]int    // guarded by mu; by job, the tasks of its only step if that is a gang
}

const (
	apiKey  = "key-of-team-one"
	host    = "jobs.example"
	service = "svc"
)

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// newStage starts the stand-ins. It runs in the repository's root.
func newStage(recordFile string, config map[string]any) (*stage, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	rec := &record{f: f, began: time.Now()}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	s := &stage{rec: rec, dir: dir, store: newStore(rec), run: strings.Fields(string(found[1])), needs: map[string][]need{}, gangs: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	s.minions = &minions{store: s.store, rec: rec, needOf: s.needOf, gangOf: s.gangOf, done: map[string]int{}}
	s.store.put(rowName{Table: "op", Key: "config"}, config)
	return s, nil
}

// siteConfig is the operator's configuration: one service, one queue, one tenant.
func siteConfig(capCPU int64) map[string]any {
	return map[string]any{"version": 3, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": service, "rejects_overload": true}},
		"routes": []map[string]any{{"name": "q", "host": host, "prefix": "/q/", "service": service, "priority": 0, "max_attempts": 4, "stretch": 2,
			"target_duration_ms": 2500}},
		"tenants": []map[string]any{{"name": "team-one", "api_keys": []string{apiKey}, "weight": 50, "cap": map[string]int64{"cpu": capCPU, "mem_mb": 0, "gpu": 0}}}}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// addEntries starts entry VMs with settings as the platform renders them.
func (s *stage) addEntries(n int) error {
	storeAddr, err := listen(s.store.handler())
	if err != nil {
		return err
	}
	cloudAddr, err := listen(s.minions.machines())
	if err != nil {
		return err
	}
	template, err := os.ReadFile("deploy/settings.toml.tmpl")
	if err != nil {
		return err
	}
	for i := range n {
		e := &entry{name: fmt.Sprintf("front-%d", i+1), settings: filepath.Join(s.dir, fmt.Sprintf("node-%d.toml", i+1)), log: filepath.Join(s.dir, fmt.Sprintf("log-%d.txt", i+1))}
		var ports [4]int
		for k := range ports {
			if ports[k], err = freePort(); err != nil {
				return err
			}
		}
		e.front, e.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
		values := map[string]string{"node_name": e.name, "zone": "zone-" + strconv.Itoa(i+1), "listen.front": e.front, "listen.ready": e.ready, "ip": "127.0.0.1",
			"internal_ports.0": strconv.Itoa(ports[2]), "internal_ports.1": strconv.Itoa(ports[3]), "platform.address": storeAddr, "platform.writes_per_s": "600",
			"platform.reads_per_s": "2000", "cloud.address": cloudAddr, "advice": "", "limits.cpu_share": "0.4", "limits.link_mbps": "1000.0", "limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": strconv.Itoa(maxFDs),
			"bounds.grace_s": "6", "bounds.max_hold_ms": "6000", "bounds.lease_ms": "3000", "bounds.status_s": "120"}
		missing := ""
		text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
			v, ok := values[strings.Trim(p, "{}")]
			if !ok {
				missing = p
			}
			return v
		})
		if missing != "" {
			return errors.New("unknown placeholder " + missing)
		}
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// memoryMB and maxFDs are the memory and the descriptors of an entry VM.
const (
	memoryMB = 284
	maxFDs   = 4100
)

// started holds the processes that were started, and channels that are closed once they have ended.
var started sync.Map

// killAll ends all processes that still run.
func killAll() {
	started.Range(func(cmd, done any) bool {
		select {
		case <-done.(chan struct{}):
		default:
			_ = cmd.(*exec.Cmd).Process.Kill()
		}
		return true
	})
}

func (s *stage) startEntry(e *entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("./"+s.run[0], s.run[1:]...)
	cmd.Env = []string{"BORAGEPULLEY_SETTINGS=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	started.Store(cmd, done)
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	s.rec.line("%s: process started", e.name)
	return nil
}

// kill ends the process of an entry VM with SIGKILL and waits for its end.
func (s *stage) kill(e *entry) {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return // it was never started
	}
	s.rec.line("%s: process gets SIGKILL", e.name)
	_ = cmd.Process.Kill()
	<-done
}

// running reports whether the process of an entry VM runs.
func (e *entry) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of an entry VM's process.
func (e *entry) residentMB() int {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// close ends all processes and removes the folder.
func (s *stage) close() {
	for _, e := range s.entries {
		s.kill(e)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// awaitReady waits until all entry VMs are ready.
func (s *stage) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for {
			res, err := s.client.Get("http://" + e.ready + "/-/readiness")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(e.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call sends a requester's request and returns its status, 0 for no answer in time.
func (s *stage) call(e *entry, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Boragepulley-Deadline-Ms", "3000")
	c := *s.client
	c.Timeout = 3 * time.Second
	res, err := c.Do(req)
	if err != nil {
		s.rec.line("%s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, nil
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	s.rec.line("%s %s at %s: %d %s", method, path, e.name, res.StatusCode, strings.TrimSpace(string(data)))
	return res.StatusCode, data
}

type step struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	MemMB    int64 `json:"mem_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
	Gang     bool  `json:"gang,omitempty"`
	Max      int   `json:"max_per_server,omitempty"`
}

type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat_count,omitempty"`
	FirstRun int64  `json:"first_run_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }

func (s *stage) needOf(task string) need {
	parts := strings.Split(task, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	if steps := s.needs[parts[0]]; len(parts) == 4 {
		if i, err := strconv.Atoi(parts[2]); err == nil && i < len(steps) {
			return steps[i]
		}
	}
	return need{}
}

// gangOf returns the number of tasks of a job's gang, 0 if it has none.
func (s *stage) gangOf(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gangs[job]
}

// submit hands a job in, with four retries at other entry VMs, and reports whether it was accepted.
func (s *stage) submit(j job) bool {
	var needs []need
	for _, x := range j.Steps {
		needs = append(needs, need{x.CPU, x.MemMB})
	}
	s.mu.Lock()
	s.needs[j.ID] = needs
	if j.Steps[0].Gang {
		s.gangs[j.ID] = j.Steps[0].Count
	}
	s.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	s.rec.line("body of job %s: %s", j.ID, body)
	for try := range 5 {
		status, _ := s.call(s.entries[try%len(s.entries)], http.MethodPost, "/q/"+j.ID, body)
		if status/100 == 2 {
			return true
		}
		if status/100 == 4 && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for a job's state, with four retries at other entry VMs; "" for no answer.
func (s *stage) state(id string) string {
	for try := range 5 {
		status, data := s.call(s.entries[try%len(s.entries)], http.MethodGet, "/q/"+id, nil)
		var a struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &a) == nil {
			return a.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}
