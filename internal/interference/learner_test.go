package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// world draws samples of images whose true effects are known.
type world struct {
	rng *rand.Rand
	l   *Learner
	now time.Duration
	// stretch holds the pairs with an effect, slow the minions that are slower than others.
	stretch map[Pair]float64
	slow    map[Minion]float64
	// deviation is that of the logarithm of a duration.
	deviation float64
	// group and factor are those of the next samples; factor 0 is 1.
	group   string
	factor  float64
	trusted map[Pair]bool
}

func newWorld(seed uint64) *world {
	return &world{rng: rand.New(rand.NewPCG(seed, 1)), l: NewLearner(), stretch: map[Pair]float64{}, slow: map[Minion]float64{}, deviation: 0.2, trusted: map[Pair]bool{}}
}

func image(i int) Image { return Image(fmt.Sprint("image", i)) }

// run adds one sample of image i with neighbours on a minion, 20 ms after the last one.
func (w *world) run(i Image, on Minion, beside ...Exposure) {
	w.now += 20 * time.Millisecond
	v := 640.0 * math.Exp(w.deviation*w.rng.NormFloat64())
	if w.factor != 0 {
		v *= w.factor
	}
	for _, n := range beside {
		if f := w.stretch[Pair{i, n.Image}]; f != 0 {
			v *= math.Pow(f, n.Share)
		}
	}
	if f := w.slow[on]; f != 0 {
		v *= f
	}
	for _, c := range w.l.Add(Sample{Image: i, Minion: on, Group: w.group, Value: v, Neighbours: beside, At: w.now}) {
		w.trusted[c.Pair] = c.Trusted
	}
}

// runRandom adds n samples of images drawn from six, each with a random share of some others.
func (w *world) runRandom(n int) {
	for range n {
		var beside []Exposure
		for k := range 6 {
			if w.rng.IntN(3) == 0 {
				beside = append(beside, Exposure{image(k), w.rng.Float64()})
			}
		}
		w.run(image(w.rng.IntN(6)), Minion(fmt.Sprint(w.rng.IntN(60))), beside...)
	}
}

func (w *world) pairs() (out []Pair) {
	for p, ok := range w.trusted {
		if ok {
			out = append(out, p)
		}
	}
	return out
}

// Guards against a pair that is not found, or found with a wrong direction or factor.
func TestFindsThePairThatSlowsDown(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		a, b := Pair{image(1), image(4)}, Pair{image(4), image(1)}
		w.stretch[a], w.stretch[b] = 1.5, 1.5
		w.runRandom(2400)
		require.ElementsMatch(t, []Pair{a, b}, w.pairs(), "seed %d", seed)
		s := w.l.subjects[image(1)]
		require.InDelta(t, 1.5, s.stretch(s.index(image(4))), 0.2)
		table := w.l.Table()
		require.Equal(t, table.Bit(image(4)), table.Avoid(image(1)))
		require.Zero(t, table.Avoid(image(2)))
	}
}

// Guards against pairs that are found in noise, also in that of durations that vary by half.
func TestNoiseAloneShowsNoPair(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.deviation = 0.5
		for range 8 {
			w.runRandom(1000)
			require.Empty(t, w.pairs(), "seed %d", seed)
		}
		require.Nil(t, w.l.Table())
	}
}

// Guards against pairs that are found because the tasks of a job are alike, run side by side and have the same
// neighbours: eight of them then look like eight samples with a neighbour.
func TestTasksOfOneJobAreNotIndependentSamples(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.deviation = 0.05
		for job := range 800 {
			i, on, neighbour := image(w.rng.IntN(6)), Minion(fmt.Sprint(w.rng.IntN(60))), image(w.rng.IntN(6))
			v := math.Exp(0.4 * w.rng.NormFloat64())
			for range 8 {
				w.group, w.factor = fmt.Sprint(job), v
				w.run(i, on, Exposure{neighbour, 1})
			}
			require.Empty(t, w.pairs(), "seed %d, job %d", seed, job)
		}
	}
}

// Guards against a slow minion that is blamed on the images which run there and nowhere else.
func TestSlowMinionIsNotBlamedOnItsNeighbours(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.slow["slow"] = 2
		for i := range 4000 {
			on, beside := Minion(fmt.Sprint(i%12)), []Exposure(nil)
			if i%12 == 0 {
				on, beside = "slow", []Exposure{{image(5), 1}}
			}
			w.run(image(w.rng.IntN(4)), on, beside...)
		}
		require.Empty(t, w.pairs(), "seed %d", seed)
	}
}

// Guards against an image that is blamed for another one which is always there when it is.
func TestTellsApartNeighboursThatRunTogether(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		guilty := Pair{image(0), image(1)}
		w.stretch[guilty] = 1.5
		for i := range 600 {
			var beside []Exposure
			if i%3 != 0 {
				beside = append(beside, Exposure{image(1), 1})
			}
			if i%3 == 1 {
				beside = append(beside, Exposure{image(2), 1})
			}
			w.run(image(0), Minion(fmt.Sprint(w.rng.IntN(10))), beside...)
		}
		require.Equal(t, []Pair{guilty}, w.pairs(), "seed %d", seed)
	}
}

// Guards against a pair that is trusted after fewer samples than 8 with and 8 without the neighbour.
func TestNeedsSamplesWithAndWithoutTheNeighbour(t *testing.T) {
	for _, with := range []bool{true, false} {
		w := newWorld(1)
		w.deviation, w.stretch[Pair{image(0), image(1)}] = 0.01, 4
		for i := range 200 {
			if (i%29 == 0) == with {
				w.run(image(0), "m", Exposure{image(1), 1})
			} else {
				w.run(image(0), "m")
			}
		}
		require.Empty(t, w.pairs(), "with the neighbour rarely: %v", with)
	}
}

// Guards against a pair that stays trusted after the images have changed.
func TestOldSamplesAreForgotten(t *testing.T) {
	w := newWorld(1)
	p := Pair{image(1), image(4)}
	w.stretch[p] = 1.5
	w.runRandom(2400)
	require.Equal(t, []Pair{p}, w.pairs())
	delete(w.stretch, p)
	w.now += 3 * halfLife
	w.runRandom(2400)
	require.Empty(t, w.pairs())
	require.Nil(t, w.l.Table())
}

// Guards against a pair that stays trusted for ever because samples have become too rare for an evaluation, or
// for the slowness of their minions to be known.
func TestRareSamplesEndTheTrust(t *testing.T) {
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprintf("minion known: %v", known), func(t *testing.T) {
			w := newWorld(1)
			p := Pair{image(1), image(4)}
			w.stretch[p] = 1.5
			w.runRandom(2400)
			require.Equal(t, []Pair{p}, w.pairs())
			for range 20 {
				w.now += 8 * halfLife
				if known {
					for range 20 {
						w.run(image(0), "m")
					}
				}
				w.run(p.Subject, "m", Exposure{p.Neighbour, 1})
			}
			require.Empty(t, w.pairs())
			require.Nil(t, w.l.Table())
		})
	}
}

// Guards against memory that grows with the images and minions that were ever seen, and against an eviction
// that leaves a wrong count, a wrong index or a pair of an unknown image.
func TestMemoryIsBounded(t *testing.T) {
	for name, images := range map[string]int{"many images": 300, "many pairs": maxImages - 4} {
		w := newWorld(1)
		w.stretch[Pair{"slowed", "neighbour"}] = 3
		minions, pairs := 0, 0
		for i := range 2000 {
			beside := []Exposure{{image(i * 7 % images), 0.5}, {image(i * i % images), 1}, {image((i * 13) % (images - 1)), 0.3}}
			w.run(image(i*i*i%images), Minion(fmt.Sprint(i)), beside...)
			w.run("slowed", "m", Exposure{"neighbour", float64(i % 2)})
			if i%10 != 0 {
				continue
			}
			sum := 0
			for name, s := range w.l.subjects {
				require.Contains(t, w.l.seen, name)
				require.Len(t, s.gram, len(s.neighbours)+1)
				require.Len(t, s.xy, len(s.neighbours)+1)
				for _, n := range s.neighbours {
					require.Contains(t, w.l.seen, n.image)
				}
				sum += len(s.neighbours)
			}
			require.Equal(t, sum, w.l.pairs)
			require.LessOrEqual(t, len(w.l.seen), maxImages)
			minions, pairs = max(minions, len(w.l.minions)), max(pairs, sum)
		}
		require.Equal(t, maxMinions, minions, name)
		require.LessOrEqual(t, pairs, maxPairs, name)
		require.Equal(t, name == "many pairs", pairs == maxPairs, "%s: %d", name, pairs)
		require.Equal(t, []Pair{{"slowed", "neighbour"}}, w.pairs(), "what is seen often is kept")
	}
	l := NewLearner()
	var beside []Exposure
	for i := range maxImages + 10 {
		beside = append(beside, Exposure{image(i), 1})
	}
	for range 3 {
		l.Add(Sample{Image: image(0), Minion: "m", Value: 1, Neighbours: beside})
	}
	require.Contains(t, l.subjects, image(0), "not evicted for its own neighbours")
	require.Len(t, l.seen, maxImages)
	require.Len(t, l.subjects[image(0)].neighbours, l.pairs)
}

// Guards against samples that spoil all estimates.
func TestIgnoresUnusableSamples(t *testing.T) {
	l := NewLearner()
	for _, s := range []Sample{{Value: 1}, {Image: "a"}, {Image: "a", Value: -1}, {Image: "a", Value: math.NaN()}, {Image: "a", Value: math.Inf(1)}} {
		require.Empty(t, l.Add(s))
	}
	require.Empty(t, l.subjects)
}

// BenchmarkAdd measures a sample with six neighbours, of an image that has been seen beside as many others as
// the name says.
func BenchmarkAdd(b *testing.B) {
	for _, images := range []int{6, maxImages} {
		b.Run(fmt.Sprint(images), func(b *testing.B) {
			w := newWorld(1)
			b.ReportAllocs()
			for i := range b.N {
				var beside [6]Exposure
				for k := range beside {
					beside[k] = Exposure{image((i + k*images/6) % images), 0.5}
				}
				w.run(image(0), "m", beside[:]...)
			}
		})
	}
}
