package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/platform"
	"boragepulley/internal/schedule"
	"boragepulley/internal/site"
)

// backlogTerm returns a term that is not running, with full minions of five services and a backlog of
// n jobs, each with two steps of ten tasks.
func backlogTerm(tb testing.TB, minions, n int) *Term {
	c := &site.Config{Version: 1, Services: map[model.Service]site.Service{}, Teams: map[model.Team]site.Team{}}
	for i := range 5 {
		svc := model.Service(fmt.Sprint("svc", i))
		c.Services[svc] = site.Service{}
		c.Queues = append(c.Queues, site.Queue{Name: model.Queue(fmt.Sprint("q", i)), Host: "h", Prefix: fmt.Sprintf("/q%d/", i), Service: svc, MaxAttempts: 3, Stretch: 2, Target: time.Second})
	}
	for i := range 20 {
		c.Teams[model.Team(fmt.Sprint("team", i))] = site.Team{Weight: 1}
	}
	c.Index()
	now := time.Hour
	t := &Term{deps: Deps{Config: func() *site.Config { return c }}, registry: jobs.NewRegistry(), minions: map[jobs.Minion]*holding.Minion{}, queues: map[model.Queue]site.Queue{}, now: now, startedAt: now - time.Minute, loaded: true, leaseUntil: now + time.Minute,
		pendingStarts: map[*jobs.Task]*pendingStart{}, pendingStops: map[*jobs.Task]*pendingStop{}, reservedPlaces: map[*jobs.Task]jobs.Minion{}, asideJobs: map[jobs.ID]bool{}}
	t.deps.Now = func() time.Duration { return t.now }
	t.writer.init()
	t.compactor.init()
	t.members.init()
	t.waves.init()
	t.machines.init()
	for i := range minions {
		e := site.MinionEntry{ID: jobs.Minion(fmt.Sprint("m", i)), Service: model.Service(fmt.Sprint("svc", i%5)), Capacity: jobs.Resources{CPU: 64000, MemoryMB: 256000}}
		m := holding.New(e, 0)
		m.Listed, m.Recorded, m.Polled = true, true, true
		m.ObserveClock(1000, now)
		m.Orphaned = e.Capacity
		t.minions[e.ID] = m
	}
	for i := range n {
		k := i % 5
		a := jobs.Accepted{Queue: model.Queue(fmt.Sprint("q", k)), Service: model.Service(fmt.Sprint("svc", k)), Team: model.Team(fmt.Sprint("team", i%20)), AcceptedAt: time.Now(),
			Spec: jobs.Spec{Payload: "p", Steps: []jobs.Step{{Count: 10, Need: jobs.Resources{CPU: int64(3000 + i%7*500)}, Estimate: time.Duration(500+i%300) * time.Millisecond}, {Count: 10, Need: jobs.Resources{CPU: 4000}, Estimate: 600 * time.Millisecond, After: []int{0}}}}}
		value, err := json.Marshal(a)
		require.NoError(tb, err)
		t.now = now - time.Duration(n-i)*time.Millisecond
		require.NotNil(tb, t.addJobRow(fmt.Sprintf("%016x", i*7919%1000003), platform.Row{Value: value}, false))
	}
	t.now = now
	return t
}

// BenchmarkPlanOfBacklog measures a scheduling run that starts nothing.
func BenchmarkPlanOfBacklog(b *testing.B) {
	for _, n := range []int{500, 6000} {
		b.Run(fmt.Sprint("jobs=", n), func(b *testing.B) {
			t := backlogTerm(b, 350, n)
			b.Run("snapshot", func(b *testing.B) {
				for range b.N {
					t.snapshot()
				}
			})
			b.Run("plan", func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					s := t.snapshot()
					b.StartTimer()
					schedule.NewPlan(s)
				}
			})
			b.Run("capacity", func(b *testing.B) {
				for range b.N {
					t.loadByService()
				}
			})
			b.Run("busy", func(b *testing.B) {
				for range b.N {
					t.busyServices()
				}
			})
		})
	}
}

// Guards against progress that is never stored because starts and final states fill each write: the
// ends in it are not acknowledged, and minions list them in each report. In an overload 42,721 of
// 142,754 ends were not acknowledged within 6 s.
func TestOldestProgressIsStoredBesideStartsAndFinalStates(t *testing.T) {
	const ends, starts = 200, 300
	term := backlogTerm(t, 1, ends+starts)
	var all []*jobs.Job
	for _, j := range term.registry.Open() {
		all = append(all, j)
	}
	for _, j := range all[:ends] {
		term.registry.Finish(j.Step(0, 0).Task(0), 1, "m0", jobs.EndDone, "", 3, term.now)
	}
	unsaved := func() (n int) {
		for _, j := range all[:ends] {
			if j.Unsaved() {
				n++
			}
		}
		return n
	}
	writes := 0
	for ; unsaved() > 0; writes++ {
		require.Less(t, writes, 2*ends/oldestRows, "the number of writes is bounded")
		for i, j := range all[ends:] { // each of them is changed again before each write
			term.registry.MarkUnsaved(j)
			if term.writer.heldStarts[j] = true; i == starts-1 && writes == 0 {
				term.registry.Cancel(j, term.now)
			}
		}
		term.now += urgentInterval
		b := term.collectBatch()
		puts := b.puts
		require.LessOrEqual(t, len(puts), maxBatchRows)
		requireDistinctKeys(t, puts)
		b.stored()
	}
	require.GreaterOrEqual(t, writes, ends/maxBatchRows, "some are stored by each write")
}

func requireDistinctKeys(t *testing.T, puts []platform.Put) {
	seen := map[string]bool{}
	for _, p := range puts {
		require.False(t, seen[p.Key], p.Key)
		seen[p.Key] = true
	}
}

// Guards against progress that is overtaken again and again by later changes: a minion's ends are
// acknowledged in their order.
func TestProgressIsStoredInTheOrderOfItsChanges(t *testing.T) {
	term := backlogTerm(t, 1, 400)
	var order []string
	for _, j := range term.registry.Open() {
		term.registry.Finish(j.Step(0, 0).Task(0), 1, "m0", jobs.EndDone, "", 3, term.now)
		order = append(order, ProgressKey(j.ID))
	}
	var got []string
	for len(got) < len(order) {
		term.now += lazyInterval
		b := term.collectBatch()
		puts := b.puts
		require.NotEmpty(t, puts)
		for _, p := range puts {
			got = append(got, p.Key)
		}
		b.stored()
	}
	require.Equal(t, order, got)
}

// Guards against a loop that looks at all pending orders after each event: in a burst 3,000 starts wait
// for a write while 1,000 events a second arrive.
func TestPendingOrdersAreNotLookedAtAfterEachEvent(t *testing.T) {
	const pending = 1000
	term := backlogTerm(t, 1, pending)
	for _, j := range term.registry.Open() {
		x := j.Step(0, 0).Task(0)
		term.registry.Order(x, 1, "m0", term.now)
		term.pendingStarts[x] = &pendingStart{minion: term.minions["m0"]}
	}
	for range 50 {
		term.resendOrders()
	}
	require.Equal(t, pending, term.load.orderChecks)
	term.ordersChanged = true // a write may let them go
	term.resendOrders()
	require.Equal(t, 2*pending, term.load.orderChecks)
	term.now += orderCheckInterval
	term.resendOrders()
	require.Equal(t, 3*pending, term.load.orderChecks)
}

// Guards against a scheduling run after each answer to a poll: most of them change nothing, and each run
// takes a millisecond on a site of 350 minions.
func TestPollWithoutNewsAsksForNoSchedulingRun(t *testing.T) {
	term := backlogTerm(t, 1, 0)
	m := term.minions["m0"]
	m.Orphaned = jobs.Resources{}
	answer := func(r site.PollReport) bool {
		term.needsPlan = false
		term.pollAnswered(m, sentPoll{at: term.now, restarts: m.Restarts}, term.now, r, nil)
		return term.needsPlan
	}
	require.False(t, answer(site.PollReport{Clock: 1000}))
	m.FailedPolls = 1
	require.True(t, answer(site.PollReport{Clock: 1000}), "its capacity can be used again")
	m.Polled = false
	require.True(t, answer(site.PollReport{Clock: 1000}))
}

// Guards against thousands of orders at once, behind which each write waits for the processor: three
// writes a second then hold up all starts and acknowledgements, also long after the burst.
func TestStartsInProgressAreBounded(t *testing.T) {
	term := backlogTerm(t, 350, 1000)
	for _, m := range term.minions {
		m.Orphaned = jobs.Resources{}
	}
	term.plan()
	require.Len(t, term.pendingStarts, maxPendingStarts)
	term.plan()
	require.Len(t, term.pendingStarts, maxPendingStarts, "until some are answered")
	require.True(t, term.startsBounded)
	for x := range term.pendingStarts {
		delete(term.pendingStarts, x)
		if len(term.pendingStarts) == maxPendingStarts/2 {
			break
		}
	}
	term.plan()
	require.Len(t, term.pendingStarts, maxPendingStarts)
	term.now += stuckStart
	term.plan()
	require.Len(t, term.pendingStarts, 2*maxPendingStarts, "starts without an answer for a second hold up no others")
	term.writer.writing, term.writer.lastSent = true, term.now
	term.now += stuckWrite + time.Millisecond
	term.plan()
	require.False(t, term.startsBounded, "a store that is away holds up no start that does not need it")
}

// Guards against capacity that stays idle for the usual pause after a scheduling run although the run
// did not start all that could start.
func TestNextRunComesSoonIfStartsAreBounded(t *testing.T) {
	pause := func(tasks int) time.Duration {
		term := backlogTerm(t, 350, tasks/10)
		for _, m := range term.minions {
			m.Orphaned = jobs.Resources{}
		}
		began := term.now
		term.deps.Now = func() time.Duration { return began + 20*time.Millisecond } // it takes 20 ms to decide
		term.runPlan()
		return term.nextPlan - began - 20*time.Millisecond
	}
	require.Equal(t, maxPlanInterval, pause(maxPendingStarts/2))
	require.Equal(t, boundedPlanInterval, pause(maxPendingStarts*4))
}
