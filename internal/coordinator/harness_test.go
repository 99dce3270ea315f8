package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/runspan"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// testSite is a site under a fake clock: a store, minions, and the terms of its entry VMs.
type testSite struct {
	t         *testing.T
	store     *fleet.Store
	minions   *fleet.Minions
	machines  *fleet.Machines
	config    *site.Config
	waves     map[int64]site.Wave
	startedAt time.Time
	log       lockedBuffer
	// runSpans is Deps.runSpans of all terms.
	runSpans runspan.Spans
	// evacuations, if set, is what an entry VM knows of the operators' evacuations.
	evacuations func(name model.EntryVM) *knownEvacuations
	// retention is Limits.Retention of all terms; 0 means a minute.
	retention time.Duration
	// clients are the minions and machines, unless a test replaces them.
	clients fencing.Fleet
}

// lockedBuffer collects the log lines of all terms.
type lockedBuffer struct {
	mu    sync.Mutex
	lines []string // guarded by mu
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	return len(p), nil
}

// linesWith returns the lines that contain any of the words.
func (l *lockedBuffer) linesWith(words ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := ""
	for _, line := range l.lines {
		for _, w := range words {
			if strings.Contains(line, w) {
				out += line
				break
			}
		}
	}
	return out
}

// timestampHook adds the fake time to log lines.
type timestampHook struct{ ts *testSite }

func (h timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64("at", time.Since(h.ts.startedAt).Milliseconds())
}

const (
	testQueue   model.Queue   = "q"
	testService model.Service = "svc"
	testTeam    model.Team    = "team"
)

// newTestSite returns a site with n minions of 4 cores each.
func newTestSite(t *testing.T, n int) *testSite {
	ts := &testSite{t: t, store: fleet.NewStore(), minions: fleet.NewMinions(), machines: &fleet.Machines{}, startedAt: time.Now(), waves: map[int64]site.Wave{}}
	ts.config = &site.Config{Version: 1, Services: map[model.Service]site.Service{testService: {RejectsOverload: true}},
		Teams: map[model.Team]site.Team{testTeam: {Weight: 1}}, Keys: map[string]model.Team{"key": testTeam},
		Queues: []site.Queue{{Name: testQueue, Host: "h", Prefix: "/q/", Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second}}}
	ts.config.Index()
	ts.clients = fencing.NewFleet(ts.minions, ts.machines)
	for i := range n {
		ts.addMinion(jobs.Minion(fmt.Sprintf("m%d", i)))
	}
	return ts
}

func (s *testSite) addMinion(id jobs.Minion) {
	s.minions.Add(site.MinionEntry{ID: id, Service: testService, Addr: string(id), DC: "dc", Rack: model.Rack("rack-" + string(id)),
		Capacity: jobs.Resources{CPU: 4000, MemoryMB: 4000}})
	s.list(id)
}

// list writes a minion's entry to the platform's list.
func (s *testSite) list(id jobs.Minion) { s.store.Put("servers/"+string(id), s.minions.EntryRow(id)) }

func (s *testSite) deps(name model.EntryVM, view *fleet.View) Deps {
	d := Deps{
		Self: peer.Sender{Entry: name, DC: "dc", Incarnation: model.Incarnation(name)}, Addr: "a", Table: view, Feed: view,
		Fleet: s.clients,
		Codec: Codec{
			Minion: func(_ string, v []byte) (e site.MinionEntry, err error) { return e, json.Unmarshal(v, &e) },
			Wave:   func(v []byte) (w site.Wave, err error) { return w, json.Unmarshal(v, &w) },
			WaveStatus: func(s site.WaveState) ([]byte, error) {
				return json.Marshal(map[string]string{"state": string(s)})
			},
		},
		Limits:     Limits{MaxMinionLease: 6 * time.Second, MachineOrderGap: 3 * time.Second, Retention: cmp.Or(s.retention, time.Minute)},
		Config:     func() *site.Config { return s.config },
		Waves:      func() map[int64]site.Wave { return s.waves },
		SetMembers: func(map[model.EntryVM]peer.Member) {},
		Dial:       func(model.EntryVM, string) PeerClient { return nil },
		Now:        func() time.Duration { return time.Hour + time.Since(s.startedAt) },
		Log:        zerolog.New(&s.log).With().Str("entry", string(name)).Logger().Hook(timestampHook{s}),
		Rand:       rand.New(rand.NewPCG(1, 2)),
		runSpans:   s.runSpans,
	}
	if s.evacuations != nil {
		known := s.evacuations(name)
		d.Evacuations, d.LearnEvacuations = known.state.Load, known.learn
	}
	return d
}

// startTerm acquires the lease for an entry VM, as if the process of the previous holder had ended,
// and starts a term. fault applies to the term's calls of the store.
func (s *testSite) startTerm(name string, fault func(op string) fleet.Fault) *Term {
	view := &fleet.View{Store: s.store, Fault: fault}
	d := s.deps(model.EntryVM(name), view)
	d.PredecessorStopped = true
	// No fault applies to the acquisition itself: an entry VM retries until it succeeds.
	plain := &fleet.View{Store: s.store}
	var held *lease.Held
	for {
		var err error
		held, err = lease.Acquire(context.Background(), plain, d.Now, s.store.Row(lease.Key), lease.Row{Holder: d.Self.Entry, Addr: "a", Incarnation: d.Self.Incarnation})
		if err == nil {
			break
		}
		require.ErrorIs(s.t, err, lease.ErrLost)
	}
	return Start(d, held.WithTable(view))
}

func endTerm(t *Term) {
	t.End(ErrNotCoordinating)
	_ = t.Wait()
}

// submitJob stores a job as an entry VM does and informs the term, if one is given.
func (s *testSite) submitJob(t *Term, id jobs.ID, steps ...jobs.Step) {
	s.submitTo(t, testQueue, testService, id, steps...)
}

// submitTo is submitJob for a queue and its service.
func (s *testSite) submitTo(t *Term, queue model.Queue, svc model.Service, id jobs.ID, steps ...jobs.Step) {
	s.submitTeam(t, testTeam, queue, svc, id, steps...)
}

// submitTeam is submitTo for a team.
func (s *testSite) submitTeam(t *Term, team model.Team, queue model.Queue, svc model.Service, id jobs.ID, steps ...jobs.Step) {
	a := jobs.Accepted{ID: id, Queue: queue, Service: svc, Team: team, AcceptedAt: time.Now(), Spec: jobs.Spec{Payload: "p", Steps: steps}}
	if q := s.config.Queue(queue); q != nil {
		a.MaxAttempts, a.Stretch, a.Target = q.MaxAttempts, q.Stretch, q.Target
	}
	value, err := json.Marshal(a)
	require.NoError(s.t, err)
	s.store.Put(JobKey(id), value)
	if t != nil {
		t.JobStored(id, value)
	}
}

func (s *testSite) state(t *Term, id jobs.ID) jobs.State {
	st, err := t.State(context.Background(), id)
	require.NoError(s.t, err)
	require.NotEmpty(s.t, st.State)
	return st.State
}

// step returns a step of n tasks of one core.
func step(n int, after ...int) jobs.Step {
	return jobs.Step{Count: n, Need: jobs.Resources{CPU: 1000}, Estimate: 500 * time.Millisecond, After: after}
}

// requireNoViolations fails the test with the history of the first violation.
func (s *testSite) requireNoViolations() {
	v := s.minions.Violations()
	if len(v) == 0 {
		return
	}
	task, _, _ := strings.Cut(v[0], " ")
	require.Empty(s.t, v, s.minions.Story(task)+s.log.linesWith(task, "term began", "loaded"))
}

// sleep advances the fake time.
func sleep(d time.Duration) { time.Sleep(d) }
