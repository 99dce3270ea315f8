package worker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func testTasks() *tasks {
	return newTasks(Options{Name: "w", Cores: 16, MemoryMB: 32000, UsageLag: 2 * time.Second},
		func(string, int) {}, func() {})
}

func stateOf(t *testing.T, ts *tasks, id string) Task {
	t.Helper()
	for _, x := range ts.list().Tasks {
		if x.ID == id {
			return x
		}
	}
	t.Fatalf("no task %s", id)
	return Task{}
}

// Guards against tasks that run on after their lease, and leases that end a renewed task.
func TestLeaseExpiryStopsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := testTasks()
		_, err := ts.start(Start{ID: "a", Attempt: 1, RunMS: 10000, LeaseMS: 1000}, 0, false)
		require.NoError(t, err)
		time.Sleep(900 * time.Millisecond)
		_, err = ts.renew("a", Command{Attempt: 1, LeaseMS: 1000})
		require.NoError(t, err)
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, StateRunning, stateOf(t, ts, "a").State)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, StateExpired, stateOf(t, ts, "a").State)
		_, err = ts.renew("a", Command{Attempt: 1, LeaseMS: 1000})
		require.ErrorIs(t, err, errEnded)
	})
}

// Guards against lost or invented progress over throttle, checkpoint and restart.
func TestThrottleAndCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := testTasks()
		start := Start{ID: "a", Attempt: 1, Cores: 4, RunMS: 10000, LeaseMS: 60000}
		_, err := ts.start(start, 0, false)
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = ts.throttle("a", Command{Attempt: 1, Percent: 50})
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		v, err := ts.checkpoint("a", Command{Attempt: 1, Stop: true})
		require.NoError(t, err)
		require.JSONEq(t, `{"done_ms":4000}`, string(v.Checkpoint))
		require.Equal(t, StateStopped, v.State)
		start.Attempt, start.Checkpoint = 2, v.Checkpoint
		_, err = ts.start(start, 0, false)
		require.NoError(t, err)
		_, err = ts.stop("a", Command{Attempt: 1})
		require.ErrorIs(t, err, errOldAttempt, "a late command for an earlier attempt must not hit the new one")
		time.Sleep(5900 * time.Millisecond)
		require.Equal(t, StateRunning, stateOf(t, ts, "a").State)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, StateDone, stateOf(t, ts, "a").State)
	})
}

// Guards against usage reports without a lag and against usage equal to a false declaration.
func TestUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := testTasks()
		_, err := ts.start(Start{ID: "a", Attempt: 1, Cores: 2, RunMS: 5000, LeaseMS: 60000,
			Payload: json.RawMessage(`{"use_cores":7,"use_memory_mb":900}`)}, 0, false)
		require.NoError(t, err)
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, Usage{}, stateOf(t, ts, "a").Usage)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, Usage{Cores: 7, MemoryMB: 900}, stateOf(t, ts, "a").Usage)
		time.Sleep(4 * time.Second)
		require.Equal(t, StateDone, stateOf(t, ts, "a").State)
		require.Equal(t, 7.0, stateOf(t, ts, "a").Usage.Cores, "the report lags the end")
		time.Sleep(time.Second)
		require.Equal(t, Usage{}, stateOf(t, ts, "a").Usage)
	})
}

// Guards against a repeated start that runs a task twice or fails on a full worker.
func TestStartIsIdempotentPerAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := testTasks()
		s := Start{ID: "a", Attempt: 1, Cores: 16, RunMS: 1000, LeaseMS: 5000}
		for range 2 {
			_, err := ts.start(s, 0, false)
			require.NoError(t, err)
		}
		_, err := ts.start(Start{ID: "b", Attempt: 1, Cores: 1, RunMS: 1, LeaseMS: 1000}, 0, false)
		require.ErrorIs(t, err, errNoRoom)
		s.Attempt = 2
		_, err = ts.start(s, 0, false)
		require.ErrorIs(t, err, errOldAttempt, "an attempt must not start while another one runs")
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, StateDone, stateOf(t, ts, "a").State)
	})
}

// Guards against a worker whose faults or refusals do not show over HTTP.
func TestWorkerOverHTTP(t *testing.T) {
	f, err := StartFleet([]Options{{Name: "w1", Addr: "127.0.0.1:0", Cores: 2, MemoryMB: 100}})
	require.NoError(t, err)
	defer f.Close()
	w := f.Workers()[0]
	post := func(path string, body any) (*http.Response, error) {
		b, err := json.Marshal(body)
		require.NoError(t, err)
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		res, err := c.Post("http://"+w.Addr()+path, "application/json", bytes.NewReader(b))
		if err == nil {
			res.Body.Close()
		}
		return res, err
	}
	res, err := post("/tasks", Start{ID: "big", Attempt: 1, Cores: 3, RunMS: 1, LeaseMS: 1000})
	require.NoError(t, err)
	require.Equal(t, "true", res.Header.Get(HeaderNotStarted))
	require.EqualValues(t, 1, w.Stats().Violations)
	w.SetFaults(Faults{LoseAnswers: 1, FailEverything: true})
	_, err = post("/tasks", Start{ID: "a", Attempt: 1, Cores: 1, RunMS: 60000, LeaseMS: 60000})
	require.Error(t, err)
	require.Equal(t, 1, f.Runs().Runs[0].Count, "the answer is lost, the task started")
	require.Eventually(t, func() bool { return stateOf(t, w.tasks.Load(), "a").State == StateFailed },
		10*time.Second, time.Millisecond)
	res, err = post("/tasks/none/renew", Command{Attempt: 1, LeaseMS: 1000})
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, res.StatusCode)
	require.NoError(t, w.Reboot(0))
	require.Empty(t, w.tasks.Load().list().Tasks)
	require.Equal(t, 1, f.Runs().Runs[0].Count)
}
