package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
)

const (
	// takeoverRounds in each of three data centres give twelve takeovers of each kind.
	takeoverRounds = 4
	takeoverProbe  = 10 * time.Millisecond
	// takeoverWithin bounds the wait for one grant; the target for urgent work is 2.2 s.
	takeoverWithin = 15 * time.Second
	targetStart    = 2200 * time.Millisecond
)

// takeover measures the time until the next grant in a data centre, as seen by urgent
// requests of 1 ms at its other entry VMs. The data centres take over independently.
func takeover(ctx context.Context, e *Env) error {
	c, err := e.start(ctx, "three-each", cluster.Options{DirectMinions: true, Site: sites.Options{
		DataCentres: sites.DataCentres(3, 3), Services: 1, MinionsPerService: 9}})
	if err != nil {
		return err
	}
	defer c.Close()
	t := e.table("coordinator", "takeovers", "min ms", "p50 ms", "p90 ms", "p99 ms", "max ms", "over 2.2 s")
	for _, how := range []string{"kill -9", "SIGSTOP"} {
		var mu sync.Mutex // guards times and failed
		var times []time.Duration
		var failed error
		var wg sync.WaitGroup
		for i := range c.Site.DataCentres {
			wg.Go(func() {
				for range takeoverRounds {
					d, err := e.takeoverOnce(ctx, c, i, how)
					mu.Lock()
					if err != nil {
						failed = err
					} else {
						times = append(times, d)
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		p := Params{"coordinator": how}
		late := 0
		for _, d := range times {
			if d > targetStart {
				late++
			}
		}
		e.Record("over_target", p, float64(late), "count")
		t.row(append(append([]string{how}, e.spread("next_grant", p, times)...), num(float64(late)))...)
		if failed != nil {
			t.flush()
			return failed
		}
	}
	t.flush()
	return nil
}

func (e *Env) takeoverOnce(ctx context.Context, c *cluster.Cluster, dc int, how string) (time.Duration, error) {
	site := c.Site.DataCentres[dc]
	old, err := awaitCoordinator(ctx, c, site.Name, site.EntryVMs[0])
	if err != nil {
		return 0, err
	}
	var others []model.EntryVM
	for _, n := range site.EntryVMs {
		if n != old {
			others = append(others, n)
		}
	}
	if how == "SIGSTOP" {
		err = c.Pause(old)
	} else {
		c.Kill(old)
	}
	if err != nil {
		return 0, err
	}
	d, err := e.nextGrant(ctx, c, dc, others)
	if err != nil {
		return 0, errors.WithMessagef(err, "%s after %s of %s", site.Name, how, old)
	}
	if how == "SIGSTOP" {
		err = c.Resume(old)
	} else {
		err = c.StartEntry(old)
	}
	if err != nil {
		return 0, err
	}
	// The data centre settles before the next round, so that each takeover starts from a
	// live lease.
	up, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if err := c.Balancer.AwaitReady(up, len(c.Entries())-len(c.Site.DataCentres)+1); err != nil {
		return 0, err
	}
	pause(ctx, 3*time.Second)
	return d, nil
}

// nextGrant sends probes to the entry VMs from now on and returns when the first one has
// run on a minion of the data centre.
func (e *Env) nextGrant(ctx context.Context, c *cluster.Cluster, dc int, at []model.EntryVM) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, takeoverWithin)
	defer cancel()
	callers := load.NewCallers(c.Balancer)
	name, key := team(0)
	ran := make(chan time.Duration, 1)
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			s := callers.Do(ctx, load.Request{Queue: string(sites.QueueName(0)), Team: name, Key: key, Idempotent: true, Urgent: true,
				Run: time.Millisecond, Deadline: takeoverWithin, Entry: string(at[i%len(at)])})
			if s.Verdict != load.SawRan || !minionOf(c, s.Minion, dc) {
				return
			}
			select {
			case ran <- time.Since(start):
				cancel()
			default:
			}
		})
		pause(ctx, takeoverProbe)
	}
	wg.Wait()
	select {
	case d := <-ran:
		return d, nil
	default:
		return 0, errors.Errorf("measure: no grant within %v", takeoverWithin)
	}
}

// minionOf reports whether the minion with the name is in the data centre with the index.
func minionOf(c *cluster.Cluster, name string, dc int) bool {
	var n int
	if _, err := fmt.Sscanf(name, "vm-%d", &n); err != nil {
		return false
	}
	return c.Site.MinionDC(n-1) == dc
}

// awaitCoordinator waits until an entry VM knows the coordinator of its data centre.
func awaitCoordinator(ctx context.Context, c *cluster.Cluster, dc model.DataCentre, via model.EntryVM) (model.EntryVM, error) {
	op, err := c.Operator(via)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		st, err := op.Status(ctx)
		if err == nil {
			for _, k := range st.Coordinators {
				if k.DC == dc && k.Entry != "" {
					return k.Entry, nil
				}
			}
		}
		if ctx.Err() != nil {
			return "", errors.Errorf("measure: no coordinator in %s: %v", dc, err)
		}
		pause(ctx, 50*time.Millisecond)
	}
}
