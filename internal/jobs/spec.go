package jobs

import (
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// ErrSpec means that a job's description contradicts itself; the job is not accepted.
var ErrSpec = errors.New("jobs: malformed job")

// Bounds of a job's description.
const (
	// MaxPayload bounds the payload in bytes (the callers' protocol).
	MaxPayload = 4000
	// MaxTasks bounds the tasks of a job, so that one job cannot exhaust the memory of an
	// entry VM; the widest known job has about 160.
	MaxTasks = 20000
)

// ID identifies a job. Callers choose it.
type ID string

// Resources are what a task needs or a minion has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"c,omitempty"`
	// MemoryMB is in mebibytes.
	MemoryMB int64 `json:"m,omitempty"`
	// Accelerators is a count.
	Accelerators int64 `json:"g,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Scale returns r times n.
func (r Resources) Scale(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// Fits reports whether r fits into the room o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Spec is what a caller asks for.
type Spec struct {
	// Payload is handed to every task unchanged.
	Payload string `json:"p,omitempty"`
	Steps   []Step `json:"s"`
	// Repeat is 0 for a job that runs once; otherwise the steps run that many times.
	Repeat int `json:"n,omitempty"`
	// FirstRun is when occurrence 0 is due, Interval the time between two occurrences.
	FirstRun time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
}

// Step is a group of equal tasks.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// Estimate is the caller's rough estimate of one task's run time.
	Estimate time.Duration `json:"e,omitempty"`
	// After lists earlier steps whose tasks must all have ended as done.
	After []int `json:"a,omitempty"`
	// SavesProgress means that a stopped task can go on from its checkpoint.
	SavesProgress bool `json:"cp,omitempty"`
	// Gang means that the tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower when spread over several racks.
	SameRack bool `json:"rack,omitempty"`
	// Label is a label that the minion must have; empty for none.
	Label string `json:"l,omitempty"`
	// DataRack is the rack next to the step's data; empty for none.
	DataRack string `json:"near,omitempty"`
	// MaxPerMinion bounds the tasks of one occurrence on one minion; 0 for no bound.
	MaxPerMinion int `json:"pm,omitempty"`
	// Speculative means that copies of a task may run in parallel.
	Speculative bool `json:"sp,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again however they end.
	LongRunning bool `json:"last,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// TailTarget is the response time that a lasting task's users must see; 0 for none.
	TailTarget time.Duration `json:"t,omitempty"`
	// Scavenger means that the tasks use the processor time that others leave.
	Scavenger bool `json:"fill,omitempty"`
	// MaxUnavailable is how many tasks may be unavailable at once by our own doing; 0 means that
	// the step states no bound.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Reserved returns what one task takes of a minion's capacity.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Scavenger {
		r.CPU = 0
	}
	return r
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns when an occurrence may start; the zero time means at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.FirstRun.Add(time.Duration(occurrence) * s.Interval)
}

// Check returns ErrSpec with the first contradiction, or nil.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayload {
		return errors.Wrapf(ErrSpec, "spec: found %d bytes, expected at most %d", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) == 0 {
		return errors.Wrap(ErrSpec, "steps: found none, expected at least one")
	}
	if s.Repeat < 0 || s.Interval < 0 {
		return errors.Wrap(ErrSpec, "repetition: found a negative count or interval")
	}
	tasks := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count < 1 || st.Count > MaxTasks {
			return errors.Wrapf(ErrSpec, "steps.%d.count: found %d, expected 1 to %d", i, st.Count, MaxTasks)
		}
		if st.Need.CPU < 0 || st.Need.MemoryMB < 0 || st.Need.Accelerators < 0 || st.Estimate < 0 || st.MaxPerMinion < 0 || st.MaxUnavailable < 0 {
			return errors.Wrapf(ErrSpec, "steps.%d: found a negative number", i)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return errors.Wrapf(ErrSpec, "steps.%d.after: found %d, expected an earlier step", i, a)
			}
		}
		tasks += st.Count
	}
	if tasks*s.Occurrences() > MaxTasks {
		return errors.Wrapf(ErrSpec, "found %d tasks, expected at most %d", tasks*s.Occurrences(), MaxTasks)
	}
	return nil
}

// CriticalPath returns the longest chain of estimates from step i to the end of an occurrence.
func (s *Spec) CriticalPath(i int) time.Duration {
	var after time.Duration
	for j := i + 1; j < len(s.Steps); j++ {
		for _, a := range s.Steps[j].After {
			if a == i {
				after = max(after, s.CriticalPath(j))
			}
		}
	}
	return s.Steps[i].Estimate + after
}

// Work returns the work of one task of a step in core-seconds, by its estimate.
func (s *Step) Work() float64 { return float64(s.Need.CPU) / 1000 * s.Estimate.Seconds() }

// Work returns the work of an occurrence in core-seconds, by the estimates.
func (s *Spec) Work() float64 {
	work := 0.0
	for i := range s.Steps {
		work += float64(s.Steps[i].Count) * s.Steps[i].Work()
	}
	return work
}

// LongRunning reports whether the job runs until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Accepted is the stored form of an accepted job. It changes once: a job in a final state
// keeps its row, so that its id stays taken, without what only a job that goes on needs.
type Accepted struct {
	ID    ID          `json:"-"`
	Queue model.Queue `json:"q"`
	// Service is the queue's service when the job was accepted.
	Service model.Service `json:"v"`
	// Team is empty on a queue open to all.
	Team model.Team `json:"t,omitempty"`
	// AcceptedAt is when the entry VM accepted the job, by its own clock.
	AcceptedAt time.Time `json:"at"`
	Spec       Spec      `json:"j,omitzero"`
	// Final is the job's final state, empty before.
	Final State `json:"f,omitempty"`
}

// Tombstone returns the row of a job in a final state.
func (a Accepted) Tombstone(s State) Accepted {
	a.Spec, a.Final = Spec{}, s
	return a
}
