package schedule

import (
	"time"

	"boragepulley/internal/model"
)

// rank is the first sort key of steps; lower ranks come first.
type rank int

const (
	// rankLongRunning: long-running tasks have value for as long as they run, and need little
	// capacity.
	rankLongRunning rank = iota
	// rankInTime: the job can still meet its deadline.
	rankInTime
	// rankLate: the job will miss its deadline. It comes after jobs that can meet theirs;
	// otherwise a burst of five times a queue's mean load would make every job late.
	rankLate
	// rankExpired: the job will end too late to be of use. After an outage, these would
	// otherwise start first, being the oldest, and delay the next jobs until they expire too.
	rankExpired
)

// expiryFactor bounds a job's usefulness: a job that ends later than this multiple of its time
// objective after its arrival is of no use to its caller (requirement of the users).
const expiryFactor = 3

// estimateTolerance is how far after its deadline a job may be expected to end and still rank as
// in time: estimates are wrong by half and more.
const estimateTolerance = 400 * time.Millisecond

func (s *Step) rank(now time.Duration) rank {
	switch {
	case s.StepRun.Spec.LongRunning:
		return rankLongRunning
	case now+s.RemainingTime <= s.Deadline+estimateTolerance:
		return rankInTime
	case now+s.RemainingTime <= s.Arrived+expiryFactor*(s.Deadline-s.Arrived):
		return rankLate
	}
	return rankExpired
}

// orderedStep is a step with its sort keys.
type orderedStep struct {
	*Step
	rank rank
	// load is the load of the step's service, nil if that has no minions.
	load *serviceLoad
	// workPerValue is the remaining work per value, 0 unless the service is overloaded.
	workPerValue float64
	latestStart  time.Duration
	// serviceStart is the least latestStart of all steps of the service.
	serviceStart *time.Duration
}

// stepQueue yields steps in the order in which to place them: by rank, priority and least slack, that
// is, by the latest start with which the job meets its deadline. Least slack first serves all jobs in
// time if that is possible. On an overloaded service it would start each job at the last moment and
// make most of them late; there, steps are ordered by remaining work per value instead.
//
// It is a heap: to yield the steps that are placed costs less than to sort a backlog of which few are.
type stepQueue struct {
	heap []orderedStep
	// compared counts the comparisons of two steps.
	compared int
}

// newStepQueue returns the queue of all steps.
func newStepQueue(now time.Duration, steps []Step, loads map[model.Service]*serviceLoad) *stepQueue {
	q := &stepQueue{heap: make([]orderedStep, len(steps))}
	starts := map[model.Service]*time.Duration{}
	for i := range steps {
		s := &steps[i]
		o := orderedStep{Step: s, rank: s.rank(now), load: loads[s.Service], latestStart: s.Deadline - s.RemainingTime, serviceStart: starts[s.Service]}
		if o.serviceStart == nil {
			o.serviceStart = new(time.Duration)
			*o.serviceStart, starts[s.Service] = o.latestStart, o.serviceStart
		}
		*o.serviceStart = min(*o.serviceStart, o.latestStart)
		if o.load != nil && o.load.overloaded() && s.Value > 0 {
			o.workPerValue = s.RemainingWork / s.Value
		}
		q.heap[i] = o
	}
	q.heapify()
	return q
}

func (q *stepQueue) before(a, b *orderedStep) bool {
	q.compared++
	switch {
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case *a.serviceStart != *b.serviceStart:
		return *a.serviceStart < *b.serviceStart
	case a.Service != b.Service:
		return a.Service < b.Service
	case a.workPerValue != b.workPerValue:
		return a.workPerValue < b.workPerValue
	case a.latestStart != b.latestStart:
		return a.latestStart < b.latestStart
	case a.StepRun.Job.ID != b.StepRun.Job.ID:
		return a.StepRun.Job.ID < b.StepRun.Job.ID
	}
	return a.StepRun.Index < b.StepRun.Index || a.StepRun.Index == b.StepRun.Index && a.StepRun.Occurrence < b.StepRun.Occurrence
}

// peek returns the first step, or nil.
func (q *stepQueue) peek() *orderedStep {
	if len(q.heap) == 0 {
		return nil
	}
	return &q.heap[0]
}

// pop removes and returns the first step.
func (q *stepQueue) pop() orderedStep {
	first, last := q.heap[0], len(q.heap)-1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.siftDown(0)
	return first
}

// remove removes the steps for which f returns true.
func (q *stepQueue) remove(f func(*Step) bool) {
	kept := q.heap[:0]
	for _, o := range q.heap {
		if !f(o.Step) {
			kept = append(kept, o)
		}
	}
	if len(kept) < len(q.heap) {
		q.heap = kept
		q.heapify()
	}
}

func (q *stepQueue) heapify() {
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.siftDown(i)
	}
}

func (q *stepQueue) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.before(&q.heap[child], &q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
