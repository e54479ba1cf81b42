package experiment

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 10
	// headroom leaves space above the bars for the legend.
	headroom = 1.3
)

// Plot draws the median detection time by fault, one bar for each user, into
// a file whose suffix names the format, as .svg.
func Plot(path string, byUser [][]Row) error {
	p := plot.New()
	p.Title.Text = "Median time in which a sick target went on receiving work"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	for n, rows := range byUser {
		if len(rows) == 0 {
			continue
		}
		if err := addBars(p, n, len(byUser), rows); err != nil {
			return err
		}
	}
	p.Y.Max *= headroom
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}

func addBars(p *plot.Plot, n, of int, rows []Row) error {
	var values plotter.Values
	var names []string
	for _, r := range rows {
		if r.Eject {
			values = append(values, r.Median)
			names = append(names, r.Fault)
		}
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return errors.WithStack(err)
	}
	bars.Color = plotutil.Color(n)
	bars.Offset = vg.Points(barWidth * (float64(n) - float64(of-1)/2))
	p.Add(bars)
	p.Legend.Add(rows[0].User, bars)
	p.Legend.Top = true
	p.Legend.Left = true
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	return nil
}
