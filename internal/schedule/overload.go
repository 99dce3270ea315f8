package schedule

import (
	"time"

	"boragepulley/internal/model"
)

// overloadThreshold is the time that a service's minions would need for the waiting work that can
// end in time, beyond which the service counts as overloaded. It is about how long a job can wait
// and still meet its objective: 1.6 times its critical path of 1.3 s to 3.4 s, plus 0.6 s.
const overloadThreshold = 800 * time.Millisecond

// serviceLoad is the load of one service, from which overload and fair shares are computed.
type serviceLoad struct {
	// milliCores is the capacity of the service's minions, in thousandths of a core.
	milliCores int64
	// waitingWork is the waiting work that can still end in time, in core-seconds.
	waitingWork float64
	// weights holds the weight of each team with running or waiting work; totalWeight is the sum.
	totalWeight float64
	weights     map[model.Team]float64
	// inUse is the CPU in use by each team, in thousandths of a core. The planner adds the tasks
	// that it places.
	inUse map[model.Team]int64
}

func (l *serviceLoad) overloaded() bool {
	return l.waitingWork*1000 > float64(l.milliCores)*overloadThreshold.Seconds()
}

// serviceLoads returns the load of each service that has minions.
func serviceLoads(s *Snapshot) map[model.Service]*serviceLoad {
	out := map[model.Service]*serviceLoad{}
	for i := range s.Minions {
		m := &s.Minions[i]
		l := out[m.Service]
		if l == nil {
			l = &serviceLoad{weights: map[model.Team]float64{}, inUse: s.InUse[m.Service]}
			if l.inUse == nil {
				l.inUse = map[model.Team]int64{}
			}
			out[m.Service] = l
			for team := range l.inUse {
				l.addTeam(team, s.Teams)
			}
		}
		l.milliCores += m.Capacity.CPU
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		l := out[st.Service]
		if l == nil || st.StepRun.Spec.LongRunning {
			continue
		}
		l.addTeam(st.Team, s.Teams)
		if st.rank(s.Now) == rankInTime {
			l.waitingWork += st.RemainingWork
		}
	}
	return out
}

// addTeam adds the weight of a team that has work on the service, once.
func (l *serviceLoad) addTeam(name model.Team, teams map[model.Team]*Team) {
	if _, ok := l.weights[name]; ok {
		return
	}
	weight := 1.0
	if t := teams[name]; t != nil && t.Weight > 0 {
		weight = t.Weight
	}
	l.weights[name] = weight
	l.totalWeight += weight
}

// exceedsFairShare reports whether the service is overloaded and a team uses more than its
// weighted share among the teams with work on it.
func (l *serviceLoad) exceedsFairShare(name model.Team) bool {
	return l.overloaded() && float64(l.inUse[name]) > float64(l.milliCores)*l.weights[name]/l.totalWeight
}
