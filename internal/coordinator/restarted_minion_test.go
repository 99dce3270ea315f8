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

	"boragepulley/internal/fencing"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

const (
	// earlierClock and laterClock are where the clocks of the first and of each further incarnation start in these
	// tests, in milliseconds: a lease on the earlier clock is cut to the longest one.
	earlierClock, laterClock = 1_000_000, 1_000
	// maxCallDelay is how much later a call without an answer is carried out at most.
	maxCallDelay = 12 * time.Second
	// restartedTaskWait is more than maxCallDelay and the longest lease: a task of a lost minion runs again by then.
	restartedTaskWait = 30 * time.Second
)

// interceptedMinions are minions whose starts and polls a test can pass on, hold back or lose.
type interceptedMinions struct {
	*fleet.Minions
	// silent lets no call to m0 through. A test can still pass it what was on its way before.
	silent atomic.Bool
	mu     sync.Mutex
	start  func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error)            // guarded by mu
	poll   func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) // guarded by mu
}

func (x *interceptedMinions) onStart(f func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.start = f
}

func (x *interceptedMinions) onPoll(f func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poll = f
}

func (x *interceptedMinions) Start(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
	if to.ID == "m0" && x.silent.Load() {
		return 0, unanswered(ctx)
	}
	x.mu.Lock()
	f := x.start
	x.mu.Unlock()
	if f == nil {
		f = x.Minions.Start
	}
	return f(ctx, to, o)
}

func (x *interceptedMinions) Poll(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
	if to.ID == "m0" && x.silent.Load() {
		return site.PollReport{}, unanswered(ctx)
	}
	x.mu.Lock()
	f := x.poll
	x.mu.Unlock()
	if f == nil {
		f = x.Minions.Poll
	}
	return f(ctx, to, o)
}

func (x *interceptedMinions) Stop(ctx context.Context, to site.Receiver, o site.StopOrder) error {
	if to.ID == "m0" && x.silent.Load() {
		return unanswered(ctx)
	}
	return x.Minions.Stop(ctx, to, o)
}

// restartSite is a site with one minion, m0, that restarts under its id.
type restartSite struct {
	*testSite
	calls *interceptedMinions
	term  *Term
	terms int
	// onEvent, if set before the first job, is called with each event of a run while the minions are locked.
	onEvent func(fleet.Event)
}

// newRestartSite starts a term on a site whose minion's clock starts at earlier and, after a restart, at later.
func newRestartSite(t *testing.T, earlier, later int64) *restartSite {
	s := &restartSite{testSite: newTestSite(t, 0)}
	s.calls = &interceptedMinions{Minions: s.minions}
	s.clients = fencing.NewFleet(s.calls, s.machines)
	s.minions.CallsSurviveRestarts = true
	starts := map[jobs.Minion]int{}
	s.minions.ClockStart = func(id jobs.Minion) int64 {
		if starts[id]++; starts[id] > 1 {
			return later
		}
		return earlier
	}
	s.minions.Work = runForever
	s.minions.OnEvent = func(e fleet.Event) {
		if s.onEvent != nil {
			s.onEvent(e)
		}
	}
	s.addMinion("m0")
	s.takeOver()
	t.Cleanup(func() { endTerm(s.term) })
	sleep(time.Second)
	return s
}

// takeOver starts the next term, on the entry VM of its number.
func (s *restartSite) takeOver() {
	s.terms++
	s.term = s.startTerm(entryName(s.terms-1), nil)
}

// restart restarts m0 under its id. The list of minions tells of it.
func (s *restartSite) restart() {
	s.minions.Restart("m0")
	s.list("m0")
}

// cut cuts m0 off, and adds a minion that can take its tasks.
func (s *restartSite) cut() {
	s.addMinion("m1")
	s.minions.Change("m0", func(m *fleet.Minion) { m.Cut = true })
}

// requireOneRun waits until the task of slowJob runs on m1, and fails if it ran on both minions at a time.
func (s *restartSite) requireOneRun() {
	sleep(restartedTaskWait)
	s.requireNoViolations()
	require.Equal(s.t, []jobs.Minion{"m1"}, s.minions.Running(taskOfSlowJob(0)))
}

// unanswered waits until the caller gives up.
func unanswered(ctx context.Context) error {
	<-ctx.Done()
	return site.ErrNoAnswer
}

// startOnTheNextIncarnation starts the task of slowJob by a start with a lease on the clock of m0's earlier
// incarnation. It is carried out by the next one, and its answer may be lost.
func (s *restartSite) startOnTheNextIncarnation(answerLost bool) {
	var taken atomic.Bool
	s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
		if !taken.CompareAndSwap(false, true) {
			return s.minions.Start(ctx, to, o)
		}
		s.restart()
		clock, err := s.minions.Start(ctx, to, o)
		if answerLost {
			return 0, unanswered(ctx)
		}
		return clock, err
	})
	s.submitJob(s.term, slowJob, longRunningStep(1))
	sleep(600 * time.Millisecond)
	require.Equal(s.t, 1, s.minions.Starts(taskOfSlowJob(0)))
}

// Guards against a successor that waits for an ordinary lease only, although a start with a lease on the clock of an
// earlier incarnation gave the run the longest lease that a minion grants. The predecessor was killed.
func TestSuccessorWaitsForALeaseOnAnEarlierClock(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("answer lost %t", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, earlierClock, laterClock)
				s.startOnTheNextIncarnation(lost)
				endTerm(s.term)
				s.cut()
				s.takeOver()
				s.requireOneRun()
			})
		})
	}
}

// Guards against the same after an orderly handover, at which the minion answers or does not.
func TestHandoverTellsOfALeaseOnAnEarlierClock(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("answer lost %t, minion silent %t", lost, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRestartSite(t, earlierClock, laterClock)
					s.startOnTheNextIncarnation(lost)
					if silent {
						s.cut()
						sleep(700 * time.Millisecond) // a poll has failed
					}
					require.NoError(t, s.term.Release(t.Context()))
					_ = s.term.Wait()
					if !silent {
						s.cut()
					}
					s.takeOver()
					s.requireOneRun()
				})
			})
		}
	}
}

// delayedPoll is a poll that was sent and not carried out.
type delayedPoll struct {
	to    site.Receiver
	order site.PollRequest
	at    time.Time
}

// holdBackPoll holds back the next poll of m0 that holds is true of, until the returned poll is carried out.
// m0 restarts meanwhile, and its caller gives up.
func (s *restartSite) holdBackPoll(holds func(o site.PollRequest) bool) *delayedPoll {
	held := make(chan *delayedPoll, 1)
	var taken atomic.Bool
	s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
		if to.ID != "m0" || !holds(o) || !taken.CompareAndSwap(false, true) {
			return s.minions.Poll(ctx, to, o)
		}
		held <- &delayedPoll{to, o, time.Now()}
		s.restart()
		return site.PollReport{}, unanswered(ctx)
	})
	return <-held
}

// carryOut lets a poll reach m0 that was held back. It is carried out unless m0 has seen a higher token.
func (s *restartSite) carryOut(p *delayedPoll) {
	_, err := s.minions.Poll(context.Background(), p.to, site.PollRequest{LeaseUntil: p.order.LeaseUntil, Ack: p.order.Ack})
	if site.RefusalOf(err) != site.RefusedFenced {
		require.NoError(s.t, err)
	}
}

// runAfterRestart lets the task of slowJob run on m0, which restarts while a poll with a lease on its earlier clock
// is on its way. The task is started again properly, if the coordinator wants that before the poll can be
// carried out no more.
func (s *restartSite) runAfterRestart() *delayedPoll {
	s.submitJob(s.term, slowJob, longRunningStep(1))
	sleep(time.Second)
	require.Equal(s.t, []jobs.Minion{"m0"}, s.minions.Running(taskOfSlowJob(0)))
	p := s.holdBackPoll(func(o site.PollRequest) bool { return o.LeaseUntil > 0 })
	sleep(1100 * time.Millisecond)
	return p
}

// Guards against a renewal with a lease on the clock of an earlier incarnation that the next one carries out: it gives
// runs that were started properly since the longest lease that a minion grants. Nobody takes over, and no
// start was in flight at the restart.
func TestRenewalOnAnEarlierClockIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		p := s.runAfterRestart()
		s.carryOut(p)
		s.cut()
		s.requireOneRun()
	})
}

// Guards against the same when a successor begins after it, or the role was handed over.
func TestSuccessorWaitsForARenewalOnAnEarlierClock(t *testing.T) {
	for _, orderly := range []bool{false, true} {
		t.Run(fmt.Sprintf("orderly %t", orderly), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, earlierClock, laterClock)
				p := s.runAfterRestart()
				s.carryOut(p)
				if orderly {
					require.NoError(t, s.term.Release(t.Context()))
					_ = s.term.Wait()
				} else {
					endTerm(s.term)
				}
				s.cut()
				s.takeOver()
				s.requireOneRun()
			})
		})
	}
}

// Guards against the same if the renewal is carried out seconds after the restart became known.
func TestRenewalOnAnEarlierClockIsWaitedForWhenItIsLate(t *testing.T) {
	for _, late := range []time.Duration{2, 5, 8, 11} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d s late, takeover %t", late, takeover), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newRestartSite(t, earlierClock, laterClock)
					p := s.runAfterRestart()
					sleep(time.Until(p.at.Add(late * time.Second)))
					if takeover {
						endTerm(s.term)
					}
					s.carryOut(p)
					s.cut()
					if takeover {
						s.takeOver()
					}
					s.requireOneRun()
				})
			})
		}
	}
}

const (
	endsJob, laterJob jobs.ID = "0000000000000001", "0000000000000002"
	// shortRun is how long the tasks of these jobs run.
	shortRun = 100 * time.Millisecond
)

// Guards against ends of a new incarnation that an acknowledgement meant for the earlier one drops before any
// coordinator has seen them: the tasks would start again after their ends.
func TestAcknowledgementForAnEarlierIncarnationLosesNoEnd(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, earlierClock, laterClock)
				s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return shortRun, jobs.EndDone })
				s.submitJob(s.term, endsJob, step(3))
				p := s.holdBackPoll(func(o site.PollRequest) bool { return o.Ack == 3 })
				var mu sync.Mutex
				var ended time.Time // guarded by mu
				done := false       // guarded by mu
				s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
					clock, err := s.minions.Start(ctx, to, o)
					mu.Lock()
					defer mu.Unlock()
					if ended.IsZero() && strings.HasPrefix(o.Task, string(laterJob)) {
						ended = time.Now().Add(shortRun)
					}
					return clock, err
				})
				// The acknowledgement overtakes the first poll that would be answered with the end.
				s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
					mu.Lock()
					now := time.Now()
					overtakes := !done && !ended.IsZero() && !now.Before(ended) && now.Before(p.at.Add(maxCallDelay))
					done = done || overtakes
					mu.Unlock()
					if overtakes {
						s.carryOut(p)
					}
					o.Wait = 0
					return s.minions.Poll(ctx, to, o)
				})
				sleep(after)
				s.submitJob(s.term, laterJob, step(1))
				sleep(restartedTaskWait)
				s.requireNoViolations()
				require.Equal(t, jobs.StateCompleted, s.state(s.term, laterJob))
				require.Equal(t, 1, s.minions.Starts(string(laterJob)+".0.0.0"))
			})
		})
	}
}

// Guards against ends of a new incarnation that are never acknowledged, because it answered a poll that
// acknowledged the same numbers of the earlier one.
func TestEndsAreAcknowledgedAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestartSite(t, earlierClock, laterClock)
		s.minions.SetWork(func(string, int) (time.Duration, jobs.End) { return shortRun, jobs.EndDone })
		var mu sync.Mutex
		noted := map[string]bool{} // guarded by mu
		s.onEvent = func(e fleet.Event) {
			if e.Kind == fleet.EndNoted {
				mu.Lock()
				defer mu.Unlock()
				noted[e.Task] = true
			}
		}
		var restarted atomic.Bool
		s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
			if o.Ack == 3 && restarted.CompareAndSwap(false, true) {
				s.restart()
				sleep(100 * time.Millisecond) // the list tells of the restart before the answer
			}
			return s.minions.Poll(ctx, to, o)
		})
		s.submitJob(s.term, endsJob, step(3))
		sleep(time.Second)
		require.True(t, restarted.Load())
		s.submitJob(s.term, laterJob, step(3))
		sleep(restartedTaskWait)
		require.Equal(t, jobs.StateCompleted, s.state(s.term, laterJob))
		s.requireNoViolations()
		mu.Lock()
		defer mu.Unlock()
		for i := range 3 {
			require.Contains(t, noted, fmt.Sprintf("%s.0.0.%d", laterJob, i))
		}
	})
}

// requireLeasesOnClock makes polls fail the test whose leases are not on the clock of m0's present incarnation.
func (s *restartSite) requireLeasesOnClock(o site.PollRequest) {
	if left := o.LeaseUntil - s.minions.Clock("m0"); o.LeaseUntil > 0 && (left < 3000 || left > 5000) {
		s.t.Errorf("a poll has a lease that ends %d ms ahead of the minion's clock", left)
	}
}

// Guards against an answer of an earlier incarnation that arrives after the restart is known and is
// taken for one of the new incarnation: leases would be granted on the wrong clock.
func TestAnswerOfAnEarlierIncarnationSetsNothing(t *testing.T) {
	for _, call := range []string{"start", "poll"} {
		for _, source := range []string{"list", "start"} {
			for _, later := range []int64{laterClock, 2 * earlierClock} {
				t.Run(fmt.Sprintf("%s, told by %s, clock from %d", call, source, later), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newRestartSite(t, earlierClock, later)
						s.submitJob(s.term, slowJob, longRunningStep(1))
						sleep(time.Second)
						s.answerLate(call, source)
						sleep(5 * time.Second)
						s.requireNoViolations()
						require.NoError(t, s.term.do(t.Context(), func() {
							m := s.term.minions["m0"]
							require.Equal(t, s.minions.Born("m0"), m.Incarnation)
							clock, age := m.Clock(s.term.now)
							require.InDelta(t, s.minions.Clock("m0"), clock+age.Milliseconds(), 500)
						}))
					})
				})
			}
		}
	}
}

// answerLate lets m0 carry out a start or a poll, restart, and be known to have restarted by the list or
// by the answer to another start, before the answer to the first call arrives.
func (s *restartSite) answerLate(call, source string) {
	var taken, restarted, told, answered atomic.Bool
	// hold keeps the answer to the first call back, for less than a caller waits for it.
	hold := func() {
		sleep(20 * time.Millisecond)
		s.minions.Restart("m0")
		if source == "list" {
			s.list("m0")
		}
		restarted.Store(true)
		sleep(150 * time.Millisecond)
		answered.Store(true)
	}
	waitFor := func(b *atomic.Bool) {
		for range 200 {
			if b.Load() {
				return
			}
			sleep(time.Millisecond)
		}
	}
	s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
		first := call == "start" && taken.CompareAndSwap(false, true)
		if !first && source == "start" {
			waitFor(&restarted)
			defer told.Store(true)
		}
		clock, err := s.minions.Start(ctx, to, o)
		if first {
			hold()
		}
		return clock, err
	})
	s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
		if answered.Load() {
			s.requireLeasesOnClock(o)
		}
		o.Wait = 0 // only the answers that are kept back are late
		first := call == "poll" && taken.CompareAndSwap(false, true)
		if !first && source == "start" && restarted.Load() {
			waitFor(&told) // a poll does not tell first
		}
		r, err := s.minions.Poll(ctx, to, o)
		if first {
			hold()
		}
		return r, err
	})
	for call == "poll" && !taken.Load() {
		sleep(time.Millisecond) // a poll that was sent before may wait for an end
	}
	s.submitJob(s.term, laterJob, longRunningStep(2))
	sleep(time.Second)
	require.True(s.t, answered.Load())
	require.Equal(s.t, source == "start", told.Load())
	require.Contains(s.t, s.log.linesWith("minion restarted"), fmt.Sprintf(`"source":%q`, source))
}

// Guards against an acknowledgement for an earlier incarnation that is sent although a start's answer has told of
// the restart, by a clock that is ahead of the earlier one: the new incarnation would forget its own first end.
func TestClockAheadOfTheEarlierOneTellsOfARestart(t *testing.T) {
	requireNoEndLostAhead(t, 3_500, 3_600_000)
}

// Guards against the same if the new clock is 1.9 s ahead of what is expected of the earlier one, which is within
// the tolerance for delayed answers.
func TestClockCloseToTheEarlierOneLosesNoEnd(t *testing.T) { requireNoEndLostAhead(t, 3_000) }

// requireNoEndLostAhead lets a start be carried out by the next incarnation, whose clock starts that many
// milliseconds after where the earlier one did, while an acknowledgement for the earlier one is due.
func requireNoEndLostAhead(t *testing.T, starts ...int64) {
	for _, ahead := range starts {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestartSite(t, earlierClock, earlierClock+ahead)
				later := string(laterJob) + ".0.0.0"
				s.minions.SetWork(func(task string, _ int) (time.Duration, jobs.End) {
					if task == later {
						return 5 * time.Millisecond, jobs.EndDone
					}
					return shortRun, jobs.EndDone
				})
				// The start is on its way until the earlier incarnation has reported its ends, and is carried out
				// by the next one before these are acknowledged.
				var reported, restarted, acknowledged atomic.Bool
				s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
					if o.Task == later && !restarted.Load() {
						for !reported.Load() {
							sleep(time.Millisecond)
						}
						sleep(2 * time.Millisecond)
						require.False(t, acknowledged.Load())
						s.minions.Restart("m0")
						restarted.Store(true)
					}
					return s.minions.Start(ctx, to, o)
				})
				s.calls.onPoll(func(ctx context.Context, to site.Receiver, o site.PollRequest) (site.PollReport, error) {
					if o.Ack > 0 {
						acknowledged.Store(true)
					}
					r, err := s.minions.Poll(ctx, to, o)
					if len(r.Ended) == 3 {
						reported.Store(true)
					}
					return r, err
				})
				s.submitJob(s.term, endsJob, step(3))
				s.submitJob(s.term, laterJob, step(1))
				sleep(restartedTaskWait)
				require.True(t, restarted.Load())
				s.requireNoViolations()
				require.Equal(t, jobs.StateCompleted, s.state(s.term, laterJob))
			})
		})
	}
}
