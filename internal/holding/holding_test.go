package holding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// Guards against a RunsExpireAt before the end of a lease that was sent, for random delays of replies
// and any allowed slowness of the minion's clock.
func TestLapsesIsNeverBeforeALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(site.MinionEntry{}, 0)
		rate := 1 - rapid.Float64Range(0, clockSlowness).Draw(t, "slowness")
		clockAt := func(real time.Duration) int64 { return time.Duration(float64(real) * rate).Milliseconds() }
		now := time.Second
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			delay := time.Duration(rapid.IntRange(0, 700).Draw(t, "delay")) * time.Millisecond
			m.ObserveClock(clockAt(now), now+delay) // read at now, received later
			now += delay
			until := m.GrantLease(now, 4*time.Second)
			// The real time at which the minion's clock shows the end of the lease.
			end := time.Duration(float64(time.Duration(until)*time.Millisecond) / rate)
			require.GreaterOrEqual(t, m.RunsExpireAt, end)
		}
	})
}

// Guards against ends that are acknowledged, and so forgotten by the minion, before they are stored,
// and against an acknowledgement that is sent after it was delivered and reaches a later incarnation.
func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	b := jobs.NewRegistry()
	j := b.Add(jobs.Accepted{ID: "1", Spec: jobs.Spec{Steps: []jobs.Step{{Count: 2}}}}, 0)
	x := j.Step(0, 0).Task(0)
	b.Order(x, 1, "m", 0)
	b.Finish(x, 1, "m", jobs.EndDone, "", 1, 0)
	m := New(site.MinionEntry{}, 0)
	require.True(t, m.IsNewEnd(1))
	m.AckOnceSaved(1, j, j.LastChange())
	require.True(t, m.IsNewEnd(2))
	m.AckOnceSaved(2, nil, 0)
	require.Zero(t, m.NextAck(), "the first end is not stored")
	b.Saved(j, j.LastChange(), j.State())
	require.Equal(t, int64(2), m.NextAck())
	require.Equal(t, int64(2), m.NextAck(), "not delivered yet")
	m.AckDelivered(2)
	require.Zero(t, m.NextAck())
	require.False(t, m.IsNewEnd(2))
	m.Restarted(7, 0, time.Second)
	require.True(t, m.IsNewEnd(1))
}

// Guards against a restart that is not detected, and a late reply that is taken for a restart.
func TestClockReadingDetectsRestart(t *testing.T) {
	m := New(site.MinionEntry{}, 0)
	require.False(t, m.ObserveClock(90_000, time.Minute))
	require.False(t, m.ObserveClock(90_200, time.Minute+time.Second), "a reply of 0.8 s ago")
	require.True(t, m.ObserveClock(300, time.Minute+2*time.Second))
}

// Guards against a restart that goes unnoticed because the clock of the new incarnation is ahead.
func TestClockThatJumpsAheadIsOfANewIncarnation(t *testing.T) {
	m := New(site.MinionEntry{}, 0)
	require.False(t, m.ObserveClock(90_000, time.Minute))
	require.False(t, m.ObserveClock(92_900, time.Minute+time.Second), "the reading before was 1.9 s old")
	require.True(t, m.ObserveClock(7_000_000, time.Minute+2*time.Second))
}

// Guards against an answer of an earlier incarnation that counts as one of the present incarnation.
func TestAnswersOfEarlierIncarnationsAreTold(t *testing.T) {
	m := New(site.MinionEntry{Incarnation: 5}, 0)
	m.Restarted(0, time.Second, time.Second) // only its clock tells of the restart
	require.True(t, m.IsFormer(5))
	require.True(t, m.IsFormer(0))
	require.False(t, m.IsFormer(7))
	m.Restarted(7, time.Second, time.Second)
	require.True(t, m.IsFormer(5))
	require.False(t, m.IsFormer(7))
}

// Guards against counts of a minion's tasks that differ from its tasks: plans place tasks by them.
func TestKindsMatchTheTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := jobs.NewRegistry()
		var all []*jobs.Task
		for _, id := range []jobs.ID{"1", "2", "3"} {
			spec := jobs.Step{Count: 3, Need: jobs.Resources{CPU: rapid.Int64Range(0, 9).Draw(t, "cpu"), MemoryMB: 5}, MaxPerMinion: rapid.IntRange(0, 2).Draw(t, "per"),
				LongRunning: rapid.Bool().Draw(t, "long-running"), Scavenger: rapid.Bool().Draw(t, "scavenger"), TailTarget: time.Duration(rapid.IntRange(0, 1).Draw(t, "tail"))}
			all = append(all, b.Add(jobs.Accepted{ID: id, Team: rapid.SampledFrom([]model.Team{"t", "u"}).Draw(t, "team"), Spec: jobs.Spec{Steps: []jobs.Step{spec}}}, 0).Step(0, 0).AllTasks()...)
		}
		m := New(site.MinionEntry{}, 0)
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			if x := all[rapid.IntRange(0, len(all)-1).Draw(t, "task")]; rapid.Bool().Draw(t, "assign") {
				m.Assign(x)
			} else {
				m.Unassign(x, 0)
			}
			want := Kinds{NeedByTeam: map[model.Team]jobs.Resources{}, PerStep: map[*jobs.StepRun]int{}}
			for x := range m.Tasks {
				spec := x.Step.Spec
				if spec.TailTarget > 0 {
					want.Serving++
				}
				if spec.Scavenger {
					want.Scavengers++
				}
				if spec.LongRunning {
					want.LongRunning++
					want.LongRunningUse = want.LongRunningUse.Add(spec.Reserved())
				}
				if spec.MaxPerMinion > 0 {
					want.PerStep[x.Step]++
				}
				want.NeedByTeam[x.Step.Job.Team] = want.NeedByTeam[x.Step.Job.Team].Add(spec.Need)
			}
			got := m.Kinds
			if got.tasksByTeam == nil {
				got.NeedByTeam, got.PerStep = want.NeedByTeam, want.PerStep // nothing was assigned yet
			}
			got.tasksByTeam = nil
			require.Equal(t, want, got)
		}
	})
}
