package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
)

const (
	// beatEvery is how often each entry VM hears from the coordinator.
	beatEvery = 350 * time.Millisecond
	// beatTimeout bounds one message; it takes 2 ms.
	beatTimeout = 600 * time.Millisecond
	// membersEvery is how often the table of entry VMs is read.
	membersEvery = 1500 * time.Millisecond
	// memberReadTimeout covers a store that is slow by a factor of 60.
	memberReadTimeout = time.Second
)

// MemberRow is the row of an entry VM in MemberTable.
type MemberRow struct {
	Addr        string            `json:"a"`
	DC          model.DataCentre  `json:"d"`
	Incarnation model.Incarnation `json:"i"`
	// Cores is the processor time that the entry VM may use, in cores.
	Cores float64 `json:"c,omitempty"`
}

// DecodeMember reads the row of an entry VM.
func DecodeMember(r platform.Row) (name model.EntryVM, row MemberRow, err error) {
	err = json.Unmarshal(r.Value, &row)
	return model.EntryVM(suffix(r.Key)), row, errors.Wrap(err, "coordinator: member")
}

// members are the other entry VMs as the coordinator knows them.
type members struct {
	byName map[model.EntryVM]*memberState
	// all are the entry VMs with this one, for the others.
	all map[model.EntryVM]peer.Member
	// version counts the changes of all.
	version int
	known   bool
	reading bool
	next    time.Duration
}

type memberState struct {
	row MemberRow
	// since is when this term first saw the member's present process.
	since  time.Duration
	remote PeerClient
	asking bool
	next   time.Duration
	// promised is when the message was sent that the member answered last: it does not take
	// the lease for lease.TTL after it.
	promised time.Duration
	// leaving is set while the member shuts down.
	leaving bool
	// told is the version of all entry VMs that the member knows.
	told int
}

func (s *members) init() { s.byName = map[model.EntryVM]*memberState{} }

// promised returns until when no other entry VM takes the lease because all have answered.
func (s *members) promised() time.Duration {
	if !s.known || len(s.byName) == 0 {
		return 0
	}
	least := time.Duration(1<<63 - 1)
	for _, m := range s.byName {
		least = min(least, m.promised)
	}
	if least == 0 {
		return 0
	}
	return least + lease.TTL
}

// followMembers reads the table of entry VMs and sends each the coordinator's state.
func (t *Term) followMembers() {
	s := &t.members
	if !s.reading && t.now >= s.next {
		s.reading, s.next = true, t.now+membersEvery
		t.async(memberReadTimeout, func(ctx context.Context) func() {
			rows, err := t.d.Table.Scan(ctx, platform.PriorityBackground, MemberTable+"/", 0)
			return func() { t.readMembers(rows, err) }
		})
	}
	for name, m := range s.byName {
		if !m.asking && t.now >= m.next {
			t.beat(name, m)
		}
	}
}

func (t *Term) readMembers(rows []platform.Row, err error) {
	s := &t.members
	s.reading = false
	if err != nil {
		return // the list stays as it is; the store client counts and logs the outage
	}
	s.known = true
	seen := map[model.EntryVM]bool{}
	for _, r := range rows {
		name, row, err := DecodeMember(r)
		if err != nil {
			t.log.Error().Err(err).Str("row", r.Key).Msg("Coordinator: unreadable entry VM passed over.")
			continue
		}
		if name == t.d.Self.Entry {
			continue
		}
		seen[name] = true
		if m := s.byName[name]; m == nil || m.row != row {
			s.byName[name] = &memberState{row: row, since: t.now, remote: t.d.Dial(name, row.Addr)}
		}
	}
	all := map[model.EntryVM]peer.Member{t.d.Self.Entry: {Addr: t.d.Addr, Cores: t.d.Cores}}
	for name, m := range s.byName {
		if !seen[name] {
			delete(s.byName, name)
			continue
		}
		all[name] = peer.Member{Addr: m.row.Addr, Cores: m.row.Cores}
	}
	if maps.Equal(s.all, all) {
		return
	}
	s.all = all
	s.version++
	t.d.SetMembers(all)
}

func (t *Term) beat(name model.EntryVM, m *memberState) {
	msg := &peer.CoordinatorHeartbeat{From: t.d.Self, Epoch: t.epoch, Addr: t.d.Addr, Lease: t.version, Successor: t.successor()}
	told := t.members.version
	if m.told != told {
		msg.Members = t.members.all
	}
	if c := t.d.Config(); c != nil {
		msg.Config = c.Version
	}
	if v := t.view.Load(); v != nil {
		msg.HasCounts, msg.Pending, msg.Load = true, v.Pending, v.Load
	}
	m.asking, m.next = true, t.now+beatEvery
	sent := t.now
	t.async(beatTimeout, func(ctx context.Context) func() {
		r, err := m.remote.CoordinatorHeartbeat(ctx, msg)
		return func() { t.beatAnswered(name, m, sent, told, r, err) }
	})
}

func (t *Term) beatAnswered(name model.EntryVM, m *memberState, sent time.Duration, told int, r *peer.CoordinatorHeartbeatReply, err error) {
	m.asking = false
	switch {
	case err != nil:
	case r.Epoch > t.epoch:
		t.log.Warn().Str("entry", string(name)).Uint64("higher", r.Epoch).Msg("Coordinator: another entry VM coordinates.")
		t.End(errors.Wrapf(lease.ErrLost, "epoch %d is known to %s", r.Epoch, name))
	default:
		m.promised, m.told, m.leaving = sent, told, r.ShuttingDown
	}
}
