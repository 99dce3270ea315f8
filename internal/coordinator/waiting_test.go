package coordinator

import (
	"fmt"
	"hash/fnv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

const (
	burstQueue     model.Queue   = "burst"
	burstService   model.Service = "burst"
	standbyService model.Service = "off"
	// maxWait is how long a long-running task may be without a run after a run of it has ended, by
	// the users' rules.
	maxWait = 6 * time.Second
	// plannedWait is the longest that a planned stop may leave a task without a run: a stop takes up
	// to 0.9 s, and the next start follows at once.
	plannedWait = time.Second
	// unplannedWait is maxWait after the leases of a lost minion are over.
	unplannedWait = runLeaseTTL + maxWait
)

// burstSite is a site whose machines are shared by two services, of which one has more work than all
// machines can do. No machine is on standby, and none is ever empty.
type burstSite struct {
	*testSite
	moving *fleet.MovingMachines
	// fleet is moving and the minions, unless a test replaces it.
	fleet fencing.Fleet
	term  *Term
}

// newBurstSite returns a site with a number of machines for the service of long-running tasks and
// for the service with the burst.
func newBurstSite(t *testing.T, longRunning, burst int) *burstSite {
	ts := newTestSite(t, 0)
	ts.config.Services[burstService] = site.Service{}
	ts.config.Services[standbyService] = site.Service{Standby: true}
	ts.config.Queues = append(ts.config.Queues, site.Queue{Name: burstQueue, Host: "h", Prefix: "/burst/", Service: burstService, MaxAttempts: 3, Stretch: 2, Target: time.Second})
	ts.config.Index()
	s := &burstSite{testSite: ts, moving: fleet.NewMovingMachines(ts.minions, ts.store, standbyService)}
	s.fleet = fencing.NewFleet(ts.minions, s.moving)
	size := jobs.Resources{CPU: 4000, MemoryMB: 4000}
	for i := range longRunning {
		s.moving.Add(model.VM(fmt.Sprintf("s%d", i)), testService, size)
	}
	for i := range burst {
		s.moving.Add(model.VM(fmt.Sprintf("b%d", i)), burstService, size)
	}
	ts.minions.Work = func(task string, _ int) (time.Duration, jobs.End) {
		if task[0] == 'f' { // a job of the burst
			return 400*time.Millisecond + time.Duration(fnvOf(task)%600)*time.Millisecond, jobs.EndDone
		}
		return 0, ""
	}
	return s
}

// fnvOf returns a hash of a task's name, which spreads the ends of the burst's tasks.
func fnvOf(task string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	return h.Sum32()
}

// start begins a term and fills all machines of the burst for the rest of the test.
func (s *burstSite) start() {
	s.startWithoutBurst()
	for i := range 20 {
		s.submitTo(s.term, burstQueue, burstService, jobs.ID(fmt.Sprintf("f%015d", i)), jobs.Step{Count: 100, Need: jobs.Resources{CPU: 1000}, Estimate: 700 * time.Millisecond})
	}
	sleep(500 * time.Millisecond)
}

// startWithoutBurst begins a term.
func (s *burstSite) startWithoutBurst() {
	view := &fleet.View{Store: s.store}
	d := s.deps("e1", view)
	d.Fleet = s.fleet
	d.PredecessorStopped = true
	held, err := lease.Acquire(s.t.Context(), view, d.Now, s.store.Row(lease.Key), lease.Row{Holder: d.Self.Entry, Addr: "a", Incarnation: d.Self.Incarnation})
	require.NoError(s.t, err)
	s.term = Start(d, held.WithTable(view))
	s.t.Cleanup(func() { endTerm(s.term) })
	sleep(time.Second)
}

// begin announces a maintenance wave to the term.
func (s *burstSite) begin(w site.Wave) {
	require.NoError(s.t, s.term.do(s.t.Context(), func() { s.waves[w.ID] = w }))
}

// spreadStep returns a step of n long-running tasks of half a core, at most one on each minion,
// of which one may be made unavailable at a time.
func spreadStep(n int) jobs.Step {
	return jobs.Step{Count: n, Need: jobs.Resources{CPU: 500}, LongRunning: true, MaxPerMinion: 1, MaxUnavailable: 1}
}

// watch returns the longest time for which any of the tasks had no run during a period that begins
// now, with the names of the tasks that had none at its end.
func (s *burstSite) watch(period time.Duration, tasks ...string) (longest time.Duration, without []string) {
	const interval = 20 * time.Millisecond
	since := map[string]time.Duration{}
	for at := time.Duration(0); at < period; at += interval {
		without = nil
		for _, name := range tasks {
			if len(s.minions.Running(name)) > 0 {
				since[name] = at
				continue
			}
			without = append(without, name)
			longest = max(longest, at-since[name])
		}
		sleep(interval)
	}
	return longest, without
}

func taskNames(id jobs.ID, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s.0.0.%d", id, i))
	}
	return out
}

// Guards against machines that stay half drained for as long as another service has a burst: a task
// that was stopped for maintenance finds no place because its service's other machines are being
// drained, and these can't be drained because of the tasks that have none.
func TestTaskStoppedForMaintenanceStartsAgainDuringABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 3, 5)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(3))
		// One task of this job has no place from the beginning, so none of the others may be stopped.
		s.submitJob(s.term, "0000000000000002", spreadStep(4))
		sleep(2 * time.Second)
		running := append(taskNames("0000000000000001", 3), taskNames("0000000000000002", 3)...)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s1", "s2"}, Duration: 30 * time.Second, MaxDown: 2})
		longest, without := s.watch(25*time.Second, running...)
		require.Less(t, longest, maxWait, "without a run at the end: %v", without)
		s.requireNoViolations()
	})
}

// Guards against a maintenance wave that stops a task before there is a place for its next run, and
// against one that never ends for want of a place.
func TestMaintenanceWaitsForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 5)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		s.begin(site.Wave{ID: 1, Machines: []model.VM{"s0", "s1"}, Duration: 30 * time.Second, MaxDown: 1})
		longest, without := s.watch(25*time.Second, taskNames("0000000000000001", 2)...)
		require.Less(t, longest, plannedWait, "without a run at the end: %v", without)
		require.Equal(t, []int{1, 1}, []int{s.moving.Maintained("s0"), s.moving.Maintained("s1")})
		s.requireNoViolations()
	})
}

// Guards against a task of a lost machine that waits for as long as another service has a burst.
func TestTaskOfALostMachineStartsAgainDuringABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 2, 5)
		s.start()
		s.submitJob(s.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		lost := s.moving.MinionOf("s1")
		s.minions.Change(lost, func(m *fleet.Minion) { m.Down = true })
		longest, without := s.watch(20*time.Second, taskNames("0000000000000001", 2)...)
		require.Less(t, longest, unplannedWait, "without a run at the end: %v", without)
		s.requireNoViolations()
	})
}

// Guards against a large long-running task that waits on a service whose machines are filled by many
// small tasks: as long as each gap is filled at once, none is ever large enough.
func TestLargeTaskStartsAmongSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBurstSite(t, 0, 5)
		s.start()
		s.submitTo(s.term, burstQueue, burstService, "0000000000000001", jobs.Step{Count: 1, Need: jobs.Resources{CPU: 3000}, LongRunning: true})
		longest, without := s.watch(10*time.Second, taskNames("0000000000000001", 1)...)
		require.Less(t, longest, maxWait, "without a run at the end: %v", without)
		s.requireNoViolations()
	})
}
