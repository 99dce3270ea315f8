package admission

import "time"

// Params are the tunable bounds of the decisions.
type Params struct {
	// StartWithin is how long after receipt of a permit the dispatch may start. It is
	// below the coordinator's lease TTL (1.5 s).
	StartWithin time.Duration
	// PollGap is the shortest time between two status polls that together prove that a
	// job is over: bytes that were on their way at the first poll have arrived by the second.
	PollGap time.Duration
	// RemoteTTL is the age above which another data centre's usage is ignored.
	RemoteTTL time.Duration
	// AgingThreshold is the waiting time after which a request counts as aged.
	AgingThreshold time.Duration
	// AgedEvery is n where one grant in n of a team goes to its oldest aged request. An
	// unbounded preference would put old normal work before urgent work in an overload.
	AgedEvery int
	// ForwardThreshold is the estimated wait above which another data centre is preferred.
	ForwardThreshold time.Duration
	// EjectAfter is the number of failures in a row that ejects a minion.
	EjectAfter int
	// ProbeMin and ProbeMax bound the back-off between probes of an ejected minion.
	ProbeMin, ProbeMax time.Duration
	// MinSamples is the number of finished attempts of a service below which its mean
	// service time refuses nothing.
	MinSamples int
	// EstimateFactor scales an estimated wait before it refuses a request: declared run times
	// are far off and requests ahead may be cancelled.
	EstimateFactor float64
	// AttemptRetention is how long finished and cancelled attempts are remembered, to recognise
	// late duplicates and status answers that are older than the release.
	AttemptRetention time.Duration
	// OverdueMargin is added to the start window and the service's largest run time; a
	// permit older than that has lost its release, and the minion's status decides.
	OverdueMargin time.Duration
}

// DefaultParams returns the values in use.
func DefaultParams() Params {
	return Params{
		StartWithin:      time.Second,
		PollGap:          200 * time.Millisecond,
		RemoteTTL:        3 * time.Second,
		AgingThreshold:   5 * time.Second,
		AgedEvery:        4,
		ForwardThreshold: 500 * time.Millisecond,
		EjectAfter:       5,
		ProbeMin:         time.Second,
		ProbeMax:         30 * time.Second,
		MinSamples:       8,
		EstimateFactor:   0.8,
		AttemptRetention: 5 * time.Second,
		OverdueMargin:    time.Second,
	}
}

const (
	// defaultServiceTime stands in for the mean service time until it is measured. It
	// only serves to choose between data centres, never to refuse.
	defaultServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in the mean service time.
	serviceTimeWeight = 1.0 / 16
)
