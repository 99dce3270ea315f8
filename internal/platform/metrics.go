package platform

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// The expvar map "platform_client" covers all clients of the process: "calls_<op>" and
// "errors_<kind>" are counts, "latency_us" has quantiles of the calls that were sent.
var (
	counters = expvar.NewMap("platform_client")
	latency  = newLatencies()
)

func init() { counters.Set("latency_us", expvar.Func(latency.snapshot)) }

// latencies is a histogram of call times in microseconds.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // guarded by mu
}

// newLatencies covers 1 us to 1 min with two significant digits.
func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, time.Minute.Microseconds(), 2)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(max(1, d.Microseconds()), time.Minute.Microseconds()))
}

// LatencySnapshot is the content of "latency_us", in microseconds.
type LatencySnapshot struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (l *latencies) snapshot() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LatencySnapshot{Count: l.h.TotalCount(), P50: l.h.ValueAtQuantile(50),
		P99: l.h.ValueAtQuantile(99), Max: l.h.Max()}
}

// countCall counts a finished call.
func countCall(op string, err error) {
	counters.Add("calls_"+op, 1)
	if err != nil {
		counters.Add("errors_"+errorName(err), 1)
	}
}

func errorName(err error) string {
	switch {
	case errors.Is(err, ErrUnknownOutcome):
		return "unknown_outcome"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrRateLimited):
		return "budget"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	case errors.Is(err, ErrRejected):
		return "rejected"
	}
	return "other"
}
