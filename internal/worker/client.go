package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/model"
)

const (
	// DefaultCallTimeout limits one call. It is well below the lease of an attempt, so
	// that a failed renewal can be repeated before the lease expires.
	DefaultCallTimeout = 2 * time.Second
	// maxAnswer limits the body of a response, in bytes; the rest is not read.
	maxAnswer = 32 << 20
	// maxConnections limits the connections to one worker.
	maxConnections = 8
	idleTimeout    = 30 * time.Second

	headerNotStarted = "X-Not-Started"
)

// calls counts calls by operation and outcome, such as "start_ok".
var calls = expvar.NewMap("worker_calls")

// Options configures a Client.
type Options struct {
	// CallTimeout limits one call; 0 selects DefaultCallTimeout.
	CallTimeout time.Duration
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client calls workers. Its methods are safe for concurrent use; addr is the worker's
// "IP:port".
type Client struct {
	http *http.Client
	pool *http.Transport
	opt  Options
}

// NewClient returns a client, which connects to a worker with the first call.
func NewClient(o Options) *Client {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	t := &http.Transport{DialContext: o.Dial, MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &Client{opt: o, pool: t, http: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.CloseIdleConnections() }

// Start starts an attempt. Starting the same attempt again only returns its state. Errors:
// ErrNotReached, ErrNotStarted, ErrRejected (certainly not started); ErrAnswerLost.
func (c *Client) Start(ctx context.Context, addr string, s Start) (Task, error) {
	return c.do(ctx, "start", addr, http.MethodPost, "/tasks", s)
}

// Renew renews the lease of an attempt, counted from now. Errors: ErrNotReached,
// ErrAnswerLost, ErrTaskNotFound, ErrAttemptEnded.
func (c *Client) Renew(ctx context.Context, addr string, id model.JobID, attempt int, lease time.Duration) (Task, error) {
	return c.command(ctx, "renew", addr, id, commandRequest{Attempt: attempt, LeaseMS: lease.Milliseconds()})
}

// Checkpoint takes a checkpoint. With stop it also ends the attempt, which does no work
// after the checkpoint. Errors: as Renew.
func (c *Client) Checkpoint(ctx context.Context, addr string, id model.JobID, attempt int, stop bool) (Task, error) {
	return c.command(ctx, "checkpoint", addr, id, commandRequest{Attempt: attempt, Stop: stop})
}

// Throttle sets the speed of an attempt in percent. Errors: as Renew.
func (c *Client) Throttle(ctx context.Context, addr string, id model.JobID, attempt, percent int) (Task, error) {
	return c.command(ctx, "throttle", addr, id, commandRequest{Attempt: attempt, Percent: percent})
}

// Stop ends an attempt. Errors: as Renew.
func (c *Client) Stop(ctx context.Context, addr string, id model.JobID, attempt int) (Task, error) {
	return c.command(ctx, "stop", addr, id, commandRequest{Attempt: attempt})
}

// List returns the tasks that the worker knows. Their usage lags by some seconds. Errors:
// ErrNotReached, ErrAnswerLost.
func (c *Client) List(ctx context.Context, addr string) ([]Task, error) {
	var l taskList
	err := c.exchange(ctx, "list", addr, http.MethodGet, "/tasks", nil, &l)
	return l.Tasks, err
}

func (c *Client) command(ctx context.Context, op, addr string, id model.JobID, x commandRequest) (Task, error) {
	return c.do(ctx, op, addr, http.MethodPost, "/tasks/"+url.PathEscape(string(id))+"/"+op, x)
}

func (c *Client) do(ctx context.Context, op, addr, method, path string, in any) (Task, error) {
	var t Task
	err := c.exchange(ctx, op, addr, method, path, in, &t)
	return t, err
}

// exchange makes one call, counts it by outcome and converts a failure to one of the
// package's errors.
func (c *Client) exchange(ctx context.Context, op, addr, method, path string, in, out any) (err error) {
	defer func() { calls.Add(op+"_"+outcomeName(err), 1) }()
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(ErrRejected, err.Error())
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opt.CallTimeout)
	defer cancel()
	// Without a connection nothing was sent; with one, part of the request may have been.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return errors.Wrap(ErrNotReached, err.Error())
		}
		return c.answerLost(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return c.answerLost(err)
	}
	return c.handleResponse(resp, data, out)
}

// answerLost returns ErrAnswerLost. It closes the idle connections, which may be dead like the
// one of the failed call.
func (c *Client) answerLost(cause error) error {
	c.pool.CloseIdleConnections()
	return errors.Wrap(ErrAnswerLost, cause.Error())
}

func (c *Client) handleResponse(resp *http.Response, data []byte, out any) error {
	notStarted := resp.Header.Get(headerNotStarted) == "true"
	switch {
	case resp.StatusCode == http.StatusOK:
		return c.decode(data, out)
	case notStarted:
		return errors.Wrap(ErrNotStarted, strconv.Itoa(resp.StatusCode)+" "+string(data[:min(len(data), 200)]))
	case resp.StatusCode == http.StatusNotFound:
		return ErrTaskNotFound
	case resp.StatusCode == http.StatusConflict:
		if err := c.decode(data, out); err != nil {
			return err
		}
		return ErrAttemptEnded
	case resp.StatusCode == http.StatusBadRequest:
		return errors.Wrap(ErrRejected, string(data[:min(len(data), 200)]))
	}
	return errors.Wrapf(ErrAnswerLost, "status %d", resp.StatusCode)
}

func (c *Client) decode(data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return c.answerLost(err)
	}
	return nil
}
