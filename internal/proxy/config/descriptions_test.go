package config

import (
	"testing"

	"cresshub/internal/testbed/keydescriptions"
)

// descriptions.go has the comments on the fields, for all keys and for nothing else.
func TestDescriptionsMatchFieldComments(t *testing.T) {
	var keys []string
	for _, field := range schema().Fields {
		keys = append(keys, field.Path)
	}
	keydescriptions.Check(t, keydescriptions.File{
		Name: "descriptions.go", Package: "config", Variable: "descriptions",
		Doc: "// descriptions maps the path of each key to the comment on its field of Config or of a section.\n" +
			"// The reference page and the initial file print them.",
		Command:  "go test ./internal/proxy/config -run Descriptions -update",
		Compiled: descriptions, Keys: keys,
		Source: keydescriptions.Source{Folder: ".", Struct: "Config"},
	})
}
