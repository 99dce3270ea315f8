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
	// waveTable has one row per wave, so that a successor does not maintain machines twice.
	waveTable = "wave"
	// waveStatusPrefix is the key prefix of the rows from which operators read the state of a wave.
	waveStatusPrefix = "status/wave/"
	// machineCallTimeout bounds calls that list or order machines, and reads and writes of wave
	// rows.
	machineCallTimeout = 2 * time.Second
	// waveRetryDelay is the pause before a refused or lost order is sent again.
	waveRetryDelay = 300 * time.Millisecond
	// waveRound is the time for one round of a wave, in which as many machines are maintained as
	// the wave allows at once: about 2 s for draining, 2 s for maintenance, and 0.5 s until the
	// list of machines shows the result.
	waveRound = 4500 * time.Millisecond
	// unseenAfter is how old the answer to an order of maintenance must be for a list that shows the
	// machine as up to mean that the maintenance is over, although no list has shown it as down.
	unseenAfter = 4 * time.Second
	// waveMargin is the reserve added to the time that a wave's rounds need.
	waveMargin = 500 * time.Millisecond
)

// maintenanceState is the state of one machine within a wave.
//
// State machine:
//
//	due -> draining -> ordered -> down -> done
//	           |          '-> due (refused, or the machine has changed)
//	           '-> due (postponed, or the machine has changed)
type maintenanceState uint8

const (
	maintenanceDue maintenanceState = iota
	maintenanceDraining
	maintenanceOrdered
	maintenanceDown
	maintenanceDone
)

// waveRun is the state of a wave in progress.
type waveRun struct {
	wave      site.Wave
	startedAt time.Duration
	// loaded is set once the wave's stored row, if any, has been read.
	loaded, loading bool
	machines        map[model.VM]*waveMachine
	status          site.WaveState
	statusWriting   bool
	nextStatus      time.Duration
}

type waveMachine struct {
	name     model.VM
	state    maintenanceState
	inFlight bool
	nextTry  time.Duration
	// minion is the minion incarnation that the maintenance ends.
	minion jobs.Minion
	since  time.Duration
	// answeredAt is when the last order was answered or given up. unanswered is set if an order got no
	// answer since the machine was drained: it may be carried out yet.
	answeredAt time.Duration
	unanswered bool
	// seenDown is set once the list of machines has shown the machine as not up.
	seenDown bool
	// longRunning is the number of long-running tasks at the last look, lessSince when it last fell.
	longRunning int
	lessSince   time.Duration
	// evicting is set while the machine is emptied of all its tasks, with or without a place for them.
	evicting bool
	// postponed is set once the machine has made way for others because it lost no tasks.
	postponed bool
}

// waveRow is the stored state of a wave: when it was first seen, and the machines whose maintenance
// has begun.
type waveRow struct {
	Seen  time.Time  `json:"t"`
	Begun []model.VM `json:"m,omitempty"`
}

// waves are all maintenance waves.
type waves struct{ runs map[int64]*waveRun }

func (w *waves) init() {
	w.runs = map[int64]*waveRun{}
}

// advanceWaves adds new maintenance waves and advances all of them.
func (t *Term) advanceWaves() {
	for n, wave := range t.deps.Waves() {
		if t.waves.runs[n] == nil {
			r := &waveRun{wave: wave, startedAt: t.now, machines: map[model.VM]*waveMachine{}}
			for _, name := range wave.Machines {
				r.machines[name] = &waveMachine{name: name}
			}
			t.waves.runs[n] = r
		}
	}
	for _, r := range t.waves.runs {
		t.advanceWave(r)
	}
}

// inMaintenance reports whether a wave is draining or maintaining a machine.
func (t *Term) inMaintenance(name model.VM) bool {
	for _, r := range t.waves.runs {
		if machine := r.machines[name]; machine != nil && machine.state != maintenanceDue && machine.state != maintenanceDone {
			return true
		}
	}
	return false
}

// minionsDueForMaintenance returns the minions whose machines are to be maintained but are not
// being drained yet.
func (t *Term) minionsDueForMaintenance() map[jobs.Minion]bool {
	out := map[jobs.Minion]bool{}
	for _, r := range t.waves.runs {
		if r.status == site.WaveCompleted {
			continue
		}
		for name, machine := range r.machines {
			if machine.state == maintenanceDue {
				out[t.machines.byName[name].Minion] = true
			}
		}
	}
	return out
}

// advanceWave advances one wave.
func (t *Term) advanceWave(r *waveRun) {
	if !r.loaded {
		t.loadWave(r)
		return
	}
	t.writeWaveStatus(r)
	if r.status == site.WaveCompleted {
		return
	}
	down, open := 0, 0
	for _, machine := range r.machines {
		t.advanceMachine(r, machine)
		if t.mayBeDown(machine) {
			down++
		}
		if machine.state != maintenanceDone {
			open++
		}
	}
	if open == 0 {
		r.status = site.WaveCompleted
		r.nextStatus = 0
		t.log.Info().Int64("wave", r.wave.ID).Dur("after", t.now-r.startedAt).Msg("Coordinator: wave completed.")
		t.writeWaveStatus(r)
		return
	}
	if t.machines.currentMinions != nil {
		t.drainMachines(r, down)
	}
}

// mayBeDown reports whether a machine counts against the wave's limit: because of this term's
// orders, because of the list of machines, or because an earlier coordinator may have ordered it.
func (t *Term) mayBeDown(machine *waveMachine) bool {
	return machine.state == maintenanceOrdered || machine.state == maintenanceDown || t.machines.byName[machine.name].State == site.MachineMaintenance ||
		machine.state != maintenanceDone && !t.mayOrderMachine(machine.name)
}

// drainMachines drains machines and orders their maintenance, with no more of them out of service
// than the wave allows. down is the number of machines that may be down now.
func (t *Term) drainMachines(r *waveRun, down int) {
	remaining, draining, longRunningSlots := 0, 0, max(1, r.wave.MaxDown/longRunningShare)
	var due []waveCandidate
	var stuck *waveMachine // the longest
	busy := t.busyServices()
	urgent := t.waveIsUrgent(r)
	for _, machine := range r.machines {
		switch machine.state {
		case maintenanceDraining:
			draining++
			if _, longRunning := t.countTasks(machine); longRunning > 0 {
				longRunningSlots--
			}
			if t.drained(machine, urgent) && down < r.wave.MaxDown && t.now >= machine.nextTry {
				down++
				t.orderMaintenance(r, machine)
			}
			if machine.state == maintenanceDraining && machine.longRunning > 0 && !machine.evicting && t.now > machine.lessSince+postponeAfter && (stuck == nil || machine.lessSince < stuck.lessSince) {
				stuck = machine
			}
		case maintenanceDue:
			remaining++
			m, ok := t.machines.byName[machine.name]
			if !ok || m.State != site.MachineUp || t.now < machine.nextTry || t.machines.moves[machine.name] != nil || t.machines.reclaims[machine.name].to != "" || t.hasReservedPlace(m.Minion) || !t.mayOrderMachine(machine.name) || t.inMaintenance(machine.name) {
				continue // in maintenance for another wave, or not to be taken at the moment
			}
			tasks, longRunning := t.countTasks(machine)
			due = append(due, waveCandidate{machine, tasks, longRunning, busy[m.Pool]})
		}
	}
	chosen := chooseMachinesToDrain(due, r.wave.MaxDown-draining-down, longRunningSlots, urgent)
	if len(chosen) == 0 && stuck != nil && len(chooseMachinesToDrain(due, 1, 1, urgent)) > 0 {
		t.postpone(r, stuck)
	}
	for _, machine := range chosen {
		m := t.machines.byName[machine.name]
		machine.state, machine.minion, machine.since = maintenanceDraining, m.Minion, t.now
		_, machine.longRunning = t.countTasks(machine)
		machine.lessSince = t.now
		if minion := t.minions[m.Minion]; minion != nil {
			minion.Cordoned, minion.Draining = true, true
		}
		t.log.Info().Int64("wave", r.wave.ID).Str("machine", string(machine.name)).Str("minion", string(m.Minion)).Int("long_running", machine.longRunning).Msg("Coordinator: draining machine.")
	}
}

// postpone lets other machines of a wave come before one that loses no tasks.
func (t *Term) postpone(r *waveRun, machine *waveMachine) {
	t.uncordon(machine.minion)
	machine.state, machine.nextTry, machine.postponed = maintenanceDue, t.now+waveRetryDelay, true
	t.log.Info().Int64("wave", r.wave.ID).Str("machine", string(machine.name)).Int("long_running", machine.longRunning).Msg("Coordinator: machine postponed, it loses no tasks.")
}

// waveIsUrgent reports whether a wave has no more time left than its remaining machines need.
func (t *Term) waveIsUrgent(r *waveRun) bool {
	remaining := 0
	for _, machine := range r.machines {
		if machine.state == maintenanceDue || machine.state == maintenanceDraining {
			remaining++
		}
	}
	return t.now > r.startedAt+r.wave.Duration-waveTimeNeeded(remaining, r.wave.MaxDown)
}

// longRunningShare limits how many of the machines that a wave takes at once may have long-running
// tasks: one in longRunningShare. The others drain in a second.
const longRunningShare = 2

// waveTimeNeeded returns how long the maintenance of the remaining machines takes. Once a wave has
// no more time left than this, machines are drained even if their service is busy.
func waveTimeNeeded(machines, maxDown int) time.Duration {
	rounds := (machines + max(maxDown, 1) - 1) / max(maxDown, 1)
	return time.Duration(max(rounds, 1))*waveRound + waveMargin
}

// busyServices returns the services with tasks that wait for free capacity, other than long-running
// ones.
func (t *Term) busyServices() map[model.Service]bool {
	out := map[model.Service]bool{}
	t.eachLive("looking for waiting tasks of a job", func(j *jobs.Job) {
		q := t.queueOf(j)
		if out[q.Service] {
			return
		}
		for _, s := range j.CurrentSteps() {
			if !s.Spec.LongRunning && s.Open && s.Count(jobs.Waiting) > 0 {
				out[q.Service] = true
			}
		}
	})
	return out
}

func (t *Term) minionOf(machine *waveMachine) *holding.Minion {
	if m, ok := t.machines.byName[machine.name]; ok {
		return t.minions[m.Minion]
	}
	return nil
}

// countTasks counts the tasks on a machine, and the long-running ones among them.
func (t *Term) countTasks(machine *waveMachine) (tasks, longRunning int) {
	m := t.minionOf(machine)
	if m == nil {
		return 0, 0
	}
	return len(m.Tasks), m.Kinds.LongRunning
}

// stuckAfter is how long a machine may be draining without losing a long-running task until it takes
// other work again: a stop takes up to 0.9 s. A service whose machines all wait for a place for
// their long-running tasks would otherwise do no work.
const stuckAfter = 1200 * time.Millisecond

// postponeAfter is how long a machine may be draining without losing a long-running task while others
// of its wave wait for it. Emptying a machine for such a task and moving it takes 2 to 4 s.
const postponeAfter = 6 * time.Second

// drained reports whether nothing runs on a draining machine any more, and cordons its minion while
// it loses tasks. Long-running tasks are stopped once they have a place elsewhere; in an urgent wave
// also once that empties the machine, as it is then back before long. A machine whose minion
// does not answer is not drained before its leases have expired.
func (t *Term) drained(machine *waveMachine, urgent bool) bool {
	m := t.minions[machine.minion]
	if m == nil {
		return true
	}
	_, longRunning := t.countTasks(machine)
	if longRunning < machine.longRunning {
		machine.lessSince = t.now
	}
	machine.longRunning = longRunning
	stuck := longRunning > 0 && t.now > machine.lessSince+stuckAfter
	machine.evicting = stuck && urgent && t.mayEvictAll(m)
	if machine.evicting && longRunning == len(m.Tasks) {
		t.evict(m, reasonWave)
	}
	// A task that is being stopped must not start here again.
	m.Draining, m.Cordoned = true, !stuck || machine.evicting || t.stopsLongRunning(m)
	t.needsPlan = t.needsPlan || longRunning > 0
	return len(m.Tasks) == 0 && m.Polled
}

// stopsLongRunning reports whether a long-running task on a minion is being stopped.
func (t *Term) stopsLongRunning(m *holding.Minion) bool {
	for task := range m.Tasks {
		if task.Step.Spec.LongRunning && task.Phase == jobs.Stopping {
			return true
		}
	}
	return false
}

func (t *Term) orderMaintenance(r *waveRun, machine *waveMachine) {
	machine.state, machine.inFlight = maintenanceOrdered, true
	send := func() {
		t.sendOrder(machineCallTimeout, func(ctx context.Context) error { return t.orders.Maintain(ctx, machine.name, r.wave.ID) },
			func(err error) { t.maintenanceAnswered(r, machine, err) })
	}
	drop := func() {
		machine.inFlight = false
		t.drainAgain(machine)
	}
	t.queueMachineOrder(machineOrder{machine.name, machine.minion, send, drop})
}

func (t *Term) maintenanceAnswered(r *waveRun, machine *waveMachine, err error) {
	machine.inFlight = false
	t.machineOrderAnswered(machine.name)
	machine.nextTry, machine.answeredAt = t.now+waveRetryDelay, t.now
	switch {
	case err == nil:
		t.maintenanceBegan(r, machine)
	case site.RefusalOf(err) == site.RefusedNotInWave:
		t.log.Warn().Int64("wave", r.wave.ID).Str("machine", string(machine.name)).Msg("Coordinator: machine is not part of the wave.")
		t.uncordon(machine.minion)
		machine.state = maintenanceDone
	case errors.Is(err, site.ErrNoAnswer), errors.Is(err, site.ErrNotSent), machine.unanswered:
		// This order or an earlier one may have been carried out, or may yet be. It is sent again, see
		// repeatMaintenance.
		machine.unanswered = machine.unanswered || errors.Is(err, site.ErrNoAnswer)
	default:
		t.log.Info().Err(err).Int64("wave", r.wave.ID).Str("machine", string(machine.name)).Msg("Coordinator: maintenance refused.")
		t.uncordon(machine.minion)
		machine.state = maintenanceDue
	}
}

func (t *Term) maintenanceBegan(r *waveRun, machine *waveMachine) {
	machine.state, machine.since = maintenanceDown, t.now
	counters.Add("maintenances", 1)
	t.removeMinion(machine.minion)
	t.log.Info().Int64("wave", r.wave.ID).Str("machine", string(machine.name)).Msg("Coordinator: maintenance began.")
	t.storeWave(r)
}

// repeatMaintenance sends an order without an answer again, if a list of machines that was requested after
// it shows the machine unchanged. The machine's next minion is not cordoned: an order would cut off its runs.
func (t *Term) repeatMaintenance(r *waveRun, machine *waveMachine) {
	m, listed := t.machines.byName[machine.name]
	switch {
	case !listed || t.machines.knownAt <= machine.answeredAt:
	case m.State == site.MachineMaintenance:
		t.maintenanceBegan(r, machine)
	case m.State != site.MachineUp || m.Minion != machine.minion:
		t.drainAgain(machine)
	case t.now >= machine.nextTry:
		t.orderMaintenance(r, machine)
	}
}

// drainAgain makes a machine due that went down, or runs a new incarnation of its minion.
func (t *Term) drainAgain(machine *waveMachine) {
	t.uncordon(machine.minion)
	machine.state, machine.nextTry, machine.unanswered = maintenanceDue, t.now+waveRetryDelay, false
}

// advanceMachine detects the end of a machine's maintenance, repeats a lost order, and stops
// draining a machine that has changed meanwhile.
func (t *Term) advanceMachine(r *waveRun, machine *waveMachine) {
	m, listed := t.machines.byName[machine.name]
	switch machine.state {
	case maintenanceOrdered:
		if !machine.inFlight {
			t.repeatMaintenance(r, machine)
		}
	case maintenanceDown:
		if !listed || t.machines.knownAt <= machine.since {
			return
		}
		machine.seenDown = machine.seenDown || m.State != site.MachineUp
		// The minion alone does not show the end of the maintenance: a machine on standby has none,
		// and a minion may return under the same id. Nobody has seen the machine down if the list could
		// not be read meanwhile.
		seen := machine.seenDown || m.Minion != machine.minion || t.machines.knownAt > machine.since+unseenAfter
		if m.State == site.MachineUp && seen {
			machine.state = maintenanceDone
		}
	case maintenanceDraining:
		if listed && (m.State != site.MachineUp || m.Minion != machine.minion) {
			t.drainAgain(machine)
		}
	}
}

func waveKey(n int64) string { return fmt.Sprintf("%s/%d", waveTable, n) }

// loadWave reads the progress that earlier coordinators have made with a wave.
func (t *Term) loadWave(r *waveRun) {
	if r.loading {
		return
	}
	r.loading = true
	t.async(machineCallTimeout, func(ctx context.Context) func() {
		row, err := t.deps.Table.Get(ctx, platform.PriorityBackground, waveKey(r.wave.ID))
		return func() {
			r.loading = false
			if err != nil {
				return // the next call of advanceWave tries again
			}
			var v waveRow
			if row.Version != 0 {
				if err := json.Unmarshal(row.Value, &v); err != nil {
					t.log.Error().Err(err).Str("row", row.Key).Msg("Coordinator: ignoring unreadable wave row.")
				}
			}
			for _, name := range v.Begun {
				if machine := r.machines[name]; machine != nil {
					// The machine may still be down; the list of machines shows when it is up.
					machine.state, machine.since, machine.seenDown = maintenanceDown, t.now, true
				}
			}
			if !v.Seen.IsZero() {
				r.startedAt = t.now - min(max(time.Since(v.Seen), 0), r.wave.Duration)
			}
			r.loaded, r.status = true, site.WaveRunning
			t.storeWave(r)
		}
	})
}

// storeWave queues the row of a wave for the next write.
func (t *Term) storeWave(r *waveRun) {
	v := waveRow{Seen: time.Now().Add(r.startedAt - t.now)}
	for name, machine := range r.machines {
		if machine.state == maintenanceDown || machine.state == maintenanceDone {
			v.Begun = append(v.Begun, name)
		}
	}
	value, err := json.Marshal(v)
	if err != nil {
		t.log.Error().Err(err).Int64("wave", r.wave.ID).Msg("Coordinator: row of wave could not be encoded.")
		return
	}
	t.writer.waveRows[waveKey(r.wave.ID)] = value
}

// writeWaveStatus writes the state of a wave for the operators.
func (t *Term) writeWaveStatus(r *waveRun) {
	if r.statusWriting || t.now < r.nextStatus {
		return
	}
	value, err := t.deps.Codec.WaveStatus(r.status)
	if err != nil {
		t.log.Error().Err(err).Int64("wave", r.wave.ID).Msg("Coordinator: status of wave could not be encoded.")
		return
	}
	r.statusWriting = true
	state := r.status
	key := waveStatusPrefix + fmt.Sprint(r.wave.ID)
	t.async(machineCallTimeout, func(ctx context.Context) func() {
		_, err := t.deps.Table.Commit(ctx, platform.PriorityBackground, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
		return func() {
			r.statusWriting = false
			r.nextStatus = t.now + waveRetryDelay
			if err == nil && r.status == state { // it may have changed during the write
				r.nextStatus = never
			}
		}
	})
}

// never is later than any other time.
const never = time.Duration(1<<63 - 1)
