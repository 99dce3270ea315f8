package measure

import (
	"context"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/sites"
)

// readyWithin bounds the start of a whole cluster.
const readyWithin = 40 * time.Second

// start starts a cluster, applies its files and waits until every entry VM is ready.
func (e *Env) start(ctx context.Context, name string, o cluster.Options) (*cluster.Cluster, error) {
	o.Bin, o.Dir, o.Seed = e.Bin, filepath.Join(e.Dir, e.name+"-"+name), e.Seed
	c, err := cluster.Start(o)
	if err != nil {
		return nil, err
	}
	if err := e.bringUp(ctx, c); err != nil {
		c.Close()
		return nil, errors.WithMessage(err, name)
	}
	return c, nil
}

func (e *Env) bringUp(ctx context.Context, c *cluster.Cluster) error {
	if err := c.StartEntries(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	// A daemon that has just started may not answer yet.
	for {
		_, _, err := c.Apply(ctx, c.Files())
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return err
		}
		pause(ctx, 200*time.Millisecond)
	}
	return c.Balancer.AwaitReady(ctx, len(c.Entries()))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// team returns the name and key of the team with the index.
func team(i int) (name, key string) { return string(sites.TeamName(i)), sites.KeyText(i) }
