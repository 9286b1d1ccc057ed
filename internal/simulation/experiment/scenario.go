package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"cresshub/internal/scenariofile"
	"cresshub/internal/settingsfile"
	"cresshub/internal/simulation/proxysim"
	scenarios "cresshub/lab"
)

var schema = sync.OnceValue(func() *settingsfile.Schema {
	return settingsfile.NewSchema[proxysim.Scenario]("", "`cresshub lab docs` lists all keys")
})

// scenarioFiles returns the scenarios of the model.
func scenarioFiles() *scenariofile.Collection[proxysim.Scenario] {
	return &scenariofile.Collection[proxysim.Scenario]{
		Schema: schema(), Shipped: scenarios.Files, OverridesAsTyped: true,
		Check: func(scenario *proxysim.Scenario, builder *settingsfile.Builder) {
			(&validator{scenario, builder}).validate()
		},
	}
}

// Load reads a scenario by the path of its file or by the name of a shipped one, with the values of some keys
// replaced, and validates it as strictly as the program's own configuration. The error is of type
// settingsfile.SettingErrors and lists all of them.
func Load(name string, set map[string]string) (*proxysim.Scenario, error) {
	return scenarioFiles().Load(name, set)
}

// Shipped returns the names of the scenarios that come with the program.
func Shipped() []string { return scenarioFiles().Names() }

// Text returns the file of a shipped scenario.
func Text(name string) ([]byte, error) {
	text, err := scenarioFiles().ShippedText(name)
	if err != nil {
		return nil, fmt.Errorf("no shipped scenario is called %q; there are %s", name,
			strings.Join(Shipped(), ", "))
	}
	return text, nil
}

// validator reports what is wrong between the keys of a scenario.
type validator struct {
	scenario *proxysim.Scenario
	builder  *settingsfile.Builder
}

// report adds a problem of a key, with its place in the file.
func (v *validator) report(path, format string, args ...any) {
	o, ok := v.builder.Origins[path]
	if !ok || o.Source == "default" {
		o = settingsfile.Origin{Source: "file", Name: v.scenario.Name, Line: 1}
		for _, other := range v.builder.Origins {
			if other.Source == "file" {
				o.Name = other.Name
			}
		}
	}
	v.builder.Problems.Add(o, schema().Display(path), format, args...)
}

// validate checks the scenario.
func (v *validator) validate() {
	sc := v.scenario
	if len(sc.Classes) == 0 {
		v.report("class", "is missing; at least one [[class]] with name and work is wanted")
	}
	v.checkFractions("class", len(sc.Classes), func(i int) float64 { return sc.Classes[i].Fraction })
	v.checkFractions("kind", len(sc.Kinds), func(i int) float64 { return sc.Kinds[i].Fraction })
	v.checkFractions("tenant", len(sc.Tenants), func(i int) float64 { return sc.Tenants[i].Fraction })
	for i, c := range sc.Classes {
		if c.Deadline > 0 && c.LatencyTarget > c.Deadline {
			v.report(fmt.Sprintf("class.%d.aim", i), "%v is beyond the deadline %v", c.LatencyTarget, c.Deadline)
		}
	}
	for i, k := range sc.Kinds {
		if k.MinSpeed > k.MaxSpeed {
			v.report(fmt.Sprintf("kind.%d.slowest", i), "%g is above fastest %g", k.MinSpeed, k.MaxSpeed)
		}
	}
	v.checkHalls()
	v.checkLength()
}

// checkFractions checks that the fractions of a list of tables add up to 1.
func (v *validator) checkFractions(list string, n int, fraction func(int) float64) {
	total := 0.0
	for i := range n {
		total += fraction(i)
	}
	if n > 0 && math.Abs(total-1) > 0.001 {
		v.report(fmt.Sprintf("%s.%d.share", list, n-1), "all shares add up to %.4g, 1 is wanted", total)
	}
}

// checkHalls checks that faults name halls of the scenario.
func (v *validator) checkHalls() {
	halls := v.scenario.Halls
	for i, fault := range v.scenario.Faults {
		if fault.Type != proxysim.FaultHallLoss || slices.Contains(halls, fault.Hall) {
			continue
		}
		hint := ""
		if likely := settingsfile.Closest(fault.Hall, halls); likely != "" {
			hint = "; did you mean " + likely + "?"
		}
		v.report(fmt.Sprintf("trouble.%d.hall", i), "%q is none of halls%s", fault.Hall, hint)
	}
}

// checkLength checks that requests arrive and some of them are counted.
func (v *validator) checkLength() {
	sc := v.scenario
	if sc.WarmUp >= sc.Duration {
		v.report("warm_up", "%v is not before the end at %v", sc.WarmUp, sc.Duration)
	}
	if sc.Requests > 0 && sc.WarmUpRequests >= sc.Requests {
		v.report("warm_up_requests", "%d leaves none of %d requests to count", sc.WarmUpRequests, sc.Requests)
	}
	if sc.Load.Utilisation == 0 && sc.Load.Rate == 0 {
		v.report("load.utilisation", "is 0 and so is load.rate: nothing arrives")
	}
}
