package holding

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
// beside it, against a begin or end that is counted twice, and against entries that are kept for nothing.
func TestSharesOfNeighboursArePartsOfTheRunTime(t *testing.T) {
	m := New(site.MinionEntry{}, 0)
	tasks := imageTasks(3, "", "a", "b")
	a, b, unnamed := tasks["a"], tasks["b"], tasks[""][0]
	begin := func(x *jobs.Task, at time.Duration) {
		m.Assign(x)
		m.RunBegan(x, at*time.Second, true)
		m.RunBegan(x, at*time.Second+time.Millisecond, true)
	}
	end := func(x *jobs.Task, at time.Duration) {
		m.Unassign(x, at*time.Second)
		m.Unassign(x, (at+1)*time.Second)
	}
	begin(unnamed, 0)
	begin(b[0], 0)
	begin(a[0], 1)
	begin(b[1], 2) // b is beside a from 1 to 4, however many there are
	end(b[0], 3)
	begin(a[1], 3) // and another a from 3 to 6
	end(b[1], 4)
	end(a[1], 6)
	begin(b[2], 9) // and b again from 9 to 11
	took, ok := m.RunTime(a[0], 11*time.Second)
	require.True(t, ok)
	require.Equal(t, 10*time.Second, took)
	require.ElementsMatch(t, []interference.Exposure{{Image: "a", Share: 0.3}, {Image: "b", Share: 0.5}}, m.Exposures(nil, a[0], 11*time.Second))
	require.Equal(t, []interference.Exposure{{Image: "a", Share: 1}}, m.Exposures(nil, b[2], 11*time.Second))
	_, ok = m.RunTime(unnamed, 11*time.Second)
	require.False(t, ok)
	for _, x := range []*jobs.Task{a[0], b[2], unnamed} {
		end(x, 11)
	}
	require.Empty(t, m.neighbours.runs)
	require.Empty(t, m.neighbours.images)
	require.Empty(t, m.Kinds.Images)
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
