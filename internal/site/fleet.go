package site

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// Errors of orders to minions and machines. Callers match them with errors.Is.
var (
	// ErrNotSent means that an order certainly did not reach its receiver.
	ErrNotSent = errors.New("site: order not sent")
	// ErrNoAnswer means that an order may have been carried out, or may be later.
	ErrNoAnswer = errors.New("site: no answer to an order")
	// ErrOtherIncarnation means that another life of a minion answers at the address.
	ErrOtherIncarnation = errors.New("site: another minion answers at the address")
	// ErrRefused means that the receiver refused an order and did nothing.
	ErrRefused = errors.New("site: order refused")
	// ErrBusy means that the receiver has no time for the order now and did nothing.
	ErrBusy = errors.New("site: receiver is busy")
)

// Refusal says why a minion or the platform refused an order.
type Refusal string

const (
	RefusedFenced       Refusal = "fence"  // a higher fencing token was seen
	RefusedStale        Refusal = "old"    // the run or a later one was there before
	RefusedLeaseExpired Refusal = "late"   // the lease of the order has passed
	RefusedRoom         Refusal = "room"   // no room on the minion
	RefusedTicket       Refusal = "ticket" // no valid ticket of the advice service
	RefusedBusy         Refusal = "busy"   // the machine is not up, or leaves
	RefusedNotInWave    Refusal = "wave"   // the machine is not of the wave
)

// RefusedError is the error of a refused order. It matches ErrRefused.
type RefusedError struct{ Reason Refusal }

func (e *RefusedError) Error() string { return ErrRefused.Error() + ": " + string(e.Reason) }

// Is makes errors.Is(err, ErrRefused) hold.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

// RefusalOf returns why an order was refused, or "" for another error.
func RefusalOf(err error) Refusal {
	var r *RefusedError
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// MinionEntry is what a minion says of itself in the platform's list.
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
	// Leaving minions take no new work; Remaining is the least time that is left.
	Leaving   bool
	Remaining time.Duration
	// Incarnation tells two lives under one id apart: the start in milliseconds since 1970.
	Incarnation int64
}

// Has reports whether the minion has a label.
func (m *MinionEntry) Has(label string) bool {
	return label == "" || label == m.Kind || label == string(m.Rack)
}

// Receiver is the minion that an order is meant for.
type Receiver struct {
	ID   jobs.Minion
	Addr string
	// Token is the coordinator's fencing token.
	Token uint64
}

// StartOrder starts a run of a task.
type StartOrder struct {
	Task    string
	Run     int
	Payload string
	// LeaseUntil is on the minion's clock, in milliseconds.
	LeaseUntil int64
	Checkpoint string
	Ticket     string
}

// StopOrder ends a run of a task.
type StopOrder struct {
	Task string
	Run  int
}

// ThrottleOrder sets the share of its time in which a run works, in percent.
type ThrottleOrder struct {
	Task    string
	Run     int
	Percent int
}

// PollRequest prolongs the lease of all runs on a minion and asks for its lists.
type PollRequest struct {
	// LeaseUntil is on the minion's clock, in milliseconds; 0 leaves the lease as it is.
	LeaseUntil int64
	// Ack is the number of the last end that the minion may forget.
	Ack int64
	// Wait is how long the minion may hold the answer back until a run ends.
	Wait time.Duration
}

// RunReport is a run that a minion reports.
type RunReport struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	// Load is a tail of response times in milliseconds for tasks that serve, and
	// thousandths of a core for others.
	Load int64
}

// EndReport is an end that a minion reports until it is noted.
type EndReport struct {
	Seq        int64
	Task       string
	Run        int
	Outcome    jobs.End
	Checkpoint string
}

// PollReport answers a HoldOrder.
type PollReport struct {
	Clock       int64 // the minion's clock in milliseconds
	Incarnation int64
	Running     []RunReport
	Ended       []EndReport
}

// Minions sends orders to minions. Errors: ErrNotSent, ErrNoAnswer, ErrOtherBoot,
// ErrBusy, RefusedError. The clock that an answer carries is returned, 0 for none.
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

// Machine is a machine of the platform; a minion is one life of it.
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

// MachineFence names the holder of a machine order and its fencing token.
type MachineFence struct {
	Holder model.EntryVM
	Token  uint64
}

// Machines lists, moves and maintains machines. An order ends everything that runs on
// its machine at once. Errors: as Minions, and ErrBusy beyond the platform's rates.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, d MachineFence, m model.VM, to model.Service) error
	Maintain(ctx context.Context, d MachineFence, m model.VM, wave int64) error
}

// Wave asks for the maintenance of machines within a time.
type Wave struct {
	ID       int64
	Machines []model.VM
	Duration time.Duration
	// MaxDown bounds the machines that are down for the wave at the same time.
	MaxDown int
}

// WaveState is what operators read of a wave.
type WaveState string

const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)
