package coordinator

import (
	"expvar"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/holding"
	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/schedule"
	"boragepulley/internal/site"
)

const noisyJob jobs.ID = "eeeeeeeeeeeeeeee"

// newNoisySite returns a site of eight minions and a term. Long-running tasks of image "noisy" run on four of
// the minions and double the time of tasks of image "a", which are those of jobs whose id begins with an a.
// It counts the runs of image "a" that began with and without a noisy task beside them.
func newNoisySite(t *testing.T, noisy string) (ts *testSite, term *Term, slowed, quiet *atomic.Int64) {
	ts, slowed, quiet = newTestSite(t, 8), &atomic.Int64{}, &atomic.Int64{}
	ts.minions.Work = func(task string, _ int) (time.Duration, jobs.End) {
		if strings.HasPrefix(task, string(noisyJob)) {
			return 0, jobs.EndDone
		}
		return 400 * time.Millisecond, jobs.EndDone
	}
	ts.minions.Slowed = func(task string, beside []string) float64 {
		if task[0] != 'a' {
			return 1
		}
		if slices.ContainsFunc(beside, func(name string) bool { return strings.HasPrefix(name, string(noisyJob)) }) {
			slowed.Add(1)
			return 2
		}
		quiet.Add(1)
		return 1
	}
	term = ts.startTerm("e1", nil)
	sleep(time.Second)
	ts.submitJob(term, noisyJob, jobs.Step{Count: 4, Need: jobs.Resources{CPU: 1000}, LongRunning: true, MaxPerMinion: 1, Image: noisy})
	sleep(time.Second)
	return ts, term, slowed, quiet
}

// submitImages submits n jobs of three tasks of images "a" and "b" in turn, one every 100 ms, or without images.
func (s *testSite) submitImages(t *Term, first, n int, images bool) {
	for i := first; i < first+n; i++ {
		image := "ab"[i%2 : i%2+1]
		step := jobs.Step{Count: 3, Need: jobs.Resources{CPU: 1000}, Estimate: 400 * time.Millisecond}
		if images {
			step.Image = image
		}
		s.submitJob(t, jobs.ID(fmt.Sprintf("%s%015d", image, i)), step)
		sleep(100 * time.Millisecond)
	}
}

// Guards against interference that is not learned from the ends of runs, or not taken into account in the
// placement, and against capacity that is left idle because of it.
func TestLearnsInterferenceAndAvoidsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term, slowed, quiet := newNoisySite(t, "noisy")
		defer endTerm(term)
		ts.submitImages(term, 0, 300, true)
		lines := ts.log.linesWith("interference learned")
		require.Contains(t, lines, `"subject":"a","neighbour":"noisy"`)
		require.NotContains(t, lines, `"subject":"b"`)
		require.NotContains(t, lines, `"neighbour":"b"`)

		sleep(2 * time.Second)
		slowed.Store(0)
		quiet.Store(0)
		ts.submitImages(term, 300, 40, true)
		sleep(2 * time.Second)
		require.Zero(t, slowed.Load(), "there is room elsewhere")
		require.EqualValues(t, 60, quiet.Load())
		require.NotEmpty(t, ts.log.linesWith("interference avoided"))

		ts.submitJob(term, "a999999999999999", jobs.Step{Count: 28, Need: jobs.Resources{CPU: 1000}, Estimate: 400 * time.Millisecond, Image: "a"})
		sleep(300 * time.Millisecond)
		running := 0
		for i := range 28 {
			running += len(ts.minions.Running(fmt.Sprintf("a999999999999999.0.0.%d", i)))
		}
		require.Equal(t, 28, running, "all capacity is used")
		for i := range 4 {
			require.Equal(t, 1, ts.minions.Starts(fmt.Sprintf("%s.0.0.%d", noisyJob, i)), "running tasks are not moved")
		}
		ts.requireNoViolations()
	})
}

// Guards against work for tasks that name no image.
func TestNothingIsLearnedWithoutImages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts, term, _, _ := newNoisySite(t, "")
		defer endTerm(term)
		ts.submitImages(term, 0, 50, false)
		require.NoError(t, term.do(t.Context(), func() {
			require.Nil(t, term.interference.learner)
			for _, m := range term.minions {
				require.Nil(t, m.Kinds.Images)
			}
			require.Nil(t, term.snapshot().Interference)
		}))
	})
}

// imageTask returns a term that is not running with a task of an image that runs on minion m0.
func imageTask(t *testing.T, spec jobs.Step) (*Term, *holding.Minion, *jobs.Task) {
	term := backlogTerm(t, 1, 0)
	spec.Count, spec.Image = 1, "a"
	j := term.registry.Add(jobs.Accepted{ID: "aaaaaaaaaaaaaaaa", Queue: "q0", Spec: jobs.Spec{Steps: []jobs.Step{spec}}}, term.now)
	j.OpenSteps(time.Now(), term.now)
	m, task := term.minions["m0"], j.Step(0, 0).Task(0)
	m.Rack = "here"
	term.registry.Order(task, 1, m.ID, term.now)
	m.Assign(task)
	term.registry.Started(task, term.now)
	return term, m, task
}

// Guards against samples of runs whose duration tells nothing about their neighbours.
func TestOnlySoundRunsAreSamples(t *testing.T) {
	sent := &pendingStart{tries: 1}
	for name, c := range map[string]struct {
		spec    jobs.Step
		start   *pendingStart
		outcome jobs.End
		before  func(term *Term, m *holding.Minion)
		want    bool
	}{
		"sound":                   {start: sent, want: true},
		"near its data":           {start: sent, spec: jobs.Step{DataRack: "here"}, want: true},
		"far from its data":       {start: sent, spec: jobs.Step{DataRack: "there"}},
		"gang":                    {start: sent, spec: jobs.Step{Gang: true}},
		"rack in common":          {start: sent, spec: jobs.Step{SameRack: true}},
		"failed":                  {start: sent, outcome: jobs.EndFailed},
		"stopped":                 {start: sent, outcome: jobs.EndStopped},
		"start sent twice":        {start: &pendingStart{tries: 2}},
		"start not known":         {},
		"suspect minion":          {start: sent, before: func(term *Term, m *holding.Minion) { m.AvoidUntil = term.now + time.Second }},
		"minion silent meanwhile": {start: sent, before: func(term *Term, m *holding.Minion) { m.LastPollFailure = term.now + time.Second }},
	} {
		term, m, task := imageTask(t, c.spec)
		if c.before != nil {
			c.before(term, m)
		}
		term.runBegan(m, task, c.start)
		term.now += 2 * time.Second
		outcome := c.outcome
		if outcome == "" {
			outcome = jobs.EndDone
		}
		term.learnFromEnd(m, task, site.EndReport{Task: task.Name(), Run: 1, Outcome: outcome})
		require.Equal(t, c.want, term.interference.learner != nil, name)
	}
}

// Guards against tail latencies that are not learned from, or each of which counts as a sample although polls
// report the same one many times a second.
func TestTailLatenciesAreSampledOncePerPeriod(t *testing.T) {
	term, m, task := imageTask(t, jobs.Step{LongRunning: true, TailTarget: 80 * time.Millisecond})
	before := samplesTaken()
	term.runBegan(m, task, nil)
	for range 100 {
		term.now += tailPeriod / 10
		term.reconcile(m, term.now, site.PollReport{Running: []site.RunReport{{Task: task.Name(), Run: 1, Load: 60}}})
	}
	require.Equal(t, before+10, samplesTaken())
}

func samplesTaken() (n int64) {
	if v, ok := counters.Get("interference_samples").(*expvar.Int); ok {
		n = v.Value()
	}
	return n
}

// Guards against a place of a relocated task that the snapshot does not show.
func TestSnapshotShowsImagesOfReservedPlaces(t *testing.T) {
	term, m, task := imageTask(t, jobs.Step{LongRunning: true})
	l := interference.NewLearner()
	term.interference.learner = l
	for i := range 400 {
		v, beside := 1.0, []interference.Exposure(nil)
		if i%2 == 0 {
			v, beside = 3, []interference.Exposure{{Image: "b", Share: 1}}
		}
		l.Add(interference.Sample{Image: "a", Minion: "x", Value: v + float64(i%7)/100, Neighbours: beside, At: time.Duration(i) * time.Millisecond})
	}
	m.Unassign(task, term.now)
	s := &schedule.Snapshot{Minions: []schedule.Minion{{ID: m.ID}}}
	term.addInterference(s)
	require.Zero(t, s.Minions[0].Images)
	term.reservedPlaces[task] = m.ID
	term.addInterference(s)
	require.NotZero(t, s.Minions[0].Images)
	require.Equal(t, l.Table().Bit("a"), s.Minions[0].Images)
}
