package coordinator

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/holding"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// startState is how far a start to m0 is when its task or job ends.
type startState string

const (
	startUnsent startState = "unsent"
	// startLost: the start has no answer and is not carried out; startUnanswered: it is carried out.
	startLost       startState = "lost"
	startUnanswered startState = "unanswered"
	startAnswered   startState = "answered"
)

// endSource is what ends the task of the start.
type endSource string

const (
	// endElsewhere: an end of another run, listed by another minion.
	endElsewhere endSource = "end of another run"
	// endOfMember: an end of another member of the gang.
	endOfMember endSource = "end of a gang's member"
	endOfJob    endSource = "job cancelled"
)

// afterEnd is what becomes of m0 after the end.
type afterEnd string

const (
	minionAnswers      afterEnd = "minion answers"
	minionSilent       afterEnd = "minion silent"
	minionBack         afterEnd = "minion back"
	minionRestarted    afterEnd = "minion restarted"
	minionRestartsLate afterEnd = "minion restarted after a silence"
)

// Guards against orders of a task that outlive their reason: a start that is sent again after its task is done or its
// job has ended, a run that is not stopped, and capacity that is not given back.
func TestOrdersEndWithTheirTask(t *testing.T) {
	for _, start := range []startState{startUnsent, startLost, startUnanswered, startAnswered} {
		for _, end := range []endSource{endElsewhere, endOfMember, endOfJob} {
			for _, then := range []afterEnd{minionAnswers, minionSilent, minionBack, minionRestarted, minionRestartsLate} {
				for _, steps := range []int{1, 2} { // the second one keeps the job open
					t.Run(fmt.Sprintf("%s, %s, %s, %d steps", start, end, then, steps), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testOrdersEndWithTheirTask(t, start, end, then, steps) })
					})
				}
			}
		}
	}
}

func testOrdersEndWithTheirTask(t *testing.T, start startState, end endSource, then afterEnd, steps int) {
	s := newRestartSite(t, earlierClock, laterClock)
	const task, member = string(slowJob) + ".0.0.0", string(slowJob) + ".0.0.1"
	var ended, begunAfterEnd atomic.Bool
	s.onEvent = func(e fleet.Event) {
		if e.Kind == fleet.RunBegan && (e.Task == task || e.Task == member) && ended.Load() {
			begunAfterEnd.Store(true)
		}
	}
	s.calls.onStart(func(ctx context.Context, to site.Receiver, o site.StartOrder) (int64, error) {
		if start == startAnswered || !strings.HasPrefix(o.Task, string(slowJob)+".0.0.") || ended.Load() {
			return s.minions.Start(ctx, to, o)
		}
		if start == startUnanswered {
			_, _ = s.minions.Start(ctx, to, o)
		}
		return 0, unanswered(ctx)
	})
	all := []jobs.Step{step(1), longRunningStep(1)}
	all[1].After = []int{0}
	if end == endOfMember {
		all[0].Count, all[0].Gang = 2, true
	}
	s.submitJob(s.term, slowJob, all[:steps]...)
	if start == startUnsent {
		s.onTerm(func(term *Term) {
			for _, x := range term.taskByName(task).Step.AllTasks() {
				term.startTask(x, x.NextRun(term.ownRuns.first), term.minions["m0"])
			}
		})
	} else {
		sleep(450 * time.Millisecond)
	}
	s.calls.silent.Store(then != minionAnswers)
	s.onTerm(func(term *Term) {
		x := term.taskByName(task)
		ended.Store(true)
		reported := site.EndReport{Seq: 1, Outcome: jobs.EndDone}
		switch end {
		case endElsewhere:
			reported.Task, reported.Run = task, x.Run+1
		case endOfMember:
			reported.Task, reported.Run = member, x.Run
		}
		if end == endOfJob {
			term.cancel(x.Step.Job)
		} else {
			term.runEnded(holding.New(site.MinionEntry{ID: "mx"}, 0), reported, map[*jobs.Task]bool{})
		}
	})
	switch then {
	case minionRestarted:
		s.restart()
		sleep(time.Second)
	case minionRestartsLate:
		sleep(3 * time.Second)
		s.restart()
		sleep(100 * time.Millisecond)
	case minionBack:
		sleep(time.Second)
	}
	if then != minionSilent {
		s.calls.silent.Store(false)
	}
	s.addMinion("m1")
	sleep(10 * time.Second)
	require.False(t, begunAfterEnd.Load(), "the task began after its end")
	if then != minionSilent {
		require.Empty(t, s.minions.Running(task))
		require.Empty(t, s.minions.Running(member))
	}
	var pending, assigned bool
	s.onTerm(func(term *Term) {
		x := term.taskByName(task)
		pending = term.pendingStarts[x] != nil || term.pendingStops[x] != nil
		if m := term.minions["m0"]; m != nil {
			_, assigned = m.Tasks[x]
		}
	})
	require.False(t, pending, "an order for the task is pending")
	require.False(t, assigned, "the capacity of the task is in use")
	s.requireNoViolations()
}

// onTerm runs f on the term's goroutine.
func (s *restartSite) onTerm(f func(term *Term)) {
	require.NoError(s.t, s.term.do(context.Background(), func() { f(s.term) }))
}
