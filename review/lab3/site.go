//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The project's own processes, the requesters and the operator.

type daemon struct {
	name, zone                     string
	front, ready, peer, metrics    string
	cmd                            *exec.Cmd
	alive                          bool
	inRotation                     bool
	gone                           bool // removed for good
	misses                         int
	exited                         chan struct{}
	settings, log                  string
	storeAddr, cloudAddr, peerAddr string
}

// kind is what the settings of the entry VMs say of the deployment.
type kind struct {
	writes, reads int
	cores, mbps   float64
	memory, hold  int
}

type site struct {
	kind     kind
	priority map[string]int // of queues
	*world
	dir      string
	storeURL string
	cloudURL string
	mu2      sync.Mutex
	daemons  []*daemon
	stop     chan struct{}
	records  *os.File
	recMu    sync.Mutex
	config   map[string]any
	version  int
	proxies  []*proxy
}

// home is the loopback address of the project's processes, drawn anew for each run, so that the ports of cases
// that run at the same time do not meet.
var home = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))

func freeAddr() string {
	for {
		port := lastPort.Add(1)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", home, port)); err == nil {
			l.Close()
			return l.Addr().String()
		}
	}
}

// lastPort is the last port that was given out: none twice, and none that the system gives to others.
var lastPort atomic.Int64

func init() { lastPort.Store(12000) }

func serveOn(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func newSite(record string) *site {
	f, err := os.Create(record)
	if err != nil {
		panic(err)
	}
	dir := os.Getenv("LAB_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "lab3-"); err != nil {
			panic(err)
		}
	}
	s := &site{kind: kind{600, 2000, 0.4, 1000, 284, 6000}, dir: dir, records: f, stop: make(chan struct{}), daemons: make([]*daemon, 0, 100)}
	s.world = &world{began: time.Now(), st: newStore(), jobs: map[string]*job{}, waves: map[int64]*wave{}, ckpts: map[string]map[string]time.Duration{}}
	s.world.rec = func(line string) {
		s.recMu.Lock()
		defer s.recMu.Unlock()
		fmt.Fprintln(f, line)
	}
	s.storeURL, s.cloudURL = serveOn(s.st.handler()), serveOn(s.cloud())
	go s.world.run(s.stop)
	return s
}

// configure writes a configuration with these queues (name to service), services and tenants.
func (s *site) configure(queues map[string]string, services []string, standby string, tenants []map[string]any) {
	s.version += 3
	routes, svcs := []any{}, []any{}
	for q, svc := range queues {
		routes = append(routes, map[string]any{"name": "r-" + q, "host": "jobs.example", "prefix": "/" + q + "/", "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 600,
			"priority": s.priority[q], "service": svc, "max_attempts": 3, "stretch": 1.6, "public": false})
	}
	for _, v := range services {
		svcs = append(svcs, map[string]any{"name": v, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "standby": v == standby})
	}
	s.st.put(rowName{"op", "", "config"}, jsonText(map[string]any{"version": s.version, "routes": routes, "services": svcs,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}, "tenants": tenants}))
	s.note("config version %d", s.version)
}

func (s *site) addDaemon(name, zone string) *daemon { return s.addDaemonVia(name, zone, s.storeURL) }

// addDaemonVia adds an entry VM that reaches the store at another address.
func (s *site) addDaemonVia(name, zone, storeURL string) *daemon {
	d := &daemon{name: name, zone: zone, front: freeAddr(), ready: freeAddr(), peer: freeAddr(), metrics: freeAddr(), storeAddr: storeURL, cloudAddr: s.cloudURL}
	d.settings, d.log = filepath.Join(s.dir, name+".toml"), filepath.Join(s.dir, name+".log")
	s.mu2.Lock()
	s.daemons = append(s.daemons, d)
	s.mu2.Unlock()
	s.launch(d)
	return d
}

// launch starts a process with the command of the deploy file and settings as the template renders them.
func (s *site) launch(d *daemon) {
	text := fmt.Sprintf(`name = %q
data_centre = %q
caller_listen = %q
ready_listen = %q
peer_listen = %q
metrics_listen = %q
log_level = "info"
store_url = "http://%s"
store_writes_per_second = %d
store_reads_per_second = %d
machines_address = %q
advice_address = "127.0.0.1:9"
cores = %g
link_mbps = %g
memory_mb = %d
max_fds = 4100
grace = "6s"
max_hold = "%dms"
duty_gap = "3000ms"
retention = "120s"
`, d.name, d.zone, d.front, d.ready, d.peer, d.metrics, d.storeAddr, s.kind.writes, s.kind.reads, d.cloudAddr, s.kind.cores, s.kind.mbps, s.kind.memory, s.kind.hold)
	if d.peerAddr != "" {
		text += fmt.Sprintf("peer_address = %q\n", d.peerAddr)
	}
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	program := "target/boragepulleyd"
	if p := os.Getenv("LAB_DAEMON"); p != "" {
		program = p // a build for searches, for example with the race detector
	}
	cmd := exec.Command(program, "--site")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BORAGEPULLEY_SETTINGS=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		s.finish(2)
	}
	exited := make(chan struct{})
	s.mu2.Lock()
	d.cmd, d.alive, d.inRotation, d.misses, d.exited = cmd, true, false, 2, exited
	s.mu2.Unlock()
	s.note("process of %s started", d.name)
	go func() {
		err := cmd.Wait()
		out.Close()
		if cmd.ProcessState.Exited() && !cmd.ProcessState.Success() {
			log, _ := os.ReadFile(d.log)
			s.note("last of the log of %s: %s", d.name, log[max(0, len(log)-400):])
		}
		s.mu2.Lock()
		if d.cmd == cmd {
			d.alive, d.inRotation = false, false
		}
		s.mu2.Unlock()
		s.note("process of %s ended: %v", d.name, err)
		close(exited)
	}()
}

func (s *site) signal(d *daemon, sig syscall.Signal) {
	s.note("%v to %s", sig, d.name)
	_ = d.cmd.Process.Signal(sig)
}

// balance plays the balancer's checks of readiness.
func (s *site) balance() {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Second):
		}
		s.mu2.Lock()
		all := append([]*daemon{}, s.daemons...)
		s.mu2.Unlock()
		for _, d := range all {
			go func() {
				r, err := client.Get("http://" + d.ready + "/-/readiness")
				ok := err == nil && r.StatusCode == 200
				if err == nil {
					r.Body.Close()
				}
				s.mu2.Lock()
				defer s.mu2.Unlock()
				if ok {
					d.misses, d.inRotation = 0, true
				} else if d.misses++; d.misses >= 2 {
					d.inRotation = false
				}
			}()
		}
	}
}

func (s *site) pick() *daemon {
	s.mu2.Lock()
	defer s.mu2.Unlock()
	var in []*daemon
	for _, d := range s.daemons {
		if d.inRotation {
			in = append(in, d)
		}
	}
	if len(in) == 0 {
		in = s.daemons
	}
	return in[rand.IntN(len(in))]
}

// await waits until f holds, and ends the case with 2 if that takes too long.
func (s *site) await(what string, atMost time.Duration, f func() bool) {
	for end := time.Now().Add(atMost); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.note("gave up waiting for: %s", what)
			fmt.Fprintln(os.Stderr, "could not run:", what)
			s.finish(2)
		}
	}
}

func (s *site) awaitReady(n int) {
	s.await("entry VMs ready", 30*time.Second, func() bool {
		s.mu2.Lock()
		defer s.mu2.Unlock()
		got := 0
		for _, d := range s.daemons {
			if d.inRotation {
				got++
			}
		}
		return got >= n
	})
}

// holder returns the entry VM that wrote last to the store under a condition on its lease.
func (s *site) holder() *daemon {
	var v struct {
		H string `json:"h"`
	}
	s.st.mu.Lock()
	for n, r := range s.st.rows {
		if n.Table == "lease" {
			_ = json.Unmarshal(r.Value, &v)
		}
	}
	s.st.mu.Unlock()
	s.mu2.Lock()
	defer s.mu2.Unlock()
	for _, d := range s.daemons {
		if d.name == v.H {
			return d
		}
	}
	return nil
}

// call makes a requester's call and returns the status, 0 without an answer.
func (s *site) call(ctx context.Context, d *daemon, method, path, key string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "jobs.example"
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Boragepulley-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return r.StatusCode, data
}

// submit hands a job in, as often as requesters do, and reports whether it was accepted and whether all
// attempts were rejected.
func (s *site) submit(j *job) (accepted, rejected bool) {
	s.world.mu.Lock()
	s.jobs[j.ID] = j
	s.world.mu.Unlock()
	body := jsonText(j)
	rejected = true
	for range 5 {
		d := s.pick()
		status, _ := s.call(context.Background(), d, "POST", "/"+j.queue+"/"+j.ID, j.key, body)
		s.note("POST   job %s at %s: %d", j.ID, d.name, status)
		switch {
		case status/100 == 2:
			return true, false
		case status == 429 || status == 503:
			time.Sleep(time.Second)
		default:
			rejected = false
			time.Sleep(200 * time.Millisecond)
		}
	}
	return false, rejected
}

func (s *site) state(j *job) (string, int) {
	d := s.pick()
	status, data := s.call(context.Background(), d, "GET", "/"+j.queue+"/"+j.ID, j.key, nil)
	var v struct{ State string }
	_ = json.Unmarshal(data, &v)
	return v.State, status
}

func (s *site) cancel(j *job) bool {
	for range 5 {
		d := s.pick()
		status, _ := s.call(context.Background(), d, "DELETE", "/"+j.queue+"/"+j.ID, j.key, nil)
		s.note("DELETE job %s at %s: %d", j.ID, d.name, status)
		if status/100 == 2 || status == 410 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (s *site) finish(code int) {
	close(s.stop)
	s.mu2.Lock()
	for _, d := range s.daemons {
		if d.cmd != nil && d.alive {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
		}
	}
	all := s.daemons
	s.mu2.Unlock()
	for _, d := range all {
		if d.exited != nil {
			select {
			case <-d.exited:
			case <-time.After(3 * time.Second):
			}
		}
	}
	s.note("exit %d", code)
	s.recMu.Lock()
	s.records.Close()
	s.recMu.Unlock()
	if os.Getenv("LAB_DIR") == "" {
		os.RemoveAll(s.dir)
	}
	os.Exit(code)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// twice looks for starts after a run of the task has ended as done, if that end is taken note of then or later.
// One end of a gang stands for all of its members.
func (w *world) twice() {
	key := func(task string) string {
		n, _ := parseTask(task)
		if s := w.stepOf(n); s != nil && s.Gang {
			return task[:strings.LastIndex(task, ".")]
		}
		return task
	}
	lasts := func(task string) bool {
		n, _ := parseTask(task)
		s := w.stepOf(n)
		return s != nil && (s.Lasts || s.Spec)
	}
	type done struct{ first, noted *event }
	ends := map[string]done{}
	for _, e := range w.events {
		switch {
		case e.kind == "end" && e.how == "done" && !e.noted.IsZero() && !lasts(e.task):
			if d := ends[key(e.task)]; d.first == nil || e.at.Before(d.first.at) {
				ends[key(e.task)] = done{e, e}
			}
		}
	}
	for _, e := range w.events {
		if e.kind != "start" {
			continue
		}
		if d := ends[key(e.task)]; d.first != nil && e.at.After(d.first.at) {
			w.breaks("TWICE: %s starts on %s life %d (attempt %d) %v after the end of %s as done (attempt %d), which was taken note of %v before the start",
				e.task, e.minion, e.life, e.attempt, e.at.Sub(d.first.at).Round(time.Millisecond), d.first.task, d.first.attempt, e.at.Sub(d.first.noted).Round(time.Millisecond))
		}
	}
}

// order looks for starts before all tasks of the steps before have ended as done.
func (w *world) order() {
	ended := map[string]time.Time{}
	for _, e := range w.events {
		if e.kind == "end" && e.how == "done" {
			if t, ok := ended[e.task]; !ok || e.at.Before(t) {
				ended[e.task] = e.at
			}
		}
	}
	for _, e := range w.events {
		if e.kind != "start" {
			continue
		}
		n, _ := parseTask(e.task)
		j := w.jobs[n.job]
		for _, a := range j.Steps[n.step].After {
			for i := range j.Steps[a].Count {
				t, ok := ended[fmt.Sprintf("%s.%d.%d.%d", n.job, n.occ, a, i)]
				if j.Steps[a].Gang && !ok {
					continue
				}
				if !ok || t.After(e.at) {
					w.breaks("ORDER: %s starts before task %d of step %d has ended as done", e.task, i, a)
				}
			}
		}
		if j.Repeat > 0 {
			due := time.UnixMilli(j.First + int64(n.occ)*j.Interval)
			if e.at.Before(due.Add(-250 * time.Millisecond)) {
				w.breaks("ORDER: %s starts %v before its time", e.task, due.Sub(e.at))
			}
		}
	}
}

// proxy is a TCP proxy that can stop to pass bytes on.
type proxy struct {
	addr, to string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
	// down and up, if set, are the bandwidth towards those that connect, and from them.
	down, up *bandwidth
	// silent are connections that deliver nothing more.
	silent map[net.Conn]bool
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{addr: l.Addr().String(), to: to, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// set cuts the proxy, silently, or heals it: what was held up is then lost with its connection.
func (p *proxy) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		for c := range p.conns {
			c.Close()
		}
		p.conns = map[net.Conn]bool{}
	}
}

// stall makes all open connections silent for good; new ones work.
func (p *proxy) stall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
	}
	return len(p.conns)
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.silent, c)
}

func (p *proxy) pass(c net.Conn) {
	defer p.forget(c)
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	defer c.Close()
	for p.isCut() {
		time.Sleep(5 * time.Millisecond)
	}
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.conns[up] = true
	p.mu.Unlock()
	defer p.forget(up)
	defer up.Close()
	copyTo := func(dst, src net.Conn, b *bandwidth) {
		buf := make([]byte, 16<<10)
		for {
			n, err := src.Read(buf)
			for p.isCut() {
				time.Sleep(5 * time.Millisecond)
			}
			if p.isSilent(src) {
				if err != nil {
					time.Sleep(time.Minute) // the other end learns nothing of the close
					break
				}
				continue
			}
			if n > 0 {
				b.take(n)
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		dst.Close()
		src.Close()
	}
	go copyTo(up, c, p.up)
	copyTo(c, up, p.down)
}

// bandwidth limits bytes per second, of all connections that share it.
type bandwidth struct {
	mu    sync.Mutex
	rate  float64
	until time.Time
}

func (b *bandwidth) take(n int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	// A little of what was not used is made up for, so that late wake-ups do not lower the rate.
	if least := time.Now().Add(-20 * time.Millisecond); b.until.Before(least) {
		b.until = least
	}
	b.until = b.until.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	wait := time.Until(b.until)
	b.mu.Unlock()
	time.Sleep(wait)
}
