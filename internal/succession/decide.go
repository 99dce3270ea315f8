package succession

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowWrite is the median above which direct writes count as slow. A write usually takes 10 ms.
	slowWrite = 250 * time.Millisecond
	// stuckWrite is how long a write may be in progress before the path counts as bad.
	stuckWrite = 700 * time.Millisecond
	// window is the age up to which writes enter the median; minWrites is the least number of them. With
	// writes of 0.5 s and more, fewer end within the window, and the last minWrites are used.
	window    = 1500 * time.Millisecond
	minWrites = 3
	// maxWriteAge is the age from which a write tells nothing any more.
	maxWriteAge = 6 * time.Second
	// badFor is how long the path must have been bad before a handover.
	badFor = time.Second

	// minGain is the least difference between the coordinator's writes and a candidate's reads, and
	// minFactor the least ratio. Relayed writes of 15 ms delay nothing, and a successor gives no orders
	// for about 1 s while it loads its state.
	minGain   = 100 * time.Millisecond
	minFactor = 3

	// maxSilence is the age of a candidate's last answer to a heartbeat, of which one is sent each 350 ms.
	maxSilence = 700 * time.Millisecond
	// fastRead and maxReadAge bound the two reads of a candidate. Reads are 350 ms apart and reported
	// with the next heartbeat.
	fastRead   = 100 * time.Millisecond
	maxReadAge = 1200 * time.Millisecond
	minReads   = 2
	// minCoreShare is the least size of a candidate, as a share of the coordinator's cores.
	minCoreShare = 0.5
	// readStep is the difference from which one read counts as faster than another. Reads of equally
	// good paths differ by a few milliseconds.
	readStep = 25 * time.Millisecond

	// minTerm and minInterval bound the rate of handovers, so that the role does not wander while
	// paths change.
	minTerm     = 10 * time.Second
	minInterval = 20 * time.Second

	// probeLead is how long before a possible handover probing starts. Two reads take up to 1.1 s.
	probeLead = 1500 * time.Millisecond
	// While no candidate is better, probes are sent during probeOn of each probePeriod after the first
	// probeFirst: calls to the store are charged for, and a store that is slow for all must not get
	// three reads a second from each entry VM.
	probeFirst  = 3 * time.Second
	probeOn     = 1500 * time.Millisecond
	probePeriod = 6 * time.Second
)

// Decide decides about a handover. It is called again with the returned BadSince.
func Decide(s State) Decision {
	p := measure(s)
	d := Decision{Reason: Healthy, OwnWrite: p.own, RelayShare: p.relayShare}
	if !p.bad {
		return d
	}
	d.BadSince = cmp.Or(s.BadSince, s.Now)
	earliest := max(d.BadSince+badFor, s.StartedAt+minTerm, s.NotBefore)
	if s.LastHandover != 0 {
		earliest = max(earliest, s.LastHandover+minInterval)
	}
	worthIt := p.own >= minGain
	switch {
	case !s.Loaded:
		d.Reason = NotLoaded
		return d
	case !worthIt:
		d.Reason = NoneBetter
		return d
	}
	d.Probe = s.Now >= earliest-probeLead && probing(s.Now-max(d.BadSince, earliest-probeLead))
	if s.Now < earliest {
		d.Reason = TooSoon
		return d
	}
	best, ok := choose(s, p.own)
	if !ok {
		d.Reason = NoneBetter
		return d
	}
	d.To, d.Reason, d.CandidateRead = best.Name, BadStorePath, best.readTime()
	return d
}

// probing reports whether probes are sent a given time after probing began.
func probing(since time.Duration) bool {
	return since < probeFirst || (since-probeFirst)%probePeriod >= probePeriod-probeOn
}

// path is the state of the coordinator's own path to the store.
type path struct {
	bad        bool
	own        time.Duration
	relayShare float64
}

func measure(s State) path {
	recent := s.Writes
	for i, w := range recent {
		if s.Now-w.At > maxWriteAge || i >= minWrites && s.Now-w.At > window {
			recent = recent[:i]
			break
		}
	}
	var p path
	took, relayed := make([]time.Duration, len(recent)), 0
	for i, w := range recent {
		took[i] = w.Took
		if w.Relayed {
			relayed++
		}
	}
	if len(recent) > 0 {
		p.relayShare = float64(relayed) / float64(len(recent))
		slices.Sort(took)
		p.own = took[(len(took)-1)/2]
	}
	if len(recent) >= minWrites {
		p.bad = p.own > slowWrite || !slices.ContainsFunc(recent[:minWrites], func(w Write) bool { return !w.Relayed })
	}
	if s.WriteInProgress != 0 {
		if d := s.Now - s.WriteInProgress; d >= stuckWrite {
			p.bad, p.own = true, max(p.own, d)
		}
	}
	// A path that was bad is good again once a write was direct and fast: between two slow writes none is
	// in progress.
	if s.BadSince != 0 && len(recent) > 0 && (recent[0].Relayed || recent[0].Took > slowWrite) {
		p.bad, p.own = true, max(p.own, recent[0].Took)
	}
	return p
}

// choose returns the best candidate: the one with the fastest reads, then one in another data centre,
// then the largest.
func choose(s State, own time.Duration) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range s.Candidates {
		if c.ShuttingDown || s.Now-c.AnsweredAt > maxSilence || c.Cores < minCoreShare*s.Cores || !GoodPath(c.Reads, s.Now) ||
			own < minFactor*c.readTime() || own-c.readTime() < minGain {
			continue
		}
		if !found || compare(c, best) < 0 {
			best, found = c, true
		}
	}
	return best, found
}

func compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(a.readTime()/readStep, b.readTime()/readStep),
		cmp.Compare(sameDC(a), sameDC(b)),
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(a.readTime(), b.readTime()),
		cmp.Compare(a.Name, b.Name))
}

func sameDC(c Candidate) int {
	if c.OtherDC {
		return 0
	}
	return 1
}

// readTime is the slower of the last two reads, which exist if GoodPath holds.
func (c Candidate) readTime() time.Duration {
	return max(c.Reads[0].Took, c.Reads[1].Took)
}

// GoodPath reports whether an entry VM has read the store twice in a row recently and fast. Reads are
// newest first.
func GoodPath(reads []Read, now time.Duration) bool {
	if len(reads) < minReads {
		return false
	}
	for _, r := range reads[:minReads] {
		if r.Took > fastRead || now-r.At > maxReadAge {
			return false
		}
	}
	return true
}

// AddRead adds a reported read to the reads of a member, newest first. A read may be reported again. One
// that is not the next after the last known one begins a new list, because the reads between may have failed.
func AddRead(reads []Read, r Read) []Read {
	switch {
	case len(reads) > 0 && r.Number == reads[0].Number:
		return reads
	case len(reads) > 0 && r.Number != reads[0].Number+1:
		return []Read{r}
	}
	return slices.Insert(reads[:min(len(reads), minReads-1)], 0, r)
}

// AddWrite adds a write to the recent writes, newest first.
func AddWrite(writes []Write, w Write) []Write {
	return slices.Insert(writes[:min(len(writes), maxWrites-1)], 0, w)
}

// maxWrites bounds the recent writes. At one each 25 ms the window holds 60.
const maxWrites = 64

// YieldAllowed reports whether the role may go to a larger entry VM although it was handed over for health
// before: that may be the one whose path was bad. It is allowed once that one's path is good.
func YieldAllowed(now, lastHandover time.Duration, reads []Read) bool {
	return lastHandover == 0 || now >= lastHandover+minInterval && GoodPath(reads, now)
}

// ProbeForYield reports whether larger entry VMs are probed after a handover for health, so that the one that
// handed over is not chosen as successor, and that YieldAllowed can become true. Without such a handover none
// is.
func ProbeForYield(now, lastHandover time.Duration) bool {
	if lastHandover == 0 {
		return false
	}
	age := now - lastHandover
	return age < probeFirst || age >= minInterval && (age-minInterval)%yieldProbePeriod < probeOn
}

// yieldProbePeriod is how often larger entry VMs are probed. The path may stay bad for hours, and calls to
// the store are charged for.
const yieldProbePeriod = 10 * time.Second
