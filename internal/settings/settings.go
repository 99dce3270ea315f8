// Package settings is the daemon's own settings file: strict TOML parsing, defaults
// and checks that list all faults at once.
package settings

import (
	"time"

	"boragepulley/internal/model"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name model.EntryVM
	DC   model.DataCentre
	// CallerListen, OperatorListen and PeerListen are "IP:port".
	CallerListen   string
	OperatorListen string
	PeerListen     string
	// OperatorToken authenticates operators.
	OperatorToken string
	LogLevel      string
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string
	// SiteWritesPerSecond and SiteReadsPerSecond bound the store traffic of all entry VMs together.
	SiteWritesPerSecond float64
	SiteReadsPerSecond  float64
	// Peers are all entry VMs of the site, this one included.
	Peers []Peer
	// MaxRequests bounds the requests that this entry VM holds at once.
	MaxRequests int
	// BodyTimeout bounds how long a caller may take to send a request.
	BodyTimeout time.Duration
	// BalancerGrace is how long a stopping daemon still takes requests after its readiness
	// turned red, so that the balancer can notice.
	BalancerGrace time.Duration
	// DrainTimeout bounds a graceful shutdown; it must exceed the largest MaxRun.
	DrainTimeout time.Duration
	// AnswerRetention is how long answers are kept, AnswerBytes bounds their total size.
	AnswerRetention time.Duration
	AnswerBytes     int64
}

// Peer is one entry VM of the site.
type Peer struct {
	Name model.EntryVM
	DC   model.DataCentre
	// Addr is its peer address, "IP:port".
	Addr string
}

// WriteBudget returns this daemon's part of the site's store writes per second.
func (s *Settings) WriteBudget() float64 { return s.SiteWritesPerSecond / float64(len(s.Peers)) }

// ReadBudget returns this daemon's part of the site's store reads per second.
func (s *Settings) ReadBudget() float64 { return s.SiteReadsPerSecond / float64(len(s.Peers)) }

// InDC returns the entry VMs of a data centre.
func (s *Settings) InDC(dc model.DataCentre) []Peer {
	var out []Peer
	for _, p := range s.Peers {
		if p.DC == dc {
			out = append(out, p)
		}
	}
	return out
}
