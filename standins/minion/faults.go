package minion

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// FaultKind is a way in which a minion misbehaves.
type FaultKind string

const (
	// FaultFail answers 500 after the run.
	FaultFail FaultKind = "fail"
	// FaultTruncate closes the connection after half of the answer.
	FaultTruncate FaultKind = "truncate"
	// FaultWrongJob echoes another job id with the answer.
	FaultWrongJob FaultKind = "wrong_job"
	// FaultCorrupt flips a byte of the answer, so that it does not match its digest.
	FaultCorrupt FaultKind = "corrupt"
	// FaultHang starts the job, never ends it, and gives no answer, until the faults are
	// replaced or the minion reboots. The slot stays busy.
	FaultHang FaultKind = "hang"
	// FaultSlow adds DelayMS to the run; the slot is busy during that time.
	FaultSlow FaultKind = "slow"
	// FaultRefuse answers 503 with X-Not-Started: true.
	FaultRefuse FaultKind = "refuse"
	// FaultLate sends the answer DelayMS after the run; the slot is free during that time.
	FaultLate FaultKind = "late"
)

// Fault is one fault. It applies to the next Next requests or, if Next is 0, to each
// request with Probability (0 means always).
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Next        int       `json:"next,omitempty"`
	Probability float64   `json:"probability,omitempty"`
	DelayMS     int64     `json:"delay_ms,omitempty"`
}

// Faults is the body of PUT /faults; it replaces the earlier faults.
type Faults struct {
	Faults []Fault `json:"faults"`
}

func (f Faults) check() error {
	for _, x := range f.Faults {
		switch x.Kind {
		case FaultFail, FaultTruncate, FaultWrongJob, FaultCorrupt, FaultHang, FaultSlow, FaultRefuse, FaultLate:
		default:
			return fmt.Errorf("unknown fault %q", x.Kind)
		}
	}
	return nil
}

// drawn are the faults that apply to one request.
type drawn map[FaultKind]time.Duration

func (d drawn) has(k FaultKind) bool { _, ok := d[k]; return ok }

// faultState holds the faults in force.
type faultState struct {
	mu      sync.Mutex
	faults  []Fault       // guarded by mu
	changed chan struct{} // guarded by mu; closed when faults are replaced
	rnd     *rand.Rand    // guarded by mu
}

func newFaultState(seed uint64) *faultState {
	return &faultState{changed: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append([]Fault(nil), f.Faults...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Faults{Faults: append([]Fault{}, s.faults...)}
}

// draw decides the faults of one request. The channel is closed when faults are replaced.
func (s *faultState) draw() (drawn, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := drawn{}
	var left []Fault
	for _, f := range s.faults {
		hit := f.Next > 0 || f.Probability == 0 || s.rnd.Float64() < f.Probability
		if hit {
			d[f.Kind] += time.Duration(f.DelayMS) * time.Millisecond
		}
		if f.Next == 1 {
			continue
		}
		if f.Next > 0 {
			f.Next--
		}
		left = append(left, f)
	}
	s.faults = left
	return d, s.changed
}
