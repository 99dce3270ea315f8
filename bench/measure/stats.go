package measure

import (
	"slices"
	"time"
)

// line is a least-squares line through points.
type line struct{ Slope, Intercept float64 }

// fit returns the least-squares line. At least two different x are needed; otherwise
// the slope is 0 and the intercept is the mean.
func fit(x, y []float64) line {
	n := float64(len(x))
	if n == 0 {
		return line{}
	}
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return line{Intercept: sy / n}
	}
	s := (n*sxy - sx*sy) / d
	return line{Slope: s, Intercept: (sy - s*sx) / n}
}

// quantile returns the q-quantile (0 to 1) by the nearest rank; 0 without values.
func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(d))
	i := int(q*float64(len(s))+0.999999) - 1
	return s[min(max(i, 0), len(s)-1)]
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// spread records and formats the distribution of times in milliseconds.
func (e *Env) spread(name string, p Params, d []time.Duration) []string {
	cells := []string{num(float64(len(d)))}
	e.Record(name+"_count", p, float64(len(d)), "count")
	for _, q := range []struct {
		name string
		q    float64
	}{{"min", 0}, {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"max", 1}} {
		v := ms(quantile(d, q.q))
		e.Record(name+"_"+q.name, p, v, "ms")
		cells = append(cells, num(v))
	}
	return cells
}
