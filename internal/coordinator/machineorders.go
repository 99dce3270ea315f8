package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/capacity"
	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

// machineOrder is a queued order for a machine.
type machineOrder struct {
	machine model.VM
	// minion is the minion incarnation that the order ends, which takes no new work.
	minion jobs.Minion
	send   func()
	// drop is called in place of send if the machine runs another minion by then.
	drop func()
}

type move struct {
	to model.Service
	// orderedAt is when the order was sent, or queued before that.
	orderedAt time.Duration
	// minion is the minion incarnation that the move ends.
	minion   jobs.Minion
	inFlight bool
}

// recentOrdersKey is the row of recently ordered machines, with the age of the last order for each.
// A machine is in the row before its order is sent, so that a successor does not order it until
// the orders of the two coordinators are far enough apart. It may order all other machines at once.
const recentOrdersKey = recentOrdersTable + "/recent"

// orderMargin is added to the platform's gap for the latency of an order and its answer.
const orderMargin = 500 * time.Millisecond

// machineOrderGap is the least time between the orders of two successive coordinators for a
// machine.
func (t *Term) machineOrderGap() time.Duration { return t.deps.Limits.MachineOrderGap + orderMargin }

// mayOrderMachine reports whether enough time has passed since an earlier coordinator's last order
// for a machine.
func (t *Term) mayOrderMachine(name model.VM) bool { return t.now >= t.machines.blockedUntil[name] }

// queueMachineOrder queues an order for a machine. It is sent once it is recorded for a successor, which
// may be long after, because the store is away.
func (t *Term) queueMachineOrder(o machineOrder) {
	t.machines.queuedOrders = append(t.machines.queuedOrders, o)
	t.writer.urgent = true
	if m := t.minions[o.minion]; m != nil {
		t.setOrdered(m, true)
	}
}

// setOrdered records that an order that ends a minion may be carried out, or may not any more.
func (t *Term) setOrdered(m *holding.Minion, ordered bool) {
	if m.Ordered == ordered && m.OrderedUntil == 0 {
		return
	}
	m.Ordered, m.OrderedUntil = ordered, 0
	t.recordAgain(m)
}

// sendMachineOrder sends a queued order, or drops it.
func (t *Term) sendMachineOrder(o machineOrder) {
	if t.machines.byName[o.machine].Minion != o.minion {
		t.log.Info().Str("machine", string(o.machine)).Str("minion", string(o.minion)).Msg("Coordinator: order dropped, the machine runs another minion.")
		o.drop()
		return
	}
	t.machineOrderAnswered(o.machine)
	o.send()
}

// machineOrderAnswered records the time at which an order was sent, was answered or timed out.
func (t *Term) machineOrderAnswered(name model.VM) { t.machines.lastOrder[name] = t.now }

// recentOrderAges returns the age of the last order for each recently ordered machine, in
// milliseconds.
func (t *Term) recentOrderAges() map[model.VM]int64 {
	s := &t.machines
	ages := map[model.VM]int64{}
	for name, until := range s.blockedUntil {
		if t.now < until {
			ages[name] = (t.machineOrderGap() - (until - t.now)).Milliseconds()
		}
	}
	for name, at := range s.lastOrder {
		if age := t.now - at; age < t.machineOrderGap() {
			ages[name] = age.Milliseconds()
		}
	}
	for _, o := range s.queuedOrders {
		ages[o.machine] = 0
	}
	return ages
}

// addRecentOrders adds the row of recent orders to a write while there are any, and once more to
// clear the row.
func (t *Term) addRecentOrders(b *batch) {
	s := &t.machines
	ages, orders := t.recentOrderAges(), s.queuedOrders
	if len(ages) == 0 && !s.orderRowStored {
		return
	}
	value, err := json.Marshal(ages)
	if err != nil {
		t.log.Error().Err(err).Msg("Coordinator: recent machine orders could not be encoded.")
		return
	}
	b.add(recentOrdersKey, value, func() {
		s.orderRowStored = len(ages) > 0
		s.queuedOrders = s.queuedOrders[len(orders):]
		for _, o := range orders {
			t.sendMachineOrder(o)
		}
	})
}

// restoreRecentOrders reads the row of an earlier coordinator. The ages are taken as of the start
// of this term: the time since the row was written is unknown, because no clock is shared.
func (t *Term) restoreRecentOrders(value []byte) {
	var ages map[model.VM]int64
	if value != nil {
		if err := json.Unmarshal(value, &ages); err != nil {
			t.log.Error().Err(err).Msg("Coordinator: ignoring unreadable row of recent machine orders.")
		}
	}
	t.machines.blockedUntil = make(map[model.VM]time.Duration, len(ages))
	for name, age := range ages {
		t.machines.blockedUntil[name] = t.startedAt + t.machineOrderGap() - time.Duration(age)*time.Millisecond
	}
	t.machines.orderRowStored = len(ages) > 0
}

func (t *Term) moveMachine(mv capacity.Move) {
	m := t.machines.byName[mv.Machine]
	if minion := t.minions[m.Minion]; minion != nil {
		minion.Cordoned = true
	}
	delete(t.machines.reclaims, mv.Machine)
	counters.Add("moves", 1)
	pending := &move{to: mv.To, orderedAt: t.now, minion: m.Minion, inFlight: true}
	t.machines.moves[mv.Machine] = pending
	t.log.Info().Str("machine", string(mv.Machine)).Str("from", string(m.Pool)).Str("to", string(mv.To)).Msg("Coordinator: moving machine.")
	drop := func() {
		delete(t.machines.moves, mv.Machine)
		t.uncordon(pending.minion)
	}
	send := func() {
		if t.evacuated(m.DC) {
			t.log.Info().Str("machine", string(mv.Machine)).Str("dc", string(m.DC)).Msg("Coordinator: order dropped, the machine's data centre is evacuated.")
			drop()
			return
		}
		pending.orderedAt = t.now
		t.sendOrder(machineCallTimeout, func(ctx context.Context) error { return t.orders.Move(ctx, mv.Machine, mv.To) },
			func(err error) { t.moveAnswered(mv.Machine, pending, err) })
	}
	t.queueMachineOrder(machineOrder{mv.Machine, pending.minion, send, drop})
}

// moveAnswered handles the answer to a move order. If the answer was lost, the list of machines
// shows the outcome.
func (t *Term) moveAnswered(name model.VM, pending *move, err error) {
	pending.inFlight = false
	t.machineOrderAnswered(name)
	if err == nil {
		t.removeMinion(pending.minion)
	}
	if err == nil || errors.Is(err, site.ErrNoAnswer) {
		return
	}
	t.log.Info().Err(err).Str("machine", string(name)).Msg("Coordinator: move refused.")
	if t.machines.moves[name] == pending {
		delete(t.machines.moves, name)
		t.uncordon(pending.minion)
	}
}
