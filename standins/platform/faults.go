package platform

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// OutageMode says what happens to requests in an outage.
type OutageMode string

const (
	OutageNone OutageMode = ""
	// OutageRefuse answers 503 and says that the request had no effect.
	OutageRefuse OutageMode = "refuse"
	// OutageHang gives no answer until the outage ends or the client leaves. A request
	// whose client left has no effect.
	OutageHang OutageMode = "hang"
	// OutageDrop closes the connection without an answer and without an effect.
	OutageDrop OutageMode = "drop"
)

// Cut is an outage for the clients whose name starts with ClientPrefix.
type Cut struct {
	ClientPrefix string     `json:"client_prefix"`
	Mode         OutageMode `json:"mode"`
}

// LostAnswer drops the answers of writes after they have taken effect.
type LostAnswer struct {
	// KeyPrefix selects writes of which any row key or object name starts with it.
	KeyPrefix string `json:"key_prefix"`
	// Next is the number of answers to lose; 0 means that Probability decides.
	Next int `json:"next,omitempty"`
	// Probability is from 0 to 1, used when Next is 0.
	Probability float64 `json:"probability,omitempty"`
}

// Faults are all faults in force. Setting them replaces the earlier ones.
type Faults struct {
	Outage OutageMode `json:"outage,omitempty"`
	// DelayMS delays every request before it takes effect, in milliseconds. The effect
	// happens even if the client leaves during the delay.
	DelayMS     int64        `json:"delay_ms,omitempty"`
	Cuts        []Cut        `json:"cuts,omitempty"`
	LostAnswers []LostAnswer `json:"lost_answers,omitempty"`
}

// faultState holds the faults in force.
type faultState struct {
	mu      sync.Mutex
	f       Faults        // guarded by mu
	changed chan struct{} // guarded by mu; closed when f is replaced
	rnd     *rand.Rand    // guarded by mu
}

func newFaultState(seed uint64) *faultState {
	return &faultState{changed: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
	s.f.Cuts = append([]Cut(nil), f.Cuts...)
	s.f.LostAnswers = append([]LostAnswer(nil), f.LostAnswers...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.f
	f.LostAnswers = append([]LostAnswer(nil), f.LostAnswers...)
	return f
}

// outage returns the mode for a client and a channel that is closed when faults change.
func (s *faultState) outage(client string) (OutageMode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f.Outage != OutageNone {
		return s.f.Outage, s.changed
	}
	for _, c := range s.f.Cuts {
		if strings.HasPrefix(client, c.ClientPrefix) {
			return c.Mode, s.changed
		}
	}
	return OutageNone, s.changed
}

func (s *faultState) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.f.DelayMS) * time.Millisecond
}

// loseAnswer decides whether the answer of a write to the keys is lost.
func (s *faultState) loseAnswer(keys []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.f.LostAnswers {
		l := &s.f.LostAnswers[i]
		if !anyHasPrefix(keys, l.KeyPrefix) {
			continue
		}
		if l.Next > 0 {
			if l.Next--; l.Next == 0 {
				s.f.LostAnswers = append(s.f.LostAnswers[:i], s.f.LostAnswers[i+1:]...)
			}
			return true
		}
		if s.rnd.Float64() < l.Probability {
			return true
		}
	}
	return false
}

func anyHasPrefix(keys []string, prefix string) bool {
	for _, k := range keys {
		if strings.HasPrefix(k, prefix) {
			return true
		}
	}
	return false
}

// check rejects unknown modes, so that a misspelt fault does not pass as no fault.
func (f Faults) check() error {
	modes := []OutageMode{f.Outage}
	for _, c := range f.Cuts {
		modes = append(modes, c.Mode)
	}
	for _, m := range modes {
		switch m {
		case OutageNone, OutageRefuse, OutageHang, OutageDrop:
		default:
			return fmt.Errorf("unknown outage mode %q", m)
		}
	}
	return nil
}
