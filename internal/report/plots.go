package report

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"mimosafront/internal/load"
	"mimosafront/internal/measure"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = vg.Inch / 6
)

// Plots writes the plots of a run as PNG files into a directory, each name
// beginning with a prefix.
func Plots(r *load.Result, directory, prefix string) error {
	builders := []struct {
		name  string
		build func(*load.Result) (*plot.Plot, error)
	}{
		{"goodput", goodputPlot},
		{"first-token", latencyPlot},
		{"organisations", organisationPlot},
	}
	for _, builder := range builders {
		p, err := builder.build(r)
		if err != nil {
			return fmt.Errorf("plot %s: %w", builder.name, err)
		}
		path := filepath.Join(directory, prefix+builder.name+".png")
		if err := p.Save(plotWidth, plotHeight, path); err != nil {
			return err
		}
	}
	return nil
}

// goodputPlot shows the good answers a second by tier, over the times at which
// their requests arrived.
func goodputPlot(r *load.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Goodput by tier, " + r.Scenario + labelOf(r)
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = "good answers / s"
	var lines []any
	for _, tier := range r.Tiers {
		points := make(plotter.XYs, int(r.DurationS)+1)
		for i := range points {
			points[i].X = float64(i)
		}
		for _, record := range r.Records {
			if record.Tier == tier && record.Outcome == load.Good {
				points[min(int(record.AtMs/1000), len(points)-1)].Y++
			}
		}
		lines = append(lines, tier, points)
	}
	return p, plotutil.AddLines(p, lines...)
}

// latencyPlot shows the distribution of the time to the first token by tier.
func latencyPlot(r *load.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time to the first token, " + r.Scenario + labelOf(r)
	p.X.Label.Text = "time (ms)"
	p.Y.Label.Text = "share of requests"
	p.Y.Max = 1
	var lines []any
	for _, tier := range r.Tiers {
		var times []float64
		for _, record := range r.Records {
			if record.Tier == tier && record.Measured && record.FirstTokenMs > 0 {
				times = append(times, record.FirstTokenMs)
			}
		}
		slices.Sort(times)
		points := make(plotter.XYs, len(times))
		for i, t := range times {
			points[i] = plotter.XY{X: t, Y: float64(i+1) / float64(len(times))}
		}
		if len(points) > 1 {
			lines = append(lines, tier, points)
		}
	}
	return p, plotutil.AddLines(p, lines...)
}

// organisationPlot shows the work that each organisation asked for and got.
func organisationPlot(r *load.Result) (*plot.Plot, error) {
	s := measure.Summarize(r)
	var names []string
	var offered, good plotter.Values
	for _, key := range s.Keys(IsOrganisation) {
		names = append(names, key.Organisation)
		offered = append(offered, s.Group(key).OfferedWork)
		good = append(good, s.Group(key).GoodWork)
	}
	p := plot.New()
	p.Title.Text = "Work by organisation, " + r.Scenario + labelOf(r)
	p.Y.Label.Text = "tokens"
	for i, values := range []plotter.Values{offered, good} {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-1) / 2
		p.Add(bars)
		p.Legend.Add([]string{"offered", "good"}[i], bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return p, nil
}
