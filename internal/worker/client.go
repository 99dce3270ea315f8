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
	// DefaultCallTimeout bounds one call. It is well below the lease of an attempt, so
	// that a renewal can be repeated before the lease lapses.
	DefaultCallTimeout = 2 * time.Second
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 32 << 20
	// maxConnections bounds the connections to one worker.
	maxConnections = 8
	idleTimeout    = 30 * time.Second

	headerNotStarted = "X-Not-Started"
)

// calls counts calls by operation and outcome.
var calls = expvar.NewMap("worker_calls")

// Options configure a client.
type Options struct {
	// CallTimeout bounds one call; 0 selects DefaultCallTimeout.
	CallTimeout time.Duration
	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client calls workers. Its methods are safe for concurrent use; addr is the worker's
// "IP:port".
type Client struct {
	http *http.Client
	pool *http.Transport
	opt  Options
}

// NewClient returns a client. It opens no connection.
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

// Start starts an attempt. Repeating the start of an attempt returns its state. Errors:
// ErrNotReached, ErrNotStarted, ErrRejected (certainly not started); ErrAnswerLost.
func (c *Client) Start(ctx context.Context, addr string, s Start) (Task, error) {
	return c.do(ctx, "start", addr, http.MethodPost, "/tasks", s)
}

// Renew extends the lease of an attempt from now. Errors: ErrNotReached, ErrAnswerLost,
// ErrNoTask, ErrEnded.
func (c *Client) Renew(ctx context.Context, addr string, id model.JobID, attempt int, lease time.Duration) (Task, error) {
	return c.command(ctx, "renew", addr, id, command{Attempt: attempt, LeaseMS: lease.Milliseconds()})
}

// Checkpoint takes a checkpoint, and with stop ends the attempt at exactly this point.
// Errors: as Renew.
func (c *Client) Checkpoint(ctx context.Context, addr string, id model.JobID, attempt int, stop bool) (Task, error) {
	return c.command(ctx, "checkpoint", addr, id, command{Attempt: attempt, Stop: stop})
}

// Throttle sets the speed of an attempt in percent. Errors: as Renew.
func (c *Client) Throttle(ctx context.Context, addr string, id model.JobID, attempt, percent int) (Task, error) {
	return c.command(ctx, "throttle", addr, id, command{Attempt: attempt, Percent: percent})
}

// Stop ends an attempt. Errors: as Renew.
func (c *Client) Stop(ctx context.Context, addr string, id model.JobID, attempt int) (Task, error) {
	return c.command(ctx, "stop", addr, id, command{Attempt: attempt})
}

// List returns the tasks that the worker knows, with lagging usage. Errors:
// ErrNotReached, ErrAnswerLost.
func (c *Client) List(ctx context.Context, addr string) ([]Task, error) {
	var l listing
	err := c.exchange(ctx, "list", addr, http.MethodGet, "/tasks", nil, &l)
	return l.Tasks, err
}

func (c *Client) command(ctx context.Context, op, addr string, id model.JobID, x command) (Task, error) {
	return c.do(ctx, op, addr, http.MethodPost, "/tasks/"+url.PathEscape(string(id))+"/"+op, x)
}

func (c *Client) do(ctx context.Context, op, addr, method, path string, in any) (Task, error) {
	var t Task
	err := c.exchange(ctx, op, addr, method, path, in, &t)
	return t, err
}

// exchange performs one call, counts it and classifies its result.
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
	// Without a connection nothing was sent; with one, bytes may have left.
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
		return c.lost(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return c.lost(err)
	}
	return c.answered(resp, data, out)
}

// lost handles a missing answer: other idle connections may be silent like this one.
func (c *Client) lost(cause error) error {
	c.pool.CloseIdleConnections()
	return errors.Wrap(ErrAnswerLost, cause.Error())
}

func (c *Client) answered(resp *http.Response, data []byte, out any) error {
	notStarted := resp.Header.Get(headerNotStarted) == "true"
	switch {
	case resp.StatusCode == http.StatusOK:
		return c.decode(data, out)
	case notStarted:
		return errors.Wrap(ErrNotStarted, strconv.Itoa(resp.StatusCode)+" "+string(data[:min(len(data), 200)]))
	case resp.StatusCode == http.StatusNotFound:
		return ErrNoTask
	case resp.StatusCode == http.StatusConflict:
		if err := c.decode(data, out); err != nil {
			return err
		}
		return ErrEnded
	case resp.StatusCode == http.StatusBadRequest:
		return errors.Wrap(ErrRejected, string(data[:min(len(data), 200)]))
	}
	return errors.Wrapf(ErrAnswerLost, "status %d", resp.StatusCode)
}

func (c *Client) decode(data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return c.lost(err)
	}
	return nil
}
