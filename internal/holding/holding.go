// Package holding keeps what the coordinator believes of each minion: which life of it
// answers, how its clock runs, until when runs on it may go on, what runs there, and
// which of its ends are stored. It performs no I/O and is owned by one goroutine.
//
// Invariants:
//   - Lapses is never before the end of a lease that was sent, on this process's clock.
//   - Noted never passes an end whose job's progress is not stored.
package holding

import (
	"maps"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

const (
	// clockSlowness bounds how much slower a minion's clock may run (the users' pages: 2%).
	clockSlowness = 0.02
	// lapseMargin covers the time between a minion's reading of its clock and our receipt.
	lapseMargin = 150 * time.Millisecond
)

// Minion is one life of a minion as the coordinator sees it.
type Minion struct {
	site.MinionEntry
	// Listed is set while the platform's list names the minion.
	Listed bool
	// Recorded is set once a successor would know of the minion.
	Recorded bool
	// Polled is set once the minion told this coordinator what runs on it.
	Polled bool
	// RunsExpireAt is when every run that may be going on unseen is over.
	RunsExpireAt time.Duration

	clock   int64
	clockAt time.Duration

	// Used is what the tasks in Tasks reserve.
	Used  jobs.Resources
	Tasks map[*jobs.Task]struct{}
	// EmptySince is when the last task left the minion.
	EmptySince time.Duration

	// Polling is set while a hold is under way; NextLook is when the next one is due.
	Polling  bool
	NextPoll time.Duration
	// FailedPolls counts holds in a row without an answer, Heard is when the last one came.
	FailedPolls int
	LastReply   time.Duration
	// AvoidUntil keeps new work away for a while after a refusal or lost order.
	AvoidUntil time.Duration
	// Cordoned keeps new work away, because the machine is about to leave its pool or to be
	// maintained.
	Cordoned bool

	// UnconfirmedStarts are starts, by task, that were sent to this life and may be carried out late;
	// StaleStarts are those of earlier lives under the id.
	UnconfirmedStarts, StaleStarts map[string]int

	seen  int64
	noted int64
	// told is the last number that the minion surely got as noted.
	told int64
	ends []end
}

type end struct {
	number int64
	job    *jobs.Job // nil: nothing has to be stored
	change uint64
}

// New returns the state of a minion of which only its entry is known. unseenUntil is when
// runs that others ordered there are certainly over.
func New(e site.MinionEntry, unseenUntil time.Duration) *Minion {
	return &Minion{MinionEntry: e, RunsExpireAt: unseenUntil, Tasks: map[*jobs.Task]struct{}{}, UnconfirmedStarts: map[string]int{}, StaleStarts: map[string]int{}}
}

// ClockKnown reports whether leases can be expressed on the minion's clock.
func (m *Minion) ClockKnown() bool { return m.clockAt != 0 }

// clockSlack is how far a reading may lag behind the expected one: answers can be 1.5 s old
// when they are taken.
const clockSlack = 2 * time.Second

// ObserveClock notes a reading of the minion's clock. now must not be before its receipt: a
// reading that is taken for an older one makes leases longer than they are believed to be.
// It reports whether the clock began anew, which only a new life does.
func (m *Minion) ObserveClock(ms int64, now time.Duration) (anew bool) {
	if ms <= 0 {
		return false
	}
	if m.ClockKnown() {
		since := now - m.clockAt
		expected := m.clock + time.Duration(float64(since)*(1-clockSlowness)).Milliseconds()
		anew = ms < expected-clockSlack.Milliseconds()
	}
	m.clock, m.clockAt = ms, now
	return anew
}

// GrantLease returns the end of a lease on the minion's clock, in milliseconds, and notes it.
func (m *Minion) GrantLease(now, hold time.Duration) int64 {
	until := m.clock + (now - m.clockAt + hold).Milliseconds()
	// A slow clock reaches the end later.
	left := time.Duration(float64(now-m.clockAt+hold) * (1 + clockSlowness))
	m.RunsExpireAt = max(m.RunsExpireAt, m.clockAt+left+lapseMargin)
	return until
}

// Restarted starts the belief about a new life under the same id. Ends of the earlier life
// can no longer be asked for.
func (m *Minion) Restarted(born int64) {
	m.Incarnation = born
	m.seen, m.noted, m.told, m.ends = 0, 0, 0, nil
	m.clock, m.clockAt = 0, 0
	maps.Copy(m.StaleStarts, m.UnconfirmedStarts)
	m.UnconfirmedStarts = map[string]int{}
}

// Assign counts a task's reservation on the minion.
func (m *Minion) Assign(t *jobs.Task) {
	if _, ok := m.Tasks[t]; ok {
		return
	}
	m.Tasks[t] = struct{}{}
	m.Used = m.Used.Add(t.Step.Spec.Reserved())
}

// Unassign takes a task's reservation back.
func (m *Minion) Unassign(t *jobs.Task, now time.Duration) {
	if _, ok := m.Tasks[t]; !ok {
		return
	}
	delete(m.Tasks, t)
	if len(m.Tasks) == 0 {
		m.EmptySince = now
	}
	m.Used = m.Used.Sub(t.Step.Spec.Reserved())
}

// IsNewEnd reports whether an end was not seen before, and notes that it was.
func (m *Minion) IsNewEnd(number int64) bool {
	if number <= m.seen {
		return false
	}
	m.seen = number
	return true
}

// AckOnceSaved notes that an end may be forgotten by the minion once the change of the job is
// stored; a nil job means at once.
func (m *Minion) AckOnceSaved(number int64, j *jobs.Job, change uint64) {
	m.ends = append(m.ends, end{number, j, change})
}

// NextAck returns the number of the last end that the minion may forget, or 0 if it was told
// already: a number that reaches a later life would make it forget ends unseen.
func (m *Minion) NextAck() int64 {
	for len(m.ends) > 0 && (m.ends[0].job == nil || m.ends[0].job.SavedThrough(m.ends[0].change)) {
		m.noted = m.ends[0].number
		m.ends = m.ends[1:]
	}
	if m.noted <= m.told {
		return 0
	}
	return m.noted
}

// AckDelivered notes that the minion got a number as noted.
func (m *Minion) AckDelivered(number int64) { m.told = max(m.told, number) }

// AckPending reports whether ends wait for being noted, or the minion for word of it.
func (m *Minion) AckPending() bool { return len(m.ends) > 0 || m.noted > m.told }
