package lab

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth, plotHeight = 26 * vg.Centimeter, 12 * vg.Centimeter
	// barRoom is the part of a fault's place that its bars take together.
	barRoom = 1.2 * vg.Centimeter
	// legendRoom times the highest bar leaves room for the legend.
	legendRoom = 1.3
)

// chart is one kind of plot.
type chart struct {
	file, label string
	value       func(c Cell) float64
	applies     func(c Cell) bool
}

// notFound is where a plot puts detection times that were never reached.
const notFound = 30.0

var charts = []chart{
	{"detection", "median detection time, s (30: never)", func(c Cell) float64 {
		return min(notFound, c.Detection(0.5).Seconds())
	}, func(c Cell) bool { return c.Sick > 0 }},
	{"sick-work", "tries at sick targets in a run", func(c Cell) float64 {
		return float64(c.SickTries) / float64(c.Runs)
	}, func(c Cell) bool { return c.Sick > 0 }},
	{"false", "false ejections per service-hour", func(c Cell) float64 {
		return c.FalsePerHour()
	}, func(Cell) bool { return true }},
}

// WritePlots draws each chart for each service and load into the directory.
func WritePlots(dir string, cells []Cell) error {
	for _, group := range groups(cells) {
		for _, ch := range charts {
			if err := ch.draw(dir, group); err != nil {
				return err
			}
		}
	}
	return nil
}

// groups parts the cells by service and load.
func groups(cells []Cell) [][]Cell {
	var out [][]Cell
	for i, c := range cells {
		if i == 0 || c.Service.ID() != cells[i-1].Service.ID() || c.Load != cells[i-1].Load {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], c)
	}
	return out
}

func (ch chart) draw(dir string, cells []Cell) error {
	faults := ch.faults(cells)
	if len(faults) == 0 {
		return nil
	}
	var order []string
	values := map[string]plotter.Values{}
	for _, c := range cells {
		if !slices.Contains(faults, c.Fault.Name) {
			continue
		}
		if values[c.Policy] == nil {
			order = append(order, c.Policy)
		}
		values[c.Policy] = append(values[c.Policy], ch.value(c))
	}
	p := plot.New()
	c := cells[0]
	p.Title.Text = fmt.Sprintf("%s at %.0f%% load", c.Service.ID(), 100*c.Load)
	p.Y.Label.Text = ch.label
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -1
	if err := addBars(p, order, values); err != nil {
		return err
	}
	p.NominalX(faults...)
	p.Legend.Top = true
	p.Y.Max *= legendRoom
	file := fmt.Sprintf("%s-%s-%.0f.svg", ch.file, strings.ReplaceAll(string(c.Service.ID()), "/", "-"), 100*c.Load)
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, file))
}

// faults lists the faults that the chart applies to, in the cells' order.
func (ch chart) faults(cells []Cell) []string {
	var names []string
	for _, c := range cells {
		if ch.applies(c) && !slices.Contains(names, c.Fault.Name) {
			names = append(names, c.Fault.Name)
		}
	}
	return names
}

func addBars(p *plot.Plot, order []string, values map[string]plotter.Values) error {
	width := barRoom / vg.Length(len(order))
	for i, name := range order {
		bars, err := plotter.NewBarChart(values[name], width)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(order)-1)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	return nil
}
