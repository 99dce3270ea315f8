package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/bench/proc"
	"boragepulley/bench/sites"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/standins/platform"
)

const (
	// readyWithin bounds the start of a process.
	readyWithin = 10 * time.Second
	// OperatorToken authenticates the experiment's operator.
	OperatorToken = "operator-token-of-the-experiment"
	// drainTimeout of the daemons of an experiment, above every run time used.
	drainTimeout = 60 * time.Second
)

// Options describe an experiment's cluster.
type Options struct {
	// Bin is the folder of the programs boragepulleyd and standin.
	Bin string
	// Dir receives logs and settings.
	Dir  string
	Site sites.Options
	// Writes and Reads are the store's rates per second; 0 selects the stand-in's defaults.
	Writes, Reads float64
	// LogLevel of the daemons; default "info".
	LogLevel string
	// DirectMinions leaves the proxy out between entry VMs and minions.
	DirectMinions bool
	// Settings are further lines of each entry VM's settings.
	Settings string
	Seed     uint64
}

// Cluster is a running experiment.
type Cluster struct {
	Options
	platform, minions, workers, proxy *proc.Process
	platformAddr                      string
	minionAdmin, workerAdmin          string
	proxyAdmin                        string
	entries                           map[model.EntryVM]*Entry
	names                             []model.EntryVM
	ports                             *portPicker
	// Balancer stands for the platform's balancer over all entry VMs.
	Balancer     *load.Balancer
	stopBalancer context.CancelFunc
}

// Entry is one entry VM of the cluster.
type Entry struct {
	Name model.EntryVM
	DC   model.DataCentre
	// Caller, Operator and Peer are its listen addresses.
	Caller, Operator, Peer string
	settings               string
	proc                   *proc.Process
}

// ready is the line that a stand-in prints.
type ready struct {
	Addr  string            `json:"addr"`
	Admin string            `json:"admin"`
	Addrs map[string]string `json:"addrs"`
}

// Start starts everything but the entry daemons.
func Start(o Options) (*Cluster, error) {
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
	if len(o.Site.DataCentres) == 0 {
		o.Site.DataCentres = sites.DataCentres(3, 2)
	}
	c := &Cluster{Options: o, entries: make(map[model.EntryVM]*Entry), ports: newPortPicker()}
	for _, step := range []func() error{
		c.startPlatform, c.startProxy, c.startMinions, c.startWorkers, c.prepareEntries, c.listUpstreams,
	} {
		if err := step(); err != nil {
			c.Close()
			return nil, err
		}
	}
	addrs := make(map[string]string)
	for n, e := range c.entries {
		addrs[string(n)] = e.Caller
	}
	c.Balancer = load.NewBalancer(addrs)
	ctx, stop := context.WithCancel(context.Background())
	c.stopBalancer = stop
	go c.Balancer.Run(ctx)
	return c, nil
}

func (c *Cluster) standin(name string, r *ready, args ...string) (*proc.Process, error) {
	return proc.Start(proc.Spec{
		Name: name, Path: filepath.Join(c.Bin, "standin"), Args: args, LogDir: c.Dir, ReadyWithin: readyWithin, Ready: r,
	})
}

func (c *Cluster) startPlatform() error {
	args := []string{"platform", fmt.Sprintf("--seed=%d", c.Seed)}
	if c.Writes > 0 {
		args = append(args, fmt.Sprintf("--writes=%g", c.Writes))
	}
	if c.Reads > 0 {
		args = append(args, fmt.Sprintf("--reads=%g", c.Reads))
	}
	var r ready
	p, err := c.standin("platform", &r, args...)
	c.platform, c.platformAddr = p, r.Addr
	return err
}

func (c *Cluster) startProxy() error {
	var r ready
	p, err := c.standin("proxy", &r, "proxy")
	c.proxy, c.proxyAdmin = p, r.Admin
	return err
}

func (c *Cluster) startMinions() error {
	var r ready
	args := []string{"minions", fmt.Sprintf("--count=%d", c.Site.Minions()),
		"--prefix=" + strings.TrimSuffix(string(sites.MinionName(0)), "1"), fmt.Sprintf("--seed=%d", c.Seed)}
	if c.Site.Slots > 0 {
		args = append(args, fmt.Sprintf("--slots=%d", c.Site.Slots))
	}
	if c.Site.Connections > 0 {
		args = append(args, fmt.Sprintf("--connections=%d", c.Site.Connections))
	}
	p, err := c.standin("minions", &r, args...)
	c.minions, c.minionAdmin = p, r.Admin
	if err != nil {
		return err
	}
	if err := c.PlatformReboots(platform.DefaultDown); err != nil {
		return err
	}
	c.Site.MinionAddrs = nil
	for i := range c.Site.Minions() {
		name := string(sites.MinionName(i))
		addr := r.Addrs[name]
		if !c.DirectMinions {
			if addr, err = c.addLink("minion/"+name, addr); err != nil {
				return err
			}
		}
		c.Site.MinionAddrs = append(c.Site.MinionAddrs, addr)
	}
	return nil
}

func (c *Cluster) startWorkers() error {
	if c.Site.Workers == 0 {
		return nil
	}
	var r ready
	p, err := c.standin("workers", &r, "workers", fmt.Sprintf("--count=%d", c.Site.Workers),
		"--prefix="+strings.TrimSuffix(string(sites.WorkerName(0)), "1"))
	c.workers, c.workerAdmin = p, r.Admin
	if err != nil {
		return err
	}
	c.Site.WorkerAddrs = nil
	for i := range c.Site.Workers {
		c.Site.WorkerAddrs = append(c.Site.WorkerAddrs, r.Addrs[string(sites.WorkerName(i))])
	}
	return nil
}

// listUpstreams puts the upstream VMs on the platform's list.
func (c *Cluster) listUpstreams() error {
	var all []platform.VMChange
	for i := range c.Site.Minions() {
		all = append(all, platform.VMChange{Name: string(sites.MinionName(i)), State: platform.VMLive})
	}
	return admin(http.MethodPost, c.platformAddr, platform.PathSetVM, all, nil)
}

// Close ends every process.
func (c *Cluster) Close() {
	if c.stopBalancer != nil {
		c.stopBalancer()
	}
	for _, e := range c.entries {
		if e.proc != nil && e.proc.Running() {
			e.proc.Kill()
		}
	}
	for _, p := range []*proc.Process{c.minions, c.workers, c.proxy, c.platform} {
		if p != nil && p.Running() {
			p.Kill()
		}
	}
	c.ports.close()
}

// PlatformAddr returns the platform's own address, past the proxy.
func (c *Cluster) PlatformAddr() string { return c.platformAddr }

// PlatformUsage returns processor time and memory of the platform's stand-in.
func (c *Cluster) PlatformUsage() (proc.Usage, error) { return c.platform.Usage() }

// Entries returns the names of the entry VMs in order.
func (c *Cluster) Entries() []model.EntryVM { return c.names }

// Entry returns an entry VM by name.
func (c *Cluster) Entry(n model.EntryVM) *Entry { return c.entries[n] }

// Files returns the applied files of the site.
func (c *Cluster) Files() []config.File { return sites.Generate(c.Site) }

// Operator returns a client of the operators' API that tries the given entry VMs, or all.
func (c *Cluster) Operator(names ...model.EntryVM) (*operator.Client, error) {
	if len(names) == 0 {
		names = c.names
	}
	var servers []string
	for _, n := range names {
		servers = append(servers, c.entries[n].Operator)
	}
	return operator.NewClient(servers, OperatorToken)
}

// Apply applies files on top of the version in force and waits until they are in force
// everywhere, or ctx ends. It returns the new version and how long it took.
func (c *Cluster) Apply(ctx context.Context, files []config.File) (uint64, time.Duration, error) {
	return c.ApplyAt(ctx, files)
}

// ApplyAt is Apply through the given entry VMs, or all.
func (c *Cluster) ApplyAt(ctx context.Context, files []config.File, names ...model.EntryVM) (uint64, time.Duration, error) {
	op, err := c.Operator(names...)
	if err != nil {
		return 0, 0, err
	}
	st, err := op.Status(ctx)
	if err != nil {
		return 0, 0, errors.Wrap(err, "cluster: status")
	}
	start := time.Now()
	res, err := op.Apply(ctx, operator.ApplyRequest{
		ApplyID: string(model.NewIncarnation()), Operator: "experiment", BaseVersion: st.Configuration.Head.Version, Files: files,
	})
	if err != nil {
		return 0, 0, errors.Wrap(err, "cluster: apply")
	}
	return res.Version, time.Since(start), c.awaitInForce(ctx, op, res.Version)
}

func (c *Cluster) awaitInForce(ctx context.Context, op *operator.Client, version uint64) error {
	for {
		st, err := op.Status(ctx)
		if err == nil && st.Configuration.Head.Version >= version && st.Configuration.Everywhere {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("cluster: version %d not in force everywhere: %+v, %v", version, st.Configuration, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Vars returns the metrics of a daemon.
func (c *Cluster) Vars(n model.EntryVM) (map[string]json.RawMessage, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.entries[n].Operator+"/debug/vars", nil)
	if err != nil {
		return nil, errors.Wrap(err, "cluster: metrics")
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := adminClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "cluster: metrics")
	}
	defer resp.Body.Close()
	var out map[string]json.RawMessage
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "cluster: metrics")
}

// Coordinator returns the coordinator of a data centre as a status shows it; empty if
// there is none.
func (c *Cluster) Coordinator(ctx context.Context, dc model.DataCentre) (model.EntryVM, error) {
	op, err := c.Operator()
	if err != nil {
		return "", err
	}
	st, err := op.Status(ctx)
	if err != nil {
		return "", err
	}
	for _, k := range st.Coordinators {
		if k.DC == dc {
			return k.Entry, nil
		}
	}
	return "", nil
}
