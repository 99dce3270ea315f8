package poolmodel

import "time"

const (
	// Length of a run, and when the maintenance wave starts in it.
	Length    = 30 * time.Minute
	waveStart = 10 * time.Minute
	// tick is the time step.
	tick = 100 * time.Millisecond
	// meanRun is the mean run time of a request; run times are exponential, cut at maxRun.
	meanRun = time.Second
	maxRun  = 10 * time.Second
	// deadline is the longest wait, the default of a queue. A request that starts later
	// than lateAfter, in which urgent work must start, counts as late.
	deadline  = 30 * time.Second
	lateAfter = 2200 * time.Millisecond
	// maxWaiting bounds a queue per data centre, the default of a queue.
	maxWaiting = 1000
	// A reboot takes from rebootMin to rebootMax.
	rebootMin = 30 * time.Second
	rebootMax = 60 * time.Second
)

// Profile is the load over time.
type Profile struct {
	Name string
	// Burst is how long the burst of each queue lasts; 0 is a steady load.
	Burst time.Duration
	// Load is the mean load of each service as a part of the slots of its home pool.
	Load float64
	// From From to To, Service has the load High and the others the load Low.
	From, To  time.Duration
	Service   int
	High, Low float64
}

// Profiles that are reported. In both, each queue in turn has five times its mean for 4 s
// and a twentieth in between; in the second one demand shifts to the first service for 15
// minutes, which overloads its pool.
var Profiles = []Profile{
	{Name: "bursts", Burst: 4 * time.Second, Load: 0.45},
	{Name: "shift", Burst: 4 * time.Second, Load: 0.45, From: 5 * time.Minute, To: 20 * time.Minute, Service: 0, High: 1.2, Low: 0.3},
}

// Tuning is the profile that the constants of the policy are tried on.
var Tuning = Profile{Name: "tuning", Burst: 7 * time.Second, Load: 0.35, From: 8 * time.Minute, To: 16 * time.Minute, Service: 2, High: 1.3, Low: 0.25}

// load returns the load of a service as a part of the slots of its home pool.
func (p Profile) load(service, services int, since time.Duration) float64 {
	load := p.Load
	if since >= p.From && since < p.To {
		load = p.Low
		if service == p.Service {
			load = p.High
		}
	}
	switch {
	case p.Burst == 0:
		return load
	case int(since/p.Burst)%services == service:
		return 5 * load
	}
	return load / 20
}

// teamLoad is the part of the requests that each team sends, in the order of the files:
// a few teams are large, and their demand is not proportional to their shares.
var teamLoad = []float64{0.30, 0.34, 0.10, 0.08, 0.14, 0.04}
