package experiment

import (
	"testing"

	"cresshub/internal/testbed/keydescriptions"
)

// descriptions.go has what the comments on the fields of a scenario say, of all keys and of nothing else.
func TestDescriptionsAreTheCommentsOfTheFields(t *testing.T) {
	var keys []string
	for _, field := range schema().Fields {
		keys = append(keys, field.Path)
	}
	keydescriptions.Check(t, keydescriptions.File{
		Name: "descriptions.go", Package: "experiment", Variable: "descriptions",
		Doc: "// descriptions are the comments on the fields of proxysim.Scenario and its sections, which the\n" +
			"// reference page has, by the path of the key.",
		Command:  "go test ./internal/simulation/experiment -run Descriptions -update",
		Compiled: descriptions, Keys: keys,
		Source: keydescriptions.Source{Folder: "../proxysim", Struct: "Scenario"},
	})
}
