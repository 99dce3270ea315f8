package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
)

const (
	// waveTable has a row for each wave, so that a successor does not do machines again.
	waveTable = "wave"
	// statusPrefix is where operators read the state of a wave.
	statusPrefix = "status/wave/"
	// machineTimeout bounds a call about machines.
	machineTimeout = 2 * time.Second
	// waveRetry is the pause before a refused or lost order is given again.
	waveRetry = 300 * time.Millisecond
	// waveRound is the time that as many machines as a wave allows at once take: about 2 s to
	// drain, 2 s for maintenance, and 0.5 s until the list shows it.
	waveRound = 4500 * time.Millisecond
	// waveMargin is kept of a wave's time beyond its rounds.
	waveMargin = 500 * time.Millisecond
)

// duty is how far the maintenance of one machine has come.
//
// State machine:
//
//	due -> draining -> ordered -> down -> back
//	                      '-> due (refused)
type duty uint8

const (
	dutyDue duty = iota
	dutyDraining
	dutyOrdered
	dutyDown
	dutyBack
)

// waveRun is a wave under way.
type waveRun struct {
	wave  site.Wave
	began time.Duration
	// loaded is set once the row of an earlier coordinator was read.
	loaded, loading bool
	machines        map[model.VM]*waveMachine
	status          site.WaveState
	statusWriting   bool
	nextStatus      time.Duration
}

type waveMachine struct {
	name    model.VM
	state   duty
	calling bool
	next    time.Duration
	// minion is the life that ends with the maintenance.
	minion jobs.Minion
	since  time.Duration
	// seenDown is set once the list showed the machine in maintenance.
	seenDown bool
}

// waveRow is the stored form of a wave: when it was first seen and what has begun.
type waveRow struct {
	Seen  time.Time  `json:"t"`
	Begun []model.VM `json:"m,omitempty"`
}

// waves are all maintenance waves.
type waves struct{ runs map[int64]*waveRun }

func (w *waves) init() {
	w.runs = map[int64]*waveRun{}
}

// runWaves goes on with the maintenance waves.
func (t *Term) runWaves() {
	for n, wave := range t.d.Waves() {
		if t.waves.runs[n] == nil {
			r := &waveRun{wave: wave, began: t.now, machines: map[model.VM]*waveMachine{}}
			for _, name := range wave.Machines {
				r.machines[name] = &waveMachine{name: name}
			}
			t.waves.runs[n] = r
		}
	}
	for _, r := range t.waves.runs {
		t.runWave(r)
	}
}

// inWave reports whether a wave has a machine in its hands.
func (t *Term) inWave(name model.VM) bool {
	for _, r := range t.waves.runs {
		if x := r.machines[name]; x != nil && x.state != dutyDue && x.state != dutyBack {
			return true
		}
	}
	return false
}

// departing returns the minions whose machines are to be maintained and are not drained yet.
func (t *Term) departing() map[jobs.Minion]bool {
	out := map[jobs.Minion]bool{}
	for _, r := range t.waves.runs {
		if r.status == site.WaveCompleted {
			continue
		}
		for name, x := range r.machines {
			if x.state == dutyDue {
				out[t.machines.byName[name].Minion] = true
			}
		}
	}
	return out
}

// runWave goes on with one wave.
func (t *Term) runWave(r *waveRun) {
	if !r.loaded {
		t.loadWave(r)
		return
	}
	t.writeStatus(r)
	if r.status == site.WaveCompleted {
		return
	}
	down, open := 0, 0
	for _, x := range r.machines {
		t.stepMachine(r, x)
		if t.mayBeDown(x) {
			down++
		}
		if x.state != dutyBack {
			open++
		}
	}
	if open == 0 {
		r.status = site.WaveCompleted
		r.nextStatus = 0
		t.log.Info().Int64("wave", r.wave.ID).Dur("after", t.now-r.began).Msg("Coordinator: wave completed.")
		t.writeStatus(r)
		return
	}
	if t.machines.lives != nil {
		t.takeMachines(r, down)
	}
}

// mayBeDown reports whether a machine counts against the wave's bound: by this term's
// orders, by the list, or because an earlier holder may have ordered it last.
func (t *Term) mayBeDown(x *waveMachine) bool {
	return x.state == dutyOrdered || x.state == dutyDown || t.machines.byName[x.name].State == site.MachineMaintenance ||
		x.state != dutyBack && !t.mayOrder(x.name)
}

// takeMachines drains machines and orders their maintenance, at most as many at once as
// the wave allows.
func (t *Term) takeMachines(r *waveRun, down int) {
	left, draining, slow := 0, 0, max(1, r.wave.MaxDown/slowShare)
	var due []waveCandidate
	busy := t.busyServices()
	for _, x := range r.machines {
		switch x.state {
		case dutyDraining:
			draining++
			if _, lasting := t.tasksOn(x); lasting > 0 {
				slow--
			}
			if t.drained(x) && down < r.wave.MaxDown && t.now >= x.next {
				down++
				t.orderMaintenance(r, x)
			}
		case dutyDue:
			left++
			m, ok := t.machines.byName[x.name]
			if !ok || m.State != site.MachineUp || t.now < x.next || t.machines.moves[x.name] != nil || !t.mayOrder(x.name) {
				continue
			}
			tasks, lasting := t.tasksOn(x)
			due = append(due, waveCandidate{x, tasks, lasting, busy[m.Pool]})
		}
	}
	urgent := t.now > r.began+r.wave.Duration-waveNeeds(left+draining, r.wave.MaxDown)
	for _, x := range chooseForWave(due, r.wave.MaxDown-draining-down, slow, urgent) {
		m := t.machines.byName[x.name]
		x.state, x.minion, x.since = dutyDraining, m.Minion, t.now
		if h := t.minions[m.Minion]; h != nil {
			h.Cordoned = true
		}
	}
}

// slowShare is the part of a wave's machines at once that may be ones with tasks that last: one
// in so many. The others drain in a second.
const slowShare = 2

// waveNeeds returns how long machines that are still to be maintained take. From the moment
// on at which a wave has no more time than this left, machines are taken whether their
// service is busy or not.
func waveNeeds(machines, atOnce int) time.Duration {
	rounds := (machines + max(atOnce, 1) - 1) / max(atOnce, 1)
	return time.Duration(max(rounds, 1))*waveRound + waveMargin
}

// busyServices are the services with tasks that wait for room.
func (t *Term) busyServices() map[model.Service]bool {
	out := map[model.Service]bool{}
	for _, j := range t.book.Open() {
		q := t.queueOf(j)
		if out[q.Service] {
			continue
		}
		for _, s := range j.Steps {
			if !s.Spec.LongRunning && len(s.WaitingTasks()) > 0 {
				out[q.Service] = true
			}
		}
	}
	return out
}

func (t *Term) minionOf(x *waveMachine) *holding.Minion {
	if m, ok := t.machines.byName[x.name]; ok {
		return t.minions[m.Minion]
	}
	return nil
}

// tasksOn counts the tasks on a machine, and those of them that last.
func (t *Term) tasksOn(x *waveMachine) (tasks, lasting int) {
	m := t.minionOf(x)
	if m == nil {
		return 0, 0
	}
	for y := range m.Tasks {
		if y.Step.Spec.LongRunning {
			lasting++
		}
	}
	return len(m.Tasks), lasting
}

// drained reports whether nothing runs on a machine any more. A machine whose minion does
// not answer is not drained before its leases are over.
func (t *Term) drained(x *waveMachine) bool {
	m := t.minions[x.minion]
	if m == nil {
		return true
	}
	m.Cordoned = true
	return t.evacuate(m, reasonWave) && m.Polled
}

func (t *Term) orderMaintenance(r *waveRun, x *waveMachine) {
	x.state, x.calling = dutyOrdered, true
	d := site.MachineFence{Holder: t.d.Self.Entry, Token: t.epoch}
	t.orderMachine(x.name, func() {
		t.order(machineTimeout, func(ctx context.Context) error { return t.d.Machines.Maintain(ctx, d, x.name, r.wave.ID) },
			func(err error) { t.maintained(r, x, err) })
	})
}

func (t *Term) maintained(r *waveRun, x *waveMachine, err error) {
	x.calling = false
	t.orderAnswered(x.name)
	x.next = t.now + waveRetry
	switch {
	case err == nil:
		x.state, x.since = dutyDown, t.now
		counters.Add("maintenances", 1)
		t.lifeOver(x.minion)
		t.log.Info().Int64("wave", r.wave.ID).Str("machine", string(x.name)).Msg("Coordinator: maintenance began.")
		t.storeWave(r)
	case site.RefusalOf(err) == site.RefusedNotInWave:
		t.log.Warn().Int64("wave", r.wave.ID).Str("machine", string(x.name)).Msg("Coordinator: machine is not of the wave.")
		x.state = dutyBack
	case errors.Is(err, site.ErrNoAnswer), errors.Is(err, site.ErrNotSent):
		// It, or an order before it, may have begun: it is given again, which does no harm.
	default:
		t.log.Info().Err(err).Int64("wave", r.wave.ID).Str("machine", string(x.name)).Msg("Coordinator: maintenance refused.")
		t.open(x.minion)
		x.state = dutyDue
	}
}

// stepMachine notes the end of a machine's maintenance and repeats a lost order.
func (t *Term) stepMachine(r *waveRun, x *waveMachine) {
	m, listed := t.machines.byName[x.name]
	switch x.state {
	case dutyOrdered:
		if !x.calling && t.now >= x.next {
			t.orderMaintenance(r, x)
		}
	case dutyDown:
		if !listed || t.machines.listed <= x.since {
			return
		}
		x.seenDown = x.seenDown || m.State != site.MachineUp
		// A machine on standby has no minion, and a minion may come back under its id.
		if m.State == site.MachineUp && (x.seenDown || m.Minion != x.minion) {
			x.state = dutyBack
		}
	case dutyDraining:
		if listed && (m.State != site.MachineUp || m.Minion != x.minion) {
			// It went down, or another life began on it.
			t.open(x.minion)
			x.state, x.next = dutyDue, t.now+waveRetry
		}
	}
}

func waveKey(n int64) string { return fmt.Sprintf("%s/%d", waveTable, n) }

// loadWave reads what an earlier coordinator has done of a wave.
func (t *Term) loadWave(r *waveRun) {
	if r.loading {
		return
	}
	r.loading = true
	t.async(machineTimeout, func(ctx context.Context) func() {
		row, err := t.d.Table.Get(ctx, platform.PriorityBackground, waveKey(r.wave.ID))
		return func() {
			r.loading = false
			if err != nil {
				return // asked again with the next step
			}
			var v waveRow
			if row.Version != 0 {
				if err := json.Unmarshal(row.Value, &v); err != nil {
					t.log.Error().Err(err).Str("row", row.Key).Msg("Coordinator: unreadable wave passed over.")
				}
			}
			for _, name := range v.Begun {
				if x := r.machines[name]; x != nil {
					// It may still be down; the list tells when it is up.
					x.state, x.since, x.seenDown = dutyDown, t.now, true
				}
			}
			if !v.Seen.IsZero() {
				r.began = t.now - min(max(time.Since(v.Seen), 0), r.wave.Duration)
			}
			r.loaded, r.status = true, site.WaveRunning
			t.storeWave(r)
		}
	})
}

// storeWave notes in the next write what has begun.
func (t *Term) storeWave(r *waveRun) {
	v := waveRow{Seen: time.Now().Add(r.began - t.now)}
	for name, x := range r.machines {
		if x.state == dutyDown || x.state == dutyBack {
			v.Begun = append(v.Begun, name)
		}
	}
	value, err := json.Marshal(v)
	if err != nil {
		t.log.Error().Err(err).Int64("wave", r.wave.ID).Msg("Coordinator: wave not stored.")
		return
	}
	t.journal.waveRows[waveKey(r.wave.ID)] = value
}

// writeStatus tells operators the state of a wave.
func (t *Term) writeStatus(r *waveRun) {
	if r.statusWriting || t.now < r.nextStatus {
		return
	}
	value, err := t.d.Codec.WaveStatus(r.status)
	if err != nil {
		t.log.Error().Err(err).Int64("wave", r.wave.ID).Msg("Coordinator: status of the wave not written.")
		return
	}
	r.statusWriting = true
	key := statusPrefix + fmt.Sprint(r.wave.ID)
	t.async(machineTimeout, func(ctx context.Context) func() {
		_, err := t.d.Table.Commit(ctx, platform.PriorityBackground, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
		return func() {
			r.statusWriting = false
			r.nextStatus = t.now + waveRetry
			if err == nil {
				r.nextStatus = never
			}
		}
	})
}

// never is later than all times.
const never = time.Duration(1<<63 - 1)
