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

// memoryStore is a fake of the object store and the table that can be made unavailable. As
// in the real store, objects are immutable.
type memoryStore struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
	rows    map[string][]byte
	puts    int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string][]byte{}, rows: map[string][]byte{}}
}

func (m *memoryStore) services() platform.Services {
	return platform.Services{Table: memoryTable{m}, Objects: memoryObjects{m}}
}

func (m *memoryStore) setDown(d bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = d
}

type memoryObjects struct{ *memoryStore }

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

type memoryTable struct{ *memoryStore }

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

// directReplicator replicates to a ReplicaStore in the same process.
type directReplicator struct {
	store *ReplicaStore
	inc   model.Incarnation
}

func (c directReplicator) Target() model.EntryVM { return c.store.self }
func (c directReplicator) Hold(_ context.Context, seq uint64, p []byte) (model.Incarnation, error) {
	return "holder", c.store.Hold(seq, p)
}
func (c directReplicator) Drop(_ context.Context, seq uint64) { c.store.Drop(c.inc, seq) }

var testOwner = Owner{Entry: "entry-a-1", DC: "a", Incarnation: "inc-1"}

func accepted(job string, at time.Time) model.Record {
	return model.Record{Job: model.JobID(job), Time: at, Entry: testOwner.Entry, State: model.StateAccepted, Queue: "q", Team: "t"}
}

func finished(job string, at time.Time, s model.State, reason model.Reason) model.Record {
	return model.Record{Job: model.JobID(job), Time: at, Entry: testOwner.Entry, State: s, Reason: reason}
}

func buildFrom(t *testing.T, m *memoryStore, live map[model.Incarnation]bool) *Report {
	t.Helper()
	in, err := Load(t.Context(), m.services())
	require.NoError(t, err)
	in.Live, in.Now = live, time.Now()
	return Build(in)
}

// Guards against losing facts during an outage of the store, and against one write for
// each second of the outage afterwards.
func TestLedgerKeepsFactsThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{replicas, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
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

// Guards against a killed entry VM whose facts go missing without notice: the peer must
// store the replicas, the outcome of the open job must be unknown, and the time after the
// last replica must be reported as a gap.
func TestLostEntryVMIsReportedAsGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{replicas, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
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
		replicas.MarkOwnerGone(testOwner, time.Now())
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		before, err := Load(t.Context(), m.services())
		require.NoError(t, err)
		before.Coverages, before.Now = nil, time.Now()
		open := Build(before)
		require.Equal(t, GapNotReached, open.Gaps[0].Cause, "there is no evidence that the process has ended")
		require.Equal(t, Counts{Accepted: 2, Ran: 1, Open: 1}, open.Total)
		r := buildFrom(t, m, nil)
		require.Equal(t, Counts{Accepted: 2, Ran: 1, Unknown: 1}, r.Total)
		require.Equal(t, model.ReasonEntryLost, r.Job("job-open").Reason)
		require.Len(t, r.Gaps, 1)
		g := r.Gaps[0]
		require.Equal(t, GapLost, g.Cause)
		require.False(t, g.From.After(lost), "the gap must not start after the process was killed")
		require.Less(t, lost.Sub(g.From), replicateInterval+maxRecordDelay+time.Millisecond)
		require.True(t, g.To.After(lost))
		require.True(t, r.OK(), "%+v", r.Checks)
	})
}

// Guards against replicas that are never stored because their owner's end goes unnoticed.
// This happens in another data centre, and at an entry VM that the owner no longer
// replicates to.
func TestReplicasOfSilentOwnerAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
		owner := Owner{Entry: "entry", Incarnation: "one"}
		hold := func(sequence uint64) {
			b := Batch{Owner: owner, First: sequence, Last: sequence, CoversUntil: time.Now(), Records: []model.Record{accepted("job", time.Now())}}
			payload, err := b.Encode()
			require.NoError(t, err)
			require.NoError(t, replicas.Hold(sequence, payload))
		}
		for sequence := uint64(1); sequence <= 2; sequence++ {
			hold(sequence)
			require.NoError(t, replicas.StoreOrphaned(t.Context()))
			require.Equal(t, int(sequence-1)*2, m.puts, "the owner has just sent a replica")
			time.Sleep(ownerSilenceTimeout)
			require.NoError(t, replicas.StoreOrphaned(t.Context()), "silence number %d", sequence)
			require.Equal(t, int(sequence)*2, m.puts, "the batch and its coverage")
			require.Zero(t, replicas.size)
		}
		require.True(t, buildFrom(t, m, nil).Gaps[0].From.After(time.Now().Add(-ownerSilenceTimeout-2*maxRecordDelay)))
	})
}

// Guards against one owner whose replicas cannot be stored and which blocks all others.
func TestStoreFailureOfOneOwnerDoesNotBlockOthers(t *testing.T) {
	m := newMemoryStore()
	replicas := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
	for i := range 8 {
		owner := Owner{Entry: model.EntryVM(fmt.Sprint("entry", i)), Incarnation: model.Incarnation(fmt.Sprint(i))}
		b := Batch{Owner: owner, First: 1, Last: 1, CoversUntil: time.Now(), Records: []model.Record{accepted("job", time.Now())}}
		payload, err := b.Encode()
		require.NoError(t, err)
		require.NoError(t, replicas.Hold(1, payload))
		replicas.MarkOwnerGone(owner, time.Now())
		if i == 0 {
			m.objects[b.ObjectName()] = []byte("other bytes")
		}
	}
	require.ErrorIs(t, replicas.StoreOrphaned(t.Context()), platform.ErrConflict)
	require.Len(t, replicas.byIncarnation, 1)
}

// hangingObjects is an object store whose writes never complete.
type hangingObjects struct{ memoryObjects }

func (hangingObjects) Put(ctx context.Context, _ platform.Priority, _ string, _ []byte) error {
	<-ctx.Done()
	return platform.ErrUnavailable
}

// hangingReplicator has a peer that cannot be reached.
type hangingReplicator struct{}

func (hangingReplicator) Target() model.EntryVM { return "unreachable" }
func (hangingReplicator) Hold(ctx context.Context, _ uint64, _ []byte) (model.Incarnation, error) {
	<-ctx.Done()
	return "", ctx.Err()
}
func (hangingReplicator) Drop(ctx context.Context, _ uint64) { <-ctx.Done() }

// panickingReplicator fails unexpectedly on each call.
type panickingReplicator struct{}

func (panickingReplicator) Target() model.EntryVM { return "broken" }
func (panickingReplicator) Hold(context.Context, uint64, []byte) (model.Incarnation, error) {
	panic("hold")
}
func (panickingReplicator) Drop(context.Context, uint64) { panic("drop") }

// Guards against an unexpected error in the copy of records to one peer that ends the process, or the
// storing of records and their copy to the other peers.
func TestUnexpectedErrorInReplicationEndsNothingElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{panickingReplicator{}, directReplicator{replicas, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		for i := range 5 {
			l.Record(accepted(fmt.Sprint("job-", i), time.Now()))
			l.Record(finished(fmt.Sprint("job-", i), time.Now(), model.StateRan, ""))
			time.Sleep(storeInterval)
		}
		cancel()
		synctest.Wait()
		replicas.mu.Lock()
		covered := replicas.byIncarnation[testOwner.Incarnation].coversUntil
		replicas.mu.Unlock()
		require.Less(t, time.Since(covered), 2*replicateInterval)
		require.Less(t, time.Since(l.CoversUntil()), 2*storeInterval)
		require.NoError(t, l.Close(t.Context()))
		require.Equal(t, Counts{Accepted: 5, Ran: 5}, buildFrom(t, m, nil).Total)
	})
}

// Guards against facts that are lost with all entry VMs of a data centre while the store is down: the
// replicas in another data centre are stored once it is back.
func TestFactsOutliveADataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.setDown(true)
		near := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		far := NewReplicaStore("entry-b-1", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{near, testOwner.Incarnation}, directReplicator{far, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
		ctx, kill := context.WithCancel(t.Context())
		go l.Run(ctx)
		for i := range 30 {
			id := fmt.Sprintf("job-%d", i)
			l.Record(accepted(id, time.Now()))
			l.Record(finished(id, time.Now(), model.StateRan, ""))
			time.Sleep(time.Second)
		}
		time.Sleep(replicateInterval)
		lost := time.Now()
		kill() // near is lost as well
		synctest.Wait()
		time.Sleep(ownerSilenceTimeout)
		m.setDown(false)
		require.NoError(t, far.StoreOrphaned(t.Context()))
		r := buildFrom(t, m, nil)
		require.Equal(t, Counts{Accepted: 30, Ran: 30}, r.Total)
		require.Len(t, r.Gaps, 1)
		require.LessOrEqual(t, lost.Sub(r.Gaps[0].From), replicateInterval+maxRecordDelay)
	})
}

// Guards against a peer that cannot be reached and that delays replication to the other peer, or the
// writes to the store.
func TestUnreachablePeerDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{replicas, testOwner.Incarnation}, hangingReplicator{}}, zerolog.Nop(), time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		time.Sleep(replicateInterval / 2) // between two rounds
		for i := range 20 {
			l.Record(accepted(fmt.Sprint("job-", i), time.Now()))
			time.Sleep(replicateInterval)
			replicas.mu.Lock()
			covered := replicas.byIncarnation[testOwner.Incarnation].coversUntil
			replicas.mu.Unlock()
			require.Less(t, time.Since(covered), 2*replicateInterval)
			require.LessOrEqual(t, len(l.Unstored()), int((storeInterval+2*storeCheckInterval)/replicateInterval)+1)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against replication that is delayed by an unresponsive store, which is when the
// replicas are needed.
func TestReplicationContinuesWhileStoreHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		owner := Owner{Entry: "entry", Incarnation: "one"}
		replicas := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
		s := platform.Services{Table: memoryTable{m}, Objects: hangingObjects{memoryObjects{m}}}
		l := NewLedger(owner, s, []Replicator{directReplicator{store: replicas, inc: owner.Incarnation}}, zerolog.Nop(), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		wg.Go(func() { l.Run(ctx) })
		for i := range 20 {
			l.Record(accepted(fmt.Sprint("job", i), time.Now()))
			time.Sleep(replicateInterval)
			synctest.Wait()
			replicas.mu.Lock()
			covered := replicas.byIncarnation[owner.Incarnation].coversUntil
			replicas.mu.Unlock()
			require.Less(t, time.Since(covered), 2*replicateInterval)
		}
	})
}

// Guards against a batch that is missing between two others without a gap in the report.
func TestMissingBatchIsReportedAsGap(t *testing.T) {
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

// Guards against a report that passes its checks although a job was refused as not run and
// did run.
func TestContradictionFailsTheReport(t *testing.T) {
	now := time.Now()
	b := Batch{Owner: testOwner, First: 1, Last: 1, Records: []model.Record{
		accepted("j", now), finished("j", now, model.StateRefused, model.ReasonQueueFull), finished("j", now, model.StateRan, ""),
	}}
	r := Build(ReportInput{Batches: []Batch{b}, Now: now})
	require.False(t, r.OK())
}

// Guards against reports that depend on the order, repetition or overlap of batches.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
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

// Guards against encoded batches that cannot be decoded, and against corrupted objects that
// are accepted as valid.
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

// Guards against a page without a gap, a check or a plot, and against unescaped input and
// external resources.
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

// Guards against a report that fails because of a refusal on arrival, and against one that
// passes although the acceptance of a job is missing.
func TestAcceptanceCheck(t *testing.T) {
	now := time.Now()
	report := func(rs ...model.Record) *Report {
		return Build(ReportInput{Batches: []Batch{{Owner: testOwner, First: 1, Last: 1, Records: rs}}, Now: now,
			Live: map[model.Incarnation]bool{testOwner.Incarnation: true}})
	}
	require.True(t, report(finished("j", now, model.StateRefused, model.ReasonKeyUnknown)).OK())
	require.False(t, report(finished("j", now, model.StateRan, "")).OK())
}

// Guards against a report that passes although the acceptance of a job is missing outside any gap,
// because there is a gap elsewhere; and against one of a period that fails because the gap with the
// acceptance lies before it.
func TestMissingAcceptanceMustLieInAGapOfItsEntryVM(t *testing.T) {
	now := time.Now()
	lost := Owner{Entry: "entry-a-2", DC: "a", Incarnation: "inc-2"}
	row := IncarnationRow{Owner: lost, Started: now.Add(-time.Hour), StoredUntil: now.Add(-time.Minute)}
	for name, tc := range map[string]struct {
		accepted time.Time
		entry    model.EntryVM
		ok       bool
	}{
		"in the gap":          {now.Add(-30 * time.Second), lost.Entry, true},
		"before the gap":      {now.Add(-2 * time.Minute), lost.Entry, false},
		"of another entry VM": {now.Add(-30 * time.Second), testOwner.Entry, false},
	} {
		t.Run(name, func(t *testing.T) {
			rec := finished(string(model.NewJobID(tc.accepted, tc.entry)), now.Add(-time.Second), model.StateRan, "")
			r := Build(ReportInput{Batches: []Batch{{Owner: testOwner, First: 1, Last: 1, Records: []model.Record{rec}}}, Rows: []IncarnationRow{row},
				Coverages: []Coverage{{Owner: lost, GoneSeen: now.Add(-20 * time.Second)}}, Now: now, Live: map[model.Incarnation]bool{testOwner.Incarnation: true}})
			require.Len(t, r.Gaps, 1)
			require.Equal(t, tc.ok, r.OK(), "%+v", r.Checks)
			require.Equal(t, tc.ok, r.Between(now.Add(-10*time.Second), time.Time{}).OK())
		})
	}
}

// Guards against a process that is reported as complete although its end could not be written, because
// a later write of its row says closed and facts were added between.
func TestFailedCloseLeavesTheIncarnationOpen(t *testing.T) {
	m := newMemoryStore()
	l := NewLedger(testOwner, m.services(), nil, zerolog.Nop(), time.Now)
	require.NoError(t, l.writeInitialRow(t.Context()))
	m.setDown(true) // nothing is left to be stored but the end
	require.Error(t, l.Close(t.Context()))
	m.setDown(false)
	l.Record(accepted("job-1", time.Now()))
	require.NoError(t, l.writeInitialRow(t.Context()))
	require.Len(t, buildFrom(t, m, nil).Gaps, 1)
	require.NoError(t, l.Close(t.Context()))
	require.Empty(t, buildFrom(t, m, nil).Gaps)
}

// Guards against a replica store that counts a replica that is sent again twice, and then refuses
// replicas while it has space.
func TestRepeatedReplicaCountsOnce(t *testing.T) {
	m := newMemoryStore()
	replicas := NewReplicaStore("peer", memoryObjects{m}, zerolog.Nop())
	b := Batch{Owner: testOwner, First: 1, Last: 1, Records: []model.Record{accepted("job", time.Now())}}
	payload, err := b.Encode()
	require.NoError(t, err)
	require.NoError(t, replicas.Hold(1, payload))
	replicas.size = maxReplicaBytes // as if the rest were taken
	require.NoError(t, replicas.Hold(1, payload))
	require.Equal(t, maxReplicaBytes, replicas.size)
	require.ErrorIs(t, replicas.Hold(2, payload), ErrReplicaStoreFull)
}

// Guards against a report without a gap for a process that started and ended while the store
// was unavailable. Such a process has no row and no batch, and the peer with its replicas may
// have ended too. The entry VMs that noticed its end record it in a single object.
func TestProcessWithoutRowIsReportedAsGap(t *testing.T) {
	m := newMemoryStore()
	owner := Owner{Entry: "entry-a-1", DC: "a", Incarnation: model.NewIncarnation()}
	began := owner.Incarnation.StartedAt()
	require.WithinDuration(t, time.Now(), began, time.Minute)
	gone := began.Add(7 * time.Second)
	for _, name := range []model.EntryVM{"peer-1", "peer-2"} {
		replicas := NewReplicaStore(name, memoryObjects{m}, zerolog.Nop())
		replicas.MarkOwnerGone(owner, gone)
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		require.Empty(t, replicas.byIncarnation)
	}
	require.Equal(t, 1, len(m.objects))
	r := buildFrom(t, m, nil)
	require.Len(t, r.Gaps, 1)
	g := r.Gaps[0]
	require.Equal(t, owner, g.Owner)
	require.Equal(t, GapLost, g.Cause)
	require.True(t, g.From.Equal(began.Add(-maxRecordDelay)), "%v", g.From)
	require.True(t, g.To.Equal(gone), "%v", g.To)
}

// Guards against a job that is missing outside any gap, because its entry VM was once taken for
// gone while it was running and the gap ends at that time.
func TestGapEndsWhenTheProcessEnded(t *testing.T) {
	owner := Owner{Entry: "entry-a-1", DC: "a", Incarnation: model.NewIncarnation()}
	began := owner.Incarnation.StartedAt()
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }

	t.Run("noticed again by the same entry VM", func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("peer-1", memoryObjects{m}, zerolog.Nop())
		replicas.MarkOwnerGone(owner, at(1))
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		replicas.WithdrawOwnerGone(owner.Incarnation)
		replicas.MarkOwnerGone(owner, at(7))
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		r := buildFrom(t, m, nil)
		require.Len(t, r.Gaps, 1)
		require.True(t, r.Gaps[0].To.Equal(at(7)), "%v", r.Gaps[0].To)
	})
	t.Run("noticed again before the first was stored", func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("peer-1", memoryObjects{m}, zerolog.Nop())
		replicas.MarkOwnerGone(owner, at(1))
		replicas.WithdrawOwnerGone(owner.Incarnation)
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		require.Empty(t, m.objects, "a running process is stored as ended")
		replicas.MarkOwnerGone(owner, at(7))
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		r := buildFrom(t, m, nil)
		require.Len(t, r.Gaps, 1)
		require.True(t, r.Gaps[0].To.Equal(at(7)), "%v", r.Gaps[0].To)
	})
	t.Run("contradicted by a later sign of life", func(t *testing.T) {
		r := Build(ReportInput{Rows: []IncarnationRow{{Owner: owner, Started: began, StoredUntil: at(5)}}, Now: at(20),
			Coverages: []Coverage{{Owner: owner, StoredBy: "peer-1", GoneSeen: at(1)}, {Owner: owner, StoredBy: "peer-2", GoneSeen: at(7)},
				{Owner: owner, StoredBy: "peer-3", GoneSeen: at(9)}}})
		require.Len(t, r.Gaps, 1)
		require.True(t, r.Gaps[0].To.Equal(at(7)), "%v", r.Gaps[0].To)
	})
}

// Guards against a job that is missing outside any gap: the peer that had its replica ended, and
// the next process under the peer's name heard only up to which time the replicas reach.
func TestCoverageWithoutReplicasIsAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		first := NewReplicaStore("entry-b-1", memoryObjects{m}, zerolog.Nop())
		next := NewReplicaStore("entry-b-1", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{first, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
		require.NoError(t, l.writeInitialRow(t.Context()))
		m.setDown(true)
		at := time.Now()
		l.Record(accepted("job-1", at))
		l.replicate(t.Context(), l.replicas[0])
		time.Sleep(replicateInterval)
		open, hasFacts := l.closeBatch()
		require.False(t, hasFacts)
		payload, err := open.Encode()
		require.NoError(t, err)
		require.NoError(t, next.Hold(0, payload))
		m.setDown(false)
		next.MarkOwnerGone(testOwner, time.Now())
		require.NoError(t, next.StoreOrphaned(t.Context()))
		r := buildFrom(t, m, nil)
		require.Len(t, r.Gaps, 1)
		require.False(t, at.Before(r.Gaps[0].From), "job-1 was accepted in the gap, not before %v", r.Gaps[0].From)
	})
}

// restartedReplicator replicates to a peer that is restarted under the same name.
type restartedReplicator struct {
	directReplicator
	holder *model.Incarnation
}

func (c restartedReplicator) Hold(_ context.Context, seq uint64, p []byte) (model.Incarnation, error) {
	return *c.holder, c.store.Hold(seq, p)
}

// Guards against facts that are lost because the peer that had their replicas was restarted under
// the same name: the new process gets all batches that are not stored, also if there are no new ones.
func TestRestartedHolderGetsAllReplicas(t *testing.T) {
	for name, newFacts := range map[string]bool{"new facts": true, "no new facts": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemoryStore()
				m.setDown(true)
				replicas := NewReplicaStore("entry-b-1", memoryObjects{m}, zerolog.Nop())
				holder := model.Incarnation("first")
				l := NewLedger(testOwner, m.services(), []Replicator{restartedReplicator{directReplicator{replicas, testOwner.Incarnation}, &holder}}, zerolog.Nop(), time.Now)
				for i := range 3 {
					l.Record(accepted(fmt.Sprint("job-", i), time.Now()))
					l.replicate(t.Context(), l.replicas[0])
					time.Sleep(replicateInterval)
				}
				holder = "second"
				replicas.byIncarnation = map[model.Incarnation]*ownerReplicas{}
				if newFacts {
					l.Record(accepted("job-3", time.Now()))
				}
				l.replicate(t.Context(), l.replicas[0])
				m.setDown(false)
				replicas.MarkOwnerGone(testOwner, time.Now())
				require.NoError(t, replicas.StoreOrphaned(t.Context()))
				r := buildFrom(t, m, nil)
				require.Equal(t, map[bool]int{true: 4, false: 3}[newFacts], r.Total.Accepted)
				require.Equal(t, GapLost, r.Gaps[0].Cause)
			})
		})
	}
}

// Guards against a job that is missing outside any gap: its holder of replicas stores them while
// the report is read.
func TestReplicasStoredWhileTheReportIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{replicas, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
		require.NoError(t, l.writeInitialRow(t.Context()))
		at := time.Now()
		time.Sleep(10 * time.Second)
		l.Record(accepted("job-1", at))
		l.replicate(t.Context(), l.replicas[0])
		replicas.MarkOwnerGone(testOwner, time.Now())
		once := sync.OnceFunc(func() { require.NoError(t, replicas.StoreOrphaned(t.Context())) })
		in, err := Load(t.Context(), platform.Services{Table: memoryTable{m}, Objects: changingObjects{memoryObjects{m}, once}})
		require.NoError(t, err)
		in.Now = time.Now()
		r := Build(in)
		require.Len(t, r.Gaps, 1)
		require.True(t, r.Job("job-1") != nil || !at.Before(r.Gaps[0].From), "job-1 is missing before the gap, which begins at %v", r.Gaps[0].From)
		require.NotEqual(t, GapBatchMissing, r.Gaps[0].Cause)
	})
}

// changingObjects calls change after each list, before the next one.
type changingObjects struct {
	memoryObjects
	change func()
}

func (c changingObjects) List(ctx context.Context, p platform.Priority, prefix string) ([]string, error) {
	defer c.change()
	return c.memoryObjects.List(ctx, p, prefix)
}

// Guards against a job that is missing outside any gap: its process was held up between taking the
// time of its id and adding its record, its batches were copied meanwhile, and then it was killed.
func TestHeldUpFactIsInTheGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		replicas := NewReplicaStore("entry-a-2", memoryObjects{m}, zerolog.Nop())
		l := NewLedger(testOwner, m.services(), []Replicator{directReplicator{replicas, testOwner.Incarnation}}, zerolog.Nop(), time.Now)
		require.NoError(t, l.writeInitialRow(t.Context()))
		l.Record(accepted("job-1", time.Now()))
		time.Sleep(5 * time.Second)
		done := l.Begin()
		at := time.Now()
		time.Sleep(550 * time.Millisecond)
		require.NoError(t, l.Flush(t.Context()))
		l.replicate(t.Context(), l.replicas[0])
		l.Record(accepted("job-2", at))
		done()
		replicas.MarkOwnerGone(testOwner, time.Now()) // killed before its next copy
		require.NoError(t, replicas.StoreOrphaned(t.Context()))
		r := buildFrom(t, m, nil)
		require.Len(t, r.Gaps, 1)
		require.False(t, at.Before(r.Gaps[0].From), "job-2 was accepted in the gap")
		require.Less(t, at.Sub(r.Gaps[0].From), time.Second, "the gap is not longer than it has to be")
	})
}
