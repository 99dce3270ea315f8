package sitefaults

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/standins/fleet"
)

// newTestChecker returns a checker that has been calm for some seconds.
func newTestChecker(configs *configs) *checker {
	c := newChecker(&catalogue{byID: map[string]*jobSpec{}}, configs)
	c.calmSince = c.calmSince.Add(-time.Minute)
	return c
}

// Guards against a soak that passes while an entry VM cuts off requests as it shuts down, and against
// one that blames it for a kill.
func TestReportsRequestsCutOff(t *testing.T) {
	reset := errors.New("connection reset by peer")
	for _, x := range []struct {
		name     string
		planned  bool
		ago      time.Duration
		reported bool
	}{{"beside SIGTERM", true, time.Second, true}, {"as it arrives", true, cutSlack / 2, false}, {"by SIGKILL", false, time.Second, false}} {
		c, e := newTestChecker(&configs{}), &entryVM{name: "entry-1"}
		end := e.disturb(x.planned)
		at := time.Now().Add(-x.ago)
		c.cutOff(answer{from: e, sent: at}, "GET /", at, reset)
		require.Equal(t, x.reported, len(c.faults) == 1, "%s: %v", x.name, c.faults)
		end()
		c.cutOff(answer{from: e, sent: at}, "GET /", at, reset)
		require.Equal(t, x.reported, len(c.faults) == 2, "%s, just over: %v", x.name, c.faults)
	}
}

// Guards against a soak that passes while an entry VM accepts a withdrawn key: too late, after it
// refused it, or once it is started again.
func TestReportsAnswersByAnOlderConfiguration(t *testing.T) {
	now := time.Now()
	withdrawn := probe{"the withdrawn key", "/", "k", http.StatusUnauthorized, http.StatusOK}
	for _, x := range []struct {
		name                  string
		late, followed, lived time.Duration
		disturbed, report     bool
	}{
		{name: "in time", late: configApply / 2, lived: time.Minute},
		{name: "late", late: 2 * configApply, lived: time.Minute, report: true},
		{name: "late, disturbed", late: 2 * configApply, lived: time.Minute, disturbed: true},
		{name: "goes back", late: configApply / 2, followed: 2 * rollbackSlack, lived: time.Minute, report: true},
		{name: "goes back within the slack of slow machines", late: configApply, followed: 2 * rollbackSlack, lived: time.Minute, disturbed: true},
		{name: "goes back, disturbed", late: 2 * configApply, followed: 2 * slowedFactor * rollbackSlack, lived: time.Minute, disturbed: true, report: true},
		{name: "comes back with a restart", late: 2 * configApply, lived: configApply, disturbed: true, report: true},
	} {
		c, e := newTestChecker(&configs{}), &entryVM{name: "entry-1"}
		if x.disturbed {
			e.disturb(true)
		}
		c.followsOlder(answer{from: e, sent: now, status: http.StatusOK}, withdrawn, configuration{n: 1, acked: now.Add(-x.late)}, x.followed, now.Add(-x.lived))
		require.Equal(t, x.report, len(c.faults) == 1, "%s: %v", x.name, c.faults)
	}
}

// Guards against a soak that passes while tasks are started where only an older configuration, or
// none, sends their queue.
func TestReportsStartsOnMinionsOfAnotherService(t *testing.T) {
	for _, x := range []struct {
		service   string
		late      time.Duration
		disturbed int
		reported  bool
	}{
		{services[1], time.Minute, 0, false}, {services[0], configApply / 2, 0, false}, {services[0], 2 * configApply, 0, true},
		{services[0], 2 * configApply, 1, false}, {sparePool, 0, 1, true},
	} {
		now := time.Now()
		c := newTestChecker(&configs{last: configuration{n: 1, acked: now.Add(-x.late)}})
		c.disturbances = x.disturbed
		j := newJob(rand.New(rand.NewPCG(1, 1)), roaming, false, 1, shortCPU, 1)
		c.handedIn(j)
		c.event(fleet.Event{At: now, Kind: fleet.RunBegan, Task: j.tasks()[0], Run: 1, Minion: "i-m0-1", Service: model.Service(x.service)})
		require.Equal(t, x.reported, len(c.faults) == 1, "%v: %v", x, c.faults)
	}
}

// Guards against kinds added later that change the faults of recorded seeds.
func TestEachGroupOfKindsHasItsOwnSequence(t *testing.T) {
	draw := func(only string) []fault {
		return schedule(rand.New(rand.NewPCG(2, 1)), 2, 10, entryVMs, time.Minute, only)
	}
	both := draw("single,series")
	single := schedule(rand.New(rand.NewPCG(2, 1)), 2, 10, entryVMs, time.Minute, SingleFaults)
	series := schedule(nil, 2, 10, entryVMs, time.Minute, SeriesFaults)
	require.Equal(t, both, append(single, series...))
	all := both
	for _, only := range []string{NetworkFaults, ClockFaults, OverlapFaults} {
		all = append(all, schedule(nil, 2, 10, entryVMs, time.Minute, only)...)
	}
	require.Equal(t, all, draw(""))
	require.Equal(t, "3.2 s: resets of 0 for 3.2 s, chosen true, both false", single[0].String())
}

// Guards against a soak that passes while a job is forgotten before its retention ends, or its state
// changes after its end, and against one that asks for longer.
func TestReportsJobsThatAreForgotten(t *testing.T) {
	for _, x := range []struct {
		name     string
		ended    time.Duration // ago
		status   int
		state    string
		reported bool
		over     bool
	}{
		{"same state", retention / 2, http.StatusOK, "completed", false, false},
		{"other state", retention / 2, http.StatusOK, "running", true, false},
		{"forgotten too early", retention / 2, http.StatusGone, "", true, false},
		{"no answer", retention / 2, 0, "", false, false},
		{"forgotten in time", 2 * retention, http.StatusGone, "", false, true},
	} {
		c, e := newTestChecker(&configs{}), &entryVM{name: "entry-1"}
		now := time.Now()
		j := newJob(rand.New(rand.NewPCG(1, 1)), services[0], false, 1, shortCPU, 1)
		c.handedIn(j)
		c.jobs[j.ID].acceptedAt = now.Add(-x.ended - time.Minute)
		c.event(fleet.Event{At: now.Add(-x.ended), Kind: fleet.RunEnded, Task: j.tasks()[0], Run: 1, How: jobs.EndDone})
		c.jobs[j.ID].final, c.jobs[j.ID].finalAt = "completed", now.Add(-x.ended)
		require.Equal(t, x.over, c.stateAnswered(j, answer{status: x.status, state: x.state, from: e, sent: now}), x.name)
		require.Equal(t, x.reported, len(c.faults) == 1, "%s: %v", x.name, c.faults)
		c.jobs[j.ID].final = "" // its end was not seen
		if x.status == http.StatusGone {
			over := c.stateAnswered(j, answer{status: x.status, from: e, sent: now})
			require.Equal(t, x.over, over, x.name)
		}
	}
}

// Guards against a soak that passes while tasks start on a minion that leaves.
func TestReportsStartsOnMinionsThatLeave(t *testing.T) {
	for _, x := range []struct {
		ago          time.Duration
		disturbances int
		reported     bool
	}{{drainBound / 2, 1, false}, {2 * drainBound, 1, true}, {2 * drainBound, 2, false}} {
		c := newTestChecker(&configs{})
		j := newJob(rand.New(rand.NewPCG(1, 1)), services[0], false, 1, shortCPU, 1)
		c.handedIn(j)
		now := time.Now()
		c.leaves["i-m0-1"], c.disturbances = now.Add(-x.ago), x.disturbances
		c.event(fleet.Event{At: now, Kind: fleet.RunBegan, Task: j.tasks()[0], Run: 1, Minion: "i-m0-1", Service: model.Service(services[0])})
		require.Equal(t, x.reported, len(c.faults) == 1, "%v: %v", x, c.faults)
	}
}

// Guards against a cut between two entry VMs that concerns all of them, because the sender of a message
// is not found.
func TestFindsTheSenderOfAMessage(t *testing.T) {
	data, err := json.Marshal(peer.CoordinatorHeartbeat{From: peer.Sender{Entry: "entry-2"}, Members: map[model.EntryVM]peer.Member{"entry-1": {}}})
	require.NoError(t, err)
	require.Equal(t, "entry-2", peerOf(data))
	require.Empty(t, peerOf([]byte("{}")))
}
