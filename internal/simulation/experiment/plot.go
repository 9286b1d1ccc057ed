package experiment

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// number parses a swept value: a number, or a duration, which is in seconds; ok is false for a word.
func number(text string) (x float64, ok bool) {
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return x, true
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), true
	}
	return 0, false
}

// Plot draws a metric over the first swept key, a line for each policy and value of the second key; without a
// sweep it draws the service by second of arrival. Bars are 95% intervals. It returns SVG.
func (s *Store) Plot(metric string, logX, logY bool) ([]byte, error) {
	p := plot.New()
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var err error
	if len(s.Header.Over) == 0 {
		err = s.overTime(p)
	} else {
		err = s.overKey(p, metric, logX, logY)
		if logX {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
		if logY {
			p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
	}
	if err != nil {
		return nil, err
	}
	w, err := p.WriterTo(8*vg.Inch, 4.5*vg.Inch, "svg")
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	_, err = w.WriteTo(&b)
	return b.Bytes(), err
}

// overTime draws the mean service by second of arrival, a line for each policy.
func (s *Store) overTime(p *plot.Plot) error {
	p.Title.Text = s.Header.Scenario + ": worth served in time over worth asked, by second of arrival"
	p.X.Label.Text, p.Y.Label.Text = "s", "service"
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, cell := range s.Cells() {
		if err := addLine(p, i, cell.Policy, meanServiceBySecond(cell.Days), nil); err != nil {
			return err
		}
	}
	return nil
}

// meanServiceBySecond averages each second of the first day over the days that last so long.
func meanServiceBySecond(days []*RunResult) (points plotter.XYs) {
	for second := range days[0].Result.ServiceBySecond {
		sum, count := 0.0, 0.0
		for _, day := range days {
			if second < len(day.Result.ServiceBySecond) {
				sum += day.Result.ServiceBySecond[second]
				count++
			}
		}
		points = append(points, plotter.XY{X: float64(second), Y: sum / count})
	}
	return points
}

// series is a line with its error bars.
type series struct {
	plotter.XYs
	plotter.YErrors
	name string
}

// keyPlot is a plot of a metric over a swept key.
type keyPlot struct {
	axis       Axis
	metric     string
	nominal    bool // some value of the key is a word: values stand at equal distances
	logX, logY bool
	lines      []*series
}

// overKey draws a metric over the first swept key.
func (s *Store) overKey(p *plot.Plot, metric string, logX, logY bool) error {
	if !KnownMetric(metric) {
		return fmt.Errorf("%q is none of %s", metric, strings.Join(MetricNames(), ", "))
	}
	k := &keyPlot{axis: s.Header.Over[0], metric: metric, logX: logX, logY: logY}
	p.Title.Text = fmt.Sprintf("%s: %s over %s", s.Header.Scenario, metric, k.axis.Key)
	p.X.Label.Text, p.Y.Label.Text = k.axis.Key, metric
	k.nominal = slices.ContainsFunc(k.axis.Values, func(v string) bool {
		_, ok := number(v)
		return !ok
	})
	if k.nominal {
		p.NominalX(k.axis.Values...)
	}
	for _, cell := range s.Cells() {
		if err := k.add(cell); err != nil {
			return err
		}
	}
	for i, line := range k.lines {
		if err := addLine(p, i, line.name, line.XYs, line); err != nil {
			return err
		}
	}
	return nil
}

// add adds a cell to the line of its policy and its values of other keys. A cell without a finite mean has no
// point.
func (k *keyPlot) add(cell *Cell) error {
	line := k.line(cell)
	value := cell.Set[k.axis.Key]
	position, _ := number(value)
	if k.nominal {
		position = float64(slices.Index(k.axis.Values, value))
	}
	estimate := EstimateOf(cell.Figures(k.metric))
	if math.IsNaN(estimate.Mean) || math.IsInf(estimate.Mean, 0) {
		return nil
	}
	if k.logX && position <= 0 || k.logY && estimate.Mean <= 0 {
		return fmt.Errorf("%s = %s, %s = %.4g: a logarithmic scale takes only what is above 0", k.axis.Key, value,
			k.metric, estimate.Mean)
	}
	high := estimate.Half
	if math.IsNaN(high) {
		high = 0
	}
	low := high
	if k.logY { // the lower end must be above 0 there
		low = min(low, 0.9*estimate.Mean)
	}
	line.XYs = append(line.XYs, plotter.XY{X: position, Y: estimate.Mean})
	line.YErrors = append(line.YErrors, struct{ Low, High float64 }{low, high})
	return nil
}

// line returns the line of a cell, a new one for the first cell of a line.
func (k *keyPlot) line(cell *Cell) *series {
	name := cell.Policy
	for _, key := range slices.Sorted(maps.Keys(cell.Set)) {
		if key != k.axis.Key {
			name += " " + key + "=" + cell.Set[key]
		}
	}
	for _, line := range k.lines {
		if line.name == name {
			return line
		}
	}
	line := &series{name: name}
	k.lines = append(k.lines, line)
	return line
}

// addLine draws the i-th line, with error bars unless they are nil. A line without points is left out.
func addLine(p *plot.Plot, i int, name string, xy plotter.XYs, bars *series) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Dashes, l.Width = plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	if bars != nil {
		e, err := plotter.NewYErrorBars(bars)
		if err != nil {
			return err
		}
		e.Color = plotutil.Color(i)
		p.Add(e)
	}
	return nil
}
