package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"boragepulley/internal/control"
	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/upstream"
)

// Guards against a retry that could run a non-idempotent job twice, a missing retry that
// is allowed, and a false outcome (D7).
func TestRetryByFailureClass(t *testing.T) {
	type want struct {
		state  model.State
		reason model.Reason
		sent   int
	}
	ran := func(sent int) want { return want{model.StateRan, model.ReasonNone, sent} }
	cases := []struct {
		kind            fault
		idempotent, not want
		release         peer.AttemptResult
	}{
		{noFault, ran(1), ran(1), peer.AttemptOK},
		{connRefused, ran(1), ran(1), peer.AttemptFailed},
		{notSent, ran(2), ran(2), peer.AttemptFailed},
		{notStarted, ran(2), ran(2), peer.AttemptNotStarted},
		{lostBeforeRun, ran(2), want{model.StateUnknown, model.ReasonAnswerLost, 1}, peer.AttemptLost},
		{lostAfterRun, ran(2), want{model.StateUnknown, model.ReasonAnswerLost, 1}, peer.AttemptLost},
		{partialAnswer, ran(2), want{model.StateUnknown, model.ReasonAnswerIncomplete, 1}, peer.AttemptLost},
		{status500, ran(2), ran(1), peer.AttemptFailed},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s idempotent=%t", c.kind, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newTestEntryVM(3)
					r.minions.fault = failFirst(c.kind)
					w := c.not
					if idempotent {
						w = c.idempotent
					}
					res := r.Submit(context.Background(), input("body", idempotent))
					require.Equal(t, w, want{res.State, res.Reason, len(r.minions.calls)})
					require.Equal(t, w.state, r.ctl.recordedState(res.Job))
					require.Equal(t, c.release, r.ctl.released[0])
					for i, call := range r.minions.calls {
						require.Equal(t, !idempotent || call.Attempt > 1, call.FreshConnection, i)
						require.False(t, i > 0 && call.Minion == r.minions.calls[i-1].Minion, "another minion")
					}
					r.drainAndCheck(t)
				})
			})
		}
	}
}

// Guards against a request that is sent with a permit that became invalid after the dispatch was
// recorded, because the process was held up before the first byte: the next coordinator has counted
// the slot as free. A job that is not idempotent may use another permit, because nothing was sent.
func TestPermitIsCheckedAfterTheRecord(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestEntryVM(1)
			r.ctl.check = func(p *model.Permit) model.Reason {
				if p.Attempt == 1 && slices.ContainsFunc(r.ctl.recorded(), func(x model.Record) bool { return x.State == model.StateDispatched }) {
					return model.ReasonNoCoordinator
				}
				return model.ReasonNone
			}
			res := r.Submit(context.Background(), input("body", idempotent))
			require.Equal(t, model.StateRan, res.State)
			require.Len(t, r.minions.calls, 1)
			require.Equal(t, 2, r.minions.calls[0].Attempt)
			require.Equal(t, []peer.AttemptResult{peer.AttemptUnused, peer.AttemptOK}, r.ctl.released)
			r.drainAndCheck(t)
		})
	}
}

// Guards against a job that is shown as possibly run although its key was withdrawn between the
// record of the dispatch and the first byte.
func TestKeyWithdrawnAfterTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		r.ctl.check = func(*model.Permit) model.Reason {
			if len(r.ctl.recorded()) > 2 { // accepted, queued, dispatched
				return model.ReasonKeyWithdrawn
			}
			return model.ReasonNone
		}
		res := r.Submit(context.Background(), input("body", true))
		require.Equal(t, model.StateRefused, res.State)
		require.Equal(t, model.ReasonKeyWithdrawn, res.Reason)
		require.Equal(t, model.StateRefused, r.ctl.recordedState(res.Job))
		require.Empty(t, r.minions.calls)
		r.drainAndCheck(t)
	})
}

// Guards against reporting a key as unknown that was withdrawn after the entry VM had
// checked it, while the request waited for a coordinator.
func TestKeyWithdrawnBeforeAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(1)
		r.ctl.acquire = func(context.Context, control.Attempt) (peer.AcquireReply, bool, error) {
			return peer.AcquireReply{Refused: model.ReasonKeyUnknown, Detail: "configuration version 2"}, true, nil
		}
		res := r.Submit(context.Background(), input("body", true))
		require.Equal(t, model.StateRefused, res.State)
		require.Equal(t, model.ReasonKeyWithdrawn, res.Reason)
		require.Empty(t, r.minions.calls)
		r.drainAndCheck(t)
	})
}

// Guards against unlimited attempts and against a final reason that does not show that the
// job itself is at fault.
func TestAttemptsExhausted(t *testing.T) {
	for kind, want := range map[fault]struct {
		state  model.State
		reason model.Reason
	}{
		connRefused:  {model.StateRefused, model.ReasonAttemptsExhausted},
		notStarted:   {model.StateRefused, model.ReasonFailsOnEveryMinion},
		lostAfterRun: {model.StateUnknown, model.ReasonFailsOnEveryMinion},
		status500:    {model.StateRan, model.ReasonFailsOnEveryMinion},
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestEntryVM(3)
				r.minions.fault = failAlways(kind)
				res := r.Submit(context.Background(), input("body", true))
				require.Equal(t, want.state, res.State)
				require.Equal(t, want.reason, res.Reason)
				require.Len(t, r.ctl.released, 3)
				r.drainAndCheck(t)
			})
		})
	}
}

// Guards against retries that multiply the load when all minions fail: 40 requests add 4
// retries to the budget, which starts with 3 and gains 3 per second.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(2)
		r.minions.fault = failAlways(notStarted)
		var wg sync.WaitGroup
		var mu sync.Mutex
		reasons := map[model.Reason]int{}
		for i := range 40 {
			wg.Go(func() {
				res := r.Submit(context.Background(), input(fmt.Sprint(i), true))
				mu.Lock()
				defer mu.Unlock()
				reasons[res.Reason]++
			})
		}
		wg.Wait()
		require.Equal(t, map[model.Reason]int{model.ReasonFailsOnEveryMinion: 7, model.ReasonRetryBudget: 33}, reasons)
		r.drainAndCheck(t)
	})
}

// Guards against a dispatch with a permit or key that is no longer valid (I3, I8).
func TestPermitChecks(t *testing.T) {
	for reason, runs := range map[model.Reason]int{
		model.ReasonKeyWithdrawn: 0, model.ReasonConfigUnconfirmed: 0, model.ReasonStaleToken: 1, model.ReasonPermitExpired: 1,
	} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestEntryVM(1)
				r.ctl.check = func(p *model.Permit) model.Reason {
					if p.Attempt == 1 {
						return reason
					}
					return model.ReasonNone
				}
				res := r.Submit(context.Background(), input("x", false))
				require.Equal(t, runs, r.minions.ran("x"))
				require.Equal(t, peer.AttemptUnused, r.ctl.released[0])
				if runs == 0 {
					require.Equal(t, model.StateRefused, res.State)
					require.Equal(t, reason, res.Reason)
				}
				r.drainAndCheck(t)
			})
		})
	}
}

// Guards against accepting requests that need a key in a data centre that cannot confirm
// its configuration.
func TestIsolationPolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(1)
		snap := testSnapshot(1)
		snap.Current = false
		r.ctl.snap = snap
		res := r.Submit(context.Background(), input("x", true))
		require.Equal(t, model.ReasonConfigUnconfirmed, res.Reason)
		require.Equal(t, model.OutcomeNotRun, res.Outcome())
		res = r.Submit(context.Background(), Submission{Queue: "open", Idempotent: true})
		require.Equal(t, model.StateRan, res.State)
		snap.Site.Isolation.Keys = "serve"
		res = r.Submit(context.Background(), input("x", true))
		require.Equal(t, model.StateRan, res.State)
	})
}

// blockAcquire keeps every attempt queued until its context ends.
func blockAcquire(ctx context.Context, _ control.Attempt) (peer.AcquireReply, bool, error) {
	<-ctx.Done()
	return peer.AcquireReply{}, true, ctx.Err()
}

// Guards against requests that stay queued after their deadline or without their caller,
// and against a request id that remains claimed by a job that did not run.
func TestEndWhileQueued(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(r *testEntryVM, cancel func(), id model.JobID)
		state  model.State
		reason model.Reason
	}{
		"deadline":   {func(*testEntryVM, func(), model.JobID) {}, model.StateRefused, model.ReasonDeadlineQueued},
		"disconnect": {func(_ *testEntryVM, cancel func(), _ model.JobID) { cancel() }, model.StateCancelled, model.ReasonCallerDisconnected},
		"cancel": {func(r *testEntryVM, _ func(), id model.JobID) {
			if _, err := r.Cancel(id, "blue"); !errors.Is(err, ErrNotOwner) {
				panic(invariant.Violation(err.Error()))
			}
			if _, err := r.Cancel(id, "red"); err != nil {
				panic(invariant.Violation(err.Error()))
			}
		}, model.StateCancelled, model.ReasonCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestEntryVM(3)
				r.ctl.acquire = blockAcquire
				in := withID(input("x", false), "id")
				in.Job = r.NewJobID()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() {
					time.Sleep(time.Second)
					c.end(r, cancel, in.Job)
				}()
				r.Submit(ctx, in)
				synctest.Wait()
				rep := r.Get(in.Job)
				require.Equal(t, c.state, rep.Result.State)
				require.Equal(t, c.reason, rep.Result.Reason)
				require.Equal(t, c.state, r.ctl.recordedState(in.Job))

				r.ctl.acquire = nil
				res := r.Submit(context.Background(), withID(input("x", false), "id"))
				require.Equal(t, model.StateRan, res.State, "the request id can be used again")
				require.Equal(t, 1, r.minions.ran("x"))
				r.drainAndCheck(t)
			})
		})
	}
}

// Guards against dispatching a job that was cancelled while the connection to the minion
// was being opened.
func TestCancelWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		r.minions.connect = time.Second
		in := input("x", false)
		in.Job = r.NewJobID()
		go func() {
			time.Sleep(500 * time.Millisecond)
			_, err := r.Cancel(in.Job, "red")
			if err != nil {
				t.Error(err)
			}
		}()
		res := r.Submit(context.Background(), in)
		require.Equal(t, model.StateCancelled, res.State)
		require.Zero(t, r.minions.ran("x"))
		require.Equal(t, []peer.AttemptResult{peer.AttemptUnused}, r.ctl.released)
		r.drainAndCheck(t)
	})
}

// Guards against too many attempts and duplicate attempt numbers when a job that has failed
// once is forwarded and the reply is lost.
func TestForwardAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(2)
		b := newTestEntryVMOn("e2", "a", a.minions, a.table, a.network, 2)
		a.network.lookupFails = true
		a.network.forwardFault = func(model.EntryVM) (error, bool) { return errors.New("lost"), true }
		a.minions.fault = failAlways(notStarted)
		a.ctl.acquire = func(_ context.Context, at control.Attempt) (peer.AcquireReply, bool, error) {
			return peer.AcquireReply{ForwardTo: "a"}, at.Number == 2 && at.Hops == 0, nil
		}
		res := a.Submit(context.Background(), input("x", true))
		require.Equal(t, model.StateUnknown, res.State, "the lost forward may have run")
		require.Equal(t, model.ReasonFailsOnEveryMinion, res.Reason)
		require.Len(t, a.minions.calls, 3, "one before the forward, one at e2, one after it")
		a.drainAndCheck(t)
		b.drainAndCheck(t)
	})
}

// Guards against losing the answer of a dispatched job whose caller disconnected or whose
// deadline passed, and against reporting such a job as not run.
func TestEndWhileDispatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		r.minions.fault = failAlways(runsPastDeadline)
		in := input("x", false)
		in.Job, in.Deadline = r.NewJobID(), time.Second
		start := time.Now()
		res := r.Submit(context.Background(), in)
		require.Equal(t, time.Second, time.Since(start))
		require.Equal(t, model.StateUnknown, res.State)
		require.Equal(t, model.ReasonDeadlineRunning, res.Reason)
		_, err := r.Cancel(in.Job, "red")
		require.ErrorIs(t, err, ErrNotCancellable)
		r.cfg.MaxRequests = 1
		require.Equal(t, model.ReasonQueueFull, r.Submit(context.Background(), input("more", true)).Reason)
		time.Sleep(5 * time.Second)
		require.Equal(t, "X", string(r.Answer(in.Job).Result.Body))

		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		in.Job = r.NewJobID()
		r.Submit(ctx, in)
		time.Sleep(5 * time.Second)
		require.Equal(t, model.StateRan, r.Get(in.Job).Result.State)
		require.Equal(t, model.StateRan, r.ctl.recordedState(in.Job))
		r.drainAndCheck(t)
	})
}

// Guards against starting an attempt that cannot be answered before the deadline: the
// outcome was reported as unknown although a complete answer with status 500 was available.
func TestNoDispatchJustBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		r.minions.fault = failFirst(status500)
		r.ctl.acquire = func(_ context.Context, a control.Attempt) (rep peer.AcquireReply, handled bool, err error) {
			if a.Number > 1 {
				time.Sleep(time.Until(a.Request.Deadline) - minTimeLeft + time.Millisecond)
			}
			return rep, false, nil
		}
		in := input("x", true)
		in.Deadline = time.Second
		start := time.Now()
		res := r.Submit(context.Background(), in)
		require.Less(t, time.Since(start), time.Second)
		require.Equal(t, model.StateRan, res.State)
		require.Equal(t, 500, res.Status)
		require.Len(t, r.minions.calls, 1)

		r.ctl.acquire = func(_ context.Context, a control.Attempt) (rep peer.AcquireReply, handled bool, err error) {
			time.Sleep(time.Until(a.Request.Deadline) - minTimeLeft + time.Millisecond)
			return rep, false, nil
		}
		in.Body = []byte("y")
		res = r.Submit(context.Background(), in)
		require.Equal(t, model.StateRefused, res.State, "the job was not run")
		require.Equal(t, model.ReasonDeadlineQueued, res.Reason)
	})
}

// Guards against running a request twice that is sent several times concurrently, and
// against returning the answer of another request with the same request id.
func TestParallelDuplicates(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestEntryVM(3)
			var wg sync.WaitGroup
			for range 10 {
				wg.Go(func() {
					res := r.Submit(context.Background(), withID(input("x", idempotent), "id"))
					if string(res.Body) != "X" {
						t.Errorf("result %+v", res)
					}
				})
			}
			wg.Wait()
			require.Equal(t, 1, r.minions.ran("x"))
			res := r.Submit(context.Background(), withID(input("other", idempotent), "id"))
			require.Equal(t, model.ReasonDuplicateID, res.Reason)
			require.Equal(t, model.OutcomeNotRun, res.Outcome())
			require.Zero(t, r.minions.ran("other"))
			r.drainAndCheck(t)
		})
	}
}

// Guards against running a non-idempotent request again when it is repeated at another
// entry VM.
func TestClaimAcrossEntryVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e2", "a")
		var wg sync.WaitGroup
		results := make([]model.Result, 8)
		for i := range results {
			wg.Go(func() {
				s := []*testEntryVM{a, b}[i%2]
				results[i] = s.Submit(context.Background(), withID(input("x", false), "id"))
			})
		}
		wg.Wait()
		for _, res := range results {
			require.Equal(t, "X", string(res.Body), "%+v", res)
			require.Equal(t, results[0].Job, res.Job)
		}
		require.Equal(t, 1, a.minions.ran("x"))
		res := b.SubmitAsync(context.Background(), withID(input("x", false), "id"))
		require.Equal(t, results[0].Job, res.Job)
		a.network.services["e1"], a.network.services["e2"] = nil, nil
		c := a.addEntryVM("e9", "a")
		res = c.Submit(context.Background(), withID(input("x", false), "id"))
		require.Equal(t, model.OutcomeUnknown, res.Outcome(), "the original job cannot be queried")
		require.Equal(t, results[0].Job, res.Job)
		require.Equal(t, 1, a.minions.ran("x"))
		for _, r := range []*testEntryVM{a, b, c} {
			r.drainAndCheck(t)
		}
	})
}

// Guards against running a job without a stored claim, against losing a claim whose write
// had an unknown outcome, and against claims that remain for jobs that did not run.
func TestClaimFaults(t *testing.T) {
	first := func(err error, stored bool) func(int) (error, bool) {
		return func(n int) (error, bool) {
			if n == 1 {
				return err, stored
			}
			return nil, false
		}
	}
	for name, c := range map[string]struct {
		commit func(int) (error, bool)
		get    error
		runs   int
	}{
		"answer lost, stored":             {first(platform.ErrUnknownOutcome, true), nil, 1},
		"answer lost, not stored":         {first(platform.ErrUnknownOutcome, false), nil, 1},
		"answer lost, cannot read back":   {first(platform.ErrUnknownOutcome, true), platform.ErrUnavailable, 0},
		"not stored, cannot read back":    {first(platform.ErrUnknownOutcome, false), platform.ErrUnavailable, 0},
		"store down":                      {first(platform.ErrUnavailable, false), platform.ErrUnavailable, 0},
		"budget used up":                  {first(platform.ErrRateLimited, false), nil, 0},
		"other error, cannot read back":   {first(errors.New("broken"), true), platform.ErrUnavailable, 0},
		"answers lost again and again":    {func(n int) (error, bool) { return lostUntil(n, 5), false }, nil, 0},
		"every answer lost, first stored": {func(n int) (error, bool) { return lostUntil(n, 5), n == 1 }, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestEntryVM(3)
				r.table.commitErr = c.commit
				down := time.Now().Add(3 * time.Second)
				r.table.getErr = func() error {
					if time.Now().Before(down) {
						return c.get
					}
					return nil
				}
				res := r.Submit(context.Background(), withID(input("x", false), "id"))
				require.Equal(t, c.runs, r.minions.ran("x"))
				if c.runs == 1 {
					require.Equal(t, model.StateRan, res.State)
					r.drainAndCheck(t)
					return
				}
				require.Equal(t, model.StateRefused, res.State)
				require.Equal(t, model.ReasonClaimUnavailable, res.Reason)
				time.Sleep(30 * time.Second)
				res = r.Submit(context.Background(), withID(input("x", false), "id"))
				require.Equal(t, model.StateRan, res.State, "the request id can be used again: %+v", res)
				r.drainAndCheck(t)
			})
		})
	}
	// A request without a request id has no claim, and an idempotent one needs no claim.
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		r.table.commitErr = func(int) (error, bool) { return platform.ErrUnavailable, false }
		require.Equal(t, model.StateRan, r.Submit(context.Background(), input("x", false)).State)
		require.Equal(t, model.StateRan, r.Submit(context.Background(), withID(input("y", true), "id")).State)
		require.Zero(t, r.table.commits)
	})
}

func lostUntil(n, last int) error {
	if n <= last {
		return platform.ErrUnknownOutcome
	}
	return nil
}

// Guards against refusing a repeated request because the claim of the first one, which did
// not run, has not been released yet.
func TestRepeatBeforeClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e2", "a")
		a.table.commitErr = func(n int) (error, bool) {
			if n == 2 { // the first attempt to release the claim
				return platform.ErrUnavailable, false
			}
			return nil, false
		}
		a.ctl.acquire = func(context.Context, control.Attempt) (peer.AcquireReply, bool, error) {
			return peer.AcquireReply{Refused: model.ReasonQueueFull}, true, nil
		}
		res := a.Submit(context.Background(), withID(input("x", false), "id"))
		require.Equal(t, model.ReasonQueueFull, res.Reason)
		time.Sleep(5 * time.Millisecond)
		res = b.Submit(context.Background(), withID(input("x", false), "id"))
		require.Equal(t, model.StateRan, res.State)
		require.Equal(t, 1, a.minions.ran("x"))
		a.drainAndCheck(t)
		b.drainAndCheck(t)
	})
}

// Guards against releasing the claim of another job, which would let its request run twice.
func TestReleaseKeepsClaimOfOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		res := r.Submit(context.Background(), withID(input("x", false), "id"))
		key := claimKey(model.Request{Team: "red", RequestID: "id"})
		for _, version := range []uint64{0, 7} {
			r.claims.release(claim{key: key, row: claimRow{Job: "another-e1"}, version: version})
			require.NoError(t, r.claims.flush(context.Background()))
			require.Contains(t, string(r.table.rows[key].Value), string(res.Job))
			require.NotContains(t, string(r.table.rows[key].Value), "void")
		}
	})
}

// Guards against a release that is retried for ever because the row of the claim cannot be decoded;
// the shutdown would wait for it until its timeout.
func TestReleaseOfAMalformedRowEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		bad := platform.Row{Version: 1, Value: []byte(`[1`)}
		r.table.rows["claim/red/bad"] = bad
		other := claimRow{Job: "job-e1"}
		r.table.rows["claim/red/other"] = platform.Row{Version: 1, Value: other.encode()}
		r.claims.release(claim{key: "claim/red/bad", row: other})
		r.claims.release(claim{key: "claim/red/other", row: other})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, r.claims.flush(ctx))
		require.Equal(t, bad, r.table.rows["claim/red/bad"])
		require.Contains(t, string(r.table.rows["claim/red/other"].Value), "void")
	})
}

// Guards against a claim that misses the next transaction although it arrives before that
// transaction may start.
func TestClaimJoinsNextTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		start := time.Now()
		var wg sync.WaitGroup
		for i, at := range []time.Duration{0, claimInterval / 5, claimInterval * 4 / 5} {
			wg.Go(func() {
				time.Sleep(at)
				res := r.claims.claim(context.Background(), fmt.Sprintf("claim/red/%d", i), claimRow{Job: "job-e1"})
				require.True(t, res.held)
			})
		}
		wg.Wait()
		require.Less(t, time.Since(start), 2*claimInterval)
		require.Equal(t, 2, r.table.commits)
	})
}

// Guards against a claimed request id that makes the other claims of its batch fail, and
// against more than 20 claim transactions per second.
func TestClaimBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e2", "a")
		used := b.Submit(context.Background(), withID(input("7", false), "id7"))
		a.table.commits = 0
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 150 {
			wg.Go(func() {
				res := a.Submit(context.Background(), withID(input(fmt.Sprint(i), false), fmt.Sprint("id", i)))
				if string(res.Body) != fmt.Sprint(i) || (i == 7) != (res.Job == used.Job) {
					t.Errorf("request %d: %+v", i, res)
				}
			})
		}
		wg.Wait()
		for i := range 150 {
			require.Equal(t, 1, a.minions.ran(fmt.Sprint(i)))
		}
		require.LessOrEqual(t, a.table.commits, 20)
		require.GreaterOrEqual(t, time.Since(start), time.Duration(a.table.commits-1)*claimInterval)
		a.drainAndCheck(t)
		b.drainAndCheck(t)
	})
}

// Guards against unlimited retention of answers, against a waiting caller that gets no
// answer because of the limit, and against a repeated request that runs again after its
// answer has expired.
func TestAnswerRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		large := strings.Repeat("x", 900)
		res := r.Submit(context.Background(), withID(input(large, true), "id"))
		require.Len(t, res.Body, 900)
		first := res.Job
		res = r.Submit(context.Background(), input(strings.Repeat("y", 900), true))
		require.Len(t, res.Body, 900)
		require.LessOrEqual(t, r.registry.bytes, int64(1000))
		res = r.Submit(context.Background(), input(strings.Repeat("z", 1010), true))
		require.Len(t, res.Body, 1010, "a waiting caller gets an answer that is too large to be kept")
		require.LessOrEqual(t, r.registry.bytes, int64(1000))
		res = r.Submit(context.Background(), withID(input(large, true), "id"))
		require.Equal(t, first, res.Job)
		require.Equal(t, model.StateRan, res.State)
		require.Equal(t, model.ReasonAnswerExpired, res.Reason)
		require.Equal(t, 1, r.minions.ran(large))

		res = r.Submit(context.Background(), input("short", true))
		time.Sleep(DefaultAnswerRetention - time.Second)
		require.Equal(t, "SHORT", string(r.Answer(res.Job).Result.Body))
		time.Sleep(2 * time.Second)
		require.Equal(t, model.ReasonAnswerExpired, r.Answer(res.Job).Result.Reason)
		time.Sleep(stateRetention)
		require.False(t, r.Get(res.Job).Found)
		require.Zero(t, r.registry.bytes)
		require.Empty(t, r.registry.byID)
		require.Empty(t, r.registry.byRequestID)
	})
}

// redirect makes the coordinator forward requests to a data centre unless they were
// forwarded before.
func redirect(dc model.DataCentre) func(context.Context, control.Attempt) (peer.AcquireReply, bool, error) {
	return func(_ context.Context, a control.Attempt) (peer.AcquireReply, bool, error) {
		return peer.AcquireReply{ForwardTo: dc}, a.Hops == 0, nil
	}
}

// Guards against running a request twice, or reporting it as not run, when the message or
// the reply of a forward is lost.
func TestForward(t *testing.T) {
	broken := errors.New("connection lost")
	for name, c := range map[string]struct {
		forwardFault func(model.EntryVM) (error, bool)
		// lookupFails makes queries to the other entry VM about jobs fail too.
		lookupFails   bool
		nonIdempotent model.State
		runs          int
	}{
		"delivered":             {nil, false, model.StateRan, 1},
		"not sent":              {func(model.EntryVM) (error, bool) { return ErrForwardNotSent, false }, false, model.StateRan, 1},
		"reply lost":            {func(model.EntryVM) (error, bool) { return broken, true }, true, model.StateUnknown, 1},
		"reply lost, asked":     {func(model.EntryVM) (error, bool) { return broken, true }, false, model.StateRan, 1},
		"lost on its way there": {func(model.EntryVM) (error, bool) { return broken, false }, false, model.StateUnknown, 0},
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s idempotent=%t", name, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					a := newTestEntryVM(3)
					b := a.addEntryVM("e3", "b")
					a.network.forwardFault, a.network.lookupFails = c.forwardFault, c.lookupFails
					a.ctl.acquire = redirect("b")
					res := a.Submit(context.Background(), withID(input("x", idempotent), "id"))
					if idempotent {
						require.Equal(t, model.StateRan, res.State)
					} else {
						require.Equal(t, c.nonIdempotent, res.State)
						require.Equal(t, c.runs, a.minions.ran("x"))
					}
					require.Equal(t, []model.EntryVM{"e3"}, a.network.sent)
					a.drainAndCheck(t)
					b.drainAndCheck(t)
				})
			})
		}
	}
}

// Guards against refusing a request because the entry VMs of the data centre that the
// coordinator named are unknown or suspect here: only coordinators exchange messages with
// other data centres.
func TestForwardToUnconfirmedEntryVM(t *testing.T) {
	for status, sent := range map[control.MemberStatus]bool{
		control.MemberAlive: true, control.MemberUnknown: true, control.MemberSuspect: true,
		control.MemberLeaving: false, control.MemberGone: false,
	} {
		t.Run(string(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestEntryVM(3)
				b := a.addEntryVM("e3", "b")
				a.ctl.snap.Peers["e3"] = control.PeerState{DC: "b", Status: status}
				a.ctl.acquire = redirect("b")
				res := a.Submit(context.Background(), withID(input("x", true), "id"))
				require.Equal(t, model.StateRan, res.State)
				require.Equal(t, sent, len(a.network.sent) == 1)
				require.Equal(t, 1, a.minions.ran("x"))
				a.drainAndCheck(t)
				b.drainAndCheck(t)
			})
		})
	}
}

// Guards against offering a request to an entry VM that may be down before one that is
// alive, or to a suspect one of the local data centre.
func TestForwardPrefersAlive(t *testing.T) {
	a := newTestEntryVM(3)
	a.ctl.snap.Peers["e5"] = control.PeerState{DC: "b", Status: control.MemberUnknown}
	a.ctl.snap.Peers["e6"] = control.PeerState{DC: "b", Status: control.MemberSuspect}
	for range 20 {
		got := a.forwardCandidates("b")
		require.Len(t, got, maxForwardTargets)
		require.Equal(t, model.EntryVM("e3"), got[0])
		require.Equal(t, []model.EntryVM{"e2"}, a.forwardCandidates("a"), "only alive entry VMs of the local data centre are used")
	}
}

// Guards against reporting a job as cancelled because the connection between two entry VMs
// broke: the one that accepted the job must continue with it.
func TestForwardConnectionLostWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e3", "b")
		a.ctl.acquire = redirect("b")
		b.ctl.acquire = blockAcquire
		a.network.disconnectAfter = time.Second
		res := a.Submit(context.Background(), withID(input("x", false), "id"))
		require.Equal(t, model.StateRan, res.State)
		require.Equal(t, 1, a.minions.ran("x"))
		a.drainAndCheck(t)
		b.drainAndCheck(t)
	})
}

// Guards against forwarded requests that stay queued at the other entry VM after their
// caller cancelled them or disconnected.
func TestCancelForwarded(t *testing.T) {
	for _, reason := range []model.Reason{model.ReasonCancelled, model.ReasonCallerDisconnected} {
		synctest.Test(t, func(t *testing.T) {
			a := newTestEntryVM(3)
			b := a.addEntryVM("e3", "b")
			a.ctl.acquire, b.ctl.acquire = redirect("b"), blockAcquire
			in := input("x", false)
			in.Job = a.NewJobID()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			go a.Submit(ctx, in)
			time.Sleep(time.Second)
			if reason == model.ReasonCancelled {
				res, err := a.Cancel(in.Job, "red")
				require.NoError(t, err)
				require.Equal(t, model.StateCancelled, res.State)
			}
			leave()
			synctest.Wait()
			require.Equal(t, reason, a.Get(in.Job).Result.Reason)
			require.Equal(t, model.StateCancelled, a.ctl.recordedState(in.Job))
			require.Zero(t, b.Active())
			a.drainAndCheck(t)
		})
	}
}

// Guards against recording the refusal of the other entry VM for a job that this one
// continues with, and against running a forwarded request whose key is withdrawn there.
func TestForwardRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e3", "b")
		a.ctl.acquire = redirect("b")
		b.BeginDrain()
		res := a.Submit(context.Background(), input("x", false))
		require.Equal(t, model.StateRan, res.State)
		require.Empty(t, b.ctl.records)

		c := a.addEntryVM("e3", "b")
		snap := testSnapshot(3)
		snap.Site.Key("k1").Team = "blue"
		c.ctl.snap = snap
		res = a.Submit(context.Background(), input("y", false))
		require.Equal(t, model.ReasonKeyWithdrawn, res.Reason)
		require.Equal(t, model.OutcomeNotRun, res.Outcome())
		require.Zero(t, a.minions.ran("y"))
		require.Empty(t, c.ctl.records)
		a.drainAndCheck(t)
	})
}

// Guards against a shutdown that interrupts requests (I9): queued ones must be forwarded to
// another entry VM with their claim, dispatched ones must run to completion, and new ones
// must be refused as not run.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e2", "a")
		a.minions.fault = func(c upstream.Call) fault {
			if string(c.Body) == "running" {
				return runsPastDeadline
			}
			return noFault
		}
		results := make(chan model.Result, 2)
		submit := func(in Submission) { results <- a.Submit(context.Background(), in) }
		running := input("running", false)
		running.Deadline = 3 * time.Second
		go submit(running)
		synctest.Wait()
		a.ctl.acquire = blockAcquire
		go submit(withID(input("queued", false), "id"))
		time.Sleep(time.Second)
		a.BeginDrain()
		res := <-results
		require.Equal(t, "QUEUED", string(res.Body))
		require.Equal(t, []model.EntryVM{"e2"}, a.network.sent)
		require.Equal(t, 1, a.table.commits, "the claim is not made twice")
		res = a.Submit(context.Background(), input("new", false))
		require.Equal(t, model.ReasonShuttingDown, res.Reason)
		require.Equal(t, model.OutcomeNotRun, res.Outcome())
		res = <-results
		require.Equal(t, model.ReasonDeadlineRunning, res.Reason, "reported at its deadline")
		a.drainAndCheck(t)
		require.Equal(t, model.StateRan, a.Get(res.Job).Result.State, "the drain waits for the answer")
		res = b.Submit(context.Background(), withID(input("queued", false), "id"))
		require.Equal(t, "QUEUED", string(res.Body), "the claim still leads to the answer")
		require.Equal(t, 1, a.minions.ran("queued"))
		b.drainAndCheck(t)
	})
}

// Guards against a drain that refuses queued requests when no other entry VM can accept
// them.
func TestDrainWithoutOtherEntryVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestEntryVM(3)
		release := time.Now().Add(2 * time.Second)
		r.ctl.acquire = func(ctx context.Context, _ control.Attempt) (peer.AcquireReply, bool, error) {
			if !sleep(ctx, time.Until(release)) {
				return peer.AcquireReply{}, true, ctx.Err()
			}
			return peer.AcquireReply{}, false, nil
		}
		done := make(chan model.Result, 1)
		go func() { done <- r.Submit(context.Background(), input("x", false)) }()
		time.Sleep(time.Second)
		r.drainAndCheck(t)
		require.Equal(t, "X", string((<-done).Body))
	})
}

// Guards against an unknown outcome with the reason of a step, such as "granted".
func TestUnfinishedOriginalHasReason(t *testing.T) {
	r := explainUnfinished(model.Result{State: model.StateDispatched, Reason: model.ReasonGranted})
	require.Equal(t, model.OutcomeUnknown, r.Outcome())
	require.Equal(t, model.ReasonDeadlineRunning, r.Reason)
	lost := model.Result{State: model.StateUnknown, Reason: model.ReasonAnswerLost}
	require.Equal(t, lost, explainUnfinished(lost))
	ran := model.Result{State: model.StateRan}
	require.Equal(t, ran, explainUnfinished(ran))
}

// Guards against a job that ended with a complete error answer and is reported as unknown: its retry
// was forwarded, no coordinator answered there, and the refusal came in the millisecond of the
// deadline, when the caller's wait had just ended (minion-all-bad, seed 1).
func TestForwardThatIsNeverStartedEndsBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestEntryVM(3)
		b := a.addEntryVM("e3", "b")
		a.minions.fault = failAlways(status500)
		a.ctl.acquire = func(_ context.Context, at control.Attempt) (peer.AcquireReply, bool, error) {
			return peer.AcquireReply{ForwardTo: "b"}, at.Number == 2, nil
		}
		b.ctl.acquire = func(ctx context.Context, _ control.Attempt) (peer.AcquireReply, bool, error) {
			<-ctx.Done()
			return peer.AcquireReply{}, true, ctx.Err()
		}
		in := input("x", true)
		in.Deadline = time.Second
		began := time.Now()
		res := a.Submit(context.Background(), in)
		require.Equal(t, model.StateRan, res.State)
		require.Equal(t, 500, res.Status)
		require.Less(t, time.Since(began), time.Second)
		a.drainAndCheck(t)
		b.drainAndCheck(t)
	})
}
