package clusterrig

import (
	"fmt"
	"io/fs"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"cresshub/internal/scenariofile"
	"cresshub/internal/settingsfile"
	scenarios "cresshub/lab"
)

var schema = sync.OnceValue(func() *settingsfile.Schema {
	return settingsfile.NewSchema[Scenario]("", "`cresshub rig show NAME` prints a shipped scenario")
})

// scenarioFiles returns the scenarios of the rig.
func scenarioFiles() *scenariofile.Collection[Scenario] {
	shipped, _ := fs.Sub(scenarios.Rig, "rig") // the path is constant
	return &scenariofile.Collection[Scenario]{Schema: schema(), Shipped: shipped, Check: (*Scenario).check}
}

// Shipped returns the names of the scenarios that come with the program.
func Shipped() []string { return scenarioFiles().Names() }

// Text returns the text of a scenario by the path of its file or the name of a shipped one.
func Text(name string) ([]byte, error) { return scenarioFiles().Text(name) }

// Load reads a scenario, overrides keys with set, and validates it. The error is
// settingsfile.SettingErrors: all that were found.
func Load(name string, set map[string]string) (*Scenario, error) {
	return scenarioFiles().Load(name, set)
}

// check adds the problems between keys to the builder.
func (sc *Scenario) check(builder *settingsfile.Builder) {
	members := sc.memberNames()
	var last time.Duration
	for i := range sc.Steps {
		step := &sc.Steps[i]
		report := func(key, format string, args ...any) {
			path := fmt.Sprintf("step.%d.%s", i, key)
			origin := builder.Origins[path]
			if origin.Source == "default" { // of a key that isn't there: reported at the step's action
				origin = builder.Origins[fmt.Sprintf("step.%d.do", i)]
			}
			builder.Problems.Add(origin, schema().Display(path), format, args...)
		}
		if !slices.Contains(actions, step.Do) {
			report("do", "%q is none of %s", step.Do, strings.Join(actions, ", "))
		}
		if step.At < last {
			report("at", "%v is before the step above, at %v", step.At, last)
		}
		last = step.At
		for key, names := range map[string][]string{"who": step.Who, "to": step.To} {
			for _, name := range sc.expand(names) {
				if !slices.Contains(members, name) {
					report(key, "%q is no member; there are m-0 to m-%d", name, sc.Members-1)
				}
			}
		}
		step.check(report)
	}
}

// check reports keys of a step that are missing for its action or its expectation.
func (s *Step) check(report func(key, format string, args ...any)) {
	if len(s.Who) == 0 && s.Do != actionHeal && s.Do != actionWait {
		report("who", "is missing; %s is done to members", s.Do)
	}
	if s.Do == actionLink && len(s.To) == 0 {
		report("to", "is missing; a link has two ends")
	}
	if len(s.Who) == 0 && slices.Contains([]string{expectDead, expectLeft, expectAlive}, s.Expect) {
		report("expect", "%s is expected of nobody: who is empty", s.Expect)
	}
}

// toml returns the settings as keys of a member's [fleet].
func (f *FleetSettings) toml() string {
	var text strings.Builder
	for field, value := range reflect.ValueOf(*f).Fields() {
		key := field.Tag.Get("key")
		if duration, ok := value.Interface().(time.Duration); ok {
			fmt.Fprintf(&text, "%s = %q\n", key, duration)
		} else {
			fmt.Fprintf(&text, "%s = %v\n", key, value)
		}
	}
	return text.String()
}

// DefaultFleetTOML returns the keys of [fleet] that the numbers in docs/fleet-view.md are measured with: the
// defaults of a scenario.
func DefaultFleetTOML() string {
	sc := &Scenario{}
	schema().NewBuilder().Decode(sc)
	return sc.Fleet.toml()
}
