package admission

import "time"

// Params holds the tunable parameters of admission.
type Params struct {
	// StartWithin is how long after receipt of a permit its dispatch may start. It must be
	// shorter than the coordinator's lease TTL (1.3 s).
	StartWithin time.Duration
	// PollGap is the minimum time between two status polls that together prove that a job has
	// ended: a dispatch in transit at the first poll has arrived by the second.
	PollGap time.Duration
	// RemoteTTL is the age above which the usage reported by another data centre is ignored.
	RemoteTTL time.Duration
	// AgingThreshold is the waiting time after which a request counts as aged.
	AgingThreshold time.Duration
	// AgedEvery is n if one in n grants of a team goes to its oldest aged request. Without
	// this bound, aged normal requests would go before all urgent ones in an overload.
	AgedEvery int
	// ForwardThreshold is the estimated wait above which another data centre is preferred.
	ForwardThreshold time.Duration
	// EjectAfter is the number of consecutive failures after which a minion is ejected.
	EjectAfter int
	// ProbeMin and ProbeMax bound the back-off between probes of an ejected minion.
	ProbeMin, ProbeMax time.Duration
	// MinSamples is the number of finished attempts of a service from which its mean service
	// time is used to refuse requests.
	MinSamples int
	// EstimateFactor is applied to an estimated wait before it is compared with a deadline. It
	// is below 1 because declared run times are inaccurate and requests ahead may be cancelled.
	EstimateFactor float64
	// AttemptRetention is how long finished and cancelled attempts are kept, to recognise
	// delayed duplicates and status replies that are older than the release.
	AttemptRetention time.Duration
	// OverdueMargin is added to the start window and the service's maximum run time. The
	// release of a permit older than the sum is taken as lost, and the minion's status
	// decides when the attempt has ended.
	OverdueMargin time.Duration
}

// DefaultParams returns the parameters used in production.
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
	// defaultServiceTime is used until the mean service time is measured. It only affects the
	// choice between data centres and never refuses a request.
	defaultServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in the mean service time.
	serviceTimeWeight = 1.0 / 16
)
