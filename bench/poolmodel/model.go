package poolmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"boragepulley/examples"
	"boragepulley/internal/config"
	"boragepulley/internal/model"
	"boragepulley/internal/pools"
)

// epoch is the model's time 0.
var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// job is a waiting request.
type job struct {
	arrived time.Time
	run     time.Duration
	moved   bool
}

// running is a request on a VM.
type running struct {
	team int
	end  time.Time
}

// vm is a VM with its minion.
type vm struct {
	pools.VM
	dc      int
	running []running
	since   time.Time
	// until is when the reboot ends; moving is whether the VM is on its way to a pool.
	until  time.Time
	moving bool
	began  time.Time
}

// queue holds the waiting requests of a service in a data centre, by team.
type queue struct {
	waiting [][]job
	n       int
}

// site is the state of the model.
type site struct {
	cfg      *config.Site
	profile  Profile
	policy   Policy
	arrivals *rand.Rand
	reboots  *rand.Rand
	now      time.Time
	vms      []*vm
	service  map[model.Pool]model.Service
	index    map[model.Service]int
	parts    [][]pools.Pool // by data centre
	slots    [][]int        // home slots by service and data centre
	queues   [][]*queue     // by service and data centre
	trackers []map[model.Service]*pools.Tracker
	used     []int // running by team
	moveTime time.Duration
	wave     config.Wave
	done     map[string]map[model.VM]bool
	result   Result
	close    float64
	closeN   int
}

// load reads the files of a user's site.
func load(name string) (*config.Site, error) {
	files, err := examples.Site(name)
	if err != nil {
		return nil, err
	}
	cfg, faults := config.Parse(files)
	if cfg == nil {
		return nil, errors.Wrapf(faults, "site %s", name)
	}
	return cfg, nil
}

func newSite(cfg *config.Site, p Profile, policy Policy, seed uint64) *site {
	s := &site{cfg: cfg, profile: p, policy: policy, now: epoch, arrivals: rand.New(rand.NewPCG(seed, 1)), reboots: rand.New(rand.NewPCG(seed, 2)),
		service: map[model.Pool]model.Service{}, index: map[model.Service]int{}, used: make([]int, len(cfg.Teams)),
		moveTime: (rebootMin+rebootMax)/2 + meanRun, wave: cfg.Waves[0]}
	s.wave.Start = epoch.Add(waveStart)
	s.done = map[string]map[model.VM]bool{s.wave.Name: {}}
	for _, x := range cfg.Pools {
		s.service[x.Name] = x.Service
	}
	dcs := map[model.DataCentre]int{}
	for i, dc := range cfg.DataCentres {
		dcs[dc.Name] = i
		s.parts = append(s.parts, pools.LocalPools(cfg, dc.Name))
		s.trackers = append(s.trackers, map[model.Service]*pools.Tracker{})
	}
	for i, svc := range cfg.Services {
		s.index[svc.Name] = i
		s.slots = append(s.slots, make([]int, len(dcs)))
		s.queues = append(s.queues, make([]*queue, len(dcs)))
		for d := range dcs {
			s.queues[i][dcs[d]] = &queue{waiting: make([][]job, len(cfg.Teams))}
			s.trackers[dcs[d]][svc.Name] = pools.NewTracker()
		}
	}
	for _, v := range cfg.VMs {
		s.vms = append(s.vms, &vm{VM: pools.VM{Name: v.Name, Rack: v.Rack, Home: v.Pool, Pool: v.Pool, State: model.VMServing, Slots: v.Slots}, dc: dcs[v.DC], since: epoch})
		if svc := s.service[v.Pool]; svc != "" {
			s.slots[s.index[svc]][dcs[v.DC]] += v.Slots
		}
	}
	return s
}

// step advances by one tick.
func (s *site) step(n int) {
	s.now = epoch.Add(time.Duration(n) * tick)
	s.finish()
	s.expire()
	for i := range s.cfg.Services {
		s.arrive(i)
		for d := range s.cfg.DataCentres {
			s.grant(i, d)
		}
	}
	if n%int(time.Second/tick) == 0 {
		s.second(n)
	}
	s.measure()
}

// finish ends requests, drains and reboots whose time has come.
func (s *site) finish() {
	for _, v := range s.vms {
		kept := v.running[:0]
		for _, r := range v.running {
			if r.end.After(s.now) {
				kept = append(kept, r)
			} else {
				s.used[r.team]--
			}
		}
		v.running = kept
		switch {
		case v.moving && v.State == model.VMDraining && len(v.running) == 0:
			v.Pool, v.Target = v.Target, ""
			s.reboot(v)
		case v.moving && v.State == model.VMRebooting && !s.now.Before(v.until):
			v.moving, v.MovedAt = false, s.now
			s.enter(v, model.VMServing)
			s.moveTime += (s.now.Sub(v.began) - s.moveTime) / 8
			if !v.began.Before(s.wave.Start) {
				s.done[s.wave.Name][v.Name] = true
			}
		}
	}
}

func (s *site) enter(v *vm, state model.VMState) { v.State, v.since = state, s.now }

func (s *site) reboot(v *vm) {
	s.enter(v, model.VMRebooting)
	v.until = s.now.Add(rebootMin + time.Duration(s.reboots.Int64N(int64(rebootMax-rebootMin))))
}

// expire refuses requests that waited until their deadline.
func (s *site) expire() {
	for _, dcs := range s.queues {
		for _, q := range dcs {
			for t, jobs := range q.waiting {
				for len(jobs) > 0 && s.now.Sub(jobs[0].arrived) >= deadline {
					jobs = jobs[1:]
					q.n--
					s.result.Refused++
				}
				q.waiting[t] = jobs
			}
		}
	}
}

// arrive adds the requests of one tick for a service. What is drawn does not depend on the
// state, so that all policies see the same requests.
func (s *site) arrive(i int) {
	slots := 0
	for _, n := range s.slots[i] {
		slots += n
	}
	rate := s.profile.load(i, len(s.cfg.Services), s.now.Sub(epoch)) * float64(slots) / meanRun.Seconds()
	for range poisson(s.arrivals, rate*tick.Seconds()) {
		team, d := pick(s.arrivals, teamLoad), 0
		for n := s.arrivals.IntN(slots); n >= s.slots[i][d]; d++ {
			n -= s.slots[i][d]
		}
		j := job{arrived: s.now, run: min(maxRun, time.Duration(s.arrivals.ExpFloat64()*float64(meanRun)))}
		s.result.Requests++
		if s.free(i, d) <= s.queues[i][d].n {
			for other := range s.cfg.DataCentres {
				if s.free(i, other) > s.queues[i][other].n {
					d, j.moved = other, true
					break
				}
			}
		}
		q := s.queues[i][d]
		if q.n >= maxWaiting {
			s.result.Refused++
			continue
		}
		q.waiting[team] = append(q.waiting[team], j)
		q.n++
	}
}

// serves reports whether the VM takes requests of the service in the data centre.
func (s *site) serves(v *vm, i, d int) bool {
	return v.dc == d && v.State == model.VMServing && s.service[v.Pool] == s.cfg.Services[i].Name
}

func (s *site) free(i, d int) int {
	n := 0
	for _, v := range s.vms {
		if s.serves(v, i, d) {
			n += v.Slots - len(v.running)
		}
	}
	return n
}

// grant starts waiting requests on free slots: the team with the lowest usage by share
// first, within the teams' limits.
func (s *site) grant(i, d int) {
	q := s.queues[i][d]
	for _, v := range s.vms {
		for q.n > 0 && s.serves(v, i, d) && len(v.running) < v.Slots {
			best, ratio := -1, math.Inf(1)
			for t, jobs := range q.waiting {
				r := float64(s.used[t]) / float64(s.cfg.Teams[t].Share)
				if len(jobs) > 0 && s.used[t] < s.cfg.Teams[t].Limit && r < ratio {
					best, ratio = t, r
				}
			}
			if best < 0 {
				return
			}
			j := q.waiting[best][0]
			q.waiting[best] = q.waiting[best][1:]
			q.n--
			s.used[best]++
			v.running = append(v.running, running{team: best, end: s.now.Add(j.run)})
			if s.now.Sub(j.arrived) > lateAfter {
				s.result.Late++
			}
			if j.moved {
				s.result.JobMoves++
			}
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		p *= r.Float64()
		n++
	}
	return n
}

func pick(r *rand.Rand, weights []float64) int {
	x := r.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
