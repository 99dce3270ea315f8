// Package settings reads the settings file of a daemon: it parses TOML strictly, fills in
// defaults and reports all faults at once.
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
	// SiteWritesPerSecond and SiteReadsPerSecond limit the store requests of all entry VMs
	// together, per second.
	SiteWritesPerSecond float64
	SiteReadsPerSecond  float64
	// Peers lists all entry VMs of the site, including this one.
	Peers []Peer
	// MaxRequests limits the requests that this entry VM handles concurrently.
	MaxRequests int
	// BodyTimeout is the time that a caller has to send a request.
	BodyTimeout time.Duration
	// BalancerGrace is how long a daemon that shuts down still accepts requests after its
	// readiness check starts to fail, so that the load balancer can react.
	BalancerGrace time.Duration
	// DrainTimeout limits a graceful shutdown; it must exceed the largest MaxRun.
	DrainTimeout time.Duration
	// AnswerRetention is how long answers are kept; AnswerBytes limits their total size.
	AnswerRetention time.Duration
	AnswerBytes     int64
	// MemoryMB is the memory that this entry VM may use, in MB, and MaxFDs how many descriptors it may
	// have open; 0 means the process's own limit.
	MemoryMB float64
	MaxFDs   int
}

// Peer is the name and address of an entry VM of the site.
type Peer struct {
	Name model.EntryVM
	DC   model.DataCentre
	// Addr is the address for connections from other entry VMs, "IP:port".
	Addr string
}

// WriteBudget returns this daemon's equal share of the site's store writes per second.
func (s *Settings) WriteBudget() float64 { return s.SiteWritesPerSecond / float64(len(s.Peers)) }

// ReadBudget returns this daemon's equal share of the site's store reads per second.
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
