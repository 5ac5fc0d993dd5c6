package main

import (
	"math"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tanagerbarrow/bench/policy"
)

// The size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	// minPlotMillis and maxPlotMillis are the range of latencies that a plot shows.
	minPlotMillis = 40
	maxPlotMillis = 5000
)

// plottedPolicies lists the policies that a plot shows. All policies would make it
// unreadable.
var plottedPolicies = []string{policy.CentralQueueName, policy.DaemonPolicyName, "owner picks", "shared 2ms", "piggyback", "least local", "two choices", "round robin"}

// plotAll draws the p99 of each case, one plot for each selected layout.
func (s *study) plotAll(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrapf(err, "create folder %s", folder)
	}
	for _, l := range policy.Layouts() {
		if !selected(l.Name, s.layouts) {
			continue
		}
		if err := s.plotLayout(l.Name, filepath.Join(folder, "p99-"+l.Name+".png")); err != nil {
			return err
		}
	}
	return nil
}

// plotLayout draws the plot of one layout and saves it to a file.
func (s *study) plotLayout(layout, file string) error {
	p := plot.New()
	p.Title.Text = layout + ": p99 by case"
	p.Y.Label.Text = "ms, logarithmic"
	p.Y.Scale = plot.LogScale{}
	p.Y.Min, p.Y.Max = minPlotMillis, maxPlotMillis
	p.Y.Tick.Marker = plot.ConstantTicks{
		{Value: 50, Label: "50"},
		{Value: 100, Label: "100"},
		{Value: 200, Label: "200"},
		{Value: 500, Label: "500"},
		{Value: 1000, Label: "1000"},
		{Value: maxPlotMillis, Label: "5000"},
	}
	p.Legend.Top = true
	p.Legend.Left = true
	names := s.plottedCases(layout)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = math.Pi / 6
	p.X.Tick.Label.XAlign = -1
	for i, name := range plottedPolicies {
		var points plotter.XYs
		for x, c := range names {
			if o, ok := s.results[cell{layout, c, name}]; ok {
				points = append(points, plotter.XY{X: float64(x), Y: min(max(o.merged.QuantileMillis(99), minPlotMillis), maxPlotMillis)})
			}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Wrapf(err, "plot policy %q of layout %q", name, layout)
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(name, line, dots)
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "save %s", file)
}

// plottedCases returns the cases that were run. It leaves out overload, where the
// latencies are only those of the few requests that were served.
func (s *study) plottedCases(layout string) []string {
	var names []string
	for _, c := range policy.Cases() {
		if _, ok := s.results[cell{layout, c.Name, policy.CentralQueueName}]; ok && c.Load <= 1 {
			names = append(names, c.Name)
		}
	}
	return names
}
