package holding

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragepulley/internal/interference"
	"boragepulley/internal/jobs"
	"boragepulley/internal/site"
)

// imageTasks returns n tasks of each image, by image.
func imageTasks(n int, images ...string) map[string][]*jobs.Task {
	out := map[string][]*jobs.Task{}
	for i, image := range images {
		j := jobs.NewRegistry().Add(jobs.Accepted{ID: jobs.ID(fmt.Sprint(i)), Spec: jobs.Spec{Steps: []jobs.Step{{Count: n, Image: image}}}}, 0)
		j.OpenSteps(time.Now(), 0)
		out[image] = j.Step(0, 0).AllTasks()
	}
	return out
}

// Guards against shares that are not the part of a run's time during which another task of the image ran
// beside it, against an end of a run that is counted twice, and against entries that are kept for nothing.
func TestSharesOfNeighboursArePartsOfTheRunTime(t *testing.T) {
	images := []string{"", "a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		m := New(site.MinionEntry{}, 0)
		tasks := imageTasks(3, images...)
		began, beside := map[*jobs.Task]time.Duration{}, map[*jobs.Task]map[string]time.Duration{}
		now := time.Second
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			passed := time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			for x := range began {
				seen := map[string]bool{}
				for other := range began {
					if image := other.Step.Spec.Image; other != x && image != "" && !seen[image] {
						seen[image] = true
						beside[x][image] += passed
					}
				}
			}
			now += passed
			x := tasks[rapid.SampledFrom(images).Draw(t, "image")][rapid.IntRange(0, 2).Draw(t, "task")]
			if _, runs := began[x]; !runs {
				m.Assign(x)
				m.RunBegan(x, now, true)
				began[x], beside[x] = now, map[string]time.Duration{}
				continue
			}
			m.RunBegan(x, now, true) // known already
			requireShares(t, m, x, now, began[x], beside[x])
			if rapid.Bool().Draw(t, "runs on") {
				continue
			}
			m.Unassign(x, now)
			m.Unassign(x, now)
			delete(began, x)
			delete(beside, x)
		}
		for x := range began {
			m.Unassign(x, now)
		}
		require.Empty(t, m.neighbours.runs)
		require.Empty(t, m.neighbours.images)
		require.Empty(t, m.Kinds.Images)
	})
}

func requireShares(t *rapid.T, m *Minion, x *jobs.Task, now, began time.Duration, beside map[string]time.Duration) {
	want, got := map[string]float64{}, map[string]float64{}
	took, ok := m.RunTime(x, now)
	require.Equal(t, x.Step.Spec.Image != "" && now > began, ok)
	if ok {
		require.Equal(t, now-began, took)
		for image, d := range beside {
			if d > 0 {
				want[image] = float64(d) / float64(took)
			}
		}
	}
	for _, e := range m.Exposures(nil, x, now) {
		got[string(e.Image)] = e.Share
	}
	require.Equal(t, want, got)
}

// Guards against memory that grows with the images that ever ran on a minion, and against a share of an image
// for the time of the one whose entry it got.
func TestTrackedImagesAreBounded(t *testing.T) {
	m := New(site.MinionEntry{}, 0)
	var images []string
	for i := range 3 * maxTrackedImages {
		images = append(images, fmt.Sprint(i))
	}
	tasks := imageTasks(1, images...)
	now, began := time.Duration(0), time.Duration(0)
	lasting := tasks["0"][0]
	m.Assign(lasting)
	m.RunBegan(lasting, now, true)
	for i, image := range images[1:] {
		if i == 2*maxTrackedImages {
			// Entries that have a running time at its begin get other images later.
			m.RestartPeriod(lasting, now)
			began = now
		}
		x := tasks[image][0]
		m.Assign(x)
		m.RunBegan(x, now, true)
		now += time.Second
		require.Equal(t, []interference.Exposure{{Image: "0", Share: 1}}, m.Exposures(nil, x, now))
		m.Unassign(x, now)
		require.LessOrEqual(t, len(m.neighbours.images), maxTrackedImages)
	}
	shares := m.Exposures(nil, lasting, now)
	require.NotEmpty(t, shares)
	for _, e := range shares {
		require.InDelta(t, 1/(now-began).Seconds(), e.Share, 1e-9, e.Image)
	}
}

// Guards against a sample that contains latencies or neighbours of an earlier period.
func TestPeriodsOfTailLatenciesAreSeparate(t *testing.T) {
	m := New(site.MinionEntry{}, 0)
	tasks := imageTasks(1, "a", "b")
	a, b := tasks["a"][0], tasks["b"][0]
	m.Assign(a)
	m.Assign(b)
	m.RunBegan(a, 0, false)
	m.RunBegan(b, 0, false)
	_, ok := m.ObserveTail(a, 10, time.Second, 2*time.Second)
	require.False(t, ok)
	m.Unassign(b, time.Second)
	mean, ok := m.ObserveTail(a, 30, 2*time.Second, 2*time.Second)
	require.True(t, ok)
	require.Equal(t, 20.0, mean)
	require.Equal(t, []interference.Exposure{{Image: "b", Share: 0.5}}, m.Exposures(nil, a, 2*time.Second))
	m.RestartPeriod(a, 2*time.Second)
	mean, ok = m.ObserveTail(a, 50, 4*time.Second, 2*time.Second)
	require.True(t, ok)
	require.Equal(t, 50.0, mean)
	require.Empty(t, m.Exposures(nil, a, 4*time.Second))
	_, ok = m.ObserveTail(a, 0, 6*time.Second, 2*time.Second)
	require.False(t, ok, "a task that has served nothing")
}
