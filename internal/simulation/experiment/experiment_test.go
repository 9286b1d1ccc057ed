package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cresshub/internal/settingsfile"
	"cresshub/internal/simulation/proxysim"
)

// small is a quick day of the shipped queues.
var small = map[string]string{"requests": "4000", "warm_up_requests": "500", "servers.count": "5"}

func experiment() Header {
	return Header{Scenario: "queues", Set: small, Seed: 1, Repeat: 2, Policies: []string{"random",
		"two-choices"},
		Over: []Axis{{"load.utilisation", []string{"0.5", "0.8"}}, {"servers.cores", []string{"1", "2"}}}}
}

func playAll(t *testing.T, s *Store) {
	t.Helper()
	err := PlayAll(context.Background(), s.Header.Scenario, s.Header.Set, s.Missing(), 0, false, s.Add)
	if err != nil {
		t.Fatal(err)
	}
}

// Every shipped scenario is valid, and every mistake of a broken one is reported with its line.
func TestScenariosAreValidated(t *testing.T) {
	if len(Shipped()) < 8 {
		t.Errorf("only %v", Shipped())
	}
	for _, name := range Shipped() {
		if _, err := Load(name, nil); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	file := filepath.Join(t.TempDir(), "bad.toml")
	text := `duration = 60
halls = ["kita"]
[servers]
cout = 3
[load]
arrivals = "poison"
[[class]]
name = "a"
share = 0.5
work = "1s"
aim = "3s"
deadline = "2s"
[[kind]]
name = "k"
share = 1.0
slowest = 2.0
[[trouble]]
what = "hall_loss"
at = "1s"
hall = "kito"
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var got settingsfile.SettingErrors
	_, err := Load(file, map[string]string{"lod.rate": "1"})
	if !errors.As(err, &got) {
		t.Fatal(err)
	}
	for _, want := range []string{":1: duration: found the number 60, a time needs a unit",
		":4: servers.cout: is no key; did you mean servers.count?", `:6: load.arrivals: found "poison"`,
		"--set lod.rate: lod.rate: is no key; did you mean load.rate?"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("not told: %s", want)
		}
	}
	text = strings.NewReplacer("= 60", `= "60s"`, "cout", "count", "poison", "poisson").Replace(text)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = Load(file, nil)
	for _, want := range []string{":9: class[1].share: all shares add up to 0.5",
		":11: class[1].aim: 3s is beyond",
		":16: kind[1].slowest: 2 is above", `:20: trouble[1].hall: "kito" is none of halls; did you mean kita?`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("not told: %s in %v", want, err)
		}
	}
}

func TestPageIsFresh(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SCENARIO.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reference(), string(page)); diff != "" {
		t.Errorf("docs/SCENARIO.md is stale; write it by \"bin/cresshub lab docs\":\n%s", diff)
	}
}

// A result file that is truncated at any byte retains the days that had ended, and the same experiment
// continues to the same result; another experiment doesn't touch it.
func TestTruncatedSweepIsContinued(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.jsonl")
	whole, err := Open(path, experiment())
	if err != nil {
		t.Fatal(err)
	}
	playAll(t, whole)
	whole.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(text, []byte("\n")); n != 1+2*2*2*2 {
		t.Fatalf("%d lines", n)
	}
	_, want := whole.Table(MetricNames())
	header := bytes.IndexByte(text, '\n')
	for _, at := range []int{header + 1, header + 40, len(text) / 2, len(text) - 1} {
		if err := os.WriteFile(path, text[:at], 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, experiment())
		if err != nil {
			t.Fatal(err)
		}
		if left, lines := len(s.Missing()), bytes.Count(text[:at], []byte("\n")); left > 17-lines {
			t.Errorf("cut at %d: %d of 16 days missing with %d lines kept", at, left, lines)
		}
		playAll(t, s)
		s.Close()
		again, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, got := again.Table(MetricNames()); cmp.Diff(want, got) != "" {
			t.Errorf("cut at %d: %s", at, cmp.Diff(want, got))
		}
	}
	other := experiment()
	other.Seed = 9
	if _, err := Open(path, other); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Error(err)
	}
	if _, err := Open("experiment_test.go", other); err == nil || !strings.Contains(err.Error(), "no result") {
		t.Error(err)
	}
}

// An interrupt ends the experiment after the days under way, with an error.
func TestInterruptEndsAfterDaysUnderWay(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	h := experiment()
	err := PlayAll(ctx, h.Scenario, h.Set, h.Jobs(), 2, false, func(*RunResult) error {
		n++
		cancel()
		return nil
	})
	if !errors.Is(err, context.Canceled) || n == 0 || n > 3 {
		t.Errorf("%v after %d days", err, n)
	}
}

func TestPlotsAndReport(t *testing.T) {
	s := &Store{Header: experiment()}
	playAll(t, s)
	svg, err := s.Plot("mean_ms", false, true)
	if err != nil || !bytes.Contains(svg, []byte("</svg>")) || !bytes.Contains(svg, []byte("two-choices")) {
		t.Errorf("%v, %.200s", err, svg)
	}
	// Neither words, nor zeros, nor an interval that reaches below 0 may end in a panic.
	if _, err := s.Plot("refused", true, true); err == nil || !strings.Contains(err.Error(), "above 0") {
		t.Error(err)
	}
	s.Days[0].Result.MeanMS *= 50
	if _, err := s.Plot("mean_ms", true, true); err != nil {
		t.Error(err)
	}
	if _, err := s.Plot("nonsense", false, false); err == nil {
		t.Error("a metric that is none is drawn")
	}
	s.Days[0].Result.Violations = []string{"never_twice broken by <b>"}
	var page bytes.Buffer
	if err := s.Report(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "two-choices", "0.8", "broken by &lt;b&gt;"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("no %s", want)
		}
	}
	if strings.Contains(page.String(), "http://") && strings.Contains(page.String(), "<script") {
		t.Error("the page needs something beside it")
	}
}

// Paired differences distinguish noise from a difference, and say how many days would make it significant.
func TestStatistics(t *testing.T) {
	e := EstimateOf([]float64{1, 2, 3, 4, 5}) // t = 2.776, sd = 1.5811
	if math.Abs(e.Mean-3) > 1e-9 || math.Abs(e.Half-1.963) > 0.001 {
		t.Errorf("%+v", e)
	}
	if !math.IsNaN(EstimateOf([]float64{1}).Half) {
		t.Error("one day has an interval")
	}
	sure := Paired([]float64{1, 5, 9, 2}, []float64{2, 6.1, 10, 3})
	noise := Paired([]float64{1, 5, 9, 2}, []float64{2, 4, 9.5, 2})
	if sure.Noise || sure.Repeats != 0 || !noise.Noise || noise.Repeats < 5 {
		t.Errorf("%+v, %+v", sure, noise)
	}
	if s := (Estimate{Mean: 1.23456, Half: 0.02}).String(); s != "1.235 ±0.020" {
		t.Error(s)
	}
}

// A quick pass of the checks against theory; all of them at length are a command.
func TestTheoryHolds(t *testing.T) {
	if got := Erlang(1, 0.9); math.Abs(got-10) > 1e-9 {
		t.Errorf("M/M/1 by Erlang C: %v", got)
	}
	if got := TwoChoices(0.9); math.Abs(got-2.614) > 0.001 {
		t.Errorf("two choices: %v", got)
	}
	d, err := Play("queues", map[string]string{"servers.count": "1", "servers.cores": "4"},
		Job{Policy: "random", Seed: 3}, proxysim.Options{})
	if err != nil || math.Abs(d.Result.MeanServiceTimes/Erlang(4, 0.9)-1) > 0.08 {
		t.Errorf("%+v, %v", d, err)
	}
}

// after is the mean service of the seconds from one to another, over the days of a policy.
func after(t *testing.T, scenario, policy string, from, to int) (mean float64, breaks []string) {
	t.Helper()
	n := 0.0
	for seed := range uint64(4) {
		d, err := Play(scenario, nil, Job{Policy: policy, Seed: seed + 1}, proxysim.Options{})
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range d.Result.ServiceBySecond[from:to] {
			mean, n = mean+x, n+1
		}
		breaks = append(breaks, d.Result.Violations...)
	}
	return mean / n, breaks
}

// Traffic doubles from second 20 to 28. Under random choice the clients' own retries and choked servers keep
// the overload going long after the load is back to normal; the module is back in full service.
func TestModuleRecoversFromMetastableOverload(t *testing.T) {
	before, _ := after(t, "burst", "random", 5, 18)
	stuck, _ := after(t, "burst", "random", 45, 58)
	left, breaks := after(t, "burst", "module", 45, 58)
	if before < 0.5 || stuck > 0.3 || left < 0.97 || len(breaks) > 0 {
		t.Errorf("random %.2f before and %.2f after, the module %.2f after; %v", before, stuck, left, breaks)
	}
}

// A hall that restarts during a surge does not collapse in slow start under the module.
func TestHallInSlowStartSurvivesSurge(t *testing.T) {
	service, breaks := after(t, "cold-surge", "module", 45, 58)
	if service < 0.9 || len(breaks) > 0 {
		t.Errorf("service %.2f; %v", service, breaks)
	}
}

// The tables of the model grow with the requests in flight, not with their number so far.
func TestMemoryDoesNotGrowWithTime(t *testing.T) {
	held := func(requests string) int {
		sc, err := Load("queues", map[string]string{"requests": requests, "warm_up_requests": "0",
			"servers.count": "10"})
		if err != nil {
			t.Fatal(err)
		}
		sim, err := proxysim.New(sc, proxysim.Options{Policy: "random", Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		sim.Run(proxysim.Options{Policy: "random"})
		return sim.TableSlots()
	}
	if short, long := held("20000"), held("400000"); long > 4*short {
		t.Errorf("%d places for 20,000 requests and %d for 400,000", short, long)
	}
}
