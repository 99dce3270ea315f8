package account

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"
)

//go:embed report.html.tmpl
var reportTemplate string

var htmlReport = template.Must(template.New("report").Funcs(template.FuncMap{
	"stamp": func(t time.Time) string { return t.UTC().Format(timeLayout) },
	"span":  func(g Gap) string { return g.To.Sub(g.From).Round(time.Millisecond).String() },
}).Parse(reportTemplate))

// maxHTMLEvents is the maximum number of events on the page; the JSON form has all of them.
const maxHTMLEvents = 500

type htmlPage struct {
	*Report
	Plots      []template.HTML
	EventsHead int
}

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	page := htmlPage{Report: r, EventsHead: min(len(r.Events), maxHTMLEvents)}
	for _, f := range []func() ([]byte, error){
		r.plotJobs,
		func() ([]byte, error) { return r.plotEvents("vm_state", "VMs by state", "VMs") },
		func() ([]byte, error) {
			return r.plotEvents("membership", "Entry VMs by status as seen by their peers", "views")
		},
	} {
		svg, err := f()
		if err != nil {
			return err
		}
		if svg != nil {
			page.Plots = append(page.Plots, template.HTML(svg))
		}
	}
	return errors.Wrap(htmlReport.Execute(w, page), "account: write page")
}
