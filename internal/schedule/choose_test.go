package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// referenceChoice chooses a minion by comparing all of them, without the shortcuts of planner.choose.
func referenceChoice(table *interference.Table, minions []*Minion, s *Step, t *jobs.Task) *Minion {
	sp := s.StepRun.Spec
	better := func(a, b *Minion) bool {
		for _, penalized := range []func(m *Minion) bool{
			func(m *Minion) bool { return m.Rejecting },
			func(m *Minion) bool { return sp.LongRunning && m.Draining },
			func(m *Minion) bool { return slices.Contains(t.FailedOn, m.ID) },
			func(m *Minion) bool { return m.Suspect },
			func(m *Minion) bool {
				return sp.Scavenger && m.Serving > 0 || sp.TailTarget > 0 && m.Scavengers > 0 || m.Images&table.Avoid(interference.Image(sp.Image)) != 0
			},
			func(m *Minion) bool { return sp.DataRack != "" && sp.DataRack != string(m.Rack) },
			func(m *Minion) bool { return m.Cold && !sp.LongRunning },
		} {
			if x, y := penalized(a), penalized(b); x != y {
				return y
			}
		}
		if sp.LongRunning {
			if a.MaintenanceDue != b.MaintenanceDue {
				return b.MaintenanceDue
			}
			if x, y := a.packsLongRunning(), b.packsLongRunning(); x != y {
				return x
			}
			return a.freeShare() > b.freeShare()
		}
		return a.freeShare() < b.freeShare()
	}
	var best *Minion
	for _, m := range minions {
		if m.accepts(s) && (best == nil || better(m, best)) {
			best = m
		}
	}
	return best
}

// Guards against shortcuts of planner.choose that place a task on another minion than the full
// comparison does, or leave it waiting.
func TestFastChoiceIsThePlainOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pairs []interference.Pair
		image := rapid.SampledFrom([]string{"", "x", "y", "z"})
		for range rapid.IntRange(0, 3).Draw(t, "pairs") {
			pairs = append(pairs, interference.Pair{Subject: interference.Image(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "subject")), Neighbour: interference.Image(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "neighbour"))})
		}
		table := interference.NewTable(pairs)
		var minions []*Minion
		for i := range rapid.IntRange(0, 6).Draw(t, "minions") {
			m := minion(jobs.Minion(fmt.Sprint(i)), rapid.Int64Range(1, 12).Draw(t, "cores"))
			m.Free.CPU -= rapid.Int64Range(0, m.Free.CPU/1000).Draw(t, "used") * 1000
			m.Suspect, m.MaintenanceDue = rapid.Bool().Draw(t, "suspect"), rapid.Bool().Draw(t, "maintenance due")
			m.Rejecting, m.Draining = rapid.Bool().Draw(t, "rejecting"), rapid.Bool().Draw(t, "draining")
			m.Cold = rapid.Bool().Draw(t, "cold")
			m.Serving, m.Scavengers, m.LongRunning = rapid.IntRange(0, 1).Draw(t, "serving"), rapid.IntRange(0, 1).Draw(t, "scavenger"), rapid.IntRange(0, 4).Draw(t, "long-running")
			m.Rack = model.Rack(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"))
			m.TasksPerStep = map[*jobs.StepRun]int{}
			m.interference, m.Images = table, table.Bit(interference.Image(image.Draw(t, "beside")))
			minions = append(minions, &m)
		}
		p := planner{snap: &Snapshot{Interference: table}, unplaceable: map[model.Service]jobs.Resources{}}
		for i := range rapid.IntRange(1, 5).Draw(t, "steps") {
			spec := jobs.Step{Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: need(rapid.Int64Range(0, 5).Draw(t, "need")),
				LongRunning: rapid.Bool().Draw(t, "long-running"), Scavenger: rapid.Bool().Draw(t, "scavenger"), MaxPerMinion: rapid.IntRange(0, 2).Draw(t, "per"),
				Label: rapid.SampledFrom([]string{"", "", "a", "r1"}).Draw(t, "label"), DataRack: rapid.SampledFrom([]string{"", "r1"}).Draw(t, "data"), Image: image.Draw(t, "image")}
			if rapid.Bool().Draw(t, "tail") {
				spec.TailTarget = time.Second
			}
			s := stepOf(jobs.ID(fmt.Sprint(i)), spec)
			p.lastBest = nil
			p.findAvoided(&s)
			for _, x := range s.Waiting {
				if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
					x.FailedOn = []jobs.Minion{jobs.Minion(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "on")))}
				}
				want := referenceChoice(table, minions, &s, x)
				got := p.choose(minions, &s, x)
				require.True(t, want == got, "step %d: got %v, want %v", i, got, want)
				if got == nil {
					break
				}
				got.Reserve(s.StepRun)
			}
		}
	})
}
