package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// workload is a set of jobs of one step each, which arrive at given times at one service.
type workload struct {
	minions int
	cores   int64
	// leastSlackOnly sorts steps as if the service was not overloaded.
	leastSlackOnly bool
	// ignoreExpiry ranks late jobs as if all of them could still end in time to be of use.
	ignoreExpiry bool
	// outage is the time from the start of the run in which no task starts.
	outage time.Duration
	jobs   []*workloadJob
}

type workloadJob struct {
	arrives, run time.Duration
	spec         jobs.Step
	team         model.Team
	job          *jobs.Job
	ended        time.Duration
}

func (j *workloadJob) due() time.Duration {
	return j.arrives + time.Duration(1.6*float64(j.run)) + 600*time.Millisecond
}

func (j *workloadJob) work() float64 { return float64(j.spec.Count) * j.spec.Work() }

// newBurst returns a burst of four seconds whose work is the given multiple of what the minions
// can do in that time. Job sizes are spread like those of the users, and estimates are wrong by up
// to half.
func newBurst(seed uint64, times float64) *workload {
	r := rand.New(rand.NewPCG(seed, 0))
	b := &workload{minions: 10, cores: 64}
	spread := func(mean float64) float64 { return mean * math.Exp(0.6*r.NormFloat64()-0.18) }
	registry := jobs.NewRegistry()
	total := times * 4 * float64(b.minions) * float64(b.cores)
	for work := 0.0; work < total; {
		j := &workloadJob{arrives: time.Duration(r.Int64N(int64(4 * time.Second))), run: time.Duration(spread(0.8) * float64(time.Second)), team: "small"}
		if r.IntN(3) > 0 {
			j.team = "large"
		}
		j.spec = jobs.Step{Count: 1 + int(spread(6)), Need: jobs.Resources{CPU: int64(min(spread(3500), 20000))},
			Estimate: time.Duration(float64(j.run) * (0.5 + r.Float64()))}
		work += float64(j.spec.Count) * float64(j.spec.Need.CPU) / 1000 * j.run.Seconds()
		j.job = registry.Add(jobs.Accepted{ID: jobs.ID(fmt.Sprint(len(b.jobs))), Queue: "q", Team: j.team, Spec: jobs.Spec{Steps: []jobs.Step{j.spec}}}, j.arrives)
		j.job.OpenSteps(time.Now(), 0)
		b.jobs = append(b.jobs, j)
	}
	return b
}

// run simulates the workload and returns the share of the jobs' value that was completed in time,
// in total and by team.
func (b *workload) run() (all float64, teams map[model.Team]float64) {
	type run struct {
		minion int
		ends   time.Duration
	}
	running := map[*jobs.Task]run{}
	mean := 0.0
	for _, j := range b.jobs {
		mean += j.work() / float64(len(b.jobs))
	}
	const tick = 10 * time.Millisecond
	for now := time.Duration(0); now < 20*time.Second; now += tick {
		snap := &Snapshot{Now: now, Teams: map[model.Team]*Team{"small": {Weight: 1}, "large": {Weight: 1}}, InUse: map[model.Service]map[model.Team]int64{"s": {}}}
		for i := range b.minions {
			snap.Minions = append(snap.Minions, minion(jobs.Minion(fmt.Sprint(i)), b.cores))
		}
		for _, j := range b.jobs {
			if j.arrives > now || j.ended > 0 {
				continue
			}
			open := false
			for _, x := range j.job.Step(0, 0).AllTasks() {
				if r, ok := running[x]; ok && r.ends > now {
					snap.Minions[r.minion].Free.CPU -= j.spec.Need.CPU
					snap.InUse["s"][j.team] += j.spec.Need.CPU
					open = true
				} else if !ok {
					open = true
				}
			}
			if !open {
				j.ended = now
				continue
			}
			st := Step{StepRun: j.job.Step(0, 0), Service: "s", Team: j.team, Arrived: j.arrives, Deadline: j.arrives + time.Duration(1.6*float64(j.spec.Estimate)) + 600*time.Millisecond,
				RemainingTime: j.spec.Estimate, Value: 0.3 + 0.7*j.work()/mean}
			for _, x := range j.job.Step(0, 0).AllTasks() {
				if _, ok := running[x]; !ok {
					st.Waiting = append(st.Waiting, x)
				}
			}
			st.RemainingWork = float64(len(st.Waiting)) * j.spec.Work()
			if b.leastSlackOnly {
				st.Value = 0
			}
			if b.ignoreExpiry {
				st.Arrived -= time.Hour
			}
			if len(st.Waiting) > 0 {
				snap.Steps = append(snap.Steps, st)
			}
		}
		if now < b.outage {
			continue
		}
		for _, a := range NewPlan(snap).Start {
			var i int
			_, _ = fmt.Sscan(string(a.Minion), &i)
			for _, j := range b.jobs {
				if j.job == a.Task.Step.Job {
					running[a.Task] = run{i, now + j.run}
				}
			}
		}
	}
	achieved, possible := map[model.Team]float64{}, map[model.Team]float64{}
	for _, j := range b.jobs {
		w := 0.3 + 0.7*j.work()/mean
		possible[j.team] += w
		if j.ended > 0 && j.ended <= j.due() {
			achieved[j.team] += w
		}
	}
	teams = map[model.Team]float64{}
	for name := range possible {
		teams[name] = achieved[name] / possible[name]
	}
	return (achieved["small"] + achieved["large"]) / (possible["small"] + possible["large"]), teams
}

// Guards against an overload in which each job starts at the last moment by least slack, so that
// most end late: for four seconds, twice as much work arrives as the pool can do.
func TestOverloadCompletesMoreValueThanLeastSlack(t *testing.T) {
	for seed := range uint64(3) {
		b := newBurst(seed, 2)
		got, _ := b.run()
		baseline := newBurst(seed, 2)
		baseline.leastSlackOnly = true
		leastSlack, _ := baseline.run()
		t.Logf("seed %d: %.2f of the value in time, by least slack %.2f", seed, got, leastSlack)
		require.Greater(t, got, leastSlack)
	}
}

// Guards against a load within the pool's capacity that is served worse than by least slack,
// because steps are sorted by size although the service is not overloaded.
func TestUnderloadMatchesLeastSlack(t *testing.T) {
	b := newBurst(1, 0.7)
	got, _ := b.run()
	baseline := newBurst(1, 0.7)
	baseline.leastSlackOnly = true
	leastSlack, _ := baseline.run()
	require.GreaterOrEqual(t, got, leastSlack-0.02)
}

// Guards against a team that gets most of an overloaded service by submitting twice as many jobs
// as another team of equal weight.
func TestOverloadRespectsTeamShares(t *testing.T) {
	b := newBurst(5, 2)
	_, teams := b.run()
	t.Log(teams)
	require.Greater(t, teams["small"], teams["large"])
}

// servedShare returns the share of the jobs that ended early enough to be of use.
func (b *workload) servedShare() float64 {
	n := 0
	for _, j := range b.jobs {
		if j.ended > 0 && j.ended <= j.arrives+expiryFactor*(j.due()-j.arrives) {
			n++
		}
	}
	return float64(n) / float64(len(b.jobs))
}

// Guards against a backlog that is processed oldest first after an outage, so that each job ends
// when it is of no more use to its caller. Nothing starts for six seconds, while more work arrives
// than the pool can do.
func TestBacklogOfAnOutageServesWhatIsOfUse(t *testing.T) {
	for seed := range uint64(3) {
		b, baseline := newBurst(seed, 1.5), newBurst(seed, 1.5)
		baseline.ignoreExpiry = true
		b.outage, baseline.outage = 6*time.Second, 6*time.Second
		b.run()
		baseline.run()
		t.Logf("seed %d: %.2f of the jobs served, oldest first %.2f", seed, b.servedShare(), baseline.servedShare())
		require.Greater(t, b.servedShare(), baseline.servedShare())
	}
}
