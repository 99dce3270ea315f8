package coordinator

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"boragepulley/internal/capacity"
	"boragepulley/internal/jobs"
)

// counters is the expvar map "coordinator". It holds counters since the start of the process and
// gauges of the current term ("term_*"), which keep their last value after the term.
var counters = expvar.NewMap("coordinator")

// startWaits are the times for which tasks waited for starts that may be carried out late.
var startWaits = newWaits()

func init() { counters.Set("start_wait_ms", expvar.Func(startWaits.snapshot)) }

// maxRecordedWait is the longest wait that waits tells from longer ones.
const maxRecordedWait = time.Minute

// waits is a histogram of durations in milliseconds.
type waits struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // guarded by mu
}

func newWaits() *waits {
	return &waits{h: hdrhistogram.New(1, maxRecordedWait.Milliseconds(), 2)}
}

func (w *waits) add(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.h.RecordValue(min(max(1, d.Milliseconds()), maxRecordedWait.Milliseconds()))
}

// waitsSnapshot is the published content of waits, in milliseconds.
type waitsSnapshot struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (w *waits) snapshot() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return waitsSnapshot{Count: w.h.TotalCount(), P50: w.h.ValueAtQuantile(50), P99: w.h.ValueAtQuantile(99), Max: w.h.Max()}
}

func countEnd(how jobs.End) { counters.Add("ends_"+string(how), 1) }

// countHeld adds to the machine-milliseconds that the machines in pools were held for.
func countHeld(h capacity.Held, during time.Duration) {
	for name, machines := range map[string]float64{"running": h.Running, "partial": h.Partial, "moving": h.Moving, "target": h.Target, "recent_peak": h.RecentPeak, "releasing": h.Releasing} {
		counters.AddFloat("machine_ms_"+name, machines*float64(during.Milliseconds()))
	}
}

// setGauge sets a gauge of the current term.
func setGauge(name string, v int64) {
	g := new(expvar.Int)
	g.Set(v)
	counters.Set("term_"+name, g)
}

// updateGauges publishes the term's known state and its age as gauges.
func (t *Term) updateGauges() {
	silent, oldest := 0, time.Duration(0)
	for _, m := range t.minions {
		if m.FailedPolls > 0 {
			silent++
		} else if m.LastReply != 0 {
			oldest = max(oldest, t.now-m.LastReply)
		}
	}
	setGauge("epoch", int64(t.epoch))
	setGauge("lease_left_ms", (t.exclusiveUntil() - t.now).Milliseconds())
	setGauge("jobs_open", int64(len(t.registry.Open())))
	setGauge("progress_unstored", int64(t.registry.UnsavedCount()))
	setGauge("minions", int64(len(t.minions)))
	setGauge("minions_silent", int64(silent))
	setGauge("oldest_word_of_a_minion_ms", oldest.Milliseconds())
	setGauge("starts_without_answer", int64(len(t.pendingStarts)))
	setGauge("machines_moving", int64(len(t.machines.moves)))
	if c := t.deps.Config(); c != nil {
		setGauge("configuration", int64(c.Version))
	}
}
