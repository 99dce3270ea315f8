package dispatch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"boragepulley/internal/config"
	"boragepulley/internal/control"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testKey = "k1.secret"

func testSnapshot(maxAttempts int) *control.Snapshot {
	q := config.Queue{Name: "cuts", Service: "s", MaxBody: 1 << 10, Deadline: 10 * time.Second, MaxDeadline: time.Minute,
		MaxAttempts: maxAttempts, RetryPercent: 10}
	open := q
	open.Name, open.Open = "open", true
	hash := sha256.Sum256([]byte("secret"))
	return &control.Snapshot{Current: true, Ready: true,
		Site: config.NewIndex(&config.Site{
			Services: []config.Service{{Name: "s", MaxRun: 2 * time.Second}},
			Queues:   []config.Queue{q, open},
			Teams:    []config.Team{{Name: "red"}},
			Keys:     []config.Key{{ID: "k1", Team: "red", SHA256: hash}},
		}, 3),
		Peers: map[model.EntryVM]control.PeerState{
			"e2": {DC: "a", Status: control.MemberAlive}, "e3": {DC: "b", Status: control.MemberAlive},
			"e4": {DC: "a", Status: control.MemberSuspect},
		}}
}

// fakeControl grants permits for the first of the minions m1 to m4 that is not to be avoided.
type fakeControl struct {
	dc       model.DataCentre
	mu       sync.Mutex
	snap     *control.Snapshot
	acquire  func(ctx context.Context, a control.Attempt) (rep peer.AcquireReply, handled bool, err error)
	check    func(p *model.Permit) model.Reason
	out      map[string]bool // outstanding permits
	released []peer.AttemptResult
	records  []model.Record
	begun    int // facts announced and not added
}

func (f *fakeControl) Snapshot() *control.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *fakeControl) Acquire(ctx context.Context, a control.Attempt) (peer.AcquireReply, error) {
	if f.acquire != nil {
		if rep, handled, err := f.acquire(ctx, a); handled {
			return rep, err
		}
	}
	if ctx.Err() != nil {
		return peer.AcquireReply{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range []model.VM{"m1", "m2", "m3", "m4"} {
		if slices.Contains(a.Avoid, m) {
			continue
		}
		key := fmt.Sprint(a.Request.Job, a.Number)
		if f.out[key] {
			panic(invariant.Violation("attempt number used twice: " + key))
		}
		f.out[key] = true
		return peer.AcquireReply{Permit: &model.Permit{Job: a.Request.Job, Attempt: a.Number, Team: a.Request.Team,
			Queue: a.Request.Queue, Minion: m, Addr: string(f.dc) + string(m)}}, nil
	}
	return peer.AcquireReply{Refused: model.ReasonNoMinion}, nil
}

func (f *fakeControl) CheckPermit(p *model.Permit, _ string) model.Reason {
	if f.check != nil {
		return f.check(p)
	}
	return model.ReasonNone
}

func (f *fakeControl) Release(p *model.Permit, r peer.AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := fmt.Sprint(p.Job, p.Attempt)
	if !f.out[key] {
		panic(invariant.Violation("permit released twice: " + key))
	}
	delete(f.out, key)
	f.released = append(f.released, r)
}

func (f *fakeControl) Begin() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.begun--
	}
}

func (f *fakeControl) Record(r model.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun == 0 {
		panic(invariant.Violation("a record that was not begun: " + r.Job))
	}
	f.records = append(f.records, r)
}
func (f *fakeControl) Event(model.FleetEvent) {}

// recorded returns the records so far.
func (f *fakeControl) recorded() []model.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.records)
}

// recordedState returns the state that the report would show for a job: that of the record
// with the highest rank.
func (f *fakeControl) recordedState(id model.JobID) model.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best model.State
	for _, r := range f.records {
		if r.Job == id && r.State.Rank() > best.Rank() {
			best = r.State
		}
	}
	return best
}

// fault is how a fake minion fails a call.
type fault string

const (
	noFault          fault = "okay"
	connRefused      fault = "connection refused"
	notSent          fault = "not sent after the check"
	notStarted       fault = "not started"
	lostBeforeRun    fault = "lost before the run"
	lostAfterRun     fault = "lost after the run"
	partialAnswer    fault = "part of the answer"
	status500        fault = "status 500"
	runsPastDeadline fault = "runs past the deadline"
)

// fakeMinions injects a fault into each attempt and counts the runs.
type fakeMinions struct {
	upstream.Minions // Status is not used
	mu               sync.Mutex
	fault            func(c upstream.Call) fault
	// connect is the time to open a connection.
	connect time.Duration
	runs    map[string]int // by body and by "job "+id
	calls   []upstream.Call
	used    map[string]bool // attempts, by data centre
}

func (f *fakeMinions) Run(_ context.Context, c upstream.Call) (upstream.Answer, error) {
	kind := noFault
	if f.fault != nil {
		kind = f.fault(c)
	}
	if kind == connRefused {
		return upstream.Answer{}, upstream.ErrNotReached
	}
	time.Sleep(f.connect)
	if err := c.BeforeSend(); err != nil {
		return upstream.Answer{}, fmt.Errorf("%w: %w", upstream.ErrNotReached, err)
	}
	if err := c.LastCheck(); err != nil {
		return upstream.Answer{}, fmt.Errorf("%w: %w", upstream.ErrNotReached, err)
	}
	f.mu.Lock()
	f.calls = append(f.calls, c)
	attempt := fmt.Sprint(c.Addr[:1], c.Job, c.Attempt)
	if f.used[attempt] {
		panic(invariant.Violation("attempt number used twice in a data centre: " + attempt))
	}
	f.used[attempt] = true
	if kind != notSent && kind != notStarted && kind != lostBeforeRun {
		f.runs[string(c.Body)]++
		f.runs["job "+string(c.Job)]++
	}
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	switch kind {
	case notSent:
		return upstream.Answer{}, upstream.ErrNotReached
	case notStarted:
		return upstream.Answer{}, upstream.ErrNotStarted
	case lostBeforeRun, lostAfterRun:
		return upstream.Answer{}, upstream.ErrAnswerLost
	case partialAnswer:
		return upstream.Answer{}, upstream.ErrAnswerIncomplete
	case status500:
		return upstream.Answer{Status: 500, Body: []byte("no")}, nil
	case runsPastDeadline:
		time.Sleep(time.Until(c.Deadline.Add(time.Second)))
	}
	return upstream.Answer{Status: 200, Body: []byte(strings.ToUpper(string(c.Body)))}, nil
}

func (f *fakeMinions) ran(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

// fakeTable is an in-memory table with injected faults. Several entry VMs can share one.
type fakeTable struct {
	platform.Table // Scan is not used
	mu             sync.Mutex
	rows           map[string]platform.Row
	commits        int
	// commitErr returns the error of the n-th commit and whether the write took effect
	// nevertheless.
	commitErr func(n int) (err error, stored bool)
	getErr    func() error
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (f *fakeTable) Get(_ context.Context, _ platform.Priority, key string) (platform.Row, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.getErr != nil {
		if err := f.getErr(); err != nil {
			return platform.Row{}, err
		}
	}
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeTable) Commit(_ context.Context, _ platform.Priority, t platform.Txn) (map[string]uint64, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if f.commitErr != nil {
		if err, stored := f.commitErr(f.commits); err != nil {
			if stored {
				_, _ = f.apply(t)
			}
			return nil, err
		}
	}
	return f.apply(t)
}

func (f *fakeTable) apply(t platform.Txn) (map[string]uint64, error) {
	for _, c := range t.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return nil, platform.ErrConflict
		}
	}
	out := map[string]uint64{}
	for _, p := range t.Puts {
		v := f.rows[p.Key].Version + 1
		f.rows[p.Key] = platform.Row{Key: p.Key, Version: v, Value: p.Value}
		out[p.Key] = v
	}
	return out, nil
}

// fakeNetwork connects entry VMs and injects a fault into each forward.
type fakeNetwork struct {
	mu           sync.Mutex
	services     map[model.EntryVM]*Service
	sent         []model.EntryVM
	forwardFault func(to model.EntryVM) (err error, delivered bool)
	// lookupFails makes JobGet fail.
	lookupFails bool
	// disconnectAfter, if set, is the time after which the connection of a forward breaks.
	disconnectAfter time.Duration
}

func (n *fakeNetwork) Forward(ctx context.Context, to model.EntryVM, f peer.Forward) (peer.ForwardReply, error) {
	n.mu.Lock()
	n.sent = append(n.sent, to)
	s := n.services[to]
	n.mu.Unlock()
	if n.forwardFault != nil {
		if err, delivered := n.forwardFault(to); err != nil {
			if delivered {
				s.HandleForward(ctx, f)
			}
			return peer.ForwardReply{}, err
		}
	}
	if s == nil {
		return peer.ForwardReply{}, ErrForwardNotSent
	}
	if n.disconnectAfter > 0 {
		ctx, cancel := context.WithTimeout(ctx, n.disconnectAfter)
		defer cancel()
		s.HandleForward(ctx, f)
		return peer.ForwardReply{}, fmt.Errorf("connection to %s broke", to)
	}
	return s.HandleForward(ctx, f), nil
}

func (n *fakeNetwork) JobGet(_ context.Context, to model.EntryVM, id model.JobID, _ bool) (peer.JobGetReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.services[to]; s != nil && !n.lookupFails {
		return s.Answer(id), nil
	}
	return peer.JobGetReply{}, fmt.Errorf("entry VM %s does not answer", to)
}

func (n *fakeNetwork) JobCancel(_ context.Context, to model.EntryVM, id model.JobID, team model.Team) (model.Result, error) {
	n.mu.Lock()
	s := n.services[to]
	n.mu.Unlock()
	return s.Cancel(id, team)
}

// testEntryVM is one entry VM whose dependencies are fakes.
type testEntryVM struct {
	ctl     *fakeControl
	minions *fakeMinions
	table   *fakeTable
	network *fakeNetwork
	*Service
}

func newTestEntryVM(maxAttempts int) *testEntryVM {
	return newTestEntryVMOn("e1", "a", &fakeMinions{runs: map[string]int{}, used: map[string]bool{}}, newFakeTable(),
		&fakeNetwork{services: map[model.EntryVM]*Service{}}, maxAttempts)
}

// newTestEntryVMOn creates an entry VM that shares minions, table and network with others.
func newTestEntryVMOn(name model.EntryVM, dc model.DataCentre, m *fakeMinions, t *fakeTable, n *fakeNetwork, maxAttempts int) *testEntryVM {
	r := &testEntryVM{ctl: &fakeControl{dc: dc, snap: testSnapshot(maxAttempts), out: map[string]bool{}}, minions: m, table: t, network: n}
	r.Service = New(Config{Entry: name, DC: dc, Control: r.ctl, Minions: m, Table: t, Recorder: r.ctl,
		Forwarder: n, Lookup: n, Log: zerolog.Nop(), AnswerBytes: 1000})
	n.services[name] = r.Service
	return r
}

func (r *testEntryVM) addEntryVM(name model.EntryVM, dc model.DataCentre) *testEntryVM {
	return newTestEntryVMOn(name, dc, r.minions, r.table, r.network, 3)
}

// drainAndCheck shuts the entry VM down and checks that no permit is left.
func (r *testEntryVM) drainAndCheck(t require.TestingT) {
	r.BeginDrain()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	require.NoError(t, r.Wait(ctx))
	r.ctl.mu.Lock()
	defer r.ctl.mu.Unlock()
	require.Empty(t, r.ctl.out, "permits must be released")
}

func input(body string, idempotent bool) Submission {
	return Submission{Queue: "cuts", Key: testKey, Idempotent: idempotent, Body: []byte(body)}
}

func withID(in Submission, id string) Submission {
	in.RequestID = id
	return in
}

// failFirst injects a fault into the first attempt of every job.
func failFirst(k fault) func(upstream.Call) fault {
	return func(c upstream.Call) fault {
		if c.Attempt == 1 {
			return k
		}
		return noFault
	}
}

func failAlways(k fault) func(upstream.Call) fault { return func(upstream.Call) fault { return k } }
