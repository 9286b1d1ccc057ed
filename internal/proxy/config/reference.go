package config

import (
	"fmt"
	"strings"

	"cresshub/internal/settingsfile"
)

// sections returns the names of the sections, in the order of the struct, and the keys of each.
func sections() (names []string, by map[string][]*settingsfile.Field) {
	by = map[string][]*settingsfile.Field{}
	for _, f := range schema().Fields {
		name, _, nested := strings.Cut(f.Path, ".")
		if !nested {
			name = ""
		}
		if _, ok := by[name]; !ok {
			names = append(names, name)
		}
		by[name] = append(by[name], f)
	}
	return names, by
}

// heading is how TOML begins a section, or a table of a list.
func heading(section string) string {
	if list, ok := strings.CutSuffix(section, "[]"); ok {
		return "[[" + list + "]]"
	}
	return "[" + section + "]"
}

// lastKey is a key's name within its section.
func lastKey(f *settingsfile.Field) string { return f.Path[strings.LastIndexByte(f.Path, '.')+1:] }

const preface = `# Configuration

Every key of cresshub.toml. This page is written by "cresshub config docs" from the program itself and a
test fails where it is stale; change the fields in internal/proxy/config, not this page.

- **Form.** TOML. Times and sizes carry a unit ("250ms", "64KiB"); a bare number where a unit belongs is an
  error. An unknown key is an error and gets the likely one. All mistakes of a file are reported at once.
- **Precedence.** Flags, then variables, then the platform's file (EDGE_CONFIG), then this file, then
  defaults. Each key outside a list of tables has a variable: CRESSHUB_ and its path in capitals with "_"
  for ".", so CRESSHUB_LOG_LEVEL. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR set name,
  listen.address, discovery.address and operator. CRESSHUB_CONFIG names the file where no flag does.
- **Reload.** On SIGHUP the file is read again. "live" keys are taken over at once. If a "restart" key has
  changed, the whole reload is refused and the log names the key; no part of it is taken over. "start"
  keys are read at the start alone, and a change is passed over. From the platform's file only live keys
  are taken and the rest waits for the restart.
- **Checks.** "cresshub config check FILE" lists all mistakes, "cresshub config show" the values in force
  and where each comes from, "cresshub config init" writes a file to begin with.
`

// Reference returns the reference page of all keys, docs/CONFIGURATION.md.
func Reference() string {
	var b strings.Builder
	b.WriteString(preface)
	names, by := sections()
	for _, name := range names {
		if name == "" {
			b.WriteString("\n## At the top\n")
		} else {
			fmt.Fprintf(&b, "\n## %s\n", heading(name))
		}
		b.WriteString("\n| key | default | kind | allowed | reload |\n| --- | --- | --- | --- | --- |\n")
		for _, f := range by[name] {
			def := "`" + f.Default + "`"
			if f.Required {
				def = "must be set"
			} else if f.Default == "" {
				def = "empty"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", lastKey(f), def, f.Kind(), f.Allowed(), f.Reload)
		}
		b.WriteString("\n")
		for _, f := range by[name] {
			b.WriteString(wrap(fmt.Sprintf("- `%s`: %s.", lastKey(f), descriptions[f.Path]), "  "))
		}
	}
	return b.String()
}

// pageWidth is the longest line of the texts made here, in bytes.
const pageWidth = 105

// wrap breaks text into lines of pageWidth and indents all but the first.
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

const initialHeader = `# Configuration of cresshub. Lines that begin with "#" show defaults; what stands
# without it is an example to be changed. "cresshub config check FILE" lists every mistake.

`

// examples are the keys that a first file sets, in the form of the file.
var examples = map[string]string{
	"halls": `["kita"]`, "listen.address": `"127.0.0.1:8080"`, "policy.hall": `"kita"`,
	"class[].name": `"zone-lookup"`, "class[].aim": `"600ms"`, "class[].deadline": `"1500ms"`,
	"class[].effect": `"idempotent"`, "class[].worth": `2`,
	"tenant[].name": `"ramen-kita"`, "tenant[].share": `1.0`, "tenant[].quota": `200`,
	"server[].name": `"zone-1"`, "server[].address": `"127.0.0.1:9001"`, "server[].hall": `"kita"`,
}

// InitialFile returns a file to begin with: every key with its documentation, set to an example or, as a
// comment, to its default.
func InitialFile() string {
	var b strings.Builder
	b.WriteString(initialHeader)
	names, by := sections()
	for _, name := range names {
		if name != "" {
			fmt.Fprintf(&b, "\n%s\n", heading(name))
		}
		for _, f := range by[name] {
			b.WriteString(wrap("# "+descriptions[f.Path], "# "))
			if set, ok := examples[f.Path]; ok {
				fmt.Fprintf(&b, "%s = %s\n", lastKey(f), set)
			} else {
				fmt.Fprintf(&b, "#%s = %s\n", lastKey(f), defaultTOML(f))
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

// defaultTOML returns a key's default as the file would hold it.
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
