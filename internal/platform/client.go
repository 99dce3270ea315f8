package platform

import (
	"bytes"
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
	DefaultCallTimeout = time.Second
	DefaultBudgetWait  = time.Second
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
	// BudgetWait bounds how long a call waits for the budget; 0 selects DefaultBudgetWait.
	BudgetWait time.Duration
	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	Log  zerolog.Logger
}

// OptionsOf returns the options of a daemon with the given settings.
func OptionsOf(s *settings.Settings, log zerolog.Logger) Options {
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
	if o.BudgetWait == 0 {
		o.BudgetWait = DefaultBudgetWait
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	c := &Client{opt: o, writes: newBudget(o.WritesPerSecond, o.BudgetWait),
		reads: newBudget(o.ReadsPerSecond, o.BudgetWait), log: o.Log}
	c.breaker = newBreaker(c.opened)
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

// call is one call of the protocol.
type call struct {
	op     string // for errors and counters
	prio   Priority
	write  bool
	method string
	path   string
	query  url.Values
	in     any // request body, nil for none
	out    any // answer, filled on status 200
}

// do passes a call through the budget and the breaker and sends it.
func (c *Client) do(ctx context.Context, x call) error {
	err := c.admitAndSend(ctx, x)
	countCall(x.op, err)
	return err
}

func (c *Client) admitAndSend(ctx context.Context, x call) error {
	var body []byte
	if x.in != nil {
		var err error
		if body, err = json.Marshal(x.in); err != nil {
			return &callError{op: x.op, kind: ErrRejected, cause: err}
		}
	}
	if c.breaker.blocked() {
		return &callError{op: x.op, kind: ErrBudget, cause: errBreakerOpen}
	}
	b := c.reads
	if x.write {
		b = c.writes
	}
	if err := b.take(ctx, x.prio); err != nil {
		return &callError{op: x.op, kind: ErrBudget, cause: err}
	}
	gen, ok := c.breaker.allow()
	if !ok {
		return &callError{op: x.op, kind: ErrBudget, cause: errBreakerOpen}
	}
	start := time.Now()
	h, err := c.send(ctx, x, body)
	latency.add(time.Since(start))
	c.breaker.report(gen, h)
	return err
}

// send performs the HTTP exchange and classifies its result.
func (c *Client) send(parent context.Context, x call, body []byte) (health, error) {
	ctx, cancel := context.WithTimeout(parent, c.opt.CallTimeout)
	defer cancel()
	var trace sendTrace
	u := c.opt.BaseURL + x.path
	if len(x.query) > 0 {
		u += "?" + x.query.Encode()
	}
	req, err := http.NewRequestWithContext(trace.context(ctx), x.method, u, bytes.NewReader(body))
	if err != nil {
		return healthNeutral, &callError{op: x.op, kind: ErrRejected, cause: err}
	}
	req.Header.Set(HeaderClient, c.opt.ClientName)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return c.lost(parent, x, err, trace.nothingSent())
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return c.lost(parent, x, err, false)
	}
	return c.answered(parent, x, res, data)
}

// lost classifies a call without a whole answer.
func (c *Client) lost(parent context.Context, x call, cause error, nothingSent bool) (health, error) {
	// Other idle connections may be silent like this one; new ones may work.
	c.pool.CloseIdleConnections()
	h := healthDown
	if errors.Is(parent.Err(), context.Canceled) {
		h = healthNeutral
	}
	kind := ErrUnavailable
	if x.write && !nothingSent {
		kind = ErrUnknownOutcome
	}
	return h, &callError{op: x.op, kind: kind, cause: cause}
}

// answered classifies a whole answer.
func (c *Client) answered(parent context.Context, x call, res *http.Response, data []byte) (health, error) {
	if res.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, x.out); err != nil {
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
		return healthUp, &callError{op: x.op, kind: &ConflictError{Rows: a.Rows}, cause: cause}
	case CodeObjectDiffers:
		return healthUp, &callError{op: x.op, kind: ErrConflict, cause: cause}
	case CodeNotFound:
		return healthUp, &callError{op: x.op, kind: ErrNotFound, cause: cause}
	case CodeBadRequest:
		return healthUp, &callError{op: x.op, kind: ErrRejected, cause: cause}
	case CodeRateLimit:
		// The service works; the budgets of all clients together exceed its limit.
		return healthUp, &callError{op: x.op, kind: ErrUnavailable, cause: cause}
	}
	return healthDown, &callError{op: x.op, kind: ErrUnavailable, cause: cause}
}

// tableClient implements Table.
type tableClient struct{ c *Client }

func (t tableClient) Get(ctx context.Context, p Priority, key string) (Row, error) {
	var r Row
	err := t.c.do(ctx, call{op: "get", prio: p, method: http.MethodGet, path: PathRow,
		query: url.Values{"key": {key}}, out: &r})
	return r, err
}

func (t tableClient) Scan(ctx context.Context, p Priority, prefix string, limit int) ([]Row, error) {
	var a RowsAnswer
	err := t.c.do(ctx, call{op: "scan", prio: p, method: http.MethodGet, path: PathRows,
		query: url.Values{"prefix": {prefix}, "limit": {fmt.Sprint(limit)}}, out: &a})
	return a.Rows, err
}

func (t tableClient) Commit(ctx context.Context, p Priority, x Txn) (map[string]uint64, error) {
	var a TxnAnswer
	err := t.c.do(ctx, call{op: "commit", prio: p, write: true, method: http.MethodPost, path: PathTxn,
		in: x, out: &a})
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
	return o.c.do(ctx, call{op: "put_object", prio: p, write: true, method: http.MethodPut, path: PathObject,
		in: Object{Name: name, Data: data}, out: &a})
}

func (o objectsClient) Get(ctx context.Context, p Priority, name string) ([]byte, error) {
	var a Object
	err := o.c.do(ctx, call{op: "get_object", prio: p, method: http.MethodGet, path: PathObject,
		query: url.Values{"name": {name}}, out: &a})
	return a.Data, err
}

func (o objectsClient) List(ctx context.Context, p Priority, prefix string) ([]string, error) {
	var a NamesAnswer
	err := o.c.do(ctx, call{op: "list_objects", prio: p, method: http.MethodGet, path: PathObjects,
		query: url.Values{"prefix": {prefix}}, out: &a})
	return a.Names, err
}

// vmsClient implements VMList.
type vmsClient struct{ c *Client }

func (v vmsClient) List(ctx context.Context) ([]ListedVM, error) {
	var a VMsAnswer
	err := v.c.do(ctx, call{op: "list_vms", prio: PriorityBackground, method: http.MethodGet, path: PathVMs, out: &a})
	return a.VMs, err
}

// poolsClient implements VMPools.
type poolsClient struct{ c *Client }

func (v poolsClient) Reboot(ctx context.Context, vm, id string) error {
	var a RebootAnswer
	return v.c.do(ctx, call{op: "reboot", prio: PriorityBackground, write: true, method: http.MethodPost, path: PathReboot,
		in: Reboot{Name: vm, ID: id}, out: &a})
}

func (v poolsClient) RebootStatus(ctx context.Context, vm, id string) (RebootState, error) {
	var a RebootAnswer
	err := v.c.do(ctx, call{op: "reboot_status", prio: PriorityBackground, method: http.MethodGet, path: PathReboot,
		query: url.Values{"name": {vm}, "id": {id}}, out: &a})
	return a.State, err
}
