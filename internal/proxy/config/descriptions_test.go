package config

import (
	"testing"

	"cresshub/internal/testbed/keydescriptions"
)

// descriptions.go has what the comments on the fields say, of all keys and of nothing else.
func TestDescriptionsAreTheCommentsOfTheFields(t *testing.T) {
	var keys []string
	for _, field := range schema().Fields {
		keys = append(keys, field.Path)
	}
	keydescriptions.Check(t, keydescriptions.File{
		Name: "descriptions.go", Package: "config", Variable: "descriptions",
		Doc: "// descriptions are the comments on the fields of Config and its sections, which the\n" +
			"// reference page and a first file have, by the path of the key.",
		Command:  "go test ./internal/proxy/config -run Descriptions -update",
		Compiled: descriptions, Keys: keys,
		Source: keydescriptions.Source{Folder: ".", Struct: "Config"},
	})
}
