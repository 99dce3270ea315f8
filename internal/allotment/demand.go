package allotment

import "time"

// Demand is a team's demand in one data centre.
type Demand struct {
	Running int
	Waiting int
	// Peak is the largest number running in the recent past; see Recent.
	Peak int
	// Capacity is the number of requests and tasks that the data centre could run at most.
	Capacity int
}

// reserveFraction is the part of its running work that a data centre keeps on top, so
// that the next request does not wait for the table.
const reserveFraction = 8

func (d Demand) reserve() int { return max(1, d.Running/reserveFraction) }

// need is how much the data centre could use now.
func (d Demand) need() int { return min(d.Running+d.Waiting, d.Capacity) }

// AdditionalDemand is how much a data centre asks for on top of what it may use. It asks when
// requests wait, or when its running work comes close to its part.
func AdditionalDemand(d Demand, usable int) int {
	if d.Waiting == 0 && d.Running+d.reserve() <= usable {
		return 0
	}
	return max(0, min(max(d.need(), d.Peak)+d.reserve(), d.Capacity)-usable)
}

// Offer is what a giver grants to another data centre.
type Offer struct {
	// Immediate is what it can give at once, because nothing of it is in use.
	Immediate int
	// Deferred is what it gives as soon as running work ends: the giver starts nothing on
	// it meanwhile.
	Deferred int
}

// ComputeOffer decides how much of its usable part a data centre gives to another one that
// holds other and wants more. Without waiting requests it keeps what it runs and a small
// reserve; one that runs nothing keeps no reserve from a data centre that holds nothing,
// because the reserves of several data centres may be all there is of a small limit. Otherwise both parts are divided by demand, so that a data centre that was
// first does not keep the whole limit.
func ComputeOffer(d Demand, usable, other, wants int) Offer {
	if wants <= 0 || usable <= 0 {
		return Offer{}
	}
	if d.Waiting == 0 {
		reserve := d.reserve()
		if d.Running == 0 && other == 0 {
			reserve = 0
		}
		return Offer{Immediate: max(0, min(wants, usable-d.Running-reserve))}
	}
	own, total := d.need(), usable+other
	target := (total*own + own + other + wants - 1) / (own + other + wants)
	give := max(0, min(wants, usable-target))
	now := max(0, min(give, usable-d.Running))
	return Offer{Immediate: now, Deferred: give - now}
}

// Retained is how much of its part a data centre keeps after a quiet period; what it holds
// above that goes back to the unassigned remainder. The initial part is never returned.
func Retained(d Demand, usable, initial int) (keep int) {
	if d.Waiting > 0 {
		return usable
	}
	return min(usable, max(initial, max(d.Peak, d.Running)+d.reserve()))
}

const (
	// recentSlots and recentStep make up the quiet period of 30 s after which unused parts
	// are returned: a few times the length of a burst, so that the queues' turns do not
	// move parts back and forth.
	recentSlots = 30
	recentStep  = time.Second
)

// SlidingMax is the largest value of the last 30 s, in steps of a second.
type SlidingMax struct {
	slots [recentSlots]int
	step  int64
}

// Observe adds a value at now.
func (r *SlidingMax) Observe(now time.Time, n int) {
	r.advance(now)
	i := r.step % recentSlots
	r.slots[i] = max(r.slots[i], n)
}

// Max returns the largest value of the period before now.
func (r *SlidingMax) Max(now time.Time) int {
	r.advance(now)
	n := 0
	for _, k := range r.slots {
		n = max(n, k)
	}
	return n
}

func (r *SlidingMax) advance(now time.Time) {
	step := now.UnixNano() / int64(recentStep)
	if step <= r.step {
		return
	}
	if step-r.step >= recentSlots {
		clear(r.slots[:])
	} else {
		for s := r.step + 1; s <= step; s++ {
			r.slots[s%recentSlots] = 0
		}
	}
	r.step = step
}
