package sitefaults

import (
	"context"
	"regexp"
	"slices"
	"sync"
	"time"

	"boragepulley/standins/faultproxy"
)

// machinesLink names the link to the machine service.
const machinesLink = "machines"

// peerLink names the link to an entry VM from the others.
func peerLink(entry string) string { return "peer/" + entry }

// sender matches the name of an entry VM in the first message of a connection.
var sender = regexp.MustCompile(`"entry":"([^"]+)"`)

// peerOf returns the name of the entry VM that sent a message.
func peerOf(data []byte) string {
	if m := sender.FindSubmatch(data); m != nil {
		return string(m[1])
	}
	return ""
}

// othersOf returns the other entry VMs that a fault cuts off from e: one, or all if it hits both.
func (r *run) othersOf(e *entryVM, f fault) []*entryVM {
	i := slices.Index(r.entries, e)
	others := append(slices.Clone(r.entries[i+1:]), r.entries[:i]...)
	if !f.both {
		return others[:1]
	}
	return others
}

// cutPeers holds back what e sends to others, and what it is sent, and returns the end of that. An
// entry VM both connects to the others and is connected to.
func (r *run) cutPeers(e *entryVM, others []*entryVM, sent, received bool) (heal func()) {
	type held struct {
		link      *faultproxy.Link
		direction faultproxy.Direction
		source    string
	}
	var all []held
	for _, o := range others {
		out, in := r.proxy.Link(peerLink(o.name)), r.proxy.Link(peerLink(e.name))
		if sent {
			all = append(all, held{out, faultproxy.ToTarget, e.name}, held{in, faultproxy.ToClient, o.name})
		}
		if received {
			all = append(all, held{out, faultproxy.ToClient, e.name}, held{in, faultproxy.ToTarget, o.name})
		}
	}
	for _, h := range all {
		h.link.Hold(h.direction, h.source)
	}
	return func() {
		for _, h := range all {
			h.link.Release(h.direction, h.source)
		}
	}
}

// peerFault injects a fault between entry VMs. Their links to the callers, the store and the minions
// work, but an entry VM may depend on another one to answer.
func (r *run) peerFault(ctx context.Context, f fault) {
	e := r.entries[r.entryOf(f)]
	for _, x := range r.entries {
		defer x.disturb(false)()
	}
	r.platform.Note("FAULT-BEGINS %v, entry VM %s", f, e.name)
	if f.kind == peersSlow {
		for _, x := range r.entries {
			r.proxy.Link(peerLink(x.name)).SetDelay(slowLinkDelay)
		}
		sleep(ctx, f.lasts)
		for _, x := range r.entries {
			r.proxy.Link(peerLink(x.name)).SetDelay(0)
		}
		return
	}
	defer r.cutPeers(e, r.othersOf(e, f), f.kind != peersDeaf, f.kind != peersOneWay)()
	sleep(ctx, f.lasts)
}

// machinesFault lets the machine service receive and answer nothing, or only lose its answers.
func (r *run) machinesFault(ctx context.Context, f fault) {
	r.platform.Note("FAULT-BEGINS %v", f)
	link := r.proxy.Link(machinesLink)
	if f.both {
		link.Hold(faultproxy.ToClient, "")
	} else if err := link.Blackhole(); err != nil {
		r.check.report("harness: %v", err)
	}
	sleep(ctx, f.lasts)
	r.healLink(link)
}

const (
	// longestClockStep bounds by how much the wall clock of a minion is wrong after a crash.
	longestClockStep = 8 * time.Second
	// leaveNotice is how long before its end a minion says that it leaves, leftFor how long its
	// machine is down after that.
	leaveNotice = 4 * time.Second
	leftFor     = 2 * time.Second
)

// minionEnds lets minions crash or leave, and waits until they are back.
func (r *run) minionEnds(ctx context.Context, f fault) {
	specs := machineSpecs()
	names := []string{specs[f.target].Name}
	if f.chosen {
		names[0] = r.check.busiest(names[0])
	}
	if next := specs[(f.target+1)%len(specs)].Name; f.both && next != names[0] {
		names = append(names, next)
	}
	r.platform.Note("FAULT-BEGINS %v, machines %v", f, names)
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			if f.kind == leaveMinion {
				if id := r.platform.Leave(name, leaveNotice, leftFor); id != "" {
					r.check.leaving(id)
					sleep(ctx, leaveNotice+leftFor)
				}
				return
			}
			// The step follows from the fault's time, so that a seed repeats it.
			step := time.Duration(int64(f.at+f.lasts)%int64(2*longestClockStep)) - longestClockStep
			if i > 0 {
				step = -step
			}
			if r.platform.Crash(name, f.lasts, step) {
				sleep(ctx, f.lasts)
			}
		})
	}
	wg.Wait()
}
