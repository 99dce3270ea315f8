package admission

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
)

// TestMain lengthens the random sequences: a takeover only has consequences after a holder
// failed or an attempt was lost, which sequences of the default 30 steps rarely contain.
// Flags on the command line take precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", "200"); err != nil {
		panic(err)
	}
	flag.Parse()
	m.Run()
}

// simulation models what is outside the coordinator: the jobs that minions run and the
// permits that entry VMs hold.
type simulation struct {
	t           *rapid.T
	now         time.Time
	f           fixture
	site        *config.Site
	index       *config.Index
	a           *Admission
	token       model.Token
	parts       map[model.Team]int
	states      map[model.VM]model.VMState
	running     map[model.VM]map[Attempt]model.Team // the jobs that minions actually run
	held        map[Attempt]*model.Permit           // permits of running entry VMs
	started     map[Attempt]bool
	waiting     map[Attempt]peer.Acquire
	jobs        int
	grants      int
	checkProbes bool // apply checkConservation to ejected minions too
	finished    map[Attempt]bool
}

// sortedKeys returns the keys in a fixed order, so that sequences are reproducible.
func sortedKeys[V any](m map[Attempt]V) []Attempt {
	return slices.SortedFunc(maps.Keys(m), func(x, y Attempt) int { return cmp.Compare(x.Job, y.Job) })
}

func newSimulation(t *rapid.T) *simulation {
	f := fixture{services: 2, minions: 3, slots: 3, conns: 4, entries: 2, teams: 3, maxWaiting: 6, limit: 6, shares: []int{1, 2, 5}}
	w := &simulation{t: t, now: epoch, f: f, site: f.site(), token: model.Token{Epoch: 1},
		parts: map[model.Team]int{}, states: map[model.VM]model.VMState{}, running: map[model.VM]map[Attempt]model.Team{},
		held: map[Attempt]*model.Permit{}, started: map[Attempt]bool{}, waiting: map[Attempt]peer.Acquire{}, finished: map[Attempt]bool{}}
	w.index = config.NewIndex(w.site, 1)
	for _, v := range w.site.VMs {
		w.states[v.Name] = model.VMServing
		w.running[v.Name] = map[Attempt]model.Team{}
	}
	for i := range f.teams {
		w.parts[teamName(i)] = 4
	}
	w.takeover()
	return w
}

// takeover replaces the coordinator: entry VMs report their permits, release those that were
// not used yet and send their waiting requests again.
func (w *simulation) takeover() {
	p := DefaultParams()
	p.EjectAfter = 2 // five consecutive failures are too rare in short sequences
	w.a = New("a", w.token, p)
	w.apply(w.a.SetConfig(w.index, w.now))
	w.apply(w.a.SetAllotments(w.now, w.parts))
	for _, v := range w.site.VMs {
		w.apply(w.a.SetMinionState(w.now, v.Name, w.states[v.Name]))
	}
	var report []model.Permit
	for _, k := range sortedKeys(w.held) {
		report = append(report, *w.held[k])
	}
	w.apply(w.a.Adopt(w.now, report))
	for _, k := range sortedKeys(w.held) {
		if !w.started[k] {
			w.releasePermit(k, w.held[k], peer.AttemptUnused)
		}
	}
	resent := w.waiting
	w.waiting = map[Attempt]peer.Acquire{}
	for _, k := range sortedKeys(resent) {
		w.waiting[k] = resent[k]
		w.apply(w.a.Submit(w.now, resent[k]))
	}
}

func (w *simulation) releasePermit(k Attempt, p *model.Permit, r peer.AttemptResult) {
	delete(w.held, k)
	delete(w.started, k)
	w.apply(w.a.Release(w.now, release(p, r)))
}

// apply checks each effect against the simulated state and delivers it.
func (w *simulation) apply(out []Effect) {
	for _, e := range out {
		k := Attempt{e.Job, e.Attempt}
		q, ok := w.waiting[k]
		if !ok {
			w.t.Fatalf("second answer for %v: %+v", k, e)
		}
		delete(w.waiting, k)
		w.finished[k] = true
		if e.Reason == "" {
			w.t.Fatalf("effect without a reason: %+v", e)
		}
		switch e.Kind {
		case EffectForward:
			if q.Hops > 0 {
				w.t.Fatalf("forwarded twice: %+v", e)
			}
		case EffectGrant:
			w.checkGrant(k, q, e.Permit)
		}
	}
}

func (w *simulation) checkGrant(k Attempt, q peer.Acquire, p *model.Permit) {
	if s := w.states[p.Minion]; s != model.VMServing {
		w.t.Fatalf("permit for minion %s in state %s", p.Minion, s)
	}
	if slices.Contains(q.Avoid, p.Minion) {
		w.t.Fatalf("permit for minion %s that failed the job", p.Minion)
	}
	if id := q.Request.KeyID; id != "" && (w.index.Key(id) == nil || w.index.Key(id).Team != p.Team) {
		w.t.Fatalf("permit for withdrawn key %s", id)
	}
	w.held[k] = p
	slots, conns, team := 0, 0, 0
	for o, h := range w.held {
		_, runs := w.running[h.Minion][o]
		if h.Minion == p.Minion && !runs {
			slots++
		}
		if h.Minion == p.Minion && h.Holder == p.Holder {
			conns++
		}
		if h.Team == p.Team && !runs {
			team++
		}
	}
	slots += len(w.running[p.Minion])
	for _, jobs := range w.running {
		for _, t := range jobs {
			if t == p.Team {
				team++
			}
		}
	}
	if slots > w.f.slots || conns > w.f.conns/w.f.entries {
		w.t.Fatalf("minion %s has %d slots and %d connections of %s used", p.Minion, slots, conns, p.Holder)
	}
	if p.Team != "" && team > min(w.parts[p.Team], w.index.Team(p.Team).Limit) {
		w.t.Fatalf("team %s runs %d of %d", p.Team, team, w.parts[p.Team])
	}
}

// check checks the invariants that hold after every event.
func (w *simulation) check(t *rapid.T) {
	if len(w.a.waiting) != len(w.waiting) || len(w.a.deadlines) != len(w.waiting) {
		t.Fatalf("%d requests wait, the callers expect %d", len(w.a.waiting), len(w.waiting))
	}
	perTeam, unattributed := map[model.Team]int{}, 0
	for _, m := range w.a.minions {
		unattributed += len(m.unattributed)
		for _, p := range m.permits {
			perTeam[p.Team]++
		}
	}
	for n, tm := range w.a.teams {
		if tm.permits != perTeam[n] {
			t.Fatalf("team %s: %d permits counted, %d exist", n, tm.permits, perTeam[n])
		}
	}
	if unattributed != w.a.unattributed {
		t.Fatalf("%d unattributed jobs counted, %d exist", w.a.unattributed, unattributed)
	}
	for vm, jobs := range w.running {
		if len(jobs) > w.f.slots {
			t.Fatalf("minion %s runs %d", vm, len(jobs))
		}
	}
	for _, s := range w.a.services {
		if serving, ejected := s.countEjected(); 2*ejected > serving {
			t.Fatalf("%d of %d minions ejected", ejected, serving)
		}
	}
	w.checkConservation(t)
}

// checkConservation fails if a free minion could run a waiting request. It compares every
// waiting request with every minion.
func (w *simulation) checkConservation(t *rapid.T) {
	blocked := w.a.blockedSlots()
	for _, r := range w.a.waiting {
		tm := w.a.teams[r.team]
		if tm.limited && tm.permits+tm.tasks+blocked >= min(tm.allotment, tm.limit) {
			continue
		}
		for _, m := range r.group.backlog.service.minions {
			if m.ejected && !w.checkProbes {
				continue
			}
			if m.ready(w.now) && m.conns[r.holder] < m.connShare && !slices.Contains(r.avoid, m.vm) {
				t.Fatalf("request %v waits while minion %s is free", r.key, m.vm)
			}
		}
	}
	w.checkProbes = false
}

func (w *simulation) drawVM(t *rapid.T) model.VM {
	return w.site.VMs[rapid.IntRange(0, len(w.site.VMs)-1).Draw(t, "vm")].Name
}

// drawPermit draws a held permit whose attempt was started, or was not.
func (w *simulation) drawPermit(t *rapid.T, started bool) (Attempt, *model.Permit) {
	var keys []Attempt
	for _, k := range sortedKeys(w.held) {
		if w.started[k] == started {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		t.Skip("no permit")
	}
	k := rapid.SampledFrom(keys).Draw(t, "permit")
	return k, w.held[k]
}

func (w *simulation) submit(t *rapid.T) {
	w.jobs++
	s := rapid.IntRange(0, w.f.services-1).Draw(t, "service")
	name := rapid.SampledFrom([]string{"q", "late", "open"}).Draw(t, "queue")
	team := rapid.IntRange(0, w.f.teams-1).Draw(t, "team")
	if name == "open" {
		team = -1
	}
	q := acquire(w.jobs, team, model.Queue(fmt.Sprintf("%s%d", name, s)), time.Duration(rapid.IntRange(-1, 20000).Draw(t, "ms"))*time.Millisecond)
	q.From.Entry = entryName(rapid.IntRange(0, w.f.entries-1).Draw(t, "entry"))
	q.Hops = rapid.IntRange(0, 1).Draw(t, "hops")
	q.Request.Idempotent = rapid.Bool().Draw(t, "idempotent")
	q.Request.Priority = rapid.SampledFrom([]model.Priority{model.PriorityNormal, model.PriorityUrgent}).Draw(t, "priority")
	if rapid.IntRange(0, 3).Draw(t, "avoids") == 0 {
		q.Avoid = []model.VM{w.drawVM(t)}
	}
	w.waiting[Attempt{q.Request.Job, 1}] = q
	w.apply(w.a.Submit(w.now, q))
}

func (w *simulation) start(t *rapid.T) {
	k, p := w.drawPermit(t, false)
	if w.states[p.Minion] == model.VMRebooting {
		t.Skip("nothing starts while the VM reboots")
	}
	w.grants++
	w.started[k] = true
	w.running[p.Minion][k] = p.Team
}

// rarely runs the event in one of six cases and submits a request otherwise: events that
// free slots must not be so frequent that the fleet never fills up.
func (w *simulation) rarely(event func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 5).Draw(t, "rare") != 5 {
			w.submit(t)
			return
		}
		event(t)
	}
}

func (w *simulation) status(t *rapid.T, vm model.VM) {
	w.apply(w.a.MinionStatus(w.now, w.now, vm, sortedKeys(w.running[vm])))
}

func (w *simulation) poll(t *rapid.T) {
	for _, v := range w.site.VMs {
		w.status(t, v.Name)
	}
}

func (w *simulation) setSite(t *rapid.T) {
	s := w.f.site()
	s.Keys = s.Keys[rapid.IntRange(0, 2).Draw(t, "withdrawn"):]
	for i := range s.Teams {
		s.Teams[i].Limit = rapid.IntRange(1, 6).Draw(t, "limit")
	}
	w.site, w.index = s, config.NewIndex(s, w.index.Version+1)
	w.apply(w.a.SetConfig(w.index, w.now))
	for _, r := range w.a.waiting {
		if r.keyID != "" && w.index.Key(r.keyID) == nil {
			t.Fatalf("request %v waits with a withdrawn key", r.key)
		}
	}
}

// Guards against violations of the admission rules in random sequences of events: too many
// permits for a minion's slots, an entry VM's connections or a team's limit, permits for
// draining minions or with withdrawn keys, duplicate or missing replies, and idle slots
// while eligible requests wait.
func TestRandomEvents(t *testing.T) {
	var grants, takeovers, endedLost int
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.poll(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"submit":  w.submit,
			"submit2": w.submit,
			"submit3": w.submit,
			"submit4": w.submit,
			"start":   w.start,
			"start2":  w.start,
			"repeat": func(t *rapid.T) {
				keys := sortedKeys(w.held)
				if len(keys) == 0 {
					t.Skip("no permit")
				}
				k, p := keys[0], w.held[keys[0]]
				q := acquire(0, -1, p.Queue, time.Minute)
				q.Request.Job, q.From.Entry = k.Job, p.Holder
				if p.Team != "" {
					// A repeated call carries the same request, its key included.
					q.Request.Team, q.Request.KeyID = p.Team, "k"+strings.TrimPrefix(string(p.Team), "t")
					if w.index.Key(q.Request.KeyID) == nil {
						t.Skip("key withdrawn: TestRepeatedAcquireAfterWithdrawal")
					}
				}
				out := w.a.Submit(w.now, q)
				if len(out) == 0 || out[len(out)-1].Permit == nil || out[len(out)-1].Permit.Minion != p.Minion {
					t.Fatalf("repeated Acquire of %v: %+v", k, out)
				}
				w.held[k] = out[len(out)-1].Permit
				w.apply(out[:len(out)-1])
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				w.apply(w.a.Tick(w.now))
				w.checkProbes = true
			},
			"unused": w.rarely(func(t *rapid.T) {
				k, p := w.drawPermit(t, false)
				w.releasePermit(k, p, peer.AttemptUnused)
			}),
			"finish": func(t *rapid.T) {
				k, p := w.drawPermit(t, true)
				delete(w.running[p.Minion], k)
				w.releasePermit(k, p, rapid.SampledFrom([]peer.AttemptResult{peer.AttemptOK, peer.AttemptFailed, peer.AttemptNotStarted}).Draw(t, "result"))
			},
			"lose": func(t *rapid.T) {
				k, p := w.drawPermit(t, true)
				w.releasePermit(k, p, peer.AttemptLost)
			},
			"end lost": func(t *rapid.T) {
				for _, v := range w.site.VMs {
					for _, k := range sortedKeys(w.running[v.Name]) {
						if w.held[k] == nil {
							delete(w.running[v.Name], k)
							endedLost++
							return
						}
					}
				}
			},
			"status": func(t *rapid.T) { w.status(t, w.drawVM(t)) },
			"poll":   w.poll,
			"cancel": w.rarely(func(t *rapid.T) {
				keys := sortedKeys(w.waiting)
				if len(keys) == 0 {
					t.Skip("nothing waits")
				}
				k := keys[0]
				w.apply(w.a.Cancel(w.now, k.Job, k.Attempt, w.waiting[k].From.Entry))
				if _, ok := w.waiting[k]; ok {
					t.Fatalf("%v still waits after Cancel", k)
				}
			}),
			"holder gone": w.rarely(func(t *rapid.T) {
				e := entryName(rapid.IntRange(0, w.f.entries-1).Draw(t, "entry"))
				for k, p := range w.held {
					if p.Holder == e {
						delete(w.held, k)
						delete(w.started, k)
					}
				}
				w.apply(w.a.RemoveHolder(w.now, e))
			}),
			"takeover": w.rarely(func(t *rapid.T) {
				takeovers++
				w.token.Epoch++
				w.takeover()
			}),
			"state": w.rarely(func(t *rapid.T) {
				vm := w.drawVM(t)
				st := rapid.SampledFrom([]model.VMState{model.VMServing, model.VMServing, model.VMDraining, model.VMRebooting}).Draw(t, "state")
				if st == model.VMRebooting {
					clear(w.running[vm]) // a failed VM reboots with jobs on it
				}
				w.states[vm] = st
				w.apply(w.a.SetMinionState(w.now, vm, st))
			}),
			"allotments": w.rarely(func(t *rapid.T) {
				for i := range w.f.teams {
					w.parts[teamName(i)] = rapid.IntRange(0, 6).Draw(t, "part")
				}
				w.apply(w.a.SetAllotments(w.now, w.parts))
			}),
			"remote": func(t *rapid.T) {
				w.apply(w.a.SetRemoteUsage(w.now, "b", map[model.Team]int{teamName(0): rapid.IntRange(0, 9).Draw(t, "running")},
					map[model.Service]int{"s0": rapid.IntRange(0, 2).Draw(t, "free")}))
			},
			"site": w.rarely(w.setSite),
		})
		grants += w.grants
		// Every request that still waits is answered at its deadline.
		w.now = w.now.Add(time.Minute)
		w.apply(w.a.Tick(w.now))
		if len(w.waiting) > 0 {
			t.Fatalf("%d requests were never answered", len(w.waiting))
		}
	})
	require.Positive(t, grants*takeovers*endedLost, "the sequences exercise grants, takeovers and lost attempts")
}

// Guards against a distribution that differs from the shares while every team has requests
// waiting.
func TestSharesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 8).Draw(t, "teams")
		f := fixture{services: 1, minions: 10, slots: 8, conns: 64, entries: 1, teams: teams, maxWaiting: 10000, limit: 1000}
		total := 0
		for range teams {
			n := rapid.IntRange(1, 10).Draw(t, "share")
			f.shares = append(f.shares, n)
			total += n
		}
		a, now, job := f.newAdmission(epoch), epoch, 0
		counts := make(map[model.Team]int)
		var running []*model.Permit
		take := func(out []Effect) {
			for _, e := range out {
				running = append(running, e.Permit)
				counts[e.Team]++
			}
		}
		submit := func(team int) {
			job++
			take(a.Submit(now, acquire(job, team, "q0", 10*time.Minute)))
		}
		for i := range teams * 200 {
			submit(i / 200) // the first team fills the fleet alone
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 800 {
			now = now.Add(10 * time.Millisecond)
			i := rng.IntN(len(running))
			p := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			counts[p.Team]--
			for n := range teams {
				if teamName(n) == p.Team {
					submit(n)
				}
			}
			take(a.Release(now, release(p, peer.AttemptOK)))
		}
		// Whole slots cannot match the shares exactly. The expected distribution is the one
		// that results from giving each slot of an empty fleet to the team with the lowest ratio.
		want := make([]int, teams)
		for range 80 {
			low := 0
			for n := range want {
				if want[n]*f.shares[low] < want[low]*f.shares[n] {
					low = n
				}
			}
			want[low]++
		}
		for n, share := range f.shares {
			if got := counts[teamName(n)]; got < want[n]-2 || got > want[n]+2 {
				t.Fatalf("team %d with share %d of %d runs %d, want about %d", n, share, total, got, want[n])
			}
		}
	})
}
