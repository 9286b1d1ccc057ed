// Package scenariofile loads scenarios of the laboratory. A scenario is a TOML file whose keys are the fields
// of a struct (package settingsfile), given by its path or by the name of one that is shipped with the
// program. Flags may override keys. All mistakes are reported at once, each with its line or flag.
//
// A Collection is not changed by its methods, which may be called from any goroutine.
package scenariofile

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"cresshub/internal/settingsfile"
)

// extension ends the names of scenario files. The name of a shipped scenario may be given without it.
const extension = ".toml"

// Collection is the scenarios of one kind, which are read into a Scenario.
type Collection[Scenario any] struct {
	Schema  *settingsfile.Schema // the keys of Scenario
	Shipped fs.FS                // the files that come with the program, NAME.toml each
	// Check adds to the builder what is wrong between keys. It is called for scenarios in which every key by
	// itself is right.
	Check func(*Scenario, *settingsfile.Builder)
	// OverridesAsTyped has the message on an override that is no key name it as it was typed, class.0.aim,
	// rather than as messages on files do, class[1].aim. A section is then also reported as no key.
	OverridesAsTyped bool
}

// Names returns the names of the shipped scenarios.
func (c *Collection[Scenario]) Names() []string {
	files, err := fs.Glob(c.Shipped, "*"+extension)
	if err != nil {
		return nil // only a malformed pattern is an error
	}
	var names []string
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file, extension))
	}
	return names
}

// ShippedText returns the text of a shipped scenario.
func (c *Collection[Scenario]) ShippedText(name string) ([]byte, error) {
	return fs.ReadFile(c.Shipped, strings.TrimSuffix(name, extension)+extension)
}

// Text returns the text of a scenario by the path of its file or, where there is no such file, by the name of
// a shipped one. The error is that of the file.
func (c *Collection[Scenario]) Text(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		if shipped, shippedErr := c.ShippedText(name); shippedErr == nil {
			return shipped, nil
		}
	}
	return text, err
}

// Load reads a scenario by the path of its file or the name of a shipped one, overrides keys by the values
// that flags set, and checks it. The error is of type settingsfile.SettingErrors and has all mistakes.
func (c *Collection[Scenario]) Load(name string, overrides map[string]string) (*Scenario, error) {
	builder := c.Schema.NewBuilder()
	text, err := c.Text(name)
	if err != nil {
		builder.Problems.Add(settingsfile.NewOrigin("file", name), "",
			"cannot be read, and no shipped scenario has that name: %v", err)
		return nil, builder.Problems.Err()
	}
	file, problems := c.Schema.ReadTOML(name, text)
	builder.Problems = problems
	builder.Add(file)
	builder.Add(c.overridesLayer(overrides, &builder.Problems))
	scenario := new(Scenario)
	builder.Decode(scenario)
	if len(builder.Problems) == 0 {
		c.Check(scenario, builder)
	}
	return scenario, builder.Problems.Err()
}

// overridesLayer returns the layer of the keys that flags set. Keys that it keeps without knowing them are
// reported when the layer is added to a Builder.
func (c *Collection[Scenario]) overridesLayer(overrides map[string]string,
	problems *settingsfile.SettingErrors) *settingsfile.Layer {
	layer := settingsfile.NewLayer()
	for key, value := range overrides {
		origin := settingsfile.NewOrigin("flag", "--set "+key)
		if _, known := c.Schema.Resolve(key); !known && c.OverridesAsTyped {
			problems.Add(origin, key, "is no key%s", c.Schema.Suggest(key))
			continue
		}
		layer.Set(key, settingsfile.Text(value), origin)
	}
	return layer
}
