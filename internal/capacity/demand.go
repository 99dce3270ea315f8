package capacity

import "time"

const (
	// maxArrivals is how many arrivals are kept. The busiest queue receives 60 jobs per second, and
	// at that pace a rate is computed over 0.6 s.
	maxArrivals = 128
	// shortWindow is the period over which a rate is computed. It is doubled up to twice while
	// fewer than minWindowJobs jobs arrived in it; otherwise the noise of a few large jobs would
	// move as many machines as a burst.
	shortWindow   = 600 * time.Millisecond
	minWindowJobs = 3
	// forecastHorizon is how far ahead demand is forecast: a move takes 1.5 s, and the new minion
	// is listed within 0.8 s and polled within another 0.1 s.
	forecastHorizon = 2400 * time.Millisecond
	// maxGrowth is the largest forecast as a multiple of the current rate: a queue needs at most
	// five times its mean, and the first rate that is measured in a burst is already above the mean.
	maxGrowth = 1.6
	// minGrowthJobs is how many jobs must arrive in shortWindow for a rise of the rate to be taken
	// as growth and not as noise.
	minGrowthJobs = 5
	// minMeanWeight is the lowest weight of a new job in the running mean of the work per job.
	minMeanWeight = 0.03
	// peakWindow is how long a target keeps machines from being moved to standby: after 2.3 s,
	// keeping a machine costs as much as moving it there and back.
	peakWindow = 2500 * time.Millisecond
)

// Demand holds the recent job arrivals of a service and its recent targets.
type Demand struct {
	arrivedAt [maxArrivals]time.Duration
	total     int // all jobs that ever arrived
	meanWork  float64
	// targets are the recent targets, newest last, each larger than those after it.
	targets []target
}

type target struct {
	at       time.Duration
	machines int
}

// RecordArrival records a job that arrived at now, and its work in core-seconds.
func (d *Demand) RecordArrival(now time.Duration, coreSeconds float64) {
	d.arrivedAt[d.total%maxArrivals] = now
	d.total++
	d.meanWork += (coreSeconds - d.meanWork) * max(1/float64(d.total), minMeanWeight)
}

// MeanWork returns the mean work of a job in core-seconds, 0 before the first job.
func (d *Demand) MeanWork() float64 { return d.meanWork }

// arrivalsBetween returns how many jobs arrived in (from, to].
func (d *Demand) arrivalsBetween(from, to time.Duration) int {
	c := 0
	for i := max(0, d.total-maxArrivals); i < d.total; i++ {
		if t := d.arrivedAt[i%maxArrivals]; t > from && t <= to {
			c++
		}
	}
	return c
}

// Forecast returns the number of cores that arriving jobs will need at the end of forecastHorizon:
// the current arrival rate extrapolated by its growth, multiplied by the mean work of a job.
func (d *Demand) Forecast(now time.Duration) float64 {
	window := shortWindow
	n := d.arrivalsBetween(now-window, now)
	for range 2 {
		if n >= minWindowJobs {
			break
		}
		window *= 2
		n = d.arrivalsBetween(now-window, now)
	}
	rate := float64(n) / window.Seconds()
	if window > shortWindow || n < minGrowthJobs {
		return rate * d.meanWork
	}
	before := float64(d.arrivalsBetween(now-2*window, now-window)) / window.Seconds()
	growth := max(0, rate-before) * forecastHorizon.Seconds() / window.Seconds()
	return min(rate+growth, rate*maxGrowth) * d.meanWork
}

// RecordTarget records how many machines the service should have at now.
func (d *Demand) RecordTarget(now time.Duration, machines int) {
	for len(d.targets) > 0 && d.targets[len(d.targets)-1].machines <= machines {
		d.targets = d.targets[:len(d.targets)-1]
	}
	d.targets = append(d.targets, target{now, machines})
}

// RecentPeak returns the largest target within peakWindow before now.
func (d *Demand) RecentPeak(now time.Duration) int {
	for len(d.targets) > 0 && d.targets[0].at < now-peakWindow {
		d.targets = d.targets[1:]
	}
	if len(d.targets) == 0 {
		return 0
	}
	return d.targets[0].machines
}
