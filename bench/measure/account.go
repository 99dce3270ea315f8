package measure

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/account"
	"boragepulley/internal/operator"
	"boragepulley/internal/platform"
)

// accountRates are the request rates whose jobs are counted, in jobs per second.
var accountRates = []int{50, 300, 900}

const (
	accountWindow = 5 * time.Second
	// accountStored is the time in which all records of a window are stored: a daemon
	// stores a batch at least every 5 s.
	accountStored = 6 * time.Second
)

// accountCost measures what the account stores per job and how long a report takes.
func accountCost(ctx context.Context, e *Env) error {
	c, err := e.start(ctx, "3x2", cluster.Options{DirectMinions: true, Site: sites.Options{
		DataCentres: sites.DataCentres(3, 2), Services: 5, MinionsPerService: 10, Limits: []int{400, 400, 400, 400, 400, 400}}})
	if err != nil {
		return err
	}
	defer c.Close()
	store, err := platform.NewClient(platform.Options{BaseURL: "http://" + c.PlatformAddr(), ClientName: "experiment",
		WritesPerSecond: 1, ReadsPerSecond: 2000})
	if err != nil {
		return err
	}
	defer store.Close()
	t := e.table("jobs/s", "new jobs", "new objects", "objects/s", "bytes/job", "records/job", "jobs in all", "objects in all", "report ms")
	var prev stored
	var x, y []float64
	for _, rate := range accountRates {
		start := time.Now()
		jobs := e.accountLoad(ctx, c, rate)
		secs := time.Since(start).Seconds()
		if jobs == 0 {
			return errors.New("measure: no request was sent")
		}
		pause(ctx, accountStored)
		now, err := readStored(ctx, store)
		if err != nil {
			return err
		}
		report, err := e.reportTime(ctx, c)
		if err != nil {
			return err
		}
		p := Params{"jobs_per_second": rate}
		n := float64(jobs)
		objects, bytes, records := now.objects-prev.objects, now.bytes-prev.bytes, now.records-prev.records
		e.Record("objects_per_second", p, float64(objects)/secs, "1/s")
		e.Record("bytes_per_job", p, float64(bytes)/n, "B")
		e.Record("objects_per_job", p, float64(objects)/n, "1")
		e.Record("records_per_job", p, float64(records)/n, "1")
		e.Record("report_time", Params{"jobs": now.jobs, "objects": now.objects}, ms(report), "ms")
		t.row(strconv.Itoa(rate), strconv.Itoa(jobs), strconv.Itoa(objects), num(float64(objects)/secs), num(float64(bytes)/n),
			num(float64(records)/n), strconv.Itoa(now.jobs), strconv.Itoa(now.objects), num(ms(report)))
		x, y = append(x, float64(now.objects)), append(y, ms(report))
		prev = now
	}
	t.flush()
	l := fit(x, y)
	e.Record("report_time_slope", Params{"per": "object"}, l.Slope, "ms")
	e.Record("report_time_intercept", Params{"per": "object"}, l.Intercept, "ms")
	s := e.table("report, slope ms per object", "intercept ms")
	s.row(num(l.Slope), num(l.Intercept))
	s.flush()
	return nil
}

// accountLoad sends requests for a window and returns their number.
func (e *Env) accountLoad(ctx context.Context, c *cluster.Cluster, rate int) int {
	callers := load.NewCallers(c.Balancer)
	p := load.Profile{Steady: true, Seed: e.Seed, MaxInFlight: 1000}
	for q := range c.Site.Services {
		p.Streams = append(p.Streams, load.Stream{Queue: string(sites.QueueName(q)), Mean: float64(rate) / float64(c.Site.Services),
			Next: func(r *rand.Rand) load.Request {
				name, key := team(r.IntN(6))
				return load.Request{Queue: string(sites.QueueName(q)), Team: name, Key: key, Idempotent: true,
					Run: 2 * time.Millisecond, Deadline: 10 * time.Second}
			}})
	}
	ctx, cancel := context.WithTimeout(ctx, accountWindow)
	defer cancel()
	p.Run(ctx, callers)
	return len(callers.Seen())
}

// stored is what the object store holds of the account.
type stored struct{ objects, bytes, records, jobs int }

func readStored(ctx context.Context, store *platform.Client) (stored, error) {
	in, err := account.Load(ctx, store.Services())
	if err != nil {
		return stored{}, err
	}
	var s stored
	for _, b := range in.Batches {
		// A batch is stored as it is encoded.
		data, err := b.Encode()
		if err != nil {
			return s, err
		}
		s.objects++
		s.bytes += len(data)
		s.records += len(b.Records)
	}
	s.jobs = len(account.Build(in).All)
	return s, nil
}

// reportTime returns the median time of three reports in JSON.
func (e *Env) reportTime(ctx context.Context, c *cluster.Cluster) (time.Duration, error) {
	op, err := c.Operator()
	if err != nil {
		return 0, err
	}
	var d []time.Duration
	for range 3 {
		start := time.Now()
		if _, err := op.Report(ctx, operator.ReportQuery{Format: operator.ReportJSON}); err != nil {
			return 0, err
		}
		d = append(d, time.Since(start))
	}
	return quantile(d, 0.5), nil
}
