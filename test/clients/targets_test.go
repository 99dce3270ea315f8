package clients

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/bench/cluster"
	"boragepulley/bench/proc"
	"boragepulley/bench/sites"
	"boragepulley/internal/jobs"
	"boragepulley/standins/siteplatform"
)

const (
	apiKey   = "key-1"
	jobsHost = "jobs.example"
	// startWithin bounds the start of the processes.
	startWithin = 30 * time.Second
	// grace is the time from SIGTERM to SIGKILL on the users' platform.
	grace = 6 * time.Second
	// patience is how long an ordinary caller waits for an answer.
	patience = 5 * time.Second
)

// siteConfig is the operators' configuration of the site path.
func siteConfig() map[string]any {
	return map[string]any{"version": 1, "limits": map[string]any{"max_body_bytes": bodyBytes},
		"routes": []map[string]any{{"name": "q", "host": jobsHost, "prefix": "/q/", "service": "svc", "priority": 1, "max_attempts": 3, "stretch": 2,
			"target_duration_ms": 2500}},
		"services": []map[string]any{{"name": "svc", "rejects_overload": true}},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{apiKey}, "weight": 50, "cap": map[string]int64{}}}}
}

// startSite starts one entry VM of the users' platform beside stand-ins in this process.
func startSite(t *testing.T) *target {
	dir := t.TempDir()
	ports := cluster.NewPorts()
	t.Cleanup(ports.Close)
	p, err := siteplatform.Start(siteplatform.Site{
		Capacity: jobs.Resources{CPU: 64000, MemoryMB: 131072}, Config: siteConfig(), Heartbeat: 1500 * time.Millisecond,
		Machines: []siteplatform.MachineSpec{{Name: "m0", Pool: "svc", Rack: "r1"}, {Name: "m1", Pool: "svc", Rack: "r2"}},
		MoveTime: time.Second, UpkeepTime: time.Second, StopTime: 100 * time.Millisecond,
		Work:  func(string, int) (time.Duration, jobs.End) { return 100 * time.Millisecond, jobs.EndDone },
		Need:  func(string) jobs.Resources { return jobs.Resources{CPU: 1000, MemoryMB: 64} },
		Route: func(_, addr string) (string, error) { return addr, nil },
	})
	require.NoError(t, err)
	t.Cleanup(p.Close)
	var addr [4]string // callers, readiness, peers, metrics
	for i := range addr {
		addr[i], err = ports.Next()
		require.NoError(t, err)
	}
	settings := filepath.Join(dir, "entry.toml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `name = "e1"
data_centre = "r1"
caller_listen = %q
ready_listen = %q
peer_listen = %q
metrics_listen = %q
store_url = "http://%s"
machines_address = %q
cores = 0.4
memory_mb = %d
max_fds = %d
grace = "6s"
max_hold = "6000ms"
duty_gap = "3000ms"
retention = "15s"
`, addr[0], addr[1], addr[2], addr[3], p.StoreAddr(), p.MachinesAddr(), memoryMB, maxFDs), 0o600))
	e, err := proc.Start(proc.Spec{Name: "e1", Path: filepath.Join(bin, "boragepulleyd"), Args: []string{"--site", settings}, LogDir: dir})
	require.NoError(t, err)
	t.Cleanup(func() {
		if e.Running() {
			e.Kill()
		}
		showLogEnd(t, filepath.Join(dir, "e1.log"))
	})
	awaitStatus(t, "http://"+addr[1]+"/-/readiness", e.Running)
	head := func(id int) string {
		return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nContent-Type: application/json\r\n", 0xabc0000+id, jobsHost, apiKey)
	}
	return &target{addr: addr[0], peer: addr[2], pid: e.PID(), running: e.Running, head: head, terminate: func() error { return e.Terminate(grace) }, ordinary: func(try int) int {
		return call(t, addr[0], fmt.Sprintf("/q/%016x", time.Now().UnixNano()+int64(try)), jobsHost, http.Header{"Api-Key": {apiKey}},
			`{"spec":"p","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":100}]}`)
	}}
}

// startProduct starts one entry VM of the product's own path with its stand-ins.
func startProduct(t *testing.T) *target {
	dir := t.TempDir()
	c, err := cluster.Start(cluster.Options{Bin: bin, Dir: dir, Seed: 1, DirectMinions: true,
		Site:     sites.Options{DataCentres: sites.DataCentres(1, 1), Services: 1, MinionsPerService: 4},
		Settings: fmt.Sprintf("memory_mb = %d\nmax_fds = %d\n", memoryMB, maxFDs)})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	require.NoError(t, c.StartEntries())
	ctx, cancel := context.WithTimeout(t.Context(), startWithin)
	defer cancel()
	_, _, err = c.Apply(ctx, c.Files())
	require.NoError(t, err)
	name := c.Entries()[0]
	t.Cleanup(func() { showLogEnd(t, filepath.Join(dir, string(name)+".log")) })
	addr, path := c.Entry(name).Caller, "/v1/queues/"+string(sites.QueueName(0))+"/requests"
	running := func() bool { return c.Running(name) }
	awaitStatus(t, "http://"+addr+"/readyz", running)
	usage, err := c.PID(name)
	require.NoError(t, err)
	key := "Bearer " + sites.KeyText(0)
	head := func(int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: %s\r\nContent-Type: application/json\r\n", path, key)
	}
	return &target{addr: addr, peer: c.Entry(name).Peer, pid: usage, running: running, head: head, terminate: func() error { return c.Terminate(name, startWithin) }, ordinary: func(int) int {
		return call(t, addr, path, "x", http.Header{"Authorization": {key}}, "{}")
	}}
}

// call sends a POST on a connection of its own and returns the status, 0 if there was no answer.
func call(t *testing.T, addr, path, host string, header http.Header, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host, req.Header = host, header
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		t.Logf("ordinary request: %v", err)
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func awaitStatus(t *testing.T, url string, running func() bool) {
	for end := time.Now().Add(startWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.True(t, running(), "the process has ended")
		if res, err := http.Get(url); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
	}
	require.Fail(t, "not ready", url)
}

// peakMB returns the largest resident memory that the process has had, in MB.
func peakMB(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has ended, which fails the test
	}
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	require.True(t, ok)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kb / 1024
}

// watchDescriptors returns a function that ends the watch and returns the largest number of open
// descriptors that was seen.
func watchDescriptors(t *testing.T, x *target) (stop func() int) {
	ctx, cancel := context.WithCancel(t.Context())
	most := make(chan int, 1)
	go func() {
		n := 0
		for ctx.Err() == nil {
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", x.pid))
			n = max(n, len(open))
			time.Sleep(20 * time.Millisecond)
		}
		most <- n
	}()
	return func() int {
		cancel()
		return <-most
	}
}

// showLogEnd shows the end of a process's log if the test has failed.
func showLogEnd(t *testing.T, path string) {
	if !t.Failed() {
		return
	}
	const most = 1500
	text, _ := os.ReadFile(path)
	t.Logf("%s: %s", path, text[max(0, len(text)-most):])
}
