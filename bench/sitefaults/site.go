package sitefaults

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"boragepulley/internal/jobs"
	"boragepulley/standins/siteplatform"
)

// clockStart returns where the clock of each incarnation of a minion starts: a new one is as often ahead of the
// one before as behind it.
func clockStart(seed uint64) func(jobs.Minion) int64 {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	return func(jobs.Minion) int64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Int64N(maxClockStart)
	}
}

// maxClockStart is in milliseconds.
const maxClockStart = 9_000_000

// Times of the stand-in, as on the users' sites.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
	heartbeat  = 1500 * time.Millisecond
	stopTime   = 400 * time.Millisecond
)

// retention is how long an entry VM answers for a job after its end, short enough to end within a run.
const retention = 15 * time.Second

// slowestClock is the lowest rate of a minion's clock.
const slowestClock = 0.98

// clockRate draws how fast the minions' clocks run: half of them are right.
func clockRate(seed uint64) func(jobs.Minion) float64 {
	return func(id jobs.Minion) float64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id)) // never fails
		rng := rand.New(rand.NewPCG(seed, h.Sum64()))
		if rng.IntN(2) == 0 {
			return 1
		}
		return 1 - (1-slowestClock)*rng.Float64()
	}
}

const (
	apiKey   = "key-1"
	jobsHost = "jobs.example"
	// shortRun is the mean run time of a short task.
	shortRun = 800 * time.Millisecond
	// machinesPerService and spareMachines make up the site.
	machinesPerService = 4
	spareMachines      = 2
)

// services run tasks; machines that neither needs are in sparePool.
var services = []string{"svc-a", "svc-b"}

const sparePool = "svc-spare"

// jobSpec is a job as a caller hands it in.
type jobSpec struct {
	ID      string
	Service string
	Long    bool
	Count   int
	CPU     int64
	Steps   int
	body    []byte
}

func (j *jobSpec) path() string {
	if j.Service == roaming {
		return roamingPrefix + j.ID
	}
	kind := "short"
	if j.Long {
		kind = "long"
	}
	return "/" + j.Service + "/" + kind + "/" + j.ID
}

// tasks returns the names of a job's tasks.
func (j *jobSpec) tasks() []string {
	var out []string
	for s := range j.Steps {
		for i := range j.Count {
			out = append(out, j.ID+".0."+strconv.Itoa(s)+"."+strconv.Itoa(i))
		}
	}
	return out
}

// catalogue holds all jobs by id.
type catalogue struct {
	mu   sync.Mutex
	byID map[string]*jobSpec // guarded by mu
}

func (c *catalogue) add(j *jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[j.ID] = j
}

func (c *catalogue) ofTask(task string) *jobSpec {
	id, _, _ := strings.Cut(task, ".")
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *catalogue) need(task string) jobs.Resources {
	if j := c.ofTask(task); j != nil {
		return jobs.Resources{CPU: j.CPU, MemoryMB: taskMemoryMB}
	}
	return jobs.Resources{}
}

const (
	taskMemoryMB = 256
	// failingRuns of hundred runs of a long-running task fail after 2 to 12 s.
	failingRuns = 15
)

// work decides how long a run takes, by its name alone, so that a seed repeats it.
func (c *catalogue) work(task string, run int) (time.Duration, jobs.End) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task + "/" + strconv.Itoa(run))) // never fails
	n := h.Sum32()
	j := c.ofTask(task)
	if j != nil && j.Long {
		if n%100 < failingRuns {
			return 2*time.Second + time.Duration(n/100%10000)*time.Millisecond, jobs.EndFailed
		}
		return 0, jobs.EndDone
	}
	return shortRun/2 + time.Duration(n%uint32(shortRun.Milliseconds()))*time.Millisecond, jobs.EndDone
}

// machineSpecs returns the machines of the site: two racks in each of two zones.
func machineSpecs() []siteplatform.MachineSpec {
	var out []siteplatform.MachineSpec
	add := func(pool string, n int) {
		for range n {
			i := len(out)
			out = append(out, siteplatform.MachineSpec{Name: "m" + strconv.Itoa(i), Pool: pool, Rack: []string{"hall-1", "bay-1", "hall-2", "bay-2"}[i%4]})
		}
	}
	for _, s := range services {
		add(s, machinesPerService)
	}
	add(sparePool, spareMachines)
	return out
}

// roaming stands for the service of the queue that each configuration sends elsewhere.
const roaming, roamingPrefix = "roaming", "/roaming/"

// Each configuration withdraws the key and the queue that the one before it added.
func addedKey(n int) string    { return "key-added-" + strconv.Itoa(n) }
func addedPrefix(n int) string { return "/added-" + strconv.Itoa(n) + "/" }

// serviceOf returns the service that runs the tasks of jobs for service in configuration n.
func serviceOf(service string, n int) string {
	if service == roaming {
		return services[n%len(services)]
	}
	return service
}

// config returns the operators' configuration n.
func config(n int) map[string]any {
	var routes, pools []map[string]any
	for _, prefix := range []string{roamingPrefix, addedPrefix(n)} {
		routes = append(routes, map[string]any{"name": strings.Trim(prefix, "/"), "host": jobsHost, "prefix": prefix, "service": serviceOf(roaming, n),
			"priority": 1, "max_attempts": 3, "stretch": 2, "target_duration_ms": 2500})
	}
	for _, s := range services {
		for _, kind := range []string{"short", "long"} {
			routes = append(routes, map[string]any{"name": s + "-" + kind, "host": jobsHost, "prefix": "/" + s + "/" + kind + "/", "service": s,
				"priority": 1, "max_attempts": 3, "stretch": 2, "target_duration_ms": 2500})
		}
		pools = append(pools, map[string]any{"name": s, "rejects_overload": true})
	}
	pools = append(pools, map[string]any{"name": sparePool, "rejects_overload": true})
	return map[string]any{"version": 7 + 3*n, "routes": routes, "services": pools, "limits": map[string]any{"max_body_bytes": 262144},
		"tenants": []map[string]any{{"name": "t1", "api_keys": []string{apiKey, addedKey(n)}, "weight": 50, "cap": map[string]int64{}}}}
}
