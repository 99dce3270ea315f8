package coordinator

import (
	"fmt"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
	"boragepulley/internal/site"
	"boragepulley/standins/fleet"
)

// Guards against a long-running task that waits for as long as minions are silent for a moment now and
// then: each machine that is being emptied for it is given back, and filled again, at the first poll
// without an answer.
func TestMachineIsEmptiedOnWhileItsMinionIsSilentForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 6)
		b.minions.Work = func(task string, _ int) (time.Duration, jobs.End) {
			if task[0] == 'f' { // a job of the burst
				return 1200*time.Millisecond + time.Duration(fnvOf(task)%800)*time.Millisecond, jobs.EndDone
			}
			return 0, ""
		}
		b.start()
		b.submitJob(b.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		b.moving.Leave("s1", leaveNotice, time.Minute)
		// Each minion of the burst is silent for 0.7 s of every 1.8 s, in turn.
		const silence, every = 700 * time.Millisecond, 1800 * time.Millisecond
		var longest time.Duration
		without := map[string]time.Duration{}
		for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
			for i := range 6 {
				phase := time.Since(b.startedAt) + time.Duration(i)*every/6
				b.minions.Change(b.moving.MinionOf(model.VM(fmt.Sprint("b", i))), func(m *fleet.Minion) { m.Cut = m.Entry.Service == burstService && phase%every < silence })
			}
			sleep(50 * time.Millisecond)
			for _, task := range taskNames("0000000000000001", 2) {
				if without[task] += 50 * time.Millisecond; len(b.minions.Running(task)) > 0 {
					without[task] = 0
				}
				longest = max(longest, without[task])
			}
		}
		b.requireFirstIsNotGivenBackBeforeAMove()
		require.Less(t, longest, maxWait)
		b.requireNoViolations()
	})
}

// Guards against a machine that is never maintained because it still counts as being emptied for
// another service after its minion has ended for good.
func TestMachineWhoseMinionEndsWhileItIsEmptiedIsMaintained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurstSite(t, 2, 6)
		b.minions.Work = func(task string, _ int) (time.Duration, jobs.End) {
			if task[0] == 'f' { // a job of the burst
				return 3 * time.Second, jobs.EndDone
			}
			return 0, ""
		}
		b.start()
		b.submitJob(b.term, "0000000000000001", spreadStep(2))
		sleep(2 * time.Second)
		b.moving.Lose("s1", 0, 0)
		var emptied model.VM
		for range 600 {
			sleep(20 * time.Millisecond)
			if line := b.log.linesWith("emptying machine"); line != "" {
				emptied = model.VM(regexp.MustCompile(`"machine":"([^"]*)"`).FindStringSubmatch(line)[1])
				break
			}
		}
		require.NotEmpty(t, emptied)
		b.moving.Lose(emptied, 0, 0)
		sleep(10 * time.Second)
		b.begin(site.Wave{ID: 1, Machines: []model.VM{emptied}, Duration: 20 * time.Second, MaxDown: 1})
		sleep(20 * time.Second)
		require.Equal(t, 1, b.moving.Maintained(emptied))
	})
}
