package peer

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"boragepulley/internal/model"
)

const (
	// dialTimeout limits one connection attempt.
	dialTimeout = time.Second
	// pingEvery and pingTimeout together detect an unresponsive connection within 1.5 s while
	// calls wait on it (docs/design.md, D8).
	pingEvery   = 500 * time.Millisecond
	pingTimeout = time.Second
	// backoffMin and backoffMax limit the back-off after a failed connection attempt, during
	// which calls fail immediately.
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
	// maxRetired limits the replaced connections that stay open for their calls in progress.
	// Beyond it the oldest is closed and its calls end with ErrNoAnswer.
	maxRetired = 8

	// shortTimeout limits calls that the peer answers from memory.
	shortTimeout = time.Second
	// fetchTimeout limits calls that may wait for the store or have a large body.
	fetchTimeout = 3 * time.Second
	// acquireMargin is added to the timeout of calls that may last until a request's deadline.
	acquireMargin = 500 * time.Millisecond
)

// Client calls one peer over one persistent connection. It is safe for concurrent use.
//
// After a call has timed out, the client uses a new connection for further calls. Calls in
// progress on the old connection continue until their own timeouts.
type Client struct {
	self Sender
	name model.EntryVM
	addr string
	log  zerolog.Logger

	mu      sync.Mutex
	current *link
	retired []*link
	dialing *dialAttempt
	// notBefore, backoff and lastErr are the state of the back-off after failed attempts.
	notBefore time.Time
	backoff   time.Duration
	lastErr   error
	closed    bool
}

var _ Handler = (*Client)(nil)

// NewClient returns a client for the named peer at addr ("IP:port"). It connects with the
// first call.
func NewClient(self Sender, name model.EntryVM, addr string, log zerolog.Logger) *Client {
	return &Client{self: self, name: name, addr: addr, log: log.With().Str("peer", string(name)).Logger()}
}

// link is one connection to the peer.
type link struct {
	conn  *jsonrpc2.Conn
	meter meter
	// replaced is closed when the client stops using the link for new calls.
	replaced chan struct{}
	// calls counts calls in progress; monitored is set while a goroutine pings the link.
	// Both are guarded by Client.mu.
	calls     int
	monitored bool
}

// dialAttempt is a connection attempt, shared by all calls that wait for it.
type dialAttempt struct {
	done chan struct{}
	err  error
}

// Close closes all connections; calls in progress end with ErrNoAnswer.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	links := append([]*link(nil), c.retired...)
	if c.current != nil {
		links = append(links, c.current)
		close(c.current.replaced)
	}
	c.current, c.retired = nil, nil
	c.mu.Unlock()
	for _, l := range links {
		l.conn.Close()
	}
}

// open makes a new connection. Errors: ErrRefused, ErrNotConnected.
func (c *Client) open(ctx context.Context) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connections.Add("attempted", 1)
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, dialError(err)
	}
	l := &link{replaced: make(chan struct{}), meter: meter{peer: c.name}}
	stream := jsonrpc2.NewBufferedStream(&deadlineConn{Conn: nc}, l.meter.codec())
	l.conn = jsonrpc2.NewConn(context.Background(), stream, ignoreRequests{},
		jsonrpc2.SetLogger(rpcLogger{c.log}),
		jsonrpc2.OnSend(func(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
			if req != nil {
				l.meter.sending = req.Method
			}
		}),
		jsonrpc2.OnRecv(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			if req != nil && resp != nil {
				countBytes(c.name, req.Method, "received", l.meter.lastRead)
			}
		}))
	connections.Add("opened", 1)
	return l, nil
}

// ignoreRequests ignores requests on a client connection: peers call each other
// over their own connections.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// beginCall returns the current link, connecting if there is none, and counts a call on it.
// The caller ends the call with endCall.
func (c *Client) beginCall(ctx context.Context) (*link, error) {
	for {
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return nil, errors.WithMessage(ErrNotConnected, ErrClosed.Error())
		case c.current != nil:
			l := c.current
			l.calls++
			if !l.monitored {
				l.monitored = true
				go c.monitor(l)
			}
			c.mu.Unlock()
			return l, nil
		case c.dialing == nil && time.Now().Before(c.notBefore):
			err := c.lastErr
			c.mu.Unlock()
			return nil, err
		case c.dialing == nil:
			c.dialing = &dialAttempt{done: make(chan struct{})}
			go c.connect(c.dialing)
		}
		d := c.dialing
		c.mu.Unlock()
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, errors.WithMessage(ErrNotConnected, ctx.Err().Error())
		}
	}
}

// connect makes one connection attempt for all calls that wait for it.
func (c *Client) connect(d *dialAttempt) {
	l, err := c.open(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	d.err = err
	c.dialing = nil
	if err != nil {
		c.backoff = min(max(2*c.backoff, backoffMin), backoffMax)
		c.notBefore = time.Now().Add(c.backoff/2 + rand.N(c.backoff))
		c.lastErr = err
	} else if c.closed {
		d.err = errors.WithMessage(ErrNotConnected, ErrClosed.Error())
		go l.conn.Close()
	} else {
		c.backoff = 0
		c.current = l
		go c.awaitDisconnect(l)
	}
	close(d.done)
}

// awaitDisconnect retires a link when its connection ends.
func (c *Client) awaitDisconnect(l *link) {
	<-l.conn.DisconnectNotify()
	c.retire(l, "disconnected")
}

// retire stops using l for new calls. The link is closed when its last call ends.
func (c *Client) retire(l *link, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != l {
		return
	}
	c.current = nil
	close(l.replaced)
	connections.Add("replaced_"+reason, 1)
	c.log.Info().Str("reason", reason).Int("calls", l.calls).Msg("connection replaced")
	if l.calls == 0 {
		go l.conn.Close()
		return
	}
	c.retired = append(c.retired, l)
	if len(c.retired) > maxRetired {
		go c.retired[0].conn.Close()
		c.retired = c.retired[1:]
	}
}

// endCall removes a call from l, and closes l if it is retired and this was its last call.
func (c *Client) endCall(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.calls--
	if l.calls > 0 || c.current == l {
		return
	}
	for i, r := range c.retired {
		if r == l {
			c.retired = append(c.retired[:i:i], c.retired[i+1:]...)
			break
		}
	}
	go l.conn.Close()
}

// monitor pings l while calls wait on it, and retires it when a ping is not answered.
func (c *Client) monitor(l *link) {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		select {
		case <-l.replaced:
			return
		case <-t.C:
		}
		c.mu.Lock()
		l.monitored = l.calls > 0
		idle := !l.monitored
		c.mu.Unlock()
		if idle {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := l.conn.Call(ctx, MethodPing, &Ping{From: c.self}, nil)
		cancel()
		if err != nil {
			c.retire(l, "silent")
			return
		}
	}
}

// call sends one message and waits at most timeout for its reply. If untilReplaced is set,
// it also ends with ErrNoAnswer when the link is replaced. This is for idempotent calls
// with a long timeout, which could otherwise wait on a dead connection.
func call[R any](ctx context.Context, c *Client, method string, msg any, timeout time.Duration, untilReplaced bool) (*R, error) {
	l, err := c.beginCall(ctx)
	if err != nil {
		return nil, err
	}
	defer c.endCall(l)
	return callOn[R](ctx, c, l, method, msg, timeout, untilReplaced)
}

func callOn[R any](ctx context.Context, c *Client, l *link, method string, msg any, timeout time.Duration, untilReplaced bool) (*R, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, errTimeout)
	defer cancel()
	if untilReplaced {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-l.replaced:
				cancel()
			case <-stop:
			}
		}()
	}
	reply := new(R)
	w, err := l.conn.DispatchCall(ctx, method, msg)
	if err == nil {
		err = w.Wait(ctx, reply)
	}
	if err == nil {
		return reply, nil
	}
	if context.Cause(ctx) == errTimeout {
		c.retire(l, "timeout")
	}
	return nil, callError(err)
}

var errTimeout = errors.New("peer: call timed out")

func callError(err error) error {
	var re *jsonrpc2.Error
	switch {
	case stderrors.As(err, &re):
		return errorOf(re.Code, re.Message)
	case stderrors.Is(err, ErrTooLarge):
		return ErrTooLarge
	}
	return errors.WithMessage(ErrNoAnswer, err.Error())
}

// Probe sends a heartbeat over a new connection and ignores any back-off. Errors:
// ErrRefused, ErrNotConnected, ErrNoAnswer.
func (c *Client) Probe(ctx context.Context, m *Heartbeat) (*HeartbeatReply, error) {
	l, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	defer l.conn.Close()
	return callOn[HeartbeatReply](ctx, c, l, MethodHeartbeat, m, shortTimeout, false)
}

// Heartbeat implements ControlHandler.
func (c *Client) Heartbeat(ctx context.Context, m *Heartbeat) (*HeartbeatReply, error) {
	return call[HeartbeatReply](ctx, c, MethodHeartbeat, m, shortTimeout, false)
}

// Register implements ControlHandler.
func (c *Client) Register(ctx context.Context, m *Register) (*RegisterReply, error) {
	return call[RegisterReply](ctx, c, MethodRegister, m, shortTimeout, false)
}

// Acquire implements ControlHandler. It ends with ErrNoAnswer as soon as its
// connection is replaced; the caller repeats it.
func (c *Client) Acquire(ctx context.Context, m *Acquire) (*AcquireReply, error) {
	return call[AcquireReply](ctx, c, MethodAcquire, m, m.Wait+acquireMargin, true)
}

// CancelAcquire implements ControlHandler.
func (c *Client) CancelAcquire(ctx context.Context, m *CancelAcquire) (*Empty, error) {
	return call[Empty](ctx, c, MethodCancelAcquire, m, shortTimeout, false)
}

// Release implements ControlHandler.
func (c *Client) Release(ctx context.Context, m *Release) (*Empty, error) {
	return call[Empty](ctx, c, MethodRelease, m, shortTimeout, false)
}

// ConfigOffer implements ControlHandler.
func (c *Client) ConfigOffer(ctx context.Context, m *ConfigOffer) (*Empty, error) {
	return call[Empty](ctx, c, MethodConfigOffer, m, fetchTimeout, false)
}

// ConfigGet implements ControlHandler.
func (c *Client) ConfigGet(ctx context.Context, m *ConfigGet) (*ConfigGetReply, error) {
	return call[ConfigGetReply](ctx, c, MethodConfigGet, m, fetchTimeout, false)
}

// Usage implements ControlHandler.
func (c *Client) Usage(ctx context.Context, m *Usage) (*Empty, error) {
	return call[Empty](ctx, c, MethodUsage, m, shortTimeout, false)
}

// AllotmentAsk implements ControlHandler.
func (c *Client) AllotmentAsk(ctx context.Context, m *AllotmentAsk) (*AllotmentAskReply, error) {
	return call[AllotmentAskReply](ctx, c, MethodAllotmentAsk, m, fetchTimeout, false)
}

// Forward implements JobHandler. It waits until the deadline of the request.
func (c *Client) Forward(ctx context.Context, m *Forward) (*ForwardReply, error) {
	return call[ForwardReply](ctx, c, MethodForward, m, m.Wait+acquireMargin, false)
}

// JobGet implements JobHandler.
func (c *Client) JobGet(ctx context.Context, m *JobGet) (*JobGetReply, error) {
	return call[JobGetReply](ctx, c, MethodJobGet, m, fetchTimeout, false)
}

// JobCancel implements JobHandler.
func (c *Client) JobCancel(ctx context.Context, m *JobCancel) (*JobGetReply, error) {
	return call[JobGetReply](ctx, c, MethodJobCancel, m, fetchTimeout, false)
}

// HoldRecords implements RecordHandler.
func (c *Client) HoldRecords(ctx context.Context, m *HoldRecords) (*HoldRecordsReply, error) {
	return call[HoldRecordsReply](ctx, c, MethodHoldRecords, m, fetchTimeout, false)
}

// DropRecords implements RecordHandler.
func (c *Client) DropRecords(ctx context.Context, m *DropRecords) (*Empty, error) {
	return call[Empty](ctx, c, MethodDropRecords, m, shortTimeout, false)
}

// PullRecords implements RecordHandler.
func (c *Client) PullRecords(ctx context.Context, m *PullRecords) (*PullRecordsReply, error) {
	return call[PullRecordsReply](ctx, c, MethodPullRecords, m, fetchTimeout, false)
}

// DCStatus implements ControlHandler.
func (c *Client) DCStatus(ctx context.Context, m *DCStatus) (*DCStatusReply, error) {
	return call[DCStatusReply](ctx, c, MethodDCStatus, m, shortTimeout, false)
}

// TaskOffer implements ControlHandler.
func (c *Client) TaskOffer(ctx context.Context, m *TaskOffer) (*Empty, error) {
	return call[Empty](ctx, c, MethodTaskOffer, m, shortTimeout, false)
}

// TaskCancel implements ControlHandler.
func (c *Client) TaskCancel(ctx context.Context, m *TaskCancel) (*JobGetReply, error) {
	return call[JobGetReply](ctx, c, MethodTaskCancel, m, fetchTimeout, false)
}
