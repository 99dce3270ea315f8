package minion

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/standins/runs"
)

func start(t *testing.T, o Options) *Minion {
	t.Helper()
	o.Addr = "127.0.0.1:0"
	m, err := Start(o)
	require.NoError(t, err)
	t.Cleanup(m.Close)
	return m
}

// post runs a job and returns the answer with its body; err is set if the answer is not whole.
func post(m *Minion, job string, attempt int, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.Addr()+"/run", bytes.NewBufferString(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(HeaderJob, job)
	req.Header.Set(HeaderAttempt, strconv.Itoa(attempt))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, b, err
}

// Guards against answers that a caller cannot check for completeness and ownership.
func TestRunKeepsContract(t *testing.T) {
	m := start(t, Options{Name: "vm-1"})
	res, body, err := post(m, "job-1", 2, `{"run_ms":0,"answer_bytes":100}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, "job-1", res.Header.Get(HeaderJob))
	require.Equal(t, "2", res.Header.Get(HeaderAttempt))
	require.Equal(t, digest(body), res.Header.Get(HeaderDigest))
	require.EqualValues(t, len(body), res.ContentLength)
	var a RunAnswer
	require.NoError(t, json.Unmarshal(body, &a))
	require.Equal(t, digest([]byte(`{"run_ms":0,"answer_bytes":100}`)), a.RequestDigest)
	require.Equal(t, []runs.Run{{ID: "job-1", Count: 1, Attempts: map[int]int{2: 1}}}, m.Runs().Answer().Runs)
}

// Guards against a stand-in that hides a dispatcher which exceeds the slots of a minion:
// the extra request must be counted, refused as not started, and not run.
func TestSlotViolation(t *testing.T) {
	m := start(t, Options{Slots: 2})
	m.SetFaults(Faults{Faults: []Fault{{Kind: FaultHang}}})
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { _, _, _ = post(m, "job-"+strconv.Itoa(i), 1, "") })
	}
	require.Eventually(t, func() bool { return m.boot.Load().status(2).Busy == 2 }, 10*time.Second, time.Millisecond)
	res, _, err := post(m, "extra", 1, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.Equal(t, "true", res.Header.Get(HeaderNotStarted))
	require.EqualValues(t, 1, m.Stats().SlotViolations)
	require.Len(t, m.Runs().Answer().Runs, 2)
	m.SetFaults(Faults{})
	wg.Wait()
	require.Zero(t, m.boot.Load().status(2).Busy, "slots are free when the hanging jobs end")
}

// Guards against a stand-in that hides too many connections.
func TestConnectionViolation(t *testing.T) {
	m := start(t, Options{Connections: 2})
	for range 3 {
		c, err := net.Dial("tcp", m.Addr())
		require.NoError(t, err)
		defer c.Close()
	}
	require.Eventually(t, func() bool { return m.Stats().ConnectionViolations == 1 }, 10*time.Second, time.Millisecond)
}

// Guards against faults that do not show the damage that they are named after.
func TestFaults(t *testing.T) {
	m := start(t, Options{Run: time.Millisecond})
	next := func(k FaultKind) (*http.Response, []byte, error) {
		m.SetFaults(Faults{Faults: []Fault{{Kind: k, Next: 1}}})
		return post(m, "job-"+string(k), 1, "")
	}
	res, _, err := next(FaultFail)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, res.StatusCode)
	_, _, err = next(FaultTruncate)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	res, _, err = next(FaultWrongJob)
	require.NoError(t, err)
	require.NotEqual(t, "job-wrong_job", res.Header.Get(HeaderJob))
	res, body, err := next(FaultCorrupt)
	require.NoError(t, err)
	require.NotEqual(t, digest(body), res.Header.Get(HeaderDigest))
	res, _, err = next(FaultRefuse)
	require.NoError(t, err)
	require.Equal(t, "true", res.Header.Get(HeaderNotStarted))
	res, _, err = post(m, "job-after", 1, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode, "a fault for one request does not hit the next")
	for _, r := range m.Runs().Answer().Runs {
		require.NotEqual(t, "job-refuse", r.ID, "a refused job must not run")
	}
	require.Error(t, Faults{Faults: []Fault{{Kind: "misspelt"}}}.check())
}

// Guards against a reboot that keeps running jobs or loses the run counts.
func TestReboot(t *testing.T) {
	m := start(t, Options{})
	addr := m.Addr()
	m.SetFaults(Faults{Faults: []Fault{{Kind: FaultHang, Next: 1}}})
	lost := make(chan error, 1)
	go func() { _, _, err := post(m, "job-1", 1, ""); lost <- err }()
	require.Eventually(t, func() bool { return m.Stats().Started == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, m.Reboot(0))
	require.Error(t, <-lost)
	require.Equal(t, addr, m.Addr())
	require.Zero(t, m.boot.Load().status(8).Busy)
	res, _, err := post(m, "job-2", 1, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Len(t, m.Runs().Answer().Runs, 2)
}

// Guards against run counts that are split over minions: a job that ran on two must show two runs.
func TestFleetMergesRuns(t *testing.T) {
	f, err := StartFleet([]Options{{Name: "a", Addr: "127.0.0.1:0"}, {Name: "b", Addr: "127.0.0.1:0"}})
	require.NoError(t, err)
	defer f.Close()
	for i, m := range f.Minions() {
		_, _, err := post(m, "job", i+1, `{"run_ms":0}`)
		require.NoError(t, err)
	}
	require.Equal(t, []runs.Run{{ID: "job", Count: 2, Attempts: map[int]int{1: 1, 2: 1}}}, f.Runs().Runs)
}
