package readiness

import "time"

// probeSpacing is the least time from the beginning of one successful probe to that of the next that counts.
// Two that are closer together say no more than one.
const probeSpacing = 200 * time.Millisecond

// Suspended is the least duration of a probe, or of the time between two, by which a process notices that it
// was suspended. Probes take up to 0.9 s and are made every 0.2 s.
const Suspended = 2 * time.Second

// Probes is the record of a VM's own probes of the store. The zero value is an empty one.
type Probes struct {
	failing      bool
	failingSince time.Duration
	ended        time.Duration // the end of the last recorded probe, 0 if none
	succeeded    time.Duration // the beginning of the last successful probe that counts
	successes    int
}

// Record adds a probe. It reports false, and forgets all probes, if the process was suspended during this one:
// its outcome then says nothing about the store.
func (p *Probes) Record(began, ended time.Duration, ok bool) bool {
	if ended-began >= Suspended {
		*p = Probes{}
		return false
	}
	if p.ended != 0 && began-p.ended >= Suspended {
		*p = Probes{}
	}
	switch {
	case ok && p.successes > 0 && began-p.succeeded < probeSpacing:
	case ok:
		p.successes, p.succeeded, p.failing = p.successes+1, began, false
	default:
		if !p.failing {
			p.failingSince = began
		}
		p.failing, p.successes = true, 0
	}
	p.ended = max(p.ended, ended)
	return true
}

// Failing reports whether the last probe failed.
func (p *Probes) Failing() bool { return p.failing }

// FailingFor is for how long all probes have failed and no other call was answered, up to the end of the last
// probe. lastAnswer is when the latest call began that the store has answered, directly or through a peer.
func (p *Probes) FailingFor(lastAnswer time.Duration) time.Duration {
	if !p.failing {
		return 0
	}
	return max(p.ended-max(p.failingSince, lastAnswer), 0)
}

// Successes counts the probes in a row that succeeded.
func (p *Probes) Successes() int { return p.successes }
