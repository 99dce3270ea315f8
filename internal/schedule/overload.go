package schedule

import (
	"time"

	"boragepulley/internal/model"
)

// overloadAfter is how long a service's minions would work on the jobs that wait and can be
// in time before it counts as overloaded. Jobs can wait about so long and still be in time:
// the users' objectives are 1.6 times the longest chain of 1.3 s to 3.4 s, and 0.6 s more.
const overloadAfter = 800 * time.Millisecond

// pressure is what the plan knows of a service that is asked for more than its pool holds.
type pressure struct {
	// cores is the capacity of the service's minions in thousandths of a core.
	cores int64
	// waiting is the work that waits and can be in time, in core-seconds.
	waiting float64
	// weights is the sum of the weights of the teams with work here, each counted in teams.
	weights float64
	teams   map[model.Team]float64
	// inUse is what each team has running, in thousandths of a core; the plan adds to it.
	inUse map[model.Team]int64
}

func (p *pressure) overloaded() bool {
	return p.waiting*1000 > float64(p.cores)*overloadAfter.Seconds()
}

// pressures returns the pressure on each service with minions.
func pressures(s *Snapshot) map[model.Service]*pressure {
	out := map[model.Service]*pressure{}
	for i := range s.Minions {
		m := &s.Minions[i]
		p := out[m.Service]
		if p == nil {
			p = &pressure{teams: map[model.Team]float64{}, inUse: s.InUse[m.Service]}
			if p.inUse == nil {
				p.inUse = map[model.Team]int64{}
			}
			out[m.Service] = p
			for team := range p.inUse {
				p.count(team, s.Teams)
			}
		}
		p.cores += m.Capacity.CPU
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		p := out[st.Service]
		if p == nil || st.Run.Spec.Lasting {
			continue
		}
		p.count(st.Team, s.Teams)
		if st.rank(s.Now) == rankInTime {
			p.waiting += st.Work
		}
	}
	return out
}

func (p *pressure) count(name model.Team, teams map[model.Team]*Team) {
	if _, ok := p.teams[name]; ok {
		return
	}
	weight := 1.0
	if t := teams[name]; t != nil && t.Weight > 0 {
		weight = t.Weight
	}
	p.teams[name] = weight
	p.weights += weight
}

// beyondShare reports whether a team has more of an overloaded service than its share among
// the teams with work there.
func (p *pressure) beyondShare(name model.Team) bool {
	return p.overloaded() && float64(p.inUse[name]) > float64(p.cores)*p.teams[name]/p.weights
}
