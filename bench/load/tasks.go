package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"boragepulley/internal/model"
)

// Task is what a caller declares about a task, and how the task really behaves.
type Task struct {
	Cores        int
	MemoryMB     int
	Accelerators int
	// Declared is the declared run time; the real one is the request's Run.
	Declared time.Duration
	// UseCores and UseMemoryMB are the real use; 0 means as reserved.
	UseCores    float64
	UseMemoryMB int
	// Fail lets the task fail on every worker.
	Fail       bool
	Checkpoint bool
	// Async asks for an answer before the task has ended.
	Async bool
	// Patience bounds how long the caller asks for the end of the task.
	Patience time.Duration
}

// followEvery is the time between two questions about a task.
const followEvery = 500 * time.Millisecond

func (t *Task) body(run time.Duration, content int64) []byte {
	return fmt.Appendf(nil, `{"real_run_ms":%d,"use_cores":%g,"use_memory_mb":%d,"fail":%t,"number":%d}`,
		run.Milliseconds(), t.UseCores, t.UseMemoryMB, t.Fail, content)
}

func (t *Task) setHeaders(h http.Header) {
	h.Set("X-Task-Cores", strconv.Itoa(t.Cores))
	h.Set("X-Task-Memory-Mb", strconv.Itoa(t.MemoryMB))
	h.Set("X-Task-Accelerators", strconv.Itoa(t.Accelerators))
	if t.Declared > 0 {
		h.Set("X-Task-Run-Ms", strconv.FormatInt(t.Declared.Milliseconds(), 10))
	}
	if t.Checkpoint {
		h.Set("X-Task-Checkpoint", "true")
	}
	if t.Async {
		h.Set("Prefer", "respond-async")
	}
}

// follow asks through any entry VM until the task has ended or the patience is over.
func (c *Callers) follow(ctx context.Context, s *Seen) {
	if s.Job == "" || s.Verdict != SawUnknown {
		return
	}
	patience := s.Task.Patience
	if patience == 0 {
		patience = time.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		if c.ask(ctx, s) {
			return
		}
		select {
		case <-ctx.Done():
			s.Open = true
			return
		case <-time.After(followEvery):
		}
	}
}

// ask asks once; it reports whether the task has ended.
func (c *Callers) ask(ctx context.Context, s *Seen) bool {
	resp, body, err := c.jobCall(ctx, http.MethodGet, s.Key, "/v1/jobs/"+string(s.Job)+"/answer")
	if err != nil || resp.StatusCode == http.StatusAccepted || resp.StatusCode == http.StatusServiceUnavailable ||
		resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound && s.Reason == model.ReasonAnswerLost {
		return false
	}
	s.judge(resp, body, s.body())
	return true
}

func (c *Callers) jobCall(ctx context.Context, method, key, path string) (*http.Response, []byte, error) {
	_, addr, ok := c.Balancer.Pick()
	if !ok {
		return nil, nil, io.ErrUnexpectedEOF
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Cancel asks any entry VM to cancel a job and returns the status.
func (c *Callers) Cancel(ctx context.Context, key string, job model.JobID) (int, error) {
	resp, _, err := c.jobCall(ctx, http.MethodDelete, key, "/v1/jobs/"+string(job))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Submit sends a task without waiting for its end and returns what was seen so far; Await
// finishes the account.
func (c *Callers) Submit(ctx context.Context, r Request) Seen {
	s := Seen{Request: r, Number: c.number.Add(1), Sent: time.Now()}
	c.send(ctx, &s)
	s.Took = time.Since(s.Sent)
	return s
}

// Await follows a submitted task to its end and records it.
func (c *Callers) Await(ctx context.Context, s Seen) Seen {
	c.follow(ctx, &s)
	s.Took = time.Since(s.Sent)
	c.mu.Lock()
	c.seen = append(c.seen, s)
	c.mu.Unlock()
	return s
}
