package allotment

import "time"

// Demand is a team's demand in one data centre.
type Demand struct {
	Running int
	Waiting int
	// Peak is the largest number running in the recent past; see SlidingMax.
	Peak int
	// Capacity is the maximum number of requests and tasks that the data centre can run.
	Capacity int
}

// reserveDivisor is the divisor that gives a data centre's reserve from its running work: it
// keeps one eighth more, so that the next request need not wait for a table write.
const reserveDivisor = 8

func (d Demand) reserve() int { return max(1, d.Running/reserveDivisor) }

// need returns how much the data centre can use now.
func (d Demand) need() int { return min(d.Running+d.Waiting, d.Capacity) }

// AdditionalDemand returns how much a data centre asks for beyond what it may use. It asks
// if requests wait, or if its running work plus the reserve exceeds what it may use.
func AdditionalDemand(d Demand, usable int) int {
	if d.Waiting == 0 && d.Running+d.reserve() <= usable {
		return 0
	}
	return max(0, min(max(d.need(), d.Peak)+d.reserve(), d.Capacity)-usable)
}

// Offer is what a donor data centre transfers to one that asked.
type Offer struct {
	// Immediate is the amount that is not in use and can be transferred at once.
	Immediate int
	// Deferred is the amount to transfer as running work ends. Until then the donor starts
	// no new work on it.
	Deferred int
}

// ComputeOffer returns how much of its usable part a data centre transfers to one that holds
// other and asks for more. A donor without waiting requests keeps what it runs and a
// small reserve. If it runs nothing and the other data centre holds nothing, it keeps no
// reserve, because the reserves of several data centres could use up a small limit. A donor
// with waiting requests divides both parts by demand, so that the first data centre to
// take the limit does not keep all of it.
func ComputeOffer(d Demand, usable, other, asked int) Offer {
	if asked <= 0 || usable <= 0 {
		return Offer{}
	}
	if d.Waiting == 0 {
		reserve := d.reserve()
		if d.Running == 0 && other == 0 {
			reserve = 0
		}
		return Offer{Immediate: max(0, min(asked, usable-d.Running-reserve))}
	}
	own, total := d.need(), usable+other
	target := (total*own + own + other + asked - 1) / (own + other + asked)
	give := max(0, min(asked, usable-target))
	now := max(0, min(give, usable-d.Running))
	return Offer{Immediate: now, Deferred: give - now}
}

// Retained returns how much of its part a data centre keeps after a period of low use; the
// rest becomes unassigned again. The initial part is always kept.
func Retained(d Demand, usable, initial int) (keep int) {
	if d.Waiting > 0 {
		return usable
	}
	return min(usable, max(initial, max(d.Peak, d.Running)+d.reserve()))
}

const (
	// windowSteps and recentStep define the period of 30 s after which unused parts are
	// returned. It is several times the length of a burst, so that alternating bursts of the
	// queues do not move parts back and forth.
	windowSteps = 30
	windowStep  = time.Second
)

// SlidingMax tracks the maximum value of the last 30 s with a resolution of one second.
type SlidingMax struct {
	slots [windowSteps]int
	step  int64
}

// Observe adds a value at now.
func (r *SlidingMax) Observe(now time.Time, n int) {
	r.advance(now)
	i := r.step % windowSteps
	r.slots[i] = max(r.slots[i], n)
}

// Max returns the maximum value of the period that ends at now.
func (r *SlidingMax) Max(now time.Time) int {
	r.advance(now)
	n := 0
	for _, k := range r.slots {
		n = max(n, k)
	}
	return n
}

func (r *SlidingMax) advance(now time.Time) {
	step := now.UnixNano() / int64(windowStep)
	if step <= r.step {
		return
	}
	if step-r.step >= windowSteps {
		clear(r.slots[:])
	} else {
		for s := r.step + 1; s <= step; s++ {
			r.slots[s%windowSteps] = 0
		}
	}
	r.step = step
}
