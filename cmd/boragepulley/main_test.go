package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/bench/sites"
	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/operator"
)

const token = "operator-token-of-the-test"

// site is a stand-in for the parts behind the API.
type site struct {
	head config.Head
	// inForce of 2 entry VMs have the head in force.
	inForce int
	err     error
	applied []operator.ApplyRequest
	// onStatus, if set, is called for each look at the status.
	onStatus func()
}

func (s *site) Apply(_ context.Context, r operator.ApplyRequest) (operator.ApplyResult, error) {
	s.applied = append(s.applied, r)
	if s.err != nil {
		return operator.ApplyResult{}, s.err
	}
	if r.BaseVersion != s.head.Version {
		return operator.ApplyResult{}, &operator.ConflictError{Head: s.head}
	}
	s.head = config.Head{Version: r.BaseVersion + 1, ApplyID: r.ApplyID, Operator: r.Operator, Time: time.Unix(0, 0)}
	return operator.ApplyResult{Head: s.head}, nil
}

func (s *site) Document() *config.Document { return nil }

func (s *site) Status(context.Context) (operator.Status, error) {
	if s.onStatus != nil {
		s.onStatus()
	}
	c := operator.ConfigurationStatus{Head: s.head, Stored: true, InForce: s.inForce, Of: 2, Everywhere: s.inForce == 2, Confirmed: true}
	if s.inForce < 2 {
		c.Missing = []operator.MissingEntry{{Name: "entry-2", DC: "dc-b", Status: control.MemberSuspect, Since: time.Unix(60, 0)}}
	}
	return operator.Status{Entry: "entry-1", Configuration: c, Teams: []operator.TeamStatus{{Name: "desk", Running: 3, Limit: 8}},
		VMs: []operator.VMStatus{
			{Name: "vm-1", DC: "dc-a", Pool: "quotes", State: model.VMDraining, Busy: 2, Slots: 8, Wave: "spring", Held: "requests_running", Detail: "2 permits are outstanding"},
			{Name: "vm-2", DC: "dc-a", Pool: "quotes", MoveTo: "spare", State: model.VMServing, Suspect: true, Slots: 8, Held: "vm_does_not_answer"},
		},
		Waves: []operator.WaveStatus{{Name: "spring", Done: 3, Active: 1, Total: 9, Paused: "dc-a: paused_after_correlated_failure: VMs x and y"}},
	}, nil
}

func (s *site) Jobs(context.Context, operator.JobQuery) (operator.JobList, error) {
	return operator.JobList{Jobs: []operator.JobSummary{{Job: "j1", State: model.StateRan}}}, s.err
}

func (s *site) Explain(_ context.Context, id model.JobID) (operator.Explanation, error) {
	return operator.Explanation{Job: operator.JobSummary{Job: id}, Outcome: model.OutcomeRan,
		Steps: []model.Record{{State: model.StateDispatched, Minion: "vm-3"}}}, s.err
}

func (s *site) Report(_ context.Context, q operator.ReportQuery) ([]byte, error) {
	return []byte("report as " + string(q.Format)), s.err
}

// start starts the API for s and sets the environment of the tool.
func start(t *testing.T, s *site) {
	h, err := operator.NewHandler(operator.Options{Token: token, Applier: s, Config: s, Status: s, Jobs: s, Reports: s, Log: zerolog.Nop()})
	require.NoError(t, err)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	t.Setenv("BORAGEPULLEY_SERVERS", server.URL)
	t.Setenv("BORAGEPULLEY_TOKEN", token)
	t.Setenv("BORAGEPULLEY_OPERATOR", "ann")
}

// tool runs the tool and returns its exit code and both outputs.
func tool(t *testing.T, args ...string) (exitCode, string, string) {
	var out, errOut bytes.Buffer
	code := run(t.Context(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// folder writes a generated site, with text added to one file, and returns its path.
func folder(t *testing.T, extra string) string {
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, "sub"), 0o700))
	for _, f := range sites.Generate(sites.Options{}) {
		name := f.Name
		if name == "teams.toml" {
			name, f.Text = "sub/teams.toml", f.Text+extra
		}
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(f.Text), 0o600))
	}
	return dir
}

const faulty = "[[team]]\nname = \"x\"\nshare = 0\nlimit = 0\n"

// Guards the exit codes, which scripts rely on.
func TestExitCodes(t *testing.T) {
	start(t, &site{inForce: 2})
	good, bad := folder(t, ""), folder(t, faulty)
	gone := httptest.NewServer(nil)
	gone.Close()
	for _, c := range []struct {
		want exitCode
		args string
	}{
		{exitOK, "--help"},
		{exitOK, "version"},
		{exitOK, "check " + good},
		{exitRefused, "check " + bad},
		{exitUsage, "check " + good + "/missing.toml"},
		{exitUsage, "check " + t.TempDir()},
		{exitUsage, "check"},
		{exitUsage, "unknown"},
		{exitUsage, "-o yaml version"},
		{exitOK, "plan " + good},
		{exitRefused, "plan " + bad},
		{exitOK, "apply " + good},
		{exitRefused, "apply " + bad},
		{exitConflict, "apply --base 7 " + good},
		{exitUsage, "apply --apply-id apply-0001 " + good},
		{exitRefused, "--token wrong-token-of-16 status"},
		{exitUnreachable, "--server " + gone.URL + " status"},
		{exitUnreachable, "--server " + gone.URL + " apply --base 1 " + good},
		{exitUsage, "--server ftp://x status"},
		{exitOK, "jobs --state ran"},
		{exitUsage, "jobs --state lost"},
		{exitUsage, "jobs --limit 0"},
		{exitUsage, "explain no-job"},
		{exitOK, "report --format html"},
		{exitUsage, "report --from yesterday"},
		{exitOK, "key new --id desk-2 --team desk"},
		{exitUsage, "key new --id desk.2 --team desk"},
		{exitUsage, "key new --id desk-2 --team Desk"},
	} {
		code, out, errOut := tool(t, strings.Fields(c.args)...)
		require.Equal(t, c.want, code, "%s\n%s%s", c.args, out, errOut)
	}
	t.Setenv("BORAGEPULLEY_TOKEN", "")
	code, _, _ := tool(t, "status")
	require.Equal(t, exitUsage, code)
}

// Guards against an offline check that stops at the first fault or hides its place.
func TestCheckOutput(t *testing.T) {
	_, out, _ := tool(t, "check", folder(t, faulty))
	require.Contains(t, out, "share: found 0, expected an integer from 1 to 10000")
	require.Contains(t, out, "limit: found 0, expected an integer from 1 to 1000000")
	require.Contains(t, out, "sub/teams.toml:")
	require.Contains(t, out, "2 errors")
	_, out, _ = tool(t, "-o", "json", "check", folder(t, ""))
	var r checkOutput
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.True(t, r.OK)
	require.Equal(t, 5, r.Files)
}

// Guards the three states that an apply shows, and the names of missing entry VMs.
func TestApplyShowsProgress(t *testing.T) {
	s := &site{inForce: 1}
	start(t, s)
	dir := folder(t, "")
	// The second look of the waiting loop ends the tool, so that no time decides.
	ctx, stop := context.WithCancel(t.Context())
	var looks atomic.Int32
	s.onStatus = func() {
		if looks.Add(1) == 2 {
			stop()
		}
	}
	var stdout, stderr bytes.Buffer
	code := run(ctx, []string{"apply", "--base", "0", "--wait", "1h", dir}, &stdout, &stderr)
	out, errOut := stdout.String(), stderr.String()
	require.Equal(t, exitNotEverywhere, code)
	require.Contains(t, out, "stored: version 1")
	require.Contains(t, out, "in force at 1 of 2 entry VMs")
	require.Regexp(t, `entry-2 +dc-b +0 +suspect +1970-01-01T00:01:00.000Z`, out)
	require.Contains(t, errOut, "not in force everywhere within 1h0m0s")

	// The first site's handler may still run, since its caller was stopped.
	first := s.applied[0]
	s = &site{head: s.head, inForce: 2}
	start(t, s)
	code, out, _ = tool(t, "-o", "json", "apply", dir)
	require.Equal(t, exitOK, code)
	var r applyOutput
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, stateEverywhere, r.State)
	require.EqualValues(t, 2, r.Result.Version)
	require.EqualValues(t, 1, s.applied[0].BaseVersion)
	require.Equal(t, "ann", s.applied[0].Operator)
	require.NotEqual(t, first.ApplyID, s.applied[0].ApplyID)

	code, out, _ = tool(t, "apply", "--wait", "0s", dir)
	require.Equal(t, exitOK, code)
	require.NotContains(t, out, "in force")
}

// Guards against an unknown outcome that is taken for a failure, and against advice with
// which the operator would apply a second time.
func TestApplyOutcomeUnknown(t *testing.T) {
	s := &site{err: operator.ErrOutcomeUnknown}
	start(t, s)
	dir := folder(t, "")
	code, _, errOut := tool(t, "apply", dir)
	require.Equal(t, exitUnknown, code)
	require.Contains(t, errOut, "--apply-id "+s.applied[0].ApplyID+" --base 0")
	s.err = operator.ErrNotApplied
	code, _, _ = tool(t, "apply", "--apply-id", s.applied[0].ApplyID, "--base", "0", dir)
	require.Equal(t, exitUnavailable, code)
	require.Equal(t, s.applied[0].ApplyID, s.applied[1].ApplyID)
}

// Guards the content of the reading commands in text form.
func TestTextOutputs(t *testing.T) {
	start(t, &site{head: config.Head{Version: 4, Operator: "ben"}, inForce: 1})
	for args, want := range map[string]string{
		"status":                     "configuration: version 4 by ben at -, stored, in force at 1 of 2 entry VMs",
		"jobs":                       "j1",
		"report":                     "report as text",
		"-o json report":             "report as json",
		"explain " + exampleJob():    "vm-3",
		"version":                    "server: ",
		"plan " + folder(t, ""):      "changes to version 0; apply them with --base 0",
		"key new --id k --team desk": "sha256 = ",
	} {
		code, out, errOut := tool(t, strings.Fields(args)...)
		require.Equal(t, exitOK, code, errOut)
		require.Contains(t, out, want)
	}
}

// Guards against a status that hides the state of a VM, what it waits for, or the progress
// and the pause of a wave.
func TestStatusShowsMaintenance(t *testing.T) {
	start(t, &site{head: config.Head{Version: 4, Operator: "ben"}, inForce: 2})
	code, out, errOut := tool(t, "status")
	require.Equal(t, exitOK, code, errOut)
	var rows []string
	for line := range strings.Lines(out) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	require.Contains(t, rows, "vm-1 dc-a quotes draining 2 8 spring requests_running: 2 permits are outstanding")
	require.Contains(t, rows, "vm-2 dc-a quotes -> spare serving (suspect) 0 8 - vm_does_not_answer")
	require.Contains(t, rows, "spring 3 1 9 dc-a: paused_after_correlated_failure: VMs x and y")
}

func exampleJob() string { return string(model.NewJobID(time.Unix(0, 0), "entry-1")) }
