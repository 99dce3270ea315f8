package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
	"boragepulley/standins/minion"
)

const (
	// pathSlots lets the highest concurrency level run without a queue.
	pathSlots = 64
	// pathRound is how long one target is called before the other has its turn.
	pathRound  = time.Second
	pathRounds = 2
	smallBody  = 64
	largeBody  = 64 << 10
)

// pathTarget is something that runs requests.
type pathTarget struct {
	name string
	url  string
	// header adds what the target needs for the n-th request.
	header func(h http.Header, n int64)
	entry  model.EntryVM
	result sample
}

// sample is the outcome of calls to one target.
type sample struct {
	hist    *hdrhistogram.Histogram // in microseconds
	done    int64
	failed  int64
	elapsed time.Duration
	// cpu is the processor time that the daemon used.
	cpu time.Duration
}

func (s *sample) rate() float64 { return float64(s.done) / s.elapsed.Seconds() }

// path compares calls through a coordinator and through another entry VM of the same
// data centre with direct calls, all to the same minion. The targets take turns.
func path(ctx context.Context, e *Env) error {
	c, err := e.start(ctx, "one-minion", cluster.Options{DirectMinions: true, Site: sites.Options{
		DataCentres: sites.DataCentres(1, 2), Services: 1, MinionsPerService: 1, Slots: pathSlots,
		Connections: 4 * pathSlots, Teams: 1, Shares: []int{1}, Limits: []int{pathSlots},
	}})
	if err != nil {
		return err
	}
	defer c.Close()
	coordinator, err := c.Coordinator(ctx, c.Site.DataCentres[0].Name)
	if err != nil {
		return err
	}
	t := e.table("body B", "callers", "target", "requests/s", "of direct", "p50 us", "p90 us", "p99 us", "added p50 us", "added p99 us", "daemon us/request", "failed")
	for _, size := range []int{smallBody, largeBody} {
		for _, callers := range []int{1, 8, 64} {
			targets := pathTargets(c, coordinator)
			for range pathRounds {
				for _, x := range targets {
					if err := x.call(ctx, c, size, callers); err != nil {
						return err
					}
				}
			}
			e.pathRows(t, size, callers, targets)
		}
	}
	t.flush()
	return nil
}

func pathTargets(c *cluster.Cluster, coordinator model.EntryVM) []*pathTarget {
	var n atomic.Int64
	out := []*pathTarget{{name: "direct", url: "http://" + c.Site.MinionAddrs[0] + "/run", header: func(h http.Header, _ int64) {
		h.Set(minion.HeaderJob, fmt.Sprintf("direct-%d", n.Add(1)))
		h.Set(minion.HeaderAttempt, "1")
	}}}
	_, key := team(0)
	for _, v := range c.Entries() {
		name := "other entry VM"
		if v == coordinator {
			name = "coordinator"
		}
		out = append(out, &pathTarget{name: name, entry: v,
			url:    "http://" + c.Entry(v).Caller + "/v1/queues/" + string(sites.QueueName(0)) + "/requests",
			header: func(h http.Header, _ int64) { h.Set("Authorization", "Bearer "+key) }})
	}
	for _, x := range out {
		x.result.hist = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	return out
}

// pathBody asks for an answer of its own size and no run time.
func pathBody(size int) []byte {
	head := fmt.Sprintf(`{"run_ms":0,"answer_bytes":%d,"pad":"`, size)
	return []byte(head + strings.Repeat("x", max(0, size-len(head))) + `"}`)
}

// call calls the target for a round with the given number of callers at once.
func (x *pathTarget) call(ctx context.Context, c *cluster.Cluster, size, callers int) error {
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	before, err := x.cpu(c)
	if err != nil {
		return err
	}
	body := pathBody(size)
	var mu sync.Mutex // guards x.result
	var wg sync.WaitGroup
	start := time.Now()
	for range callers {
		wg.Go(func() {
			h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var failed int64
			for n := int64(0); time.Since(start) < pathRound && ctx.Err() == nil; n++ {
				sent := time.Now()
				if err := x.once(ctx, client, body, n); err != nil {
					failed++
					continue
				}
				_ = h.RecordValue(max(1, time.Since(sent).Microseconds()))
			}
			mu.Lock()
			defer mu.Unlock()
			x.result.hist.Merge(h)
			x.result.done += h.TotalCount()
			x.result.failed += failed
		})
	}
	wg.Wait()
	x.result.elapsed += time.Since(start)
	after, err := x.cpu(c)
	x.result.cpu += after - before
	return err
}

func (x *pathTarget) cpu(c *cluster.Cluster) (time.Duration, error) {
	if x.entry == "" {
		return 0, nil
	}
	u, err := c.Usage(x.entry)
	return u.CPU, err
}

func (x *pathTarget) once(ctx context.Context, client *http.Client, body []byte, n int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, x.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	x.header(req.Header, n)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("measure: %s answered %d", x.name, resp.StatusCode)
	}
	return nil
}

func (e *Env) pathRows(t *table, size, callers int, targets []*pathTarget) {
	direct := &targets[0].result
	for _, x := range targets {
		r := &x.result
		p := Params{"body_bytes": size, "callers": callers, "target": x.name}
		us := func(q float64) float64 { return float64(r.hist.ValueAtQuantile(q)) }
		added := func(q float64) float64 { return us(q) - float64(direct.hist.ValueAtQuantile(q)) }
		var perRequest float64
		if r.done > 0 {
			perRequest = float64(r.cpu.Microseconds()) / float64(r.done)
		}
		ratio := r.rate() / direct.rate()
		e.Record("throughput", p, r.rate(), "requests/s")
		e.Record("throughput_ratio", p, ratio, "of direct")
		for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9} {
			e.Record("latency_"+name, p, us(q), "us")
			e.Record("added_latency_"+name, p, added(q), "us")
		}
		e.Record("daemon_processor_time", p, perRequest, "us/request")
		e.Record("failed", p, float64(r.failed), "count")
		t.row(strconv.Itoa(size), strconv.Itoa(callers), x.name, num(r.rate()), num(ratio), num(us(50)), num(us(90)), num(us(99)),
			num(added(50)), num(added(99)), num(perRequest), num(float64(r.failed)))
	}
}
