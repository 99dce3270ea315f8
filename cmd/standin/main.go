// Command standin runs small stand-ins of the systems around boragepulley for tests:
// the platform, minions, workers, and a fault-injecting TCP proxy. Each subcommand prints
// one JSON line with its addresses when it is ready, and stops on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"boragepulley/standins/faultproxy"
	"boragepulley/standins/minion"
	"boragepulley/standins/platform"
	"boragepulley/standins/serve"
	"boragepulley/standins/worker"
)

// Ready is the line that a subcommand prints when it is ready.
type Ready struct {
	// Kind is "platform", "minions", "workers" or "proxy".
	Kind string `json:"kind"`
	// Addr is the service address of the platform.
	Addr string `json:"addr,omitempty"`
	// Admin is the address of the admin endpoints.
	Admin string `json:"admin"`
	// Addrs maps the names of minions, workers or links to their addresses.
	Addrs map[string]string `json:"addrs,omitempty"`
}

// cli is the command line.
type cli struct {
	Platform platformCmd `cmd:"" help:"Run the platform: table, object store, VM list."`
	Minions  minionsCmd  `cmd:"" help:"Run minions, one listener each."`
	Workers  workersCmd  `cmd:"" help:"Run workers, one listener each."`
	Proxy    proxyCmd    `cmd:"" help:"Run a TCP proxy with links whose faults are set over HTTP."`
}

type platformCmd struct {
	Listen string        `default:"127.0.0.1:0" help:"Address (IP:port) of the services and admin endpoints."`
	Writes float64       `default:"400" help:"Writes per second for all clients together."`
	Reads  float64       `default:"2000" help:"Reads per second for all clients together."`
	Appear time.Duration `default:"2s" help:"Lag of the VM list for new and leaving VMs."`
	Remove time.Duration `default:"5s" help:"Lag of the VM list for VMs that are gone."`
	Seed   uint64        `default:"1" help:"Seed of probabilistic faults."`

	MinionAdmin string        `help:"Address of the minions' admin endpoint, which performs reboots."`
	RebootDown  time.Duration `default:"2s" help:"How long a VM is down during a reboot."`
}

func (c *platformCmd) Run(ctx context.Context, out io.Writer) error {
	s := platform.New(platform.Options{
		WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, Seed: c.Seed,
		Lag:     platform.Lag{AppearMS: c.Appear.Milliseconds(), RemoveMS: c.Remove.Milliseconds()},
		Reboots: platform.Reboots{MinionAdmin: c.MinionAdmin, DownMS: c.RebootDown.Milliseconds()},
	})
	return serveUntil(ctx, out, c.Listen, s, func(addr string) Ready {
		return Ready{Kind: "platform", Addr: addr, Admin: addr}
	})
}

// hosts are the flags of subcommands that run several machines.
type hosts struct {
	Admin  string   `default:"127.0.0.1:0" help:"Address of the admin endpoints."`
	Count  int      `default:"1" help:"Number of machines on free ports."`
	Prefix string   `default:"vm-" help:"Names are the prefix and a number from 1."`
	Listen []string `placeholder:"NAME=IP:PORT" help:"Names and addresses; replaces count and prefix."`
}

// addrs returns the names and addresses in order.
func (h *hosts) addrs() ([][2]string, error) {
	var list [][2]string
	for _, s := range h.Listen {
		name, addr, ok := strings.Cut(s, "=")
		if !ok || name == "" {
			return nil, errors.Errorf("listen %q: want NAME=IP:PORT", s)
		}
		list = append(list, [2]string{name, addr})
	}
	if len(list) > 0 {
		return list, nil
	}
	for i := range h.Count {
		list = append(list, [2]string{fmt.Sprintf("%s%d", h.Prefix, i+1), "127.0.0.1:0"})
	}
	return list, nil
}

type minionsCmd struct {
	hosts
	Slots       int           `default:"8" help:"Slots of each minion."`
	Connections int           `default:"64" help:"Connections of each minion."`
	RunTime     time.Duration ` default:"20ms" help:"Run time of a request that gives none."`
	Seed        uint64        `default:"1" help:"Seed of probabilistic faults."`
}

func (c *minionsCmd) Run(ctx context.Context, out io.Writer) error {
	names, err := c.addrs()
	if err != nil {
		return err
	}
	var opts []minion.Options
	for i, n := range names {
		opts = append(opts, minion.Options{Name: n[0], Addr: n[1], Slots: c.Slots,
			Connections: c.Connections, Run: c.RunTime, Seed: c.Seed + uint64(i)})
	}
	f, err := minion.StartFleet(opts)
	if err != nil {
		return err
	}
	defer f.Close()
	addrs := map[string]string{}
	for _, m := range f.Minions() {
		addrs[m.Name()] = m.Addr()
	}
	return serveUntil(ctx, out, c.Admin, f.Admin(), func(admin string) Ready {
		return Ready{Kind: "minions", Admin: admin, Addrs: addrs}
	})
}

type workersCmd struct {
	hosts
	Cores        int           `default:"16" help:"Cores of each worker."`
	MemoryMB     int           `default:"32768" help:"Memory of each worker in MB."`
	Accelerators int           `default:"0" help:"Accelerators of each worker."`
	UsageLag     time.Duration `default:"2s" help:"Lag of usage reports."`
}

func (c *workersCmd) Run(ctx context.Context, out io.Writer) error {
	names, err := c.addrs()
	if err != nil {
		return err
	}
	var opts []worker.Options
	for _, n := range names {
		opts = append(opts, worker.Options{Name: n[0], Addr: n[1], Cores: c.Cores,
			MemoryMB: c.MemoryMB, Accelerators: c.Accelerators, UsageLag: c.UsageLag})
	}
	f, err := worker.StartFleet(opts)
	if err != nil {
		return err
	}
	defer f.Close()
	addrs := map[string]string{}
	for _, w := range f.Workers() {
		addrs[w.Name()] = w.Addr()
	}
	return serveUntil(ctx, out, c.Admin, f.Admin(), func(admin string) Ready {
		return Ready{Kind: "workers", Admin: admin, Addrs: addrs}
	})
}

type proxyCmd struct {
	Admin string   `default:"127.0.0.1:0" help:"Address of the admin endpoints."`
	Link  []string `placeholder:"NAME=LISTEN=TARGET" help:"Links; more can be added over HTTP."`
}

func (c *proxyCmd) Run(ctx context.Context, out io.Writer) error {
	p := faultproxy.New()
	defer p.Close()
	addrs := map[string]string{}
	for _, s := range c.Link {
		f := strings.Split(s, "=")
		if len(f) != 3 {
			return errors.Errorf("link %q: want NAME=LISTEN=TARGET", s)
		}
		l, err := p.Add(faultproxy.LinkSpec{Name: f[0], Listen: f[1], Target: f[2]})
		if err != nil {
			return err
		}
		addrs[f[0]] = l.Addr()
	}
	return serveUntil(ctx, out, c.Admin, p.Admin(), func(admin string) Ready {
		return Ready{Kind: "proxy", Admin: admin, Addrs: addrs}
	})
}

// serveUntil serves h, prints the ready line, and closes the listener when ctx ends.
func serveUntil(ctx context.Context, out io.Writer, listen string, h http.Handler, ready func(addr string) Ready) error {
	if _, _, err := net.SplitHostPort(listen); err != nil {
		return errors.Wrap(err, "listen address")
	}
	host := serve.NewHost(listen)
	if err := host.Start(h); err != nil {
		return err
	}
	defer host.Close()
	if err := json.NewEncoder(out).Encode(ready(host.Addr())); err != nil {
		return errors.Wrap(err, "ready line")
	}
	<-ctx.Done()
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins of outside systems for tests."))
	k.BindTo(ctx, (*context.Context)(nil))
	k.BindTo(os.Stdout, (*io.Writer)(nil))
	k.FatalIfErrorf(k.Run())
}
