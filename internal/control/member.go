package control

import (
	"context"
	stderrors "errors"
	"slices"
	"strings"
	"time"

	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/settings"
)

// member holds the known state of another entry VM.
type member struct {
	settings.Peer
	client      PeerClient
	status      MemberStatus
	incarnation model.Incarnation
	// endedIncarnations holds the incarnations that are taken for ended, and since when. Late
	// messages of them are ignored. An answer to a later message withdraws the entry.
	endedIncarnations map[model.Incarnation]time.Time
	// lastMessage is when its last message or reply arrived.
	lastMessage time.Time
	// answered is the send time of the latest message that it has answered.
	answered time.Time
	// unansweredSince is the send time of the first message that has stayed unanswered
	// since the last answer; zero after an answer.
	unansweredSince time.Time
	// silentProbes counts the probes over new connections that stayed unanswered since the
	// last answer.
	silentProbes int
	probing      bool
	// goneAt is the time of the last refused connection attempt that marked it as gone.
	goneAt        time.Time
	configVersion uint64
	// coordinator is the entry VM that it follows and token the highest token that it knows,
	// as last reported.
	coordinator model.EntryVM
	token       model.Token
	// confirmed is the send time of the latest message whose answer confirmed the token of
	// this entry VM.
	confirmed time.Time
	// confirmationWaived is set when the member's process was silent for silentAfter. Its
	// confirmation is not required until it confirms again. That does not apply to its next process.
	confirmationWaived bool
	// unregistered is set until the member accepts a registration. It is set again by
	// each takeover and whenever the member was unreachable.
	unregistered bool
	// allotmentsSeq is the sequence number of the newest allotments that the member has
	// confirmed; see allotmentState.seq.
	allotmentsSeq uint64
	registering   bool
}

// addMembers creates the members from the settings.
func (c *Control) addMembers() {
	for _, p := range c.deps.Settings.Peers {
		if p.Name == c.self.Entry {
			continue
		}
		m := &member{Peer: p, client: c.deps.Dial(p), status: MemberUnknown, endedIncarnations: map[model.Incarnation]time.Time{}}
		c.members = append(c.members, m)
		c.byName[p.Name] = m
		c.peerClients[p.Name] = m.client
		if p.DC != c.self.DC && c.remoteDCs[p.DC] == nil {
			c.remoteDCs[p.DC] = &remoteDCState{}
		}
	}
	slices.SortFunc(c.members, func(a, b *member) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// localMembers returns the members of the local data centre.
func (c *Control) localMembers() []*member {
	var out []*member
	for _, m := range c.members {
		if m.DC == c.self.DC {
			out = append(out, m)
		}
	}
	return out
}

func (c *Control) peerStates() map[model.EntryVM]PeerState {
	out := make(map[model.EntryVM]PeerState, len(c.members))
	for _, m := range c.members {
		out[m.Name] = PeerState{DC: m.DC, Addr: m.Addr, Status: m.status, Incarnation: m.incarnation, Config: m.configVersion, LastHeard: m.lastMessage}
	}
	return out
}

// newHeartbeat returns a heartbeat with the current state of this entry VM.
func (c *Control) newHeartbeat() *peer.Heartbeat {
	now := time.Now()
	hb := &peer.Heartbeat{
		From:        c.self,
		Config:      c.cfg.version(),
		Token:       c.following.token,
		Coordinator: c.following.coordinator,
		EvidenceAge: c.evidenceAge(now),
		Leaving:     c.shuttingDown,
	}
	if c.coord != nil {
		hb.NotServing = c.notServing()
		hb.PoolOverrides = c.fleet.poolOverrides
		hb.Tasks = c.taskCounts
	}
	return hb
}

// newRemoteHeartbeat returns a heartbeat for a remote data centre. It leaves out what only
// a successor in the local data centre needs.
func (c *Control) newRemoteHeartbeat() *peer.Heartbeat {
	hb := c.newHeartbeat()
	hb.NotServing, hb.PoolOverrides, hb.Allotments = nil, nil, nil
	return hb
}

// sendHeartbeats sends a heartbeat to every entry VM of the local data centre. Those that
// are gone are only probed.
func (c *Control) sendHeartbeats(now time.Time) {
	for _, m := range c.localMembers() {
		if m.status == MemberGone {
			c.probe(m)
		} else {
			c.sendHeartbeat(m)
		}
	}
	c.snapshotStale = true
}

// sendHeartbeat sends a heartbeat to m. The coordinator adds the allotments until m has
// confirmed them.
func (c *Control) sendHeartbeat(m *member) {
	hb, sent, seq := c.newHeartbeat(), time.Now(), c.allot.seq
	if c.coord != nil && m.allotmentsSeq != seq {
		hb.Allotments = c.allot.current
	}
	c.runAsync(heartbeatTimeout, func(ctx context.Context) func() {
		r, err := m.client.Heartbeat(ctx, hb)
		return func() {
			c.onHeartbeatReply(m, r, err, sent)
			follows := err == nil && r.Token == hb.Token && r.Coordinator == c.self.Entry && r.From.Incarnation == m.incarnation
			if hb.Allotments != nil && follows && seq == c.allot.seq {
				m.allotmentsSeq = seq
			}
		}
	})
}

func (c *Control) onHeartbeatReply(m *member, r *peer.HeartbeatReply, err error, sent time.Time) {
	if err == nil {
		c.onAnswer(m, &r.Heartbeat, sent)
		return
	}
	c.onUnanswered(m, sent)
	c.probe(m)
}

func (c *Control) onUnanswered(m *member, sent time.Time) {
	if sent.Before(m.answered) {
		return
	}
	if m.unansweredSince.IsZero() || sent.Before(m.unansweredSince) {
		m.unansweredSince = sent
	}
}

// probe tries up to refusalsUntilGone new connections. They distinguish a dead process
// (refused) from a paused one (no answer) and from a silent connection (an answer).
func (c *Control) probe(m *member) {
	if m.probing {
		return
	}
	m.probing = true
	hb := c.newHeartbeat()
	c.runAsync(refusalsUntilGone*heartbeatTimeout, func(ctx context.Context) func() {
		first := time.Now()
		for n := 1; ; n++ {
			sent := time.Now()
			pctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			r, err := m.client.Probe(pctx, hb)
			cancel()
			refused := stderrors.Is(err, peer.ErrRefused)
			if refused && n < refusalsUntilGone {
				sleep(ctx, probeDelay)
				continue
			}
			return func() {
				m.probing = false
				switch {
				case err == nil:
					c.onAnswer(m, &r.Heartbeat, sent)
				case refused:
					c.onRefused(m, first, sent)
				default:
					m.silentProbes++
					c.onUnanswered(m, sent)
				}
			}
		}
	})
}

// onRefused marks m as gone after new connections to it were refused; the attempts were made
// between first and last. If a message of m arrived after the first one, a process is or was
// running since, and the refusals do not prove that it has ended; m is probed again.
func (c *Control) onRefused(m *member, first, last time.Time) {
	if m.lastMessage.After(first) {
		c.probe(m)
		return
	}
	m.goneAt = last
	c.setStatus(m, MemberGone, "three new connections refused")
}

// onAnswer handles a heartbeat reply. sent is when the heartbeat was sent: the peer was
// alive at some time after it, however late the reply is read.
func (c *Control) onAnswer(m *member, hb *peer.Heartbeat, sent time.Time) {
	c.withdrawEnd(m, hb.From.Incarnation, sent)
	if !c.acceptSender(hb.From) {
		return
	}
	if sent.After(m.answered) {
		m.answered = sent
	}
	m.unansweredSince, m.silentProbes = time.Time{}, 0
	c.onHeartbeat(m, hb)
	if m.DC == c.self.DC {
		c.onLocalAnswer(m, hb, sent)
	}
	c.onEvidence(hb, sent)
}

// onLocalAnswer evaluates what the reply of a member of the local data centre says about
// the coordinator.
func (c *Control) onLocalAnswer(m *member, hb *peer.Heartbeat, sent time.Time) {
	if hb.Token != c.following.token {
		return
	}
	if c.following.coordinator == m.Name && hb.Coordinator == m.Name {
		c.gate.confirmCoordinator(hb.Token, m.Name, sent)
	}
	if c.following.coordinator == c.self.Entry && hb.Coordinator == c.self.Entry {
		c.confirmToken(m, sent)
	}
}

// confirmToken records that m followed the token of this entry VM at some time after sent.
func (c *Control) confirmToken(m *member, sent time.Time) {
	if sent.After(m.confirmed) {
		m.confirmed = sent
	}
	m.confirmationWaived = false
}

// withdrawEnd no longer takes an incarnation of m for ended if it has answered a message that
// was sent after that decision. The decision is wrong if connections to a running process are
// refused, or if a delayed message of the process before it arrives.
func (c *Control) withdrawEnd(m *member, inc model.Incarnation, sent time.Time) {
	at, ended := m.endedIncarnations[inc]
	if !ended || !sent.After(at) {
		return
	}
	delete(m.endedIncarnations, inc)
	c.log.Warn().Str("peer", string(m.Name)).Str("incarnation", string(inc)).Dur("after", time.Since(at)).
		Msg("entry VM taken for gone has answered")
}

// acceptSender records that a message arrived and reports whether it comes from the newest
// known incarnation of its sender. Other messages must be ignored.
func (c *Control) acceptSender(from peer.Sender) bool {
	m := c.byName[from.Entry]
	if m == nil || m.isEnded(from.Incarnation) {
		return false
	}
	m.lastMessage = time.Now()
	if m.incarnation != from.Incarnation {
		if m.incarnation != "" {
			m.endedIncarnations[m.incarnation] = time.Now()
			c.onIncarnationEnd(m, "new incarnation")
		}
		m.incarnation = from.Incarnation
		c.setStatus(m, MemberAlive, "new incarnation")
	} else if m.status != MemberAlive && m.status != MemberLeaving {
		c.setStatus(m, MemberAlive, "answers again")
	}
	return true
}

// isEnded reports whether an incarnation of m is taken for ended.
func (m *member) isEnded(inc model.Incarnation) bool {
	_, ended := m.endedIncarnations[inc]
	return ended
}

// onHeartbeat applies the content of a heartbeat or a heartbeat reply.
func (c *Control) onHeartbeat(m *member, hb *peer.Heartbeat) {
	m.configVersion = max(m.configVersion, hb.Config)
	m.coordinator, m.token = hb.Coordinator, hb.Token
	if hb.Leaving && m.status == MemberAlive {
		c.setStatus(m, MemberLeaving, "graceful shutdown")
	}
	if m.DC == c.self.DC {
		c.observeToken(hb.Token, hb.Coordinator, "heartbeat")
		c.onCoordinatorReport(m, hb)
		if c.coord != nil && (m.unregistered || hb.Token.Less(c.following.token)) {
			c.registerAgain(m)
		}
	} else if remote := c.remoteDCs[m.DC]; remote != nil && hb.Coordinator != "" {
		remote.coordinator = hb.Coordinator
	}
	if hb.Config > c.cfg.newestVersion() {
		c.fetchFrom(m, hb.Config)
	}
}

// onCoordinatorReport handles what a member reports about its own role as coordinator
// with the current token.
func (c *Control) onCoordinatorReport(m *member, hb *peer.Heartbeat) {
	f := c.following
	switch {
	case hb.Token != f.token:
	case hb.Coordinator == m.Name && f.coordinator == m.Name:
		c.keepReportedVMStates(hb.NotServing, hb.PoolOverrides)
		c.keepReportedAllotments(hb.Allotments)
		c.keepReportedTaskCounts(hb.Tasks)
	case hb.Coordinator == m.Name && f.coordinator == "" && f.resigned.Less(f.token):
		c.follow(f.token, m.Name, "heartbeat")
	case hb.Coordinator != m.Name && f.coordinator == m.Name:
		c.markResigned("coordinator gave up")
	}
}

// onIncarnationEnd releases what was held by a process that has ended.
func (c *Control) onIncarnationEnd(m *member, reason string) {
	m.confirmationWaived, m.allotmentsSeq = false, 0
	m.unansweredSince, m.silentProbes = time.Time{}, 0
	switch {
	case m.DC != c.self.DC:
	case c.coord != nil:
		c.deliverEffects(c.coord.admission.RemoveHolder(time.Now(), m.Name))
	case c.takeover != nil:
		c.takeover.removeHolder(m.Name)
	}
	c.recordEvent("failure", "entry/"+string(m.Name), "", "gone", reason)
}

func (c *Control) setStatus(m *member, s MemberStatus, reason string) {
	if m.status == s {
		return
	}
	old := m.status
	m.status = s
	c.snapshotStale = true
	membershipOps.Add(string(s), 1)
	c.log.Info().Str("peer", string(m.Name)).Str("from", string(old)).Str("to", string(s)).
		Str("reason", reason).Msg("membership change")
	c.recordEvent("membership", "entry/"+string(m.Name), string(old), string(s), reason)
	switch {
	case s == MemberGone:
		if m.incarnation != "" {
			m.endedIncarnations[m.incarnation] = time.Now()
			m.incarnation = ""
		}
		c.onIncarnationEnd(m, reason)
	case s == MemberAlive && m.DC == c.self.DC:
		m.unregistered = true
		c.registerAgain(m)
	}
}

// checkMembers marks members without a recent message as suspect.
func (c *Control) checkMembers(now time.Time) {
	for _, m := range c.localMembers() {
		if (m.status == MemberAlive || m.status == MemberLeaving) && now.Sub(m.lastMessage) > suspectAfter {
			c.setStatus(m, MemberSuspect, "no message for 1.5 s")
		}
		if m.isSilent(now) {
			m.confirmationWaived = true
		}
	}
}

// isSilent reports whether m has left messages over new connections unanswered for
// silentAfter, as a paused process does.
func (m *member) isSilent(now time.Time) bool {
	return !m.unansweredSince.IsZero() && m.silentProbes >= 2 && now.Sub(m.unansweredSince) >= silentAfter
}

// Heartbeat implements peer.ControlHandler.
func (h handler) Heartbeat(ctx context.Context, hb *peer.Heartbeat) (*peer.HeartbeatReply, error) {
	c := h.c
	return callOnLoop(ctx, c, func() (*peer.HeartbeatReply, error) {
		if m := c.byName[hb.From.Entry]; m != nil && c.acceptSender(hb.From) {
			c.onHeartbeat(m, hb)
		}
		if hb.From.DC != c.self.DC {
			return &peer.HeartbeatReply{Heartbeat: *c.newRemoteHeartbeat()}, nil
		}
		return &peer.HeartbeatReply{Heartbeat: *c.newHeartbeat()}, nil
	})
}

// remoteDCState holds what a coordinator knows about a remote data centre.
type remoteDCState struct {
	coordinator model.EntryVM
	// nextTarget rotates through the entry VMs while the coordinator is not known.
	nextTarget int
	// answered is the send time of the latest answered message, and configVersion the
	// configuration version in the answer.
	answered      time.Time
	configVersion uint64
	// usageFrom, usageToken and usageSeq identify the newest usage report received; waiting holds
	// its counts.
	usageFrom  peer.Sender
	usageToken model.Token
	usageSeq   uint64
	waiting    map[model.Team]int
	// reported is the last usage report sent there, and reportedAt the time.
	reported   *peer.Usage
	reportedAt time.Time
}

// heartbeatDue reports whether a heartbeat to a remote data centre is due. While the table
// proves that the configuration is the newest one, an answer is only needed to detect a
// change of the coordinator there, which the usage reports do as well.
func (remote *remoteDCState) heartbeatDue(now, tableEvidence time.Time) bool {
	fresh := now.Sub(tableEvidence) < tableEvidenceFresh
	return !fresh || remote.coordinator == "" || now.Sub(remote.answered) > remoteHeartbeatIdle
}

// sendRemoteHeartbeats sends a heartbeat to one entry VM of every remote data centre, if
// this entry VM is the coordinator.
func (c *Control) sendRemoteHeartbeats(now time.Time) {
	if c.coord == nil {
		return
	}
	for dc, remote := range c.remoteDCs {
		m := c.remoteTarget(dc, remote)
		if m == nil || !remote.heartbeatDue(now, c.cfg.evidenceAt) {
			continue
		}
		hb, sent := c.newRemoteHeartbeat(), now
		c.runAsync(heartbeatTimeout, func(ctx context.Context) func() {
			r, err := m.client.Heartbeat(ctx, hb)
			return func() {
				if err != nil {
					c.onRemoteFailure(m, remote, err)
					return
				}
				c.onAnswer(m, &r.Heartbeat, sent)
				if sent.After(remote.answered) {
					remote.answered, remote.configVersion = sent, r.Config
				}
			}
		})
	}
}

func (c *Control) onRemoteFailure(m *member, remote *remoteDCState, err error) {
	remote.coordinator = ""
	remote.nextTarget++
	if m.status == MemberAlive || m.status == MemberUnknown {
		c.setStatus(m, MemberSuspect, err.Error())
	}
}

// remoteTarget returns the entry VM of a remote data centre to which messages are sent: its
// coordinator if known, otherwise each entry VM in turn.
func (c *Control) remoteTarget(dc model.DataCentre, remote *remoteDCState) *member {
	if m := c.byName[remote.coordinator]; m != nil && m.DC == dc {
		return m
	}
	var all []*member
	for _, m := range c.members {
		if m.DC == dc {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[remote.nextTarget%len(all)]
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
