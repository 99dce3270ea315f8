package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/dispatch"
	"boragepulley/internal/ingress"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/problem"
	"boragepulley/internal/upstream"
)

const goodKey = "k1.secret"

// fakeControl grants every attempt a permit for the same minion.
type fakeControl struct {
	platform.Table // not used: no test here makes a claim
	addr           string
	snap           atomic.Pointer[control.Snapshot]
	// hold, if set, blocks attempts until it is closed.
	hold chan struct{}
}

func (f *fakeControl) Snapshot() *control.Snapshot { return f.snap.Load() }
func (f *fakeControl) Acquire(ctx context.Context, a control.Attempt) (peer.AcquireReply, error) {
	if f.hold != nil {
		select {
		case <-f.hold:
		case <-ctx.Done():
			return peer.AcquireReply{}, ctx.Err()
		}
	}
	return peer.AcquireReply{Permit: &model.Permit{Job: a.Request.Job, Attempt: a.Number, Team: a.Request.Team,
		Queue: a.Request.Queue, Minion: "m1", Addr: f.addr}}, nil
}
func (f *fakeControl) CheckPermit(*model.Permit, string) model.Reason { return model.ReasonNone }
func (f *fakeControl) Release(*model.Permit, peer.AttemptResult)      {}
func (f *fakeControl) Begin() func()                                  { return func() {} }
func (f *fakeControl) Record(model.Record)                            {}
func (f *fakeControl) Event(model.FleetEvent)                         {}

// fakeLookup replies for entry VM e2.
type fakeLookup struct{ rep peer.JobGetReply }

func (f *fakeLookup) JobGet(_ context.Context, _ model.EntryVM, _ model.JobID, answer bool) (peer.JobGetReply, error) {
	rep := f.rep
	if !answer {
		rep.Result.Body = nil
	}
	return rep, nil
}
func (f *fakeLookup) JobCancel(_ context.Context, _ model.EntryVM, id model.JobID, team model.Team) (model.Result, error) {
	if team != f.rep.Steps[0].Team {
		return model.Result{}, dispatch.ErrNotOwner
	}
	return model.Result{Job: id, State: model.StateCancelled, Reason: model.ReasonCancelled}, nil
}

type testAPI struct {
	ctl    *fakeControl
	jobs   *dispatch.Service
	api    *Server
	url    string
	lookup *fakeLookup
}

// minion is the handler of a minion that answers with the body in upper case.
func minion(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	body = bytes.ToUpper(body)
	w.Header().Set("X-Job-Id", r.Header.Get("X-Job-Id"))
	w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
	w.Header().Set("X-Digest", upstream.Digest(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "text/x-quote")
	_, _ = w.Write(body)
}

// newTestAPI starts the API with the real dispatch and upstream packages, a fake control
// and an HTTP minion.
func newTestAPI(t *testing.T, h http.HandlerFunc, configure func(*fakeControl, *Config)) *testAPI {
	t.Helper()
	m := httptest.NewServer(h)
	t.Cleanup(m.Close)
	ctl := &fakeControl{addr: strings.TrimPrefix(m.URL, "http://")}
	queue := config.Queue{Name: "quotes", Service: "s", MaxBody: 64, Deadline: 5 * time.Second, MaxDeadline: time.Minute, MaxAttempts: 3, RetryPercent: 10}
	open := queue
	open.Name, open.Open = "open", true
	hash := sha256.Sum256([]byte("secret"))
	index := config.NewIndex(&config.Site{
		Queues: []config.Queue{queue, open},
		Teams:  []config.Team{{Name: "red", Share: 1, Limit: 10}, {Name: "blue", Share: 1, Limit: 10}},
		Keys:   []config.Key{{ID: "k1", Team: "red", SHA256: hash}, {ID: "k2", Team: "blue", SHA256: hash}},
	}, 7)
	ctl.snap.Store(&control.Snapshot{Site: index, Current: true, Ready: true,
		Peers: map[model.EntryVM]control.PeerState{"e2": {DC: "a", Status: control.MemberAlive}}})
	minions := upstream.New(upstream.Options{})
	t.Cleanup(minions.Close)
	jobs := dispatch.New(dispatch.Config{Entry: "e1", DC: "a", Control: ctl, Minions: minions, Table: ctl, Recorder: ctl, Log: zerolog.Nop()})
	lookup := &fakeLookup{}
	cfg := Config{Entry: "e1", Dispatcher: jobs, Snapshot: ctl.Snapshot, Lookup: lookup, Log: zerolog.Nop()}
	if configure != nil {
		configure(ctl, &cfg)
	}
	api := New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- api.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, api.Shutdown(ctx))
		require.NoError(t, <-served)
	})
	return &testAPI{ctl, jobs, api, "http://" + l.Addr().String(), lookup}
}

// call sends one request; headers are name, value pairs.
func (s *testAPI) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(b)
}

func decode(t *testing.T, body string) problem.Problem {
	t.Helper()
	var p problem.Problem
	require.NoError(t, json.Unmarshal([]byte(body), &p), body)
	return p
}

// Guards against failures on the path of a request from the caller to a minion and back.
func TestRequestEndToEnd(t *testing.T) {
	s := newTestAPI(t, minion, nil)
	resp, body := s.call(t, "POST", "/v1/queues/quotes/requests", "saddle", "Authorization", "Bearer "+goodKey)
	require.Equal(t, 200, resp.StatusCode, body)
	require.Equal(t, "SADDLE", body)
	require.Equal(t, "ran", resp.Header.Get("X-Outcome"))
	require.Equal(t, "text/x-quote", resp.Header.Get("Content-Type"))
	id := resp.Header.Get("X-Job-Id")
	resp, body = s.call(t, "GET", "/v1/jobs/"+id, "", "Authorization", "Bearer "+goodKey)
	require.Equal(t, 200, resp.StatusCode, body)
	require.Contains(t, body, `"state":"ran"`)
	resp, body = s.call(t, "GET", "/v1/jobs/"+id+"/answer", "", "Authorization", "Bearer "+goodKey)
	require.Equal(t, 200, resp.StatusCode, body)
	require.Equal(t, "SADDLE", body)
}

// Guards against a job id whose time is before the acceptance: gaps in the report are told by the
// time of the id, and the record of a job whose body took long is added only once it is there.
func TestJobIDHasTheTimeOfTheAcceptance(t *testing.T) {
	s := newTestAPI(t, minion, nil)
	r, w := io.Pipe()
	var complete time.Time
	go func() {
		_, _ = io.WriteString(w, "sad")
		time.Sleep(300 * time.Millisecond)
		complete = time.Now()
		_, _ = io.WriteString(w, "dle")
		_ = w.Close()
	}()
	req, err := http.NewRequest("POST", s.url+"/v1/queues/quotes/requests", r)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+goodKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
	id, err := ulid.ParseStrict(strings.TrimSuffix(resp.Header.Get("X-Job-Id"), "-e1"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, id.Time(), ulid.Timestamp(complete))
}

// Guards against refusals with the wrong status or reason, or without the outcome "not
// run".
func TestRefusals(t *testing.T) {
	s := newTestAPI(t, minion, nil)
	auth := []string{"Authorization", "Bearer " + goodKey}
	for name, c := range map[string]struct {
		queue, body string
		headers     []string
		status      int
		reason      model.Reason
	}{
		"no key":          {"quotes", "x", nil, 401, model.ReasonKeyMissing},
		"wrong secret":    {"quotes", "x", []string{"Authorization", "Bearer k1.wrong"}, 401, model.ReasonKeyUnknown},
		"unknown key id":  {"quotes", "x", []string{"Authorization", "Bearer k9.secret"}, 401, model.ReasonKeyUnknown},
		"malformed key":   {"quotes", "x", []string{"Authorization", "Basic abc"}, 400, model.ReasonBadRequest},
		"unknown queue":   {"none", "x", auth, 404, model.ReasonUnknownQueue},
		"large body":      {"quotes", strings.Repeat("x", 65), auth, 413, model.ReasonBodyTooLarge},
		"bad deadline":    {"quotes", "x", append([]string{"X-Deadline-Ms", "0"}, auth...), 400, model.ReasonBadRequest},
		"long deadline":   {"quotes", "x", append([]string{"X-Deadline-Ms", "60001"}, auth...), 400, model.ReasonBadRequest},
		"bad priority":    {"quotes", "x", append([]string{"X-Priority", "high"}, auth...), 400, model.ReasonBadRequest},
		"bad idempotent":  {"quotes", "x", append([]string{"X-Idempotent", "no"}, auth...), 400, model.ReasonBadRequest},
		"two request ids": {"quotes", "x", append([]string{"X-Request-Id", "a", "X-Request-Id", "b"}, auth...), 400, model.ReasonBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := s.call(t, "POST", "/v1/queues/"+c.queue+"/requests", c.body, c.headers...)
			require.Equal(t, c.status, resp.StatusCode, body)
			require.Equal(t, problem.ContentType, resp.Header.Get("Content-Type"))
			p := decode(t, body)
			require.Equal(t, c.reason, p.Reason)
			require.Equal(t, model.OutcomeNotRun, p.Outcome)
			_, err := p.JobID.Entry()
			require.NoError(t, err)
		})
	}
	resp, _ := s.call(t, "GET", "/nothing", "")
	require.Equal(t, 404, resp.StatusCode)
}

// Guards against slow callers that occupy connections, and against treating a truncated
// body as complete.
func TestSlowAndBrokenBodies(t *testing.T) {
	var ran atomic.Int32
	s := newTestAPI(t, func(w http.ResponseWriter, r *http.Request) { ran.Add(1); minion(w, r) },
		func(_ *fakeControl, c *Config) { c.BodyTimeout = 50 * time.Millisecond })
	send := func(closeWrite bool) *http.Response {
		c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = fmt.Fprintf(c, "POST /v1/queues/open/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
		require.NoError(t, err)
		if closeWrite {
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return resp
	}
	resp := send(false)
	b, _ := io.ReadAll(resp.Body)
	require.Equal(t, 408, resp.StatusCode)
	require.Equal(t, model.OutcomeNotRun, decode(t, string(b)).Outcome)
	resp = send(true)
	b, _ = io.ReadAll(resp.Body)
	require.Equal(t, 400, resp.StatusCode)
	require.Equal(t, model.ReasonBodyIncomplete, decode(t, string(b)).Reason)
	require.Zero(t, ran.Load())
}

// Guards against bodies that together take more memory than there is for them: a request without room is
// refused, says so, and is served once there is room.
func TestNoRoomForABody(t *testing.T) {
	arrived, gate := make(chan struct{}, 2), make(chan struct{})
	s := newTestAPI(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			arrived <- struct{}{}
			<-gate
		}
		minion(w, r)
	}, func(_ *fakeControl, c *Config) {
		c.Bounds = ingress.NewGuard("test", ingress.Limits{Connections: 10, Bytes: 60, ProcessingBytes: 60}, time.Second, zerolog.Nop())
	})
	const path = "/v1/queues/open/requests"
	first := make(chan int, 1)
	go func() {
		resp, _ := s.call(t, "POST", path, strings.Repeat("x", 40))
		first <- resp.StatusCode
	}()
	<-arrived
	resp, body := s.call(t, "POST", path, strings.Repeat("x", 40))
	require.Equal(t, 429, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Equal(t, model.OutcomeNotRun, decode(t, body).Outcome)
	close(gate)
	require.Equal(t, 200, <-first)
	resp, _ = s.call(t, "POST", path, strings.Repeat("x", 40))
	require.Equal(t, 200, resp.StatusCode)
	resp, body = s.call(t, "POST", path, strings.Repeat("x", 61))
	require.Equal(t, 413, resp.StatusCode, "it never fits")
	require.Equal(t, model.ReasonBodyTooLarge, decode(t, body).Reason)
}

// Guards against a team that reads or cancels another team's job, and against access
// without a key to jobs of queues that need one.
func TestJobsOfOtherTeams(t *testing.T) {
	s := newTestAPI(t, minion, nil)
	resp, _ := s.call(t, "POST", "/v1/queues/quotes/requests", "x", "Authorization", "Bearer "+goodKey)
	id := resp.Header.Get("X-Job-Id")
	for _, m := range []string{"GET", "DELETE"} {
		resp, body := s.call(t, m, "/v1/jobs/"+id, "", "Authorization", "Bearer k2.secret")
		require.Equal(t, 404, resp.StatusCode, body)
		resp, body = s.call(t, m, "/v1/jobs/"+id, "")
		require.Equal(t, 401, resp.StatusCode, body)
	}
	resp, _ = s.call(t, "GET", "/v1/jobs/"+id+"/answer", "", "Authorization", "Bearer k2.secret")
	require.Equal(t, 404, resp.StatusCode)
	resp, _ = s.call(t, "POST", "/v1/queues/open/requests", "x")
	resp, body := s.call(t, "GET", "/v1/jobs/"+resp.Header.Get("X-Job-Id")+"/answer", "")
	require.Equal(t, 200, resp.StatusCode, body)
}

// Guards against failing to cancel a queued job, and against cancelling one that has ended.
func TestAsyncAndCancel(t *testing.T) {
	s := newTestAPI(t, minion, func(f *fakeControl, _ *Config) { f.hold = make(chan struct{}) })
	post := func() string {
		resp, body := s.call(t, "POST", "/v1/queues/open/requests", "x", "Prefer", "respond-async")
		require.Equal(t, 202, resp.StatusCode, body)
		return resp.Header.Get("Location")
	}
	loc := post()
	resp, _ := s.call(t, "GET", loc+"/answer", "")
	require.Equal(t, 202, resp.StatusCode)
	resp, body := s.call(t, "DELETE", loc, "")
	require.Equal(t, 200, resp.StatusCode, body)
	require.Contains(t, body, `"outcome":"not_run"`)
	resp, _ = s.call(t, "DELETE", loc, "")
	require.Equal(t, 409, resp.StatusCode)

	loc = post()
	close(s.ctl.hold)
	require.Eventually(t, func() bool {
		resp, _ := s.call(t, "GET", loc+"/answer", "")
		return resp.StatusCode == 200
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against jobs that can only be queried at the entry VM that accepted them.
func TestJobOfOtherEntryVM(t *testing.T) {
	s := newTestAPI(t, minion, nil)
	id := model.NewJobID(time.Now(), "e2")
	s.lookup.rep = peer.JobGetReply{Found: true, Steps: []model.Record{{Job: id, Team: "red"}},
		Result: model.Result{Job: id, State: model.StateRan, Status: 200, Body: []byte("far")}}
	path := "/v1/jobs/" + string(id)
	resp, body := s.call(t, "GET", path+"/answer", "", "Authorization", "Bearer "+goodKey)
	require.Equal(t, 200, resp.StatusCode, body)
	require.Equal(t, "far", body)
	resp, _ = s.call(t, "GET", path, "", "Authorization", "Bearer k2.secret")
	require.Equal(t, 404, resp.StatusCode)
	resp, body = s.call(t, "DELETE", path, "", "Authorization", "Bearer "+goodKey)
	require.Equal(t, 200, resp.StatusCode, body)
	resp, _ = s.call(t, "GET", "/v1/jobs/"+string(model.NewJobID(time.Now(), "e9")), "")
	require.Equal(t, 404, resp.StatusCode)
}

// Guards against a shutdown that interrupts a request, and against refusals during the
// shutdown that do not name it as the reason.
func TestGracefulShutdown(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := newTestAPI(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		minion(w, r)
	}, nil)
	got := make(chan string, 1)
	go func() {
		resp, err := http.Post(s.url+"/v1/queues/open/requests", "text/plain", strings.NewReader("late"))
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		got <- string(b)
	}()
	<-started
	snap := *s.ctl.snap.Load()
	snap.Leaving = true
	s.ctl.snap.Store(&snap)
	s.jobs.BeginDrain()
	resp, body := s.call(t, "POST", "/v1/queues/open/requests", "x")
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, model.ReasonShuttingDown, decode(t, body).Reason)
	resp, _ = s.call(t, "GET", "/readyz", "")
	require.Equal(t, 503, resp.StatusCode)
	resp, _ = s.call(t, "GET", "/healthz", "")
	require.Equal(t, 200, resp.StatusCode)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.api.Shutdown(ctx) }()
	close(release)
	require.Equal(t, "LATE", <-got)
	require.NoError(t, <-shutdown)
	require.NoError(t, s.jobs.Wait(ctx))
}

// Guards against header values that crash the parser or exceed its limits.
func FuzzParseHeaders(f *testing.F) {
	f.Add("Bearer a.b", "id", "false", "urgent", "100", "respond-async, wait=1")
	f.Add("", "", "", "", "", "")
	f.Add("bearer  x", "\x00", "FALSE", "é", "-1", ";;,respond-async;x")
	f.Fuzz(func(t *testing.T, key, id, idempotent, priority, deadline, prefer string) {
		h := http.Header{}
		h.Set("Authorization", key)
		h.Set("X-Request-Id", id)
		h.Set("X-Idempotent", idempotent)
		h.Set("X-Priority", priority)
		h.Set("X-Deadline-Ms", deadline)
		h.Set("Prefer", prefer)
		in, _, err := parseHeaders(h)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(in.RequestID), dispatch.MaxRequestID)
		require.Equal(t, id, in.RequestID)
		require.True(t, in.Deadline >= 0 && in.Deadline <= maxDeadlineMs*time.Millisecond)
		require.Contains(t, []model.Priority{model.PriorityNormal, model.PriorityUrgent}, in.Priority)
		require.Equal(t, strings.EqualFold(idempotent, "false"), !in.Idempotent)
		if in.Key != "" {
			keyID, secret, ok := strings.Cut(in.Key, ".")
			require.True(t, ok && keyID != "" && secret != "")
		}
	})
}
