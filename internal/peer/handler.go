package peer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// MethodPing checks that a connection still delivers messages. The server answers it without
// calling the handler.
const MethodPing = "Ping"

// Ping is sent on a connection while calls wait on it.
type Ping struct {
	From Sender `json:"from"`
}

// ControlHandler handles the messages of package control. Client implements it too.
type ControlHandler interface {
	Heartbeat(ctx context.Context, m *Heartbeat) (*HeartbeatReply, error)
	Register(ctx context.Context, m *Register) (*RegisterReply, error)
	// Acquire returns once the request is granted, refused or redirected. Errors:
	// ErrNotCoordinator.
	Acquire(ctx context.Context, m *Acquire) (*AcquireReply, error)
	CancelAcquire(ctx context.Context, m *CancelAcquire) (*Empty, error)
	// Release returns once the coordinator has released the permit. Errors: ErrNotCoordinator.
	Release(ctx context.Context, m *Release) (*Empty, error)
	// ConfigOffer returns once the receiver has the offered version or a later one.
	ConfigOffer(ctx context.Context, m *ConfigOffer) (*Empty, error)
	ConfigGet(ctx context.Context, m *ConfigGet) (*ConfigGetReply, error)
	Usage(ctx context.Context, m *Usage) (*Empty, error)
	AllotmentAsk(ctx context.Context, m *AllotmentAsk) (*AllotmentAskReply, error)
	DCStatus(ctx context.Context, m *DCStatus) (*DCStatusReply, error)
	TaskOffer(ctx context.Context, m *TaskOffer) (*Empty, error)
	TaskCancel(ctx context.Context, m *TaskCancel) (*JobGetReply, error)
}

// JobHandler handles the messages that forward, read and cancel jobs. Client implements it too.
type JobHandler interface {
	Forward(ctx context.Context, m *Forward) (*ForwardReply, error)
	JobGet(ctx context.Context, m *JobGet) (*JobGetReply, error)
	JobCancel(ctx context.Context, m *JobCancel) (*JobGetReply, error)
}

// RecordHandler handles the messages about account records. Client implements it too.
type RecordHandler interface {
	HoldRecords(ctx context.Context, m *HoldRecords) (*HoldRecordsReply, error)
	DropRecords(ctx context.Context, m *DropRecords) (*Empty, error)
	PullRecords(ctx context.Context, m *PullRecords) (*PullRecordsReply, error)
}

// Handler handles all messages, one method per message. Each call runs in its own
// goroutine; its context ends when the connection closes.
type Handler interface {
	ControlHandler
	JobHandler
	RecordHandler
}

// route decodes the parameters of one method and calls its handler.
type route struct {
	// decode returns the decoded message and its sender.
	decode func(params []byte) (any, Sender, error)
	// call passes the message to h, which must be of the handler type given to bind.
	call func(ctx context.Context, h any, msg any) (any, error)
}

// message is a request that identifies its sender.
type message interface{ sender() Sender }

func (m *Heartbeat) sender() Sender     { return m.From }
func (m *Register) sender() Sender      { return m.From }
func (m *Acquire) sender() Sender       { return m.From }
func (m *CancelAcquire) sender() Sender { return m.From }
func (m *Release) sender() Sender       { return m.From }
func (m *Forward) sender() Sender       { return m.From }
func (m *ConfigOffer) sender() Sender   { return m.From }
func (m *ConfigGet) sender() Sender     { return m.From }
func (m *Usage) sender() Sender         { return m.From }
func (m *AllotmentAsk) sender() Sender  { return m.From }
func (m *JobGet) sender() Sender        { return m.From }
func (m *JobCancel) sender() Sender     { return m.From }
func (m *HoldRecords) sender() Sender   { return m.From }
func (m *DropRecords) sender() Sender   { return m.From }
func (m *PullRecords) sender() Sender   { return m.From }
func (m *DCStatus) sender() Sender      { return m.From }
func (m *TaskOffer) sender() Sender     { return m.From }
func (m *TaskCancel) sender() Sender    { return m.From }
func (m *Ping) sender() Sender          { return m.From }

func bind[H, Q, R any, P interface {
	*Q
	message
}](f func(H, context.Context, *Q) (*R, error)) route {
	return route{
		decode: func(params []byte) (any, Sender, error) {
			m := new(Q)
			if err := json.Unmarshal(params, m); err != nil {
				return nil, Sender{}, errors.Wrap(ErrMalformed, err.Error())
			}
			from := P(m).sender()
			if from.Entry == "" || from.Incarnation == "" {
				return nil, Sender{}, errors.Wrap(ErrMalformed, "sender is missing")
			}
			return m, from, nil
		},
		call: func(ctx context.Context, h any, msg any) (any, error) {
			r, err := f(h.(H), ctx, msg.(*Q))
			if err != nil {
				return nil, err
			}
			return r, nil
		},
	}
}

var routes = map[string]route{
	MethodHeartbeat:     bind(Handler.Heartbeat),
	MethodRegister:      bind(Handler.Register),
	MethodAcquire:       bind(Handler.Acquire),
	MethodCancelAcquire: bind(Handler.CancelAcquire),
	MethodRelease:       bind(Handler.Release),
	MethodForward:       bind(Handler.Forward),
	MethodConfigOffer:   bind(Handler.ConfigOffer),
	MethodConfigGet:     bind(Handler.ConfigGet),
	MethodUsage:         bind(Handler.Usage),
	MethodAllotmentAsk:  bind(Handler.AllotmentAsk),
	MethodJobGet:        bind(Handler.JobGet),
	MethodJobCancel:     bind(Handler.JobCancel),
	MethodHoldRecords:   bind(Handler.HoldRecords),
	MethodDropRecords:   bind(Handler.DropRecords),
	MethodPullRecords:   bind(Handler.PullRecords),
	MethodDCStatus:      bind(Handler.DCStatus),
	MethodTaskOffer:     bind(Handler.TaskOffer),
	MethodTaskCancel:    bind(Handler.TaskCancel),
	MethodPing: bind(func(Handler, context.Context, *Ping) (*Empty, error) {
		return &Empty{}, nil
	}),
}
