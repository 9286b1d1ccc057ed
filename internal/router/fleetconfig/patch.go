package fleetconfig

import (
	"fmt"
	"slices"

	"cresshub/internal/jsondoc"
)

// The fields of a patch, in addition to versionField.
const (
	deliverField  = "deliver"
	withdrawField = "withdraw"
)

// Patch is a change of named items. Each item under "deliver" is added, or replaces the item of the same
// name; each item named under "withdraw" is removed. Items without names can only be changed by sending a
// complete document.
type Patch struct {
	Base    int64  // the version that it builds on
	Version int64  // the version that it creates
	Body    []byte // JSON, as the operator sent it
}

// BaseVersionError reports that a patch was applied to a version other than the one that it builds on.
type BaseVersionError struct {
	Base    int64 // the version that the patch builds on
	Version int64 // the version that it was applied to
}

// Error implements error.
func (e *BaseVersionError) Error() string {
	return fmt.Sprintf("the patch builds on version %d but was applied to version %d; read the current version "+
		"and build on it", e.Base, e.Version)
}

// ParsePatch parses a patch that builds on the given version, and validates it as far as possible without
// that version. Its error is a *jsondoc.ValidationError that lists every problem.
func ParsePatch(base int64, body []byte) (*Patch, error) {
	document, err := jsondoc.Parse(body)
	if err != nil {
		return nil, err
	}
	patch := &Patch{Base: base, Version: parseVersion(document.Root().Get(versionField)), Body: body}
	checkPatch(document.Root())
	if err := document.Err(); err != nil {
		return nil, err
	}
	return patch, nil
}

// checkPatch rejects unknown fields and lists, and names that are missing or appear twice.
func checkPatch(root jsondoc.Node) {
	rejectUnknownFields(root, "remove the field", versionField, deliverField, withdrawField)
	deliver, withdraw := root.Get(deliverField), root.Get(withdrawField)
	const remedy = "name " + routesField + " or " + servicesField + "; change anything else with PUT"
	for _, section := range []jsondoc.Node{deliver, withdraw} {
		rejectUnknownFields(section, remedy, routesField, servicesField)
	}
	for _, list := range []string{routesField, servicesField} {
		seen := map[string]bool{}
		for _, node := range deliver.Get(list).Items() {
			rejectDuplicate(seen, node, node.Get(nameField).Text())
		}
		for _, node := range withdraw.Get(list).Items() {
			rejectDuplicate(seen, node, node.Text())
		}
	}
}

// rejectUnknownFields rejects the fields of an object whose names are not listed in known.
func rejectUnknownFields(object jsondoc.Node, remedy string, known ...string) {
	for _, name := range object.FieldNames() {
		if !slices.Contains(known, name) {
			object.Get(name).Reject("is not a known field", remedy)
		}
	}
}

// rejectDuplicate rejects a name that is already in seen, and adds it to seen.
func rejectDuplicate(seen map[string]bool, node jsondoc.Node, name string) {
	if seen[name] && name != "" {
		node.Reject(fmt.Sprintf("%q appears twice in the patch", name),
			"deliver or withdraw each name once; a delivered item replaces the item of the same name")
	}
	seen[name] = true
}
