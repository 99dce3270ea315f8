package schedule

import (
	"time"

	"boragepulley/internal/model"
)

// overloadThreshold is how long a service's minions would work on the jobs that wait and can be
// in time before it counts as overloaded. Jobs can wait about so long and still be in time:
// the users' objectives are 1.6 times the longest chain of 1.3 s to 3.4 s, and 0.6 s more.
const overloadThreshold = 800 * time.Millisecond

// serviceLoad is what the plan knows of a service that is asked for more than its pool holds.
type serviceLoad struct {
	// milliCores is the capacity of the service's minions in thousandths of a core.
	milliCores int64
	// waitingWork is the work that waits and can be in time, in core-seconds.
	waitingWork float64
	// totalWeight is the sum of the totalWeight of the teams with work here, each counted in teams.
	totalWeight float64
	weights     map[model.Team]float64
	// inUse is what each team has running, in thousandths of a core; the plan adds to it.
	inUse map[model.Team]int64
}

func (p *serviceLoad) overloaded() bool {
	return p.waitingWork*1000 > float64(p.milliCores)*overloadThreshold.Seconds()
}

// serviceLoads returns the pressure on each service with minions.
func serviceLoads(s *Snapshot) map[model.Service]*serviceLoad {
	out := map[model.Service]*serviceLoad{}
	for i := range s.Minions {
		m := &s.Minions[i]
		p := out[m.Service]
		if p == nil {
			p = &serviceLoad{weights: map[model.Team]float64{}, inUse: s.InUse[m.Service]}
			if p.inUse == nil {
				p.inUse = map[model.Team]int64{}
			}
			out[m.Service] = p
			for team := range p.inUse {
				p.addTeam(team, s.Teams)
			}
		}
		p.milliCores += m.Capacity.CPU
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		p := out[st.Service]
		if p == nil || st.StepRun.Spec.LongRunning {
			continue
		}
		p.addTeam(st.Team, s.Teams)
		if st.rank(s.Now) == rankInTime {
			p.waitingWork += st.RemainingWork
		}
	}
	return out
}

func (p *serviceLoad) addTeam(name model.Team, teams map[model.Team]*Team) {
	if _, ok := p.weights[name]; ok {
		return
	}
	weight := 1.0
	if t := teams[name]; t != nil && t.Weight > 0 {
		weight = t.Weight
	}
	p.weights[name] = weight
	p.totalWeight += weight
}

// exceedsFairShare reports whether a team has more of an overloaded service than its share among
// the teams with work there.
func (p *serviceLoad) exceedsFairShare(name model.Team) bool {
	return p.overloaded() && float64(p.inUse[name]) > float64(p.milliCores)*p.weights[name]/p.totalWeight
}
