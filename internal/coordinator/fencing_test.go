package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/fencing"
	"boragepulley/internal/holding"
	"boragepulley/internal/invariant"
	"boragepulley/internal/jobs"
	"boragepulley/internal/lease"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// countingMinions counts the orders that are sent to minions.
type countingMinions struct {
	*fleet.Minions
	sent atomic.Int64
}

func (c *countingMinions) Start(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
	c.sent.Add(1)
	return c.Minions.Start(ctx, to, o)
}

func (c *countingMinions) Stop(ctx context.Context, to site.Receiver, o site.StopOrder) error {
	c.sent.Add(1)
	return c.Minions.Stop(ctx, to, o)
}

func (c *countingMinions) Poll(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
	c.sent.Add(1)
	return c.Minions.Poll(ctx, to, o)
}

// acquire acquires the site's lease for an entry VM.
func (s *testSite) acquire(d Deps) *lease.Held {
	held, err := lease.Acquire(s.t.Context(), &fleet.View{Store: s.store}, d.Now, s.store.Row(lease.Key), lease.Row{Holder: d.Self.Entry, Addr: "a", Incarnation: d.Self.Incarnation})
	require.NoError(s.t, err)
	return held
}

// cuttable returns a fault of the store's calls that refuses all of them while cut is set.
func cuttable(cut *atomic.Bool) func(string) fleet.Fault {
	return func(string) fleet.Fault {
		if cut.Load() {
			return fleet.Refuse
		}
		return fleet.None
	}
}

// Guards against polls and stops of a term that was suspended between the decision and the
// sending: by then another entry VM may hold the lease.
func TestTermSuspendedBeforeSendingSendsNothing(t *testing.T) {
	calls := map[string]func(term *Term, m *holding.Minion){
		"poll":              func(term *Term, m *holding.Minion) { m.Polling = false; term.poll(m) },
		"renewal of leases": func(term *Term, _ *holding.Minion) { term.renewAllLeases() },
		"stop of stale start": func(term *Term, m *holding.Minion) {
			m.StaleStarts["1.0.0.0"] = holding.StaleStart{Run: 1, Until: term.now + time.Second}
			term.rejectStaleStarts(m)
		},
		"stop of orphan": func(term *Term, m *holding.Minion) { term.stopOrphan(m, "1.0.0.0", 1, "") },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestSite(t, 1)
				ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return time.Minute, jobs.EndDone }
				minions := &countingMinions{Minions: ts.minions}
				var suspended atomic.Int64
				d := ts.deps("e1", &fleet.View{Store: ts.store})
				steady := d.Now
				d.Now = func() time.Duration { return steady() + time.Duration(suspended.Load()) }
				d.Fleet = fencing.NewFleet(minions, ts.machines)
				term := Start(d, ts.acquire(d))
				defer endTerm(term)
				sleep(time.Second)
				ts.submitJob(term, "0000000000000001", step(1))
				sleep(time.Second)
				require.Len(t, ts.minions.Running("0000000000000001.0.0.0"), 1)
				require.NoError(t, term.do(t.Context(), func() {
					require.True(t, term.leading())
					before := minions.sent.Load()
					suspended.Add(int64(2 * lease.TTL))
					call(term, term.minions["m0"])
					sleep(10 * time.Millisecond) // the term's goroutine cannot renew the lease meanwhile
					require.Equal(t, before, minions.sent.Load())
				}))
			})
		})
	}
}

// Guards against orders of a coordinator that is cut off from the store for longer than its lease
// while it still reaches the minions, after those of its successor; and against a term that goes on
// for ever because nobody tells it of its successor.
func TestCutOffTermGivesNoOrderAfterItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 3)
		ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 3 * time.Second, jobs.EndDone }
		var cut atomic.Bool
		old := ts.startTerm("e1", cuttable(&cut))
		defer endTerm(old)
		sleep(time.Second)
		ts.submitJob(old, "0000000000000001", step(6))
		sleep(time.Second)
		cut.Store(true)
		lost := time.Now()
		sleep(lease.TTL + 100*time.Millisecond)
		d := ts.deps("e2", &fleet.View{Store: ts.store})
		successor := Start(d, ts.acquire(d))
		defer endTerm(successor)
		<-old.Done()
		require.ErrorIs(t, old.Wait(), lease.ErrLost)
		require.LessOrEqual(t, time.Since(lost), lease.TTL+staleTermTimeout+tick)
		sleep(10 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(successor, "0000000000000001"))
		ts.requireNoViolations()
	})
}

// Guards against an order that the network holds back and delivers after the successor of its
// sender has begun. The cut begins shortly before the lease ends, when an order is still allowed.
func TestOrdersHeldByTheNetworkEndWithTheLease(t *testing.T) {
	for _, before := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ts := newTestSite(t, 2)
			ts.minions.Work = func(string, int) (time.Duration, jobs.End) { return 20 * time.Second, jobs.EndDone }
			var cut atomic.Bool
			old := ts.startTerm("e1", cuttable(&cut))
			defer endTerm(old)
			sleep(time.Second)
			ts.submitJob(old, "0000000000000001", step(4))
			sleep(time.Second)
			cut.Store(true)
			var remaining time.Duration
			require.NoError(t, old.do(t.Context(), func() { remaining = old.leaseUntil - old.now }))
			sleep(remaining - before)
			hold := func(tokens uint64) {
				for _, id := range []jobs.Minion{"m0", "m1"} {
					ts.minions.Change(id, func(m *fleet.Minion) { m.HeldTokens = tokens })
				}
			}
			hold(old.Epoch())
			sleep(before + 10*time.Millisecond)
			// The successor's orders arrive.
			for _, id := range []jobs.Minion{"m0", "m1"} {
				require.NoError(t, ts.minions.Stop(t.Context(), site.Receiver{MinionAddress: site.MinionAddress{ID: id}, Token: old.Epoch() + 1}, site.StopOrder{Task: "other", Run: 1}))
			}
			hold(0)
			sleep(time.Second)
			ts.requireNoViolations()
		})
	}
}

// Guards against a term that ends although nobody can have replaced it: the store is away for all
// entry VMs, and the other ones promise not to acquire the lease.
func TestTermOutlivesAnOutageOfTheStoreOnPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		value := []byte(`{"a":"b","d":"dc","i":"1"}`)
		ts.store.Put(MemberTable+"/e2", value)
		var cut atomic.Bool
		d := ts.deps("e1", &fleet.View{Store: ts.store, Fault: cuttable(&cut)})
		d.Dial = func(model.EntryVM, string) PeerClient { return promisingPeer{} }
		held := ts.acquire(d)
		term := Start(d, held.WithTable(d.Table))
		defer endTerm(term)
		sleep(2 * time.Second)
		cut.Store(true)
		sleep(lease.TTL + 2*staleTermTimeout)
		cut.Store(false)
		sleep(time.Second)
		require.NoError(t, term.ctx.Err())
		ts.submitJob(term, "0000000000000001", step(2))
		sleep(3 * time.Second)
		require.Equal(t, jobs.StateCompleted, ts.state(term, "0000000000000001"))
	})
}

// Guards against a term that ends in a short outage of the store, although it is alone and nobody
// can have replaced it.
func TestTermSurvivesAnOutageShorterThanItsRunLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 1)
		var cut atomic.Bool
		term := ts.startTerm("e1", cuttable(&cut))
		defer endTerm(term)
		sleep(time.Second)
		cut.Store(true)
		sleep(lease.TTL + staleTermTimeout - time.Second)
		cut.Store(false)
		sleep(2 * time.Second)
		require.NoError(t, term.ctx.Err())
		require.Zero(t, invariant.Count(invariant.FencingToken))
	})
}

// promisingPeer answers every heartbeat.
type promisingPeer struct{}

func (promisingPeer) CoordinatorHeartbeat(context.Context, *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error) {
	return &peer.CoordinatorHeartbeatReply{}, nil
}
