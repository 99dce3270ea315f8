package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

var smallSite = fixture{services: 1, minions: 1, slots: 1, conns: 8, entries: 1, teams: 3, maxWaiting: 100, limit: 100}

// Guards against granting a second permit or queueing a second time for a repeated Acquire.
func TestSubmitIsIdempotent(t *testing.T) {
	a := smallSite.newAdmission(epoch)
	p := requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectGrant).Permit
	require.Equal(t, p, requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectGrant).Permit)
	require.Empty(t, a.Submit(epoch, acquire(2, 0, "q0", time.Minute)))
	require.Empty(t, a.Submit(epoch, acquire(2, 0, "q0", time.Minute)))
	require.Equal(t, 1, a.Usage(epoch).Waiting[teamName(0)])
	require.Len(t, a.Release(epoch, release(p, peer.AttemptOK)), 1)
	e := requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectRefuse)
	require.Equal(t, model.ReasonDuplicateID, e.Reason)
}

// Guards against requests that are accepted or stay queued without a valid key.
func TestRequestNeedsValidKey(t *testing.T) {
	a := smallSite.newAdmission(epoch)
	bad := acquire(1, 0, "q0", time.Minute)
	bad.Request.Team = teamName(1)
	require.Equal(t, model.ReasonKeyUnknown, requireOne(t, a.Submit(epoch, bad), EffectRefuse).Reason)
	require.Equal(t, model.ReasonKeyMissing, requireOne(t, a.Submit(epoch, acquire(2, -1, "q0", time.Minute)), EffectRefuse).Reason)
	require.Equal(t, model.ReasonUnknownQueue, requireOne(t, a.Submit(epoch, acquire(3, 0, "none", time.Minute)), EffectRefuse).Reason)
	requireOne(t, a.Submit(epoch, acquire(4, -1, "open0", time.Minute)), EffectGrant)
	require.Empty(t, a.Submit(epoch, acquire(5, 0, "q0", time.Minute)))
	require.Empty(t, a.Submit(epoch, acquire(6, 1, "late0", time.Minute)))
	s := smallSite.site()
	s.Keys = s.Keys[1:]
	s.Queues = s.Queues[:1]
	out := a.SetConfig(config.NewIndex(s, 2), epoch)
	require.Len(t, out, 2)
	require.Equal(t, model.ReasonKeyWithdrawn, out[0].Reason)
	require.Equal(t, model.ReasonUnknownQueue, out[1].Reason)
}

// Guards against returning a permit again after its key was withdrawn: its holder may have
// been paused and may not know the new configuration yet.
func TestRepeatedAcquireAfterWithdrawal(t *testing.T) {
	a := smallSite.newAdmission(epoch)
	p := requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectGrant).Permit
	require.Empty(t, a.Submit(epoch, acquire(2, 1, "q0", time.Minute)))
	s := smallSite.site()
	s.Keys = s.Keys[1:]
	require.Empty(t, a.SetConfig(config.NewIndex(s, 2), epoch))
	now := epoch.Add(3 * time.Second)
	e := requireOne(t, a.Submit(now, acquire(1, 0, "q0", time.Minute)), EffectRefuse)
	require.Equal(t, model.ReasonKeyWithdrawn, e.Reason)
	// The slot is free once two status replies no longer list the job.
	require.Empty(t, a.MinionStatus(now, now, p.Minion, nil))
	later := now.Add(time.Second)
	requireOne(t, a.MinionStatus(later, later, p.Minion, nil), EffectGrant)
}

// Guards against freeing the slot of an attempt that may still run, and against never
// freeing the slot of one that has ended.
func TestLostAttemptKeepsSlot(t *testing.T) {
	for _, end := range []string{"lost", "holder gone", "cancelled", "overdue"} {
		t.Run(end, func(t *testing.T) {
			a, now := smallSite.newAdmission(epoch), epoch
			p := requireOne(t, a.Submit(now, acquire(1, 0, "q0", time.Minute)), EffectGrant).Permit
			require.Empty(t, a.Submit(now, acquire(2, 0, "q0", time.Minute)))
			at := func(d time.Duration) time.Time { return epoch.Add(d) }
			switch end {
			case "lost":
				require.Empty(t, a.Release(now, release(p, peer.AttemptLost)))
			case "holder gone":
				refused := requireOne(t, a.RemoveHolder(now, "e0"), EffectRefuse)
				require.Equal(t, model.ReasonEntryLost, refused.Reason, "its caller did not disconnect")
				q := acquire(2, 0, "q0", time.Minute)
				q.From.Entry = "e1"
				require.Empty(t, a.Submit(now, q))
			case "cancelled":
				require.Empty(t, a.Cancel(now, p.Job, 1, "e0"))
				// The permit may still be dispatched until its start window ends.
				require.Empty(t, a.MinionStatus(at(0), at(0), p.Minion, nil))
				require.Empty(t, a.MinionStatus(at(900*time.Millisecond), at(900*time.Millisecond), p.Minion, nil))
				now = at(time.Second)
			case "overdue":
				now = at(12*time.Second + time.Millisecond)
			}
			key := []Attempt{{Job: p.Job, Attempt: 1}}
			step := func(jobs []Attempt) []Effect {
				out := a.MinionStatus(now, now, p.Minion, jobs)
				now = now.Add(100 * time.Millisecond)
				return out
			}
			require.Empty(t, step(nil))
			require.Empty(t, step(key), "a listed job starts the count again")
			require.Empty(t, step(nil))
			require.Empty(t, step(nil), "polls 100 ms apart are too close")
			require.Equal(t, model.JobID("j000002"), requireOne(t, step(nil), EffectGrant).Job)
		})
	}
}

// Guards against granting permits for a minion before its running jobs are known after a
// takeover.
func TestTakeoverWithUnknownJobs(t *testing.T) {
	f := smallSite
	f.minions, f.limit = 2, 2
	a := New("a", model.Token{Epoch: 2}, DefaultParams())
	a.SetConfig(config.NewIndex(f.site(), 1), epoch)
	a.SetAllotments(epoch, map[model.Team]int{teamName(0): 2})
	a.SetMinionState(epoch, "m0-000", model.VMServing)
	a.SetMinionState(epoch, "m0-001", model.VMServing)
	require.Empty(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)))
	old := model.Permit{Job: "old", Attempt: 1, Team: teamName(0), Queue: "q0", Service: "s0", Minion: "m0-000", Holder: "e0"}
	require.Empty(t, a.MinionStatus(epoch, epoch, "m0-000", []Attempt{{"old", 1}}))
	require.Equal(t, 2, a.BlockedSlots(), "one unattributed job, one minion without a reply")
	require.Empty(t, a.Adopt(epoch, []model.Permit{old}))
	require.Equal(t, 1, a.BlockedSlots())
	require.Equal(t, 1, a.TeamRunning(teamName(0)))
	require.Empty(t, a.MinionStatus(epoch, epoch, "m0-001", []Attempt{{"other", 1}}))
	at := epoch.Add(time.Second)
	require.Empty(t, a.MinionStatus(at, at, "m0-001", nil))
	at = at.Add(time.Second)
	require.Equal(t, model.VM("m0-001"), requireOne(t, a.MinionStatus(at, at, "m0-001", nil), EffectGrant).Permit.Minion)
}

// Guards against counting a job as unattributed if it ended while a status reply was in transit.
func TestLateStatus(t *testing.T) {
	a := smallSite.newAdmission(epoch)
	p := requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectGrant).Permit
	at := epoch.Add(10 * time.Millisecond)
	a.Release(at, release(p, peer.AttemptOK))
	a.MinionStatus(at.Add(time.Millisecond), epoch, p.Minion, []Attempt{{p.Job, 1}})
	require.Zero(t, a.BlockedSlots())
	at = at.Add(time.Second)
	a.MinionStatus(at, at, p.Minion, []Attempt{{p.Job, 1}})
	require.Equal(t, 1, a.BlockedSlots(), "a minion that still runs the job a second later has a second run")
}

// Guards against a wrong order within a team: urgent requests go first, but aged and
// deferrable ones still start.
func TestOrderWithinTeam(t *testing.T) {
	a, now := smallSite.newAdmission(epoch), epoch
	p := requireOne(t, a.Submit(now, acquire(0, 0, "q0", time.Minute)), EffectGrant).Permit
	require.Empty(t, a.Submit(now, acquire(1, 0, "late0", 10*time.Minute)))
	done := -1
	for i := 1; i <= 40 && done < 0; i++ {
		now = now.Add(500 * time.Millisecond)
		u := acquire(100+i, 0, "q0", time.Minute)
		u.Request.Priority = model.PriorityUrgent
		require.Empty(t, a.Submit(now, u))
		p = requireOne(t, a.Release(now, release(p, peer.AttemptOK)), EffectGrant).Permit
		if p.Job == "j000001" {
			done = i
		}
	}
	require.Greater(t, done, 9, "urgent work goes first until the deferrable request is aged")
	require.Less(t, done, 20, "the deferrable request starts while urgent work keeps coming")
}

// Guards against starvation of a team whose requests lose every tie by priority.
func TestPriorityTiesDoNotStarveTeams(t *testing.T) {
	a, now := smallSite.newAdmission(epoch), epoch
	p := requireOne(t, a.Submit(now, acquire(0, 0, "q0", time.Minute)), EffectGrant).Permit
	require.Empty(t, a.Submit(now, acquire(1, 1, "late0", 10*time.Minute)))
	for i := 1; i <= 30; i++ {
		now = now.Add(500 * time.Millisecond)
		u := acquire(100+i, 0, "q0", time.Minute)
		u.Request.Priority = model.PriorityUrgent
		require.Empty(t, a.Submit(now, u))
		p = requireOne(t, a.Release(now, release(p, peer.AttemptOK)), EffectGrant).Permit
		if p.Job == "j000001" {
			return
		}
	}
	require.Fail(t, "the second team never started")
}

// Guards against queueing a request that cannot start before its deadline, and against
// refusing one that can.
func TestCannotStart(t *testing.T) {
	a, now := smallSite.newAdmission(epoch), epoch
	for i := range 10 {
		p := requireOne(t, a.Submit(now, acquire(i, 0, "q0", time.Minute)), EffectGrant).Permit
		now = now.Add(time.Second)
		a.Release(now, release(p, peer.AttemptOK))
	}
	p := requireOne(t, a.Submit(now, acquire(100, 0, "q0", time.Second)), EffectGrant).Permit
	for i := range 10 {
		require.Empty(t, a.Submit(now, acquire(200+i, 0, "q0", 30*time.Second)))
	}
	hopeless := acquire(300, 0, "late0", 5*time.Second)
	require.Equal(t, model.ReasonCannotStart, requireOne(t, a.Submit(now, hopeless), EffectRefuse).Reason)
	require.Empty(t, a.Submit(now, acquire(301, 0, "q0", 5*time.Second)), "an earlier deadline goes first")
	now = now.Add(5 * time.Second)
	require.Equal(t, model.ReasonDeadlineQueued, requireOne(t, a.Tick(now), EffectRefuse).Reason)
	require.NotNil(t, p)
}

// Guards against forwarding a request twice and against queueing it where no minion serves.
func TestForwardToOtherDataCentre(t *testing.T) {
	a := smallSite.newAdmission(epoch)
	a.SetMinionState(epoch, "m0-000", model.VMDraining)
	require.Equal(t, model.ReasonNoMinion, requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectRefuse).Reason)
	a.SetRemoteUsage(epoch, "b", nil, map[model.Service]int{"s0": 1})
	require.Equal(t, model.DataCentre("b"), requireOne(t, a.Submit(epoch, acquire(2, 0, "q0", time.Minute)), EffectForward).To)
	require.Equal(t, model.ReasonNoMinion, requireOne(t, a.Submit(epoch, acquire(3, 0, "q0", time.Minute)), EffectRefuse).Reason,
		"the reported slot is used up")
	a.SetRemoteUsage(epoch, "b", nil, map[model.Service]int{"s0": 9})
	hop := acquire(4, 0, "q0", time.Minute)
	hop.Hops = 1
	require.Equal(t, model.ReasonNoMinion, requireOne(t, a.Submit(epoch, hop), EffectRefuse).Reason)
	old := epoch.Add(3*time.Second + 1)
	require.Equal(t, model.ReasonNoMinion, requireOne(t, a.Submit(old, acquire(5, 0, "q0", time.Minute)), EffectRefuse).Reason)
}

// Guards against ejecting more than half of the minions and against sending more than one
// request to an ejected minion as a probe.
func TestOutlierEjection(t *testing.T) {
	f := smallSite
	f.minions, f.slots = 4, 4
	a, now := f.newAdmission(epoch), epoch
	job := 0
	try := func(r peer.AttemptResult) model.VM {
		job++
		p := requireOne(t, a.Submit(now, acquire(job, 0, "q0", time.Minute)), EffectGrant).Permit
		a.Release(now, release(p, r))
		return p.Minion
	}
	for range 40 {
		try(peer.AttemptFailed)
	}
	ejected := map[model.VM]bool{}
	for _, m := range a.Minions() {
		if m.Ejected {
			ejected[m.VM] = true
		}
	}
	require.Len(t, ejected, 2)
	now = now.Add(time.Second)
	probe := requireOne(t, a.Submit(now, acquire(900, 0, "q0", time.Minute)), EffectGrant).Permit
	require.True(t, ejected[probe.Minion])
	second := requireOne(t, a.Submit(now, acquire(901, 0, "q0", time.Minute)), EffectGrant).Permit
	require.True(t, ejected[second.Minion])
	require.NotEqual(t, probe.Minion, second.Minion)
	require.False(t, ejected[requireOne(t, a.Submit(now, acquire(902, 0, "q0", time.Minute)), EffectGrant).Permit.Minion])
	a.Release(now, release(probe, peer.AttemptFailed))
	a.Release(now, release(second, peer.AttemptOK))
	now = now.Add(1500 * time.Millisecond)
	require.NotEqual(t, probe.Minion, try(peer.AttemptOK), "the back-off has doubled")
	now = now.Add(time.Second)
	require.Equal(t, probe.Minion, try(peer.AttemptOK))
}

// Guards against a retry on a minion where the job already failed.
func TestAvoidedMinion(t *testing.T) {
	f := smallSite
	f.minions = 2
	a := f.newAdmission(epoch)
	q := acquire(1, 0, "q0", time.Minute)
	q.Avoid = []model.VM{"m0-000"}
	require.Equal(t, model.VM("m0-001"), requireOne(t, a.Submit(epoch, q), EffectGrant).Permit.Minion)
	q = acquire(2, 0, "q0", time.Minute)
	q.Avoid = []model.VM{"m0-001", "m0-000"}
	require.Equal(t, model.ReasonFailsOnEveryMinion, requireOne(t, a.Submit(epoch, q), EffectRefuse).Reason)
	q = acquire(3, 0, "q0", time.Minute)
	q.Avoid = []model.VM{"m0-000"}
	require.Empty(t, a.Submit(epoch, q), "waits for the other minion")
	require.Equal(t, model.VM("m0-000"), requireOne(t, a.Submit(epoch, acquire(4, 0, "q0", time.Minute)), EffectGrant).Permit.Minion)
}

// Guards against permits beyond the entry VM's share of a minion's connections.
func TestConnectionShare(t *testing.T) {
	f := smallSite
	f.slots, f.conns, f.entries = 4, 7, 3 // two connections each
	a := f.newAdmission(epoch)
	requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectGrant)
	requireOne(t, a.Submit(epoch, acquire(2, 0, "q0", time.Minute)), EffectGrant)
	require.Empty(t, a.Submit(epoch, acquire(3, 0, "q0", time.Minute)))
	q := acquire(4, 0, "q0", time.Minute)
	q.From.Entry = "e1"
	requireOne(t, a.Submit(epoch, q), EffectGrant)
}

// Guards against an unbounded queue and against refusing a request that another data centre
// can run.
func TestQueueBoundAndLongWait(t *testing.T) {
	f := smallSite
	f.maxWaiting = 7
	a := f.newAdmission(epoch)
	for i := range 8 {
		a.Submit(epoch, acquire(i, 0, "q0", time.Minute))
	}
	require.Equal(t, model.ReasonQueueFull, requireOne(t, a.Submit(epoch, acquire(8, 0, "q0", time.Minute)), EffectRefuse).Reason)
	require.Empty(t, a.Submit(epoch, acquire(9, 1, "late0", time.Minute)), "the bound is per queue")
	a.SetRemoteUsage(epoch, "b", nil, map[model.Service]int{"s0": 2})
	requireOne(t, a.Submit(epoch, acquire(10, 0, "q0", time.Minute)), EffectForward)
	requireOne(t, a.Submit(epoch, acquire(11, 0, "late0", time.Hour)), EffectForward) // 0.7 s of earlier work at the assumed 0.1 s each
	require.Empty(t, a.Submit(epoch, acquire(12, 0, "late0", time.Hour)), "the reported slots are used up")
}

// Guards against usage ratios that ignore other data centres, and against usage reports that
// are still counted after they expired.
func TestRemoteUsageCountsForShares(t *testing.T) {
	for age, first := range map[time.Duration]model.JobID{3 * time.Second: "j000002", 3*time.Second + 1: "j000001"} {
		a, now := smallSite.newAdmission(epoch), epoch.Add(age)
		p := requireOne(t, a.Submit(epoch, acquire(0, 2, "q0", time.Minute)), EffectGrant).Permit
		a.SetRemoteUsage(epoch, "b", map[model.Team]int{teamName(0): 5}, nil)
		require.Empty(t, a.Submit(now, acquire(1, 0, "q0", time.Minute)))
		require.Empty(t, a.Submit(now, acquire(2, 1, "q0", time.Minute)))
		require.Equal(t, first, requireOne(t, a.Release(now, release(p, peer.AttemptOK)), EffectGrant).Job)
	}
}

// Guards against a team that stays at its limit after a reboot ended its lost attempt: a
// waiting request for another service must start.
func TestRebootFreesTeamUsage(t *testing.T) {
	f := smallSite
	f.services, f.limit = 2, 1
	a := f.newAdmission(epoch)
	p := requireOne(t, a.Submit(epoch, acquire(1, 0, "q0", time.Minute)), EffectGrant).Permit
	a.Release(epoch, release(p, peer.AttemptLost))
	require.Empty(t, a.Submit(epoch, acquire(2, 0, "q1", time.Minute)))
	require.Empty(t, a.SetMinionState(epoch, p.Minion, model.VMRebooting))
	require.Equal(t, model.JobID("j000002"), requireOne(t, a.SetMinionState(epoch, p.Minion, model.VMServing), EffectGrant).Job)
}
