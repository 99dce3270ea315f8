package cluster

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/internal/model"
	table "boragepulley/internal/platform"
	"boragepulley/standins/faultproxy"
	"boragepulley/standins/minion"
	"boragepulley/standins/platform"
	"boragepulley/standins/runs"
	"boragepulley/standins/worker"
)

var adminClient = &http.Client{Timeout: 10 * time.Second}

// admin calls an admin endpoint of a stand-in.
func admin(method, addr, path string, body, result any) error {
	var r io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "cluster: encode")
		}
		r = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, r)
	if err != nil {
		return errors.Wrap(err, "cluster: admin")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := adminClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "cluster: admin")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "cluster: admin")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("cluster: %s %s: %d %s", method, path, resp.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, result), "cluster: decode")
}

// addLink adds a proxy link and returns its address.
func (c *Cluster) addLink(name, target string) (string, error) {
	listen, err := c.ports.next()
	if err != nil {
		return "", err
	}
	var st faultproxy.LinkStatus
	err = admin(http.MethodPost, c.proxyAdmin, "/links", faultproxy.LinkSpec{Name: name, Listen: listen, Target: target}, &st)
	return st.Listen, err
}

// Link applies an action to all links whose names start with a prefix.
func (c *Cluster) Link(a faultproxy.Action, prefixes ...string) error {
	return admin(http.MethodPost, c.proxyAdmin, "/actions", faultproxy.Command{Action: a, Prefixes: prefixes}, nil)
}

// Delay delays all links whose names start with a prefix.
func (c *Cluster) Delay(d time.Duration, prefixes ...string) error {
	return admin(http.MethodPost, c.proxyAdmin, "/actions",
		faultproxy.Command{Action: faultproxy.ActionDelay, DelayMS: d.Milliseconds(), Prefixes: prefixes}, nil)
}

// PlatformLinks returns the prefix of a data centre's links to the platform.
func PlatformLinks(dc model.DataCentre) string { return "platform/" + string(dc) + "/" }

// CrossLinks returns the prefixes of all links between a data centre and the others.
func (c *Cluster) CrossLinks(dc model.DataCentre) []string {
	var out []string
	for _, o := range c.Site.DataCentres {
		if o.Name != dc {
			out = append(out, "peer/"+string(dc)+"/"+string(o.Name)+"/", "peer/"+string(o.Name)+"/"+string(dc)+"/")
		}
	}
	return out
}

// EntryLinks returns the prefixes of all links from and to an entry VM's peers.
func (c *Cluster) EntryLinks(n model.EntryVM) []string {
	var out []string
	e := c.entries[n]
	for _, o := range c.entries {
		if o != e {
			out = append(out, peerLink(e, o), peerLink(o, e))
		}
	}
	return out
}

// PlatformFaults replaces the faults of the platform.
func (c *Cluster) PlatformFaults(f platform.Faults) error {
	return admin(http.MethodPut, c.platformAddr, platform.PathFaults, f, nil)
}

// PlatformReboots sets how long a VM is down when the platform reboots it.
func (c *Cluster) PlatformReboots(down time.Duration) error {
	return admin(http.MethodPut, c.platformAddr, platform.PathReboots,
		platform.Reboots{MinionAdmin: c.minionAdmin, DownMS: down.Milliseconds()}, nil)
}

// PlatformStats returns the counts of the platform.
func (c *Cluster) PlatformStats() (platform.Stats, error) {
	var s platform.Stats
	return s, admin(http.MethodGet, c.platformAddr, platform.PathStats, nil, &s)
}

// MinionFaults replaces the faults of a minion.
func (c *Cluster) MinionFaults(vm model.VM, f ...minion.Fault) error {
	return admin(http.MethodPut, c.minionAdmin, "/minions/"+string(vm)+"/faults", minion.Faults{Faults: f}, nil)
}

// Reboot takes a minion down for a time.
func (c *Cluster) Reboot(vm model.VM, down time.Duration) error {
	return admin(http.MethodPost, c.minionAdmin, "/minions/"+string(vm)+"/reboot", minion.Reboot{DownMS: down.Milliseconds()}, nil)
}

// KillMinion takes a minion down until the platform reboots it.
func (c *Cluster) KillMinion(vm model.VM) error {
	return admin(http.MethodPost, c.minionAdmin, "/minions/"+string(vm)+"/kill", nil, nil)
}

// Runs returns how often each job was started at the minions and workers.
func (c *Cluster) Runs() (load.Runs, error) {
	out := make(load.Runs)
	for _, addr := range []string{c.minionAdmin, c.workerAdmin} {
		if addr == "" {
			continue
		}
		var a runs.Answer
		if err := admin(http.MethodGet, addr, "/debug/runs", nil, &a); err != nil {
			return nil, err
		}
		for _, r := range a.Runs {
			out[model.JobID(r.ID)] += r.Count
		}
	}
	return out, nil
}

// WorkerFaults replaces the faults of a worker.
func (c *Cluster) WorkerFaults(n model.Worker, f worker.Faults) error {
	return admin(http.MethodPut, c.workerAdmin, "/workers/"+string(n)+"/faults", f, nil)
}

// RebootWorker takes a worker down for a time; it loses its tasks.
func (c *Cluster) RebootWorker(n model.Worker, down time.Duration) error {
	return admin(http.MethodPost, c.workerAdmin, "/workers/"+string(n)+"/reboot", worker.Reboot{DownMS: down.Milliseconds()}, nil)
}

// WorkerStats returns the counts of all workers; none if the site has no workers.
func (c *Cluster) WorkerStats() ([]worker.Stats, error) {
	var s []worker.Stats
	if c.workerAdmin == "" {
		return s, nil
	}
	return s, admin(http.MethodGet, c.workerAdmin, "/debug/stats", nil, &s)
}

// MinionStats returns the counts of all minions.
func (c *Cluster) MinionStats() ([]minion.Stats, error) {
	var s []minion.Stats
	return s, admin(http.MethodGet, c.minionAdmin, "/debug/stats", nil, &s)
}

// Tags returns the concurrency by team over all minions.
func (c *Cluster) Tags() ([]minion.TagStats, error) {
	var s []minion.TagStats
	return s, admin(http.MethodGet, c.minionAdmin, "/debug/tags", nil, &s)
}

// ResetTags starts new maxima and integrals of the concurrency by team.
func (c *Cluster) ResetTags() error {
	return admin(http.MethodPost, c.minionAdmin, "/debug/tags/reset", nil, nil)
}

// TableRows returns the rows of the platform's table whose keys start with a prefix. The
// platform must not be in an outage.
func (c *Cluster) TableRows(prefix string) ([]table.Row, error) {
	var a table.RowsAnswer
	path := table.PathRows + "?limit=10000&prefix=" + url.QueryEscape(prefix)
	return a.Rows, admin(http.MethodGet, c.platformAddr, path, nil, &a)
}
