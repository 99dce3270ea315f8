package jobs

import (
	"math"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

// ErrSpec means that a job's specification is invalid; the job is not accepted.
var ErrSpec = errors.New("jobs: malformed job")

// Limits of a job's specification.
const (
	// MaxPayload is the maximum size of the payload in bytes, as set by the callers' protocol.
	MaxPayload = 4000
	// MaxTasks is the maximum number of tasks of a job, so that one job cannot exhaust the memory
	// of an entry VM. The widest known job has about 160.
	MaxTasks = 20000
	// MaxNeed bounds each resource of a task, so that sums over all tasks of a site do not overflow.
	MaxNeed = 1e10
)

// lastDue is the latest time at which an occurrence may be due: rows hold times of four-digit years.
var lastDue = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// ID identifies a job. Callers choose it.
type ID string

// Resources are the resources that a task needs or a minion has.
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

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Scale returns r times n.
func (r Resources) Scale(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// Max returns the larger value of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether no resource of r exceeds that of o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Spec is a caller's specification of a job.
type Spec struct {
	// Payload is handed to every task unchanged.
	Payload string `json:"p,omitempty"`
	Steps   []Step `json:"s"`
	// Repeat is the number of occurrences of a repeated job; 0 for a job that runs once, at once.
	Repeat int `json:"n,omitempty"`
	// FirstRun is when occurrence 0 is due, Interval the time between occurrences.
	FirstRun time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
}

// Step is a group of identical tasks.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// Estimate is the caller's rough estimate of one task's run time.
	Estimate time.Duration `json:"e,omitempty"`
	// After lists the earlier steps whose tasks must all be done before this step starts.
	After []int `json:"a,omitempty"`
	// SavesProgress means that a stopped task can continue from its checkpoint.
	SavesProgress bool `json:"cp,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower when spread over several racks.
	SameRack bool `json:"rack,omitempty"`
	// Label is a label that the minion must have; empty for none.
	Label string `json:"l,omitempty"`
	// DataRack is the rack that holds the step's data; empty for none.
	DataRack string `json:"near,omitempty"`
	// MaxPerMinion limits the tasks of one occurrence on one minion; 0 means no limit.
	MaxPerMinion int `json:"pm,omitempty"`
	// Speculative means that duplicates of a task may run in parallel.
	Speculative bool `json:"sp,omitempty"`
	// LongRunning tasks run until the job is cancelled, and are restarted whenever they end.
	LongRunning bool `json:"last,omitempty"`
	// Image names the program of the tasks; tasks with the same image behave alike.
	Image string `json:"i,omitempty"`
	// TailTarget is the tail latency that a long-running task must keep for its users; 0 for none.
	TailTarget time.Duration `json:"t,omitempty"`
	// Scavenger tasks use only processor time left over by others and reserve none.
	Scavenger bool `json:"fill,omitempty"`
	// MaxUnavailable is the number of tasks that the scheduler may make unavailable at a time; 0
	// means that the step sets no limit.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Reserved returns the resources that one task reserves on a minion.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Scavenger {
		r.CPU = 0
	}
	return r
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns when an occurrence may start; the zero time means immediately.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeat == 0 {
		return time.Time{}
	}
	return s.FirstRun.Add(time.Duration(occurrence) * s.Interval)
}

// Check validates the specification. It returns ErrSpec wrapped with the first fault, or nil.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayload {
		return errors.Wrapf(ErrSpec, "spec: found %d bytes, expected at most %d", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) == 0 {
		return errors.Wrap(ErrSpec, "steps: found none, expected at least one")
	}
	if err := s.checkRepetition(); err != nil {
		return err
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
		if !st.Need.Fits(Resources{MaxNeed, MaxNeed, MaxNeed}) {
			return errors.Wrapf(ErrSpec, "steps.%d: found a need above %d", i, int64(MaxNeed))
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return errors.Wrapf(ErrSpec, "steps.%d.after: found %d, expected an earlier step", i, a)
			}
		}
		if tasks += st.Count; s.Occurrences() > MaxTasks/tasks {
			return errors.Wrapf(ErrSpec, "found over %d tasks in %d occurrences, expected at most that", MaxTasks, s.Occurrences())
		}
	}
	return nil
}

// checkRepetition validates the times of the occurrences.
func (s *Spec) checkRepetition() error {
	switch {
	case s.Repeat < 0 || s.Interval < 0:
		return errors.Wrap(ErrSpec, "repetition: found a negative count or interval")
	case s.Repeat == 0:
		return nil
	case s.FirstRun.Year() < 0 || s.FirstRun.After(lastDue),
		s.Interval > 0 && int64(s.Repeat-1) > int64(math.MaxInt64/s.Interval),
		s.Due(s.Repeat - 1).After(lastDue):
		return errors.Wrap(ErrSpec, "repetition: found a time that cannot be represented")
	}
	return nil
}

// CriticalPaths returns, by step, the estimated time from its start to the end of an occurrence, along
// the longest chain of dependent steps. It takes time in proportion to the steps and their After.
func (s *Spec) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		// All steps that depend on this one come later: paths[i] is the longest of theirs.
		paths[i] = addSaturating(paths[i], s.Steps[i].Estimate)
		for _, a := range s.Steps[i].After {
			paths[a] = max(paths[a], paths[i])
		}
	}
	return paths
}

// addSaturating returns a + b, or the longest duration if that is longer. Both must be at least 0.
func addSaturating(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// dependents lists, by step, the later steps that name it in After, once for each mention.
func (s *Spec) dependents() [][]int32 {
	out := make([][]int32, len(s.Steps))
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			out[a] = append(out[a], int32(i))
		}
	}
	return out
}

// Sizes in memory, in bytes: of a job and a step without what they refer to, of an entry of After and
// the same entry as a dependent, of an occurrence, and of a step and a task of one.
const (
	jobSize = int64(unsafe.Sizeof(Job{})) + 2*64 // with its entries in maps
	// with its critical path and its list of dependents
	stepSize  = int64(unsafe.Sizeof(Step{}) + unsafe.Sizeof(time.Duration(0)) + unsafe.Sizeof([]int32{}))
	afterSize = int64(unsafe.Sizeof(int(0)) + unsafe.Sizeof(int32(0)))

	occurrenceSize = int64(unsafe.Sizeof(occurrence{}))
	// with its entries in occurrence.steps, Job.unblocked and Job.current
	stepRunSize = int64(unsafe.Sizeof(StepRun{}) + 3*unsafe.Sizeof((*StepRun)(nil)))
	// with its entries in StepRun.Tasks and StepRun.waiting
	taskSize = int64(unsafe.Sizeof(Task{}) + 2*unsafe.Sizeof((*Task)(nil)))
)

// MemoryBytes returns about how much memory a job with this specification takes while none of its
// occurrences is due.
func (s *Spec) MemoryBytes() int64 {
	n := jobSize + int64(len(s.Payload)) + stepSize*int64(len(s.Steps))
	for i := range s.Steps {
		st := &s.Steps[i]
		n += afterSize*int64(len(st.After)) + int64(len(st.Label)+len(st.DataRack)+len(st.Image))
	}
	return n
}

// DueBytes returns about how much memory a job with this specification takes while one occurrence is due
// and all of its tasks have been looked at.
func (s *Spec) DueBytes() int64 {
	n := s.MemoryBytes() + occurrenceSize + stepRunSize*int64(len(s.Steps))
	for i := range s.Steps {
		n += taskSize * int64(s.Steps[i].Count)
	}
	return n
}

// Work returns the estimated work of one task of the step, in core-seconds.
func (s *Step) Work() float64 { return float64(s.Need.CPU) / 1000 * s.Estimate.Seconds() }

// Work returns the estimated work of one occurrence, in core-seconds.
func (s *Spec) Work() float64 {
	work := 0.0
	for i := range s.Steps {
		work += float64(s.Steps[i].Count) * s.Steps[i].Work()
	}
	return work
}

// LongRunning reports whether some step is long-running, so that the job runs until cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Accepted is the stored form of an accepted job. It changes only once: when the job reaches a
// final state, the row becomes a tombstone, which keeps the id from being used again.
type Accepted struct {
	ID    ID          `json:"-"`
	Queue model.Queue `json:"q"`
	// Service is the service of the queue at the time of acceptance.
	Service model.Service `json:"v"`
	// MaxAttempts, Stretch and Target are those of the queue at the time of acceptance; 0 in rows that
	// do not have them. They apply once the queue has left the configuration.
	MaxAttempts int           `json:"n,omitempty"`
	Stretch     float64       `json:"s,omitempty"`
	Target      time.Duration `json:"g,omitempty"`
	// Team is empty for a queue that is open to all.
	Team model.Team `json:"t,omitempty"`
	// AcceptedAt is when the entry VM accepted the job, by the entry VM's clock.
	AcceptedAt time.Time `json:"at"`
	Spec       Spec      `json:"j,omitzero"`
	// Final is the job's final state, or empty.
	Final State `json:"f,omitempty"`
	// Withdrawn is set if the job was cancelled before it was accepted, see Withdrawal.
	Withdrawn bool `json:"w,omitempty"`
	// RowVersion is the version of the row of a withdrawal.
	RowVersion uint64 `json:"-"`
}

// Withdrawal returns the row of a job that was cancelled before it was accepted. It takes the place of the
// job's row, so that no attempt to store that has an effect any more. Versions that do not know withdrawals
// read it as a cancelled job.
func Withdrawal() Accepted { return Accepted{Final: StateCancelled, Withdrawn: true} }

// Tombstone returns the row to keep for a job in the given final state.
func (a Accepted) Tombstone(s State) Accepted {
	a.Spec, a.Final = Spec{}, s
	a.MaxAttempts, a.Stretch, a.Target = 0, 0, 0
	return a
}
