package labcli

import (
	"bytes"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot, and the dashes of its falling curves.
const (
	overloadPlotWidth  = 8 * vg.Inch
	overloadPlotHeight = 4.5 * vg.Inch
	overloadDashes     = 1 // index in plotutil
)

// plotOverload draws earned value over load: for each policy a full line while the load rises and a dashed
// one while it falls. It returns SVG.
func plotOverload(runs []overloadRun) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "earned value over offered load, as multiples of capacity"
	p.X.Label.Text, p.Y.Label.Text = "load", "earned"
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, run := range runs {
		var rising, falling plotter.XYs
		for _, point := range run.Curve {
			rising = append(rising, plotter.XY{X: point.Load, Y: point.Rising.Earned})
			falling = append(falling, plotter.XY{X: point.Load, Y: point.Falling.Earned})
		}
		if err := addCurve(p, run.Policy+", rising", i, 0, rising); err != nil {
			return nil, err
		}
		if err := addCurve(p, run.Policy+", falling", i, overloadDashes, falling); err != nil {
			return nil, err
		}
	}
	w, err := p.WriterTo(overloadPlotWidth, overloadPlotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	_, err = w.WriteTo(&b)
	return b.Bytes(), err
}

// addCurve adds a line and its legend.
func addCurve(p *plot.Plot, name string, color, dashes int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes, line.Width = plotutil.Color(color), plotutil.Dashes(dashes), vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
