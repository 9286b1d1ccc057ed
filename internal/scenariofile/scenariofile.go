// Package scenariofile loads scenarios of the simulation. A scenario is a TOML file whose keys are the fields
// of a struct (package settingsfile). It is selected by the path of its file or by the name of a scenario
// that is shipped with the program. Flags may override keys. All errors are reported at once, each with its
// line or flag.
//
// The methods of a Collection don't change it and are safe for concurrent use.
package scenariofile

import (
	"errors"
	"io/fs"
	"os"
	"strings"

	"cresshub/internal/settingsfile"
)

// extension is the file name extension of scenarios. The name of a shipped scenario may be given without it.
const extension = ".toml"

// Collection is the scenarios of one kind, which are decoded into a Scenario.
type Collection[Scenario any] struct {
	Schema  *settingsfile.Schema // the keys of Scenario
	Shipped fs.FS                // the files that come with the program, NAME.toml each
	// Check adds errors that concern several keys to the builder's Problems. It is called only if each key by
	// itself is valid.
	Check func(*Scenario, *settingsfile.Builder)
	// OverridesAsTyped makes the error for an override of an unknown key name the key as it was typed,
	// class.0.aim, rather than as errors in files do, class[1].aim. An override of a section is then reported
	// as an unknown key, too.
	OverridesAsTyped bool
}

// Names returns the names of the shipped scenarios.
func (c *Collection[Scenario]) Names() []string {
	files, err := fs.Glob(c.Shipped, "*"+extension)
	if err != nil {
		return nil // Glob fails only on a malformed pattern
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

// Text returns the text of a scenario by the path of its file or, if there is no such file, by the name of a
// shipped one. If neither exists, the error is that of reading the file.
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
// that flags set, and checks it. The error is a settingsfile.SettingErrors with all errors that were found.
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

// overridesLayer returns the layer of the keys that flags set. Without OverridesAsTyped it includes unknown
// keys, which are reported when the layer is added to a Builder.
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
