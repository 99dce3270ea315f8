package coordinator

import (
	"context"
	"time"

	"boragepulley/internal/capacity"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
)

const (
	// capacityInterval is how often the distribution of machines to services is planned.
	capacityInterval = 100 * time.Millisecond
	// machineListInterval is how often the list of machines is read.
	machineListInterval = 400 * time.Millisecond
	// moveTimeout is how long a move may take to appear in the list before it counts as failed.
	moveTimeout = 4 * time.Second
)

// machines is the term's knowledge of the platform's machines and its orders for them.
type machines struct {
	byName map[model.VM]site.Machine
	// currentMinions are the minions that run on the machines; nil before the first list.
	currentMinions map[jobs.Minion]bool
	listedAt       time.Duration // when the last list was requested
	knownAt        time.Duration // when the list in byName was requested
	listing        bool
	// moves are in progress or not yet visible in the list.
	moves map[model.VM]*move
	// reclaims are the machines that are being emptied for another service.
	reclaims map[model.VM]reclaim
	// unlistedSince is, by minion of a machine that is up, since when it has not been in the list of
	// minions.
	unlistedSince map[jobs.Minion]time.Duration
	// queuedOrders wait until recentOrdersKey is stored with their machines. lastOrder is when this
	// term's last order for a machine was sent or answered; blockedUntil is until when an earlier
	// coordinator's last order keeps this term from ordering the machine. orderRowStored is set
	// while the stored row is not empty.
	queuedOrders   []machineOrder
	lastOrder      map[model.VM]time.Duration
	blockedUntil   map[model.VM]time.Duration
	orderRowStored bool
	demand         map[model.Service]*capacity.Demand
	// endedMinions are the incarnations of minions that this term's machine orders have ended, 0 if not
	// known. The list of minions still contains them for a while.
	endedMinions map[jobs.Minion]int64
	// runTimes is the mean run time of completed tasks by queue.
	runTimes      map[model.Queue]*runTimeMean
	nextRebalance time.Duration
	// planLoggedAt is when the plan was last logged.
	planLoggedAt time.Duration
}

func (s *machines) init() {
	s.byName, s.moves, s.reclaims = map[model.VM]site.Machine{}, map[model.VM]*move{}, map[model.VM]reclaim{}
	s.lastOrder, s.endedMinions = map[model.VM]time.Duration{}, map[jobs.Minion]int64{}
	s.demand, s.runTimes = map[model.Service]*capacity.Demand{}, map[model.Queue]*runTimeMean{}
}

// listMachines reads the list of machines when it is due.
func (t *Term) listMachines() {
	s := &t.machines
	if s.listing || t.now < s.listedAt+machineListInterval {
		return
	}
	s.listing, s.listedAt = true, t.now
	requestedAt := t.now
	t.async(machineCallTimeout, func(ctx context.Context) func() {
		list, err := t.orders.ListMachines(ctx)
		return func() {
			s.listing = false
			if err != nil {
				t.log.Info().Err(err).Msg("Coordinator: list of machines could not be read.")
				return
			}
			t.applyMachineList(list, requestedAt)
		}
	})
}

// applyMachineList applies a list of machines that was requested at the given time. It confirms
// moves that the list shows, and drops those that have not appeared in time.
func (t *Term) applyMachineList(list []site.Machine, requestedAt time.Duration) {
	s := &t.machines
	s.knownAt = requestedAt
	s.byName = make(map[model.VM]site.Machine, len(list))
	s.currentMinions = make(map[jobs.Minion]bool, len(list))
	unlisted := map[jobs.Minion]time.Duration{}
	for _, m := range list {
		s.byName[m.Name] = m
		s.currentMinions[m.Minion] = true
		if m.State == site.MachineUp && m.Minion != "" && t.minions[m.Minion] == nil {
			unlisted[m.Minion] = t.now
			if since, ok := s.unlistedSince[m.Minion]; ok {
				unlisted[m.Minion] = since
			}
			t.keepMinion(m, requestedAt)
		}
		mv := s.moves[m.Name]
		if mv == nil || mv.inFlight || mv.orderedAt >= requestedAt {
			continue
		}
		if m.Pool == mv.to && m.State == site.MachineUp {
			delete(s.moves, m.Name)
			t.moveSeen(mv)
		} else if t.now > mv.orderedAt+moveTimeout {
			delete(s.moves, m.Name)
			t.uncordon(mv.minion)
		}
	}
	s.unlistedSince = unlisted
	t.needsPlan = true
}

// moveSeen ends the minion of a move that the list of machines shows, unless a later incarnation under its
// id is known: that one takes work.
func (t *Term) moveSeen(mv *move) {
	if m := t.minions[mv.minion]; m != nil && m.IncarnationAt > mv.orderedAt {
		t.uncordon(mv.minion)
		return
	}
	t.removeMinion(mv.minion)
}

// removeMinion removes a minion that a machine order has ended. Tasks that are still assigned to it
// are requeued.
func (t *Term) removeMinion(id jobs.Minion) {
	m := t.minions[id]
	if m == nil {
		return
	}
	for task := range m.Tasks {
		t.requeueBecause(task, "minion_ended_by_order")
		m.Unassign(task, t.now) // a task that is done has no minion any more
	}
	if m.Recorded {
		t.writer.goneMinions[id] = true
	}
	delete(t.writer.newMinions, m)
	delete(t.minions, id)
	t.droppedMinions[id] = t.now
	t.machines.endedMinions[id] = m.Incarnation
}

// keepMinion uses a minion again that did not end with the order that was thought to have ended it: an order
// that was carried out before, by an earlier coordinator, is answered like one that is carried out now.
func (t *Term) keepMinion(m site.Machine, requestedAt time.Duration) {
	if _, ended := t.machines.endedMinions[m.Minion]; ended && requestedAt > t.machines.lastOrder[m.Name]+unseenAfter {
		delete(t.machines.endedMinions, m.Minion) // its next entry in the list of minions adds it
		t.log.Info().Str("machine", string(m.Name)).Str("minion", string(m.Minion)).Msg("Coordinator: minion did not end with the order for its machine.")
	}
}

// uncordon allows new work on a minion again after the order for which it was cordoned was not
// carried out.
func (t *Term) uncordon(id jobs.Minion) {
	m := t.minions[id]
	if m == nil {
		return
	}
	if m.Ordered {
		t.setOrdered(m, false)
	}
	if m.Cordoned || m.Draining {
		m.Cordoned, m.Draining = false, false
		t.needsPlan = true
	}
}
