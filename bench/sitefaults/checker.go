package sitefaults

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
	"boragepulley/standins/siteplatform"
)

// Bounds of the users' rules.
const (
	// restartBound is how long a long-running task may stay without a run, and calmFor how long
	// no disturbance may have been before that counts.
	restartBound = 6 * time.Second
	calmFor      = 4 * time.Second
	// contact is how long an entry VM is undisturbed before its answers count.
	contact = 3 * time.Second
	// visibleAfter is how long after its acceptance a job must be known everywhere.
	visibleAfter = 3 * time.Second
	// cancelBound is how long after an acknowledged cancelling a task of the job may start, with
	// stopTime until it may no longer run.
	cancelBound = 3 * time.Second
	// configApply is how long after the operator's write requests and starts may follow an older
	// configuration. An entry VM that has followed the newer one may go back for rollbackSlack, and
	// slowedFactor times that if it is slowed down.
	configApply = 2 * time.Second
	// drainBound is how long after it said that it leaves tasks may start on a minion.
	drainBound    = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
	slowedFactor  = 8
	// cutSlack is how long after its last byte a request may be cut off.
	cutSlack = 200 * time.Millisecond
	// capacityFactor is how often a waiting task must fit before its wait counts.
	capacityFactor = 2
	// stalledTick is a time without a processor, of this process or of an entry VM, that counts as a
	// disturbance, as the rule counts machines that are slowed down.
	stalledTick = 300 * time.Millisecond
)

// taskState is what minions saw of a task.
type taskState struct {
	running int
	began   int
	minion  jobs.Minion // of the last run
	// free is since when it has no run: its last end, or the acceptance of its job.
	free     time.Time
	reported bool
	// done are the runs that ended as done, by number.
	done map[int]*doneRun
}

// doneRun is a run that ended as done.
type doneRun struct {
	at time.Time
	// noted is set once the end was acknowledged, before the minion's leases ran out.
	noted bool
	// laterStarts are starts of the task after it.
	laterStarts []string
}

type jobState struct {
	spec                                  *jobSpec
	acceptedAt, cancelSentAt, cancelledAt time.Time
	final                                 string
	// finalAt is when it was first shown as ended.
	finalAt     time.Time
	refusedOnly bool
	answers     int
}

// checker judges what callers and minions saw. It is safe for concurrent use.
type checker struct {
	began time.Time
	note  func(format string, args ...any)
	all   *catalogue
	// configs are the configurations so far.
	configs *configs

	mu    sync.Mutex
	jobs  map[string]*jobState  // guarded by mu
	tasks map[string]*taskState // guarded by mu
	// calmSince is when the last disturbance ended; disturbances are those in force.
	calmSince    time.Time            // guarded by mu
	disturbances int                  // guarded by mu
	lastShort    time.Time            // guarded by mu; the last start of a short task
	roomSince    map[string]time.Time // guarded by mu; by service, zero while there is no room
	lastTick     time.Time            // guarded by mu
	stalls       int                  // guarded by mu
	lastStall    time.Time            // guarded by mu
	faults       []string             // guarded by mu
	// longest is the longest time of a long-running task without a run, all told and in calm.
	longest, longestCalm time.Duration
	restarts             int                       // guarded by mu; of long-running tasks
	leaves               map[jobs.Minion]time.Time // guarded by mu; when a minion said that it leaves
}

func newChecker(all *catalogue, configs *configs) *checker {
	now := time.Now()
	return &checker{began: now, all: all, configs: configs, jobs: map[string]*jobState{}, tasks: map[string]*taskState{}, calmSince: now, roomSince: map[string]time.Time{}, lastTick: now, leaves: map[jobs.Minion]time.Time{},
		note: func(string, ...any) {}}
}

// fault requires mu.
func (c *checker) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(c.faults, text) {
		c.faults = append(c.faults, fmt.Sprintf("%6.2f s: %s", time.Since(c.began).Seconds(), text))
		c.note("FAULT %s", text)
	}
}

func (c *checker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault(format, args...)
}

// leaving takes note of a minion that says that it leaves.
func (c *checker) leaving(id jobs.Minion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaves[id] = time.Now()
}

// othersDisturb returns how many disturbances there are but the given number. It requires mu.
func (c *checker) othersDisturb(own int) int { return max(0, c.disturbances-own) }

func (c *checker) disturbanceBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances++
}

func (c *checker) disturbanceEnds() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances--
	c.calmSince = time.Now()
}

// taskOf requires mu.
func (c *checker) taskOf(name string) *taskState {
	s := c.tasks[name]
	if s == nil {
		s = &taskState{done: map[int]*doneRun{}}
		c.tasks[name] = s
	}
	return s
}

// event takes note of what happened to a run.
func (c *checker) event(e fleet.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.taskOf(e.Task)
	switch e.Kind {
	case fleet.RunBegan:
		c.runBegan(s, e)
	case fleet.RunEnded:
		s.running--
		if s.running == 0 {
			s.free, s.reported = e.At, false
		}
		if e.How == jobs.EndDone {
			s.done[e.Run] = &doneRun{at: e.At}
		}
	case fleet.EndNoted:
		if d := s.done[e.Run]; d != nil {
			d.noted = true
		}
	}
}

func (c *checker) runBegan(s *taskState, e fleet.Event) {
	spec := c.all.ofTask(e.Task)
	if spec == nil {
		c.fault("UNASKED: %s was started, nobody handed it in", e.Task)
		return
	}
	j := c.jobs[spec.ID]
	if newest := c.configs.newest(); string(e.Service) != serviceOf(spec.Service, newest.n) {
		c.otherService(e, spec, newest)
	}
	s.running++
	s.began++
	s.minion = e.Minion
	if s.running > 1 {
		c.fault("TWICE: %s run %d begins on %s while another run of it is on a live minion", e.Task, e.Run, e.Minion)
	}
	for _, d := range s.done {
		d.laterStarts = append(d.laterStarts, fmt.Sprintf("%s run %d begins on %s %v after an end as done", e.Task, e.Run, e.Minion, e.At.Sub(d.at).Round(time.Millisecond)))
	}
	if j != nil && !j.cancelledAt.IsZero() && c.disturbances == 0 && e.At.Sub(later(j.cancelledAt, c.calmSince)) > cancelBound {
		c.fault("UNASKED: %s begins on %s %v after its cancelling", e.Task, e.Minion, e.At.Sub(j.cancelledAt).Round(time.Millisecond))
	}
	if at, ok := c.leaves[e.Minion]; ok && c.othersDisturb(1) == 0 && e.At.Sub(later(later(at, c.calmSince), c.lastStall)) > drainBound {
		c.fault("DRAIN: %s run %d begins on %s, %v after it said that it leaves", e.Task, e.Run, e.Minion, e.At.Sub(at).Round(time.Millisecond))
	}
	if !spec.Long {
		c.lastShort = e.At
	}
	if spec.Long && s.began > 1 {
		c.restarts++
		c.longest = max(c.longest, e.At.Sub(s.free))
		if c.disturbances == 0 && s.free.After(c.calmSince) {
			c.longestCalm = max(c.longestCalm, e.At.Sub(s.free))
		}
	}
}

// otherService judges a start on a minion of a service that the newest configuration does not
// send the queue to. It requires mu.
func (c *checker) otherService(e fleet.Event, spec *jobSpec, newest configuration) {
	if spec.Service != roaming || !slices.Contains(services, string(e.Service)) {
		c.fault("ROUTE: %s run %d begins on %s of %s, no configuration sends its queue there", e.Task, e.Run, e.Minion, e.Service)
	}
	if since := e.At.Sub(newest.acked); since > configApply && c.disturbances == 0 && e.At.Sub(later(c.calmSince, c.lastStall)) > contact {
		c.fault("CONFIG: %s run %d begins on %s of %s, %v after configuration %d sends its queue elsewhere", e.Task, e.Run, e.Minion, e.Service, since.Round(time.Millisecond), newest.n)
	}
}

// cutOff takes note of a request that got no answer.
func (c *checker) cutOff(a answer, request string, written time.Time, err error) {
	waited := time.Since(written)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || waited <= cutSlack || a.from.mayCutOff(a.sent) || c.stalledSince(a.sent.Add(-contact)) {
		return
	}
	c.report("LOST: %s is cut off by %s %v after it was sent: %v", request, a.from.name, waited.Round(time.Millisecond), err)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *checker) handedIn(j *jobSpec) {
	c.all.add(j)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[j.ID] == nil {
		c.jobs[j.ID] = &jobState{spec: j, refusedOnly: true}
	}
}

func (c *checker) submitAnswered(j *jobSpec, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[j.ID]
	s.answers++
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		s.refusedOnly = false
	}
	if status != 0 && status/100 != 5 && status != http.StatusTooManyRequests {
		c.fault("job %s is answered with %d", j.ID, status)
	}
}

func (c *checker) accepted(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.jobs[j.ID].acceptedAt, c.jobs[j.ID].refusedOnly = now, false
	for _, name := range j.tasks() {
		if s := c.taskOf(name); s.free.IsZero() {
			s.free = now
		}
	}
	c.note("job %s accepted", j.ID)
}

// stateAnswered takes note of a job's state and reports whether nobody needs to ask again: its
// retention is over.
func (c *checker) stateAnswered(j *jobSpec, a answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[j.ID]
	now := time.Now()
	if s.final != "" {
		return c.endedAnswered(s, a)
	}
	if end := c.endOf(s); a.status == http.StatusGone && !end.IsZero() && now.Sub(end) > retention {
		s.final = "forgotten" // its retention ended while nobody could be asked
		return true
	}
	switch {
	case a.status == http.StatusGone && now.Sub(s.acceptedAt) > visibleAfter && a.from.inTouch(a.sent):
		c.fault("LOST: job %s is answered 410 by %s, %v after its acceptance", j.ID, a.from.name, now.Sub(s.acceptedAt).Round(time.Millisecond))
	case a.status == http.StatusOK && (a.state == "completed" || a.state == "failed" || a.state == "cancelled"):
		s.final, s.finalAt = a.state, now
		if a.state == "failed" || a.state == "cancelled" && s.cancelSentAt.IsZero() || a.state == "completed" && j.Long {
			c.fault("LOST: job %s is shown as %s", j.ID, a.state)
		}
		if a.state == "completed" {
			for _, name := range j.tasks() {
				if len(c.taskOf(name).done) == 0 {
					c.fault("MIXED: job %s is shown as completed, %s has not ended as done", j.ID, name)
				}
			}
		}
	}
	return false
}

// endedAnswered judges an answer about a job that was shown as ended, and reports whether its
// retention is over. It requires mu.
func (c *checker) endedAnswered(s *jobState, a answer) bool {
	after := a.sent.Sub(s.finalAt)
	switch {
	case a.status == http.StatusGone && a.sent.Sub(c.endOf(s)) < retention && a.from.inTouch(a.sent):
		c.fault("LOST: job %s is answered 410 by %s, %v after it was shown as %s", s.spec.ID, a.from.name, after.Round(time.Millisecond), s.final)
	case a.status == http.StatusOK && a.state != s.final:
		c.fault("MIXED: job %s is shown as %s by %s, %v after it was shown as %s", s.spec.ID, a.state, a.from.name, after.Round(time.Millisecond), s.final)
	}
	return after > retention
}

// endOf returns a time before which the job had not ended, as minions and callers saw it, zero if it
// has not. It requires mu.
func (c *checker) endOf(s *jobState) time.Time {
	if !s.cancelSentAt.IsZero() {
		return s.cancelSentAt
	}
	var last time.Time
	for _, name := range s.spec.tasks() {
		var first time.Time
		for _, d := range c.taskOf(name).done {
			if first.IsZero() || d.at.Before(first) {
				first = d.at
			}
		}
		if first.IsZero() {
			return first
		}
		last = later(last, first)
	}
	return last
}

// ended reports whether a job was shown as ended.
func (c *checker) ended(j *jobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[j.ID].final != ""
}

func (c *checker) cancelSent(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID].cancelSentAt = time.Now()
	c.note("job %s: cancelling is sent", j.ID)
}

// cancelAnswered judges an answer to a cancelling that is no success. The job was accepted.
func (c *checker) cancelAnswered(j *jobSpec, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[j.ID]
	if since := a.sent.Sub(s.acceptedAt); a.status == http.StatusGone && s.final == "" && since > visibleAfter && a.from.inTouch(a.sent) {
		c.fault("LOST: the cancelling of job %s is answered 410 by %s, %v after its acceptance", j.ID, a.from.name, since.Round(time.Millisecond))
	}
}

// isAccepted reports whether a job was accepted.
func (c *checker) isAccepted(j *jobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.jobs[j.ID].acceptedAt.IsZero()
}

func (c *checker) cancelled(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID].cancelledAt = time.Now()
}

// busiest returns the machine on which most long-running tasks run, or other if there are none.
func (c *checker) busiest(other string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for name, s := range c.tasks {
		if spec := c.all.ofTask(name); s.running > 0 && spec != nil && spec.Long {
			counts[siteplatform.MachineOf(s.minion)]++
		}
	}
	for _, m := range machineSpecs() {
		if counts[m.Name] > counts[other] {
			other = m.Name
		}
	}
	return other
}

// tick looks for long-running tasks that should run. up returns how many machines of a service
// are up. The rule counts capacity whether it is in use or not.
// starved is the longest time for which an entry VM has waited for a processor since the last tick.
func (c *checker) tick(up func(service string) int, starved time.Duration) {
	room := map[string]int{}
	for _, s := range services {
		room[s] = up(s) * (machineCPU / longCPU)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(c.lastTick); gap > stalledTick || starved > stalledTick {
		c.stalls++
		c.lastStall = now
		c.calmSince = now
		c.note("this process stood still for %v, an entry VM waited for a processor for %v", gap, starved)
	}
	c.lastTick = now
	for _, s := range services {
		switch {
		case room[s] < capacityFactor:
			c.roomSince[s] = time.Time{}
		case c.roomSince[s].IsZero():
			c.roomSince[s] = now
		}
	}
	for _, j := range c.jobs {
		if !j.spec.Long || j.acceptedAt.IsZero() || !j.cancelSentAt.IsZero() {
			continue
		}
		since := c.roomSince[j.spec.Service]
		calm := c.disturbances == 0 && now.Sub(c.calmSince) > calmFor && !since.IsZero() && now.Sub(since) > calmFor
		for _, name := range j.spec.tasks() {
			s := c.taskOf(name)
			if s.running > 0 || s.reported {
				continue
			}
			if wait := now.Sub(s.free); calm && wait > restartBound {
				s.reported = true
				c.fault("LOST: %s has no run for %v (%d runs so far), calm for %v, room for %d", name, wait.Round(time.Millisecond), s.began, now.Sub(c.calmSince).Round(time.Millisecond), room[j.spec.Service])
			}
		}
	}
}

// allRunning reports whether each long-running task that should run does, or was reported.
func (c *checker) allRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if !j.spec.Long || j.acceptedAt.IsZero() || !j.cancelSentAt.IsZero() {
			continue
		}
		for _, name := range j.spec.tasks() {
			if s := c.taskOf(name); s.running == 0 && !s.reported {
				return false
			}
		}
	}
	return c.disturbances == 0
}

// stalledSince reports whether this process or an entry VM got no processor for a while since the
// given time, or does not get one now.
func (c *checker) stalledSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStall.After(at) || time.Since(c.lastTick) > stalledTick
}

// quietFor reports whether no disturbance was and no short task began for a time.
func (c *checker) quietFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disturbances == 0 && time.Since(later(c.calmSince, c.lastShort)) > d
}

// open returns the accepted short jobs that have not been seen to end.
func (c *checker) open() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, j := range c.jobs {
		if !j.spec.Long && !j.acceptedAt.IsZero() && j.final == "" {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// finish judges what only the end shows.
func (c *checker) finish() {
	for _, id := range c.open() {
		c.report("LOST: job %s has not ended", id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.tasks {
		for _, d := range s.done {
			for _, text := range d.laterStarts {
				if d.noted {
					c.fault("TWICE: %s, and that end was acknowledged", text)
				}
			}
		}
		j := c.jobs[c.all.ofTask(name).ID]
		if s.began > 0 && j.refusedOnly && j.answers > 0 {
			c.fault("REFUSED: %s was started, its job was refused each time", name)
		}
		if s.running > 0 && !j.cancelledAt.IsZero() && c.disturbances == 0 && time.Since(later(j.cancelledAt, c.calmSince)) > cancelBound+stopTime {
			c.fault("UNASKED: %s runs on %v after its cancelling", name, time.Since(j.cancelledAt).Round(time.Millisecond))
		}
	}
}
