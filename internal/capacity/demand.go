package capacity

import "time"

const (
	// arrivals is how many arrivals are remembered; the busiest queue gets 60 a second, and
	// a rate is taken over 0.6 s at that pace.
	arrivals = 128
	// shortWindow is the time over which a rate is taken. It is doubled, and doubled again,
	// for queues that get fewer jobs than fewest in it: the noise of a few large jobs would
	// otherwise move as many machines as a burst.
	shortWindow = 600 * time.Millisecond
	fewest      = 3
	// lead is how far ahead demand is forecast: a move takes 1.5 s, the new minion is listed
	// within 0.8 s and looked at within 0.1 s.
	lead = 2400 * time.Millisecond
	// maxGrowth bounds a forecast in multiples of the present rate: a queue asks for at most
	// five times its mean, and the first rate that is seen is above the mean.
	maxGrowth = 1.6
	// clear is how many jobs in the short window make a growth that is not noise.
	clear = 5
	// workWeight is the least weight of a new job in the mean work of a queue's jobs.
	workWeight = 0.03
	// remember is how long a want is held before machines are given away: holding one costs
	// as much as a move there and back after 2.3 s.
	remember = 2500 * time.Millisecond
)

// Demand remembers the jobs that arrived for a service, and what it wanted lately.
type Demand struct {
	at   [arrivals]time.Duration
	n    int // jobs that ever arrived
	mean float64
	// wants are the recent wants, newest last, each larger than those after it.
	wants []want
}

type want struct {
	at       time.Duration
	machines int
}

// RecordArrival notes a job that arrived at now, with its work in core-seconds.
func (d *Demand) RecordArrival(now time.Duration, coreSeconds float64) {
	d.at[d.n%arrivals] = now
	d.n++
	d.mean += (coreSeconds - d.mean) * max(1/float64(d.n), workWeight)
}

// MeanWork returns the mean work of a job in core-seconds, 0 before the first.
func (d *Demand) MeanWork() float64 { return d.mean }

// count returns how many jobs arrived in (from, to].
func (d *Demand) count(from, to time.Duration) int {
	c := 0
	for i := max(0, d.n-arrivals); i < d.n; i++ {
		if t := d.at[i%arrivals]; t > from && t <= to {
			c++
		}
	}
	return c
}

// Forecast returns the cores that the arriving work will keep busy in a moment: the
// present rate of jobs with its growth, times the mean work of a job.
func (d *Demand) Forecast(now time.Duration) float64 {
	w := shortWindow
	n := d.count(now-w, now)
	for range 2 {
		if n >= fewest {
			break
		}
		w *= 2
		n = d.count(now-w, now)
	}
	rate := float64(n) / w.Seconds()
	if w > shortWindow || n < clear {
		return rate * d.mean
	}
	before := float64(d.count(now-2*w, now-w)) / w.Seconds()
	growth := max(0, rate-before) * lead.Seconds() / w.Seconds()
	return min(rate+growth, rate*maxGrowth) * d.mean
}

// RecordTarget notes how many machines the service wants.
func (d *Demand) RecordTarget(now time.Duration, machines int) {
	for len(d.wants) > 0 && d.wants[len(d.wants)-1].machines <= machines {
		d.wants = d.wants[:len(d.wants)-1]
	}
	d.wants = append(d.wants, want{now, machines})
}

// RecentPeak returns the most machines that the service wanted lately.
func (d *Demand) RecentPeak(now time.Duration) int {
	for len(d.wants) > 0 && d.wants[0].at < now-remember {
		d.wants = d.wants[1:]
	}
	if len(d.wants) == 0 {
		return 0
	}
	return d.wants[0].machines
}
