package capacity

import "math"

// Held tells what the machines of a service are held for. The numbers add up to the machines that
// the service has; fractions come from machines that are partly in use.
type Held struct {
	// Running is the running work, in machines. Partial is the rest of the machines on which it runs.
	Running float64 `json:"running"`
	Partial float64 `json:"partial"`
	// Moving machines are on their way to the service.
	Moving float64 `json:"moving"`
	// Target is the empty machines up to the target: reserve, forecast and limits per minion.
	Target float64 `json:"target"`
	// RecentPeak is the empty machines above the target that a recent target keeps.
	RecentPeak float64 `json:"recent_peak"`
	// Releasing is the empty machines above both, which are not idle for long enough or cannot be
	// moved now.
	Releasing float64 `json:"releasing"`
}

// held returns what a service's machines are held for.
func (st *serviceState) held(cpuPerMachine int64) Held {
	var h Held
	inUse := 0.0
	for _, m := range st.machines {
		switch {
		case m.Incoming:
			h.Moving++
		case m.Tasks > 0:
			inUse++
		}
	}
	if cpuPerMachine > 0 {
		h.Running = math.Min(inUse, float64(st.Busy.CPU)/float64(cpuPerMachine))
	}
	h.Partial = inUse - h.Running
	empty := float64(len(st.machines)) - h.Moving - inUse
	// upTo returns how many of the empty machines belong to the first n machines of the service.
	upTo := func(n int) float64 { return math.Min(empty, math.Max(0, float64(n)-h.Moving-inUse)) }
	h.Target = upTo(st.target)
	h.RecentPeak = upTo(max(st.target, st.RecentPeak)) - h.Target
	h.Releasing = empty - h.Target - h.RecentPeak
	return h
}
