package experiment

import (
	"fmt"
	"strings"
)

// Reference is docs/SCENARIO.md, the page of all keys of a scenario.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Keys of a scenario\n\nWritten by \"cresshub lab docs\"; a test fails where it is stale.\n")
	section := "-"
	for _, f := range schema().Fields {
		name, _, nested := strings.Cut(f.Path, ".")
		if !nested {
			name = "At the top"
		}
		if name != section {
			section = name
			fmt.Fprintf(&b, "\n## %s\n\n", name)
		}
		def := "default `" + f.Default + "`"
		if f.Required {
			def = "must be set"
		}
		allowed := f.Allowed()
		if allowed != "" {
			allowed = ", " + allowed
		}
		fmt.Fprintf(&b, "- `%s`: %s.\n  %s%s; %s.\n", f.Path, descriptions[f.Path], f.Kind(), allowed, def)
	}
	return b.String()
}
