package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against a task that waits for a minion for a share of the coordinator's uptime: the list of
// minions tells of a restart, a start is sent again before the clock of the new incarnation is known, and
// the minion falls silent. The lease in that start must not be computed from a clock that is not known. A task whose
// start was answered before waits for the longest lease; one with a start in doubt until that can't be carried out.
func TestNoLeaseIsGrantedOnAnUnknownClock(t *testing.T) {
	for after := 20 * time.Millisecond; after <= 900*time.Millisecond; after += 40 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 1)
				ts.minions.Work = runForever
				term := ts.startTerm("e1", nil)
				defer endTerm(term)
				sleep(time.Second)
				const answered = string(laterJob) + ".0.0.0"
				ts.submitJob(term, laterJob, longRunningStep(1))
				sleep(time.Second)
				require.NotEmpty(t, ts.minions.Running(answered))
				ts.minions.SetRefuse(func(op string, _ jobs.Minion) error {
					if op == "start" {
						return site.ErrNoAnswer
					}
					return nil
				})
				ts.submitJob(term, slowJob, longRunningStep(1))
				sleep(after)
				ts.minions.Restart("m0")
				ts.minions.Change("m0", func(m *fleet.Minion) { m.Cut = true })
				ts.list("m0")
				ts.addMinion("m1")
				ts.minions.SetRefuse(nil)
				left := time.Duration(float64(6*time.Second)*1.02) + 1650*time.Millisecond
				gaps := ts.watchTaskGaps([]string{answered, taskOfSlowJob(0)}, 30*time.Second)
				require.LessOrEqual(t, gaps[0], left+restartTime)
				require.LessOrEqual(t, gaps[1], inDoubtWait+restartTime)
				ts.requireNoViolations()
			})
		})
	}
}

// Guards against the same if the minion goes on answering and is lost later: its tasks must not wait longer
// than for any other lost minion.
func TestLossOfAMinionThatHadRestartedIsNoticedInTime(t *testing.T) {
	for after := 20 * time.Millisecond; after <= 900*time.Millisecond; after += 40 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 1)
				ts.minions.Work = runForever
				term := ts.startTerm("e1", nil)
				defer endTerm(term)
				sleep(time.Second)
				ts.minions.SetRefuse(func(op string, _ jobs.Minion) error {
					if op == "start" {
						return site.ErrNoAnswer
					}
					return nil
				})
				ts.submitJob(term, slowJob, longRunningStep(1))
				sleep(after)
				ts.minions.Restart("m0")
				ts.list("m0")
				sleep(100 * time.Millisecond)
				ts.minions.SetRefuse(nil)
				sleep(15 * time.Second)
				require.Equal(t, []jobs.Minion{"m0"}, ts.minions.Running(taskOfSlowJob(0)))
				ts.addMinion("m1")
				sleep(time.Second)
				ts.minions.Change("m0", func(m *fleet.Minion) { m.Down = true })
				require.LessOrEqual(t, ts.watchGaps(1, 30*time.Second), runLeaseTTL+runLeaseTTL/20+restartTime)
				ts.requireNoViolations()
			})
		})
	}
}
