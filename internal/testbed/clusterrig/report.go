package clusterrig

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// StepReport is the result of one step over all repetitions. Times are in milliseconds.
type StepReport struct {
	Step        string  `json:"step"`
	Expect      string  `json:"expect,omitempty"`
	Times       int     `json:"times"`
	Failed      int     `json:"failed"`
	Median      float64 `json:"median_ms"`
	Worst       float64 `json:"worst_ms"`
	LastFailure string  `json:"last_failure,omitempty"`

	latencies *hdrhistogram.Histogram // in microseconds
}

// Report is the result of a scenario.
type Report struct {
	Scenario         string        `json:"scenario"`
	Members          int           `json:"members"`
	Settings         FleetSettings `json:"settings"`
	Seconds          float64       `json:"seconds"`
	JoinedMS         float64       `json:"joined_ms"` // until all members saw each other after the start
	Steps            []StepReport  `json:"steps"`
	FalseDeaths      int           `json:"false_deaths"` // views with a dead member that no step acted on
	Views            int           `json:"looks"`        // sampled views
	Suspicions       int           `json:"suspicions"`
	Refutations      int           `json:"refutations"`
	BytesPerSecond   float64       `json:"bytes_per_member_second"`   // sent
	PacketsPerSecond float64       `json:"packets_per_member_second"` // sent, and streams opened
	Failures         int           `json:"failures"`
	MeasuredMembers  int           `json:"members_measured"` // of the two above: no step acted on them
	samples          []sample
	stepStarts       []stepStart
}

// sample is the number of members alive in a view at a time since the start.
type sample struct {
	at       time.Duration
	observer string
	alive    int
}

// stepStart is when a step began.
type stepStart struct {
	at   time.Duration
	step string
}

// event is one line of the record: a changed view, or the start or end of a step.
type event struct {
	MS       int64             `json:"ms"`
	Observer string            `json:"by,omitempty"`
	View     map[string]string `json:"sees,omitempty"` // the status of each member
	Step     string            `json:"step,omitempty"`
	Took     *int64            `json:"took_ms,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d members, probe %v, probe_timeout %v, gossip %v, suspicion_mult %d, rejoin %v, "+
		"sync_each %v\n", r.Scenario, r.Members, r.Settings.Probe, r.Settings.Timeout, r.Settings.Gossip,
		r.Settings.Suspicion, r.Settings.Rejoin, r.Settings.SyncEach)
	b.WriteString("\nSTEP\tEXPECTED\tTIMES\tMEDIAN\tWORST\tFAILED\n")
	for _, s := range r.Steps {
		median, worst := "-", "-"
		if s.Expect != expectNone {
			median, worst = fmt.Sprintf("%.0f ms", s.Median), fmt.Sprintf("%.0f ms", s.Worst)
		}
		fmt.Fprintf(&b, "%s\t%s\t%d\t%s\t%s\t%d\n", s.Step, s.Expect, s.Times, median, worst, s.Failed)
	}
	b.WriteString("\nJOINED\tSECONDS\tSUSPICIONS\tREFUTED\tFALSE DEATHS\tLOOKS\tBYTES/MEMBER/S\t" +
		"PACKETS/MEMBER/S\n")
	fmt.Fprintf(&b, "%.0f ms\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%.1f\n", r.JoinedMS, r.Seconds, r.Suspicions,
		r.Refutations, r.FalseDeaths, r.Views, r.BytesPerSecond, r.PacketsPerSecond)
	if err := writeTable(w, b.String(), 0); err != nil {
		return err
	}
	for _, s := range r.Steps {
		if s.LastFailure != "" {
			if _, err := fmt.Fprintf(w, "%s: %s\n", s.Step, s.LastFailure); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeTable writes lines of tab-separated cells as a table; flags are those of package tabwriter.
func writeTable(w io.Writer, lines string, flags uint) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)
	if _, err := io.WriteString(t, lines); err != nil {
		return err
	}
	return t.Flush()
}

// Plot draws the number of members alive in each view over time, and the steps, as SVG.
func (r *Report) Plot(w io.Writer) error {
	p := plot.New()
	p.Title.Text = r.Scenario + ": members held alive, by view"
	p.X.Label.Text, p.Y.Label.Text = "s", "alive or suspect"
	p.Y.Min, p.Y.Max = 0, float64(r.Members)+0.5
	p.Add(plotter.NewGrid())
	lines := map[string]plotter.XYs{}
	for _, s := range r.samples {
		lines[s.observer] = append(lines[s.observer], plotter.XY{X: s.at.Seconds(), Y: float64(s.alive)})
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
