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

// number reads a swept value: a figure, or a time in seconds; false for a word.
func number(text string) (float64, bool) {
	if x, err := strconv.ParseFloat(text, 64); err == nil {
		return x, true
	}
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), true
	}
	return 0, false
}

// Plot draws a metric over the first swept key, a line for each policy and value of the second; without a
// sweep it draws service by second. Bars are 95% intervals. It returns SVG.
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

func (s *Store) overTime(p *plot.Plot) error {
	p.Title.Text = s.Header.Scenario + ": worth served in time over worth asked, by second of arrival"
	p.X.Label.Text, p.Y.Label.Text = "s", "service"
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, c := range s.Cells() {
		var line plotter.XYs
		for t := range c.Days[0].Result.ServiceBySecond {
			sum, n := 0.0, 0.0
			for _, d := range c.Days {
				if t < len(d.Result.ServiceBySecond) {
					sum, n = sum+d.Result.ServiceBySecond[t], n+1
				}
			}
			line = append(line, plotter.XY{X: float64(t), Y: sum / n})
		}
		if err := addLine(p, i, c.Policy, line, nil); err != nil {
			return err
		}
	}
	return nil
}

// points are a line with its error bars.
type points struct {
	plotter.XYs
	plotter.YErrors
}

func (s *Store) overKey(p *plot.Plot, metric string, logX, logY bool) error {
	if !KnownMetric(metric) {
		return fmt.Errorf("%q is none of %s", metric, strings.Join(MetricNames(), ", "))
	}
	axis := s.Header.Over[0]
	p.Title.Text = fmt.Sprintf("%s: %s over %s", s.Header.Scenario, metric, axis.Key)
	p.X.Label.Text, p.Y.Label.Text = axis.Key, metric
	var names []string
	lines := map[string]*points{}
	words := 0
	for _, v := range axis.Values {
		if _, ok := number(v); !ok {
			words++
		}
	}
	if words > 0 {
		p.NominalX(axis.Values...)
	}
	for _, c := range s.Cells() {
		name := c.Policy
		for _, k := range slices.Sorted(maps.Keys(c.Set)) {
			if k != axis.Key {
				name += " " + k + "=" + c.Set[k]
			}
		}
		l := lines[name]
		if l == nil {
			l = &points{}
			lines[name] = l
			names = append(names, name)
		}
		x, _ := number(c.Set[axis.Key])
		if words > 0 {
			x = float64(slices.Index(axis.Values, c.Set[axis.Key]))
		}
		e := EstimateOf(c.Figures(metric))
		if math.IsNaN(e.Mean) || math.IsInf(e.Mean, 0) {
			continue
		}
		half := e.Half
		if math.IsNaN(half) {
			half = 0
		}
		if logX && x <= 0 || logY && e.Mean <= 0 {
			return fmt.Errorf("%s = %s, %s = %.4g: a logarithmic scale takes only what is above 0", axis.Key,
				c.Set[axis.Key], metric, e.Mean)
		}
		low := half
		if logY { // an interval that reaches 0 would have no end there
			low = min(low, 0.9*e.Mean)
		}
		l.XYs = append(l.XYs, plotter.XY{X: x, Y: e.Mean})
		l.YErrors = append(l.YErrors, struct{ Low, High float64 }{low, half})
	}
	for i, name := range names {
		if err := addLine(p, i, name, lines[name].XYs, lines[name]); err != nil {
			return err
		}
	}
	return nil
}

func addLine(p *plot.Plot, i int, name string, xy plotter.XYs, bars *points) error {
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
