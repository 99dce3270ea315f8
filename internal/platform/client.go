package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"boragepulley/internal/settings"
)

// Defaults of Options.
const (
	DefaultCallTimeout   = time.Second
	DefaultRateLimitWait = time.Second
	// maxConnections bounds the connections of a client to the platform.
	maxConnections = 16
	idleTimeout    = 30 * time.Second
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 64 << 20
)

// Options configure a client.
type Options struct {
	// BaseURL is the "http://IP:port" of the platform.
	BaseURL string
	// ClientName is sent with every call: "<data centre>/<entry VM>".
	ClientName string
	// WritesPerSecond and ReadsPerSecond are this client's part of the site's budget. The
	// burst is two seconds of it.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// CallTimeout bounds a call from its sending to the end of its answer; 0 selects
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// MinSmallCallTimeout is the shortest time limit of a small call; 0 selects CallTimeout.
	MinSmallCallTimeout time.Duration
	// RateLimitWait bounds how long a call waits for the rate limiter; 0 selects
	// DefaultRateLimitWait.
	RateLimitWait time.Duration
	// MaxBreakerBackoff bounds the back-off between two probes of a platform that does not answer;
	// 0 selects the default.
	MaxBreakerBackoff time.Duration
	// ProbeOnlyByReads lets only reads without a Wait probe an open circuit breaker: the outcome
	// of an unanswered write would be unknown, and its caller could not be told that nothing
	// was done. The owner of the client has to issue reads while calls fail.
	ProbeOnlyByReads bool
	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	Log  zerolog.Logger
}

// OptionsFromSettings returns the options of a daemon with the given settings.
func OptionsFromSettings(s *settings.Settings, log zerolog.Logger) Options {
	return Options{
		BaseURL:         s.PlatformURL,
		ClientName:      string(s.DC) + "/" + string(s.Name),
		WritesPerSecond: s.WriteBudget(),
		ReadsPerSecond:  s.ReadBudget(),
		Log:             log,
	}
}

// Client calls the platform over HTTP. Its methods are safe for concurrent use.
type Client struct {
	opt     Options
	http    *http.Client
	pool    *http.Transport
	writes  *budget
	reads   *budget
	breaker *breaker
	small   *patience
	log     zerolog.Logger
}

// NewClient returns a client. It opens no connection. Error: incomplete options.
func NewClient(o Options) (*Client, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, errors.Errorf("platform: base URL %q: want http://IP:port", o.BaseURL)
	}
	if o.WritesPerSecond <= 0 || o.ReadsPerSecond <= 0 {
		return nil, errors.New("platform: the write and read budgets must be positive")
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.RateLimitWait == 0 {
		o.RateLimitWait = DefaultRateLimitWait
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	c := &Client{opt: o, writes: newBudget(o.WritesPerSecond, o.RateLimitWait),
		reads: newBudget(o.ReadsPerSecond, o.RateLimitWait), log: o.Log}
	c.breaker = newBreaker(c.opened, o.MaxBreakerBackoff)
	c.breaker.onClose = func(away time.Duration) {
		c.log.Info().Dur("away", away).Msg("platform answers again; circuit breaker closed")
	}
	c.small = &patience{least: cmp.Or(o.MinSmallCallTimeout, o.CallTimeout), longest: o.CallTimeout}
	c.pool = &http.Transport{
		DialContext: c.dial, MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	c.http = &http.Client{Transport: c.pool, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return c, nil
}

// Services returns the client as the platform's services.
func (c *Client) Services() Services {
	return Services{Table: tableClient{c}, Objects: objectsClient{c}, VMs: vmsClient{c}, Pools: poolsClient{c}}
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.CloseIdleConnections() }

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := c.opt.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

func (c *Client) opened() {
	c.log.Warn().Msg("platform does not answer; circuit breaker opened")
	c.writes.reject(errBreakerOpen)
	c.reads.reject(errBreakerOpen)
}

// Call is one call of a platform's protocol.
type Call struct {
	Op     string // for errors and counters
	Prio   Priority
	Write  bool
	Method string
	Path   string
	Query  url.Values
	In     any // request body, encoded as JSON; nil for none
	Out    any // answer, filled on status 200
	// Wait is how long the platform may hold the call before it answers; it is added to
	// the client's time limit.
	Wait time.Duration
	// Small calls are answered fast: the client gives one up before its time limit if others
	// were answered much faster.
	Small bool
	// Classify classifies an answer of a protocol other than the client's own; nil selects the
	// client's own protocol.
	Classify func(Answer) CallResult
}

// Answer is a whole answer of the platform.
type Answer struct {
	Status int
	Body   []byte
}

// CallResult is what an answer means.
type CallResult struct {
	// Kind is nil for a call that was done, and otherwise one of this package's errors.
	Kind  error
	Cause error
	// Down means that the answer counts as a failure for the circuit breaker.
	Down bool
}

// Do passes a call through the budget and the breaker and sends it. Errors: those of
// this package.
func (c *Client) Do(ctx context.Context, x Call) error {
	err := c.admitAndSend(ctx, x)
	countCall(x.Op, err)
	return err
}

func (c *Client) admitAndSend(ctx context.Context, x Call) error {
	var body []byte
	if x.In != nil {
		var err error
		if body, err = json.Marshal(x.In); err != nil {
			return &callError{op: x.Op, kind: ErrRejected, cause: err}
		}
	}
	mayProbe := !c.opt.ProbeOnlyByReads || !x.Write && x.Wait == 0
	if c.breaker.blocked(mayProbe) {
		return &callError{op: x.Op, kind: ErrRateLimited, cause: errBreakerOpen}
	}
	b := c.reads
	if x.Write {
		b = c.writes
	}
	if err := b.take(ctx, x.Prio); err != nil {
		return &callError{op: x.Op, kind: ErrRateLimited, cause: err}
	}
	gen, ok := c.breaker.allow(mayProbe)
	if !ok {
		return &callError{op: x.Op, kind: ErrRateLimited, cause: errBreakerOpen}
	}
	start := time.Now()
	h, err := c.send(ctx, x, body)
	latency.add(time.Since(start))
	c.breaker.report(gen, h)
	return err
}

// send performs the HTTP exchange and classifies its result.
func (c *Client) send(parent context.Context, x Call, body []byte) (health, error) {
	limit := c.opt.CallTimeout + x.Wait
	if x.Small {
		limit = c.small.limit()
	}
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	began := time.Now()
	var trace sendTrace
	u := c.opt.BaseURL + x.Path
	if len(x.Query) > 0 {
		u += "?" + x.Query.Encode()
	}
	req, err := http.NewRequestWithContext(trace.context(ctx), x.Method, u, bytes.NewReader(body))
	if err != nil {
		return healthNeutral, &callError{op: x.Op, kind: ErrRejected, cause: err}
	}
	req.Header.Set(HeaderClient, c.opt.ClientName)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	var data []byte
	if err == nil {
		defer res.Body.Close()
		data, err = io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	}
	if err != nil {
		h, e := c.lost(parent, x, err, res == nil && trace.nothingSent())
		if x.Small && ctx.Err() != nil && parent.Err() == nil {
			c.small.unanswered()
			if limit < c.opt.CallTimeout {
				h = healthNeutral // a platform that is slow may have answered within the whole limit
			}
		}
		return h, e
	}
	if x.Small {
		c.small.answered(time.Since(began))
	}
	if x.Classify != nil {
		return c.judged(parent, x, Answer{Status: res.StatusCode, Body: data})
	}
	return c.answered(parent, x, res, data)
}

// judged classifies an answer of another protocol.
func (c *Client) judged(parent context.Context, x Call, a Answer) (health, error) {
	v := x.Classify(a)
	switch {
	case v.Kind == nil:
		return healthUp, nil
	case errors.Is(v.Kind, ErrUnknownOutcome):
		return c.lost(parent, x, v.Cause, false)
	}
	h := healthUp
	if v.Down {
		h = healthDown
	}
	return h, &callError{op: x.Op, kind: v.Kind, cause: v.Cause}
}

// lost classifies a call without a whole answer.
func (c *Client) lost(parent context.Context, x Call, cause error, nothingSent bool) (health, error) {
	// Other idle connections may be silent like this one; new ones may work.
	c.pool.CloseIdleConnections()
	h := healthDown
	if errors.Is(parent.Err(), context.Canceled) {
		h = healthNeutral
	}
	kind := ErrUnavailable
	if x.Write && !nothingSent {
		kind = ErrUnknownOutcome
	}
	return h, &callError{op: x.Op, kind: kind, cause: cause}
}

// answered classifies a whole answer.
func (c *Client) answered(parent context.Context, x Call, res *http.Response, data []byte) (health, error) {
	if res.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, x.Out); err != nil {
			return c.lost(parent, x, errors.Wrap(err, "answer"), false)
		}
		return healthUp, nil
	}
	var a ErrorAnswer
	if json.Unmarshal(data, &a) != nil || res.Header.Get(HeaderNotApplied) != "true" {
		return c.lost(parent, x, fmt.Errorf("status %d", res.StatusCode), false)
	}
	cause := errors.Errorf("%s: %s", a.Code, a.Message)
	switch a.Code {
	case CodeConflict:
		return healthUp, &callError{op: x.Op, kind: &ConflictError{Rows: a.Rows}, cause: cause}
	case CodeObjectDiffers:
		return healthUp, &callError{op: x.Op, kind: ErrConflict, cause: cause}
	case CodeNotFound:
		return healthUp, &callError{op: x.Op, kind: ErrNotFound, cause: cause}
	case CodeBadRequest:
		return healthUp, &callError{op: x.Op, kind: ErrRejected, cause: cause}
	case CodeRateLimit:
		// The service works; the budgets of all clients together exceed its limit.
		return healthUp, &callError{op: x.Op, kind: ErrUnavailable, cause: cause}
	}
	return healthDown, &callError{op: x.Op, kind: ErrUnavailable, cause: cause}
}

// tableClient implements Table.
type tableClient struct{ c *Client }

func (t tableClient) Get(ctx context.Context, p Priority, key string) (Row, error) {
	var r Row
	err := t.c.Do(ctx, Call{Op: "get", Prio: p, Method: http.MethodGet, Path: PathRow,
		Query: url.Values{"key": {key}}, Out: &r})
	return r, err
}

func (t tableClient) Scan(ctx context.Context, p Priority, prefix string, limit int) ([]Row, error) {
	var a RowsAnswer
	err := t.c.Do(ctx, Call{Op: "scan", Prio: p, Method: http.MethodGet, Path: PathRows,
		Query: url.Values{"prefix": {prefix}, "limit": {fmt.Sprint(limit)}}, Out: &a})
	return a.Rows, err
}

func (t tableClient) Commit(ctx context.Context, p Priority, x Txn) (map[string]uint64, error) {
	var a TxnAnswer
	err := t.c.Do(ctx, Call{Op: "commit", Prio: p, Write: true, Method: http.MethodPost, Path: PathTxn,
		In: x, Out: &a})
	if err != nil {
		return nil, err
	}
	return a.Versions, nil
}

// objectsClient implements Objects.
type objectsClient struct{ c *Client }

// Put stores an object. ErrConflict means that the name holds other bytes.
func (o objectsClient) Put(ctx context.Context, p Priority, name string, data []byte) error {
	var a struct{}
	return o.c.Do(ctx, Call{Op: "put_object", Prio: p, Write: true, Method: http.MethodPut, Path: PathObject,
		In: Object{Name: name, Data: data}, Out: &a})
}

func (o objectsClient) Get(ctx context.Context, p Priority, name string) ([]byte, error) {
	var a Object
	err := o.c.Do(ctx, Call{Op: "get_object", Prio: p, Method: http.MethodGet, Path: PathObject,
		Query: url.Values{"name": {name}}, Out: &a})
	return a.Data, err
}

func (o objectsClient) List(ctx context.Context, p Priority, prefix string) ([]string, error) {
	var a NamesAnswer
	err := o.c.Do(ctx, Call{Op: "list_objects", Prio: p, Method: http.MethodGet, Path: PathObjects,
		Query: url.Values{"prefix": {prefix}}, Out: &a})
	return a.Names, err
}

// vmsClient implements VMList.
type vmsClient struct{ c *Client }

func (v vmsClient) List(ctx context.Context) ([]ListedVM, error) {
	var a VMsAnswer
	err := v.c.Do(ctx, Call{Op: "list_vms", Prio: PriorityBackground, Method: http.MethodGet, Path: PathVMs, Out: &a})
	return a.VMs, err
}

// poolsClient implements VMPools.
type poolsClient struct{ c *Client }

func (v poolsClient) Reboot(ctx context.Context, vm, id string) error {
	var a RebootAnswer
	return v.c.Do(ctx, Call{Op: "reboot", Prio: PriorityBackground, Write: true, Method: http.MethodPost, Path: PathReboot,
		In: Reboot{Name: vm, ID: id}, Out: &a})
}

func (v poolsClient) RebootStatus(ctx context.Context, vm, id string) (RebootState, error) {
	var a RebootAnswer
	err := v.c.Do(ctx, Call{Op: "reboot_status", Prio: PriorityBackground, Method: http.MethodGet, Path: PathReboot,
		Query: url.Values{"name": {vm}, "id": {id}}, Out: &a})
	return a.State, err
}
