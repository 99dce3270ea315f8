package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/standins/platform"
)

const claimsWindow = 3 * time.Second

// claims measures requests that need a claim against the same requests without an id,
// with the store at once and with a store that takes 10 ms.
func claims(ctx context.Context, e *Env) error {
	c, err := e.start(ctx, "3x2", cluster.Options{DirectMinions: true, Site: sites.Options{
		DataCentres: sites.DataCentres(3, 2), Services: 5, MinionsPerService: 10, Limits: []int{400, 400, 400, 400, 400, 400}}})
	if err != nil {
		return err
	}
	defer c.Close()
	idle, err := e.writesOver(ctx, c, func() { pause(ctx, claimsWindow) })
	if err != nil {
		return err
	}
	e.Record("site_store_writes_idle", nil, idle, "1/s")
	t := e.table("store ms", "requests/s", "ids", "sent/s", "ran", "not run", "store writes/s", "writes/request over no ids", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms")
	for _, delay := range []int64{0, 10} {
		if err := c.PlatformFaults(platform.Faults{DelayMS: delay}); err != nil {
			return err
		}
		for _, rate := range []int{50, 200, 500, 1000} {
			var without claimsRow
			for _, ids := range []bool{false, true} {
				r, err := e.claimsOf(ctx, c, rate, ids)
				if err != nil {
					return err
				}
				if !ids {
					without = r
				}
				e.claimsRow(t, delay, rate, ids, r, without)
			}
		}
	}
	t.flush()
	return nil
}

// claimsRow is the outcome of one rate.
type claimsRow struct {
	sent, ran, notRun int
	writes, seconds   float64
	p50, p99          time.Duration
}

// writesOver returns the site's store writes per second while f runs.
func (e *Env) writesOver(ctx context.Context, c *cluster.Cluster, f func()) (float64, error) {
	before, err := c.PlatformStats()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	f()
	secs := time.Since(start).Seconds()
	after, err := c.PlatformStats()
	return float64(after.Writes-before.Writes) / secs, err
}

func (e *Env) claimsOf(ctx context.Context, c *cluster.Cluster, rate int, ids bool) (claimsRow, error) {
	callers := load.NewCallers(c.Balancer)
	p := load.Profile{Steady: true, Seed: e.Seed, MaxInFlight: 1000}
	run := strconv.FormatInt(time.Now().UnixNano(), 36)
	for q := range c.Site.Services {
		p.Streams = append(p.Streams, load.Stream{Queue: string(sites.QueueName(q)), Mean: float64(rate) / float64(c.Site.Services),
			Next: func(r *rand.Rand) load.Request {
				name, key := team(r.IntN(6))
				x := load.Request{Queue: string(sites.QueueName(q)), Team: name, Key: key, Run: 2 * time.Millisecond, Deadline: 10 * time.Second}
				if ids {
					x.RequestID = fmt.Sprintf("%s-%d-%d", run, q, r.Uint64())
				}
				return x
			}})
	}
	var row claimsRow
	start := time.Now()
	writes, err := e.writesOver(ctx, c, func() {
		load, cancel := context.WithTimeout(ctx, claimsWindow)
		defer cancel()
		p.Run(load, callers)
	})
	row.writes, row.seconds = writes, time.Since(start).Seconds()
	var took []time.Duration
	for _, s := range callers.Seen() {
		row.sent++
		switch s.Verdict {
		case load.SawRan:
			row.ran++
			took = append(took, s.Took)
		case load.SawNotRun:
			row.notRun++
		}
	}
	if err == nil && row.sent == 0 {
		err = errors.New("measure: no request was sent")
	}
	row.p50, row.p99 = quantile(took, 0.5), quantile(took, 0.99)
	return row, err
}

func (e *Env) claimsRow(t *table, delay int64, rate int, ids bool, r, without claimsRow) {
	p := Params{"store_delay_ms": delay, "requests_per_second": rate, "ids": ids}
	sent := float64(r.sent) / r.seconds
	per := (r.writes - without.writes) / sent
	for _, f := range []struct {
		name, unit string
		v          float64
	}{
		{"sent", "1/s", sent}, {"ran", "count", float64(r.ran)}, {"not_run", "count", float64(r.notRun)},
		{"site_store_writes", "1/s", r.writes}, {"claim_writes_per_request", "1", per},
		{"latency_p50", "ms", ms(r.p50)}, {"latency_p99", "ms", ms(r.p99)},
		{"added_latency_p50", "ms", ms(r.p50 - without.p50)}, {"added_latency_p99", "ms", ms(r.p99 - without.p99)},
	} {
		e.Record(f.name, p, f.v, f.unit)
	}
	t.row(strconv.FormatInt(delay, 10), strconv.Itoa(rate), strconv.FormatBool(ids), num(sent), strconv.Itoa(r.ran), strconv.Itoa(r.notRun),
		num(r.writes), num(per), num(ms(r.p50)), num(ms(r.p99)), num(ms(r.p50-without.p50)), num(ms(r.p99-without.p99)))
}
