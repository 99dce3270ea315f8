package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/model"
)

// slowdown is a table in which x slows down y.
func slowdown(x, y interference.Image) *interference.Table {
	return interference.NewTable([]interference.Pair{{Subject: y, Neighbour: x}})
}

// imageStep returns a step of n tasks of one core with an image.
func imageStep(id jobs.ID, image string, n int) Step {
	return stepOf(id, jobs.Step{Count: n, Need: need(1), Image: image})
}

// Guards against tasks that are placed beside a task which they slow down, or which slows them down, while
// another minion has room, and against capacity that is left idle for that.
func TestKeepsInterferingTasksApartWhileThereIsRoom(t *testing.T) {
	table := slowdown("x", "y")
	for _, started := range []string{"x", "y"} {
		a, b := minion("a", 4), minion("b", 4)
		a.Free.CPU = 2000 // the fuller one is preferred otherwise
		a.Images = table.Bits(map[interference.Image]int{"x": 1, "y": 1})
		p := NewPlan(&Snapshot{Interference: table, Steps: []Step{imageStep("1", started, 7)}, Minions: []Minion{a, b}})
		require.Len(t, p.Start, 6, "all capacity is used")
		var avoided []Avoided
		for i, s := range p.Start {
			if i >= 4 {
				require.Equal(t, jobs.Minion("a"), s.Minion, "task %d", i)
				continue
			}
			avoided = append(avoided, Avoided{Assignment{s.Task, "b"}, "a"})
		}
		require.Equal(t, avoided, p.Avoided)
	}
	a, b := minion("a", 4), minion("b", 4)
	a.Free.CPU, a.Images = 3000, table.Bit("x")
	p := NewPlan(&Snapshot{Interference: table, Steps: []Step{imageStep("1", "x", 1), imageStep("2", "z", 1), imageStep("3", "", 1)}, Minions: []Minion{a, b}})
	require.Len(t, p.Start, 3)
	for _, s := range p.Start {
		require.Equal(t, jobs.Minion("a"), s.Minion, "other images and tasks without one are placed as before")
	}
	require.Empty(t, p.Avoided)
}

// Guards against tasks that are placed beside one that the same plan has started.
func TestKeepsTasksOfOnePlanApart(t *testing.T) {
	p := NewPlan(&Snapshot{Interference: slowdown("x", "y"), Steps: []Step{imageStep("1", "x", 2), imageStep("2", "y", 2)}, Minions: []Minion{minion("a", 4), minion("b", 4)}})
	on := map[string]jobs.Minion{}
	for _, s := range p.Start {
		image := s.Task.Step.Spec.Image
		require.Contains(t, []jobs.Minion{"", s.Minion}, on[image])
		on[image] = s.Minion
	}
	require.NotEqual(t, on["x"], on["y"])

	p = NewPlan(&Snapshot{Interference: slowdown("x", "x"), Steps: []Step{imageStep("1", "x", 2)}, Minions: []Minion{minion("a", 4), minion("b", 4)}})
	require.Len(t, p.Start, 2)
	require.NotEqual(t, p.Start[0].Minion, p.Start[1].Minion, "an image that slows itself down")
}

// Guards against images of a gang that did not fit, which would keep other tasks away from its minions.
func TestGangThatDoesNotFitLeavesNoImages(t *testing.T) {
	gang := stepOf("1", jobs.Step{Count: 9, Need: need(1), Gang: true, Image: "x"})
	single := imageStep("2", "y", 1)
	gang.Deadline, single.Deadline = time.Second, 2*time.Second // the gang comes first
	snap := &Snapshot{Interference: slowdown("x", "y"), Steps: []Step{gang, single}, Minions: []Minion{minion("a", 4), minion("b", 4)}}
	p := NewPlan(snap)
	require.Len(t, p.Start, 1)
	require.Empty(t, p.Avoided)
	for _, m := range snap.Minions {
		if m.ID != p.Start[0].Minion {
			require.Zero(t, m.Images)
		}
	}
}

// Guards against a next place of a relocated task that is beside one to avoid, and against no place instead.
func TestRelocationAvoidsInterferingNeighbours(t *testing.T) {
	table := slowdown("x", "y")
	draining, beside, other := minionWith("a", 4000), minionWith("b", 4000), minionWith("c", 2000)
	draining.Draining, beside.Images = true, table.Bit("x")
	s := longRunningStep(2000, 0, 0, 1)
	s.StepRun.Spec.Image = "y"
	p := NewPlan(&Snapshot{Interference: table, Minions: []Minion{draining, beside, other}, Steps: []Step{s}})
	require.Equal(t, []Assignment{{s.Relocating[0], "c"}}, p.Relocate)
	p = NewPlan(&Snapshot{Interference: table, Minions: []Minion{draining, beside}, Steps: []Step{s}})
	require.Equal(t, []Assignment{{s.Relocating[0], "b"}}, p.Relocate)
}

// BenchmarkInterference measures a plan of 256 starts on 350 minions: of tasks without images, with images of
// which no pair is known, with known pairs, and with images that slow themselves down, for each task of which all minions are compared.
func BenchmarkInterference(b *testing.B) {
	image := func(i int) string { return fmt.Sprint("image", i%12) }
	var pairs, own []interference.Pair
	for i := range 12 {
		own = append(own, interference.Pair{Subject: interference.Image(image(i)), Neighbour: interference.Image(image(i))})
	}
	for i := range 6 {
		pairs = append(pairs, interference.Pair{Subject: interference.Image(image(i)), Neighbour: interference.Image(image(i + 3))})
	}
	for _, c := range []struct {
		name   string
		images bool
		table  *interference.Table
	}{{"no-images", false, nil}, {"no-pairs", true, nil}, {"pairs", true, interference.NewTable(pairs)}, {"own", true, interference.NewTable(own)}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				snap := &Snapshot{Teams: map[model.Team]*Team{"t": {}}, Interference: c.table}
				for i := range 350 {
					m := minion(jobs.Minion(fmt.Sprint(i)), 64)
					m.Images = c.table.Bit(interference.Image(image(i)))
					snap.Minions = append(snap.Minions, m)
				}
				for i := range 32 {
					s := stepOf(jobs.ID(fmt.Sprint(i)), jobs.Step{Count: 8, Need: need(4)})
					if c.images {
						s.StepRun.Spec.Image = image(i)
					}
					snap.Steps = append(snap.Steps, s)
				}
				b.StartTimer()
				if p := NewPlan(snap); len(p.Start) != 256 {
					b.Fatal(len(p.Start))
				}
			}
		})
	}
}
