// Package runs counts how often each job ran at a stand-in, so that tests can check
// that a job ran at most once.
package runs

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Run is what is known about one job id.
type Run struct {
	ID string `json:"id"`
	// Count is the number of times that the job was started, over all attempts.
	Count int `json:"count"`
	// Attempts maps an attempt to the number of its starts.
	Attempts map[int]int `json:"attempts"`
}

// Answer is the body of GET /debug/runs, sorted by id.
type Answer struct {
	Runs []Run `json:"runs"`
}

// Log counts runs. It outlives reboots of its machine. Several machines can share one.
type Log struct {
	mu   sync.Mutex
	jobs map[string]map[int]int // guarded by mu
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{jobs: map[string]map[int]int{}} }

// Add counts one start of an attempt.
func (l *Log) Add(id string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs[id] == nil {
		l.jobs[id] = map[int]int{}
	}
	l.jobs[id][attempt]++
}

// Answer returns all counts.
func (l *Log) Answer() Answer { return Merge(l) }

// Merge adds the counts of several logs.
func Merge(logs ...*Log) Answer {
	sum := map[string]Run{}
	for _, l := range logs {
		l.addTo(sum)
	}
	a := Answer{Runs: slices.Collect(maps.Values(sum))}
	slices.SortFunc(a.Runs, func(x, y Run) int { return strings.Compare(x.ID, y.ID) })
	return a
}

func (l *Log) addTo(sum map[string]Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, attempts := range l.jobs {
		r, ok := sum[id]
		if !ok {
			r = Run{ID: id, Attempts: map[int]int{}}
		}
		for a, n := range attempts {
			r.Attempts[a] += n
			r.Count += n
		}
		sum[id] = r
	}
}
