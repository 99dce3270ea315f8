package coordinator

import (
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

	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// bench is a site under a fake clock: a store, minions, and terms of entry VMs.
type bench struct {
	t        *testing.T
	store    *fleet.Store
	minions  *fleet.Minions
	machines *fleet.Machines
	config   *site.Config
	waves    map[int64]site.Wave
	began    time.Time
	log      lockedBuffer
}

// lockedBuffer keeps the log of all terms.
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

// about returns the lines that name any of the words.
func (l *lockedBuffer) about(words ...string) string {
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

// stamp writes the fake time.
type stamp struct{ b *bench }

func (s stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64("at", time.Since(s.b.began).Milliseconds())
}

const (
	testQueue   model.Queue   = "q"
	testService model.Service = "svc"
	testTeam    model.Team    = "team"
)

// newBench returns a site with n minions of 4 cores.
func newBench(t *testing.T, n int) *bench {
	b := &bench{t: t, store: fleet.NewStore(), minions: fleet.NewMinions(), machines: &fleet.Machines{}, began: time.Now(), waves: map[int64]site.Wave{}}
	b.config = &site.Config{Version: 1, Services: map[model.Service]site.Service{testService: {RejectsOverload: true}},
		Teams: map[model.Team]site.Team{testTeam: {Weight: 1}}, Keys: map[string]model.Team{"key": testTeam},
		Queues: []site.Queue{{Name: testQueue, Host: "h", Prefix: "/q/", Service: testService, MaxAttempts: 3, Stretch: 2, Target: time.Second}}}
	b.config.Index()
	for i := range n {
		b.addMinion(jobs.Minion(fmt.Sprintf("m%d", i)))
	}
	return b
}

func (b *bench) addMinion(id jobs.Minion) {
	b.minions.Add(site.MinionEntry{ID: id, Service: testService, Addr: string(id), DC: "dc", Rack: model.Rack("rack-" + string(id)),
		Capacity: jobs.Resources{CPU: 4000, MemoryMB: 4000}})
	b.list(id)
}

// list puts a minion's entry into the platform's list.
func (b *bench) list(id jobs.Minion) { b.store.Put("servers/"+string(id), b.minions.EntryRow(id)) }

func (b *bench) deps(name model.EntryVM, view *fleet.View) Deps {
	return Deps{
		Self: peer.Sender{Entry: name, DC: "dc", Incarnation: model.Incarnation(name)}, Addr: "a", Table: view, Feed: view,
		Minions: b.minions, Machines: b.machines,
		Codec: Codec{
			Minion: func(_ string, v []byte) (e site.MinionEntry, err error) { return e, json.Unmarshal(v, &e) },
			Wave:   func(v []byte) (w site.Wave, err error) { return w, json.Unmarshal(v, &w) },
			WaveStatus: func(s site.WaveState) ([]byte, error) {
				return json.Marshal(map[string]string{"state": string(s)})
			},
		},
		Limits:     Limits{MaxMinionLease: 6 * time.Second, MachineOrderGap: 3 * time.Second, Retention: time.Minute},
		Config:     func() *site.Config { return b.config },
		Waves:      func() map[int64]site.Wave { return b.waves },
		SetMembers: func(map[model.EntryVM]peer.Member) {},
		Dial:       func(model.EntryVM, string) PeerClient { return nil },
		Now:        func() time.Duration { return time.Hour + time.Since(b.began) },
		Log:        zerolog.New(&b.log).With().Str("entry", string(name)).Logger().Hook(stamp{b}),
		Rand:       rand.New(rand.NewPCG(1, 2)),
	}
}

// take begins a term of an entry VM after the last holder's process has ended.
func (b *bench) take(name string, fault func(op string) fleet.Fault) *Term {
	view := &fleet.View{Store: b.store, Fault: fault}
	d := b.deps(model.EntryVM(name), view)
	d.PredecessorStopped = true
	// The take itself meets no fault: an entry VM tries until it succeeds.
	plain := &fleet.View{Store: b.store}
	var held *lease.Held
	for {
		var err error
		held, err = lease.Acquire(context.Background(), plain, d.Now, b.store.Row(lease.Key), lease.Row{Holder: d.Self.Entry, Addr: "a", Incarnation: d.Self.Incarnation})
		if err == nil {
			break
		}
		require.ErrorIs(b.t, err, lease.ErrLost)
	}
	return Start(d, held.WithTable(view))
}

func end(t *Term) {
	t.End(ErrNotCoordinating)
	_ = t.Wait()
}

// accept stores a job as an entry VM does, and offers it.
func (b *bench) accept(t *Term, id jobs.ID, steps ...jobs.Step) {
	a := jobs.Accepted{ID: id, Queue: testQueue, Service: testService, Team: testTeam, AcceptedAt: time.Now(), Spec: jobs.Spec{Payload: "p", Steps: steps}}
	value, err := json.Marshal(a)
	require.NoError(b.t, err)
	b.store.Put(JobKey(id), value)
	if t != nil {
		t.JobStored(id, value)
	}
}

func (b *bench) state(t *Term, id jobs.ID) jobs.State {
	s, ok, err := t.State(context.Background(), id)
	require.NoError(b.t, err)
	require.True(b.t, ok)
	return s
}

// step returns a step of n tasks of one core.
func step(n int, after ...int) jobs.Step {
	return jobs.Step{Count: n, Need: jobs.Resources{CPU: 1000}, Estimate: 500 * time.Millisecond, After: after}
}

// clean fails the test with the story of the first violation.
func (b *bench) clean() {
	v := b.minions.Violations()
	if len(v) == 0 {
		return
	}
	task, _, _ := strings.Cut(v[0], " ")
	require.Empty(b.t, v, b.minions.Story(task)+b.log.about(task, "term began", "loaded"))
}

// sleep passes fake time.
func sleep(d time.Duration) { time.Sleep(d) }
