package poolmodel

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"boragepulley/internal/invariant"
	"boragepulley/internal/model"
)

// Policy decides about moves.
type Policy string

const (
	// Never moves no VM.
	Never Policy = "never move"
	// AtOnce follows the demand at once.
	AtOnce Policy = "follow at once"
	// Lasting is the policy of package pools.
	Lasting Policy = "policy"
)

// Result is what one run measured.
type Result struct {
	Site    string
	Profile string
	Policy  Policy
	// Buffer is the time that VMs were idle in the spare pool, in VM-seconds.
	Buffer float64
	// Rollout is the duration of the wave; 0 if it did not finish in the run.
	Rollout time.Duration
	// JobMoves counts requests that started in another data centre than the one they
	// arrived in, VMMoves moves of VMs in either direction.
	JobMoves, VMMoves int
	// Closeness is 1 - half the sum over teams of |used part - share part|, the mean over
	// the seconds in which a service was full.
	Closeness float64
	// Refused counts requests that were not run, Late those that started late.
	Requests, Refused, Late int
}

// Run runs one model.
func Run(name string, p Profile, policy Policy, seed uint64) (Result, error) {
	cfg, err := load(name)
	if err != nil {
		return Result{}, err
	}
	s := newSite(cfg, p, policy, seed)
	for n := range int(Length / tick) {
		s.step(n)
	}
	s.result.Site, s.result.Profile, s.result.Policy = name, p.Name, policy
	s.result.Closeness = s.close / math.Max(1, float64(s.closeN))
	return s.result, nil
}

// measure counts the reserve and checks the budgets of the fleet.
func (s *site) measure() {
	out := map[model.Service]int{}
	for _, v := range s.vms {
		if v.State == model.VMServing && s.service[v.Pool] == "" {
			s.result.Buffer += tick.Seconds()
		}
		if v.State != model.VMServing {
			out[s.service[v.Pool]]++
		}
	}
	for _, b := range s.cfg.Budgets {
		if b.Scope == "fleet" {
			invariant.Check(out[b.Service] <= b.MaxUnavailable, invariant.AvailabilityBudget, "%d VMs of service %s are out in the model, at most %d", out[b.Service], b.Service, b.MaxUnavailable)
		}
	}
}

// closeness compares the teams' use of full services with their shares. Teams that have
// no work there are left out.
func (s *site) closeness() {
	used, total, shares := make([]float64, len(s.cfg.Teams)), 0.0, 0.0
	active := make([]bool, len(s.cfg.Teams))
	for i := range s.cfg.Services {
		free, waiting := 0, 0
		for d := range s.cfg.DataCentres {
			free += s.free(i, d)
			waiting += s.queues[i][d].n
		}
		if free > 0 || waiting == 0 {
			continue
		}
		for d := range s.cfg.DataCentres {
			for t, jobs := range s.queues[i][d].waiting {
				active[t] = active[t] || len(jobs) > 0
			}
		}
		for _, v := range s.vms {
			if s.service[v.Pool] == s.cfg.Services[i].Name {
				for _, r := range v.running {
					used[r.team]++
					total++
					active[r.team] = true
				}
			}
		}
	}
	if total == 0 {
		return
	}
	for t, on := range active {
		if on {
			shares += float64(s.cfg.Teams[t].Share)
		}
	}
	sum := 0.0
	for t, on := range active {
		if on {
			sum += math.Abs(used[t]/total - float64(s.cfg.Teams[t].Share)/shares)
		}
	}
	s.close += 1 - sum/2
	s.closeN++
}

// Compare runs all policies on the profiles and prints one line for each run.
func Compare(w io.Writer, sites []string, profiles []Profile, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| site\t| profile\t| policy\t| buffer, VM-s\t| roll-out, s\t| job moves\t| VM moves\t| share closeness\t| refused\t| late\t| requests\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, name := range sites {
		for _, p := range profiles {
			for _, policy := range []Policy{Never, AtOnce, Lasting} {
				r, err := Run(name, p, policy, seed)
				if err != nil {
					return err
				}
				rollout := "not finished"
				if r.Rollout > 0 {
					rollout = fmt.Sprintf("%.0f", r.Rollout.Seconds())
				}
				fmt.Fprintf(t, "| %s\t| %s\t| %s\t| %.0f\t| %s\t| %d\t| %d\t| %.3f\t| %d\t| %d\t| %d\t|\n",
					r.Site, r.Profile, r.Policy, r.Buffer, rollout, r.JobMoves, r.VMMoves, r.Closeness, r.Refused, r.Late, r.Requests)
			}
		}
	}
	return t.Flush()
}
