package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
	"boragepulley/standins/faultproxy"
)

const (
	spreadApplies = 60
	// inForceWithin bounds one apply, well above the target of 3 s.
	inForceWithin = 20 * time.Second
	// targetInForce is the target from acceptance until in force everywhere.
	targetInForce = 3 * time.Second
)

// spreadCase is one condition of the links.
type spreadCase struct {
	name  string
	delay time.Duration
	cut   bool
}

var spreadCases = []spreadCase{
	{name: "no delay"},
	{name: "20 ms each way", delay: 20 * time.Millisecond},
	{name: "100 ms each way", delay: 100 * time.Millisecond},
	{name: "one data centre cut from the platform", cut: true},
}

// configSpread measures both sizes at the same time, because most of an apply is waiting.
func configSpread(ctx context.Context, e *Env) error {
	sizes := []fleetSize{{3, 2, 50, 6, 50}, {7, 4, 350, 31, 1200}}
	rows := make([][][]string, len(sizes))
	errs := make([]error, len(sizes))
	var wg sync.WaitGroup
	for i, s := range sizes {
		wg.Go(func() { rows[i], errs[i] = e.spreadOf(ctx, s) })
	}
	wg.Wait()
	t := e.table("entry VMs", "links", "from", "applies", "min ms", "p50 ms", "p90 ms", "p99 ms", "max ms", "over 3 s")
	for _, r := range rows {
		for _, cells := range r {
			t.row(cells...)
		}
	}
	t.flush()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) spreadOf(ctx context.Context, s fleetSize) ([][]string, error) {
	c, err := e.start(ctx, strconv.Itoa(s.entries()), cluster.Options{DirectMinions: true, Site: sites.Options{
		DataCentres: sites.DataCentres(s.dcs, s.perDC), Services: 5, MinionsPerService: s.vms / 5, Teams: s.teams, Workers: s.workers}})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var out [][]string
	for _, k := range spreadCases {
		if err := k.set(c); err != nil {
			return out, err
		}
		pause(ctx, 2*time.Second)
		accepted, sent, err := e.applies(ctx, c)
		if err != nil {
			return out, errors.WithMessagef(err, "%d entry VMs, %s", s.entries(), k.name)
		}
		for _, d := range []struct {
			from  string
			times []time.Duration
		}{{"accepted", accepted}, {"sent", sent}} {
			p := Params{"entry_vms": s.entries(), "links": k.name, "from": d.from}
			late := 0
			for _, x := range d.times {
				if x > targetInForce {
					late++
				}
			}
			cells := append([]string{strconv.Itoa(s.entries()), k.name, d.from}, e.spread("in_force_everywhere", p, d.times)...)
			e.Record("over_target", p, float64(late), "count")
			out = append(out, append(cells, strconv.Itoa(late)))
		}
		if err := c.Link(faultproxy.ActionHeal, ""); err != nil {
			return out, err
		}
		pause(ctx, 3*time.Second)
	}
	return out, nil
}

// set puts the condition in force on the links to the platform and between data centres.
func (k spreadCase) set(c *cluster.Cluster) error {
	last := c.Site.DataCentres[len(c.Site.DataCentres)-1].Name
	if k.cut {
		return c.Link(faultproxy.ActionCut, cluster.PlatformLinks(last))
	}
	if k.delay == 0 {
		return nil
	}
	links := []string{"platform/"}
	for _, dc := range c.Site.DataCentres {
		links = append(links, c.CrossLinks(dc.Name)...)
	}
	return c.Delay(k.delay, links...)
}

// applies applies spreadApplies changes one after the other. It returns the times until
// each was in force at all entry VMs, from the arrival of the acceptance at the operator
// and from the sending of the apply. The times in force are those of the daemons' logs.
func (e *Env) applies(ctx context.Context, c *cluster.Cluster) (accepted, sent []time.Duration, err error) {
	op, err := c.Operator()
	if err != nil {
		return nil, nil, err
	}
	st, err := op.Status(ctx)
	if err != nil {
		return nil, nil, err
	}
	base := st.Configuration.Head.Version
	logs := newInForceLogs(c)
	for i := range spreadApplies {
		c.Site.MaxWaiting = 1000 + i%2
		files := c.Files()
		start := time.Now()
		r, err := op.Apply(ctx, operator.ApplyRequest{ApplyID: string(model.NewIncarnation()), Operator: "experiment", BaseVersion: base, Files: files})
		answered := time.Now()
		if err != nil {
			return accepted, sent, err
		}
		base = r.Version
		everywhere, err := logs.await(ctx, r.Version)
		if err != nil {
			return accepted, sent, err
		}
		// A version can be in force before its acceptance has reached the operator.
		accepted = append(accepted, max(0, everywhere.Sub(answered)))
		sent = append(sent, everywhere.Sub(start))
	}
	return accepted, sent, nil
}

// inForceLogs follows the logs of all daemons.
type inForceLogs struct{ files []*inForceLog }

// inForceLog follows the log of one daemon.
type inForceLog struct {
	path    string
	offset  int64
	version uint64
	at      time.Time
}

func newInForceLogs(c *cluster.Cluster) *inForceLogs {
	l := &inForceLogs{}
	for _, n := range c.Entries() {
		l.files = append(l.files, &inForceLog{path: filepath.Join(c.Dir, string(n)+".log")})
	}
	return l
}

// await waits until every daemon has the version or a later one in force and returns
// when the last one put it in force, with a resolution of 1 ms.
func (l *inForceLogs) await(ctx context.Context, version uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	for {
		var last time.Time
		missing := ""
		for _, f := range l.files {
			if f.version < version {
				if err := f.read(); err != nil {
					return last, err
				}
			}
			if f.version < version {
				missing = filepath.Base(f.path)
			}
			if f.at.After(last) {
				last = f.at
			}
		}
		if missing == "" {
			return last, nil
		}
		if ctx.Err() != nil {
			return last, errors.Errorf("measure: version %d not in force, see %s", version, missing)
		}
		pause(ctx, 10*time.Millisecond)
	}
}

// read reads the lines that were added.
func (f *inForceLog) read() error {
	file, err := os.Open(f.path)
	if err != nil {
		return errors.Wrap(err, "measure: log")
	}
	defer file.Close()
	if _, err := file.Seek(f.offset, io.SeekStart); err != nil {
		return errors.Wrap(err, "measure: log")
	}
	r := bufio.NewReader(file)
	for {
		text, err := r.ReadBytes('\n')
		if err != nil {
			return nil // the rest of the line is not written yet
		}
		f.offset += int64(len(text))
		var x struct {
			Message string `json:"message"`
			To      uint64 `json:"to"`
			Time    int64  `json:"time"`
		}
		// The field "to" has other types in other messages.
		if json.Unmarshal(text, &x) == nil && x.Message == inForceMessage {
			f.version, f.at = x.To, time.UnixMilli(x.Time)
		}
	}
}

// inForceMessage is what the daemon logs when it puts a version in force.
const inForceMessage = "configuration in force"
