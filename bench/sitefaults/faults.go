package sitefaults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"boragepulley/standins/faultproxy"
)

// faultKind is a fault that is injected.
type faultKind string

const (
	// dialTimeouts resets a minion's connections, and then lets new ones go unanswered.
	dialTimeouts faultKind = "dial-timeouts"
	// slowConnects resets a minion's connections and delays the data on new ones by slowConnect.
	slowConnects faultKind = "slow-connects"
	// resets resets a minion's connections several times.
	resets faultKind = "resets"
	// silence lets a minion receive and answer nothing.
	silence faultKind = "silence"
	// silentConns silences a minion's open connections for good; new ones work.
	silentConns faultKind = "silent-connections"
	// slowLink delays all data from and to a minion.
	slowLink faultKind = "slow-link"
	// pauseEntry, killEntry and restartEntry concern an entry VM. Callers keep their connections open
	// until a process that is restarted is gone.
	pauseEntry   faultKind = "pause"
	killEntry    faultKind = "kill"
	restartEntry faultKind = "restart"
	// stutterEntry lets an entry VM stand still again and again while it is at work, as one does
	// that gets too little of a processor.
	stutterEntry faultKind = "stutter"
	// pauseKill kills an entry VM that is paused, restartTwo restarts one and at once the next, hangUp
	// sends SIGHUP several times.
	pauseKill  faultKind = "pause-kill"
	restartTwo faultKind = "restart-two"
	hangUp     faultKind = "hang-up"
	// storeDown lets the store serve nobody, and storeAway all but one entry VM: it refuses calls, or
	// does not answer if the fault hits both. storeSlow delays its answers. storeLost carries
	// transactions out, at once or later, and answers few of them.
	storeDown faultKind = "store-down"
	storeAway faultKind = "store-away"
	storeSlow faultKind = "store-slow"
	storeLost faultKind = "store-lost"
	// changeConfig writes the next configuration.
	changeConfig faultKind = "configuration"
	// requestsLost cuts the direction to a minion, answersLost the one from it: what was sent arrives
	// once the link is healed, unless its sender gave it up. New connections time out. storeRequestsLost
	// and storeAnswersLost do it between an entry VM and the store.
	requestsLost      faultKind = "requests-lost"
	answersLost       faultKind = "answers-lost"
	storeRequestsLost faultKind = "store-requests-lost"
	storeAnswersLost  faultKind = "store-answers-lost"
	// peersSilent cuts an entry VM off from another one, or from all if the fault hits both; peersOneWay
	// loses only what it sends, peersDeaf only what it is sent. peersSlow delays all data between entry
	// VMs. cutHandOver stops an entry VM while it is cut off from another one, in one direction if the
	// fault hits both.
	peersSilent faultKind = "peers-silent"
	peersOneWay faultKind = "peers-one-way"
	peersDeaf   faultKind = "peers-deaf"
	peersSlow   faultKind = "peers-slow"
	cutHandOver faultKind = "cut-hand-over"
	// machinesAway lets the machine service receive and answer nothing.
	machinesAway faultKind = "machines-away"
	// crashMinion ends a minion's process, which starts again under its id with a wall clock that is
	// wrong by seconds, in either direction. leaveMinion lets a minion drain and go.
	crashMinion faultKind = "minion-crash"
	leaveMinion faultKind = "minion-leaves"
	// historyGone lets the store forget its history, lateReads holds its answers up after a call was
	// carried out.
	historyGone faultKind = "history-gone"
	lateReads   faultKind = "late-reads"
	// longPause pauses an entry VM for longer than its lease while it is at work.
	longPause faultKind = "long-pause"
	// killStopping kills an entry VM that shuts down, restartTwice restarts one and again as soon as it
	// runs, signals sends SIGHUP and SIGTERM several times, hangUpTakeover kills an entry VM and sends
	// SIGHUP to the others meanwhile.
	killStopping   faultKind = "kill-stopping"
	restartTwice   faultKind = "restart-twice"
	signals        faultKind = "signals"
	hangUpTakeover faultKind = "hang-up-takeover"
	// malformed sends malformed messages to all ports of an entry VM.
	malformed faultKind = "malformed"
)

// Groups of kinds that Options.Only takes, too.
const (
	// SingleFaults are those of links to minions and of one entry VM at a time.
	SingleFaults = "single"
	// SeriesFaults are those of the store, of processes in series, and changes of the configuration.
	SeriesFaults = "series"
	// NetworkFaults are cuts in one direction, and those between entry VMs.
	NetworkFaults = "network"
	// ClockFaults are those of clocks, of minions that end, and of a store that forgets or answers late.
	ClockFaults = "clocks"
	// OverlapFaults are signals in series and malformed messages.
	OverlapFaults = "overlap"
)

var (
	singleKinds  = []faultKind{dialTimeouts, dialTimeouts, dialTimeouts, slowConnects, slowConnects, resets, silence, silence, silentConns, slowLink, pauseEntry, killEntry, restartEntry, stutterEntry, stutterEntry}
	seriesKinds  = []faultKind{storeDown, storeAway, storeAway, storeSlow, storeLost, storeLost, pauseKill, restartTwo, restartTwo, hangUp, changeConfig, changeConfig, changeConfig}
	networkKinds = []faultKind{requestsLost, requestsLost, answersLost, answersLost, storeRequestsLost, storeAnswersLost, storeAnswersLost, peersSilent, peersSilent, peersOneWay, peersOneWay, peersDeaf, peersDeaf, peersSlow, cutHandOver, cutHandOver, machinesAway}
	clockKinds   = []faultKind{crashMinion, crashMinion, crashMinion, leaveMinion, leaveMinion, historyGone, historyGone, lateReads, lateReads, longPause, longPause}
	overlapKinds = []faultKind{killStopping, restartTwice, signals, hangUpTakeover, restartTwo, restartEntry, malformed, malformed, malformed}
	storeKinds   = []faultKind{storeDown, storeAway, storeSlow, storeLost, storeRequestsLost, storeAnswersLost, lateReads}
	entryKinds   = []faultKind{pauseEntry, killEntry, restartEntry, stutterEntry, pauseKill, restartTwo, longPause, killStopping, restartTwice, signals, hangUpTakeover, cutHandOver}
	peerKinds    = []faultKind{peersSilent, peersOneWay, peersDeaf, peersSlow}
)

// groups are the kinds of each group and the number of its sequence of random numbers, so that the
// schedules of one group do not depend on the others.
var groups = map[string]struct {
	kinds    []faultKind
	sequence uint64
}{SeriesFaults: {seriesKinds, 4}, NetworkFaults: {networkKinds, 6}, ClockFaults: {clockKinds, 7}, OverlapFaults: {overlapKinds, 8}}

// groupOrder is the order in which groups are drawn.
var groupOrder = []string{SingleFaults, SeriesFaults, NetworkFaults, ClockFaults, OverlapFaults}

const (
	slowConnect = time.Second
	resetPause  = 200 * time.Millisecond
	// slowLinkDelay is for each direction: an answer takes twice as long, more than the time that
	// the coordinator waits for one.
	slowLinkDelay = 250 * time.Millisecond
	// termGrace is how long a process may take to stop until the platform kills it.
	termGrace = 6 * time.Second
	hangUps   = 3
	// shortestStandstill and longestStandstill bound the pauses of stutterEntry, which lets the
	// process run for stutterRun in between.
	shortestStandstill = 200 * time.Millisecond
	longestStandstill  = 900 * time.Millisecond
	stutterRun         = 50 * time.Millisecond
	stutterPoll        = 100 * time.Microsecond
)

// fault is one fault of a schedule.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	// target is the number of a machine or of an entry VM. chosen replaces the entry VM by the
	// coordinator, and the machine by the one with the most long-running tasks.
	target int
	chosen bool
	// both lets a fault hit the next machine too.
	both bool
}

func (f fault) String() string {
	return fmt.Sprintf("%.1f s: %s of %d for %.1f s, chosen %v, both %v", f.at.Seconds(), f.kind, f.target, f.lasts.Seconds(), f.chosen, f.both)
}

const (
	// faultsFrom is when the faults begin, after the jobs have started.
	faultsFrom = 3 * time.Second
	// faultSpell is how long the faults of one spell take to begin, calmSpell how long the pause
	// before the next spell is: the longest fault, and the time after which the checks count.
	faultSpell  = 3 * time.Second
	calmSpell   = 17 * time.Second
	longestLast = 6 * time.Second
)

// schedule draws the faults of a run. only names groups or kinds, separated by commas; empty means all.
func schedule(single *rand.Rand, seed uint64, machines, entries int, d time.Duration, only string) []fault {
	names := groupOrder
	if only != "" {
		names = strings.Split(only, ",")
	}
	var out []fault
	for _, name := range names {
		rng, kinds := single, singleKinds
		if g, ok := groups[name]; ok {
			rng, kinds = rand.New(rand.NewPCG(seed, g.sequence)), g.kinds
		} else if name != SingleFaults {
			kinds = []faultKind{faultKind(name)}
		}
		out = append(out, draw(rng, kinds, machines, entries, d)...)
	}
	return out
}

// draw draws faults, at most one of an entry VM and one of the store in a spell.
func draw(rng *rand.Rand, kinds []faultKind, machines, entries int, d time.Duration) []fault {
	var out []fault
	for from := faultsFrom; from+faultSpell <= d || len(out) == 0; from += faultSpell + calmSpell {
		entryFault, storeFault := false, false
		for range 2 + rng.IntN(4) {
			f := fault{at: from + time.Duration(rng.Int64N(int64(faultSpell))), lasts: 500*time.Millisecond + time.Duration(rng.Int64N(int64(longestLast))),
				kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(machines), chosen: rng.IntN(2) == 0, both: rng.IntN(3) == 0}
			if slices.Contains(entryKinds, f.kind) {
				if entryFault {
					continue // one entry VM at a time
				}
				entryFault = true
				f.target = rng.IntN(entries)
			}
			if slices.Contains(storeKinds, f.kind) {
				if storeFault {
					continue
				}
				storeFault = true
			}
			out = append(out, f)
		}
	}
	return out
}

// inject injects a fault and returns when it is over.
func (r *run) inject(ctx context.Context, f fault) {
	// A change of the configuration and SIGHUP are no disturbance.
	switch f.kind {
	case changeConfig:
		if err := r.configs.change(r.platform); err != nil {
			r.check.report("harness: %v", err)
		}
		return
	case hangUp:
		r.hangUp(ctx, f)
		return
	case malformed:
		r.sendMalformed(ctx, f)
		return
	case historyGone:
		r.platform.Note("FAULT-BEGINS %v", f)
		r.platform.ForgetHistory()
		return
	}
	r.check.disturbanceBegins()
	defer r.check.disturbanceEnds()
	defer r.platform.Note("FAULT-OVER %v", f)
	switch {
	case slices.Contains(entryKinds, f.kind):
		r.entryFault(ctx, f)
	case slices.Contains(storeKinds, f.kind):
		r.storeFault(ctx, f)
	case slices.Contains(peerKinds, f.kind):
		r.peerFault(ctx, f)
	case f.kind == machinesAway:
		r.machinesFault(ctx, f)
	case f.kind == crashMinion || f.kind == leaveMinion:
		r.minionEnds(ctx, f)
	default:
		r.minionFault(ctx, f)
	}
}

func (r *run) minionFault(ctx context.Context, f fault) {
	specs := machineSpecs()
	names := []string{specs[f.target].Name}
	if f.chosen {
		names[0] = r.check.busiest(names[0])
	}
	if f.both {
		names = append(names, specs[(f.target+1)%len(specs)].Name)
	}
	r.platform.Note("FAULT-BEGINS %v, machines %v", f, names)
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			link := r.proxy.Link(name)
			if err := r.linkFault(ctx, f, link); err != nil {
				r.platform.Note("fault failed: %v", err)
			}
			r.healLink(link)
		})
	}
	wg.Wait()
}

// linkFault injects a fault on one link for its time.
func (r *run) linkFault(ctx context.Context, f fault, link *faultproxy.Link) (err error) {
	switch f.kind {
	case dialTimeouts:
		err = link.Stall()
		link.ResetOpen()
	case slowConnects:
		link.SetConnectDelay(slowConnect)
		link.ResetOpen()
	case resets:
		for end := time.Now().Add(f.lasts); time.Now().Before(end) && sleep(ctx, resetPause); {
			link.ResetOpen()
		}
		return nil
	case silence:
		err = link.Blackhole()
	case silentConns:
		link.SilenceOpen()
		return nil
	case slowLink:
		link.SetDelay(slowLinkDelay)
	case requestsLost:
		link.Hold(faultproxy.ToTarget, "")
		err = link.Stall()
	case answersLost:
		link.Hold(faultproxy.ToClient, "")
		err = link.Stall()
	}
	sleep(ctx, f.lasts)
	return err
}

func (r *run) healLink(link *faultproxy.Link) {
	if err := link.Heal(); err != nil {
		r.check.report("harness: %v", err)
	}
}

func (r *run) entryFault(ctx context.Context, f fault) {
	e := r.entries[r.entryOf(f)]
	e.faulty.Lock()
	defer e.faulty.Unlock()
	r.platform.Note("FAULT-BEGINS %v, entry VM %s", f, e.name)
	defer e.disturb(slices.Contains(plannedKinds, f.kind))()
	p := e.process()
	switch f.kind {
	case pauseEntry:
		if err := p.Pause(); err != nil {
			r.check.report("harness: %v", err)
		}
		sleep(ctx, f.lasts)
		if err := p.Resume(); err != nil {
			r.check.report("harness: %v", err)
		}
	case stutterEntry:
		r.stutter(ctx, e, f)
	case killEntry:
		p.Kill()
		sleep(ctx, f.lasts)
		r.restart(e)
	case pauseKill:
		if err := p.Pause(); err != nil {
			r.check.report("harness: %v", err)
		}
		sleep(ctx, f.lasts)
		p.Kill()
		r.restart(e)
	case restartEntry:
		r.terminate(ctx, e)
	case restartTwo:
		r.terminate(ctx, e)
		next := r.entries[(slices.Index(r.entries, e)+1)%len(r.entries)]
		next.faulty.Lock()
		defer next.faulty.Unlock()
		defer next.disturb(true)()
		r.terminate(ctx, next)
	default:
		r.processFault(ctx, f, e)
	}
}

func (r *run) hangUp(ctx context.Context, f fault) {
	e := r.entries[r.entryOf(f)]
	e.faulty.Lock()
	defer e.faulty.Unlock()
	r.platform.Note("FAULT-BEGINS %v, entry VM %s", f, e.name)
	for !e.listens() && sleep(ctx, tickEvery) { // a process can not handle a signal before main runs
	}
	for range hangUps {
		if err := e.process().HangUp(); err != nil {
			r.check.report("harness: %v", err)
		}
		sleep(ctx, f.lasts/hangUps)
	}
}

// entryOf returns the number of the entry VM that a fault hits.
func (r *run) entryOf(f fault) int {
	if holder := r.coordinator(); f.chosen && holder != nil {
		return slices.Index(r.entries, holder)
	}
	return f.target % len(r.entries)
}

// terminate stops an entry VM as the platform does and starts it again.
func (r *run) terminate(ctx context.Context, e *entryVM) {
	r.stop(ctx, e, func() {
		if err := e.process().SendTerminate(); err != nil {
			r.check.report("harness: %v", err)
		}
	})
}

// stop stops an entry VM by signals and starts it again.
func (r *run) stop(ctx context.Context, e *entryVM, signal func()) {
	p, began, listened := e.process(), time.Now(), e.listens()
	r.wg.Go(func() { r.callers.holdConnections(ctx, e, p) })
	signal()
	err := p.Await(termGrace)
	// A process can not handle a signal before main runs; it has no callers then.
	if early := !listened && endedBy(err, syscall.SIGTERM); err != nil && !early && !r.check.stalledSince(began) {
		r.check.report("shutdown of %s: %v", e.name, err)
	}
	if p.Running() {
		p.Kill() // as the platform does
	}
	r.restart(e)
}

// endedBy reports whether a signal ended the process that err is about.
func endedBy(err error, s syscall.Signal) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// storeFault injects a fault of the store.
func (r *run) storeFault(ctx context.Context, f fault) {
	hit := r.entries
	if f.kind == storeAway || (f.kind == storeRequestsLost || f.kind == storeAnswersLost) && !f.both {
		hit = []*entryVM{r.entries[r.entryOf(f)]}
	}
	for _, e := range r.entries {
		defer e.disturb(false)() // the rules count a store in disorder against nobody
	}
	r.platform.Note("FAULT-BEGINS %v, entry VMs hit %d, first %s", f, len(hit), hit[0].name)
	for _, e := range hit {
		link := r.proxy.Link(storeLink(e.name))
		if f.kind != storeRequestsLost && f.kind != storeAnswersLost && f.kind != lateReads {
			link.ResetOpen()
		}
		switch {
		case f.kind == storeRequestsLost, f.kind == storeAnswersLost:
			link.Hold(map[faultKind]faultproxy.Direction{storeRequestsLost: faultproxy.ToTarget, storeAnswersLost: faultproxy.ToClient}[f.kind], "")
			if err := link.Stall(); err != nil {
				r.platform.Note("fault failed: %v", err)
			}
		case f.kind == lateReads:
			e.late.Store(true)
		case f.kind == storeSlow:
			link.SetDelay(slowLinkDelay)
		case f.kind == storeLost:
			e.treatment.Store(lostAnswers)
		case !f.both:
			e.treatment.Store(turnedAway)
		default:
			if err := link.Blackhole(); err != nil {
				r.check.report("harness: %v", err)
			}
		}
	}
	sleep(ctx, f.lasts)
	for _, e := range hit {
		e.treatment.Store(served)
		e.late.Store(false)
		r.healLink(r.proxy.Link(storeLink(e.name)))
	}
}

// storeLink names the link from an entry VM to the store.
func storeLink(entry string) string { return "store/" + entry }

// stutter pauses an entry VM whenever it is at work.
func (r *run) stutter(ctx context.Context, e *entryVM, f fault) {
	p := e.process()
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(f.at)))
	for end := time.Now().Add(f.lasts); time.Now().Before(end); {
		for !p.AtWork() && time.Now().Before(end) {
			time.Sleep(stutterPoll)
		}
		if err := p.Pause(); err != nil {
			r.check.report("harness: %v", err)
			return
		}
		goOn := sleep(ctx, shortestStandstill+time.Duration(rng.Int64N(int64(longestStandstill-shortestStandstill))))
		if err := p.Resume(); err != nil {
			r.check.report("harness: %v", err)
			return
		}
		if !goOn || !sleep(ctx, stutterRun) {
			return
		}
	}
}

func (r *run) restart(e *entryVM) {
	if err := e.start(); err != nil {
		r.check.report("harness: %v", err)
	}
}
