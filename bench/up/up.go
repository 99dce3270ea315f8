// Package up runs a small site until it is interrupted, for trying the tool, the API
// and faults by hand.
package up

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/config"
)

const (
	readyWithin = 20 * time.Second
	// loadRate is the mean rate per queue, in requests per second, of the background load.
	loadRate    = 5
	maxInFlight = 200
	teams       = 6
)

// Options of the site.
type Options struct {
	Bin, Dir string
	Seed     uint64
	// Load puts a light load on the site.
	Load bool
}

// Run starts the site, prints how to reach it and serves until ctx ends.
func Run(ctx context.Context, o Options, out io.Writer) error {
	site := sites.Alexandria()
	site.DataCentres = sites.DataCentres(2, 2)
	site.Services, site.MinionsPerService, site.Workers = 3, 8, 8
	c, err := cluster.Start(cluster.Options{Bin: o.Bin, Dir: o.Dir, Site: site, Seed: o.Seed})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.StartEntries(); err != nil {
		return err
	}
	up, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if _, _, err := c.Apply(up, c.Files()); err != nil {
		return err
	}
	if err := c.Balancer.AwaitReady(up, len(c.Entries())); err != nil {
		return errors.Wrap(err, "up: entry VMs not ready")
	}
	folder := filepath.Join(o.Dir, "site")
	if err := writeFiles(folder, c.Files()); err != nil {
		return err
	}
	explain(c, folder, out)
	if o.Load {
		profile(c, o.Seed).Run(ctx, load.NewCallers(c.Balancer))
	}
	<-ctx.Done()
	return nil
}

func writeFiles(folder string, files []config.File) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "up: folder")
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.Name), []byte(f.Text), 0o644); err != nil {
			return errors.Wrap(err, "up: file")
		}
	}
	return nil
}

func explain(c *cluster.Cluster, folder string, out io.Writer) {
	var operators []string
	for _, n := range c.Entries() {
		e := c.Entry(n)
		operators = append(operators, e.Operator)
		fmt.Fprintf(out, "%s in %s: callers at %s, operators at %s\n", n, e.DC, e.Caller, e.Operator)
	}
	first := c.Entry(c.Entries()[0])
	fmt.Fprintf(out, `
Applied files: %s

export BORAGEPULLEY_SERVERS=%s
export BORAGEPULLEY_TOKEN=%s
bin/boragepulley status

curl -i -H 'Authorization: Bearer %s' -d '{"run_ms":50}' http://%s/v1/queues/%s/requests

Interrupt this command to end the site.
`, folder, strings.Join(operators, ","), cluster.OperatorToken, sites.KeyText(0), first.Caller, sites.QueueName(0))
}

func profile(c *cluster.Cluster, seed uint64) load.Profile {
	p := load.Profile{Burst: 3 * time.Second, Seed: seed, MaxInFlight: maxInFlight}
	for q := range c.Site.Services {
		p.Streams = append(p.Streams, load.Stream{Queue: string(sites.QueueName(q)), Mean: loadRate,
			Next: func(r *rand.Rand) load.Request {
				team := r.IntN(teams)
				return load.Request{Queue: string(sites.QueueName(q)), Team: string(sites.TeamName(team)), Key: sites.KeyText(team),
					Idempotent: true, Run: time.Duration(20+r.IntN(300)) * time.Millisecond, Deadline: 10 * time.Second}
			}})
	}
	return p
}
