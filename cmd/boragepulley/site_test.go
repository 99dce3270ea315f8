package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/sitestatus"
)

// entryVM is a stand-in for an entry VM on the users' platform that knows at most one job.
type entryVM struct {
	status sitestatus.Entry
	job    *sitestatus.Job
}

func (e entryVM) Status(context.Context) sitestatus.Entry { return e.status }

func (e entryVM) Job(_ context.Context, id jobs.ID) (sitestatus.Job, bool) {
	if e.job == nil || e.job.Job != id {
		return sitestatus.Job{}, false
	}
	return *e.job, true
}

// startEntry serves the reports of an entry VM and returns its address.
func startEntry(t *testing.T, e entryVM) string {
	server := httptest.NewServer(sitestatus.Handler(e, http.NotFoundHandler()))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func coordinatorEntry() entryVM {
	return entryVM{
		status: sitestatus.Entry{Name: "front-a", DC: "dc-a", Ready: true, Configuration: &sitestatus.Configuration{Version: 7, AgeMS: 2000},
			Term: &sitestatus.Term{Epoch: 3, AgeMS: 61000, Loaded: true, LeaseLeftMS: 1500, OrdersLeftMS: 1900,
				Minions: []sitestatus.Minion{{ID: "i-1", Service: "s", State: sitestatus.MinionSilent, Tasks: 2, ReplyAgeMS: 900, RunsLeftMS: 3100}}}},
		job: &sitestatus.Job{Job: "j1", Entry: "front-a", Epoch: 3, State: jobs.StateRunning, Tasks: []sitestatus.Task{
			{Name: "j1.0.0.0", Phase: "waiting", SinceMS: 4000, Waits: "limit of the team"}}},
	}
}

// Guards against a status that hides an entry VM which does not answer, or views that contradict
// each other.
func TestSiteStatus(t *testing.T) {
	good := startEntry(t, coordinatorEntry())
	stale := startEntry(t, entryVM{status: sitestatus.Entry{Name: "front-b", DC: "dc-b", Configuration: &sitestatus.Configuration{Version: 6},
		Follows: &sitestatus.Coordinator{Name: "front-c", Epoch: 2, HeartbeatAgeMS: 5000}}})
	gone := httptest.NewServer(nil)
	gone.Close()
	code, out, errOut := tool(t, "status", "--entry", good, "--entry", stale, "--entry", strings.TrimPrefix(gone.URL, "http://"))
	require.Equal(t, exitOK, code, errOut)
	for _, want := range []string{"2 of 3 entry VMs answered", "no answer", "conflict: front-b does not follow front-a (epoch 3)",
		"conflict: front-b has configuration 6, the newest is 7", "front-a coordinates since 1m1s with epoch 3", "silent"} {
		require.Contains(t, out, want)
	}

	second := coordinatorEntry()
	second.status.Name, second.status.Term.Epoch = "front-d", 4
	code, out, _ = tool(t, "status", "--entry", good, "--entry", startEntry(t, second))
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "both say that they may send orders")

	code, _, errOut = tool(t, "status", "--entry", strings.TrimPrefix(gone.URL, "http://"))
	require.Equal(t, exitUnreachable, code, errOut)
}

// Guards against an explanation by an entry VM that does not coordinate, and exit codes that do not
// tell an unknown job from a system that does not answer.
func TestExplainFromLiveSystem(t *testing.T) {
	good, other := startEntry(t, coordinatorEntry()), startEntry(t, entryVM{})
	code, out, errOut := tool(t, "explain", "j1", "--entry", other, "--entry", good)
	require.Equal(t, exitOK, code, errOut)
	require.Contains(t, out, "job j1: running")
	require.Contains(t, out, "limit of the team")
	code, _, _ = tool(t, "explain", "j2", "--entry", other, "--entry", good)
	require.Equal(t, exitRefused, code)
	code, _, _ = tool(t, "explain", "j1", "--entry", "127.0.0.1:1")
	require.Equal(t, exitUnreachable, code)
	code, _, _ = tool(t, "explain", "j1", "file.log", "--entry", good)
	require.Equal(t, exitUsage, code)
}
