package cluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/proc"
	"boragepulley/internal/model"
	"boragepulley/standins/platform"
)

// prepareEntries chooses addresses, adds the links between all processes and writes the
// settings of every entry VM.
func (c *Cluster) prepareEntries() error {
	for _, dc := range c.Site.DataCentres {
		for _, n := range dc.EntryVMs {
			e := &Entry{Name: n, DC: dc.Name, settings: filepath.Join(c.Dir, string(n)+".toml")}
			for _, addr := range []*string{&e.Caller, &e.Operator, &e.Peer} {
				var err error
				if *addr, err = c.ports.next(); err != nil {
					return err
				}
			}
			c.entries[n] = e
			c.names = append(c.names, n)
		}
	}
	for _, n := range c.names {
		if err := c.writeSettings(c.entries[n]); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings of one entry VM. It reaches its peers and the
// platform through links of its own, so that a fault can concern one direction.
func (c *Cluster) writeSettings(e *Entry) error {
	link, err := c.addLink("platform/"+string(e.DC)+"/"+string(e.Name), c.platformAddr)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndata_centre = %q\n", e.Name, e.DC)
	fmt.Fprintf(&b, "caller_listen = %q\noperator_listen = %q\npeer_listen = %q\n", e.Caller, e.Operator, e.Peer)
	fmt.Fprintf(&b, "operator_token = %q\nlog_level = %q\n", OperatorToken, c.LogLevel)
	fmt.Fprintf(&b, "platform_url = \"http://%s\"\nbalancer_grace = \"500ms\"\ndrain_timeout = %q\n", link, drainTimeout)
	b.WriteString(c.Settings)
	for _, n := range c.names {
		p := c.entries[n]
		addr := p.Peer
		if p != e {
			if addr, err = c.addLink(peerLink(e, p), p.Peer); err != nil {
				return err
			}
		}
		fmt.Fprintf(&b, "[[peer]]\nname = %q\ndata_centre = %q\naddress = %q\n", p.Name, p.DC, addr)
	}
	return errors.Wrap(os.WriteFile(e.settings, []byte(b.String()), 0o600), "cluster: settings")
}

func peerLink(from, to *Entry) string {
	return fmt.Sprintf("peer/%s/%s/%s/%s", from.DC, to.DC, from.Name, to.Name)
}

// StartEntry starts the daemon of an entry VM.
func (c *Cluster) StartEntry(n model.EntryVM) error {
	e := c.entries[n]
	p, err := proc.Start(proc.Spec{
		Name: string(n), Path: filepath.Join(c.Bin, "boragepulleyd"), Args: []string{e.settings}, LogDir: c.Dir, ReadyWithin: readyWithin,
	})
	if err != nil {
		return err
	}
	e.proc = p
	return c.list(string(n), platform.VMLive)
}

// list tells the platform's list of VMs about a change, which it shows after its lag.
func (c *Cluster) list(name string, s platform.VMState) error {
	return admin(http.MethodPost, c.platformAddr, platform.PathSetVM, []platform.VMChange{{Name: name, State: s}}, nil)
}

// StartEntries starts all daemons.
func (c *Cluster) StartEntries() error {
	for _, n := range c.names {
		if err := c.StartEntry(n); err != nil {
			return err
		}
	}
	return nil
}

// Kill ends a daemon at once.
func (c *Cluster) Kill(n model.EntryVM) error {
	c.entries[n].proc.Kill()
	return c.list(string(n), platform.VMGone)
}

// Pause stops a daemon without ending it.
func (c *Cluster) Pause(n model.EntryVM) error { return c.entries[n].proc.Pause() }

// Resume continues a paused daemon.
func (c *Cluster) Resume(n model.EntryVM) error { return c.entries[n].proc.Resume() }

// Terminate shuts a daemon down gracefully.
func (c *Cluster) Terminate(n model.EntryVM, within time.Duration) error {
	if err := c.list(string(n), platform.VMLeaving); err != nil {
		return err
	}
	if err := c.entries[n].proc.Terminate(within); err != nil {
		return err
	}
	return c.list(string(n), platform.VMGone)
}

// Running reports whether the daemon runs.
func (c *Cluster) Running(n model.EntryVM) bool {
	p := c.entries[n].proc
	return p != nil && p.Running()
}

// PID returns the process id of a daemon. Error: it was not started.
func (c *Cluster) PID(n model.EntryVM) (int, error) {
	p := c.entries[n].proc
	if p == nil {
		return 0, errors.Errorf("cluster: %s was not started", n)
	}
	return p.PID(), nil
}

// Usage returns processor time and memory of a daemon.
func (c *Cluster) Usage(n model.EntryVM) (proc.Usage, error) { return c.entries[n].proc.Usage() }
