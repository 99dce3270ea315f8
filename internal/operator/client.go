package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/problem"
)

// ErrUnreachable means that no server answered; the request had no effect.
var ErrUnreachable = errors.New("no operator address answered")

// Timeouts of a call to one server. They exceed the server's own timeouts, so that the server's
// answer arrives first.
const (
	readCallTimeout  = readTimeout + 5*time.Second
	applyCallTimeout = applyTimeout + 5*time.Second
	dialTimeout      = 3 * time.Second
	// maxResponseBytes is the maximum size of an answer; reports are the largest ones.
	maxResponseBytes = 256 << 20
)

// Client calls the operators' API. It tries several entry VMs in order until one answers. It
// is safe for concurrent use.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client for operator addresses of the form "host:port" or
// "http://host:port", which are tried in this order.
func NewClient(servers []string, token string) (*Client, error) {
	if len(servers) == 0 {
		return nil, errors.New("no operator address given")
	}
	c := &Client{token: token, http: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		// The API does not redirect; following a redirect could send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		u, err := url.Parse(s)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, errors.Errorf("operator address %q: expected host:port or http://host:port", s)
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c, nil
}

// Check has a server check the files. Errors: *Problem, ErrUnreachable.
func (c *Client) Check(ctx context.Context, files []config.File) (r CheckResult, err error) {
	return r, c.read(ctx, http.MethodPost, "/v1/check", PlanRequest{files}, &r)
}

// Plan compares files with the configuration in force. Errors: *Problem, ErrUnreachable.
func (c *Client) Plan(ctx context.Context, files []config.File) (r PlanResult, err error) {
	return r, c.read(ctx, http.MethodPost, "/v1/plan", PlanRequest{files}, &r)
}

// Status returns the status of the site. Errors: *Problem, ErrUnreachable.
func (c *Client) Status(ctx context.Context) (r Status, err error) {
	return r, c.read(ctx, http.MethodGet, "/v1/status", nil, &r)
}

// Jobs returns the jobs that match the query. Errors: *Problem, ErrUnreachable.
func (c *Client) Jobs(ctx context.Context, q JobQuery) (r JobList, err error) {
	v := url.Values{}
	setNonEmpty(v, "team", string(q.Team))
	setNonEmpty(v, "queue", string(q.Queue))
	setNonEmpty(v, "state", string(q.State))
	if q.Limit > 0 {
		v.Set("limit", strconv.Itoa(q.Limit))
	}
	return r, c.read(ctx, http.MethodGet, withQuery("/v1/jobs", v), nil, &r)
}

// Explain returns what is known about a job. Errors: *Problem, ErrUnreachable.
func (c *Client) Explain(ctx context.Context, id model.JobID) (r Explanation, err error) {
	return r, c.read(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id))+"/explain", nil, &r)
}

// Report returns a report. Errors: *Problem, ErrUnreachable.
func (c *Client) Report(ctx context.Context, q ReportQuery) (r []byte, err error) {
	v := url.Values{}
	setNonEmpty(v, "format", string(q.Format))
	if !q.From.IsZero() {
		v.Set("from", q.From.Format(time.RFC3339Nano))
	}
	if !q.To.IsZero() {
		v.Set("to", q.To.Format(time.RFC3339Nano))
	}
	return r, c.read(ctx, http.MethodGet, withQuery("/v1/report", v), nil, &r)
}

// Version returns the build information of a server. Errors: *Problem, ErrUnreachable.
func (c *Client) Version(ctx context.Context) (r BuildInfo, err error) {
	return r, c.read(ctx, http.MethodGet, "/v1/version", nil, &r)
}

func setNonEmpty(v url.Values, name, value string) {
	if value != "" {
		v.Set(name, value)
	}
}

func withQuery(path string, v url.Values) string {
	if len(v) == 0 {
		return path
	}
	return path + "?" + v.Encode()
}

// read makes a call without side effects. If a server does not answer or answers with a status
// of 500 or above, the next server is tried.
func (c *Client) read(ctx context.Context, method, path string, body, result any) error {
	var last error
	for _, s := range c.servers {
		err := c.call(ctx, readCallTimeout, s, method, path, body, result)
		var p *Problem
		if err == nil || (errors.As(err, &p) && p.Status < http.StatusInternalServerError) || ctx.Err() != nil {
			return err
		}
		last = err
	}
	var p *Problem
	if errors.As(last, &p) {
		return last
	}
	return errors.Wrap(ErrUnreachable, last.Error())
}

// Apply applies files. Every attempt has the same apply id and base version, so that the
// daemons store the files at most once and an attempt can be repeated even if the outcome of
// the previous one is unknown. A success or a conflict is final. Any other refusal is final
// only if no earlier attempt has an unknown outcome.
//
// Errors: *Problem (nothing applied), ErrUnreachable (nothing applied), ErrOutcomeUnknown.
func (c *Client) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	var last, unknown error
	for _, s := range c.servers {
		var result ApplyResult
		err := c.call(ctx, applyCallTimeout, s, http.MethodPost, "/v1/apply", r, &result)
		if err == nil && result.Version == 0 {
			err = errors.Errorf("%s: answer without a version", s)
		}
		switch classify(err) {
		case outcomeFinal:
			return result, err
		case outcomeRefused:
			if unknown == nil {
				return result, err
			}
		case outcomeNotApplied:
			last = err
		case outcomeUnknown:
			unknown = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unknown != nil {
		return ApplyResult{}, errors.Wrap(ErrOutcomeUnknown, unknown.Error())
	}
	var p *Problem
	if errors.As(last, &p) {
		return ApplyResult{}, last
	}
	return ApplyResult{}, errors.Wrap(ErrUnreachable, last.Error())
}

// applyOutcome classifies the result of one attempt to apply.
type applyOutcome int

const (
	// outcomeFinal: applied, or a conflict, which rules out that the apply id was stored.
	outcomeFinal applyOutcome = iota
	// outcomeRefused: nothing was applied, and every other server would refuse too.
	outcomeRefused
	// outcomeNotApplied: nothing was applied; another server may succeed.
	outcomeNotApplied
	// outcomeUnknown: the files may have been applied.
	outcomeUnknown
)

func classify(err error) applyOutcome {
	var p *Problem
	switch {
	case err == nil:
		return outcomeFinal
	case errors.Is(err, errNotSent):
		return outcomeNotApplied
	case !errors.As(err, &p):
		return outcomeUnknown
	case p.Type == TypeConflict:
		return outcomeFinal
	case p.Type == TypeNotApplied:
		return outcomeNotApplied
	case p.Status >= http.StatusBadRequest && p.Status < http.StatusInternalServerError:
		return outcomeRefused
	}
	return outcomeUnknown
}

// errNotSent means that the request was not sent, for example because no connection was made.
var errNotSent = errors.New("not sent")

// call sends one request to one server. Errors: *Problem for an answer other than 200;
// errNotSent; any other error means that the request may have been processed.
func (c *Client) call(ctx context.Context, timeout time.Duration, server, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(errNotSent, err.Error())
		}
		payload = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, payload)
	if err != nil {
		return errors.Wrap(errNotSent, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return classifySendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "%s: answer", server)
	}
	if resp.StatusCode != http.StatusOK {
		return responseProblem(server, resp, data)
	}
	if raw, ok := result.(*[]byte); ok {
		*raw = data
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, result), "%s: answer", server)
}

// classifySendError returns errNotSent if no connection was made, and err itself otherwise.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(errNotSent, err.Error())
	}
	return err
}

// responseProblem returns the problem document of an answer. An answer without one does not
// come from the API, so it does not show whether the request was processed.
func responseProblem(server string, resp *http.Response, data []byte) error {
	p := &Problem{}
	media, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	if media != problem.ContentType || json.Unmarshal(data, p) != nil || p.Status != resp.StatusCode {
		return errors.Errorf("%s: answer %s without a problem document", server, resp.Status)
	}
	if p.Status == http.StatusUnauthorized {
		p.Detail = fmt.Sprintf("%s: %s", server, p.Detail)
	}
	return p
}
