package measure

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a slope that is not that of the line through the points.
func TestFitFindsLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := line{rapid.Float64Range(-1e3, 1e3).Draw(t, "slope"), rapid.Float64Range(-1e3, 1e3).Draw(t, "intercept")}
		var x, y []float64
		for i := range rapid.IntRange(2, 8).Draw(t, "points") {
			x = append(x, float64(i*i))
			y = append(y, want.Slope*float64(i*i)+want.Intercept)
		}
		got := fit(x, y)
		require.InDelta(t, want.Slope, got.Slope, 1e-6)
		require.InDelta(t, want.Intercept, got.Intercept, 1e-6)
	})
	require.Equal(t, line{Intercept: 2}, fit([]float64{1, 1}, []float64{1, 3}))
}

// Guards against percentiles that are off by one rank.
func TestQuantile(t *testing.T) {
	var d []time.Duration
	for i := 100; i > 0; i-- {
		d = append(d, time.Duration(i))
	}
	for q, want := range map[float64]time.Duration{0: 1, 0.5: 50, 0.9: 90, 0.99: 99, 1: 100} {
		require.Equal(t, want, quantile(d, q))
	}
	require.Zero(t, quantile(nil, 0.5))
}

// Guards against a closeness that hides a team that gets nothing.
func TestCloseness(t *testing.T) {
	require.InDelta(t, 1, closenessOf([]float64{0.75, 0.25}, []int{3, 1}), 1e-9)
	require.InDelta(t, 0.25, closenessOf([]float64{0, 1}, []int{3, 1}), 1e-9)
}

// Guards against a misspelled experiment that silently measures nothing.
func TestChoose(t *testing.T) {
	_, err := choose([]string{"path", "nothing"})
	require.ErrorIs(t, err, ErrNoExperiment)
	all, err := choose(nil)
	require.NoError(t, err)
	require.Len(t, all, 8)
}

// Guards against figures that cannot be traced to the run that produced them.
func TestRecordIsTraceable(t *testing.T) {
	var out bytes.Buffer
	e := &Env{Options: Options{Seed: 7, Out: &out}, name: "path", results: &out}
	e.Record("throughput", Params{"callers": 8}, 12.5, "requests/s")
	var f Figure
	require.NoError(t, json.Unmarshal(out.Bytes(), &f))
	require.Equal(t, "bpbench --seed 7 measure --only path", f.Command)
	require.Equal(t, 12.5, f.Value)
	require.EqualValues(t, 7, f.Seed)
	require.Positive(t, f.Cores)
	require.Positive(t, f.MemoryMB)
	require.WithinDuration(t, time.Now(), f.Time, time.Minute)
}

// Guards against a version that counts as in force from a line that is only half
// written, or from another message.
func TestInForceLog(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.log")
	f := &inForceLog{path: path}
	add := func(text string) {
		w, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		require.NoError(t, err)
		_, err = w.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, w.Close())
		require.NoError(t, f.read())
	}
	add(`{"to":3,"time":1000,"message":"configuration in force"}` + "\n" + `{"to":"a","message":"moved"}` + "\n" + `{"to":4,"time":20`)
	require.EqualValues(t, 3, f.version)
	require.Equal(t, time.UnixMilli(1000), f.at)
	add(`00,"message":"configuration in force"}` + "\n")
	require.EqualValues(t, 4, f.version)
	require.Equal(t, time.UnixMilli(2000), f.at)
}
