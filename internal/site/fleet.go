package site

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Errors of orders to minions and machines. Match them with errors.Is.
var (
	// ErrNotSent means that an order certainly did not reach its receiver.
	ErrNotSent = errors.New("site: order not sent")
	// ErrLeaseEnded means that an order was not sent because the sender's lease had ended. It
	// matches ErrNotSent.
	ErrLeaseEnded error = leaseEndedError{}
	// ErrNoAnswer means that an order may have been carried out, or may still be.
	ErrNoAnswer = errors.New("site: no answer to order")
	// ErrOtherIncarnation means that another incarnation of the minion answers at the address.
	ErrOtherIncarnation = errors.New("site: another incarnation answers at the address")
	// ErrRefused means that the receiver refused an order and did nothing.
	ErrRefused = errors.New("site: order refused")
	// ErrBusy means that the receiver cannot take the order at the moment and did nothing.
	ErrBusy = errors.New("site: receiver is busy")
)

type leaseEndedError struct{}

func (leaseEndedError) Error() string { return "site: order not sent: the sender's lease has ended" }

// Is makes errors.Is(err, ErrNotSent) hold.
func (leaseEndedError) Is(target error) bool { return target == ErrNotSent }

// OrderLease is the permission to send orders. It is safe for concurrent use.
type OrderLease interface {
	// Remaining returns how long orders may still be sent, 0 once the permission has ended. A
	// client reads it immediately before it sends an order, and ends the call when this time is over.
	Remaining() time.Duration
}

// Refusal is the reason why a minion or the platform refused an order.
type Refusal string

const (
	RefusedFenced       Refusal = "fence"  // a higher fencing token was seen
	RefusedStale        Refusal = "old"    // the minion already had this run of the task or a later one
	RefusedLeaseExpired Refusal = "late"   // the lease in the order has expired
	RefusedRoom         Refusal = "room"   // not enough free capacity on the minion
	RefusedTicket       Refusal = "ticket" // no valid ticket from the advice service
	RefusedBusy         Refusal = "busy"   // the machine is not up, or is being taken out of service
	RefusedNotInWave    Refusal = "wave"   // the machine does not belong to the wave
)

// RefusedError is the error of a refused order. It matches ErrRefused.
type RefusedError struct{ Reason Refusal }

func (e *RefusedError) Error() string { return ErrRefused.Error() + ": " + string(e.Reason) }

// Is makes errors.Is(err, ErrRefused) hold.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// RefusalOf returns the reason of a RefusedError in the chain of err, or "" if there is none.
func RefusalOf(err error) Refusal {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// MinionEntry is a minion's entry in the platform's list.
type MinionEntry struct {
	ID      jobs.Minion
	Service model.Service
	// Addr is "IP:port".
	Addr string
	DC   model.DataCentre
	// Kind and Rack are the minion's labels.
	Kind     string
	Rack     model.Rack
	Capacity jobs.Resources
	// Leaving is set while the minion shuts down and takes no new work; Remaining is the least time
	// until it stops.
	Leaving   bool
	Remaining time.Duration
	// ColdLeft is how much longer the minion is slow after its start, as of when the entry was written.
	ColdLeft time.Duration
	// Incarnation distinguishes restarts under the same id: the start time in milliseconds since 1970.
	Incarnation int64
}

// Has reports whether the minion has a label. Every minion has the empty label.
func (m *MinionEntry) Has(label string) bool {
	return label == "" || label == m.Kind || label == string(m.Rack)
}

// MinionAddress identifies a minion as the receiver of orders. Addr is "IP:port".
type MinionAddress struct {
	ID   jobs.Minion
	Addr string
	// RaisedToken is the fencing token for the minion's present incarnation if it is higher than the
	// coordinator's first one.
	RaisedToken uint64
}

// Receiver is the minion to which an order is addressed, and the right to send it.
type Receiver struct {
	MinionAddress
	// Token is the fencing token of the order. Epoch is the coordinator's first one.
	Token, Epoch uint64
	// Lease bounds the sending; nil means no bound.
	Lease OrderLease
}

// StartOrder starts a run of a task.
type StartOrder struct {
	Task    string
	Run     int
	Payload string
	// LeaseUntil is the end of the run's lease on the minion's clock, in milliseconds.
	LeaseUntil int64
	Checkpoint string
	Ticket     string
}

// StopOrder stops a run of a task.
type StopOrder struct {
	Task string
	Run  int
}

// ThrottleOrder limits a run to a percentage of its time.
type ThrottleOrder struct {
	Task    string
	Run     int
	Percent int
}

// PollRequest renews the leases of all runs on a minion and asks for its running and ended runs.
type PollRequest struct {
	// LeaseUntil is the new end of the leases on the minion's clock, in milliseconds; 0 leaves them
	// unchanged.
	LeaseUntil int64
	// Ack is the sequence number of the last end that the minion may forget; 0 acknowledges none.
	Ack int64
	// Wait is how long the minion may delay its reply until a run ends.
	Wait time.Duration
}

// RunReport is a run that a minion reports.
type RunReport struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	// Load is the tail latency in milliseconds for tasks that serve requests,
	// and thousandths of a core for others.
	Load int64
}

// EndReport is the end of a run. A minion reports it until it is acknowledged.
type EndReport struct {
	Seq        int64
	Task       string
	Run        int
	Outcome    jobs.End
	Checkpoint string
}

// PollReport is the reply to a PollRequest.
type PollReport struct {
	Clock       int64 // the minion's clock in milliseconds
	Incarnation int64
	Running     []RunReport
	Ended       []EndReport
	// MoreEnds is set if the minion may have further ends, which it lists once these are acknowledged.
	MoreEnds bool
}

// Minions sends orders to minions. Errors: ErrNotSent, ErrNoAnswer, ErrOtherIncarnation, ErrBusy,
// RefusedError. Start returns the minion's clock from the reply in milliseconds, 0 if there is none.
type Minions interface {
	Start(ctx context.Context, to Receiver, o StartOrder) (clock int64, err error)
	Stop(ctx context.Context, to Receiver, o StopOrder) error
	Poll(ctx context.Context, to Receiver, o PollRequest) (PollReport, error)
	Throttle(ctx context.Context, to Receiver, o ThrottleOrder) error
}

// MachineState is the state of a machine of the platform.
type MachineState string

const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is a machine of the platform; each start of it runs a new minion.
type Machine struct {
	Name     model.VM
	Pool     model.Service
	State    MachineState
	DC       model.DataCentre
	Kind     string
	Rack     model.Rack
	Capacity jobs.Resources
	Minion   jobs.Minion
}

// MachineFence is the holder of the right to order machines and its fencing token.
type MachineFence struct {
	Holder model.EntryVM
	Token  uint64
	// Lease bounds the sending; nil means no bound.
	Lease OrderLease
}

// Machines lists, moves and maintains machines. A move or maintenance order ends all runs on its
// machine immediately. Errors: as for Minions; ErrBusy also above the platform's rate limits.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, d MachineFence, m model.VM, to model.Service) error
	Maintain(ctx context.Context, d MachineFence, m model.VM, wave int64) error
}

// Wave is a request for the maintenance of machines within a period.
type Wave struct {
	ID       int64
	Machines []model.VM
	Duration time.Duration
	// MaxDown is the most machines that may be down for the wave at the same time.
	MaxDown int
}

// WaveState is the state of a wave as shown to operators.
type WaveState string

const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)
