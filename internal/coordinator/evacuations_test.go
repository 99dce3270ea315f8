package coordinator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/evacuation"
	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// knownEvacuations is what an entry VM knows of the operators' evacuations.
type knownEvacuations struct {
	state atomic.Pointer[evacuation.State]
}

func (k *knownEvacuations) learn(s *evacuation.State, _ string) {
	for old := k.state.Load(); evacuation.Newer(old, s) != old; old = k.state.Load() {
		if k.state.CompareAndSwap(old, s) {
			return
		}
	}
}

// evacuationSite is a site with two minions in each of the data centres a, b and c, whose entry VMs know
// of evacuations what they have read themselves.
type evacuationSite struct {
	*testSite
	known map[model.EntryVM]*knownEvacuations

	mu     sync.Mutex
	orders map[model.DataCentre]int // guarded by mu; starts that arrived, by data centre
}

func dcOf(id jobs.Minion) model.DataCentre { return model.DataCentre(id[:1]) }

func newEvacuationSite(t *testing.T) *evacuationSite {
	s := &evacuationSite{testSite: newTestSite(t, 0), known: map[model.EntryVM]*knownEvacuations{}, orders: map[model.DataCentre]int{}}
	s.testSite.evacuations = func(name model.EntryVM) *knownEvacuations {
		if s.known[name] == nil {
			s.known[name] = &knownEvacuations{}
		}
		return s.known[name]
	}
	for _, id := range []jobs.Minion{"a0", "a1", "b0", "b1", "c0", "c1"} {
		s.minions.Add(site.MinionEntry{ID: id, Service: testService, Addr: string(id), DC: dcOf(id), Rack: model.Rack("rack-" + string(id)),
			Capacity: jobs.Resources{CPU: 4000, MemoryMB: 4000}})
		s.list(id)
	}
	s.onStart(nil)
	return s
}

// onStart counts the starts that arrive, and lets fault decide over each of them.
func (s *evacuationSite) onStart(fault func(to jobs.Minion) error) {
	s.minions.SetRefuse(func(op string, to jobs.Minion) error {
		if op != "start" {
			return nil
		}
		s.mu.Lock()
		s.orders[dcOf(to)]++
		s.mu.Unlock()
		if fault == nil {
			return nil
		}
		return fault(to)
	})
}

// startsIn returns how many starts have arrived in a data centre.
func (s *evacuationSite) startsIn(dc model.DataCentre) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[dc]
}

// evacuate writes the row of an evacuation, and tells the given entry VMs.
func (s *evacuationSite) evacuate(dc model.DataCentre, entries ...model.EntryVM) {
	s.store.Put(evacuation.RowPrefix+string(dc), []byte("{}"))
	s.read(entries...)
}

// end removes the row of an evacuation, and tells the given entry VMs.
func (s *evacuationSite) end(dc model.DataCentre, entries ...model.EntryVM) {
	s.store.Put(evacuation.RowPrefix+string(dc), nil)
	s.read(entries...)
}

func (s *evacuationSite) read(entries ...model.EntryVM) {
	c, err := (&fleet.View{Store: s.store}).ReadAll(s.t.Context(), platform.PriorityConfig, evacuation.Table)
	require.NoError(s.t, err)
	for _, name := range entries {
		state, _ := evacuation.Apply(nil, c.Rows, c.Version, true)
		s.known[name].learn(state, "store")
	}
}

// submitMany submits jobs of one task of a core each, with ids from first on.
func (s *evacuationSite) submitMany(term *Term, first, n int) {
	for i := range n {
		s.submitJob(term, jobs.ID(fmt.Sprintf("%016x", first+i)), step(1))
	}
}

func (s *evacuationSite) requireCompleted(term *Term, first, n int) {
	for i := range n {
		require.Equal(s.t, jobs.StateCompleted, s.state(term, jobs.ID(fmt.Sprintf("%016x", first+i))), "job %d", first+i)
	}
	s.requireNoViolations()
}

// Guards against starts in evacuated data centres, against running tasks that are stopped or whose ends
// are not taken, and against minions that stay unused after the row was removed.
func TestEvacuatedDataCentresGetNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		s.minions.Work = func(string, int) (time.Duration, jobs.End) { return 2 * time.Second, jobs.EndDone }
		term := s.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		s.submitMany(term, 0, 24)
		sleep(500 * time.Millisecond)
		require.Positive(t, s.startsIn("a"))
		s.evacuate("a", "e1")
		s.evacuate("c", "e1")
		s.evacuate("nowhere", "e1")
		sleep(100 * time.Millisecond)
		a, b, c := s.startsIn("a"), s.startsIn("b"), s.startsIn("c")
		chosen := strings.Count(s.log.linesWith("Coordinator: start."), `"minion":"a`)
		s.submitMany(term, 24, 24)
		sleep(9 * time.Second)
		require.Equal(t, chosen, strings.Count(s.log.linesWith("Coordinator: start."), `"minion":"a`), "the plan does not choose them")
		require.Equal(t, a, s.startsIn("a"))
		require.Equal(t, c, s.startsIn("c"))
		require.Equal(t, b+24, s.startsIn("b"))
		s.requireCompleted(term, 0, 48)
		require.Equal(t, 48, a+b+c+24, "no run was stopped")
		require.Contains(t, s.log.linesWith("evacuation in force"), `"dc":"a"`)
		s.end("a", "e1")
		s.submitMany(term, 48, 24)
		sleep(5 * time.Second)
		require.Greater(t, s.startsIn("a"), a)
		require.Equal(t, c, s.startsIn("c"))
		s.requireCompleted(term, 48, 24)
	})
}

// Guards against a start without an answer that is sent again into an evacuated data centre, and against
// its task, which stays there or runs twice.
func TestUnansweredStartIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		term := s.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		s.minions.SetFault(func(op string) fleet.Fault {
			if op == "start" {
				return fleet.Late
			}
			return fleet.None
		})
		s.submitMany(term, 0, 20)
		sleep(200 * time.Millisecond)
		require.Positive(t, s.startsIn("a"))
		s.evacuate("a", "e1")
		a := s.startsIn("a")
		sleep(time.Second)
		s.minions.SetFault(nil)
		sleep(10 * time.Second)
		require.Equal(t, a, s.startsIn("a"))
		require.Contains(t, s.log.linesWith("Coordinator: stop."), string(reasonEvacuated))
		s.requireCompleted(term, 0, 20)
	})
}

// Guards against starts that wait for a write of their minion's row and are sent once the store answers,
// after an evacuation.
func TestUnsentStartIsRequeued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		var refuse atomic.Bool
		term := s.startTerm("e1", func(op string) fleet.Fault {
			if op == "commit" && refuse.Load() {
				return fleet.Refuse
			}
			return fleet.None
		})
		defer endTerm(term)
		sleep(time.Second)
		refuse.Store(true)
		s.submitMany(term, 0, 12)
		sleep(200 * time.Millisecond)
		s.evacuate("a", "e1")
		s.evacuate("b", "e1")
		sleep(200 * time.Millisecond)
		require.Contains(t, s.log.linesWith("task requeued"), `"reason":"evacuated"`, "while the store does not answer")
		refuse.Store(false)
		sleep(5 * time.Second)
		require.Zero(t, s.startsIn("a")+s.startsIn("b"))
		s.requireCompleted(term, 0, 12)
	})
}

// connectingMinions is a client that takes a while to connect, and then checks the right to send.
type connectingMinions struct {
	*fleet.Minions
	connecting time.Duration
}

func (c *connectingMinions) Start(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
	time.Sleep(c.connecting)
	if to.Lease.Remaining() == 0 {
		return 0, site.ErrLeaseEnded
	}
	return c.Minions.Start(ctx, to, o)
}

// Guards against a start that was decided before an evacuation and is written after it, because the
// process was suspended or waited for a connection.
func TestEvacuationIsCheckedImmediatelyBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		d := s.deps("e1", &fleet.View{Store: s.store})
		d.Fleet = fencing.NewFleet(&connectingMinions{s.minions, 50 * time.Millisecond}, s.machines)
		term := Start(d, s.acquire(d))
		defer endTerm(term)
		sleep(time.Second)
		s.submitMany(term, 0, 22) // more than fit into b and c
		sleep(30 * time.Millisecond)
		require.Zero(t, s.startsIn("a"))
		s.evacuate("a", "e1")
		sleep(5 * time.Second)
		require.Zero(t, s.startsIn("a"))
		require.Contains(t, s.log.linesWith("task requeued"), `"reason":"evacuated"`)
		require.Empty(t, s.log.linesWith("Coordinator: stop."), "nothing was sent")
		s.requireCompleted(term, 0, 22)
	})
}

// Guards against a successor that was cut off when the row was written, and starts tasks by what it knew
// before.
func TestSuccessorReadsTheEvacuationsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		s.minions.Work = func(string, int) (time.Duration, jobs.End) { return 3 * time.Second, jobs.EndDone }
		term := s.startTerm("e1", nil)
		sleep(time.Second)
		s.submitMany(term, 0, 30)
		sleep(200 * time.Millisecond)
		s.evacuations("e2").learn(&evacuation.State{Version: 1}, "store")
		s.evacuate("a") // nobody learns of it
		endTerm(term)
		a := s.startsIn("a")
		next := s.startTerm("e2", nil)
		defer endTerm(next)
		s.submitMany(next, 30, 6)
		sleep(20 * time.Second)
		require.Equal(t, a, s.startsIn("a"))
		s.requireCompleted(next, 0, 36)
	})
}

// Guards against starts by a successor that can't read the operators' table yet.
func TestNoStartBeforeTheOperatorsTableIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		d := s.deps("e1", &fleet.View{Store: s.store})
		d.LearnEvacuations = nil // what the term reads itself is lost
		term := Start(d, s.acquire(d))
		defer endTerm(term)
		sleep(time.Second)
		s.submitMany(term, 0, 6)
		sleep(2 * time.Second)
		require.Zero(t, s.startsIn("a")+s.startsIn("b")+s.startsIn("c"))
		s.read("e1")
		sleep(2 * time.Second)
		s.requireCompleted(term, 0, 6)
	})
}

// informedPeer answers heartbeats with a state of the evacuations, and keeps the coordinator's.
type informedPeer struct{ known, coordinators *knownEvacuations }

func (p informedPeer) CoordinatorHeartbeat(_ context.Context, m *peer.CoordinatorHeartbeat) (*peer.CoordinatorHeartbeatReply, error) {
	p.coordinators.learn(evacuation.FromPeer(m.OperatorVersion, m.Evacuated), "")
	s := p.known.state.Load()
	return &peer.CoordinatorHeartbeatReply{Evacuated: s.Names(), OperatorVersion: evacuation.VersionOf(s)}, nil
}

// Guards against starts by a coordinator that is cut off from the store and depends on the promises of
// other entry VMs, which know of the evacuation, and against a future coordinator that is not told of it.
func TestCutOffCoordinatorLearnsFromHeartbeatReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		s.store.Put(MemberTable+"/e2", []byte(`{"a":"b","d":"b","i":"1"}`))
		var cut atomic.Bool
		d := s.deps("e1", &fleet.View{Store: s.store, Fault: cuttable(&cut)})
		var received knownEvacuations
		d.Dial = func(model.EntryVM, string) PeerClient { return informedPeer{s.evacuations("e2"), &received} }
		term := Start(d, s.acquire(d).WithTable(d.Table))
		defer endTerm(term)
		sleep(2 * time.Second)
		s.submitMany(term, 0, 60) // every minion is in the stored progress of some jobs
		sleep(time.Second)
		cut.Store(true)
		s.evacuate("a", "e2")
		sleep(heartbeatInterval + 100*time.Millisecond)
		a := s.startsIn("a")
		require.True(t, s.known["e1"].state.Load().Evacuated("a"))
		sleep(3 * time.Second)
		require.True(t, received.state.Load().Evacuated("a"), "the other entry VMs learn of it from the coordinator")
		cut.Store(false)
		sleep(15 * time.Second)
		require.Equal(t, a, s.startsIn("a"))
		require.NoError(t, term.ctx.Err())
		s.requireCompleted(term, 0, 60)
	})
}

// Guards against a long-running task that is moved to a minion whose data centre was evacuated while the
// task was being stopped, and against one that stays without a run once the evacuation has ended.
func TestReservedPlaceEndsWithAnEvacuation(t *testing.T) {
	for name, ends := range map[string]bool{"lasting": false, "ended while the task moves": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEvacuationSite(t)
				s.minions.Work = runForever
				s.minions.StopTime = 800 * time.Millisecond
				term := s.startTerm("e1", nil)
				defer endTerm(term)
				sleep(time.Second)
				s.submitJob(term, slowJob, longRunningStep(1))
				sleep(time.Second)
				from := s.minions.Running(taskOfSlowJob(0))[0]
				s.minions.Change(from, func(m *fleet.Minion) { m.Entry.Leaving, m.Entry.Remaining = true, 10*time.Second })
				s.list(from)
				var to jobs.Minion
				for to == "" {
					sleep(10 * time.Millisecond)
					require.NoError(t, term.do(t.Context(), func() {
						for _, to = range term.reservedPlaces {
						}
					}))
				}
				dc := dcOf(to)
				before := s.startsIn(dc)
				s.evacuate(dc, "e1")
				sleep(100 * time.Millisecond)
				require.NoError(t, term.do(t.Context(), func() {
					for _, place := range term.reservedPlaces {
						require.NotEqual(t, dc, dcOf(place))
					}
				}))
				if ends {
					s.end(dc, "e1")
				}
				sleep(3 * time.Second)
				if !ends {
					require.Equal(t, before, s.startsIn(dc))
				}
				require.Len(t, s.minions.Running(taskOfSlowJob(0)), 1)
				s.requireNoViolations()
			})
		})
	}
}

// Guards against a gang of which some members start while others, in an evacuated data centre, do not.
func TestGangIsWithdrawnAsAWhole(t *testing.T) {
	for name, refuseWrites := range map[string]bool{"unsent": true, "unanswered": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newEvacuationSite(t)
				const gang jobs.ID = "a000000000000001"
				s.minions.RejectsOverload = true
				s.minions.Need = func(string) jobs.Resources { return jobs.Resources{CPU: 2000} }
				s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return 2 * time.Second, jobs.EndDone })
				s.minions.SetGangs(func(string) int { return 4 }, gangTimeout)
				// One member to a minion: with one of four in b and c out of service, some are in a.
				s.minions.Change("c1", func(m *fleet.Minion) { m.Cut = true })
				var refuse, silent atomic.Bool
				term := s.startTerm("e1", func(op string) fleet.Fault {
					if op == "commit" && refuse.Load() {
						return fleet.Refuse
					}
					return fleet.None
				})
				defer endTerm(term)
				sleep(time.Second)
				refuse.Store(refuseWrites)
				silent.Store(!refuseWrites)
				s.onStart(func(to jobs.Minion) error {
					if silent.Load() && dcOf(to) == "a" {
						return site.ErrNoAnswer
					}
					return nil
				})
				s.submitJob(term, gang, jobs.Step{Count: 4, Gang: true, SavesProgress: true, MaxPerMinion: 1, Need: jobs.Resources{CPU: 2000}, Estimate: 2 * time.Second})
				sleep(300 * time.Millisecond)
				if !refuseWrites {
					s.evacuate("a", "e1")
				} else {
					// The other members must not wait for the next plan: their starts may be sent before it.
					require.NoError(t, term.do(t.Context(), func() {
						s.evacuate("a", "e1")
						require.Len(t, term.pendingStarts, 4)
						for task, start := range term.pendingStarts {
							if dcOf(start.minion.ID) == "a" {
								term.withdrawStart(task, start)
								break
							}
						}
						require.Empty(t, term.pendingStarts)
					}))
				}
				sleep(500 * time.Millisecond)
				a := s.startsIn("a")
				s.minions.Change("c1", func(m *fleet.Minion) { m.Cut = false })
				refuse.Store(false)
				silent.Store(false)
				sleep(15 * time.Second)
				require.Equal(t, a, s.startsIn("a"))
				require.Equal(t, jobs.StateCompleted, s.state(term, gang))
				s.requireNoViolations()
			})
		})
	}
}

// Guards against a pool whose machines in an evacuated data centre are not replaced, or are replaced by
// machines there, also by one whose order was decided before the evacuation and waits for the store.
func TestMachinesOfAnEvacuatedDataCentreAreReplaced(t *testing.T) {
	for name, queued := range map[string]bool{"planned later": false, "order queued": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBurstSite(t, 3, 2)
				for i := range 6 {
					b.moving.Add(model.VM(fmt.Sprintf("off%d", i)), standbyService, jobs.Resources{CPU: 4000, MemoryMB: 4000})
				}
				for i := range 100 { // so many that some of them are chosen
					vm := model.VM(fmt.Sprintf("elsewhere%d", i))
					b.moving.Add(vm, standbyService, jobs.Resources{CPU: 4000, MemoryMB: 4000})
					b.moving.Locate(vm, "elsewhere")
				}
				known := &knownEvacuations{}
				b.evacuations = func(model.EntryVM) *knownEvacuations { return known }
				b.startWithoutBurst()
				submit := func() {
					b.submitJob(b.term, "0000000000000001", jobs.Step{Count: 12, Need: jobs.Resources{CPU: 1000}, LongRunning: true})
				}
				if queued {
					// The machines' orders wait until the row of recent orders is stored.
					require.NoError(t, b.term.do(t.Context(), func() { b.term.writer.writing = true }))
					submit()
					sleep(300 * time.Millisecond)
					require.NotEmpty(t, b.log.linesWith("moving machine"))
				}
				known.learn(&evacuation.State{Version: 1 << 40, DCs: map[model.DataCentre]bool{"elsewhere": true}}, "store")
				if queued {
					require.NoError(t, b.term.do(t.Context(), func() { b.term.writer.writing = false }))
				} else {
					submit()
				}
				sleep(10 * time.Second)
				for _, vm := range b.moving.Pool(testService) {
					require.NotContains(t, vm, "elsewhere")
				}
				require.Greater(t, len(b.moving.Pool(testService)), 3, "machines of the other data centre came")
				require.Equal(t, queued, b.log.linesWith("order dropped") != "")
				b.requireNoViolations()
			})
		})
	}
}

// Guards against starts by a process that was suspended, with what it knew before: the call that would have
// told it of an evacuation is broken.
func TestEvacuationsAreReadAgainAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEvacuationSite(t)
		d := s.deps("e1", &fleet.View{Store: s.store})
		var suspended atomic.Int64
		steady := d.Now
		d.Now = func() time.Duration { return steady() + time.Duration(suspended.Load()) }
		term := Start(d, s.acquire(d))
		defer endTerm(term)
		sleep(time.Second)
		s.submitMany(term, 0, 60)
		sleep(100 * time.Millisecond)
		require.Positive(t, s.startsIn("a"))
		var a int
		require.NoError(t, term.do(t.Context(), func() {
			suspended.Add(int64(5500 * time.Millisecond))
			s.evacuate("a") // no feed tells of it
			a = s.startsIn("a")
		}))
		sleep(10 * time.Second)
		require.NoError(t, term.ctx.Err())
		require.Equal(t, a, s.startsIn("a"))
		s.requireCompleted(term, 0, 60)
	})
}

// Guards against tasks that are placed on a minion which is slow after its start while others have room, and
// against a minion that counts as slow for ever, because its entry is written again and again.
func TestColdMinionsComeLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestSite(t, 2)
		ts.minions.Change("m0", func(m *fleet.Minion) { m.Entry.ColdLeft = 3 * time.Second })
		ts.list("m0")
		term := ts.startTerm("e1", nil)
		defer endTerm(term)
		sleep(time.Second)
		ts.submitJob(term, "0000000000000001", step(4))
		sleep(700 * time.Millisecond)
		require.Zero(t, strings.Count(ts.log.linesWith("Coordinator: start."), `"minion":"m0"`))
		ts.submitJob(term, "0000000000000002", step(8))
		sleep(700 * time.Millisecond)
		require.Equal(t, 4, strings.Count(ts.log.linesWith("Coordinator: start."), `"minion":"m0"`), "no capacity stays idle")
		ts.list("m0")
		sleep(time.Second)
		require.NoError(t, term.do(t.Context(), func() {
			require.LessOrEqual(t, term.minions["m0"].ColdUntil, term.now)
		}))
	})
}
