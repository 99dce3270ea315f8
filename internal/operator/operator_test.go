package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/bench/sites"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
)

const token = "operator-token-of-the-test"

// fake implements the Applier and all sources. It stores only the newest version.
type fake struct {
	mu       sync.Mutex
	document *config.Document
	applied  int
	err      error
}

func (f *fake) Apply(_ context.Context, r ApplyRequest) (ApplyResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return ApplyResult{}, f.err
	}
	head := config.Head{}
	if d := f.document; d != nil {
		head = config.Head{Version: d.Version, Digest: d.Digest, ApplyID: d.ApplyID, Operator: d.Operator, Time: d.Time}
		if d.ApplyID == r.ApplyID {
			return ApplyResult{Head: head, Repeated: true}, nil
		}
	}
	if head.Version != r.BaseVersion {
		return ApplyResult{}, errors.WithStack(&ConflictError{Head: head})
	}
	f.applied++
	f.document = &config.Document{Version: head.Version + 1, ApplyID: r.ApplyID, Operator: r.Operator, Files: r.Files, Time: time.Unix(0, 0)}
	return ApplyResult{Head: config.Head{Version: head.Version + 1, ApplyID: r.ApplyID, Operator: r.Operator}}, nil
}

func (f *fake) Document() *config.Document { return f.document }

func (f *fake) Status(context.Context) (Status, error) { return Status{Entry: "e1"}, f.err }

func (f *fake) Jobs(_ context.Context, q JobQuery) (JobList, error) {
	return JobList{Jobs: []JobSummary{{Team: q.Team, Attempts: q.Limit}}}, f.err
}

func (f *fake) Explain(_ context.Context, id model.JobID) (Explanation, error) {
	return Explanation{Job: JobSummary{Job: id}}, f.err
}

func (f *fake) Report(_ context.Context, q ReportQuery) ([]byte, error) {
	return []byte("report " + string(q.Format) + " " + q.From.Format(time.RFC3339)), f.err
}

// serve starts the API on loopback and returns its address.
func serve(t *testing.T, f *fake) string {
	t.Helper()
	h, err := NewHandler(Options{Token: token, Applier: f, Config: f, Status: f, Jobs: f, Reports: f, Log: zerolog.Nop()})
	require.NoError(t, err)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func client(t *testing.T, token string, servers ...string) *Client {
	t.Helper()
	c, err := NewClient(servers, token)
	require.NoError(t, err)
	return c
}

func request(base uint64, id string) ApplyRequest {
	return ApplyRequest{ApplyID: id, Operator: "ann", BaseVersion: base, Files: sites.Generate(sites.Options{})}
}

// Guards against access without the operators' token.
func TestTokenIsRequired(t *testing.T) {
	f := &fake{}
	url := serve(t, f)
	for _, path := range []string{"/v1/status", "/v1/jobs", "/v1/report", "/v1/version", "/debug/vars"} {
		for _, header := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + token, token, "Bearer " + token + "x"} {
			req, err := http.NewRequest(http.MethodGet, url+path, nil)
			require.NoError(t, err)
			req.Header.Set("Authorization", header)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusUnauthorized, resp.StatusCode, "%s with %q", path, header)
			require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
		}
	}
	_, err := client(t, "wrong", url).Apply(t.Context(), request(0, "apply-0001"))
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, http.StatusUnauthorized, p.Status)
	require.Zero(t, f.applied)
	resp, err := http.Get(url + "/healthz")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, err = NewHandler(Options{Applier: f, Config: f, Status: f, Jobs: f, Reports: f})
	require.Error(t, err, "an API without a token would accept every caller")
}

// Guards against a lost update between two operators, and against a conflict that does not
// name the operator and version that came first.
func TestConflictNamesOtherApply(t *testing.T) {
	f := &fake{}
	c := client(t, token, serve(t, f))
	_, err := c.Apply(t.Context(), request(0, "apply-0001"))
	require.NoError(t, err)
	_, err = c.Apply(t.Context(), request(0, "apply-0002"))
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, http.StatusConflict, p.Status)
	require.Equal(t, "version 1 was applied by ann at 1970-01-01T00:00:00Z", p.Detail)
	require.Equal(t, "apply-0001", p.Conflict.ApplyID)
	require.Equal(t, 1, f.applied)
}

// Guards against applying files with faults, and against answers that report only the first
// fault.
func TestFaultsAreRefused(t *testing.T) {
	f := &fake{}
	c := client(t, token, serve(t, f))
	r := request(0, "apply-0001")
	r.Files[4].Text += "[[team]]\nname = \"x\"\nshare = 0\nlimit = 0\n"
	_, err := c.Apply(t.Context(), r)
	var p *Problem
	require.ErrorAs(t, err, &p)
	require.Equal(t, http.StatusUnprocessableEntity, p.Status)
	require.Len(t, p.Faults.Errors(), 2)
	_, err = c.Plan(t.Context(), r.Files)
	require.ErrorAs(t, err, &p)
	_, err = c.Check(t.Context(), r.Files)
	require.ErrorAs(t, err, &p)
	require.Zero(t, f.applied)
}

// Guards against a plan that does not compare with the version in force.
func TestPlan(t *testing.T) {
	f := &fake{}
	c := client(t, token, serve(t, f))
	first, err := c.Plan(t.Context(), sites.Generate(sites.Options{}))
	require.NoError(t, err)
	require.Zero(t, first.BaseVersion)
	require.NotEmpty(t, first.Changes)
	_, err = c.Apply(t.Context(), request(0, "apply-0001"))
	require.NoError(t, err)
	next, err := c.Plan(t.Context(), sites.Generate(sites.Options{Limits: []int{7}}))
	require.NoError(t, err)
	require.EqualValues(t, 1, next.BaseVersion)
	require.Len(t, next.Changes, 1)
	require.Equal(t, "7", next.Changes[0].To)
}

// Guards against errors of the Applier and the sources that reach the client with the wrong
// status or type, or with internal details.
func TestErrorsOfSources(t *testing.T) {
	f := &fake{}
	c := client(t, token, serve(t, f))
	job := model.NewJobID(time.Unix(0, 0), "e1")
	for _, x := range []struct {
		err    error
		status int
	}{{ErrJobNotFound, 404}, {ErrUnavailable, 503}, {context.DeadlineExceeded, 503}, {errors.New("internal detail"), 500}} {
		f.err = x.err
		_, err := c.Explain(t.Context(), job)
		var p *Problem
		require.ErrorAs(t, err, &p, "%v", x.err)
		require.Equal(t, x.status, p.Status)
		require.NotContains(t, p.Detail, "internal detail")
	}
	for _, x := range []struct {
		err  error
		kind string
	}{{ErrNotApplied, TypeNotApplied}, {ErrApplyIDUsed, TypeApplyIDUsed}} {
		f.err = errors.Wrap(x.err, "store down")
		_, err := c.Apply(t.Context(), request(0, "apply-0001"))
		var p *Problem
		require.ErrorAs(t, err, &p)
		require.Equal(t, x.kind, p.Type)
	}
	for _, e := range []error{ErrOutcomeUnknown, errors.New("not classified")} {
		f.err = e
		_, err := c.Apply(t.Context(), request(0, "apply-0001"))
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	}
}

// Guards against malformed requests that reach the Applier or a source.
func TestMalformedRequests(t *testing.T) {
	f := &fake{}
	url := serve(t, f)
	post := func(path, body string) int {
		req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for _, body := range []string{"", "{", "[]", `{"files": 3}`, `{"file": []}`, `{} {}`} {
		require.Equal(t, http.StatusBadRequest, post("/v1/plan", body), "%q", body)
	}
	require.Equal(t, http.StatusBadRequest, post("/v1/apply", `{"apply_id": "x", "operator": "ann"}`))
	require.Equal(t, http.StatusBadRequest, post("/v1/apply", `{"apply_id": "apply-0001", "operator": "a\nb"}`))
	require.Equal(t, http.StatusRequestEntityTooLarge, post("/v1/apply", `{"operator": "`+strings.Repeat("x", MaxBody)+`"}`))
	require.Zero(t, f.applied)
	c := client(t, token, url)
	for _, q := range []JobQuery{{State: "lost"}, {Limit: MaxJobs + 1}} {
		_, err := c.Jobs(t.Context(), q)
		require.ErrorContains(t, err, "400")
	}
	_, err := c.Report(t.Context(), ReportQuery{Format: "pdf"})
	require.ErrorContains(t, err, "format")
	_, err = c.Explain(t.Context(), "no-job")
	require.ErrorContains(t, err, "400")
}

// Guards against query parameters that are lost or changed between client and source.
func TestQueries(t *testing.T) {
	c := client(t, token, serve(t, &fake{}))
	list, err := c.Jobs(t.Context(), JobQuery{Team: "desk", State: model.StateRan})
	require.NoError(t, err)
	require.Equal(t, JobSummary{Team: "desk", Attempts: 100}, list.Jobs[0])
	body, err := c.Report(t.Context(), ReportQuery{Format: ReportHTML, From: time.Date(2027, 1, 1, 0, 0, 0, 0, time.FixedZone("", 3600))})
	require.NoError(t, err)
	require.Equal(t, "report html 2027-01-01T00:00:00+01:00", string(body))
	v, err := c.Version(t.Context())
	require.NoError(t, err)
	require.NotEmpty(t, v.Go)
}

// dropResponses starts a server that forwards each request and then drops the connection without
// an answer.
func dropResponses(t *testing.T, to string) string {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequest(r.Method, to+r.URL.Path, r.Body)
		if err == nil {
			req.Header = r.Header
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against applying twice and against reporting an unknown outcome as known when servers
// refuse connections, drop answers or are not the API.
func TestApplyOverSeveralServers(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	other := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(other.Close)

	f := &fake{}
	up := serve(t, f)
	lossy := dropResponses(t, up)
	r, err := client(t, token, closed.URL, lossy, up).Apply(t.Context(), request(0, "apply-0001"))
	require.NoError(t, err)
	require.True(t, r.Repeated, "the first attempt was applied and only its answer was lost")
	require.Equal(t, 1, f.applied)

	_, err = client(t, token, closed.URL).Apply(t.Context(), request(1, "apply-0002"))
	require.ErrorIs(t, err, ErrUnreachable)
	_, err = client(t, token, closed.URL, lossy, closed.URL).Apply(t.Context(), request(1, "apply-0003"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	_, err = client(t, token, other.URL).Apply(t.Context(), request(2, "apply-0004"))
	require.ErrorIs(t, err, ErrOutcomeUnknown, "an answer without a problem document is not from the API")
	require.Equal(t, 2, f.applied)

	// A refusal by one server does not show the outcome of an attempt at another.
	strict := serve(t, &fake{err: ErrApplyIDUsed})
	_, err = client(t, token, lossy, strict).Apply(t.Context(), request(2, "apply-0005"))
	require.ErrorIs(t, err, ErrOutcomeUnknown)
}

// Guards against reads that fail although a later server would answer.
func TestReadOverSeveralServers(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	broken := serve(t, &fake{err: ErrUnavailable})
	s, err := client(t, token, closed.URL, broken, serve(t, &fake{})).Status(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, "e1", s.Entry)
	_, err = client(t, token, closed.URL).Status(t.Context())
	require.ErrorIs(t, err, ErrUnreachable)
	for _, bad := range [][]string{nil, {""}, {"ftp://x"}} {
		_, err := NewClient(bad, token)
		require.Error(t, err)
	}
}
