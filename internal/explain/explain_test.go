package explain

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	storeLost    = `1.0 a {"part":"store","time":1000,"message":"platform does not answer; circuit breaker opened"}`
	rejected     = `2.0 a {"part":"caller","request":"r1","job":"00000000000000aa","method":"POST","status":503,"reason":"store_unavailable","service":"s","age":900.5,"time":2000,"message":"Caller: answered."}`
	otherStarted = `0.0 b {"part":"daemon","time":1,"message":"Daemon started."}`
	accepted     = `3.0 b {"part":"caller","request":"r2","job":"00000000000000bb","method":"POST","status":200,"reason":"accepted","service":"s","time":3000,"message":"Caller: answered."}`
	plan         = `3.1 b {"part":"coordinator","epoch":1,"services":[{"service":"s","have":2,"want":5,"waiting_cores":77}],"time":3100,"message":"Coordinator: machines planned."}`
	started      = `5.0 b {"part":"coordinator","epoch":1,"task":"00000000000000bb.0.0.0","run":1,"minion":"m1","waited":2000,"time":5000,"message":"Coordinator: start."}`
	taken        = `6.0 a {"part":"entry","epoch":2,"time":6000,"message":"Entry: lease taken."}`
	leaseOver    = `7.0 a {"part":"coordinator","epoch":2,"minion":"m1","tasks":1,"time":7000,"message":"Coordinator: leases over, tasks are requeued."}`
	startedAgain = `7.1 a {"part":"coordinator","epoch":2,"task":"00000000000000bb.0.0.0","run":1001,"minion":"m2","waited":100,"time":7100,"message":"Coordinator: start."}`
	jobEnded     = `9.0 a {"part":"coordinator","epoch":2,"job":"00000000000000bb","state":"completed","after":6000,"time":9000,"message":"Coordinator: job ended."}`
	poll         = `9.9 a {"part":"caller","request":"r9","job":"00000000000000bb","method":"GET","status":200,"reason":"coordinator","time":9900,"message":"Caller: answered."}`
	other        = `5.0 b {"part":"coordinator","epoch":1,"task":"00000000000000cc.0.0.0","run":1,"minion":"m1","waited":1,"time":5000,"message":"Coordinator: start."}`
)

// tell reads lines in a random order, some of them from a second input.
func tell(t *testing.T, id string, lines ...string) *Story {
	var l Logs
	rand.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	half := len(lines) / 2
	require.NoError(t, l.Read("one", strings.NewReader(strings.Join(lines[:half], "\n"))))
	require.NoError(t, l.Read("two", strings.NewReader("not a line of an entry VM\n"+strings.Join(lines[half:], "\n")+"\n")))
	require.Equal(t, 1, l.Unreadable)
	return l.Tell(id)
}

// Guards against a rejected request whose cause is not found, or is found on the wrong entry VM.
func TestRejectedRequest(t *testing.T) {
	s := tell(t, "r1", storeLost, rejected, otherStarted, accepted, started)
	require.Equal(t, "00000000000000aa", s.Job)
	require.Equal(t, "not accepted: the last of its requests got 503 (store_unavailable)", s.Outcome)
	require.Len(t, s.Causes, 1)
	require.Contains(t, s.Causes[0], "1 of 2 entry VMs had lost it (a)")
	require.Len(t, s.Lines, 3, "the rejection, the loss of the store and the start of a process")
}

// Guards against a late job whose wait or takeover is not shown, by its id or by that of a request.
func TestLateJobAcrossATakeover(t *testing.T) {
	for _, id := range []string{"00000000000000bb", "r2"} {
		s := tell(t, id, accepted, plan, started, taken, leaseOver, startedAgain, jobEnded, poll, other, otherStarted)
		require.Equal(t, "completed 6000 ms after it was accepted", s.Outcome)
		text := strings.Join(s.Causes, "\n")
		require.Contains(t, text, "a became coordinator with epoch 2, 3000 ms after")
		require.Contains(t, text, "1 tasks were started again: minion m1: leases over")
		require.Contains(t, text, "2000 ms after the job was accepted; service s had 2 machines and wanted 5, 77 cores of work waited")
		for _, l := range s.Lines {
			require.NotEqual(t, "r9", l.text("request"), "a read that succeeded explains nothing")
			require.NotContains(t, l.text("task"), "cc", "another job's task on the same minion")
		}
	}
}

// Guards against a second start of a task that is passed over although nothing ended the first one.
func TestUnexplainedSecondStartIsNamed(t *testing.T) {
	s := tell(t, "00000000000000bb", accepted, started, taken, startedAgain, jobEnded)
	require.Contains(t, strings.Join(s.Causes, "\n"), "was started twice (runs 1 and 1001)")
	s = tell(t, "00000000000000bb", accepted, started, leaseOver, taken, startedAgain, jobEnded)
	require.NotContains(t, strings.Join(s.Causes, "\n"), "was started twice")
}

// Guards against a cancelled job that looks as if it had been forgotten.
func TestCancelledJob(t *testing.T) {
	cancelled := `5.5 b {"part":"coordinator","epoch":1,"job":"00000000000000bb","running":1,"time":5500,"message":"Coordinator: job cancelled."}`
	s := tell(t, "00000000000000bb", accepted, started, cancelled, otherStarted)
	require.Equal(t, "cancelled 2500 ms after it was accepted", s.Outcome)
}

// Guards against a loss of the store that is denied because it was over when the answer was logged, or
// that is dated by an earlier one.
func TestOutageEndsWithTheAnswer(t *testing.T) {
	back := `1.9 a {"part":"store","time":1900,"message":"platform answers again; circuit breaker closed"}`
	lostAgain := `1.95 a {"part":"store","time":1950,"message":"platform does not answer; circuit breaker opened"}`
	slow := strings.Replace(rejected, `"age":900.5`, `"took":200`, 1)
	s := tell(t, "r1", storeLost, back, slow, otherStarted)
	require.Contains(t, s.Causes[0], "1 of 2 entry VMs had lost it (a)")
	s = tell(t, "r1", storeLost, back, lostAgain, rejected, otherStarted)
	require.Contains(t, s.Causes[0], "a lost it at 00:00:01.950")
}

// Guards against a takeover that is taken for a fault: the successor tells that it knows the earlier runs,
// or the first start was never sent.
func TestStartsOfTwoEpochs(t *testing.T) {
	known := `7.0 a {"part":"coordinator","epoch":2,"job":"00000000000000bb","time":7050,"message":"Coordinator: earlier runs of job are known."}`
	s := tell(t, "00000000000000bb", accepted, started, taken, known, startedAgain, jobEnded)
	require.Contains(t, strings.Join(s.Causes, "\n"), "1 tasks were started again: the next coordinator had asked")
	held := strings.Replace(started, `"run":1`, `"run":1,"held":true`, 1)
	s = tell(t, "00000000000000bb", accepted, held, taken, startedAgain, jobEnded)
	require.Contains(t, strings.Join(s.Causes, "\n"), "1 tasks were started again: the first start was held")
	sameEpoch := strings.Replace(startedAgain, `"epoch":2`, `"epoch":1`, 1)
	s = tell(t, "00000000000000bb", accepted, held, known, sameEpoch, jobEnded)
	require.Contains(t, strings.Join(s.Causes, "\n"), "was started twice")
}

// Guards against an id that is called unexplained although it is in no log.
func TestUnknownID(t *testing.T) {
	s := tell(t, "r7", accepted, otherStarted)
	require.False(t, s.Known)
	require.Len(t, s.Lines, 1)
}

// Guards against logs that crash the tool.
func FuzzTell(f *testing.F) {
	f.Add(accepted + "\n" + started + "\n" + jobEnded)
	f.Add(`x {"time":1,"message":"Coordinator: start.","task":7,"services":[7,{"service":{}}]}`)
	f.Add(plan)
	f.Fuzz(func(t *testing.T, text string) {
		var l Logs
		require.NoError(t, l.Read("x", strings.NewReader(text)))
		for _, id := range []string{"r2", "00000000000000bb", ""} {
			s := l.Tell(id)
			require.LessOrEqual(t, len(s.Lines), s.Read)
		}
	})
}

// Guards against causes that real logs do not yield any more: five requests of two plays of a day with
// an outage of the store and a data centre that was cut off, which the callers' side named as not served.
// The two plays stand in testdata with the lines that the stories need.
func TestRealRequests(t *testing.T) {
	for _, x := range []struct {
		file, id, job, outcome string
		causes                 []string
		lines                  int
	}{
		{"trouble-1.log", "775c9c1a96c65eaa", "511b5683c624c3ba", "completed 6582 ms after it was accepted", []string{"had 31 machines and wanted 45"}, 29},
		{"trouble-1.log", "11bdfe376e74c0c6", "ffb71612dd5928e4", "not accepted: the last of its requests got 503 (store_unavailable)",
			[]string{"all 6 entry VMs had lost it within 1 s", "all 6 entry VMs", "2 of 6 entry VMs had lost it (front-mex-hall-1, front-mex-hall-2)", "2 of 6", "after its caller had left"}, 27},
		{"trouble-1.log", "7a87c796ec740c11", "32b1fa88f889980d", "not accepted: the last of its requests got 503 (store_unavailable)",
			[]string{"2 of 6 entry VMs", "2 of 6", "2 of 6", "2 of 6"}, 27},
		{"trouble-1-seed-7.log", "336419a6c7acbd5a", "0f716a3b0b043d2b", "not accepted: the last of its requests got 503 (store_unavailable)",
			[]string{"all 6", "all 6", "all 6", "all 6", "3 of 6 entry VMs"}, 23},
		{"trouble-1-seed-7.log", "18b3ade15dc9ae3b", "78a7735b1d06ce08", "not accepted: the last of its requests got 504 (may_be_stored)",
			[]string{"connection reset by peer", "earlier attempt with unknown outcome"}, 21},
	} {
		f, err := os.Open("testdata/" + x.file)
		require.NoError(t, err)
		var l Logs
		require.NoError(t, l.Read(x.file, f))
		require.NoError(t, f.Close())
		rand.Shuffle(len(l.Lines), func(i, j int) { l.Lines[i], l.Lines[j] = l.Lines[j], l.Lines[i] })
		s := l.Tell(x.id)
		require.Equal(t, x.job, s.Job)
		require.Equal(t, x.outcome, s.Outcome)
		require.Len(t, s.Causes, len(x.causes), x.id)
		for i, want := range x.causes {
			require.Contains(t, s.Causes[i], want)
		}
		require.Len(t, s.Lines, x.lines, x.id)
	}
}
