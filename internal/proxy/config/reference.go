package config

import (
	"fmt"
	"strings"

	"cresshub/internal/settingsfile"
)

// sections returns the names of the sections, in the order of the fields of Config, and the keys of each.
func sections() (names []string, keys map[string][]*settingsfile.Field) {
	keys = map[string][]*settingsfile.Field{}
	for _, f := range schema().Fields {
		name, _, nested := strings.Cut(f.Path, ".")
		if !nested {
			name = ""
		}
		if _, ok := keys[name]; !ok {
			names = append(names, name)
		}
		keys[name] = append(keys[name], f)
	}
	return names, keys
}

// heading returns the TOML header of a section, or of a table of a list.
func heading(section string) string {
	if list, ok := strings.CutSuffix(section, "[]"); ok {
		return "[[" + list + "]]"
	}
	return "[" + section + "]"
}

// nameInSection returns a key's name within its section.
func nameInSection(f *settingsfile.Field) string {
	return f.Path[strings.LastIndexByte(f.Path, '.')+1:]
}

const preface = `# Configuration

Every key of cresshub.toml. "cresshub config docs" generates this page from the fields in
internal/proxy/config, and a test fails if it is stale; change the fields, not this page.

- **Format.** TOML. Times and sizes have a unit ("250ms", "64KiB"); a number without its unit is an error.
  An unknown key is an error, and the message suggests a similar key. All mistakes in a file are reported at
  once.
- **Precedence.** Flags override environment variables, which override the platform's file (EDGE_CONFIG),
  which overrides this file, which overrides the defaults. Each key that is not in a list of tables has a
  variable: CRESSHUB_ and its path in capitals with "_" for ".", for example CRESSHUB_LOG_LEVEL.
  EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR set name, listen.address, discovery.address and
  operator. CRESSHUB_CONFIG names the file if no flag does.
- **Reload.** On SIGHUP the file is read again. Changes of "live" keys apply at once. If a "restart" key has
  changed, the whole reload is rejected: no change applies, and the log names the key. "start" keys are read
  only at the start, and a change is ignored. From the platform's file only changes of live keys apply; the
  others wait for the restart.
- **Checks.** "cresshub config check FILE" prints all mistakes, "cresshub config show" the effective values
  and the source of each, and "cresshub config init" writes an initial file.
`

// Reference returns docs/CONFIGURATION.md, the reference page of all keys.
func Reference() string {
	var b strings.Builder
	b.WriteString(preface)
	names, keys := sections()
	for _, name := range names {
		if name == "" {
			b.WriteString("\n## At the top\n")
		} else {
			fmt.Fprintf(&b, "\n## %s\n", heading(name))
		}
		b.WriteString("\n| key | default | kind | allowed | reload |\n| --- | --- | --- | --- | --- |\n")
		for _, f := range keys[name] {
			def := "`" + f.Default + "`"
			if f.Required {
				def = "must be set"
			} else if f.Default == "" {
				def = "empty"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", nameInSection(f), def, f.Kind(), f.Allowed(), f.Reload)
		}
		b.WriteString("\n")
		for _, f := range keys[name] {
			b.WriteString(wrap(fmt.Sprintf("- `%s`: %s.", nameInSection(f), descriptions[f.Path]), "  "))
		}
	}
	return b.String()
}

// pageWidth is the largest length of a line that wrap makes, in bytes.
const pageWidth = 105

// wrap breaks text into lines of at most pageWidth bytes and begins all but the first with indent.
func wrap(text, indent string) string {
	var b strings.Builder
	left := pageWidth
	for i, w := range strings.Fields(text) {
		if i > 0 {
			if len(w)+1 > left {
				b.WriteString("\n" + indent)
				left = pageWidth - len(indent)
			} else {
				b.WriteString(" ")
				left--
			}
		}
		b.WriteString(w)
		left -= len(w)
	}
	return b.String() + "\n"
}

const initialHeader = `# Configuration of cresshub. Lines that begin with "#" are descriptions and
# defaults; the others are examples to be changed. "cresshub config check FILE" prints all mistakes.

`

// examples are the values, in TOML, of the keys that an initial file sets.
var examples = map[string]string{
	"halls": `["kita"]`, "listen.address": `"127.0.0.1:8080"`, "policy.hall": `"kita"`,
	"class[].name": `"zone-lookup"`, "class[].aim": `"600ms"`, "class[].deadline": `"1500ms"`,
	"class[].effect": `"idempotent"`, "class[].worth": `2`,
	"tenant[].name": `"ramen-kita"`, "tenant[].share": `1.0`, "tenant[].quota": `200`,
	"server[].name": `"zone-1"`, "server[].address": `"127.0.0.1:9001"`, "server[].hall": `"kita"`,
}

// InitialFile returns an initial configuration file: every key with its description, set to an example or, in
// a comment, to its default.
func InitialFile() string {
	var b strings.Builder
	b.WriteString(initialHeader)
	names, keys := sections()
	for _, name := range names {
		if name != "" {
			fmt.Fprintf(&b, "\n%s\n", heading(name))
		}
		for _, f := range keys[name] {
			b.WriteString(wrap("# "+descriptions[f.Path], "# "))
			if set, ok := examples[f.Path]; ok {
				fmt.Fprintf(&b, "%s = %s\n", nameInSection(f), set)
			} else {
				fmt.Fprintf(&b, "#%s = %s\n", nameInSection(f), defaultTOML(f))
			}
		}
	}
	b.WriteString(`
[[class]]
name = "rider-assign"
aim = "500ms"
deadline = "2s"
effect = "at_most_once"
worth = 8
`)
	return b.String()
}

// defaultTOML returns a key's default in TOML.
func defaultTOML(f *settingsfile.Field) string {
	v, err := f.Decode(settingsfile.Text(f.Default))
	if err != nil {
		return `""`
	}
	switch x := v.Interface().(type) {
	case bool, int, float64:
		return fmt.Sprint(x)
	case []string:
		if len(x) == 0 {
			return "[]"
		}
		return `["` + strings.Join(x, `", "`) + `"]`
	}
	return fmt.Sprintf("%q", f.Default)
}
