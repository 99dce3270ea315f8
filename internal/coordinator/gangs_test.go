package coordinator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangSite is a site whose jobs with ids that begin with "a" consist of one gang of four tasks of two cores
// that work for a while.
type gangSite struct {
	*testSite
	mu    sync.Mutex
	alone []fleet.Event // guarded by mu
	began map[string]time.Time
}

func newGangSite(t *testing.T, minions int, work time.Duration) *gangSite {
	g := &gangSite{testSite: newTestSite(t, minions), began: map[string]time.Time{}}
	g.minions.RejectsOverload = true
	g.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return work, jobs.EndDone })
	g.minions.SetGangs(func(task string) int {
		if strings.HasPrefix(task, "a") {
			return 4
		}
		return 0
	}, gangTimeout)
	g.minions.OnEvent = func(e fleet.Event) {
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case e.Kind == fleet.RunBegan:
			g.began[fmt.Sprint(e.Task, "/", e.Run)] = e.At
		case e.How == jobs.EndGangIncomplete:
			g.alone = append(g.alone, e)
		}
	}
	return g
}

// aloneSince returns the runs that began after a time and ended because the other members did not start.
func (g *gangSite) aloneSince(at time.Time) (out []string) {
	g.minions.Settle()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.alone {
		if key := fmt.Sprint(e.Task, "/", e.Run); g.began[key].After(at) {
			out = append(out, key)
		}
	}
	return out
}

func gangID(n int) jobs.ID { return jobs.ID(fmt.Sprintf("a%015x", n)) }

func (g *gangSite) submitGang(term *Term, n int) {
	g.submitJob(term, gangID(n), jobs.Step{Count: 4, Gang: true, SavesProgress: true, MaxPerMinion: 1, Need: jobs.Resources{CPU: 2000}, Estimate: 4 * time.Second})
}

// Guards against a gang that never ends after a minion was lost: each member went on with its own run
// number, and all ended again and again because the others were in other runs.
func TestGangEndsAfterAMinionIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGangSite(t, 10, 4*time.Second)
		term := g.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		g.submitGang(term, 1)
		sleep(1500 * time.Millisecond)
		on := g.minions.Running(string(gangID(1)) + ".0.0.2")
		require.Len(t, on, 1)
		g.minions.Remove(on[0])
		sleep(14 * time.Second)
		require.Equal(t, jobs.StateCompleted, g.state(term, gangID(1)))
		require.Empty(t, g.aloneSince(time.Time{}))
		require.NoError(t, term.do(t.Context(), func() {
			for _, m := range term.minions {
				require.Empty(t, m.Tasks, "%s", m.ID)
			}
		}))
		g.requireNoViolations()
	})
}

// Guards against members of a gang that start in runs of different numbers after some minions refused
// starts: the others waited for them until gang_timeout, again and again.
func TestGangEndsAfterRefusedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGangSite(t, 10, 2*time.Second)
		g.minions.SetWork(func(task string, _ int) (time.Duration, jobs.End) {
			if strings.HasPrefix(task, "a") {
				return 2 * time.Second, jobs.EndDone
			}
			return 0, jobs.EndDone // it lasts
		})
		until := time.Now().Add(6500 * time.Millisecond)
		g.minions.SetRefuse(func(op string, to jobs.Minion) error {
			if op == "start" && to < "m4" && time.Now().Before(until) {
				return site.ErrBusy
			}
			return nil
		})
		term := g.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		for i := range 5 { // three of the six other minions are full
			g.submitJob(term, jobs.ID(fmt.Sprintf("%016x", i)), jobs.Step{Count: 1, Need: jobs.Resources{CPU: 4000}, LongRunning: true})
		}
		sleep(500 * time.Millisecond)
		g.submitGang(term, 1)
		g.submitGang(term, 2)
		sleep(25 * time.Second)
		require.Equal(t, jobs.StateCompleted, g.state(term, gangID(1)))
		require.Equal(t, jobs.StateCompleted, g.state(term, gangID(2)))
		require.Empty(t, g.aloneSince(time.Time{}))
		g.requireNoViolations()
	})
}

// Guards against members that wait for others whose start is held back until the store has recorded their
// minions: those on minions of the earlier run began at once.
func TestGangWaitsAsAWholeForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGangSite(t, 5, 4*time.Second)
		var slow atomic.Bool
		term := g.startTerm("e1", func(op string) fleet.Fault {
			if op == "commit" && slow.Load() {
				sleep(800 * time.Millisecond)
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(time.Second)
		g.submitGang(term, 1)
		sleep(time.Second)
		slow.Store(true)
		g.minions.Remove(g.minions.Running(string(gangID(1)) + ".0.0.0")[0])
		sleep(10 * time.Second)
		g.mu.Lock()
		first, last := time.Time{}, time.Time{}
		for i := range 4 {
			at := g.began[fmt.Sprintf("%s.0.0.%d/2", gangID(1), i)]
			require.False(t, at.IsZero(), "member %d", i)
			if first.IsZero() || at.Before(first) {
				first = at
			}
			if at.After(last) {
				last = at
			}
		}
		g.mu.Unlock()
		require.Less(t, last.Sub(first), 100*time.Millisecond)
		sleep(6 * time.Second)
		require.Equal(t, jobs.StateCompleted, g.state(term, gangID(1)))
		require.Empty(t, g.aloneSince(time.Time{}))
		g.requireNoViolations()
	})
}

// Guards against members of a gang that continue from checkpoints of their own.
func TestGangContinuesFromOneCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGangSite(t, 6, 4*time.Second)
		term := g.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		g.submitGang(term, 1)
		sleep(2500 * time.Millisecond)
		g.minions.Restart(g.minions.Running(string(gangID(1)) + ".0.0.1")[0])
		sleep(2 * time.Second)
		checkpoints := map[string]bool{}
		require.NoError(t, term.do(t.Context(), func() {
			s := term.registry.Get(gangID(1)).Step(0, 0)
			require.True(t, s.Whole(), "it runs again")
			for _, x := range s.Tasks {
				checkpoints[x.Checkpoint] = true
			}
		}))
		require.Len(t, checkpoints, 1)
		require.NotContains(t, checkpoints, "")
		sleep(6 * time.Second)
		require.Equal(t, jobs.StateCompleted, g.state(term, gangID(1)))
		g.requireNoViolations()
	})
}

// Guards against gangs that never end, whose members wait for others long after the last fault, or that run
// twice: random gangs and plain jobs with takeovers between the orders of two members, refused, lost and
// late starts, restarted, lost, silent and leaving minions, and cancelled jobs.
func TestGangSoak(t *testing.T) { runSeeds(t, soakSeeds[:12], gangSoak) }

func gangSoak(t *testing.T, seed uint64) {
	r := &lockedRand{r: rand.New(rand.NewPCG(seed, 4))}
	chance := func(n int) bool { return r.IntN(n) == 0 }
	g := newGangSite(t, 12, 1500*time.Millisecond)
	calm := time.Now().Add(30 * time.Second)
	g.minions.SetFault(func(op string) fleet.Fault {
		if time.Now().After(calm) || op == "pace" {
			return fleet.None
		}
		switch {
		case chance(40):
			return fleet.Lose
		case op == "start" && chance(60):
			return fleet.Late
		case chance(80):
			return fleet.Reset
		}
		return fleet.None
	})
	g.minions.SetRefuse(func(op string, to jobs.Minion) error {
		if op == "start" && time.Now().Before(calm) && (to < "m2" || chance(30)) {
			return site.ErrBusy
		}
		return nil
	})
	epoch := 1
	storeFault := func(string) fleet.Fault {
		if time.Now().Before(calm) && chance(60) {
			return fleet.Lose
		}
		return fleet.None
	}
	term := g.startTerm("e1", storeFault)
	defer func() { endTerm(term) }()
	submitted := 0
	for time.Now().Before(calm) {
		sleep(time.Duration(r.IntN(900)+50) * time.Millisecond)
		switch r.IntN(9) {
		case 0, 1, 2:
			submitted++
			g.submitGang(term, submitted)
			if r.IntN(3) == 0 { // a takeover between the orders of two members
				sleep(time.Duration(r.IntN(60)) * time.Millisecond)
				endTerm(term)
				epoch++
				term = g.startTerm(fmt.Sprint("e", epoch), storeFault)
			}
		case 3:
			g.submitJob(term, jobs.ID(fmt.Sprintf("%016x", r.IntN(1<<30))), step(3), step(1, 0))
		case 4:
			g.minions.Restart(jobs.Minion(fmt.Sprint("m", 4+r.IntN(8))))
		case 5:
			id := jobs.Minion(fmt.Sprint("m", 4+r.IntN(8)))
			g.minions.Change(id, func(m *fleet.Minion) { m.Cut = true })
			d := time.Duration(r.IntN(5000)) * time.Millisecond
			time.AfterFunc(d, func() { g.minions.Change(id, func(m *fleet.Minion) { m.Cut = false }) })
		case 6:
			endTerm(term)
			epoch++
			term = g.startTerm(fmt.Sprint("e", epoch), storeFault)
		case 7:
			if submitted > 0 && r.IntN(3) == 0 {
				_, _ = term.Cancel(t.Context(), gangID(1+r.IntN(submitted)))
			}
		case 8:
			sleep(time.Second)
		}
	}
	// Leases of 6 s at most, late starts, and a gang that waits for the others.
	sleep(6*time.Second + 3*time.Second + gangTimeout)
	quiet := time.Now()
	sleep(60 * time.Second)
	for n := 1; n <= submitted; n++ {
		s := g.state(term, gangID(n))
		require.True(t, s == jobs.StateCompleted || s == jobs.StateCancelled, "gang %d is %s%s", n, s, g.minions.Story(string(gangID(n))+".0.0.0"))
	}
	require.Empty(t, g.aloneSince(quiet))
	g.requireNoViolations()
}
