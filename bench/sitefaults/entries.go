package sitefaults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/cluster"
	"boragepulley/bench/proc"
	"boragepulley/standins/fleet"
)

// readyWithin bounds the start of an entry VM.
const readyWithin = 30 * time.Second

// entryVM is one entry VM.
type entryVM struct {
	name, zone, caller, ready, peer, metrics, settings, logs, bin string

	mu   sync.Mutex
	proc *proc.Process // guarded by mu; nil while down
	// disturbed holds the times in which its answers do not count, unplanned those in which it may
	// cut off requests.
	disturbed, unplanned span // guarded by mu
	// began is when the present process was started.
	began time.Time // guarded by mu
	// faulty is held while a fault acts on the process.
	faulty sync.Mutex
	// treatment is what the store does with its calls.
	treatment atomic.Int32
	// late holds the store's answers up.
	late  atomic.Bool
	calls atomic.Int64 // of the store, for lostAnswers
	// waits are the threads' waiting times for a processor at the last look.
	waits map[string]time.Duration
}

// writeSettings chooses addresses and writes the settings, with the fields of
// deploy/settings.toml.tmpl.
func (e *entryVM) writeSettings(ports cluster.Ports, storeAddr, machinesAddr string, route func(name, addr string) (string, error)) error {
	for _, addr := range []*string{&e.caller, &e.ready, &e.peer, &e.metrics} {
		var err error
		if *addr, err = ports.Next(); err != nil {
			return err
		}
	}
	announced, err := route(peerLink(e.name), e.peer)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndata_centre = %q\ncaller_listen = %q\nready_listen = %q\npeer_listen = %q\npeer_address = %q\nmetrics_listen = %q\n", e.name, e.zone, e.caller, e.ready, e.peer, announced, e.metrics)
	fmt.Fprintf(&b, "log_level = \"info\"\nstore_url = \"http://%s\"\nstore_writes_per_second = 600\nstore_reads_per_second = 2000\n", storeAddr)
	fmt.Fprintf(&b, "machines_address = %q\nadvice_address = \"\"\ncores = 0.4\nlink_mbps = 1000\nmemory_mb = 284\nmax_fds = 4100\n", machinesAddr)
	b.WriteString("grace = \"6s\"\nmax_hold = \"6000ms\"\nduty_gap = \"3000ms\"\nretention = \"" + retention.String() + "\"\n")
	return errors.Wrap(os.WriteFile(e.settings, []byte(b.String()), 0o600), "sitefaults: settings")
}

func (e *entryVM) start() error {
	p, err := proc.Start(proc.Spec{Name: e.name, Path: filepath.Join(e.bin, "boragepulleyd"), Args: []string{"--site", e.settings}, LogDir: e.logs})
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proc, e.began = p, time.Now()
	return nil
}

// listens reports whether callers can connect.
func (e *entryVM) listens() bool {
	conn, err := net.DialTimeout("tcp", e.caller, callerDeadline)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (e *entryVM) startedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.began
}

func (e *entryVM) process() *proc.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc
}

// span is a time that overlapping causes begin and end.
type span struct {
	causes int
	ended  time.Time
}

// clear reports whether the last cause ended before contact before the given time.
func (s span) clear(since time.Time) bool { return s.causes == 0 && since.Sub(s.ended) > contact }

// disturb begins a disturbance and returns its end. A planned one cuts off no requests.
func (e *entryVM) disturb(planned bool) (end func()) {
	spans := []*span{&e.disturbed}
	if !planned {
		spans = append(spans, &e.unplanned)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range spans {
		s.causes++
	}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, s := range spans {
			s.causes--
			s.ended = time.Now()
		}
	}
}

// inTouch reports whether the answer to a request sent then counts.
func (e *entryVM) inTouch(sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disturbed.clear(sent)
}

// mayCutOff reports whether an unplanned disturbance lets it cut off a request sent then.
func (e *entryVM) mayCutOff(sent time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.unplanned.clear(sent)
}

// Treatments of an entry VM's calls by the store.
const (
	served = iota
	turnedAway
	lostAnswers
)

// storeCall decides over a call of the store. Of three transactions with lostAnswers one is answered,
// one is carried out at once and one later.
func (e *entryVM) storeCall(op string) fleet.Fault {
	switch e.treatment.Load() {
	case turnedAway:
		return fleet.Refuse
	case lostAnswers:
		if op == "commit" {
			return []fleet.Fault{fleet.None, fleet.Lose, fleet.Late}[e.calls.Add(1)%3]
		}
	}
	return fleet.None
}

// awaitReady waits until the entry VM says it is ready.
func (e *entryVM) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/-/readiness", nil)
		if err != nil {
			return err
		}
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("sitefaults: %s not ready", e.name)
		}
	}
}

// longestLate bounds how long an answer of the store is held up. The entry VM gives calls up after
// 0.9 s at most.
const longestLate = 800 * time.Millisecond

// holdUp returns how long an answer of the store is held up.
func (e *entryVM) holdUp() time.Duration {
	if !e.late.Load() || e.calls.Add(1)%3 == 0 {
		return 0
	}
	return rand.N(longestLate)
}

// checkAlive reports an error if the process ended although nobody ended it.
func (e *entryVM) checkAlive() error {
	if p := e.process(); p != nil && !p.Running() && !p.Ended() {
		return errors.Errorf("process of %s ended by itself: %s", e.name, p.End())
	}
	return nil
}

// starved returns the longest time for which a thread of the process has waited for a processor
// since the last call.
func (e *entryVM) starved() time.Duration {
	p := e.process()
	if p == nil || !p.Running() {
		return 0
	}
	now, longest := p.QueueWait(), time.Duration(0)
	for thread, waited := range now {
		if before, ok := e.waits[thread]; ok {
			longest = max(longest, waited-before)
		}
	}
	e.waits = now
	return longest
}
