package platform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"boragepulley/internal/platform"
)

// VMState is the true state of a VM, which the list shows after a lag.
type VMState string

const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VMChange sets the true state of one VM.
type VMChange struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// Lag is how late the list shows changes, in milliseconds.
type Lag struct {
	// AppearMS delays new and leaving VMs: a live VM is missing from the list.
	AppearMS int64 `json:"appear_ms"`
	// RemoveMS delays the removal of VMs that are gone: a dead VM is on the list.
	RemoveMS int64 `json:"remove_ms"`
}

// change is one state of a VM since a time.
type change struct {
	state VMState
	since time.Time
}

// vmList keeps the history of every VM and shows the part that is older than the lag.
type vmList struct {
	mu      sync.Mutex
	lag     Lag                 // guarded by mu
	history map[string][]change // guarded by mu, oldest first
}

func newVMList(l Lag) *vmList { return &vmList{lag: l, history: map[string][]change{}} }

func (v *vmList) setLag(l Lag) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = l
}

func (v *vmList) set(now time.Time, c VMChange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.history[c.Name] = append(v.history[c.Name], change{state: c.State, since: now})
}

func (v *vmList) list(now time.Time) []platform.ListedVM {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []platform.ListedVM{}
	for name, h := range v.history {
		if c, ok := v.visible(now, h); ok && c.state != VMGone {
			out = append(out, platform.ListedVM{Name: name, Leaving: c.state == VMLeaving, Since: c.since})
		}
	}
	slices.SortFunc(out, func(a, b platform.ListedVM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// visible returns the latest change that is older than its lag. It requires mu.
func (v *vmList) visible(now time.Time, h []change) (change, bool) {
	for _, c := range slices.Backward(h) {
		lag := v.lag.AppearMS
		if c.state == VMGone {
			lag = v.lag.RemoveMS
		}
		if now.Sub(c.since) >= time.Duration(lag)*time.Millisecond {
			return c, true
		}
	}
	return change{}, false
}
