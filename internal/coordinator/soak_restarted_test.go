package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/invariant"
	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
)

// restartSeeds run each time. A seed draws the same kinds of faults each time, but not the same order of calls
// that are made at the same moment.
var restartSeeds = soakSeeds[:30]

const (
	restartMinions = 6
	restartSteps   = 40
	// maxSoakDelay is the longest delay of a request that is not lost, and of its answer.
	maxSoakDelay = 125 * time.Millisecond
	// reachedTime is how long a minion answers until a coordinator has certainly told it which starts from
	// before its restart it must not carry out: idle minions are polled every 2 s, and some calls are lost.
	reachedTime = 5 * time.Second
	// restartSettleTime is more than the time for which a call may be late, the longest lease and two runs.
	restartSettleTime = 60 * time.Second
)

// Guards against tasks that run twice, ends that are lost and jobs that never end when minions restart
// under their ids with clocks that start anywhere, carry out calls for their earlier incarnations up to 12 s late, and
// are cut off within the longest lease, while coordinators are killed and hand over.
func TestSoakWithRestartedMinions(t *testing.T) {
	runSeeds(t, restartSeeds, func(t *testing.T, seed uint64) { runSoakWithRestartedMinions(t, seed, false) })
}

// Guards against the same when nobody knows of the restarts before the minions can be reached again: starts without an
// answer are carried out behind the cut, and half of the jobs are gangs, members of which may be done without an
// answer to their start.
func TestSoakWithStartsInDoubt(t *testing.T) {
	runSeeds(t, restartSeeds, func(t *testing.T, seed uint64) { runSoakWithRestartedMinions(t, seed, true) })
}

// gangOfTwo reports whether a job of TestSoakWithStartsInDoubt has a gang: every second one.
func gangOfTwo(number int) bool { return number%2 == 1 }

// unpreventable reports whether no coordinator could prevent what a call does. None of the following is drawn,
// unless the incarnation has answered for reachedTime, so that a stop or a higher fencing token has reached it:
//   - a start whose task has ended, was stopped or has begun again, although the minion has answered a poll since
//     it was sent or the task is done, or that was sent by an earlier coordinator. The task may have been started
//     elsewhere by then, and the list or a poll tells of the restart too late to bar the start;
//   - an acknowledgement that drops the end of a run that nobody has seen, if both it and the run's start were
//     on their way before anybody knew of the restart.
func unpreventable(c fleet.EarlierCall) bool {
	if c.Op == "hold" {
		return c.DropsUnseen
	}
	return c.Reached < reachedTime && (c.Superseded && (c.Polled || c.Done) || c.Deposed)
}

// runSoakWithRestartedMinions plays a seed. With unknown set nobody knows of a restart before the cut is over.
func runSoakWithRestartedMinions(t *testing.T, seed uint64, unknown bool) {
	r := &lockedRand{r: rand.New(rand.NewPCG(seed, 3))}
	within := func(d time.Duration) time.Duration { return time.Duration(r.Float64() * float64(d)) }
	ts := newTestSite(t, 0)
	ts.retention = time.Hour // the state of each job is asked for at the end
	ts.config.Queues[0].MaxAttempts = 1000
	ts.config.Index()
	m := ts.minions
	m.CallsSurviveRestarts, m.RejectsOverload, m.DropsEarlier = true, true, unpreventable
	clocks := []int64{1_000, 200_000, 400_000, 404_000, 410_000, 5_000_000}
	m.ClockStart = func(jobs.Minion) int64 { return clocks[r.IntN(len(clocks))] + int64(r.IntN(20_000)) }
	m.LateBy = func(string) time.Duration {
		if r.IntN(2) == 0 {
			return within(2500 * time.Millisecond)
		}
		return within(maxCallDelay)
	}
	var noFaults atomic.Bool
	share := 0.02 + 0.03*r.Float64()
	// Before a restart more calls get no answer, as from a minion that is about to fail.
	var failing atomic.Bool
	m.Fault = func(string) fleet.Fault {
		if noFaults.Load() || r.Float64() >= share && !(failing.Load() && r.Float64() < 0.8) {
			return fleet.None
		}
		return []fleet.Fault{fleet.Lose, fleet.Late, fleet.Late}[r.IntN(3)]
	}
	m.Delay = func(string, jobs.Minion) time.Duration {
		if noFaults.Load() || r.Float64() >= 0.1 {
			return 0
		}
		return within(2 * maxSoakDelay)
	}
	// A third of the seeds has short tasks only, a third long ones only.
	m.Work = func(task string, _ int) (time.Duration, jobs.End) {
		if unknown {
			return 2500 * time.Millisecond, jobs.EndDone
		}
		if kind := seed % 3; kind == 0 || kind == 2 && fnvOf(task)%2 == 0 {
			return 100 * time.Millisecond, jobs.EndDone
		}
		return 8 * time.Second, jobs.EndDone
	}
	if unknown {
		m.SetGangs(func(task string) int {
			if n, err := jobs.ParseTaskName(task); err == nil && n.Step == 0 && gangOfTwo(int(n.Job[len(n.Job)-1])) {
				return 2
			}
			return 0
		}, gangTimeout)
	}
	for i := range restartMinions {
		ts.addMinion(jobs.Minion(fmt.Sprint("m", i)))
	}
	term := ts.startTerm("e0", nil)
	defer func() { endTerm(term) }()
	sleep(time.Second)
	replace := func(i int) {
		if r.IntN(2) == 0 {
			endTerm(term)
		} else {
			_ = term.Release(context.Background())
			_ = term.Wait()
		}
		sleep(maxSoakDelay) // what the network holds has arrived
		term = ts.startTerm(entryName(i), nil)
	}
	for i := range restartSteps {
		first := step(1 + r.IntN(3))
		if id := fmt.Sprintf("%016x", i); unknown && gangOfTwo(int(id[len(id)-1])) {
			first.Count, first.Gang, first.MaxPerMinion = 2, true, 1
		}
		ts.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), first, step(1, 0))
		sleep(within(time.Second))
		var ids []jobs.Minion
		for range 1 + r.IntN(3) {
			ids = append(ids, jobs.Minion(fmt.Sprint("m", r.IntN(restartMinions))))
		}
		change := func(f func(*fleet.Minion)) {
			for _, id := range ids {
				m.Change(id, f)
			}
		}
		switch r.IntN(6) {
		case 0, 1, 2, 3:
			failing.Store(true)
			sleep(within(800 * time.Millisecond))
			failing.Store(r.IntN(2) == 0)
			if r.IntN(2) == 0 {
				change(func(x *fleet.Minion) { x.Down = true })
				sleep(within(600 * time.Millisecond))
			}
			if unknown || r.IntN(3) == 0 { // nobody knows of the restart before the cut is over
				change(func(x *fleet.Minion) { x.Cut = true })
				sleep(within(3 * time.Second))
				for _, id := range ids {
					m.Restart(id)
				}
				change(func(x *fleet.Minion) { x.Cut = true })
				time.AfterFunc(within(14*time.Second), func() { change(func(x *fleet.Minion) { x.Cut = false }) })
				failing.Store(false)
				break
			}
			// Otherwise the list tells of each restart before the minion is cut off.
			for _, id := range ids {
				m.Restart(id)
			}
			sleep(within(300 * time.Millisecond))
			for _, id := range ids {
				ts.list(id)
			}
			sleep(50 * time.Millisecond)
			failing.Store(false)
			if r.IntN(2) == 0 {
				sleep(within(3 * time.Second))
			}
			if r.IntN(3) == 0 {
				replace(i)
			}
			if r.IntN(4) > 0 {
				sleep(within(300 * time.Millisecond))
				change(func(x *fleet.Minion) { x.Cut = true })
				time.AfterFunc(within(14*time.Second), func() { change(func(x *fleet.Minion) { x.Cut = false }) })
				if r.IntN(3) == 0 {
					replace(i)
				}
			}
		case 4:
			replace(i)
		}
	}
	noFaults.Store(true)
	sleep(restartSettleTime)
	ts.requireNoViolations()
	for i := range restartSteps {
		require.Equal(t, jobs.StateCompleted, ts.state(term, jobs.ID(fmt.Sprintf("%016x", i))), "job %d", i)
	}
	require.Zero(t, invariant.Count(invariant.FencingToken))
}
