package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/standins/fleet"
)

// recordedGangRounds is how often a gang is started in each case: the order of the visits is random.
const recordedGangRounds = 10

// Guards against a gang of which some members are sent and others requeued in one pass over the pending
// starts, because a data centre is evacuated or a minion stops answering as the gang is recorded.
func TestRecordedGangIsNotStartedInPart(t *testing.T) {
	for name, prevent := range map[string]func(s *evacuationSite, term *Term){
		"evacuated": func(s *evacuationSite, _ *Term) { s.evacuate("a", "e1") },
		"silent": func(_ *evacuationSite, term *Term) {
			for _, start := range term.pendingStarts {
				if start.minion.DC == "a" {
					start.minion.FailedPolls = 1
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range recordedGangRounds {
				synctest.Test(t, func(t *testing.T) { testRecordedGang(t, prevent) })
			}
		})
	}
}

func testRecordedGang(t *testing.T, prevent func(*evacuationSite, *Term)) {
	s := newEvacuationSite(t)
	s.minions.RejectsOverload = true
	s.minions.Need = func(string) jobs.Resources { return jobs.Resources{CPU: 2000} }
	s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return 2 * time.Second, jobs.EndDone })
	s.minions.SetGangs(func(string) int { return 4 }, gangTimeout)
	s.minions.Change("c1", func(m *fleet.Minion) { m.Cut = true })
	var refuse atomic.Bool
	term := s.startTerm("e1", func(op string) fleet.Fault {
		if op == "commit" && refuse.Load() {
			return fleet.Refuse
		}
		return fleet.None
	})
	defer endTerm(term)
	sleep(time.Second)
	refuse.Store(true)
	s.submitJob(term, "a000000000000001", jobs.Step{Count: 4, Gang: true, SavesProgress: true, MaxPerMinion: 1,
		Need: jobs.Resources{CPU: 2000}, Estimate: 2 * time.Second})
	sleep(300 * time.Millisecond)
	// Starts are withheld until the progress is stored, and the members are then released together.
	require.NoError(t, term.do(t.Context(), func() {
		require.Len(t, term.pendingStarts, 4)
		term.rereading.Store(true)
	}))
	refuse.Store(false)
	sleep(150 * time.Millisecond)
	require.Zero(t, s.startsIn("a")+s.startsIn("b")+s.startsIn("c"))
	require.NoError(t, term.do(t.Context(), func() {
		require.Len(t, term.pendingStarts, 4)
		prevent(s, term)
		term.rereading.Store(false)
		term.ordersChanged = true
	}))
	sleep(5 * time.Millisecond)
	require.Zero(t, s.startsIn("a")+s.startsIn("b")+s.startsIn("c"), "members started")
}
