package entry

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"boragepulley/internal/lease"
	"boragepulley/internal/platform"
	"boragepulley/internal/readiness"
)

// readinessWatch is the knowledge by which readiness is decided.
type readinessWatch struct {
	// out is set while this entry VM is out of rotation because it cannot store jobs.
	out atomic.Bool
	// awaiting is set while followOperators waits for the store, and probes it.
	awaiting atomic.Bool
	// wake wakes watchStore.
	wake chan struct{}

	mu       sync.Mutex
	probes   readiness.Probes   // guarded by mu
	decision readiness.Decision // guarded by mu
}

// initReadiness begins the time without a configuration.
func (n *Node) initReadiness() {
	n.readiness.mu.Lock()
	defer n.readiness.mu.Unlock()
	n.readiness.decision = readiness.Decision{Reason: readiness.Unconfigured, Since: n.deps.Now()}
	setReadyGauge(false)
}

// wakeStoreWatch makes watchStore look at the store. It does not block.
func (n *Node) wakeStoreWatch() {
	select {
	case n.readiness.wake <- struct{}{}:
	default:
	}
}

// watchStore probes the store after a failed call until it answers again and this entry VM is ready. At other
// times it makes no calls. While followOperators probes, it only updates the decision.
func (n *Node) watchStore() {
	if n.readiness.out.Load() { // restarted after a panic, which may have ended the probes by which this entry VM returns
		n.wakeStoreWatch()
	}
	for {
		select {
		case <-n.readiness.wake:
		case <-n.ctx.Done():
			return
		}
		for {
			if !n.readiness.awaiting.Load() {
				_ = n.probeStore()
			}
			if n.updateReadiness() && !n.readiness.awaiting.Load() {
				break
			}
			if !n.sleep(operatorRetryDelay) {
				return
			}
		}
	}
}

// probeStore reads a row, directly or through peers, and updates readiness by the outcome.
func (n *Node) probeStore() error {
	ctx, cancel := context.WithTimeout(n.ctx, storeCheckTimeout)
	defer cancel()
	began := n.deps.Now()
	err := n.store.Probe(ctx, platform.PriorityConfig, lease.Key)
	if n.ctx.Err() != nil {
		return err
	}
	ended := n.deps.Now()
	w := &n.readiness
	w.mu.Lock()
	usable := w.probes.Record(began, ended, err == nil)
	w.mu.Unlock()
	if !usable {
		n.store.ForgetSilence()
		n.log.Info().Dur("took", ended-began).Msg("Entry: the process was suspended; its probe of the store is ignored.")
	}
	n.updateReadiness()
	return err
}

// updateReadiness decides on readiness by what is known now. It reports whether nothing has to be watched: the
// last probe succeeded and this entry VM is not out of rotation.
func (n *Node) updateReadiness() bool {
	w := &n.readiness
	w.mu.Lock()
	defer w.mu.Unlock()
	e := readiness.Evidence{Configured: n.configured(), Stopping: n.stopping.Load(), SuccessfulProbes: w.probes.Successes()}
	if w.probes.Failing() {
		e.Peers = n.peerEvidence()
	}
	// The time of the last answered call is read after the evidence, so that a peer that is known to reach the store
	// never counts without the answer that it passed on.
	now := n.deps.Now()
	e.Now = now
	var served time.Duration
	if at := n.store.LastServed(); !at.IsZero() {
		served = max(now-time.Since(at), 0)
	}
	e.FailingFor = w.probes.FailingFor(served)
	prev := w.decision
	w.decision = readiness.Decide(prev, e)
	d := w.decision
	w.out.Store(d.Reason == readiness.CutOff || d.Reason == readiness.Recovering)
	switch {
	case d.Reason.Ready() != prev.Reason.Ready():
		n.log.Info().Bool("ready", d.Reason.Ready()).Str("reason", string(d.Reason)).Str("before", string(prev.Reason)).Dur("after", now-prev.Since).Dur("failing", e.FailingFor).
			Int("probes", e.SuccessfulProbes).Int("answering", d.Answering).Int("silent", d.Silent).Int("reaching", d.Reaching).Msg("Entry: readiness changes.")
		counters.Add("readiness_changes", 1)
		setReadyGauge(d.Reason.Ready())
	case d.Reason == readiness.StoreAwayForAll && prev.Reason != d.Reason:
		n.log.Info().Dur("failing", e.FailingFor).Int("answering", d.Answering).Int("silent", d.Silent).Int("reaching", d.Reaching).
			Msg("Entry: stays ready without the store, it is not known to be cut off from other data centres.")
	}
	return !w.probes.Failing() && !w.out.Load()
}

// peerEvidence returns how the other entry VMs answered.
func (n *Node) peerEvidence() []readiness.Peer {
	members := n.members.Load()
	if members == nil {
		return nil
	}
	out := make([]readiness.Peer, 0, len(*members))
	for name, m := range *members {
		if name == n.deps.Self.Entry {
			continue
		}
		c := n.store.Contact(n.dial(name, m.Addr))
		out = append(out, readiness.Peer{OtherDC: n.elsewhere(m), Answered: c.Answered, AnsweredLately: c.AnsweredLately, SilentFor: c.SilentFor, ReachesStore: c.ReachesStore})
	}
	return out
}

// setReadyGauge sets the gauge "ready".
func setReadyGauge(ready bool) {
	g := new(expvar.Int)
	if ready {
		g.Set(1)
	}
	counters.Set("ready", g)
}
