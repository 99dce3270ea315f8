package coordinator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"boragepulley/internal/jobs"
)

// Guards against a run that counts as over although one of its starts is carried out later: starts are
// carried out up to 5 s late, stops are lost or late, polls are answered, clocks are up to 2 % slow, and a minion
// may restart. A task must never run twice at a time, nor again after its end as done was noted.
func TestStartsThatAreCarriedOutLateRunNoTaskTwice(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				var mu sync.Mutex
				within := func(d time.Duration) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					return time.Duration(r.Int64N(int64(d)))
				}
				ts := newTestSite(t, 0)
				rates := []float64{0.98, 1, 0.98}
				ts.minions.ClockRate = func(id jobs.Minion) float64 { return rates[int(id[1]-'0')%3] }
				for i := range 3 {
					ts.addMinion(jobs.Minion(fmt.Sprintf("m%d", i)))
				}
				need := jobs.Resources{CPU: 300}
				ts.minions.Need = func(string) jobs.Resources { return need }
				ts.minions.Work = func(task string, run int) (time.Duration, jobs.End) {
					if task[0] == 'f' {
						return 50*time.Millisecond + time.Duration(fnvOf(fmt.Sprint(task, run))%2000)*time.Millisecond, jobs.EndDone
					}
					return 0, ""
				}
				term := ts.startTerm("e1", nil)
				defer sleep(15 * time.Second) // the last orders have been carried out
				defer endTerm(term)
				sleep(time.Second)
				ts.minions.SetDelay(func(op string, to jobs.Minion) time.Duration {
					switch {
					case op == "start" && within(3) > 0:
						return 7*time.Second + within(3*time.Second)
					case op == "stop":
						return within(10 * time.Second)
					case op == "hold":
						return within(200 * time.Millisecond)
					}
					return 0
				})
				ts.submitJob(term, slowJob, jobs.Step{Count: 6, Need: need, LongRunning: true})
				ts.submitJob(term, "f000000000000001", jobs.Step{Count: 12, Need: need, Estimate: time.Second})
				for range 12 {
					sleep(within(3 * time.Second))
					if within(4) == 0 {
						id := jobs.Minion(fmt.Sprintf("m%d", within(3)))
						ts.minions.Restart(id)
						ts.list(id)
					}
				}
				ts.requireNoViolations()
			})
		})
	}
}
