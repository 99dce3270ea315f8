package upstream

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Metrics published by expvar: calls by outcome, connections opened, connections whose close
// the minion did not confirm, latencies in microseconds.
var (
	runOutcomes       = expvar.NewMap("upstream_runs")
	statusOutcomes    = expvar.NewMap("upstream_status")
	connectionsOpened = expvar.NewInt("upstream_connections_opened")
	connectionsSilent = expvar.NewInt("upstream_connections_silent")
	runLatency        = newLatency("upstream_run_latency_us")
	statusLatency     = newLatency("upstream_status_latency_us")
)

// maxLatency is the largest latency that the histograms record; longer ones count as this.
const maxLatency = 20 * time.Minute

// latency is a histogram of durations in microseconds, published by expvar.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency(name string) *latency {
	l := &latency{h: hdrhistogram.New(1, maxLatency.Microseconds(), 2)}
	expvar.Publish(name, l)
	return l
}

// String implements expvar.Var.
func (l *latency) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, err := json.Marshal(map[string]int64{
		"count": l.h.TotalCount(),
		"p50":   l.h.ValueAtQuantile(50),
		"p90":   l.h.ValueAtQuantile(90),
		"p99":   l.h.ValueAtQuantile(99),
		"max":   l.h.Max(),
	})
	if err != nil {
		return "{}"
	}
	return string(b)
}

func observe(l *latency, outcomes *expvar.Map, d time.Duration, err error) {
	l.mu.Lock()
	_ = l.h.RecordValue(min(d, maxLatency).Microseconds()) // cannot fail: the value is within range
	l.mu.Unlock()
	outcomes.Add(outcomeName(err), 1)
}

func outcomeName(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotReached):
		return "not_reached"
	case errors.Is(err, ErrNotStarted):
		return "not_started"
	case errors.Is(err, ErrAnswerLost):
		return "answer_lost"
	}
	return "answer_not_whole"
}
