package account

import (
	"bytes"
	"image/color"
	"sort"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"boragepulley/internal/model"
)

// plotBuckets is the number of time buckets of the jobs plot.
const plotBuckets = 60

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

var plotColors = []color.Color{
	color.RGBA{0x1b, 0x7a, 0x43, 0xff},
	color.RGBA{0xb5, 0x3a, 0x2b, 0xff},
	color.RGBA{0x8a, 0x6d, 0x00, 0xff},
	color.RGBA{0x2b, 0x5c, 0xa8, 0xff},
	color.RGBA{0x6b, 0x3f, 0x9c, 0xff},
	color.RGBA{0x44, 0x44, 0x44, 0xff},
}

type series struct {
	name   string
	points plotter.XYs
	step   bool
}

// plotJobs plots the number of jobs that finished per time bucket, by state.
func (r *Report) plotJobs() ([]byte, error) {
	width := r.Time.Sub(r.From) / plotBuckets
	if r.From.IsZero() || width <= 0 {
		return nil, nil
	}
	states := []model.State{model.StateRan, model.StateRefused, model.StateUnknown, model.StateCancelled}
	counts := make(map[model.State][]float64, len(states))
	for _, j := range r.All {
		if j.Finished.IsZero() {
			continue
		}
		i := min(max(int(j.Finished.Sub(r.From)/width), 0), plotBuckets-1)
		if counts[j.State] == nil {
			counts[j.State] = make([]float64, plotBuckets)
		}
		counts[j.State][i]++
	}
	var all []series
	for _, s := range states {
		if counts[s] == nil {
			continue
		}
		line := series{name: string(s)}
		for i, n := range counts[s] {
			line.points = append(line.points, plotter.XY{X: width.Seconds() * float64(i), Y: n})
		}
		all = append(all, line)
	}
	return drawLines("Jobs finished per "+width.Round(time.Millisecond).String(), "jobs", all)
}

// plotEvents plots, for one kind of event, how many objects had each value over time.
func (r *Report) plotEvents(kind, title, unit string) ([]byte, error) {
	current := make(map[string]string)
	totals := make(map[string]int)
	lines := make(map[string]plotter.XYs)
	start := r.From
	for _, e := range r.Events {
		if e.Kind != kind {
			continue
		}
		if start.IsZero() || e.Time.Before(start) {
			start = e.Time
		}
	}
	for _, e := range r.Events {
		if e.Kind != kind {
			continue
		}
		if old, ok := current[e.Object]; ok {
			totals[old]--
		}
		current[e.Object] = e.To
		totals[e.To]++
		x := e.Time.Sub(start).Seconds()
		for v, n := range totals {
			lines[v] = append(lines[v], plotter.XY{X: x, Y: float64(n)})
		}
	}
	var all []series
	for v, points := range lines {
		end := plotter.XY{X: r.Time.Sub(start).Seconds(), Y: points[len(points)-1].Y}
		all = append(all, series{name: v, points: append(points, end), step: true})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return drawLines(title, unit, all)
}

func drawLines(title, unit string, all []series) ([]byte, error) {
	if len(all) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range all {
		line, err := plotter.NewLine(s.points)
		if err != nil {
			return nil, errors.Wrap(err, "account: plot")
		}
		line.Color = plotColors[i%len(plotColors)]
		if s.step {
			line.StepStyle = plotter.PostStep
		}
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return nil, errors.Wrap(err, "account: plot")
	}
	return stripProlog(buf.Bytes()), nil
}

// stripProlog removes everything before the svg element, so that the image can be embedded
// in HTML.
func stripProlog(svg []byte) []byte {
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		return svg[i:]
	}
	return svg
}
