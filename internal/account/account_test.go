package account

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/model"
	"boragepulley/internal/platform"
)

// memory is a fake of the object store and the table that can refuse everything. As in the
// store, an object never changes.
type memory struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
	rows    map[string][]byte
	puts    int
}

func newMemory() *memory {
	return &memory{objects: map[string][]byte{}, rows: map[string][]byte{}}
}

func (m *memory) services() platform.Services {
	return platform.Services{Table: memoryTable{m}, Objects: memoryObjects{m}}
}

func (m *memory) setDown(d bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = d
}

type memoryObjects struct{ *memory }

func (m memoryObjects) Put(_ context.Context, _ platform.Priority, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return platform.ErrUnavailable
	}
	if old, ok := m.objects[name]; ok && !bytes.Equal(old, data) {
		return platform.ErrConflict
	}
	m.puts++
	m.objects[name] = data
	return nil
}

func (m memoryObjects) Get(_ context.Context, _ platform.Priority, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, platform.ErrUnavailable
	}
	return m.objects[name], nil
}

func (m memoryObjects) List(_ context.Context, _ platform.Priority, prefix string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for n := range m.objects {
		if strings.HasPrefix(n, prefix) {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out, nil
}

type memoryTable struct{ *memory }

func (m memoryTable) Get(context.Context, platform.Priority, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

func (m memoryTable) Scan(_ context.Context, _ platform.Priority, prefix string, _ int) ([]platform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []platform.Row
	for k, v := range m.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, platform.Row{Key: k, Version: 1, Value: v})
		}
	}
	return out, nil
}

func (m memoryTable) Commit(_ context.Context, _ platform.Priority, t platform.Txn) (map[string]uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, platform.ErrUnavailable
	}
	for _, p := range t.Puts {
		m.rows[p.Key] = p.Value
	}
	return nil, nil
}

// holderCopier copies directly into a holder.
type holderCopier struct {
	holder *ReplicaStore
	inc    model.Incarnation
}

func (c holderCopier) Target() model.EntryVM { return c.holder.self }
func (c holderCopier) Hold(_ context.Context, seq uint64, p []byte) error {
	return c.holder.Hold(seq, p)
}
func (c holderCopier) Drop(_ context.Context, seq uint64) { c.holder.Drop(c.inc, seq) }

var testOwner = Owner{Entry: "entry-a-1", DC: "a", Incarnation: "inc-1"}

func accepted(job string, at time.Time) model.Record {
	return model.Record{Job: model.JobID(job), Time: at, Entry: testOwner.Entry, State: model.StateAccepted, Queue: "q", Team: "t"}
}

func finished(job string, at time.Time, s model.State, why model.Reason) model.Record {
	return model.Record{Job: model.JobID(job), Time: at, Entry: testOwner.Entry, State: s, Reason: why}
}

func buildFrom(t *testing.T, m *memory, live map[model.Incarnation]bool) *Report {
	t.Helper()
	in, err := Load(t.Context(), m.services())
	require.NoError(t, err)
	in.Live, in.Now = live, time.Now()
	return Build(in)
}

// Guards against facts lost in an outage of the store, and against one write per
// second of the outage after it.
func TestLedgerKeepsFactsThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		h := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), holderCopier{h, testOwner.Incarnation}, zerolog.Nop(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		m.setDown(true)
		for i := range 300 {
			id := fmt.Sprintf("job-%d", i)
			l.Record(accepted(id, time.Now()))
			l.Record(finished(id, time.Now(), model.StateRan, ""))
			time.Sleep(time.Second)
		}
		m.setDown(false)
		time.Sleep(2 * storeInterval)
		cancel()
		synctest.Wait()
		require.LessOrEqual(t, m.puts, 4)
		require.NoError(t, l.Close(t.Context()))
		r := buildFrom(t, m, nil)
		require.Equal(t, Counts{Accepted: 300, Ran: 300}, r.Total)
		require.Empty(t, r.Gaps)
		require.True(t, r.OK(), "%+v", r.Checks)
	})
}

// Guards against a killed entry VM whose facts vanish silently: its peer stores the
// copies, the open job is unknown, and the window after the last copy is a gap.
func TestLostEntryVMIsReportedAsGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		h := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), holderCopier{h, testOwner.Incarnation}, zerolog.Nop(), time.Now)
		ctx, kill := context.WithCancel(t.Context())
		go l.Run(ctx)
		l.Record(accepted("job-ran", time.Now()))
		l.Record(finished("job-ran", time.Now(), model.StateRan, ""))
		l.Record(accepted("job-open", time.Now()))
		time.Sleep(1500 * time.Millisecond)
		lost := time.Now()
		kill()
		synctest.Wait()
		time.Sleep(2 * time.Second)
		h.MarkOwnerGone(testOwner, time.Now())
		require.NoError(t, h.StoreOrphaned(t.Context()))
		before, err := Load(t.Context(), m.services())
		require.NoError(t, err)
		before.Coverages, before.Now = nil, time.Now()
		open := Build(before)
		require.Equal(t, GapNotReached, open.Gaps[0].Cause, "nothing shows that the process has ended")
		require.Equal(t, Counts{Accepted: 2, Ran: 1, Open: 1}, open.Total)
		r := buildFrom(t, m, nil)
		require.Equal(t, Counts{Accepted: 2, Ran: 1, Unknown: 1}, r.Total)
		require.Equal(t, ReasonEntryLost, r.Job("job-open").Reason)
		require.Len(t, r.Gaps, 1)
		g := r.Gaps[0]
		require.Equal(t, GapLost, g.Cause)
		require.False(t, g.From.After(lost), "the gap must start before the loss")
		require.Less(t, lost.Sub(g.From), copyInterval+recordDelay+time.Millisecond)
		require.True(t, g.To.After(lost))
		require.True(t, r.OK(), "%+v", r.Checks)
	})
}

// Guards against a batch that was lost in the middle and goes unnoticed.
// Guards against copies that wait for ever for word of an owner's end: an entry VM of
// another data centre, or one that the owner left for another holder, never hears of it.
func TestHolderStoresTheCopiesOfASilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		h := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
		owner := Owner{Entry: "entry", Incarnation: "one"}
		hold := func(sequence uint64) {
			b := Batch{Owner: owner, First: sequence, Last: sequence, CoversUntil: time.Now(), Records: []model.Record{accepted("job", time.Now())}}
			payload, err := b.Encode()
			require.NoError(t, err)
			require.NoError(t, h.Hold(sequence, payload))
		}
		for sequence := uint64(1); sequence <= 2; sequence++ {
			hold(sequence)
			require.NoError(t, h.StoreOrphaned(t.Context()))
			require.Equal(t, int(sequence-1)*2, m.puts, "the owner was heard just now")
			time.Sleep(ownerSilent)
			require.NoError(t, h.StoreOrphaned(t.Context()), "silence number %d", sequence)
			require.Equal(t, int(sequence)*2, m.puts, "the batch and how far it covers")
			require.Zero(t, h.bytes)
		}
		require.True(t, buildFrom(t, m, nil).Gaps[0].From.After(time.Now().Add(-ownerSilent-2*recordDelay)))
	})
}

// Guards against an owner whose copies cannot be stored and that holds up all others.
func TestHolderGoesOnAfterAnOwnerThatCannotBeStored(t *testing.T) {
	m := newMemory()
	h := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
	for i := range 8 {
		owner := Owner{Entry: model.EntryVM(fmt.Sprint("entry", i)), Incarnation: model.Incarnation(fmt.Sprint(i))}
		b := Batch{Owner: owner, First: 1, Last: 1, CoversUntil: time.Now(), Records: []model.Record{accepted("job", time.Now())}}
		payload, err := b.Encode()
		require.NoError(t, err)
		require.NoError(t, h.Hold(1, payload))
		h.MarkOwnerGone(owner, time.Now())
		if i == 0 {
			m.objects[b.ObjectName()] = []byte("other bytes")
		}
	}
	require.ErrorIs(t, h.StoreOrphaned(t.Context()), platform.ErrConflict)
	require.Len(t, h.held, 1)
}

// hungObjects never answer.
type hungObjects struct{ memoryObjects }

func (hungObjects) Put(ctx context.Context, _ platform.Priority, _ string, _ []byte) error {
	<-ctx.Done()
	return platform.ErrUnavailable
}

// Guards against copies that are late because the store does not answer: that is when they
// are needed.
func TestCopiesGoOnWhileTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		owner := Owner{Entry: "entry", Incarnation: "one"}
		h := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
		s := platform.Services{Table: memoryTable{m}, Objects: hungObjects{memoryObjects{m}}}
		l := NewLedger(owner, s, holderCopier{holder: h, inc: owner.Incarnation}, zerolog.Nop(), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() { l.Run(ctx) })
		for i := range 20 {
			l.Record(accepted(fmt.Sprint("job", i), time.Now()))
			time.Sleep(copyInterval)
			synctest.Wait()
			h.mu.Lock()
			covered := h.held[owner.Incarnation].coversUntil
			h.mu.Unlock()
			require.Less(t, time.Since(covered), 2*copyInterval)
		}
	})
}

func TestMissingBatchIsAGap(t *testing.T) {
	now := time.Now()
	batch := func(n uint64) Batch {
		return Batch{Owner: testOwner, First: n, Last: n, CoversUntil: now.Add(time.Duration(n) * time.Second),
			Records: []model.Record{accepted(fmt.Sprint("job-", n), now)}}
	}
	rows := []IncarnationRow{{Owner: testOwner, Started: now, LastSequence: 3, Closed: true}}
	r := Build(ReportInput{Batches: []Batch{batch(1), batch(3)}, Rows: rows, Now: now.Add(time.Minute)})
	require.Len(t, r.Gaps, 1)
	require.Equal(t, GapBatchMissing, r.Gaps[0].Cause)
	r = Build(ReportInput{Batches: []Batch{batch(3), batch(1), batch(2)}, Rows: rows, Now: now.Add(time.Minute)})
	require.Empty(t, r.Gaps)
}

// Guards against a report that hides that a job was refused as not run and yet ran.
func TestContradictionFailsTheReport(t *testing.T) {
	now := time.Now()
	b := Batch{Owner: testOwner, First: 1, Last: 1, Records: []model.Record{
		accepted("j", now), finished("j", now, model.StateRefused, model.ReasonQueueFull), finished("j", now, model.StateRan, ""),
	}}
	r := Build(ReportInput{Batches: []Batch{b}, Now: now})
	require.False(t, r.OK())
}

// Guards against counts that depend on the order, repetition or overlap of batches.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_700_000_000, 0).UTC()
		states := []model.State{model.StateAccepted, model.StateDispatched, model.StateRan, model.StateRefused, model.StateUnknown}
		var batches []Batch
		n := rapid.IntRange(1, 8).Draw(rt, "batches")
		for i := range n {
			b := Batch{Owner: testOwner, First: uint64(i + 1), Last: uint64(i + 1), CoversUntil: now.Add(time.Duration(i) * time.Second)}
			for range rapid.IntRange(1, 6).Draw(rt, "records") {
				job := fmt.Sprint("job-", rapid.IntRange(0, 5).Draw(rt, "job"))
				at := now.Add(time.Duration(rapid.IntRange(0, 3).Draw(rt, "at")) * time.Second)
				b.Records = append(b.Records, finished(job, at, rapid.SampledFrom(states).Draw(rt, "state"), "r"))
			}
			batches = append(batches, b)
		}
		want := Build(ReportInput{Batches: batches, Now: now})
		shuffled := append([]Batch(nil), batches...)
		for range rapid.IntRange(0, 4).Draw(rt, "repeats") {
			shuffled = append(shuffled, rapid.SampledFrom(batches).Draw(rt, "repeat"))
		}
		if n > 1 {
			shuffled = append(shuffled, batches[0].join(batches[1]))
		}
		rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)).Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		got := Build(ReportInput{Batches: shuffled, Now: now})
		require.Equal(rt, want.Total, got.Total)
		require.Equal(rt, want.Groups, got.Groups)
		require.Equal(rt, want.Reasons, got.Reasons)
		require.Equal(rt, want.Gaps, got.Gaps)
		require.Equal(rt, want.Jobs(), got.Jobs())
	})
}

// Guards against a batch that cannot be read back, and against corrupted objects
// that are taken for facts.
func FuzzDecodeBatch(f *testing.F) {
	good, err := Batch{Owner: testOwner, First: 1, Last: 2, Records: []model.Record{accepted("j", time.Unix(1, 0))}}.Encode()
	require.NoError(f, err)
	f.Add(good)
	f.Add([]byte("not a batch"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := DecodeBatch(data)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		again, err := b.Encode()
		require.NoError(t, err)
		back, err := DecodeBatch(again)
		require.NoError(t, err)
		require.Equal(t, len(b.Records), len(back.Records))
	})
}

// Guards against a page that lacks a gap, a check or a plot.
func TestHTMLPageIsSelfContained(t *testing.T) {
	now := time.Now()
	b := Batch{Owner: testOwner, First: 1, Last: 1,
		Records: []model.Record{accepted("j<script>", now), finished("j<script>", now.Add(time.Second), model.StateUnknown, "answer_lost")},
		Events:  []model.FleetEvent{{Time: now, Kind: "vm_state", Object: "vm-1", To: "serving"}, {Time: now.Add(time.Second), Kind: "vm_state", Object: "vm-1", From: "serving", To: "draining"}},
	}
	var page bytes.Buffer
	r := Build(ReportInput{Batches: []Batch{b}, Now: now.Add(time.Minute), Gone: map[model.EntryVM]bool{testOwner.Entry: true}})
	require.NoError(t, r.WriteHTML(&page))
	out := page.String()
	require.Equal(t, 2, strings.Count(out, "<svg"))
	require.Contains(t, out, string(GapLost))
	require.Contains(t, out, CheckTotalsAddUp)
	require.NotContains(t, out, "<script>")
	require.NotContains(t, out, "src=")
}

// Guards against a report that calls a refusal on arrival incomplete, or that accepts a
// job whose beginning is missing.
func TestAcceptanceCheck(t *testing.T) {
	now := time.Now()
	report := func(rs ...model.Record) *Report {
		return Build(ReportInput{Batches: []Batch{{Owner: testOwner, First: 1, Last: 1, Records: rs}}, Now: now,
			Live: map[model.Incarnation]bool{testOwner.Incarnation: true}})
	}
	require.True(t, report(finished("j", now, model.StateRefused, model.ReasonKeyUnknown)).OK())
	require.False(t, report(finished("j", now, model.StateRan, "")).OK())
}

// Guards against a report without a gap for a process that lived and ended while the store was
// away: it has no row and no batch, and the holder of its copies ended with it. Those that
// heard of it name it, with one object.
func TestProcessWithoutARowIsAGap(t *testing.T) {
	m := newMemory()
	owner := Owner{Entry: "entry-a-1", DC: "a", Incarnation: model.NewIncarnation()}
	began := owner.Incarnation.StartedAt()
	require.WithinDuration(t, time.Now(), began, time.Minute)
	gone := began.Add(7 * time.Second)
	for _, name := range []model.EntryVM{"peer-1", "peer-2"} {
		h := NewReplicaStore(name, memoryObjects{m}, zerolog.Nop())
		h.MarkOwnerGone(owner, gone)
		require.NoError(t, h.StoreOrphaned(t.Context()))
		require.Empty(t, h.held)
	}
	require.Equal(t, 1, len(m.objects))
	r := buildFrom(t, m, nil)
	require.Len(t, r.Gaps, 1)
	g := r.Gaps[0]
	require.Equal(t, owner, g.Owner)
	require.Equal(t, GapLost, g.Cause)
	require.True(t, g.From.Equal(began.Add(-recordDelay)), "%v", g.From)
	require.True(t, g.To.Equal(gone), "%v", g.To)
}
