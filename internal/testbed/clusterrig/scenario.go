package clusterrig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"cresshub/internal/settingsfile"
	scenarios "cresshub/lab"
)

// about is the type of the blank field before a key that carries the key's documentation.
type about = struct{}

// Scenario is a file that the rig plays: members, their settings, and steps in order of time. Package
// settingsfile derives its keys, defaults, bounds and documentation from the tags.
type Scenario struct {
	_    about  `doc:"what it is called in results"`
	Name string `key:"name" default:"scenario"`

	_       about `doc:"processes, named m-0, m-1 and so on"`
	Members int   `key:"members" default:"7" min:"2" max:"200"`

	_     about    `doc:"halls that members stand in, in turn"`
	Halls []string `key:"halls" default:""`

	_     about `doc:"members, counted from the first, that the others join by"`
	Seeds int   `key:"seeds" default:"1" min:"1" max:"200"`

	_      about `doc:"how often the steps are played, on the same processes"`
	Repeat int   `key:"repeat" default:"1" min:"1" max:"1000"`

	_        about         `doc:"a round lasts at least so long, whatever its steps take"`
	MinRound time.Duration `key:"lasts" default:"0s" min:"0s" max:"24h"`

	_      about         `doc:"after the start, before the first round: news of the start is still on its way"`
	Warmup time.Duration `key:"settle" default:"0s" min:"0s" max:"1h"`

	_              about         `doc:"between looks at all views for the record"`
	SampleInterval time.Duration `key:"sample" default:"100ms" min:"10ms" max:"1m"`

	_                about `doc:"a member that no step names must never be dead in any view"`
	HealthyNeverDead bool  `key:"healthy_never_dead" default:"false"`

	Fleet FleetSettings `key:"fleet"`
	Steps []Step        `key:"step"`
}

// FleetSettings are the members' keys of [fleet], under the program's own names.
type FleetSettings struct {
	Probe     time.Duration `key:"probe" default:"200ms" min:"10ms" max:"1m"`
	Timeout   time.Duration `key:"probe_timeout" default:"100ms" min:"5ms" max:"30s"`
	Gossip    time.Duration `key:"gossip" default:"100ms" min:"5ms" max:"1m"`
	Suspicion int           `key:"suspicion_mult" default:"4" min:"1" max:"100"`
	Rejoin    time.Duration `key:"rejoin" default:"500ms" min:"100ms" max:"1h"`
	SyncEach  time.Duration `key:"sync_each" default:"500ms" min:"10ms" max:"1h"`
	GoneAfter time.Duration `key:"gone_after" default:"2s" min:"100ms" max:"24h"`
}

// toml returns the settings as keys of a member's [fleet].
func (f *FleetSettings) toml() string {
	var b strings.Builder
	for field, value := range reflect.ValueOf(*f).Fields() {
		key := field.Tag.Get("key")
		if d, ok := value.Interface().(time.Duration); ok {
			fmt.Fprintf(&b, "%s = %q\n", key, d)
		} else {
			fmt.Fprintf(&b, "%s = %v\n", key, value)
		}
	}
	return b.String()
}

// DefaultFleetTOML returns the keys of [fleet] that the numbers in docs/fleet-view.md are measured with: the
// defaults of a scenario.
func DefaultFleetTOML() string {
	sc := &Scenario{}
	schema().NewBuilder().Decode(sc)
	return sc.Fleet.toml()
}

// Step is one action, and what is expected of all views after it.
type Step struct {
	_  about         `doc:"after the round's start; a step waits for what the one before it expects"`
	At time.Duration `key:"at" default:"0s" min:"0s" max:"24h"`

	_  about  `doc:"what is done; restart, move and wipe start what has ended, link sets a fault"`
	Do string `key:"do" form:"name"`

	_   about    `doc:"members it is done to, m-0..m-4 a range, * all; of a partition one side"`
	Who []string `key:"who" default:""`

	_  about    `doc:"of a link: the members at its other end"`
	To []string `key:"to" default:""`

	_       about `doc:"of a link: nothing crosses from who to to"`
	Blocked bool  `key:"cut" default:"false"`

	_    about `doc:"of a link: the other direction as well"`
	Both bool  `key:"both_ways" default:"false"`

	_    about   `doc:"of a link: part of the datagrams lost"`
	Drop float64 `key:"drop" default:"0" min:"0" max:"1"`

	_     about         `doc:"of a link: delay on top of the way"`
	Delay time.Duration `key:"delay" default:"0s" min:"0s" max:"1m"`

	_      about         `doc:"of a link: further delay, even from 0 to this"`
	Jitter time.Duration `key:"jitter" default:"0s" min:"0s" max:"1m"`

	_      about  `doc:"what all running views say: who is dead, left, alive; one: just the running"`
	Expect string `key:"expect" default:"none" enum:"none|dead|left|alive|one|sides"`

	_      about         `doc:"by when; later is a failure"`
	Within time.Duration `key:"within" default:"10s" min:"10ms" max:"1h"`
}

// The values of Step.Do.
const (
	actionKill      = "kill"
	actionPause     = "pause"
	actionResume    = "resume"
	actionTerm      = "term"
	actionDrain     = "drain"
	actionServe     = "serve"
	actionRestart   = "restart"
	actionMove      = "move"
	actionWipe      = "wipe"
	actionPartition = "partition"
	actionLink      = "link"
	actionHeal      = "heal"
	actionWait      = "wait"
)

var actions = []string{actionKill, actionPause, actionResume, actionTerm, actionDrain, actionServe,
	actionRestart, actionMove, actionWipe, actionPartition, actionLink, actionHeal, actionWait}

// The values of Step.Expect, beside the statuses of a member.
const (
	expectNone  = "none"
	expectOne   = "one"   // every running member has exactly the running ones alive in its view
	expectSides = "sides" // the same for each side of a partition
)

var schema = sync.OnceValue(func() *settingsfile.Schema {
	return settingsfile.NewSchema[Scenario]("", "`cresshub rig show NAME` prints a shipped scenario")
})

// Shipped returns the names of the scenarios that come with the program.
func Shipped() []string {
	entries, _ := scenarios.Rig.ReadDir("rig")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Text returns the text of a scenario by the path of its file or the name of a shipped one.
func Text(name string) ([]byte, error) {
	raw, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		path := "rig/" + strings.TrimSuffix(name, ".toml") + ".toml"
		if shipped, serr := scenarios.Rig.ReadFile(path); serr == nil {
			return shipped, nil
		}
	}
	return raw, err
}

// Load reads a scenario, overrides keys with set, and validates it. The error is
// settingsfile.SettingErrors: all that were found.
func Load(name string, set map[string]string) (*Scenario, error) {
	b := schema().NewBuilder()
	raw, err := Text(name)
	if err != nil {
		b.Problems.Add(settingsfile.NewOrigin("file", name), "",
			"cannot be read, and no shipped scenario has that name: %v", err)
		return nil, b.Problems.Err()
	}
	l, problems := schema().ReadTOML(name, raw)
	b.Problems = problems
	b.Add(l)
	over := settingsfile.NewLayer()
	for key, value := range set {
		over.Set(key, settingsfile.Text(value), settingsfile.NewOrigin("flag", "--set "+key))
	}
	b.Add(over)
	sc := &Scenario{}
	b.Decode(sc)
	if len(b.Problems) == 0 {
		sc.check(b)
	}
	return sc, b.Problems.Err()
}

// check adds the problems between keys to b.
func (sc *Scenario) check(b *settingsfile.Builder) {
	members := sc.memberNames()
	var last time.Duration
	for i := range sc.Steps {
		step := &sc.Steps[i]
		report := func(key, format string, args ...any) {
			path := fmt.Sprintf("step.%d.%s", i, key)
			origin := b.Origins[path]
			if origin.Source == "default" { // of a key that isn't there: reported at the step's action
				origin = b.Origins[fmt.Sprintf("step.%d.do", i)]
			}
			b.Problems.Add(origin, schema().Display(path), format, args...)
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
	if len(s.Who) == 0 && slices.Contains([]string{"dead", "left", "alive"}, s.Expect) {
		report("expect", "%s is expected of nobody: who is empty", s.Expect)
	}
}

// memberNames returns the names of all members.
func (sc *Scenario) memberNames() []string {
	var out []string
	for i := range sc.Members {
		out = append(out, fmt.Sprintf("m-%d", i))
	}
	return out
}

// expand returns the members that a list of names stands for: * is all, m-3..m-9 a range.
func (sc *Scenario) expand(names []string) []string {
	var out []string
	all := sc.memberNames()
	for _, name := range names {
		first, last, isRange := strings.Cut(name, "..")
		a, b := slices.Index(all, first), slices.Index(all, last)
		switch {
		case name == "*":
			return all
		case isRange && a >= 0 && b >= a:
			out = append(out, all[a:b+1]...)
		default:
			out = append(out, name)
		}
	}
	return out
}

// needsRelay reports whether a step needs the faulty network.
func (sc *Scenario) needsRelay() bool {
	return slices.ContainsFunc(sc.Steps, func(s Step) bool {
		return s.Do == actionPartition || s.Do == actionLink
	})
}

// String describes what a step does.
func (s *Step) String() string {
	who := fmt.Sprint(s.Who)
	if len(s.Who) > 4 {
		who = fmt.Sprintf("%d members", len(s.Who))
	}
	switch {
	case len(s.Who) == 0:
		return s.Do
	case s.Do == actionLink:
		return fmt.Sprintf("link %s to %v", who, s.To)
	}
	return s.Do + " " + who
}
