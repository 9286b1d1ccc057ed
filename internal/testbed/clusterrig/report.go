package clusterrig

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %d members, probe %v, probe_timeout %v, gossip %v, suspicion_mult %d, rejoin %v, "+
		"sync_each %v\n", r.Scenario, r.Members, r.Settings.Probe, r.Settings.Timeout, r.Settings.Gossip,
		r.Settings.Suspicion, r.Settings.Rejoin, r.Settings.SyncEach)
	fmt.Fprintln(t, "\nSTEP\tEXPECTED\tTIMES\tMEDIAN\tWORST\tFAILED")
	for _, s := range r.Steps {
		median, worst := "-", "-"
		if s.Expect != "none" {
			median, worst = fmt.Sprintf("%.0f ms", s.Median), fmt.Sprintf("%.0f ms", s.Worst)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%d\n", s.Step, s.Expect, s.Times, median, worst, s.Failed)
	}
	fmt.Fprint(t, "\nJOINED\tSECONDS\tSUSPICIONS\tREFUTED\tFALSE DEATHS\tLOOKS\tBYTES/MEMBER/S\t"+
		"PACKETS/MEMBER/S\n")
	fmt.Fprintf(t, "%.0f ms\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%.1f\n", r.JoinedMS, r.Seconds, r.Suspicions,
		r.Refutations, r.FalseDeaths, r.Views, r.BytesPerSecond, r.PacketsPerSecond)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Steps {
		if s.LastFailure != "" {
			fmt.Fprintf(w, "%s: %s\n", s.Step, s.LastFailure)
		}
	}
	return nil
}

// Plot draws how many members each view holds alive over time, with the steps, as SVG.
func (r *Report) Plot(w io.Writer) error {
	p := plot.New()
	p.Title.Text = r.Scenario + ": members held alive, by view"
	p.X.Label.Text, p.Y.Label.Text = "s", "alive or suspect"
	p.Y.Min, p.Y.Max = 0, float64(r.Members)+0.5
	p.Add(plotter.NewGrid())
	lines := map[string]plotter.XYs{}
	for _, s := range r.samples {
		lines[s.by] = append(lines[s.by], plotter.XY{X: s.at.Seconds(), Y: float64(s.alive)})
	}
	for i, by := range slices.Sorted(maps.Keys(lines)) {
		l, err := plotter.NewLine(lines[by])
		if err != nil {
			return err
		}
		l.StepStyle = plotter.PostStep
		l.Color = plotutil.Color(i)
		l.Width = vg.Points(1)
		p.Add(l)
		if r.Members <= 10 {
			p.Legend.Add(by, l)
		}
	}
	for _, m := range r.stepStarts {
		at, err := plotter.NewLine(plotter.XYs{{X: m.at.Seconds(), Y: 0}, {X: m.at.Seconds(), Y: p.Y.Max}})
		if err != nil {
			return err
		}
		at.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(at)
	}
	p.Legend.Left = true
	to, err := p.WriterTo(8*vg.Inch, 4*vg.Inch, "svg")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}
