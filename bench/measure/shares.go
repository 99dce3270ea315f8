package measure

import (
	"context"
	"sync"
	"time"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/config"
	"boragepulley/standins/faultproxy"
)

const (
	sharesSettle = 5 * time.Second
	sharesWindow = 8 * time.Second
	sharesRun    = 100 * time.Millisecond
	// sharesMinions over three data centres give 16 slots in each.
	sharesMinions = 6
	sharesSlots   = sharesMinions * 8
)

// demand has the requests that each team keeps open in each data centre.
type demand [][]int

// shareDemand keeps all teams waiting; their shares of the fleet can be met, but not by
// a data centre that knows only its own work.
var (
	shareWeights = []int{4, 3, 2, 1}
	shareDemand  = demand{{32, 24, 0}, {0, 32, 24}, {16, 0, 24}, {12, 12, 12}}
)

// shares measures closeness with and without the exchange of usage, then the capacity
// that limits leave unused.
//
// The baseline is a fixed equal split of limits and no exchange of usage. The closeness
// of the baseline is measured in the same run with the links between data centres cut:
// then no usage is exchanged, and the limits (the whole fleet) do not bind. The capacity
// that the baseline's limits leave unused follows from the demand by arithmetic.
func shares(ctx context.Context, e *Env) error {
	if err := e.closeness(ctx); err != nil {
		return err
	}
	return e.unused(ctx)
}

func (e *Env) sharesCluster(ctx context.Context, name string, weights, limits []int) (*cluster.Cluster, error) {
	return e.start(ctx, name, cluster.Options{DirectMinions: true, Site: sites.Options{
		DataCentres: sites.DataCentres(3, 2), Services: 1, MinionsPerService: sharesMinions,
		Teams: len(weights), Shares: weights, Limits: limits, MaxWaiting: 10_000,
		Isolation: config.Isolation{Keys: config.KeysServe},
	}})
}

func (e *Env) closeness(ctx context.Context) error {
	limits := []int{sharesSlots, sharesSlots, sharesSlots, sharesSlots}
	c, err := e.sharesCluster(ctx, "closeness", shareWeights, limits)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := e.backlog(ctx, c, shareDemand)
	defer stop()
	t := e.table("usage", "closeness", "slots used %", "team-1 %", "team-2 %", "team-3 %", "team-4 %")
	row := func(name string) error {
		used, err := e.usedParts(ctx, c, len(shareWeights))
		if err != nil {
			return err
		}
		parts, full := fractions(used)
		close := closenessOf(parts, shareWeights)
		p := Params{"usage": name}
		e.Record("closeness", p, close, "1")
		e.Record("slots_used", p, 100*full, "%")
		cells := []string{name, num(close), num(100 * full)}
		for i, f := range parts {
			e.Record("used_part", Params{"usage": name, "team": string(sites.TeamName(i)), "weight": shareWeights[i]}, 100*f, "%")
			cells = append(cells, num(100*f))
		}
		t.row(cells...)
		return nil
	}
	// Three windows, because closeness depends on where the last usage messages fell.
	pause(ctx, sharesSettle)
	for range 3 {
		if err := row("exchanged"); err != nil {
			return err
		}
	}
	if err := cutPeers(c); err != nil {
		return err
	}
	pause(ctx, sharesSettle)
	for range 2 {
		if err := row("not exchanged (baseline)"); err != nil {
			return err
		}
	}
	t.flush()
	return nil
}

// cutPeers cuts all links between data centres.
func cutPeers(c *cluster.Cluster) error {
	var links []string
	for _, dc := range c.Site.DataCentres {
		links = append(links, c.CrossLinks(dc.Name)...)
	}
	return c.Link(faultproxy.ActionCut, links...)
}

// closenessOf is 1 less half the sum of the differences between used and due parts.
func closenessOf(parts []float64, weights []int) float64 {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	d := 0.0
	for i, p := range parts {
		x := p - float64(weights[i])/float64(sum)
		d += max(x, -x)
	}
	return 1 - d/2
}

// fractions returns each team's part of all used slots, and the used part of all slots,
// from slot milliseconds over sharesWindow.
func fractions(used []float64) (parts []float64, full float64) {
	sum := 0.0
	for _, u := range used {
		sum += u
	}
	for _, u := range used {
		parts = append(parts, u/max(sum, 1))
	}
	return parts, sum / (sharesSlots * ms(sharesWindow))
}

// usedParts returns the slot milliseconds of each team over a window.
func (e *Env) usedParts(ctx context.Context, c *cluster.Cluster, teams int) ([]float64, error) {
	if err := c.ResetTags(); err != nil {
		return nil, err
	}
	start := time.Now()
	pause(ctx, sharesWindow)
	tags, err := c.Tags()
	if err != nil {
		return nil, err
	}
	scale := float64(sharesWindow) / float64(time.Since(start))
	out := make([]float64, teams)
	for _, t := range tags {
		for i := range out {
			if t.Tag == string(sites.TeamName(i)) {
				out[i] = t.SlotMS * scale
			}
		}
	}
	return out, nil
}

// backlog keeps requests open until the returned function is called.
func (e *Env) backlog(ctx context.Context, c *cluster.Cluster, d demand) (stop func()) {
	callers := load.NewCallers(c.Balancer)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i, byDC := range d {
		name, key := team(i)
		for j, n := range byDC {
			entries := c.Site.DataCentres[j].EntryVMs
			for k := range n {
				wg.Go(func() {
					for ctx.Err() == nil {
						s := callers.Do(context.WithoutCancel(ctx), load.Request{Queue: string(sites.QueueName(0)), Team: name, Key: key,
							Idempotent: true, Run: sharesRun, Deadline: 6 * time.Second, Entry: string(entries[k%len(entries)])})
						if s.Verdict != load.SawRan {
							pause(ctx, 50*time.Millisecond)
						}
					}
				})
			}
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// Each team has demand in one data centre, and a limit of half the fleet. An equal split
// gives it a third of that there, half of the slots of its data centre.
const unusedLimit = sharesSlots / 2

var (
	homeDemand    = demand{{48, 0, 0}, {0, 48, 0}, {0, 0, 48}}
	shiftedDemand = demand{{0, 48, 0}, {0, 0, 48}, {48, 0, 0}}
)

// unused measures the part of the capacity that limits leave unused while work waits.
func (e *Env) unused(ctx context.Context) error {
	c, err := e.sharesCluster(ctx, "unused", []int{1, 1, 1}, []int{unusedLimit, unusedLimit, unusedLimit})
	if err != nil {
		return err
	}
	defer c.Close()
	baseline := 100 * (1 - float64(len(homeDemand)*(unusedLimit/len(homeDemand)))/sharesSlots)
	t := e.table("links", "demand", "unused %", "unused % of the baseline (arithmetic)")
	row := func(links, where string) error {
		used, err := e.usedParts(ctx, c, len(homeDemand))
		if err != nil {
			return err
		}
		_, full := fractions(used)
		p := Params{"links": links, "demand": where}
		e.Record("unused", p, 100*(1-full), "%")
		e.Record("unused_baseline", p, baseline, "%")
		t.row(links, where, num(100*(1-full)), num(baseline))
		return nil
	}
	stop := e.backlog(ctx, c, homeDemand)
	pause(ctx, sharesSettle)
	if err := row("whole", "one team in each data centre"); err != nil {
		stop()
		return err
	}
	if err := cutPeers(c); err != nil {
		stop()
		return err
	}
	pause(ctx, sharesSettle)
	err = row("data centres cut from each other", "the same as before")
	if err == nil {
		err = c.Link(faultproxy.ActionCut, "platform/")
	}
	pause(ctx, sharesSettle)
	if err == nil {
		err = row("cut from each other and the platform", "the same as before")
	}
	stop()
	if err != nil {
		return err
	}
	stop = e.backlog(ctx, c, shiftedDemand)
	defer stop()
	pause(ctx, sharesSettle)
	if err := row("cut from each other and the platform", "each team in another data centre"); err != nil {
		return err
	}
	if err := c.Link(faultproxy.ActionHeal, "platform/"); err != nil {
		return err
	}
	pause(ctx, sharesSettle)
	if err := row("data centres cut from each other", "each team in another data centre"); err != nil {
		return err
	}
	t.flush()
	return nil
}
