package coordinator

import (
	"expvar"
	"time"

	"boragepulley/internal/jobs"
)

// The expvar map "coordinator": counts since the start of the process, and gauges of the
// present term ("term_*"), which keep their last value when the term is over.
var counters = expvar.NewMap("coordinator")

func countEnd(how jobs.End) { counters.Add("ends_"+string(how), 1) }

// setGauge stores a value of the present term.
func setGauge(name string, v int64) {
	g := new(expvar.Int)
	g.Set(v)
	counters.Set("term_"+name, g)
}

// gauges tells what the term believes, and how old that is.
func (t *Term) gauges() {
	silent, oldest := 0, time.Duration(0)
	for _, m := range t.minions {
		if m.FailedPolls > 0 {
			silent++
		} else if m.LastReply != 0 {
			oldest = max(oldest, t.now-m.LastReply)
		}
	}
	setGauge("epoch", int64(t.epoch))
	setGauge("lease_left_ms", (max(t.valid, t.members.promised()) - t.now).Milliseconds())
	setGauge("jobs_open", int64(len(t.book.Open())))
	setGauge("progress_unstored", int64(len(t.book.Unsaved())))
	setGauge("minions", int64(len(t.minions)))
	setGauge("minions_silent", int64(silent))
	setGauge("oldest_word_of_a_minion_ms", oldest.Milliseconds())
	setGauge("starts_without_answer", int64(len(t.orders)))
	setGauge("machines_moving", int64(len(t.machines.moves)))
	if c := t.d.Config(); c != nil {
		setGauge("configuration", int64(c.Version))
	}
}
