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

// plannedRequest is one request of a random run.
type plannedRequest struct {
	entry      int
	in         Submission
	async      bool
	start      time.Duration
	cancel     time.Duration // 0: never
	disconnect time.Duration // 0: never
}

// messageFault is how a message fails, and whether it took effect all the same.
type messageFault struct {
	err   error
	taken bool
}

var (
	errBroken     = errors.New("connection lost")
	forwardFaults = []messageFault{{}, {ErrForwardNotSent, false}, {errBroken, true}, {errBroken, false}}
	commitFaults  = []messageFault{{}, {}, {platform.ErrUnavailable, false}, {platform.ErrUnknownOutcome, true}, {platform.ErrUnknownOutcome, false}}
)

// plan is a random run: requests and the faults in the order in which they happen.
type plan struct {
	requests []plannedRequest
	faults   []fault
	checks   []model.Reason
	moves    []bool
	forwards []messageFault
	commits  []messageFault
	gets     []error
	drain    time.Duration // 0: never
	connect  time.Duration
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
	kinds := []fault{okay, refusedConn, unsent, notStarted, lostBefore, lostAfter, partAnswer, status500, runsTillLate}
	p.faults = rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 12).Draw(t, "faults")
	p.checks = rapid.SliceOfN(rapid.SampledFrom([]model.Reason{"", "", model.ReasonStaleToken, model.ReasonPermitExpired, model.ReasonKeyWithdrawn}), 0, 6).Draw(t, "checks")
	p.moves = rapid.SliceOfN(rapid.Bool(), 0, 8).Draw(t, "moves")
	p.forwards = rapid.SliceOfN(rapid.SampledFrom(forwardFaults), 0, 6).Draw(t, "forwards")
	p.commits = rapid.SliceOfN(rapid.SampledFrom(commitFaults), 0, 8).Draw(t, "commits")
	p.gets = rapid.SliceOfN(rapid.SampledFrom([]error{nil, platform.ErrUnavailable}), 0, 5).Draw(t, "gets")
	p.connect = ms("connect", 100)
	if rapid.Bool().Draw(t, "drains") {
		p.drain = ms("drain", 400)
	}
	return p
}

// script hands out planned values one by one, then the zero value.
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

// apply sets the plan's faults on two entry VMs of one data centre and one of another.
func (p plan) apply(rigs []*rig) {
	faults, checks, moves := &script[fault]{left: p.faults}, &script[model.Reason]{left: p.checks}, &script[bool]{left: p.moves}
	forwards, commits, gets := &script[messageFault]{left: p.forwards}, &script[messageFault]{left: p.commits}, &script[error]{left: p.gets}
	rigs[0].minions.connect = p.connect
	rigs[0].minions.fault = func(upstream.Call) fault {
		if f := faults.next(); f != "" {
			return f
		}
		return okay
	}
	for _, r := range rigs {
		r.ctl.check = func(*model.Permit) model.Reason { return checks.next() }
		r.ctl.acquire = func(ctx context.Context, a control.Attempt) (peer.AcquireReply, bool, error) {
			if !sleep(ctx, 20*time.Millisecond) {
				return peer.AcquireReply{}, true, ctx.Err()
			}
			return peer.AcquireReply{ForwardTo: "b"}, a.Hops == 0 && moves.next(), nil
		}
	}
	rigs[0].links.fail = func(model.EntryVM) (error, bool) { f := forwards.next(); return f.err, f.taken }
	rigs[0].table.commitErr = func(int) (error, bool) { f := commits.next(); return f.err, f.taken }
	rigs[0].table.getErr = gets.next
}

// run performs the plan and returns the results that callers were told.
func (p plan) run(rigs []*rig) []model.Result {
	results := make([]model.Result, len(p.requests))
	var wg sync.WaitGroup
	for i, r := range p.requests {
		r.in.Job = rigs[r.entry].NewJobID()
		wg.Go(func() {
			time.Sleep(r.start)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if r.disconnect > 0 {
				time.AfterFunc(r.disconnect, cancel)
			}
			if r.cancel > 0 {
				time.AfterFunc(r.cancel, func() { _, _ = rigs[r.entry].Cancel(r.in.Job, "red") })
			}
			if r.async {
				results[i] = rigs[r.entry].SubmitAsync(ctx, r.in)
			} else {
				results[i] = rigs[r.entry].Submit(ctx, r.in)
			}
		})
	}
	if p.drain > 0 {
		time.Sleep(p.drain)
		rigs[0].BeginDrain()
	}
	wg.Wait()
	return results
}

// Guards, over random sequences of faults, against a non-idempotent job that runs twice
// (I7), a "not run" that is not true, to the caller or in the account (I6), and an
// answer of another request (I5).
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		synctest.Test(t, func(t *testing.T) {
			a := newRig(3)
			rigs := []*rig{a, a.other("e2", "a"), a.other("e3", "b")}
			p.apply(rigs)
			results := p.run(rigs)
			for _, r := range rigs {
				r.settled(t)
			}
			for i, res := range results {
				p.check(t, a.minions, p.requests[i], res)
			}
			for _, r := range rigs {
				for _, rec := range r.ctl.records {
					if accountOf(rigs, rec.Job).Outcome() == model.OutcomeNotRun {
						require.Zero(t, a.minions.ran("job "+string(rec.Job)), "account says that job %s was not run", rec.Job)
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
		require.Zero(t, m.ran("job "+string(res.Job)), "job %s was called not run", res.Job)
	case model.OutcomeRan:
		require.NotZero(t, m.ran(body))
		if res.Status == 200 {
			require.Equal(t, strings.ToUpper(body), string(res.Body))
		}
	}
}

// accountOf merges the records of all entry VMs about a job.
func accountOf(rigs []*rig, id model.JobID) model.State {
	var best model.State
	for _, r := range rigs {
		if s := r.ctl.merged(id); s.Rank() > best.Rank() {
			best = s
		}
	}
	return best
}
