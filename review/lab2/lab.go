//go:build review2

// Package lab2 is the common part of the scripts of the second review: a small site of real entry
// processes against the project's stand-in of the platform, with a proxy in front of each minion and
// of each entry VM's store.
package lab2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"boragepulley/bench/proc"
	"boragepulley/internal/jobs"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/fleet"
	"boragepulley/standins/siteplatform"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

const (
	Key  = "key-1"
	Host = "jobs.example"
	// MachineCPU and MachineMB are those of a worker of the small sites.
	MachineCPU = 64000
	MachineMB  = 131072
)

// Lab is a running site.
type Lab struct {
	Platform *siteplatform.Platform
	Proxy    *faultproxy.Proxy
	Entries  []*Entry
	Trouble  bool
	Began    time.Time

	dir    string
	mu     sync.Mutex
	record *os.File // guarded by mu
	client *http.Client
}

// Entry is one entry VM.
type Entry struct {
	Name, Caller, Ready, peer, metrics, settings string

	lab  *Lab
	proc *proc.Process
}

// Options describe a site.
type Options struct {
	// Record is the folder of record.txt.
	Record   string
	Entries  int
	Machines []siteplatform.MachineSpec
	Config   map[string]any
	Work     func(task string, run int) (time.Duration, jobs.End)
	Need     func(task string) jobs.Resources
	OnEvent  func(fleet.Event)
	StopTime time.Duration
	// PeerLinks routes the messages of other entry VMs through a proxy, named after the entry VM.
	PeerLinks bool
	// Stores, if set, is called for each entry VM with the address of the store, and returns the one
	// that the entry VM is given.
	Stores func(entry, store string) (string, error)
}

// Fail ends a script that could not run.
func Fail(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	os.Exit(NotRun)
}

// Start starts a site and waits until all its entry VMs are ready.
func Start(o Options) (*Lab, error) {
	f, err := os.Create(filepath.Join(o.Record, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Proxy: faultproxy.New(), Trouble: os.Getenv("TROUBLE") != "0", Began: time.Now(), dir: dir, record: f,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	l.Platform, err = siteplatform.Start(siteplatform.Site{
		Capacity: jobs.Resources{CPU: MachineCPU, MemoryMB: MachineMB}, Machines: o.Machines, Config: o.Config,
		MoveTime: 1500 * time.Millisecond, UpkeepTime: 2 * time.Second, Heartbeat: 1500 * time.Millisecond, StopTime: o.StopTime,
		Work: o.Work, Need: o.Need,
		OnEvent: func(e fleet.Event) {
			l.Note("minion %s: task %s run %d %s %s", e.Minion, e.Task, e.Run, e.Kind, e.How)
			if o.OnEvent != nil {
				o.OnEvent(e)
			}
		},
		Route: func(name, addr string) (string, error) { return l.link(name, addr) },
	})
	if err != nil {
		return nil, err
	}
	for i := range o.Entries {
		e := &Entry{Name: fmt.Sprintf("entry-%d", i+1), lab: l}
		for _, a := range []*string{&e.Caller, &e.Ready, &e.peer, &e.metrics} {
			if *a, err = freeAddr(i); err != nil {
				return nil, err
			}
		}
		store := l.Platform.StoreAddr()
		if o.Stores != nil {
			if store, err = o.Stores(e.Name, store); err != nil {
				return nil, err
			}
		}
		if store, err = l.link("store-"+e.Name, store); err != nil {
			return nil, err
		}
		settings := e.render(store, l.Platform.MachinesAddr(), []string{"hall", "bay", "shed"}[i%3])
		if o.PeerLinks {
			addr, err := l.link("peer-"+e.Name, e.peer)
			if err != nil {
				return nil, err
			}
			settings += fmt.Sprintf("peer_address = %q\n", addr)
		}
		e.settings = filepath.Join(dir, e.Name+".toml")
		if err := os.WriteFile(e.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		l.Entries = append(l.Entries, e)
		if err := e.Start(); err != nil {
			return nil, err
		}
	}
	for _, e := range l.Entries {
		if err := e.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// render fills in deploy/settings.toml.tmpl with the figures of a small site.
func (e *Entry) render(store, machines, zone string) string {
	return fmt.Sprintf(`name = %q
data_centre = %q
caller_listen = %q
ready_listen = %q
peer_listen = %q
metrics_listen = %q
log_level = "info"
store_url = "http://%s"
store_writes_per_second = 600
store_reads_per_second = 2000
machines_address = %q
advice_address = ""
cores = 0.4
link_mbps = 1000
memory_mb = 284
max_fds = 4100
grace = "6s"
max_hold = "6000ms"
duty_gap = "3000ms"
retention = "120s"
`, e.Name, zone, e.Caller, e.Ready, e.peer, e.metrics, store, machines)
}

// freeAddr returns an address on a loopback address of its own for each script and entry VM: nobody else takes
// its port before the process listens.
func freeAddr(entry int) (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid/250%128, 1+pid%250, 1+entry))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (l *Lab) link(name, target string) (string, error) {
	x, err := l.Proxy.Add(faultproxy.LinkSpec{Name: name, Listen: "127.0.0.1:0", Target: target})
	if err != nil {
		return "", err
	}
	return x.Addr(), nil
}

// Start starts the process with the command of the deploy file.
func (e *Entry) Start() error {
	if err := os.Setenv("BORAGEPULLEY_SETTINGS", e.settings); err != nil {
		return err
	}
	p, err := proc.Start(proc.Spec{Name: e.Name, Path: "target/boragepulleyd", Args: []string{"--site"}, LogDir: e.lab.dir})
	e.proc = p
	return err
}

// Kill ends the process at once. The platform starts it again after a short delay.
func (e *Entry) Kill(restartAfter time.Duration) {
	e.lab.Note("%s is killed", e.Name)
	e.proc.Kill()
	time.AfterFunc(restartAfter, func() {
		if err := e.Start(); err == nil {
			e.lab.Note("%s is started again", e.Name)
		}
	})
}

func (e *Entry) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r, err := http.Get("http://" + e.Ready + "/-/readiness"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s not ready", e.Name)
}

// Coordinator returns the entry VM that holds the lease, or nil.
func (l *Lab) Coordinator() *Entry {
	var v struct {
		Holder string `json:"h"`
	}
	if json.Unmarshal(l.Platform.Row("lease/site"), &v) != nil {
		return nil
	}
	for _, e := range l.Entries {
		if e.Name == v.Holder {
			return e
		}
	}
	return nil
}

// Note adds a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.Began).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// Call sends a request of a caller and returns the status, 0 if there was no answer, and the body.
func (l *Lab) Call(e *Entry, method, path string, body any) (int, string) {
	return l.CallAs(e, Key, method, path, body, 3*time.Second)
}

// CallAs is Call with another key and deadline.
func (l *Lab) CallAs(e *Entry, key, method, path string, body any, deadline time.Duration) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Caller+path, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = Host
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Boragepulley-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	sent := time.Since(l.Began).Seconds()
	r, err := l.client.Do(req)
	if err != nil {
		l.Note("caller: %s %s at %s, sent at %.3f: no answer: %v", method, path, e.Name, sent, err)
		return 0, ""
	}
	defer r.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	l.Note("caller: %s %s at %s, sent at %.3f: %d %s", method, path, e.Name, sent, r.StatusCode, strings.TrimSpace(string(answer)))
	return r.StatusCode, string(answer)
}

// Submit hands a job in, at the entry VMs in turn, until it is accepted.
func (l *Lab) Submit(path string, body any) bool {
	for i := range 20 {
		if s, _ := l.Call(l.Entries[i%len(l.Entries)], "POST", path, body); s >= 200 && s < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Close ends all processes and writes the end of the record.
func (l *Lab) Close(verdict string) {
	for _, e := range l.Entries {
		if e.proc != nil && e.proc.Running() {
			e.proc.Kill()
		}
	}
	l.Note("%s", verdict)
	fmt.Println(verdict)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are kept in", l.dir)
	}
}

// Config returns a configuration with one queue and one pool, and a spare pool.
func Config(queues ...string) map[string]any {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q, "host": Host, "prefix": "/" + q + "/", "service": "svc-a",
			"priority": 1, "max_attempts": 3, "stretch": 2, "target_duration_ms": 2500})
	}
	return map[string]any{"version": 7, "routes": routes, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": "svc-a", "rejects_overload": true}, {"name": "svc-spare", "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{Key}, "weight": 50, "cap": map[string]int64{}}}}
}

// Machines returns n machines of svc-a in three zones.
func Machines(n int) []siteplatform.MachineSpec {
	var out []siteplatform.MachineSpec
	for i := range n {
		out = append(out, siteplatform.MachineSpec{Name: fmt.Sprintf("m%d", i), Pool: "svc-a", Rack: []string{"hall-1", "bay-1", "shed-1"}[i%3]})
	}
	return out
}
