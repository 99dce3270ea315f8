package prove

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"boragepulley/bench/load"
	"boragepulley/bench/sites"
	"boragepulley/internal/model"
)

func callerScenarios() []Scenario {
	return []Scenario{
		{Name: "caller-waves", Shows: "I5 I6: waves of cancellations and of callers that disconnect", Site: keySite, Run: callerWaves},
		{Name: "caller-bodies", Shows: "I5 I6: slow-sending callers and bodies above the bound, while others are served", Run: callerBodies},
	}
}

// Faults of the callers' API.
const (
	FaultCancel  load.FaultKind = "a cancelled job ran, or a cancellation was not decided (I6)"
	FaultBlocked load.FaultKind = "callers were not served after a wave or beside slow callers"
	FaultBody    load.FaultKind = "a slow or oversized body was not refused as not run"
)

// bodyTimeout is how long a caller may take to send a body.
const bodyTimeout = 10 * time.Second

// jobAnswer is what the callers' API says about a job.
type jobAnswer struct {
	status  int
	Job     model.JobID   `json:"job_id"`
	State   model.State   `json:"state"`
	Outcome model.Outcome `json:"outcome"`
	Reason  model.Reason  `json:"reason"`
}

// call sends one request to the callers' API of an entry VM.
func (e *Env) call(ctx context.Context, n model.EntryVM, method, path string, header map[string]string, body io.Reader) (jobAnswer, error) {
	var a jobAnswer
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Entry(n).Caller+path, body)
	if err != nil {
		return a, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+sites.KeyText(0))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	a.status = resp.StatusCode
	// A minion's answer is no job document; the header then has the job.
	if json.Unmarshal(data, &a) != nil || a.Job == "" {
		a.Job = model.JobID(resp.Header.Get("X-Job-Id"))
		a.Outcome = model.Outcome(resp.Header.Get("X-Outcome"))
	}
	return a, nil
}

const (
	waveSize = 150
	waves    = 3
)

func callerWaves(ctx context.Context, e *Env) error {
	var cancelled []model.JobID
	for range waves {
		jobs, err := e.cancelWave(ctx)
		if err != nil {
			return err
		}
		cancelled = append(cancelled, jobs...)
		e.disconnectWave(ctx)
		e.probeAfterWave(ctx)
	}
	e.Wait(ctx, 2*time.Second)
	runs, err := e.Runs()
	if err != nil {
		return err
	}
	for _, j := range cancelled {
		if runs[j] > 0 {
			e.Fail(FaultCancel, "job %s was cancelled and ran %d times", j, runs[j])
		}
	}
	e.Measure(float64(len(cancelled)), "jobs", "cancelled of %d", waves*waveSize)
	if len(cancelled) == 0 {
		return errors.New("prove: no job could be cancelled")
	}
	return nil
}

func waveBody(i int) string { return fmt.Sprintf(`{"run_ms":400,"tag":"wave","number":%d}`, i) }

func queuePath() string { return "/v1/queues/" + string(sites.QueueName(0)) + "/requests" }

// cancelWave sends more requests than the slots hold and cancels all of them at once
// through any entry VM. It returns the jobs whose cancellation was confirmed.
func (e *Env) cancelWave(ctx context.Context) ([]model.JobID, error) {
	jobs := make([]model.JobID, waveSize)
	errs := make([]error, waveSize)
	e.each(waveSize, func(i int) {
		n := e.Entries()[i%len(e.Entries())]
		a, err := e.call(ctx, n, http.MethodPost, queuePath(), map[string]string{"Prefer": "respond-async", "X-Idempotent": fmt.Sprint(i%2 == 0)}, strings.NewReader(waveBody(i)))
		if err == nil && a.status != http.StatusAccepted {
			err = errors.Errorf("prove: status %d %s", a.status, a.Reason)
		}
		jobs[i], errs[i] = a.Job, err
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	e.Say("Cancelling %d requests.", waveSize)
	var mu sync.Mutex
	var out []model.JobID
	e.each(waveSize, func(i int) {
		n := e.Entries()[(i/2)%len(e.Entries())]
		a, err := e.call(ctx, n, http.MethodDelete, "/v1/jobs/"+string(jobs[i]), nil, nil)
		switch {
		case err != nil:
			e.Fail(FaultCancel, "job %s at %s: %v", jobs[i], n, err)
		case a.status == http.StatusOK && a.State == model.StateCancelled:
			mu.Lock()
			out = append(out, jobs[i])
			mu.Unlock()
		case a.status != http.StatusConflict:
			e.Fail(FaultCancel, "job %s at %s: status %d, state %s", jobs[i], n, a.status, a.State)
		}
	})
	return out, nil
}

func (e *Env) each(n int, do func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}

// disconnectWave sends requests whose callers leave before the answer.
func (e *Env) disconnectWave(ctx context.Context) {
	after := make([]time.Duration, waveSize)
	for i := range after {
		after[i] = time.Duration(20+e.Rand.IntN(300)) * time.Millisecond
	}
	e.Say("%d callers disconnect.", waveSize)
	e.each(waveSize, func(i int) {
		ctx, cancel := context.WithTimeout(ctx, after[i])
		defer cancel()
		_, _ = e.call(ctx, e.Entries()[i%len(e.Entries())], http.MethodPost, queuePath(), nil, strings.NewReader(waveBody(i)))
	})
}

// probeAfterWave requires that urgent work starts in time after a wave: of a wave, only
// the requests that were dispatched may still hold slots.
func (e *Env) probeAfterWave(ctx context.Context) {
	e.each(len(e.Entries()), func(i int) {
		s := e.Callers.Do(ctx, load.Request{
			Queue: string(sites.QueueName(0)), Team: string(sites.TeamName(1)), Key: sites.KeyText(1),
			Idempotent: true, Urgent: true, Run: time.Millisecond, Deadline: 6 * time.Second, Entry: string(e.Entries()[i]),
		})
		if s.Verdict != load.SawRan || s.Took > startWithin {
			e.Fail(FaultBlocked, "urgent request at %s after a wave: %s %s after %v", s.Entry, s.Verdict, s.Reason, s.Took)
		}
	})
}

// slowPerEntry is the number of slow callers per entry VM.
const slowPerEntry = 20

func callerBodies(ctx context.Context, e *Env) error {
	stop := e.Load(ctx, defaultMix())
	defer stop()
	var wg sync.WaitGroup
	for _, n := range e.Entries() {
		for range slowPerEntry {
			wg.Go(func() { e.slowCaller(ctx, n) })
		}
		wg.Go(func() { e.oversized(ctx, n) })
	}
	probes := e.probeUrgent(ctx, e.target(), "")
	wg.Wait()
	probes()
	return nil
}

// slowCaller sends a byte of its body now and then and never ends it.
func (e *Env) slowCaller(ctx context.Context, n model.EntryVM) {
	c, err := net.DialTimeout("tcp", e.Entry(n).Caller, time.Second)
	if err != nil {
		e.Fail(FaultBody, "slow caller at %s: %v", n, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(bodyTimeout + answerSlack))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n{",
		queuePath(), n, sites.KeyText(0))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if _, err := c.Write([]byte(" ")); err != nil {
				return
			}
			e.Wait(ctx, 500*time.Millisecond)
		}
	}()
	start := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		e.Fail(FaultBody, "slow caller at %s after %v: %v", n, time.Since(start), err)
		return
	}
	defer resp.Body.Close()
	var a jobAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Outcome != model.OutcomeNotRun || a.Reason != model.ReasonBodyIncomplete {
		e.Fail(FaultBody, "slow caller at %s after %v: %d %+v %v", n, time.Since(start), resp.StatusCode, a, err)
	}
}

// answerSlack is how long after the bound on a body its refusal may take.
const answerSlack = 2 * time.Second

// largestBody is the default bound on a body in bytes.
const largestBody = 1 << 20

// oversized sends bodies at and above the bound, with and without a declared length.
func (e *Env) oversized(ctx context.Context, n model.EntryVM) {
	start := `{"run_ms":1,"tag":"large","pad":"`
	whole := func(size int) []byte {
		return []byte(start + strings.Repeat("x", size-len(start)-2) + `"}`)
	}
	fits, err := e.call(ctx, n, http.MethodPost, queuePath(), nil, bytes.NewReader(whole(largestBody)))
	if err != nil || fits.Outcome != model.OutcomeRan {
		e.Fail(FaultBody, "body of exactly the bound at %s: %+v %v", n, fits, err)
	}
	for what, body := range map[string]io.Reader{
		"declared": bytes.NewReader(whole(largestBody + 1)),
		"chunked":  io.MultiReader(bytes.NewReader(whole(largestBody + 1))),
	} {
		a, err := e.call(ctx, n, http.MethodPost, queuePath(), nil, body)
		if err != nil || a.status != http.StatusRequestEntityTooLarge || a.Outcome != model.OutcomeNotRun || a.Reason != model.ReasonBodyTooLarge {
			e.Fail(FaultBody, "%s body above the bound at %s: %+v %v", what, n, a, err)
		}
	}
}
