package pools

import (
	"math"
	"time"
)

const (
	// MaxLevels is the number of lent VMs per service and data centre for which demand is
	// tracked.
	MaxLevels = 8
	// shortWindow smooths single samples; it is shorter than a burst.
	shortWindow = 3 * time.Second
	// longWindowMoves is the long window as a multiple of the move time, so that the long average
	// spans several bursts.
	longWindowMoves = 4
	// Demand for a VM begins when half of it would be used, and ends when less than a quarter
	// would be. The hysteresis prevents noise from ending an episode.
	highUse = 0.5
	lowUse  = 0.25
	// maxGap is the longest gap between samples. After a longer one, for example because of a
	// takeover or a paused process, it is not known how long demand has lasted.
	maxGap = 15 * time.Second
	// maxPast is the number of past episodes kept per level.
	maxPast = 8
)

// Sample is the load of one service in the data centre at one time.
type Sample struct {
	At time.Time
	// Work counts running and waiting requests.
	Work int
	// Slots counts the slots of the serving VMs whose home is one of the service's pools.
	Slots int
	// Unit is the number of slots of one VM.
	Unit int
}

// level tracks the demand for one VM. Level 0 is the use of the last home VM of the
// service's pools, level n the use that the n-th lent VM has or would have.
//
// State machine: low -> high -> low; an episode is the time in high.
type level struct {
	short, long float64
	high        bool
	since       time.Time
	// quiet is the end of the last episode that lasted longer than a move, or the time of the
	// first sample. Bursts are shorter and do not change it: otherwise they would keep a lent
	// VM from ever returning.
	quiet time.Time
	past  []time.Duration
}

// Tracker keeps the history of demand for a service that plans are based on. It is not safe
// for concurrent use.
type Tracker struct {
	first, last time.Time
	levels      [MaxLevels + 1]level
}

// NewTracker returns a tracker without samples.
func NewTracker() *Tracker { return &Tracker{} }

// Observe adds a sample, about one per second. The long window is a multiple of the move
// time. Samples that are not newer than the last one are ignored.
func (t *Tracker) Observe(s Sample, moveTime time.Duration) {
	if s.Unit <= 0 || !t.last.IsZero() && !s.At.After(t.last) {
		return
	}
	gap := s.At.Sub(t.last)
	if t.first.IsZero() || gap > maxGap {
		t.restart(s.At)
		gap = 0
	}
	t.last = s.At
	a, b := weight(gap, shortWindow), weight(gap, longWindowMoves*moveTime)
	for i := range t.levels {
		use := use(s, i)
		l := &t.levels[i]
		l.short += a * (use - l.short)
		l.long += b * (use - l.long)
		l.update(s.At, moveTime)
	}
}

// restart resets the averages and current episodes, and keeps past episodes.
func (t *Tracker) restart(now time.Time) {
	t.first = now
	for i := range t.levels {
		t.levels[i] = level{since: now, quiet: now, past: t.levels[i].past}
	}
}

// use returns the fraction of the VM at the level, 0 to 1, that the sample's work uses.
func use(s Sample, level int) float64 {
	return min(1, max(0, float64(s.Work-s.Slots-(level-1)*s.Unit)/float64(s.Unit)))
}

// weight returns the weight of a sample after a gap in an exponential average.
func weight(gap, window time.Duration) float64 {
	return 1 - math.Exp(-gap.Seconds()/max(window.Seconds(), 1e-3))
}

func (l *level) update(now time.Time, moveTime time.Duration) {
	if l.high && l.lasted(now) > moveTime {
		l.quiet = now
	}
	switch {
	case !l.high && l.short >= highUse:
		l.high, l.since = true, now
	case l.high && l.short < lowUse:
		l.past = append(l.past, now.Sub(l.since))
		if len(l.past) > maxPast {
			l.past = l.past[1:]
		}
		l.high, l.since = false, now
	}
}

// lasted returns how long demand for the level has been high or low.
func (l *level) lasted(now time.Time) time.Duration { return now.Sub(l.since) }

// remaining returns the expected further duration of an episode that has lasted for t: the
// mean over the longer past episodes and one assumed episode that ends at twice t. Without
// past episodes, demand is expected to continue for as long as it has lasted so far, which
// bounds the loss relative to a policy that knows the end in advance.
func (l *level) remaining(t time.Duration) time.Duration {
	sum, n := t, 1
	for _, p := range l.past {
		if p > t {
			sum += p - t
			n++
		}
	}
	return sum / time.Duration(n)
}

// known reports whether samples cover the whole window of the long average.
func (t *Tracker) known(now time.Time, moveTime time.Duration) bool {
	return !t.first.IsZero() && now.Sub(t.first) >= longWindowMoves*moveTime && now.Sub(t.last) <= maxGap
}

// level returns level n, or nil if n exceeds MaxLevels or there are no recent samples.
func (t *Tracker) level(n int, now time.Time) *level {
	if t == nil || n > MaxLevels || t.first.IsZero() || now.Sub(t.last) > maxGap {
		return nil
	}
	return &t.levels[n]
}
