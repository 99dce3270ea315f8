package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/control"
	"boragepulley/internal/model"
	"boragepulley/internal/peer"
	"boragepulley/internal/platform"
	"boragepulley/internal/upstream"
)

// plannedRequest is one request of a randomly generated run.
type plannedRequest struct {
	entry      int
	in         Submission
	async      bool
	start      time.Duration
	cancel     time.Duration // 0: never
	disconnect time.Duration // 0: never
}

// messageFault is the error of a message and whether the message took effect nevertheless.
type messageFault struct {
	err     error
	applied bool
}

var (
	errBroken     = errors.New("connection lost")
	forwardFaults = []messageFault{{}, {ErrForwardNotSent, false}, {errBroken, true}, {errBroken, false}}
	commitFaults  = []messageFault{{}, {}, {platform.ErrUnavailable, false}, {platform.ErrUnknownOutcome, true}, {platform.ErrUnknownOutcome, false}}
)

// plan is a randomly generated run: requests, and faults in the order in which they are
// injected.
type plan struct {
	requests     []plannedRequest
	faults       []fault
	permitChecks []model.Reason
	redirects    []bool
	forwards     []messageFault
	commits      []messageFault
	gets         []error
	drain        time.Duration // 0: never
	connect      time.Duration
}

func drawPlan(t *rapid.T) plan {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	var p plan
	for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		in := input(fmt.Sprint("body ", i), idempotent)
		if id := rapid.IntRange(0, 2).Draw(t, "id"); id > 0 {
			in = withID(input(fmt.Sprintf("id %d %t", id, idempotent), idempotent), fmt.Sprintf("%d %t", id, idempotent))
		}
		in.Deadline = time.Millisecond + ms("deadline", 2000)
		r := plannedRequest{entry: rapid.IntRange(0, 1).Draw(t, "entry"), in: in, async: rapid.Bool().Draw(t, "async"), start: ms("start", 300)}
		if rapid.Bool().Draw(t, "cancels") {
			r.cancel = ms("cancel", 400)
		}
		if rapid.Bool().Draw(t, "disconnects") {
			r.disconnect = ms("disconnect", 400)
		}
		p.requests = append(p.requests, r)
	}
	kinds := []fault{noFault, connRefused, notSent, notStarted, lostBeforeRun, lostAfterRun, partialAnswer, status500, runsPastDeadline}
	p.faults = rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 12).Draw(t, "faults")
	p.permitChecks = rapid.SliceOfN(rapid.SampledFrom([]model.Reason{"", "", model.ReasonStaleToken, model.ReasonPermitExpired, model.ReasonKeyWithdrawn}), 0, 6).Draw(t, "checks")
	p.redirects = rapid.SliceOfN(rapid.Bool(), 0, 8).Draw(t, "moves")
	p.forwards = rapid.SliceOfN(rapid.SampledFrom(forwardFaults), 0, 6).Draw(t, "forwards")
	p.commits = rapid.SliceOfN(rapid.SampledFrom(commitFaults), 0, 8).Draw(t, "commits")
	p.gets = rapid.SliceOfN(rapid.SampledFrom([]error{nil, platform.ErrUnavailable}), 0, 5).Draw(t, "gets")
	p.connect = ms("connect", 100)
	if rapid.Bool().Draw(t, "drains") {
		p.drain = ms("drain", 400)
	}
	return p
}

// script returns planned values one by one, then the zero value.
type script[T any] struct {
	mu   sync.Mutex
	left []T
}

func (s *script[T]) next() (v T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.left) > 0 {
		v, s.left = s.left[0], s.left[1:]
	}
	return v
}

// apply injects the plan's faults into the entry VMs.
func (p plan) apply(entryVMs []*testEntryVM) {
	faults, permitChecks, redirects := &script[fault]{left: p.faults}, &script[model.Reason]{left: p.permitChecks}, &script[bool]{left: p.redirects}
	forwards, commits, gets := &script[messageFault]{left: p.forwards}, &script[messageFault]{left: p.commits}, &script[error]{left: p.gets}
	entryVMs[0].minions.connect = p.connect
	entryVMs[0].minions.fault = func(upstream.Call) fault {
		if f := faults.next(); f != "" {
			return f
		}
		return noFault
	}
	for _, r := range entryVMs {
		r.ctl.check = func(*model.Permit) model.Reason { return permitChecks.next() }
		r.ctl.acquire = func(ctx context.Context, a control.Attempt) (peer.AcquireReply, bool, error) {
			if !sleep(ctx, 20*time.Millisecond) {
				return peer.AcquireReply{}, true, ctx.Err()
			}
			return peer.AcquireReply{ForwardTo: "b"}, a.Hops == 0 && redirects.next(), nil
		}
	}
	entryVMs[0].network.forwardFault = func(model.EntryVM) (error, bool) { f := forwards.next(); return f.err, f.applied }
	entryVMs[0].table.commitErr = func(int) (error, bool) { f := commits.next(); return f.err, f.applied }
	entryVMs[0].table.getErr = gets.next
}

// run executes the plan and returns the results that the callers received.
func (p plan) run(entryVMs []*testEntryVM) []model.Result {
	results := make([]model.Result, len(p.requests))
	var wg sync.WaitGroup
	for i, r := range p.requests {
		r.in.Job = entryVMs[r.entry].NewJobID()
		wg.Go(func() {
			time.Sleep(r.start)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if r.disconnect > 0 {
				time.AfterFunc(r.disconnect, cancel)
			}
			if r.cancel > 0 {
				time.AfterFunc(r.cancel, func() { _, _ = entryVMs[r.entry].Cancel(r.in.Job, "red") })
			}
			if r.async {
				results[i] = entryVMs[r.entry].SubmitAsync(ctx, r.in)
			} else {
				results[i] = entryVMs[r.entry].Submit(ctx, r.in)
			}
		})
	}
	if p.drain > 0 {
		time.Sleep(p.drain)
		entryVMs[0].BeginDrain()
	}
	wg.Wait()
	return results
}

// Guards, over random sequences of faults, against a non-idempotent job that runs twice
// (I7), a job that ran but is reported or recorded as not run (I6), and an answer that
// belongs to another request (I5).
func TestReportedOutcomesMatchRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		synctest.Test(t, func(t *testing.T) {
			a := newTestEntryVM(3)
			entryVMs := []*testEntryVM{a, a.addEntryVM("e2", "a"), a.addEntryVM("e3", "b")}
			p.apply(entryVMs)
			results := p.run(entryVMs)
			for _, r := range entryVMs {
				r.drainAndCheck(t)
			}
			for i, res := range results {
				p.check(t, a.minions, p.requests[i], res)
			}
			for _, r := range entryVMs {
				for _, rec := range r.ctl.records {
					if recordedStateOnAll(entryVMs, rec.Job).Outcome() == model.OutcomeNotRun {
						require.Zero(t, a.minions.ran("job "+string(rec.Job)), "recorded as not run, but job %s ran", rec.Job)
					}
				}
			}
		})
	})
}

func (p plan) check(t *testing.T, m *fakeMinions, r plannedRequest, res model.Result) {
	body := string(r.in.Body)
	if !r.in.Idempotent {
		require.LessOrEqual(t, m.ran(body), 1, "%q ran more than once", body)
	}
	switch res.Outcome() {
	case model.OutcomeNotRun:
		require.Zero(t, m.ran("job "+string(res.Job)), "reported as not run, but job %s ran", res.Job)
	case model.OutcomeRan:
		require.NotZero(t, m.ran(body))
		if res.Status == 200 {
			require.Equal(t, strings.ToUpper(body), string(res.Body))
		}
	}
}

// recordedStateOnAll merges the records of all entry VMs about a job.
func recordedStateOnAll(entryVMs []*testEntryVM, id model.JobID) model.State {
	var best model.State
	for _, r := range entryVMs {
		if s := r.ctl.recordedState(id); s.Rank() > best.Rank() {
			best = s
		}
	}
	return best
}
