package sitefaults

import (
	"context"
	"math/rand/v2"
	"time"
)

// plannedKinds are stops that cut off no request.
var plannedKinds = []faultKind{restartEntry, restartTwo, restartTwice, signals}

const (
	// longestLease is longer than the lease of a coordinator and the time until a successor takes it.
	longestLease = 2500 * time.Millisecond
	// signalPause is the time between two signals.
	signalPause = 150 * time.Millisecond
	signalCount = 4
	// workWait bounds the wait until an entry VM is at work.
	workWait = time.Second
)

// processFault injects a fault that ends, pauses or signals the process of an entry VM.
func (r *run) processFault(ctx context.Context, f fault, e *entryVM) {
	p := e.process()
	switch f.kind {
	case longPause:
		for end := time.Now().Add(workWait); !p.AtWork() && time.Now().Before(end); {
			time.Sleep(stutterPoll)
		}
		if err := p.Pause(); err != nil {
			r.check.report("harness: %v", err)
		}
		sleep(ctx, longestLease+f.lasts/2)
		if err := p.Resume(); err != nil {
			r.check.report("harness: %v", err)
		}
	case killStopping:
		r.wg.Go(func() { r.callers.holdConnections(ctx, e, p) })
		if err := p.SendTerminate(); err != nil {
			r.check.report("harness: %v", err)
		}
		sleep(ctx, f.lasts/2)
		p.Kill()
		r.restart(e)
	case restartTwice:
		r.terminate(ctx, e)
		if !f.both { // otherwise it is stopped while it starts
			for !e.listens() && sleep(ctx, tickEvery) {
			}
		}
		r.terminate(ctx, e)
	case signals:
		for !e.listens() && sleep(ctx, tickEvery) { // a process can not handle a signal before main runs
		}
		rng := rand.New(rand.NewPCG(r.o.Seed, uint64(f.at)))
		r.stop(ctx, e, func() {
			for i := range signalCount {
				send := p.HangUp
				if i == signalCount-1 || rng.IntN(2) == 0 {
					send = p.SendTerminate
				}
				if err := send(); err != nil && p.Running() {
					r.check.report("harness: %v", err)
				}
				sleep(ctx, signalPause)
			}
		})
	case hangUpTakeover:
		p.Kill()
		for end := time.Now().Add(longestLease); time.Now().Before(end) && sleep(ctx, signalPause); {
			for _, o := range r.othersOf(e, fault{both: true}) {
				if q := o.process(); q.Running() && o.listens() {
					_ = q.HangUp() // it may end meanwhile, by another fault
				}
			}
		}
		r.restart(e)
	case cutHandOver:
		others := r.othersOf(e, fault{})
		defer r.cutPeers(e, others, true, !f.both)()
		defer others[0].disturb(false)()
		sleep(ctx, f.lasts/4)
		r.terminate(ctx, e)
		sleep(ctx, f.lasts/4)
	}
}

// ports returns the addresses that an entry VM listens on.
func (e *entryVM) ports() []string { return []string{e.caller, e.ready, e.peer, e.metrics} }

// sendMalformed sends malformed messages to all ports of an entry VM.
func (r *run) sendMalformed(ctx context.Context, f fault) {
	e := r.entries[r.entryOf(f)]
	r.platform.Note("FAULT-BEGINS %v, entry VM %s", f, e.name)
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(f.at)))
	for end := time.Now().Add(f.lasts); time.Now().Before(end) && sleep(ctx, malformedPause); {
		all := malformedMessages(rng)
		for _, addr := range e.ports() {
			sendAndRead(addr, all[rng.IntN(len(all))])
		}
	}
}
