package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// heartbeatInterval is how often the coordinator sends a heartbeat to each entry VM.
	heartbeatInterval = 350 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat, which usually takes 2 ms.
	heartbeatTimeout = 600 * time.Millisecond
	// memberReadInterval is how often the table of entry VMs is read.
	memberReadInterval = 1500 * time.Millisecond
	// memberReadTimeout allows for a store that is 60 times slower than usual.
	memberReadTimeout = time.Second
)

// MemberRow is the row of an entry VM in MemberTable.
type MemberRow struct {
	Addr        string            `json:"a"`
	DC          model.DataCentre  `json:"d"`
	Incarnation model.Incarnation `json:"i"`
	// Cores is the CPU limit of the entry VM, in cores.
	Cores float64 `json:"c,omitempty"`
}

// DecodeMember decodes the row of an entry VM.
func DecodeMember(r platform.Row) (name model.EntryVM, row MemberRow, err error) {
	err = json.Unmarshal(r.Value, &row)
	return model.EntryVM(rowID(r.Key)), row, errors.Wrap(err, "coordinator: member")
}

// members is the coordinator's knowledge of the entry VMs.
type members struct {
	byName map[model.EntryVM]*memberState // the other entry VMs
	// all contains all entry VMs including this one, as sent to the others.
	all map[model.EntryVM]peer.Member
	// version counts the changes of all.
	version  int
	loaded   bool
	reading  bool
	nextRead time.Duration
}

type memberState struct {
	row MemberRow
	// firstSeen is when this term first saw the member's current process.
	firstSeen     time.Duration
	client        PeerClient
	inFlight      bool
	nextHeartbeat time.Duration
	// promisedAt is when the last answered heartbeat was sent. The member does not acquire the
	// lease for lease.TTL after that.
	promisedAt time.Duration
	// shuttingDown is set while the member shuts down.
	shuttingDown bool
	// incarnation is the process that answered last.
	incarnation model.Incarnation
	// sentVersion is the version of members.all that this process has received, 0 if none.
	sentVersion int
	memberPath
}

func (s *members) init() { s.byName = map[model.EntryVM]*memberState{} }

// promisedUntil returns until when no other entry VM acquires the lease, by the promises that all
// of them have given, or 0.
func (s *members) promisedUntil() time.Duration {
	if !s.loaded || len(s.byName) == 0 {
		return 0
	}
	least := time.Duration(1<<63 - 1)
	for _, m := range s.byName {
		least = min(least, m.promisedAt)
	}
	if least == 0 {
		return 0
	}
	return least + lease.TTL
}

// updateMembers reads the table of entry VMs and sends heartbeats, as they are due.
func (t *Term) updateMembers() {
	s := &t.members
	if !s.reading && t.now >= s.nextRead {
		s.reading, s.nextRead = true, t.now+memberReadInterval
		t.async(memberReadTimeout, func(ctx context.Context) func() {
			rows, err := t.deps.Table.Scan(ctx, platform.PriorityBackground, MemberTable+"/", 0)
			return func() { t.applyMembers(rows, err) }
		})
	}
	for name, m := range s.byName {
		if !m.inFlight && t.now >= m.nextHeartbeat && !t.path.stopped {
			t.sendHeartbeat(name, m)
		}
	}
}

func (t *Term) applyMembers(rows []platform.Row, err error) {
	s := &t.members
	s.reading = false
	if err != nil {
		return // keep the current list; the store client counts and logs the outage
	}
	s.loaded = true
	seen := map[model.EntryVM]bool{}
	for _, r := range rows {
		name, row, err := DecodeMember(r)
		if err != nil {
			t.log.Error().Err(err).Str("row", r.Key).Msg("Coordinator: ignoring unreadable entry VM row.")
			continue
		}
		if name == t.deps.Self.Entry {
			continue
		}
		seen[name] = true
		if m := s.byName[name]; m == nil || m.row != row {
			s.byName[name] = &memberState{row: row, firstSeen: t.now, client: t.deps.Dial(name, row.Addr)}
		}
	}
	all := map[model.EntryVM]peer.Member{t.deps.Self.Entry: {Addr: t.deps.Addr, Cores: t.deps.Cores, DC: t.deps.Self.DC}}
	for name, m := range s.byName {
		if !seen[name] {
			delete(s.byName, name)
			continue
		}
		all[name] = peer.Member{Addr: m.row.Addr, Cores: m.row.Cores, DC: m.row.DC}
	}
	if maps.Equal(s.all, all) {
		return
	}
	s.all = all
	s.version++
	t.deps.SetMembers(all)
}

func (t *Term) sendHeartbeat(name model.EntryVM, m *memberState) {
	msg := &peer.CoordinatorHeartbeat{From: t.deps.Self, Epoch: t.epoch, Addr: t.deps.Addr, Lease: t.leaseVersion, Successor: t.chooseSuccessor()}
	msg.Probe, msg.HandoverAgeMS = t.probes(m), t.handoverAge()
	version := t.members.version
	if m.sentVersion != version {
		msg.Members = t.members.all
	}
	known := t.knownEvacuations()
	msg.Evacuated, msg.OperatorVersion = known.Names(), evacuation.VersionOf(known)
	if c := t.deps.Config(); c != nil {
		msg.Config = c.Version
	}
	if v := t.view.Load(); v != nil {
		msg.HasCounts, msg.Pending, msg.Load, msg.Full = true, v.Pending, v.Load, v.Full
		msg.JobBytes, msg.JobLimit = v.JobBytes, v.JobLimit
	}
	m.inFlight, m.nextHeartbeat = true, t.now+heartbeatInterval
	sent := t.now
	t.async(heartbeatTimeout, func(ctx context.Context) func() {
		r, err := m.client.CoordinatorHeartbeat(ctx, msg)
		if err == nil {
			t.learnEvacuations(evacuation.FromPeer(r.OperatorVersion, r.Evacuated), string(name))
		}
		return func() { t.heartbeatAnswered(name, m, sent, version, r, err) }
	})
}

func (t *Term) heartbeatAnswered(name model.EntryVM, m *memberState, sent time.Duration, version int, r *peer.CoordinatorHeartbeatReply, err error) {
	m.inFlight = false
	switch {
	case err != nil:
	case r.Epoch > t.epoch:
		t.log.Warn().Str("entry", string(name)).Uint64("higher", r.Epoch).Msg("Coordinator: another entry VM has become coordinator.")
		t.End(errors.Wrapf(lease.ErrLost, "epoch %d is known to %s", r.Epoch, name))
	default:
		if m.incarnation != r.From.Incarnation {
			// Its row tells this later, or not at all while the store rejects its machine. The new
			// process does not know the list unless this heartbeat has carried it, and counts its reads
			// of the store from 1.
			m.incarnation, m.memberPath = r.From.Incarnation, memberPath{}
			if m.sentVersion == version {
				version = 0
			}
		}
		m.promisedAt, m.sentVersion, m.shuttingDown = sent, version, r.ShuttingDown
		m.observeRead(r, sent)
		t.observeHandover(r, sent)
	}
}
