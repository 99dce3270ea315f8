// Package holding keeps the coordinator's known state of each minion: its incarnation, its clock,
// when all runs on it have expired, its tasks, and which reported ends of runs can be
// acknowledged. It performs no I/O and is owned by one goroutine.
//
// Orders that were sent to an incarnation of a minion may be carried out by a later one, which has the same
// id, and whose clock and numbers of ends have no relation to those of the one before. A lease that was
// computed for the earlier clock is then of any length up to the longest that a minion grants. A minion is
// Unfenced until it has answered an order with a fencing token that was raised after the restart: from then
// on it rejects all that was sent to earlier incarnations.
//
// Invariants of a Minion:
//   - RunsExpireAt is never before the end of a lease that was sent, on this process's clock, whichever
//     known incarnation carries it out. An Unfenced minion that has been silent for maxAnswerTimeout is
//     an exception: what it carries out later is not allowed for, but by InDoubt for the tasks concerned.
//   - NextAck never covers an end that changed a job if that change is not stored.
package holding

import (
	"time"

	"boragepulley/internal/indoubt"
	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/latency"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// OrdersVoidAfter is how long after an order was sent it is certainly not carried out any more.
const OrdersVoidAfter = maxPollWait + maxAnswerTimeout + indoubt.MaxDelay

const (
	// clockSlowness is the most by which a minion's clock may run slower (2%, from the users' documentation).
	clockSlowness = 0.02
	// readingMargin covers the time from a minion's reading of its clock to the receipt here.
	readingMargin = 150 * time.Millisecond
	// minAnswerTimeout and maxAnswerTimeout bound the time in which a minion has to answer. An answer
	// takes 2 to 10 ms, on a busy entry VM 100 ms. A minion that answers as slowly as the upper bound
	// still gets a renewal in time: its runs have leases of 4 s, and a clock reading of that age is
	// within clockSlack.
	minAnswerTimeout = 300 * time.Millisecond
	maxAnswerTimeout = 1500 * time.Millisecond
	// maxPollWait is the longest time for which a minion may delay its answer to a poll (PROTOCOL.md).
	maxPollWait = 2 * time.Second
)

// ExpiryBasis is what the time at which all runs of a minion have expired was computed from.
type ExpiryBasis string

const (
	// ExpiryTakeover: the leases that an earlier coordinator may have granted.
	ExpiryTakeover ExpiryBasis = "takeover"
	// ExpiryLease: the end of a lease that was sent, on the minion's clock.
	ExpiryLease ExpiryBasis = "lease"
	// ExpiryRestart: the longest lease that a minion grants, after a restart.
	ExpiryRestart ExpiryBasis = "restart"
)

// Minion is the coordinator's known state of a minion.
type Minion struct {
	site.MinionEntry
	// IncarnationAt is when Incarnation became known.
	IncarnationAt time.Duration
	// Listed is set while the platform's list names the minion.
	Listed bool
	// Recorded is set once the minion is stored, so that a new coordinator knows of it.
	Recorded bool
	// Polled is set once this coordinator knows what runs on the minion and what has ended there: the
	// minion listed all of it in a poll reply, or all its leases expired.
	Polled bool
	// RunsExpireAt is when the leases of all runs have expired, including those of runs that this
	// coordinator does not know of.
	RunsExpireAt time.Duration
	// ExpiryBasis tells what RunsExpireAt was computed from.
	ExpiryBasis ExpiryBasis
	// Restarts counts the restarts under this id that this coordinator knows of.
	Restarts int
	// Unfenced is set while orders to an earlier incarnation may be carried out by the present one, and
	// UnfencedAt is since when.
	Unfenced   bool
	UnfencedAt time.Duration
	// Token is the raised fencing token for the present incarnation, 0 if none is needed or stored yet.
	Token uint64
	// LongLeasesUntil is until when leases may last that were computed for the clock of an earlier
	// incarnation. LongLeasesRecorded is set if the stored row of the minion tells of such leases.
	LongLeasesUntil    time.Duration
	LongLeasesRecorded bool

	// clock is the last reading of the minion's clock in milliseconds, clockAt the time at which it
	// was taken into account.
	clock   int64
	clockAt time.Duration
	// former is the last known incarnation before the present one.
	former int64
	// sentOrders is set if any incarnation was sent a lease or an acknowledgement, which a later one must not
	// carry out.
	sentOrders bool
	// maxLease is the longest lease that the minion grants, on a slow clock. It is known after a restart.
	maxLease time.Duration

	// Used is the sum of the resources that Tasks reserve.
	Used jobs.Resources
	// Orphaned is what runs reserve that the last report lists and that are not among Tasks.
	Orphaned jobs.Resources
	Tasks    map[*jobs.Task]struct{}
	// Kinds counts the Tasks by kind.
	Kinds Kinds
	// neighbours tells which images ran beside each run of a task with an image.
	neighbours neighbours
	// EmptySince is when the last task was unassigned.
	EmptySince time.Duration

	// Polling is set while a poll is in flight; NextPoll is when the next one is due.
	Polling  bool
	NextPoll time.Duration
	// FailedPolls counts consecutive polls without a reply; LastReply is when the last reply came.
	FailedPolls int
	LastReply   time.Duration
	// LastPollFailure is when a poll last failed.
	LastPollFailure time.Duration
	// LastStart is when the last start order was sent, LastReported when the last poll was sent that
	// this incarnation answered.
	LastStart, LastReported time.Duration
	// StartsInFlight counts start orders that are neither answered nor given up.
	StartsInFlight int
	// Latency is how long the minion takes to answer.
	Latency latency.Estimator
	// AvoidUntil is until when the minion counts as suspect, after it refused an order or did not
	// answer one.
	AvoidUntil time.Duration
	// RejectedStarts counts consecutive starts that the minion rejected because it is not healthy.
	RejectedStarts int
	// Cordoned minions get no new work, because their machine is about to move to another pool or
	// to be maintained.
	Cordoned bool
	// Draining minions are to lose their long-running tasks, because their machine is to be
	// maintained. They get new work only while that makes no progress, see Cordoned.
	Draining bool
	// LeavesAt is when a minion that is leaving may be gone.
	LeavesAt time.Duration
	// ColdUntil is until when the minion is slow after its start, by the entry of incarnation ColdOf.
	ColdUntil time.Duration
	ColdOf    int64
	// Ordered is set while an order that ends the minion may be carried out. OrderedUntil is until when one of
	// an earlier coordinator may be; before that the minion gets no new work.
	Ordered      bool
	OrderedUntil time.Duration

	// InDoubt are the starts that got no answer and may be carried out, by this incarnation or a later one.
	InDoubt indoubt.Starts
	// InDoubtRecorded are the tasks of such starts that the stored row of the minion names.
	InDoubtRecorded []string
	// StaleStarts holds, by task name, the starts that this incarnation may carry out although their run is not
	// wanted any more: those to earlier incarnations, and those of tasks that have become done otherwise. A stop of
	// the run rules them out.
	StaleStarts map[string]StaleStart

	// lastEnd is the sequence number of the last reported end, ackable the last one that can be
	// acknowledged.
	lastEnd int64
	ackable int64
	// acked is the last sequence number whose acknowledgement the minion has certainly received.
	acked       int64
	unackedEnds []end
}

// StaleStart is a start that a minion may carry out and that is not wanted.
type StaleStart struct {
	Run int
	// Until is from when on it is certainly not carried out any more.
	Until time.Duration
}

// Kinds counts the tasks of a minion by kind, so that a scheduling run need not look at each of them.
type Kinds struct {
	// Serving tasks have a latency target; Scavengers use only processor time left over by others.
	Serving, Scavengers int
	// LongRunning counts the long-running tasks, LongRunningUse is what they reserve.
	LongRunning    int
	LongRunningUse jobs.Resources
	// NeedByTeam is what the tasks of each team need, PerStep counts the tasks of each step that limits
	// them per minion. Neither has entries for what is not there.
	NeedByTeam map[model.Team]jobs.Resources
	PerStep    map[*jobs.StepRun]int
	// Images counts the tasks of each image. It is nil while no task has named one.
	Images map[interference.Image]int
	// tasksByTeam counts the tasks of each team.
	tasksByTeam map[model.Team]int
}

// count adds n tasks of a step.
func (k *Kinds) count(s *jobs.StepRun, n int) {
	spec := s.Spec
	if spec.TailTarget > 0 {
		k.Serving += n
	}
	if spec.Scavenger {
		k.Scavengers += n
	}
	if spec.LongRunning {
		k.LongRunning += n
		k.LongRunningUse = k.LongRunningUse.Add(spec.Reserved().Scale(n))
	}
	if image := interference.Image(spec.Image); image != "" {
		if k.Images == nil {
			k.Images = map[interference.Image]int{}
		}
		if k.Images[image] += n; k.Images[image] == 0 {
			delete(k.Images, image)
		}
	}
	if k.tasksByTeam == nil {
		k.NeedByTeam, k.PerStep, k.tasksByTeam = map[model.Team]jobs.Resources{}, map[*jobs.StepRun]int{}, map[model.Team]int{}
	}
	team := s.Job.Team
	k.NeedByTeam[team] = k.NeedByTeam[team].Add(spec.Need.Scale(n))
	if k.tasksByTeam[team] += n; k.tasksByTeam[team] == 0 {
		delete(k.tasksByTeam, team)
		delete(k.NeedByTeam, team)
	}
	if spec.MaxPerMinion == 0 {
		return
	}
	if k.PerStep[s] += n; k.PerStep[s] == 0 {
		delete(k.PerStep, s)
	}
}

// end is a reported end of a run that can be acknowledged once a change of its job is stored.
type end struct {
	seq    int64
	job    *jobs.Job // nil if nothing has to be stored
	change uint64
}

// New returns the state of a minion of which only the entry in the platform's list is known.
// unseenUntil is when runs that earlier coordinators ordered there have certainly ended; 0 if there are none.
func New(e site.MinionEntry, unseenUntil time.Duration) *Minion {
	return &Minion{sentOrders: unseenUntil > 0, MinionEntry: e, RunsExpireAt: unseenUntil, ExpiryBasis: ExpiryTakeover, Latency: latency.Estimator{Least: minAnswerTimeout, Longest: maxAnswerTimeout}, Tasks: map[*jobs.Task]struct{}{}, StaleStarts: map[string]StaleStart{}}
}

// ClockKnown reports whether leases can be expressed on the minion's clock.
func (m *Minion) ClockKnown() bool { return m.clockAt != 0 }

// clockSlack is how far a clock reading may differ from the expected one without indicating a restart:
// replies can be 1.5 s old when they are processed. The clock of a new incarnation may be ahead as well.
const clockSlack = 2 * time.Second

// ObserveClock records a reading of the minion's clock and reports whether the clock was reset,
// which means that the minion restarted. now must not be before the receipt of the reading: with
// an earlier now, leases would last longer on the minion than RunsExpireAt says.
func (m *Minion) ObserveClock(ms int64, now time.Duration) (restarted bool) {
	if ms <= 0 {
		return false
	}
	if m.ClockKnown() {
		since := now - m.clockAt
		expected := m.clock + time.Duration(float64(since)*(1-clockSlowness)).Milliseconds()
		restarted = ms < expected-clockSlack.Milliseconds() || ms > m.clock+(since+clockSlack).Milliseconds()
	}
	m.clock, m.clockAt = ms, now
	return restarted
}

// GrantLease returns the end of a lease that lasts for duration from now, in milliseconds on the
// minion's clock, and extends RunsExpireAt to it. The clock must be known.
func (m *Minion) GrantLease(now, duration time.Duration) int64 {
	m.sentOrders = true
	until := m.clock + (now - m.clockAt + duration).Milliseconds()
	// A slow clock reaches the end of the lease later.
	left := time.Duration(float64(now-m.clockAt+duration) * (1 + clockSlowness))
	m.expireAt(m.clockAt+left+readingMargin, ExpiryLease)
	return until
}

// expireAt extends RunsExpireAt to a time.
func (m *Minion) expireAt(at time.Duration, basis ExpiryBasis) {
	if at > m.RunsExpireAt {
		m.RunsExpireAt, m.ExpiryBasis = at, basis
	}
}

// Clock returns the last reading of the minion's clock, in milliseconds, and its age; 0 if it is not known.
func (m *Minion) Clock(now time.Duration) (ms int64, age time.Duration) {
	if !m.ClockKnown() {
		return 0, 0
	}
	return m.clock, now - m.clockAt
}

// LongestLease returns how long a lease may last that a minion shortened to maxLease on its clock.
func LongestLease(maxLease time.Duration) time.Duration {
	return time.Duration(float64(maxLease)*(1+clockSlowness)) + readingMargin
}

// Restarted resets the state for a new incarnation under the same id, 0 if only its clock tells of it. Ends
// that the previous incarnation reported can no longer be acknowledged. maxLease is the longest lease that a
// minion grants.
func (m *Minion) Restarted(incarnation int64, now, maxLease time.Duration) {
	if m.Incarnation != 0 {
		m.former = m.Incarnation
	}
	m.Incarnation, m.IncarnationAt = incarnation, now
	m.Restarts++
	if m.sentOrders {
		m.Unfence(now, maxLease)
	}
	m.lastEnd, m.ackable, m.acked, m.unackedEnds = 0, 0, 0, nil
	m.clock, m.clockAt = 0, 0
	for task, a := range m.InDoubt.Arriving(now) {
		if a.Run > 0 { // of an earlier coordinator otherwise, whose orders a poll with a higher token rules out
			m.StaleStarts[task] = StaleStart{a.Run, a.ArriveBy}
		}
	}
}

// Unfence records that orders to an earlier incarnation may be carried out by the present one.
func (m *Minion) Unfence(now, maxLease time.Duration) {
	m.maxLease = maxLease
	m.sentOrders, m.Unfenced, m.UnfencedAt, m.Token = true, true, now, 0
	m.expectLongLeases(now + maxAnswerTimeout)
}

// InheritLongLeases records that an earlier coordinator left the minion unfenced, or with leases that may be as
// long as it grants at most. token is higher than any of that coordinator, whose orders may be carried out until
// the minion has answered an order with it. RunsExpireAt allows for those until the takeover.
func (m *Minion) InheritLongLeases(token uint64, now, maxLease time.Duration) {
	m.maxLease = maxLease
	m.sentOrders, m.Unfenced, m.UnfencedAt, m.Token = true, true, now, token
	m.LongLeasesRecorded, m.LongLeasesUntil = true, m.RunsExpireAt
}

// expectLongLeases allows for a lease for the clock of an earlier incarnation that is granted until at.
func (m *Minion) expectLongLeases(at time.Duration) {
	m.LongLeasesUntil = max(m.LongLeasesUntil, at+LongestLease(m.maxLease))
	m.expireAt(m.LongLeasesUntil, ExpiryRestart)
}

// PollAnswered records that the present incarnation has answered a poll with the given raised token. It reports
// whether the minion has become fenced by it.
func (m *Minion) PollAnswered(token uint64, now time.Duration) (fenced bool) {
	if !m.Unfenced {
		return false
	}
	m.Unfenced = (m.Token == 0 || token < m.Token) && now <= m.UnfencedAt+OrdersVoidAfter
	if m.Unfenced {
		m.expectLongLeases(now + maxAnswerTimeout)
		return false
	}
	m.expectLongLeases(now)
	return true
}

// IsFormer reports whether an answer to a poll that was sent before the last known restart is not of the
// present incarnation, given the incarnation in the answer.
func (m *Minion) IsFormer(incarnation int64) bool {
	if m.Incarnation == 0 {
		return incarnation == 0 || incarnation == m.former
	}
	return incarnation < m.Incarnation
}

// Assign adds a task and its reservation to the minion.
func (m *Minion) Assign(t *jobs.Task) {
	if _, ok := m.Tasks[t]; ok {
		return
	}
	m.Tasks[t] = struct{}{}
	t.Hold()
	m.Used = m.Used.Add(t.Step.Spec.Reserved())
	m.Kinds.count(t.Step, 1)
}

// Unassign removes a task and its reservation from the minion.
func (m *Minion) Unassign(t *jobs.Task, now time.Duration) {
	if _, ok := m.Tasks[t]; !ok {
		return
	}
	delete(m.Tasks, t)
	m.neighbours.runEnded(t, now)
	if len(m.Tasks) == 0 {
		m.EmptySince = now
	}
	m.Used = m.Used.Sub(t.Step.Spec.Reserved())
	m.Kinds.count(t.Step, -1)
	t.Release()
}

// DropJob removes the tasks of a job, whose state may be inconsistent, and counts the others again.
func (m *Minion) DropJob(j *jobs.Job) {
	m.Used, m.Kinds = jobs.Resources{}, Kinds{}
	for t := range m.Tasks {
		if t.Step.Job == j {
			delete(m.Tasks, t)
			m.neighbours.runEnded(t, 0) // the time is not known; a few shares are too low
			continue
		}
		m.Used = m.Used.Add(t.Step.Spec.Reserved())
		m.Kinds.count(t.Step, 1)
	}
}

// IsNewEnd reports whether an end is reported for the first time, and records its sequence number.
func (m *Minion) IsNewEnd(seq int64) bool {
	if seq <= m.lastEnd {
		return false
	}
	m.lastEnd = seq
	return true
}

// AckOnceSaved lets an end be acknowledged once the given change of the job is stored; a nil job
// means immediately. The minion forgets acknowledged ends.
func (m *Minion) AckOnceSaved(seq int64, j *jobs.Job, change uint64) {
	m.unackedEnds = append(m.unackedEnds, end{seq, j, change})
}

// NextAck returns the sequence number up to which to acknowledge ends, or 0 if that was delivered
// already. It is not sent again after that, because a later incarnation that receives it would
// forget ends of its own that were not processed.
func (m *Minion) NextAck() int64 {
	for len(m.unackedEnds) > 0 && (m.unackedEnds[0].job == nil || m.unackedEnds[0].job.SavedThrough(m.unackedEnds[0].change)) {
		m.ackable = m.unackedEnds[0].seq
		m.unackedEnds = m.unackedEnds[1:]
	}
	if m.ackable <= m.acked {
		return 0
	}
	m.sentOrders = true
	return m.ackable
}

// AckDelivered records that the minion received the acknowledgement of ends up to seq.
func (m *Minion) AckDelivered(seq int64) { m.acked = max(m.acked, seq) }

// AckPending reports whether ends wait to be stored, or an acknowledgement to be delivered.
func (m *Minion) AckPending() bool { return len(m.unackedEnds) > 0 || m.ackable > m.acked }
