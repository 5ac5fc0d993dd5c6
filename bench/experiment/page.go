package experiment

import (
	"bytes"
	"encoding/json"
	"html/template"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot and the width of its bars, in points.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.5 * vg.Inch
	barWidth   = 14
)

// Write writes the report to report.json and report.html in the folder.
func (r *Report) Write(folder string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	path := filepath.Join(folder, "report.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrapf(err, "write %q", path)
	}
	var page bytes.Buffer
	if err := r.render(&page); err != nil {
		return err
	}
	path = filepath.Join(folder, "report.html")
	return errors.Wrapf(os.WriteFile(path, page.Bytes(), 0o600), "write %q", path)
}

// pageData is the data of the HTML template.
type pageData struct {
	*Report
	Plots []template.HTML
}

// render renders the HTML page with a plot for each profile.
func (r *Report) render(page *bytes.Buffer) error {
	data := pageData{Report: r}
	for _, profile := range r.profiles() {
		svg, err := r.plotReadP99(profile)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, template.HTML(svg)) //nolint:gosec // The plot is drawn here.
	}
	return errors.Wrap(pageTemplate.Execute(page, data), "render report")
}

// profiles returns the names of the profiles, ordered by their first run.
func (r *Report) profiles() []string {
	var names []string
	seen := map[string]bool{}
	for _, run := range r.Runs {
		if !seen[run.Profile] {
			names = append(names, run.Profile)
		}
		seen[run.Profile] = true
	}
	return names
}

// plotReadP99 plots the 99th percentile of the latency of reads in each phase, with
// a bar for each policy, and returns the plot as SVG.
func (r *Report) plotReadP99(profile string) (string, error) {
	p := plot.New()
	p.Title.Text = profile + ": reads, 99th percentile"
	p.Y.Label.Text = "ms"
	p.Legend.Top = true
	index := 0
	for _, run := range r.Runs {
		if run.Profile != profile {
			continue
		}
		values, names := run.readP99s()
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return "", errors.Wrapf(err, "draw policy %q", run.Policy)
		}
		bars.Offset = vg.Points(float64(barWidth * index))
		bars.Color = plotColors[index%len(plotColors)]
		p.Add(bars)
		p.Legend.Add(run.Policy, bars)
		p.NominalX(names...)
		index++
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	_, err := canvas.WriteTo(&svg)
	return svg.String(), errors.Wrap(err, "write plot")
}

// readP99s returns the 99th percentile of the latency of reads in each phase, in
// milliseconds, and the names of the phases.
func (r *Run) readP99s() (plotter.Values, []string) {
	var values plotter.Values
	var names []string
	for _, phase := range r.Phases {
		if k, ok := phase.Kinds["read"]; ok {
			values = append(values, k.P99)
			names = append(names, phase.Phase)
		}
	}
	return values, names
}
