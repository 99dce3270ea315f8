package succession

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/model"
)

const (
	ms  = time.Millisecond
	now = time.Hour
)

// writes returns writes of a duration, newest first, one after the other until now.
func writes(took time.Duration, relayed bool, n int) []Write {
	var out []Write
	for i := range n {
		out = append(out, Write{At: now - time.Duration(i)*(took+25*ms), Took: took, Relayed: relayed})
	}
	return out
}

func candidate(name model.EntryVM, took time.Duration) Candidate {
	return Candidate{Name: name, OtherDC: true, Cores: 1, AnsweredAt: now - 300*ms,
		Reads: []Read{{Number: 2, At: now - 300*ms, Took: took}, {Number: 1, At: now - 650*ms, Took: took}}}
}

// badState is a state in which the role is handed over to b.
func badState() State {
	return State{Now: now, StartedAt: now - time.Minute, Loaded: true, Cores: 1, Writes: writes(400*ms, true, 5), BadSince: now - 1200*ms,
		Candidates: []Candidate{candidate("b", 10*ms)}}
}

// Guards against a handover without need or without a better successor, and against a coordinator that keeps
// the role although its path is bad.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *State)
		reason Reason
		to     model.EntryVM
	}{
		"relayed writes":           {func(*State) {}, BadStorePath, "b"},
		"slow direct writes":       {func(s *State) { s.Writes = writes(300*ms, false, 5) }, BadStorePath, "b"},
		"direct writes of 0.6 s":   {func(s *State) { s.Writes = writes(600*ms, false, 3) }, BadStorePath, "b"},
		"write stuck":              {func(s *State) { s.Writes, s.WriteInProgress = writes(10*ms, false, 5), now-1700*ms }, BadStorePath, "b"},
		"fast writes":              {func(s *State) { s.Writes = writes(10*ms, false, 5) }, Healthy, ""},
		"no write yet":             {func(s *State) { s.Writes = nil }, Healthy, ""},
		"write in progress":        {func(s *State) { s.Writes, s.WriteInProgress = writes(10*ms, false, 5), now-600*ms }, Healthy, ""},
		"one relayed write":        {func(s *State) { s.Writes, s.BadSince = append(writes(20*ms, true, 1), writes(10*ms, false, 4)...), 0 }, Healthy, ""},
		"one slow write":           {func(s *State) { s.Writes, s.BadSince = append(writes(600*ms, false, 1), writes(10*ms, false, 4)...), 0 }, Healthy, ""},
		"slow writes long ago":     {func(s *State) { s.Now += 7 * time.Second }, Healthy, ""},
		"fast relayed writes":      {func(s *State) { s.Writes = writes(20*ms, true, 5) }, NoneBetter, ""},
		"not bad for long":         {func(s *State) { s.BadSince = now - 900*ms }, TooSoon, ""},
		"young term":               {func(s *State) { s.StartedAt = now - 9*time.Second }, TooSoon, ""},
		"earlier handover":         {func(s *State) { s.LastHandover = now - 19*time.Second }, TooSoon, ""},
		"failed try":               {func(s *State) { s.NotBefore = now + ms }, TooSoon, ""},
		"handover long ago":        {func(s *State) { s.LastHandover = now - 21*time.Second }, BadStorePath, "b"},
		"state not loaded":         {func(s *State) { s.Loaded = false }, NotLoaded, ""},
		"no candidate":             {func(s *State) { s.Candidates = nil }, NoneBetter, ""},
		"store slow for all":       {func(s *State) { s.Candidates[0] = candidate("b", 350*ms) }, NoneBetter, ""},
		"gain below a factor of 3": {func(s *State) { s.Writes, s.Candidates[0] = writes(270*ms, true, 5), candidate("b", 95*ms) }, NoneBetter, ""},
		"candidate too small":      {func(s *State) { s.Cores = 2.1 }, NoneBetter, ""},
		"candidate half as large":  {func(s *State) { s.Cores = 2 }, BadStorePath, "b"},
		"candidate shutting down":  {func(s *State) { s.Candidates[0].ShuttingDown = true }, NoneBetter, ""},
		"candidate silent":         {func(s *State) { s.Candidates[0].AnsweredAt = now - 701*ms }, NoneBetter, ""},
		"one read":                 {func(s *State) { s.Candidates[0].Reads = s.Candidates[0].Reads[:1] }, NoneBetter, ""},
		"one slow read":            {func(s *State) { s.Candidates[0].Reads[1].Took = 101 * ms }, NoneBetter, ""},
		"old reads":                {func(s *State) { s.Candidates[0].Reads[1].At = now - 1201*ms }, NoneBetter, ""},
		"faster read first": {func(s *State) {
			s.Candidates = append(s.Candidates, candidate("a", 60*ms))
		}, BadStorePath, "b"},
		"other data centre next": {func(s *State) {
			s.Candidates = append(s.Candidates, candidate("a", 5*ms))
			s.Candidates[1].OtherDC, s.Candidates[1].Cores = false, 4
		}, BadStorePath, "b"},
		"then more cores": {func(s *State) {
			s.Candidates = append(s.Candidates, candidate("a", 12*ms))
			s.Candidates[1].Cores = 2
		}, BadStorePath, "a"},
	} {
		s := badState()
		c.change(&s)
		d := Decide(s)
		require.Equal(t, c.reason, d.Reason, name)
		require.Equal(t, c.to, d.To, name)
	}
}

// Guards against a path that counts as good between two slow writes, and against one that counts as bad for
// ever.
func TestBadPathEndsWithAFastDirectWrite(t *testing.T) {
	s := State{Now: now, StartedAt: now - time.Minute, Loaded: true, Writes: writes(10*ms, false, 5), WriteInProgress: now - 700*ms}
	s.BadSince = Decide(s).BadSince
	require.Equal(t, now, s.BadSince)
	s.Now += 600 * ms
	s.WriteInProgress, s.Writes = 0, AddWrite(s.Writes, Write{At: s.Now, Took: 1300 * ms})
	require.Equal(t, now, Decide(s).BadSince, "the last write was slow")
	s.Now += 35 * ms
	s.Writes = AddWrite(s.Writes, Write{At: s.Now, Took: 10 * ms})
	require.Equal(t, Healthy, Decide(s).Reason)
	require.Zero(t, Decide(s).BadSince)
}

// Guards against calls to the store while no handover can follow, and against a steady load of them while no
// candidate is better.
func TestProbesAreBounded(t *testing.T) {
	s := badState()
	s.Candidates = nil
	require.True(t, Decide(s).Probe)
	for _, change := range []func(*State){
		func(s *State) { s.Writes = writes(10*ms, false, 5) },
		func(s *State) { s.Writes = writes(20*ms, true, 5) },
		func(s *State) { s.StartedAt = now - 8*time.Second },
		func(s *State) { s.LastHandover = now - 18*time.Second },
		func(s *State) { s.Loaded = false },
	} {
		other := s
		change(&other)
		require.False(t, Decide(other).Probe)
	}
	probing := 0
	for i := range 600 { // a minute
		s.BadSince = now - time.Duration(i)*100*ms
		if Decide(s).Probe {
			probing++
		}
	}
	require.Greater(t, probing, 120)
	require.Less(t, probing, 180)
}

// Guards against two reports of one read, or two reads with a failed one between them, that count as two in a
// row.
func TestReadsInARow(t *testing.T) {
	reads := AddRead(nil, Read{Number: 1, At: now - 700*ms, Took: 5 * ms})
	reads = AddRead(reads, Read{Number: 1, At: now - 300*ms, Took: 5 * ms})
	require.False(t, GoodPath(reads, now))
	reads = AddRead(reads, Read{Number: 3, At: now - 300*ms, Took: 5 * ms})
	require.False(t, GoodPath(reads, now))
	reads = AddRead(reads, Read{Number: 4, At: now, Took: 5 * ms})
	require.True(t, GoodPath(reads, now))
	require.Len(t, AddRead(reads, Read{Number: 5}), 2)
}

// Guards against a larger entry VM that gets the role back by its size while its path is bad, and against
// probes of a site on which nothing was handed over.
func TestYieldAfterAHandover(t *testing.T) {
	good := candidate("b", 10*ms).Reads
	require.True(t, YieldAllowed(now, 0, nil))
	require.False(t, YieldAllowed(now, now-time.Minute, nil))
	require.False(t, YieldAllowed(now, now-19*time.Second, good))
	require.True(t, YieldAllowed(now, now-time.Minute, good))
	require.False(t, ProbeForYield(now, 0))
	require.True(t, ProbeForYield(now, now-2*time.Second))
	require.False(t, ProbeForYield(now, now-19*time.Second))
	require.True(t, ProbeForYield(now, now-21*time.Second))
	require.False(t, ProbeForYield(now, now-25*time.Second))
}
